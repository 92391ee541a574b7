"""Who is there: probing, gossip and reports between processes of the system."""
