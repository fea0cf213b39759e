"""No task and no worker falls out of the owner's books."""

import pytest

from poplarspindle import resources
from poplarspindle.fleet import consolidation, events, orders, work
from poplarspindle.tools.fakes import bookkeeping, fleets

CORE = resources.Resources(1000, 1000, 0)
OUTAGE_S = 10.0  # Longer than the leases.


def make_step(tasks, **options):
    return work.Step(tasks, CORE, 500, **options)


def count_running(world):
    return sum(len(worker.runs) for worker in world.workers.values())


@pytest.mark.parametrize("cut_off", [4, 3, 1])
def test_worker_listed_again_after_an_outage_gets_work(cut_off):
    """LOST: workers were cut off and unlisted for longer than their leases.

    The log listed them as unreachable, nothing took them off that record, and
    tasks waited beside their free room.
    """
    world = fleets.World(1)
    world.submit("a" * 16, make_step(32, until_cancelled=True))
    world.run(1)
    names = list(world.workers)[:cut_off]
    world.unlisted.update(names)
    for name in names:
        world.workers[name].reachable = False
    world.run(OUTAGE_S)
    for name in names:
        world.workers[name].reachable = True
    world.unlisted.clear()
    world.run(2)
    assert bookkeeping.list_idle(world) == []
    assert count_running(world) == 32


@pytest.mark.parametrize(
    "refusal", [orders.Refusal.LATE, orders.Refusal.NO_ANSWER]
)
def test_start_refused_while_polls_fail_is_sent_again(refusal):
    """LOST: a start came too late at a worker that had just failed a poll.

    It was neither repeated nor given up, and the task never ran.
    """
    world = fleets.World(1, workers=1)
    world.run(1)
    worker = world.workers["w0"]
    start = worker.start

    def refuse_once(order):
        worker.start = start
        world._reduce(events.PollFailed(world.now, "w0", "timeout"))
        return orders.Answer(refusal, worker.clock_ms())

    worker.start = refuse_once
    world.submit("a" * 16, make_step(1, until_cancelled=True))
    world.run(5)  # A poll of an idle worker waits for 2 s.
    assert count_running(world) == 1


def test_serving_task_is_placed_on_a_vacated_worker_if_others_are_full():
    """LOST: a task that lasts waited until the vacating of a worker was over.

    Capacity elsewhere was taken after its run there was stopped.
    """
    world = fleets.World(1, workers=2)
    world.submit("b" * 16, make_step(8, until_cancelled=True, label="r1"))
    serving = {"until_cancelled": True, "image": "s", "target_ms": 9}
    world.submit("a" * 16, make_step(1, **serving))
    world.run(1)
    world.fleet.vacating_worker = "w0"
    world.fleet.vacating_until = world.now + consolidation.MAX_VACATE_S
    world.submit("c" * 16, make_step(1, **serving))
    world.run(1)
    assert count_running(world) == 10
