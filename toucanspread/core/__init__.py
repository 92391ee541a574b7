"""Decision logic: state machines that turn events into effects.

The package reads no clock and opens no socket or thread. The program that runs a
process of the system drives the decision logic through :mod:`toucanspread.core.machine`
only.
"""
