"""Leases that earlier owners' orders granted, where nothing ran at the time.

TWICE: a task is placed on a worker whose leases an owner before renewed while
it was idle. The present owner counts its own orders only, and so gives the run
up before the worker ends it.
"""

import pytest

from poplarspindle.fleet import fencing, lease_bounds, work
from poplarspindle.node import lease_keeping
from poplarspindle.tests import test_three_owners as three
from poplarspindle.tests import test_unanswered_grants as late
from poplarspindle.tools.fakes import fleets

JOB = "f" * 16


def start(world, step, cut_after_s=0.0):
    """Places a job on w0 and cuts it off once it is at work."""
    world.submit(JOB, work.Step(late.TASKS, late.CORE, 500, (), **step))
    until = world.now + 3.0
    while late.count_at_work(world.workers["w0"], JOB) < late.TASKS:
        world.run(0.01)
        assert world.now < until
    world.run(cut_after_s)
    late.cut_off(world)


def run_beyond_the_cut(world):
    world.run(late.CUT_S)
    late.mend(world)
    world.run(2 * late.RUN_S)


@pytest.mark.parametrize("step", late.STEPS)
def test_last_leases_of_an_owner_before_outlast_the_wait_for_a_new_run(step):
    """TWICE: the worker was idle as the owner before resigned."""
    world = late.make_idle_world([late.IN_LEASE_S])
    world.run(1.0)
    three.extend_leases(world)
    world.take_over()
    start(world, step)
    run_beyond_the_cut(world)
    assert world.list_violations() == []


@pytest.mark.parametrize("step", late.STEPS)
def test_late_leases_of_an_owner_before_outlast_the_wait_for_a_new_run(step):
    """TWICE: they come just before the first look of the next owner."""
    world = late.make_idle_world([2.0])
    world.run(1.0)
    world.owner.record_append(world.now)
    three.lose_last_leases(world)
    world.workers["w0"].reachable = False
    world.take_over()
    world.run(2.0)
    assert world.workers["w0"].until_ms - world.workers["w0"].clock_ms() > 5000
    world.workers["w0"].reachable = True
    start(world, step)
    run_beyond_the_cut(world)
    assert world.list_violations() == []


@pytest.mark.parametrize("step", late.STEPS)
def test_leases_for_runs_of_a_cancelled_job_outlast_the_wait_for_a_new_run(
    step,
):
    """TWICE: what ran there is of no open job; its leases hold for all runs."""
    world = late.make_world({"until_cancelled": True}, [late.IN_LEASE_S])
    world.cancel(late.RUNNING)
    world.run(late.TAKEN_NOTE_OF_S)
    three.extend_leases(world)
    world.take_over()
    start(world, step)
    run_beyond_the_cut(world)
    assert world.list_violations() == []


@pytest.mark.parametrize("step", late.STEPS)
def test_late_leases_in_a_next_life_outlast_the_wait_for_a_new_run(step):
    """TWICE: its owner's own order comes before the life's first look."""
    world = fleets.World(
        1,
        workers=2,
        run_s=lambda rng: late.RUN_S,
        late_s=(2.0, 2.0),
        late_incarnations=True,
        late_leases=True,
        late_grants=True,
    )
    world.unlisted.add("w1")
    world.run(20.0)  # The clock of this life is far ahead of the next one's.
    worker = world.workers["w0"]
    world.owner.record_append(world.now)
    three.lose_last_leases(world)
    worker.reachable = False
    worker.crash()
    worker.fencing_epoch = 1  # An owner long gone spoke to this life.
    world.run(2.0)
    assert worker.until_ms - worker.clock_ms() > 5000
    worker.reachable = True
    start(world, step)
    run_beyond_the_cut(world)
    assert world.list_violations() == []


@pytest.mark.parametrize("step", late.STEPS)
def test_late_leases_on_an_idle_worker_outlast_the_wait_for_a_new_run(step):
    """TWICE, one owner: they come after the leases that it knows of ended."""
    world = late.make_idle_world([11.0])
    world.run(1.0)
    world.owner.record_append(world.now)
    three.lose_last_leases(world)  # As are asked for while the store is silent.
    worker = world.workers["w0"]
    worker.reachable = False
    world.run(11.05)
    left_ms = worker.until_ms - worker.clock_ms()
    assert left_ms > 5000
    worker.reachable = True
    world.owner.record_append(world.now)
    start(world, step, 0.05)
    run_beyond_the_cut(world)
    assert world.list_violations() == []


def test_late_leases_that_came_after_the_last_ones_ended_are_not_counted():
    """TWICE: an idle worker takes them, and they hold for the next run."""
    fence = fencing.Fence(1, 1, 1, lease_bounds.Account(leases_end_at=10.0))
    lease_bounds.record_sent(fence.account, 1.0, 1, 8.0, 6000)
    keeper = lease_keeping.LeaseKeeper(None, fence)
    keeper.record_carried_out(2.0, 2, 19.0)
    assert fence.account.leases_end_at >= 19.0 + 6.0


@pytest.mark.parametrize("step", late.STEPS)
def test_late_leases_of_a_worker_that_is_listed_again_are_not_counted(step):
    """TWICE, one owner: it forgot the worker, as nothing ran there."""
    world = late.make_idle_world([6.0])
    world.run(1.0)
    world.owner.record_append(world.now)
    three.lose_last_leases(world)
    worker = world.workers["w0"]
    worker.reachable = False
    world.run(3.3)
    world.unlisted.add("w0")
    world.run(2.75)
    assert "w0" not in world.fleet.workers
    assert worker.until_ms - worker.clock_ms() > 5000
    worker.reachable = True
    world.unlisted.discard("w0")
    world.owner.record_append(world.now)
    start(world, step)
    run_beyond_the_cut(world)
    assert world.list_violations() == []


@pytest.mark.parametrize("step", late.STEPS)
def test_leases_of_an_owner_before_come_late_to_an_idle_worker(step):
    """TWICE: they come after the wait of the next owner, which ends then."""
    world = late.make_idle_world([11.0])
    world.run(1.0)
    world.owner.record_append(world.now)
    three.lose_last_leases(world)
    worker = world.workers["w0"]
    worker.reachable = False
    world.take_over()
    world.run(11.0)
    assert worker.until_ms - worker.clock_ms() > 5000
    worker.reachable = True
    world.owner.record_append(world.now)
    start(world, step)
    run_beyond_the_cut(world)
    assert world.list_violations() == []
