"""Leases that another life of a worker, or a slow clock, makes longer.

TWICE: they last longer than the owner, or the next one, counts on. The
invariants of `test_walks` are broken by it; here are the steps behind.
"""

from poplarspindle.fleet import leases, worker_state

MOST_MS = 6000
READ_MS, ROOM_MS, AGE_S = 10_000, 3000, 2.5
SLOW_MS = READ_MS + AGE_S * 1000 / worker_state.MAX_CLOCK_DRIFT


def test_start_asks_a_slow_clock_for_no_more_than_the_bound_has_room_for():
    """Each start added 2 % of the age of the reading to the leases."""
    clock = leases.Clock(READ_MS, 0.0)
    until_ms = leases.extend_start_lease(clock, AGE_S, 99_999, ROOM_MS)
    assert until_ms - SLOW_MS <= ROOM_MS
    lease_ms = leases.measure_lease(clock, AGE_S, until_ms, MOST_MS)
    assert lease_ms >= until_ms - SLOW_MS


def test_poll_asks_a_slow_clock_for_no_more_than_the_bound_has_room_for():
    clock = leases.Clock(READ_MS, 0.0, allowed=True)
    until_ms = leases.choose_lease(clock, AGE_S, AGE_S, ROOM_MS)
    assert until_ms - SLOW_MS <= ROOM_MS
