"""How long tasks wait for a worker that crashed, beside room on others.

The next life's report proves that nothing of the life before is at work. Until
then leases protect the run, and a start without an answer is in doubt.
"""

import pytest

from poplarspindle import resources
from poplarspindle.fleet import orders, work
from poplarspindle.tools.fakes import crashing, fleets

CORE = resources.Resources(1000, 1000, 0)
JOB = "a" * 16
AWAY_S = 9.0  # A task that lasts may be away for so long.
PROVEN_S = 1.5  # Once a worker is back: a look at it, and one at what it ran.
STOP_PAUSE_S = 1.0  # Between two stops that are answered.

KINDS = {
    "task": {},
    "lasting": {"until_cancelled": True},
    "gang": {"gang": True},
}


def make_world(crashes):
    return fleets.World(
        1,
        workers=2,
        make_worker=crashing.make_worker(crashes),
        run_s=lambda rng: 60.0,
    )


def run_until(world, happens):
    """Runs until something happens; fails if it does not within AWAY_S."""
    until = world.now + AWAY_S
    while not happens():
        assert world.now < until
        world.run(fleets.TICK_S)


def lose_starts(worker):
    """Lets a worker carry out no start and answer none."""
    worker.start = lambda order: orders.Answer(orders.Refusal.NO_ANSWER)


def find_worker(world):
    """Returns the worker on which the job's first task is placed."""
    (occurrence,) = world.fleet.job_store.jobs[JOB].occurrences.values()
    return world.workers[occurrence[0][0].worker_name]


def count_running(world):
    return len(
        {name for worker in world.workers.values() for name, _ in worker.runs}
    )


@pytest.mark.parametrize("in_doubt", [False, True], ids=["at-work", "in-doubt"])
@pytest.mark.parametrize("down_s", [0.1, 1.0, 3.0, 5.0])
@pytest.mark.parametrize("renamed", [False, True], ids=["same", "renamed"])
@pytest.mark.parametrize("options", KINDS.values(), ids=KINDS.keys())
def test_tasks_of_a_crashed_worker_run_once_its_next_life_answers(
    options, renamed, down_s, in_doubt
):
    """LOST: work waits for the leases of a life that is known to be over."""
    crashes = crashing.Crashes(down_s=down_s, renamed=renamed)
    world = make_world(crashes)
    world.run(1)
    if in_doubt:
        for worker in world.workers.values():
            lose_starts(worker)
    world.submit(JOB, work.Step(2, CORE, 500, **options))
    world.run(0.5)
    worker = find_worker(world)
    for other in world.workers.values():
        vars(other).pop("start", None)
    worker.go_down()
    crashed_at = world.now
    world.run(down_s)
    back_at = world.now
    run_until(world, lambda: count_running(world) == 2)
    assert world.now - crashed_at < AWAY_S
    assert world.now - back_at < PROVEN_S
    assert world.list_violations() == []


def test_stop_in_the_next_life_waits_for_no_pause_after_one_in_the_last():
    """LOST: an answer of the life before kept the next one from being asked.

    A start got no answer and its run is being stopped; each life has to be
    told, as the start may still reach it.
    """
    world = make_world(crashing.Crashes(down_s=0.1, renamed=False))
    world.run(1)
    for worker in world.workers.values():
        lose_starts(worker)
    world.submit(JOB, work.Step(1, CORE, 500, until_cancelled=True))
    run_until(world, lambda: list_stops(world))
    (run,) = list_stops(world)
    worker = find_worker(world)
    run_until(world, lambda: run.stop_after > world.now)
    worker.go_down()
    for other in world.workers.values():
        vars(other).pop("start", None)
    run_until(world, lambda: worker.up)
    back_at = world.now
    run_until(world, lambda: count_running(world))
    assert world.now - back_at < STOP_PAUSE_S / 2
    assert world.list_violations() == []


@pytest.mark.parametrize("heard_s", [0.3, 1.0, 3.0])
@pytest.mark.parametrize("placed_s", [0.02, 0.1, 0.2, 0.3, 1.0])
def test_task_of_a_worker_that_dies_after_a_change_of_owner_runs(
    placed_s, heard_s
):
    """LOST: a start of the owner before may be late, so its task waits.

    That ends once list and inventory show that the worker is dead.
    """
    world = make_world(crashing.Crashes(down_s=1e6, renamed=False))
    world.run(1)
    world.submit(JOB, work.Step(1, CORE, 500, until_cancelled=True))
    run_until(world, lambda: count_running(world))
    world.run(placed_s)
    world.take_over()
    world.run(heard_s)
    find_worker(world).go_down()
    run_until(world, lambda: count_running(world))
    assert world.list_violations() == []


def list_stops(world):
    """Lists the runs that are being stopped."""
    return [
        run
        for worker in world.fleet.workers.values()
        for run in worker.runs.values()
        if run.stopping
    ]
