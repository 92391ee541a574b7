"""Group membership: failure detection, gossip and reports between processes."""
