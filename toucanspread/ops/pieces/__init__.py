"""Pieces of weights on their way from the origin to an engine."""
