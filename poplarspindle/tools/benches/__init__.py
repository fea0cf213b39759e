"""Measurements; each module has `measure() -> dict`."""
