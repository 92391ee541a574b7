"""What an entry decides about callers' requests and the engines behind it."""
