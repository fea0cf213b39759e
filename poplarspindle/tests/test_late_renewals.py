"""An order without an answer renews its worker's leases when it comes late.

The worker is out of reach then, so that its owner can only wait. See
`test_late_starts` for what such a start begins itself.
"""

import pytest

from poplarspindle import resources
from poplarspindle.fleet import work
from poplarspindle.tools.fakes import fleets, losses, messages

STEP = work.Step(1, resources.Resources(1000, 1000, 0), 500)
RUNNING, LOST = "a" * 16, "b" * 16
LATE_S = 3.5  # Before the leases end that the owner knows of.
RUN_S = 10.0  # Longer than the leases that the owner knows of.
POLL_S = 0.25  # By then the next owner has polled.
NOTED_S = 1.8  # By then an order without an answer counts as such.


def make_world():
    """Makes a world where w0 alone is listed at first and runs a task."""
    world = fleets.World(
        1,
        workers=2,
        run_s=lambda rng: RUN_S,
        late_s=(LATE_S, LATE_S),
        late_leases=True,
        late_grants=True,
    )
    world.unlisted.add("w1")
    world.run(0.5)
    world.submit(RUNNING, STEP)
    world.run(1.0)
    assert world.starts == 1
    return world


def cut_off(world):
    """Cuts w0 off; from now on tasks can be placed on w1."""
    world.workers["w0"].reachable = False
    world.unlisted.clear()


def lose_start(world):
    world.late = 1.0
    world.submit(LOST, STEP)
    world.run(0.1)
    world.late = 0.0


def lose_polls(world):
    losses.lose_polls(world, kinds=[messages.Kind.RENEWAL])


@pytest.mark.parametrize("taken_over", [False, True])
@pytest.mark.parametrize("lose", [lose_start, lose_polls])
def test_late_order_renews_the_leases_of_a_worker_out_of_reach(
    lose, taken_over
):
    """TWICE: the run that was there before goes on after it was given up."""
    world = make_world()
    lose(world)
    cut_off(world)
    if taken_over:
        world.run(NOTED_S)
        world.take_over()
    world.run(LATE_S + 2 * RUN_S)
    assert world.list_violations() == []


def test_late_poll_of_an_earlier_owner_is_refused():
    """The next owner's poll came first, so its epoch is known."""
    world = make_world()
    lose_polls(world)
    world.take_over()
    world.run(POLL_S)
    cut_off(world)
    until_ms = world.workers["w0"].until_ms
    world.run(2 * LATE_S)
    assert world.workers["w0"].until_ms == until_ms
    assert world.list_violations() == []
