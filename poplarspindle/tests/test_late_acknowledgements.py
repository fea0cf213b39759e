"""A poll that is carried out late acknowledges ends that no owner has seen."""

from poplarspindle import resources
from poplarspindle.fleet import work
from poplarspindle.tools.fakes import fleets, losses

STEP = work.Step(1, resources.Resources(1000, 1000, 0), 500)
LATE_S = 4.0  # Of the poll; the leases of the run last until then.
RUN_S = 1.0
POLL_S = 0.25


def test_late_poll_of_the_life_before_acknowledges_no_end_of_the_next():
    """TWICE: a worker begins anew under its name, and its ends count from 1.

    The late poll names the last end of the life before. The end of a run that
    the owner has not heard of is forgotten, so the run is taken to be lost.
    """
    world = fleets.World(
        1,
        workers=1,
        run_s=lambda rng: RUN_S,
        late_s=(LATE_S, LATE_S),
        late_incarnations=True,
    )
    world.submit("a" * 16, STEP)
    world.run(RUN_S + 1.0)
    assert world.get_state("a" * 16) == "completed"
    losses.lose_polls(world)
    worker = world.workers["w0"]
    worker.crash()
    world.run(2 * POLL_S)
    world.submit("b" * 16, STEP)
    while not worker.runs:
        world.run(fleets.TICK_S)
    world.run(POLL_S)
    worker.reachable = False
    world.run(LATE_S - 0.5)
    worker.reachable = True
    world.run(RUN_S + 2.0)
    assert world.get_state("b" * 16) == "completed"
    assert world.list_violations() == []
