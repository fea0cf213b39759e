"""Chooses the end of the leases that a poll asks a worker for."""

import dataclasses

from poplarspindle.fleet import worker_state

# Lasts longer than a takeover, so that runs survive it. Tasks of an unreachable
# worker are requeued only after it.
LEASE_MS = 4000
TAKEOVER_GRANT_S = 4.0  # An owner cut off from the store stops granting then.
LONG_LEASE_AFTER_S = 0.8  # Then the store may be unavailable for longer.
# Then each lease makes the next one shorter; so one is asked for, and late.
LAST_RENEWAL_LEFT_S = 0.8  # Of the leases, when it is asked for.
LAST_RENEWAL_AFTER_S = 3.5  # At the latest, after the last confirmation.
LEAST_GAIN_S = 0.2  # What adds less to the leases is not asked for.
SHORT_WAIT_MS = 250  # Until leases that would add too little are asked for.
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


def extend_start_lease(
    clock: Clock, now: float, until_ms: int, lease_most_ms: int
) -> int:
    """Returns the end of the lease of a start that is sent now.

    Args:
        clock: The last reading of the worker's clock.
        now: Present time, on the owner's monotonic clock.
        until_ms: End that was chosen when the start was decided.
        lease_most_ms: Longest lease that it may ask for; see `lease_bounds`.
    """
    if not clock.ms:
        return until_ms
    clock_ms = estimate_ms(clock, now)
    until_ms = max(until_ms, clock_ms + START_LEASE_MS)
    return min(until_ms, clock_ms + lease_most_ms)


def measure_lease(
    clock: Clock, now: float, until_ms: int, lease_most_ms: int
) -> int:
    """Returns how long a lease is at most that is asked for now, milliseconds.

    Before this poller read the clock, only starts ask for leases, for no longer
    than `choose_start_lease` allows.

    Args:
        clock: The last reading of the worker's clock.
        now: Present time, on the owner's monotonic clock.
        until_ms: End of the lease.
        lease_most_ms: Longest lease that a worker grants.
    """
    if not clock.ms:
        return min(lease_most_ms, LEASE_MS)
    return max(0, min(lease_most_ms, until_ms - estimate_ms(clock, now)))


def choose_poll(
    clock: Clock,
    now: float,
    confirmed_at: float,
    lease_most_ms: int,
    wait_ms: int,
    is_idle: bool,
    leases_end_at: float = float("-inf"),
) -> tuple[int, int]:
    """Chooses the leases that a poll asks for, and how long it waits.

    A poll that renews leases does not wait, and one that waits ends when the
    leases of runs have to be renewed.

    Args:
        clock: The last reading of the worker's clock.
        now: Present time, on the owner's monotonic clock.
        confirmed_at: When the store last confirmed the ownership, on the same
            clock.
        lease_most_ms: Longest lease that it may ask for; see `lease_bounds`.
        wait_ms: How long it may wait for an end.
        is_idle: Whether nothing runs on the worker.
        leases_end_at: When the leases end that were answered, on the same
            clock; minus infinity if there are none.

    Returns:
        End of the leases on the worker's clock, 0 for none, and the wait, both
        in milliseconds.
    """
    until_ms = choose_lease(clock, now, confirmed_at, lease_most_ms)
    if not until_ms:
        return 0, wait_ms
    is_store_silent = now - confirmed_at > LONG_LEASE_AFTER_S
    due_at = clock.renewed_at + RENEW_AFTER_S
    if is_store_silent:
        due_at = max(due_at, _find_last_renewal(confirmed_at, leases_end_at))
    left_ms = (due_at - now) * 1000
    if left_ms >= MIN_WAIT_MS:
        waits_on = is_idle and not is_store_silent
        return 0, wait_ms if waits_on else min(wait_ms, int(left_ms))
    lease_s = (until_ms - estimate_ms(clock, now)) / 1000
    if now + lease_s < leases_end_at + LEAST_GAIN_S:
        return 0, min(wait_ms, SHORT_WAIT_MS)
    return until_ms, 0


def _find_last_renewal(confirmed_at: float, leases_end_at: float) -> float:
    """Returns when to renew leases for a store that may be silent for long."""
    return min(
        leases_end_at - LAST_RENEWAL_LEFT_S, confirmed_at + LAST_RENEWAL_AFTER_S
    )


def estimate_ms(clock: Clock, now: float) -> int:
    """Returns a lower bound of a worker's clock, 0 if it was never read.

    A lease that ends at a time of a clock that is slow lasts longer than one of
    a clock that is right.

    Args:
        clock: The last reading of the worker's clock.
        now: Present time, on the owner's monotonic clock.
    """
    if not clock.ms:
        return 0
    passed_ms = (now - clock.at) * 1000 / worker_state.MAX_CLOCK_DRIFT
    return clock.ms + int(passed_ms)


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
        lease_most_ms: Longest lease that it may ask for; see `lease_bounds`.
        last: Whether this is the last lease that this owner asks for; it is as
            long as possible, to cover the time until the next owner.

    Returns:
        Milliseconds on the worker's clock, 0 for no lease.
    """
    unconfirmed_s = now - confirmed_at
    if not clock.ms or not clock.allowed or unconfirmed_s > TAKEOVER_GRANT_S:
        return 0
    use_longest = last or unconfirmed_s > LONG_LEASE_AFTER_S
    lease_ms = lease_most_ms if use_longest else min(LEASE_MS, lease_most_ms)
    return estimate_ms(clock, now) + lease_ms if lease_ms else 0
