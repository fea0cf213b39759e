"""Clients of the platform: log, instance list, workers and minions."""
