"""The time of day."""

import time


def get_wall_ms() -> int:
    """Returns Unix time in milliseconds."""
    return int(time.time() * 1000)
