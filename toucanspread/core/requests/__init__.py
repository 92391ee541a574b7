"""Request handling at an entry: routing, attempts, retries and final outcomes."""
