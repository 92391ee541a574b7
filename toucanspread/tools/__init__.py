"""The command line and the modules behind its commands."""
