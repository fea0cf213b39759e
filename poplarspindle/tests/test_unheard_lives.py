"""A run began and ended in a life of its worker that its owner had not heard.

LOST: it counts as a crash of the life before and is given up; its end, which
the same report lists, comes too late and is acknowledged.
"""

import pytest

from poplarspindle.fleet import events, work
from poplarspindle.tests import test_unanswered_grants as late


def report_next_life(world, *found):
    """Lets w0 begin anew; its first report lists these ends."""
    poller = world.owner.pollers.get("w0")
    poller.stopped = True
    worker = world.workers["w0"]
    names = list(worker.runs)
    worker.crash()
    ends = [
        work.Ended(number, *names[index], reason, "")
        for number, (index, reason) in enumerate(found, 1)
    ]
    report = work.Report(
        worker.clock_ms(), worker.incarnation_ms, (), tuple(ends)
    )
    world.owner.post(
        events.Reported(
            world.now,
            world.wall_ms(),
            "w0",
            world.now,
            0,
            report,
            0,
            poller.fence.token,
        )
    )
    world.run(0.2)


@pytest.mark.parametrize("step", late.STEPS[:2])  # The other has no such end.
def test_run_that_is_done_in_a_life_not_heard_before_counts_as_done(step):
    """LOST: it counts as a crash, is given up, and then its end is late."""
    world = late.make_world(step, [late.IN_LEASE_S])
    done = work.EndReason.DONE
    report_next_life(world, *((index, done) for index in range(late.TASKS)))
    assert world.get_state(late.RUNNING) == "completed"
    assert (world.notes["crashed"], world.notes["given-up"]) == (0, 0)
    assert world.notes["stale-end"] == 0


def test_run_without_end_in_a_life_not_heard_before_is_lost_with_its_worker():
    """LOST: only what the report lists is known not to be lost."""
    world = late.make_world({}, [late.IN_LEASE_S])
    report_next_life(world, (0, work.EndReason.DONE))
    assert world.notes["crashed"] == 1
    assert world.notes["given-up"] >= late.TASKS - 1
    assert world.get_state(late.RUNNING) != "completed"
