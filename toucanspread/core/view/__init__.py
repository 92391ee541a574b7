"""What a process knows of the platform's store, and how old that knowledge is."""
