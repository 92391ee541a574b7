"""The running of the decisions: daemons, transports and clients of the platform."""
