"""Stand-ins and simulations of the platform for tests, the demo and the benchmarks.

The product never imports this package. Stand-ins are called over HTTP; simulations run
the real state machines in virtual time.
"""
