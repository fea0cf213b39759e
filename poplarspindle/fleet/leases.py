"""Chooses the end of the leases that a poll asks a worker for."""

import dataclasses

# Lasts longer than a takeover, so that runs survive it. Tasks of an unreachable
# worker are requeued only after it.
LEASE_MS = 4000
TAKEOVER_GRANT_S = 4.0  # An owner cut off from the store stops granting then.
LONG_LEASE_AFTER_S = 0.8  # Then the store may be unavailable for longer.
# A poll that renews leases is answered at once, and others renew none. So when
# a worker dies or is cut off, seldom is an order out that may renew them late.
RENEW_AFTER_S = 1.0
MIN_WAIT_MS = 50  # Rather than wait for less, a poll renews the leases.
# A start asks for little where polls have renewed the leases, as it adds that
# to them when it is carried out late.
START_LEASE_MS = 400
MIN_RENEWED_MS = 1500  # Until the next poll renews them.


@dataclasses.dataclass(slots=True)
class Clock:
    """The last reading of a worker's clock.

    Attributes:
        ms: Time on the worker's clock, 0 if it was never read.
        at: When it was read, on the owner's monotonic clock.
        allowed: Whether polls may ask the worker for leases. False after a
            failed poll, until an AllowLeases effect.
        renewed_at: When the last poll was sent that renewed the leases and was
            answered, on the owner's monotonic clock.
    """

    ms: int = 0
    at: float = 0.0
    allowed: bool = False
    renewed_at: float = float("-inf")


def extend_start_lease(clock: Clock, now: float, until_ms: int) -> int:
    """Returns the end of the lease of a start that is sent now.

    Args:
        clock: The last reading of the worker's clock.
        now: Present time, on the owner's monotonic clock.
        until_ms: End that was chosen when the start was decided.
    """
    if not clock.ms:
        return until_ms
    return max(
        until_ms, clock.ms + int((now - clock.at) * 1000) + START_LEASE_MS
    )


def choose_poll(
    clock: Clock,
    now: float,
    confirmed_at: float,
    lease_most_ms: int,
    wait_ms: int,
    is_idle: bool,
) -> tuple[int, int]:
    """Chooses the leases that a poll asks for, and how long it waits.

    A poll that renews leases does not wait, and one that waits ends when the
    leases of runs have to be renewed.

    Args:
        clock: The last reading of the worker's clock.
        now: Present time, on the owner's monotonic clock.
        confirmed_at: When the store last confirmed the ownership, on the same
            clock.
        lease_most_ms: Longest lease that a worker grants.
        wait_ms: How long it may wait for an end.
        is_idle: Whether nothing runs on the worker.

    Returns:
        End of the leases on the worker's clock, 0 for none, and the wait, both
        in milliseconds.
    """
    until_ms = choose_lease(clock, now, confirmed_at, lease_most_ms)
    if not until_ms:
        return 0, wait_ms
    left_ms = (clock.renewed_at + RENEW_AFTER_S - now) * 1000
    if left_ms < MIN_WAIT_MS:
        return until_ms, 0
    return 0, wait_ms if is_idle else min(wait_ms, int(left_ms))


def choose_start_lease(renewed_ms: int, lease_most_ms: int) -> int:
    """Returns the lease that a start asks for, milliseconds.

    Args:
        renewed_ms: How much longer the leases last that polls have renewed.
        lease_most_ms: Longest lease that a worker grants.
    """
    lease_ms = START_LEASE_MS if renewed_ms >= MIN_RENEWED_MS else LEASE_MS
    return min(lease_ms, lease_most_ms)


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
