"""A job waits until a task of it has begun, not until one is placed.

Load pattern: workers are out of reach and owners end one after another, so
what is placed may be given up many times before a worker begins any of it.
"""

import random

import pytest

from poplarspindle import resources
from poplarspindle.fleet import job_store, records, work
from poplarspindle.tools.fakes import fleets, messages

CORE = resources.Resources(1000, 1000, 0)
JOB = "a" * 16
TOLD_S = 0.3  # From the answer to a start to the job's state in the log.
POLL_S = 2.5  # A poll's longest wait, and the next one's answer.
RUN_S = 5.0
ACTIVE, QUEUED = job_store.State.ACTIVE, job_store.State.QUEUED

STEPS = [
    pytest.param({}, id="task"),
    pytest.param({"gang": True}, id="gang"),
    pytest.param({"until_cancelled": True}, id="lasting"),
]


class Starts:
    """What becomes of the starts in a world.

    Attributes:
        fate: That of those sent from now on.
    """

    def __init__(self, world):
        self.fate = messages.DELIVERED
        world.choose_fate = self.choose_fate

    def choose_fate(self, message):
        """Returns what becomes of a message."""
        is_start = message.kind is messages.Kind.START
        return self.fate if is_start else messages.DELIVERED


LOST = messages.Fate(None, answered=False)
UNANSWERED = messages.Fate(answered=False)


def make_world(**options):
    world = fleets.World(1, run_s=lambda rng: RUN_S, **options)
    world.run(1)
    return world, Starts(world)


def make_step(**options):
    return work.Step(8, CORE, 500, (), **options)


def find_state(world, job=JOB):
    """Returns a job's state as all nodes read it; unpublished ones wait."""
    record = world.log.get(f"{records.STATE}/{job}")
    return records.decode_state(record.value).state if record else QUEUED


def has_begun(world, job=JOB):
    return any(
        run.name.job == job
        for worker in world.workers.values()
        for run in worker.ledger
    )


def run_until_begun(world):
    until = world.now + 40.0
    while not has_begun(world):
        assert world.now < until
        world.run(fleets.TICK_S)


@pytest.mark.parametrize("owners", [1, 3])
@pytest.mark.parametrize("options", STEPS)
def test_placed_job_of_which_nothing_began_is_not_counted_as_waiting(
    options, owners
):
    """MIXED: its starts reach no worker, whoever owns the fleet."""
    world, starts = make_world()
    starts.fate = LOST
    world.submit(JOB, make_step(**options))
    for _ in range(owners - 1):
        world.run(1.5)
        world.take_over()
    world.run(1.5)
    assert world.notes["placed"] >= 1
    assert not has_begun(world)
    assert find_state(world) is QUEUED
    starts.fate = messages.DELIVERED
    run_until_begun(world)
    world.run(TOLD_S)
    assert find_state(world) is ACTIVE


@pytest.mark.parametrize("options", STEPS)
def test_job_whose_start_was_accepted_waits_on(options):
    """Its state is told in time, without another append for it."""
    world, _ = make_world()
    world.submit(JOB, make_step(**options))
    run_until_begun(world)
    world.run(TOLD_S)
    assert find_state(world) is ACTIVE


@pytest.mark.parametrize("options", STEPS)
def test_job_whose_start_was_not_answered_waits_on(options):
    """Reports tell that its tasks are at work."""
    world, starts = make_world()
    starts.fate = UNANSWERED
    world.submit(JOB, make_step(**options))
    run_until_begun(world)
    world.run(POLL_S)
    assert find_state(world) is ACTIVE


@pytest.mark.parametrize("options", STEPS)
@pytest.mark.parametrize("stored_count", [1, 2])
def test_job_that_began_before_its_owner_died_in_an_append_waits_on(
    options, stored_count
):
    """The log may hold its placement and not that it is active."""
    world, _ = make_world()
    world.tear_append = lambda found: stored_count
    world.submit(JOB, make_step(**options))
    while not world.append_torn:
        world.run(fleets.TICK_S)
    run_until_begun(world)
    world.run(POLL_S)
    assert find_state(world) is ACTIVE


@pytest.mark.parametrize("seed", range(10))
def test_states_of_jobs_follow_what_workers_began(seed):
    """MIXED: starts are lost, workers are cut off, owners follow in a row."""
    rng = random.Random(seed)
    world, starts = make_world(workers=5)
    jobs = [f"{number:016x}" for number in range(30)]
    submitted = []
    seen = set()
    for number in range(200):
        if number % 6 == 0 and jobs:
            submitted.append(jobs.pop())
            world.submit(submitted[-1], work.Step(2, CORE, 500, ()))
        if rng.random() < 0.05:
            world.take_over()
        if rng.random() < 0.1:
            starts.fate = rng.choice([messages.DELIVERED, LOST, UNANSWERED])
        if rng.random() < 0.1:
            worker = rng.choice(sorted(world.workers))
            world.workers[worker].reachable = rng.random() < 0.5
        world.run(0.1)
        for job in submitted:
            state = find_state(world, job)
            assert state is QUEUED or has_begun(world, job)
            assert state is not QUEUED or job not in seen
            if state is not QUEUED:
                seen.add(job)
    for worker in world.workers.values():
        worker.reachable = True
    starts.fate = messages.DELIVERED
    world.run(60.0)
    assert {find_state(world, job) for job in submitted} == {
        job_store.State.COMPLETED
    }
    assert world.list_violations() == []
