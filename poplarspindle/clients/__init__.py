"""Clients of the log, instance list, workers and minions of our own words."""
