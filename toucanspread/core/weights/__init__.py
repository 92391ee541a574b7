"""Staging of weights at engines, and their switch to a new version."""
