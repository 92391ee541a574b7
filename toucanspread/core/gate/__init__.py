"""What protects one endpoint: limits, claims on requests, one execution of each key."""
