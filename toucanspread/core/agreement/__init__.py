"""Agreement on configuration revisions: intents, plans, confirmations, delivery."""
