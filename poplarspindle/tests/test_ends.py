"""Late ends and late starts of runs cause no second run of a task."""

import dataclasses

import pytest

from poplarspindle import resources
from poplarspindle.fleet import work
from poplarspindle.platform import minions
from poplarspindle.tools.fakes import fleet_workers, fleets

CORE = resources.Resources(1000, 1000, 0)


def make_step(tasks=4, **options):
    return work.Step(tasks, CORE, 500, (), **options)


def test_run_whose_end_does_not_fit_in_the_report_is_not_run_again(monkeypatch):
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


def place_again_before_the_end_is_reported(world, step):
    """Has a step placed again before its end is reported.

    Returns the names of its first workers, which are held back.
    """
    world.submit("a" * 16, step)
    while world.starts < step.tasks:
        world.run(fleets.TICK_S)
    world.run(fleets.TICK_S)  # A start without an answer would be waited for.
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
    for name in place_again_before_the_end_is_reported(world, step):
        world.catch_up(name)
    world.run(6)
    assert world.get_state("a" * 16) == "completed"
    assert world.starts == step.tasks
    assert world.list_violations() == []


def test_later_attempt_is_stopped_when_an_earlier_one_is_known_to_be_done():
    world = fleets.World(1)
    (name,) = place_again_before_the_end_is_reported(world, make_step(1))
    world.run(0.1)
    assert world.starts == 2
    world.catch_up(name)
    world.run(0.1)
    assert world.get_state("a" * 16) == "completed"
    world.run(fleet_workers.STOP_DURATION_S + 0.1)
    last_run = max(
        (run for w in world.workers.values() for run in w.ledger),
        key=lambda run: run.attempt,
    )
    assert last_run.how is work.EndReason.STOPPED


@pytest.mark.parametrize(
    "new_owner", [False, True], ids=["same owner", "other owner"]
)
def test_requeued_run_that_failed_counts_as_an_attempt(new_owner):
    """BUDGET: a requeued run's failure was acknowledged but not counted."""
    world = fleets.World(1, fail=lambda run: True)
    (name,) = place_again_before_the_end_is_reported(world, make_step(1))
    if new_owner:
        world.run(0.1)
        world.take_over()
    world.catch_up(name)
    world.run(6)
    assert world.get_state("a" * 16) == "failed"
    assert world.starts == world.queue.attempts


@pytest.mark.parametrize("after_s", [0.0, 0.05, 0.1, 0.3])
@pytest.mark.parametrize("requeued", [True, False])
def test_failed_run_is_counted_once_by_successive_owners(requeued, after_s):
    """Load: a new owner gets reports of ends recorded but not acknowledged."""
    world = fleets.World(1, fail=lambda run: run.attempt <= 2)
    if requeued:
        (name,) = place_again_before_the_end_is_reported(world, make_step(1))
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


def test_stale_end_is_logged():
    world = fleets.World(1)
    (name,) = place_again_before_the_end_is_reported(world, make_step(1))
    counts_before = world.notes["given-up"], world.notes["stale-end"]
    world.catch_up(name)
    assert counts_before == (1, 0)
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


def run_until_repeated_start_begins(world):
    """Runs until a repeated start begins a task; returns the worker."""
    world.submit("a" * 16, make_step(1))
    while not world.notes["start-refused"]:
        world.run(fleets.TICK_S)
    world.late = 0.0
    while not world.starts:
        world.run(fleets.TICK_S)
    return next(w for w in world.workers.values() if w.runs)


def restart_as_leaving(world, worker, late_share):
    """Restarts a worker as a leaving one, which gets no new tasks.

    `late_share` is the share of the first orders that get no answer.
    """
    worker.crash()
    worker.description = dataclasses.replace(
        worker.description, presence=work.Presence.LEAVING, leaves_ms=9000
    )
    world.late = late_share
    world.run(0.35)
    world.late = 0.0


def test_start_of_an_ended_run_is_refused_by_the_next_incarnation():
    world = make_world_of_late_starts()
    worker = run_until_repeated_start_begins(world)
    world.run(1.5)
    assert world.get_state("a" * 16) == "completed"
    worker.crash()
    world.run(4)
    assert world.starts == 1


def test_start_in_flight_across_two_restarts_is_refused_by_the_last(
    monkeypatch,
):
    """Load: the run is requeued before its start counts as unanswered."""
    # Polls of an idle worker wait for longer than an order may take.
    monkeypatch.setattr(minions, "ORDER_TIMEOUT_S", 2.9)
    world = make_world_of_late_starts()
    world.run(0.35)
    world.submit("a" * 16, make_step(1))
    world.run(0.1)
    (name,) = [
        worker_name
        for worker_name, worker in world.fleet.workers.items()
        if worker.runs
    ]
    restart_as_leaving(world, world.workers[name], late_share=0.0)
    while not world.notes["given-up"]:
        world.run(fleets.TICK_S)
    assert world.notes["given-up"] == 1
    assert world.notes["start-refused"] == 0
    world.workers[name].crash()
    world.run(4)
    assert world.get_state("a" * 16) == "completed"
    assert world.starts == 1


def test_stop_of_an_ended_run_is_repeated_for_the_next_incarnation():
    world = make_world_of_late_starts()
    worker = run_until_repeated_start_begins(world)
    world.run(1.3)
    restart_as_leaving(world, worker, late_share=1.0)
    world.run(4)
    assert world.starts == 1


def test_task_waits_until_the_next_incarnation_refuses_its_start():
    """Load: one start was answered and began the run; another is in flight."""
    world = make_world_of_late_starts()
    worker = run_until_repeated_start_begins(world)
    restart_as_leaving(world, worker, late_share=1.0)
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
