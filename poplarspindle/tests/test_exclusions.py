"""Workers on which runs fail: lasting tasks tell when that is over.

LOST: a worker with nothing but lasting work never had a run that was done, so
its exclusion of up to 24 s was never reset.
"""

import dataclasses
import itertools

import pytest

from poplarspindle import resources
from poplarspindle.fleet import (
    exclusions,
    fleet_state,
    job_store,
    probes,
    work,
    worker_state,
)
from poplarspindle.tools.fakes import fleets

CORE = resources.Resources(1000, 1000, 0)
LASTING = work.Step(3, CORE, 500, (), until_cancelled=True)
ENDING = work.Step(3, CORE, 500)
JOBS = ["a" * 16, "b" * 16]
FAILS_AFTER_S = 0.2
NO_ROOM_S = 3.0  # Nothing of a job may run for so long beside room.
FAILED_AT = 10.0
NOW = 20.0


def make_failing_world(step):
    """Makes a world with one worker, which fails all runs."""
    world = fleets.World(1, workers=1)
    world.fail_on = {"w0"}
    world.choose_time = lambda name: FAILS_AFTER_S
    world.run(0.5)
    for job in JOBS:
        world.submit(job, step)
    while not world.notes["closed"]:
        world.run(fleets.TICK_S)
    world.run(FAILS_AFTER_S)
    return world


def test_failing_worker_gets_one_lasting_run_at_a_time():
    """Each try follows the failure of the one before by an interval."""
    world = make_failing_world(LASTING)
    worker = world.fleet.workers["w0"]
    began = len(world.workers["w0"].ledger)
    while world.now < worker.excluded_until - FAILS_AFTER_S:
        world.run(fleets.TICK_S)
    tries = [run.began for run in world.workers["w0"].ledger[began:]]
    gaps = [later - run for run, later in itertools.pairwise(tries)]
    assert len(tries) >= 3
    assert min(gaps) >= exclusions.PROBE_INTERVAL_S


@pytest.mark.parametrize("gang", [False, True])
def test_failed_try_leaves_the_exclusion_as_it_is(gang):
    """Others would wait for ever beside lasting jobs that always fail."""
    world = make_failing_world(dataclasses.replace(LASTING, gang=gang))
    worker = world.fleet.workers["w0"]
    until, exclusion_s = worker.excluded_until, worker.exclusion_s
    closed = world.notes["closed"]
    while world.now < until - 2 * FAILS_AFTER_S:
        world.run(fleets.TICK_S)
    found = worker.excluded_until, worker.exclusion_s, world.notes["closed"]
    assert found == (until, exclusion_s, closed)


def test_excluded_worker_gets_one_run_that_ends_by_itself_at_a_time():
    """Load: each try may cost an attempt, and work waits if there is none."""
    world = make_failing_world(ENDING)
    began = len(world.workers["w0"].ledger)
    while world.now < world.fleet.workers["w0"].excluded_until - 0.1:
        world.run(fleets.TICK_S)
    tries = [run.began for run in world.workers["w0"].ledger[began:]]
    gaps = [later - run for run, later in itertools.pairwise(tries)]
    assert len(tries) >= 2
    assert min(gaps) >= exclusions.PROBE_INTERVAL_S
    assert max(gaps) < NO_ROOM_S


def test_last_attempt_is_spent_on_an_excluded_worker_before_others():
    """LOST: a job failed on a sick worker although others had attempts left."""
    world = fleets.World(1, workers=1)
    world.allow_attempts(2)
    world.run(0.5)
    worker = world.fleet.workers["w0"]
    worker.exclusion_s, worker.excluded_until = 24.0, world.now + 24.0
    worker.failing_jobs, worker.proven_jobs = set(JOBS), set(JOBS)
    worker.probe_failed_at = worker.failed_at = world.now
    last, first = "c" * 16, "d" * 16
    for job in (last, first):
        world.submit(job, ENDING)
    world.run(fleets.TICK_S)
    for task in world.fleet.job_store.jobs[last].occurrences[0][0]:
        task.failed_attempts = (1,)
    world.fleet.now += exclusions.PROBE_INTERVAL_S
    probed = [key[0] for key, _, _ in probes.list_probes(world.fleet)]
    assert list(dict.fromkeys(probed)) == [first, last]


@pytest.mark.parametrize(
    ("step", "placed_at", "seen_at", "reopened"),
    [
        pytest.param(LASTING, 13.0, 14.0, True, id="at-work"),
        pytest.param(LASTING, 13.0, 18.0, False, id="not-for-long"),
        pytest.param(LASTING, 9.0, 9.5, False, id="before-the-failure"),
        pytest.param(ENDING, 13.0, 14.0, False, id="ends-by-itself"),
    ],
)
def test_lasting_run_that_stays_at_work_resets_the_exclusion(
    step, placed_at, seen_at, reopened
):
    submission = work.Submission(
        JOBS[0],
        work.Queue("q", "h", "/q/", "pool", 0, 3, 1.5, 250),
        "spec",
        (step,),
        accepted_ms=0,
    )
    store = job_store.JobStore()
    job = job_store.add_job(store, submission) or store.jobs[JOBS[0]]
    fleet = fleet_state.FleetState(store, 6000)
    fleet.now = NOW
    worker = worker_state.WorkerState(work.WorkerInfo("w", "", "", "", CORE))
    worker.failing_jobs = set(JOBS)
    worker.exclusion_s, worker.excluded_until = 24.0, FAILED_AT + 24.0
    worker.failed_at = FAILED_AT
    run = worker_state.Run(
        work.TaskName(JOBS[0], 0, 0, 0),
        job,
        job_store.Task(),
        placed_at,
        True,
    )
    run.first_seen_at = seen_at
    notes = exclusions.record_at_work(fleet, worker, run)
    assert bool(notes) == reopened
    assert (worker.excluded_until < NOW) == reopened
    assert (not worker.failing_jobs) == reopened
