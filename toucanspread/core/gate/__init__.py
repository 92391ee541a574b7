"""Protection of one endpoint: admission control, claims and at-most-once execution."""
