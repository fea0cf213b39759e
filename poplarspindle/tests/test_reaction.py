"""Tests of the ladder: it holds, does not swing, and lifts its limits."""

import collections

import pytest

from poplarspindle import cells, effects, reaction
from poplarspindle.tools import scenarios, virtual

SEED = 3
DURATION_S = 100.0


@pytest.fixture(scope="module")
def watched():
    """The limits set on each task, in order, over noisy waves."""
    limits = collections.defaultdict(list)

    def watch(loop):
        for cell in loop.state.cells.values():
            for task, throttle in cell.view.throttles.items():
                seen = limits[task]
                if not seen or seen[-1] != throttle.per_mille:
                    seen.append(throttle.per_mille)

    trace = scenarios.make_trace("lastboek/noisy", SEED, DURATION_S)
    virtual.Loop(trace, "chosen", SEED).run(watch)
    return limits


def test_tasks_are_limited_and_limits_do_not_swing(watched):
    assert watched
    swings = [
        sum(a > b < c for a, b, c in zip(s, s[1:], s[2:], strict=False))
        for s in watched.values()
    ]
    assert sum(swings) <= len(watched)
    assert max(swings) <= 3


def make_ladder(stepped_at, taken_at, arrived_at):
    ladder = cells.ThrottleState()
    ladder.stepped_at = stepped_at
    ladder.mixes = [(arrived_at, {})]
    measured = 0.5 if taken_at > stepped_at + reaction.SETTLE_S else None
    return ladder, reaction.ServiceTail("quotes", 0.5, measured, 0.6)


@pytest.mark.parametrize(
    ("taken_at", "trusted", "arrived_at", "may"),
    [
        (9.0, True, 5.0, False),
        (9.0, True, 10.5, True),
        (9.0, False, 10.5, False),
        (10.2, True, 5.0, False),
        (11.0, False, 5.0, True),
    ],
)
def test_a_step_holds_until_it_shows(
    monkeypatch, taken_at, trusted, arrived_at, may
):
    monkeypatch.setattr(reaction.interference, "is_trusted", lambda *_: trusted)
    trace = scenarios.make_trace("lastboek/quiet", 1, 10.0)
    loop = virtual.Loop(trace, "chosen", 1)
    loop.run(lambda present: None)
    cell = loop.state.cells["ourthe"]
    batch = [t for t in cell.table.tasks.values() if not t.job.is_service]
    ladder, worst = make_ladder(10.0, taken_at, arrived_at)
    found = reaction._may_step(loop.state, ladder, batch[:1], worst, 12.0)
    assert found is may


def test_limit_of_a_former_owner_is_lifted_once():
    trace = scenarios.make_trace("lastboek/quiet", 1, 12.0)
    loop = virtual.Loop(trace, "chosen", 1)
    loop.run(lambda present: None)
    cell = loop.state.cells["ourthe"]
    task = next(
        t
        for t in cell.table.tasks.values()
        if t.phase is cells.Phase.RUNNING and not t.job.is_service
    )
    task.term -= 1
    lifted = reaction._reset_strange(cell, [task], 12.0)
    assert [e.per_mille for e in lifted if isinstance(e, effects.ThrottleTask)]
    assert not reaction._reset_strange(cell, [task], 13.0)
