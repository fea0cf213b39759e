"""Chooses the end of the leases that a poll asks a worker for."""

import dataclasses

# Lasts longer than a takeover, so that runs survive it. Tasks of an unreachable
# worker are requeued only after it.
LEASE_MS = 4000
TAKEOVER_GRANT_S = 4.0  # An owner cut off from the store stops granting then.
LONG_LEASE_AFTER_S = 0.8  # Then the store may be unavailable for longer.


@dataclasses.dataclass(slots=True)
class Clock:
    """The last reading of a worker's clock.

    Attributes:
        ms: Time on the worker's clock, 0 if it was never read.
        at: When it was read, on the owner's monotonic clock.
        allowed: Whether polls may ask the worker for leases. False after a
            failed poll, until an AllowLeases effect.
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
    """Returns the end of the leases that a poll asks for.

    A worker that did not answer is asked for no lease until it does: otherwise
    each poll would postpone the time at which its tasks can be requeued.

    Args:
        clock: The last reading of the worker's clock.
        now: Present time, on the owner's monotonic clock.
        confirmed_at: When the store last confirmed the ownership, on the same
            clock.
        lease_most_ms: Longest lease that a worker grants.
        last: Whether this is the last lease that this owner asks for; it is as
            long as possible, to cover the time until the next owner.

    Returns:
        Milliseconds on the worker's clock, 0 for no lease.
    """
    unconfirmed_s = now - confirmed_at
    if not clock.ms or not clock.allowed or unconfirmed_s > TAKEOVER_GRANT_S:
        return 0
    clock_ms = clock.ms + int((now - clock.at) * 1000)
    use_longest = last or unconfirmed_s > LONG_LEASE_AFTER_S
    return clock_ms + (lease_most_ms if use_longest else LEASE_MS)
