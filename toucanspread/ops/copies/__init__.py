"""Each process's copy of the store, and what processes send each other of it."""
