"""Decisions of an entry about callers' requests and the engines that run them."""
