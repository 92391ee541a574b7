"""Callers' requests on their way to engines, and the answers."""
