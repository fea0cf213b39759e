"""Tests of throttling: steps wait for effect, limits do not oscillate."""

import collections

import pytest

from poplarspindle import cells, effects, reaction
from poplarspindle.tools import scenarios, virtual

SEED = 3
DURATION_S = 100.0


@pytest.fixture(scope="module")
def limits_by_task():
    """Returns the limits set on each task, in order, under noisy load waves."""
    limits = collections.defaultdict(list)

    def watch(loop):
        for cell in loop.state.cells.values():
            for task, throttle in cell.view.throttles.items():
                task_limits = limits[task]
                if not task_limits or task_limits[-1] != throttle.per_mille:
                    task_limits.append(throttle.per_mille)

    trace = scenarios.make_trace("lastboek/noisy", SEED, DURATION_S)
    virtual.Loop(trace, "chosen", SEED).run(watch)
    return limits


def test_tasks_are_limited_and_limits_do_not_oscillate(limits_by_task):
    assert limits_by_task
    reversals = [
        sum(
            a > b < c
            for a, b, c in zip(limits, limits[1:], limits[2:], strict=False)
        )
        for limits in limits_by_task.values()
    ]
    assert sum(reversals) <= len(limits_by_task)
    assert max(reversals) <= 3


def make_throttle_state(stepped_at, taken_at, arrived_at):
    throttle_state = cells.ThrottleState()
    throttle_state.stepped_at = stepped_at
    throttle_state.mixes = [(arrived_at, {})]
    measured = 0.5 if taken_at > stepped_at + reaction.SETTLE_S else None
    return throttle_state, reaction.ServiceTail("quotes", 0.5, measured, 0.6)


@pytest.mark.parametrize(
    ("taken_at", "trusted", "arrived_at", "expected"),
    [
        (9.0, True, 5.0, False),
        (9.0, True, 10.5, True),
        (9.0, False, 10.5, False),
        (10.2, True, 5.0, False),
        (11.0, False, 5.0, True),
    ],
)
def test_next_step_waits_for_measurement_or_arrival(
    monkeypatch, taken_at, trusted, arrived_at, expected
):
    monkeypatch.setattr(reaction.interference, "is_trusted", lambda *_: trusted)
    trace = scenarios.make_trace("lastboek/quiet", 1, 10.0)
    loop = virtual.Loop(trace, "chosen", 1)
    loop.run(lambda _: None)
    cell = loop.state.cells["ourthe"]
    batch = [t for t in cell.table.tasks.values() if not t.job.is_service]
    throttle_state, worst = make_throttle_state(10.0, taken_at, arrived_at)
    may_step = reaction._may_step(
        loop.state, throttle_state, batch[:1], worst, 12.0
    )
    assert may_step is expected


def test_limit_of_a_former_owner_is_lifted_once():
    trace = scenarios.make_trace("lastboek/quiet", 1, 12.0)
    loop = virtual.Loop(trace, "chosen", 1)
    loop.run(lambda _: None)
    cell = loop.state.cells["ourthe"]
    task = next(
        t
        for t in cell.table.tasks.values()
        if t.phase is cells.Phase.RUNNING and not t.job.is_service
    )
    task.term -= 1
    lifted = reaction._reset_inherited_limits(cell, [task], 12.0)
    assert [e.per_mille for e in lifted if isinstance(e, effects.ThrottleTask)]
    assert not reaction._reset_inherited_limits(cell, [task], 13.0)
