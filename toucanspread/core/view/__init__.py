"""A process's copy of the platform's store, and the age of that copy."""
