"""The time of day, and a steady clock for ages and deadlines."""

import time

# The monotonic clock stands still while a machine is suspended; a permission
# that lapsed meanwhile would seem fresh.
_STEADY_CLOCK = getattr(time, "CLOCK_BOOTTIME", time.CLOCK_MONOTONIC)


def get_wall_ms() -> int:
    """Returns Unix time in milliseconds."""
    return int(time.time() * 1000)


def get_steady_s() -> float:
    """Returns seconds that never go back and count suspensions as well."""
    return time.clock_gettime(_STEADY_CLOCK)
