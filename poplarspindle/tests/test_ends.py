"""Late ends and late starts of runs cause no second run of a task."""

import dataclasses

import pytest

from poplarspindle import resources
from poplarspindle.fleet import work
from poplarspindle.tools.fakes import fleet_workers, fleets

CORE = resources.Resources(1000, 1000, 0)


def make_step(tasks=4, **options):
    return work.Step(tasks, CORE, 500, (), **options)


def test_run_whose_end_has_no_place_in_the_list_is_not_run_again(monkeypatch):
    """TWICE: a report holds a limited number of ends, and no ended run.

    A run missing from both lists must not be taken for lost.
    """
    monkeypatch.setattr(fleet_workers, "MAX_REPORTED_ENDS", 2)
    world = fleets.World(1, workers=1)
    world.submit("a" * 16, make_step(6))
    world.run(0.4)
    world.store_up = False
    world.run(2)
    world.store_up = True
    world.run(5)
    assert world.get_state("a" * 16) == "completed"
    assert world.starts == 6
    assert world.list_violations() == []


def place_again_before_the_end_is_known(world, step):
    """Has a step placed again before its end is reported.

    Returns the names of its first workers, which are held back.
    """
    world.submit("a" * 16, step)
    while world.starts < step.tasks:
        world.run(fleets.TICK_S)
    names = [name for name, worker in world.workers.items() if worker.runs]
    for name in names:
        world.hold_back(name)
    while world.notes["placed"] < 2:
        world.run(fleets.TICK_S)
    return names


@pytest.mark.parametrize(
    "step",
    [
        pytest.param(make_step(1), id="task"),
        pytest.param(make_step(4, gang=True), id="gang"),
    ],
)
def test_task_done_in_a_run_given_up_is_not_run_again(step):
    """TWICE: a requeued run's end was acknowledged but not applied."""
    world = fleets.World(1, workers=5)
    for name in place_again_before_the_end_is_known(world, step):
        world.catch_up(name)
    world.run(6)
    assert world.get_state("a" * 16) == "completed"
    assert world.starts == step.tasks
    assert world.list_violations() == []


def test_later_attempt_is_stopped_when_an_earlier_one_is_known_to_be_done():
    world = fleets.World(1)
    (name,) = place_again_before_the_end_is_known(world, make_step(1))
    world.run(0.1)
    assert world.starts == 2
    world.catch_up(name)
    world.run(0.1)
    assert world.get_state("a" * 16) == "completed"
    world.run(fleet_workers.STOP_DURATION_S + 0.1)
    last = max(
        (run for w in world.workers.values() for run in w.ledger),
        key=lambda run: run.attempt,
    )
    assert last.how is work.EndReason.STOPPED


@pytest.mark.parametrize(
    "change", [False, True], ids=["same owner", "other owner"]
)
def test_run_given_up_that_failed_counts_as_an_attempt(change):
    """BUDGET: a requeued run's failure was acknowledged but not counted."""
    world = fleets.World(1, fail=lambda run: True)
    (name,) = place_again_before_the_end_is_known(world, make_step(1))
    if change:
        world.run(0.1)
        world.take_over()
    world.catch_up(name)
    world.run(6)
    assert world.get_state("a" * 16) == "failed"
    assert world.starts == world.queue.attempts


@pytest.mark.parametrize("after_s", [0.0, 0.05, 0.1, 0.3])
@pytest.mark.parametrize("given_up", [True, False])
def test_failed_run_is_counted_once_by_owners_in_turn(given_up, after_s):
    """Load: a new owner gets reports of ends recorded but not acknowledged."""
    world = fleets.World(1, fail=lambda run: run.attempt <= 2)
    if given_up:
        (name,) = place_again_before_the_end_is_known(world, make_step(1))
        world.catch_up(name)
    else:
        world.submit("a" * 16, make_step(1))
        while not world.notes["ended"]:
            world.run(fleets.TICK_S)
    world.run(after_s)
    world.take_over()
    world.run(6)
    assert world.get_state("a" * 16) == "completed"
    assert world.starts == 3


def test_end_that_comes_too_late_has_a_log_line():
    world = fleets.World(1)
    (name,) = place_again_before_the_end_is_known(world, make_step(1))
    before = world.notes["given-up"], world.notes["stale-end"]
    world.catch_up(name)
    assert before == (1, 0)
    assert world.notes["stale-end"] == 1


def make_world_of_late_starts():
    """Makes a world where starts get no answer and are executed 3 s late."""
    return fleets.World(
        1,
        workers=2,
        run_s=lambda rng: 1.0,
        late=1.0,
        late_s=(3.0, 3.0),
        late_incarnations=True,
    )


def begin_by_a_repeated_start(world):
    """Runs until a repeated start begins a task; returns the worker."""
    world.submit("a" * 16, make_step(1))
    while not world.notes["start-refused"]:
        world.run(fleets.TICK_S)
    world.late = 0.0
    while not world.starts:
        world.run(fleets.TICK_S)
    return next(w for w in world.workers.values() if w.runs)


def begin_next_life(world, worker, late):
    """Restarts a worker as a leaving one, which gets no new tasks.

    `late` is the share of the first orders that get no answer.
    """
    worker.crash()
    worker.description = dataclasses.replace(
        worker.description, presence=work.Presence.LEAVING, leaves_ms=9000
    )
    world.late = late
    world.run(0.35)
    world.late = 0.0


def test_start_of_a_run_that_ended_is_refused_in_the_next_life():
    world = make_world_of_late_starts()
    worker = begin_by_a_repeated_start(world)
    world.run(1.5)
    assert world.get_state("a" * 16) == "completed"
    worker.crash()
    world.run(4)
    assert world.starts == 1


def test_start_on_its_way_through_two_lives_is_refused_in_the_last():
    """Load: the run is requeued before its start counts as unanswered."""
    world = make_world_of_late_starts()
    world.run(0.35)
    world.submit("a" * 16, make_step(1))
    world.run(0.1)
    (name,) = [n for n, worker in world.fleet.workers.items() if worker.runs]
    begin_next_life(world, world.workers[name], late=0.0)
    assert world.notes["given-up"] == 1
    assert world.notes["start-refused"] == 0
    world.workers[name].crash()
    world.run(4)
    assert world.get_state("a" * 16) == "completed"
    assert world.starts == 1


def test_stop_of_a_run_that_ended_is_repeated_in_the_next_life():
    world = make_world_of_late_starts()
    worker = begin_by_a_repeated_start(world)
    world.run(1.3)
    begin_next_life(world, worker, late=1.0)
    world.run(4)
    assert world.starts == 1


def test_task_waits_until_its_start_is_refused_in_the_next_life():
    """Load: one start was answered and began the run; another is in flight."""
    world = make_world_of_late_starts()
    worker = begin_by_a_repeated_start(world)
    begin_next_life(world, worker, late=1.0)
    world.run(5)
    assert world.get_state("a" * 16) == "completed"
    assert world.list_violations() == []


def test_late_start_whose_lease_counts_from_its_arrival():
    """Fault: a late start gets a lease that counts from its arrival.

    The owner computes an earlier lease end and then places the task elsewhere.
    """
    world = fleets.World(
        1,
        workers=2,
        run_s=lambda rng: 4.0,
        late=1.0,
        late_s=(5.5, 5.5),
        late_leases=True,
    )
    world.submit("a" * 16, make_step(1))
    while not world.fleet.workers or not any(
        run.unanswered_starts
        for worker in world.fleet.workers.values()
        for run in worker.runs.values()
    ):
        world.run(fleets.TICK_S)
    (name,) = [n for n, worker in world.fleet.workers.items() if worker.runs]
    world.late = 0.0
    world.workers[name].reachable = False
    world.run(12)
    assert world.list_violations() == []
