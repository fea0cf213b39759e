"""How long the leases are that a look at a worker asks for."""

import dataclasses

LEASE_MS = 4000  # Outlasts a takeover; a dark worker's tasks wait for it.
TAKEOVER_GRANT_S = 4.0  # An owner cut from the store grants no longer.
LONG_LEASE_AFTER_S = 0.8  # The store may be away for longer.


@dataclasses.dataclass(slots=True)
class Clock:
    """A worker's clock, as last read.

    Attributes:
        ms: What it showed, 0 if it was never read.
        at: Own clock then.
        allowed: Whether the worker may be asked for leases: not after a
            look that it did not answer, until the owner says so.
    """

    ms: int = 0
    at: float = 0.0
    allowed: bool = False


def choose_lease(
    clock: Clock,
    now: float,
    confirmed_at: float,
    lease_most_ms: int,
    last: bool = False,
) -> int:
    """Returns the end of the leases to ask for, on the worker's clock.

    A worker that did not answer is asked for no lease until it does: else
    each look at it would put off the time at which its tasks are free.

    Args:
        clock: The worker's clock.
        now: Own clock.
        confirmed_at: When the store last confirmed the ownership.
        lease_most_ms: Longest lease that a worker grants.
        last: Whether this owner grants no more after it.

    Returns:
        Milliseconds, 0 for no lease.
    """
    unconfirmed_s = now - confirmed_at
    if not clock.ms or not clock.allowed or unconfirmed_s > TAKEOVER_GRANT_S:
        return 0
    clock_ms = clock.ms + int((now - clock.at) * 1000)
    use_longest = last or unconfirmed_s > LONG_LEASE_AFTER_S
    return clock_ms + (lease_most_ms if use_longest else LEASE_MS)
