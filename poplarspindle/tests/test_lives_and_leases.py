"""Leases that another life of a worker, or a slow clock, makes longer.

TWICE: they last longer than the owner, or the next one, counts on. The
invariants of `test_walks` are broken by it; here are the steps behind.
"""

import types

import pytest

from poplarspindle import resources
from poplarspindle.fleet import (
    events,
    fencing,
    grants,
    lease_bounds,
    leases,
    orders,
    reducer,
    work,
    worker_state,
)
from poplarspindle.node import lease_keeping
from poplarspindle.tools.fakes import fleets

CORE = resources.Resources(1000, 1000, 0)
TASK = "a" * 16
MOST_MS = 6000
LONGEST_S = MOST_MS / 1000 * worker_state.MAX_CLOCK_DRIFT
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


def make_keeper():
    """Makes a keeper that has sent a start for 0.4 s, without an answer."""
    ownership = types.SimpleNamespace(
        lease_most_ms=MOST_MS, store_confirmed_at=lambda: 0.0
    )
    fence = fencing.make_fence(1, 0.0)
    keeper = lease_keeping.LeaseKeeper(ownership, fence)
    keeper.clock.ms, keeper.clock.at = READ_MS, 0.0
    order = orders.Start(
        work.TaskName(TASK, 0, 0, 0), 1, 1, "spec", READ_MS + 400
    )
    keeper.record_sent((order.task, 1, 0.0), order, 0.0)
    return keeper, fence.account


@pytest.mark.parametrize(
    ("clock_ms", "is_other_life"),
    [(20, True), (READ_MS + 100, False), (0, False)],
)
def test_start_that_another_life_answers_may_have_granted_the_longest_lease(
    clock_ms, is_other_life
):
    """Its deadline was far ahead on the clock of that life."""
    keeper, account = make_keeper()
    assert account.unanswered_grants[0].lease_s < 1.0
    keeper.record_clock(clock_ms, 0.1)
    assert keeper.clock.ms == (clock_ms if is_other_life else READ_MS)
    (grant,) = account.unanswered_grants
    assert (grant.lease_s == LONGEST_S) == is_other_life
    assert (account.leases_end_at >= 0.1 + LONGEST_S) == is_other_life
    left_ms = lease_bounds.find_longest_lease_ms(account, 0.1, 0.0, MOST_MS)
    assert (left_ms == 0) == is_other_life


def make_world():
    """Makes a world whose owner has a start to w0 without an answer."""
    world = fleets.World(1, workers=1, run_s=lambda rng: 30.0)
    world.run(3.0)
    world.submit(TASK, work.Step(1, CORE, 500))
    world.run(0.5)
    state = world.fleet.workers["w0"]
    ((key, _),) = state.runs.items()
    until_ms = state.clock_ms + 400
    grants.record_sent(state, key, 1, world.now, until_ms)
    order = orders.Start(*key, world.owner.epoch, "spec", until_ms)
    return world, state, order


def answer(world, order, clock_ms):
    return events.OrderAnswered(
        world.now, "w0", world.now, order, orders.Answer(None, clock_ms)
    )


@pytest.mark.parametrize("is_heard", [False, True])
def test_owner_counts_the_longest_lease_for_orders_that_another_life_may_get(
    is_heard,
):
    """By the answer to another order, or by that life's first report."""
    world, state, order = make_world()
    if is_heard:
        report = work.Report(20, state.incarnation_ms + 1000, (), ())
        event = events.Reported(
            world.now, world.wall_ms(), "w0", world.now, 0, report, 0, 1
        )
    else:
        pace = orders.Pace(order.task, order.attempt, 1, 100)
        event = answer(world, pace, 20)
    reducer.reduce(world.fleet, event)
    lengths = [grant.lease_s for grant in state.unanswered_grants]
    assert lengths
    assert set(lengths) == {LONGEST_S}
