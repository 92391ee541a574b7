"""Small stand-ins for the platform, for tests, the demo and the benchmarks.

The product never imports this package; each stand-in is met over HTTP.
"""
