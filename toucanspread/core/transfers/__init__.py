"""Distribution of weights in chunks among endpoint processes."""
