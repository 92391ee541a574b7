"""Weight distribution for load bursts, driven by declarations in version control."""
