"""Benchmarks: each module prints ``name=value`` lines; none of them is a test."""
