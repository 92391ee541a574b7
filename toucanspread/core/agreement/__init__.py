"""The agreement on revisions: intents, plans, their confirmation and spread."""
