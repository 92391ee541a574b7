"""The exchange of chunks between endpoint processes."""
