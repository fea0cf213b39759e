"""No run counts as over, and no end as counted, without word of its worker."""

import dataclasses

from poplarspindle import resources
from poplarspindle.fleet import orders, work
from poplarspindle.tools.fakes import fleets

CORE = resources.Resources(1000, 1000, 0)
JOB = "a" * 16


def make_step(tasks=1, **options):
    return work.Step(tasks, CORE, 500, (), **options)


def list_runs(world):
    return [run for worker in world.workers.values() for run in worker.ledger]


def find_worker_of_an_unanswered_start(world):
    """Runs until a start is noted as unanswered; returns its worker."""
    while not world.notes["start-refused"]:
        world.run(fleets.TICK_S)
    (name,) = [n for n, w in world.fleet.workers.items() if w.runs]
    return world.workers[name]


def test_later_attempt_is_stopped_while_other_tasks_of_its_job_go_on():
    """Load: the owner is behind with a worker whose run was done.

    The job has not ended with that task, so nothing else stops the attempt.
    """
    world = fleets.World(1, workers=2)
    world.submit(JOB, make_step(), work.Step(1, CORE, 500, (0,)))
    while not world.starts:
        world.run(fleets.TICK_S)
    (name,) = [n for n, w in world.workers.items() if w.runs]
    world.hold_back(name)
    while world.starts < 2:
        world.run(fleets.TICK_S)
    world.catch_up(name)
    world.run(0.45)
    later = [r for r in list_runs(world) if r.attempt == 2]
    assert [r.how for r in later] == [work.EndReason.STOPPED]


def test_task_waits_while_no_stop_reaches_the_next_incarnation():
    """TWICE: a start is on its way to a worker that began anew.

    The stop that refuses it there gets no answer until it has arrived. The
    earlier incarnation answered a repeated start, which proves nothing now.
    """
    world = fleets.World(
        1,
        workers=2,
        run_s=lambda rng: 1.0,
        late=1.0,
        late_s=(3.0, 3.0),
        late_incarnations=True,
    )
    world.submit(JOB, make_step())
    worker = find_worker_of_an_unanswered_start(world)
    world.late = 0.0
    while not world.starts:
        world.run(fleets.TICK_S)
    stop = worker.stop
    worker.stop = lambda order: orders.Answer(orders.Refusal.NO_ANSWER)
    worker.crash()
    worker.description = dataclasses.replace(
        worker.description, presence=work.Presence.LEAVING, leaves_ms=9000
    )
    world.run(3.5)
    worker.stop = stop
    world.run(5)
    assert world.get_state(JOB) == "completed"
    assert world.list_violations() == []
