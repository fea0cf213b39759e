"""Late starts of an owner before, carried out in a worker's next life.

TWICE: the worker answered the present owner, so it refuses them; its next life
has not, and may carry them out.
"""

import pytest

from poplarspindle.fleet import work
from poplarspindle.tests import test_unanswered_grants as late
from poplarspindle.tools.fakes import fleets

JOB = "f" * 16


@pytest.mark.parametrize("owners", [0, 1, 2])
@pytest.mark.parametrize("step", late.STEPS)
def test_late_start_of_an_owner_before_begins_a_run_in_the_next_life(
    step, owners
):
    """TWICE: the next owner heard the life before, and waits for leases."""
    world = fleets.World(
        1,
        workers=2,
        run_s=lambda rng: late.RUN_S,
        late_s=(11.0, 11.0),
        late_incarnations=True,
        late_leases=True,
        late_grants=True,
    )
    world.unlisted.add("w1")
    world.run(1.0)
    late.lose_start(
        world, JOB, work.Step(late.TASKS, late.CORE, 500, (), **step)
    )
    world.run(1.0)
    worker = world.workers["w0"]
    assert late.count_at_work(worker, JOB) == late.TASKS
    for _ in range(owners):
        world.take_over()
        world.run(1.0)
    world.run(1.0)
    worker.crash()
    worker.fencing_epoch = 1  # An owner long gone spoke to this life.
    late.cut_off(world)
    world.run(late.CUT_S)
    late.mend(world)
    world.run(2 * late.RUN_S)
    assert world.list_violations() == []
