"""The decisions: state, events in, effects out, with no clock, socket or thread.

An outside program drives a process of the system by :mod:`machine` alone.
"""
