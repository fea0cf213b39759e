"""Scheduler for latency-critical requests and batch work."""

__version__ = "0.1.0"
