"""Ended jobs are dropped once nothing can hand them in again.

TWICE: a job is dropped, and its hand-in, sent again by its caller or stored
late, begins it anew. LOST: a caller that asks for it is told that it is absent.
"""

import pytest

from poplarspindle import resources
from poplarspindle.fleet import (
    effects,
    events,
    fleet_state,
    job_store,
    reducer,
    work,
)

KEEP_S = 120.0
WALL_MS = 1_700_000_000_000
TICK_S = 0.5
JOBS = ["a" * 16, "b" * 16]


def make_fleet():
    """Makes the state of an owner that knows of ended jobs."""
    fleet = fleet_state.FleetState(job_store.JobStore(), keep_ended_s=KEEP_S)
    fleet.wall_ms = WALL_MS
    step = work.Step(1, resources.Resources(1000, 1000, 0))
    queue = work.Queue("q", "h", "/q/", "pool")
    for name in JOBS:
        job = job_store.add_job(
            fleet.job_store, work.Submission(name, queue, "", (step,))
        )
        fleet_state.end_job(fleet, job, job_store.State.COMPLETED)
    fleet.changed_jobs.clear()
    return fleet


def find_drop(fleet, offset_s, until_s):
    """Lets time pass; returns when jobs were dropped, None where never.

    Args:
        fleet: The owner's state.
        offset_s: Tells how far the time of day is off at a time.
        until_s: When to end.
    """
    at = 0.0
    while at < until_s:
        wall_ms = WALL_MS + int((at + offset_s(at)) * 1000)
        found = reducer.reduce(fleet, events.Ticked(at, wall_ms))
        drops = [e for e in found if isinstance(e, effects.Drop)]
        if drops:
            assert list(drops[0].jobs) == JOBS
            return at
        at += TICK_S
    return None


def test_ended_jobs_are_dropped_after_their_time():
    fleet = make_fleet()
    dropped_at = find_drop(fleet, lambda at: 0.0, 3 * KEEP_S)
    assert KEEP_S <= dropped_at <= 2 * KEEP_S + 2 * TICK_S
    assert not fleet.job_store.jobs
    assert not fleet.expiring_jobs


@pytest.mark.parametrize("jump_s", [300.0, 86_400.0])
@pytest.mark.parametrize("for_s", [10.0, 3 * KEEP_S])
def test_ended_job_is_not_dropped_by_a_clock_that_jumps(jump_s, for_s):
    """The time of day jumps ahead by minutes, for a while or for good."""
    fleet = make_fleet()

    def offset_s(at):
        return jump_s if 1.0 <= at < 1.0 + for_s else 0.0

    assert find_drop(fleet, offset_s, 3 * KEEP_S) >= KEEP_S


def test_ended_job_is_not_dropped_by_a_clock_that_jumps_again_and_again():
    """Each jump counts for itself, not the time since the first one."""
    fleet = make_fleet()

    def offset_s(at):
        return 300.0 if at % 100.0 < 1.0 else -100.0

    assert find_drop(fleet, offset_s, 2 * KEEP_S) is None
