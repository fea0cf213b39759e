"""Leases that a worker has when it first reports to an owner.

TWICE: a start and a renewal of the owner before are carried out late, on a
worker that the next owner hears once. Its leases are longer than any that this
owner knows of.
"""

import pytest

from poplarspindle.fleet import work
from poplarspindle.tests import test_three_owners as rows
from poplarspindle.tests import test_unanswered_grants as late
from poplarspindle.tools.fakes import owners

START_S, RENEWAL_S = 11.0, 11.1  # After the next owner's wait for leases.
STEP_S = 0.001  # Shorter than the time from one poll to the next.
STALL_S = 2.0


@pytest.mark.parametrize("step", late.STEPS)
def test_leases_of_late_orders_count_from_the_next_owners_first_report(step):
    """TWICE: the worker is cut off again before that owner renews any."""
    world = late.make_idle_world([START_S, RENEWAL_S])
    world.run(1.0)
    job = late.LOST_JOBS[0]
    late.lose_start(world, job, work.Step(1, late.CORE, 500, (), **step))
    rows.lose_last_leases(world)
    late.cut_off(world)
    world.take_over()
    world.run(RENEWAL_S)
    worker = world.workers["w0"]
    assert late.count_at_work(worker, job) == 1
    worker.reachable = True
    while not world.fleet.workers["w0"].has_reported:
        world.run(STEP_S)
    worker.reachable = False
    world.owner.stall(owners.CALLS, STALL_S)
    world.run(late.CUT_S)
    late.mend(world)
    world.run(2 * late.RUN_S)
    assert world.list_violations() == []
