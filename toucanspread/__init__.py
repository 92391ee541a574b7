"""Weight distribution for bursts, driven by declarations in version control."""
