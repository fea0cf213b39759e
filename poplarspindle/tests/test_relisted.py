"""A worker that was unreachable and unlisted is used once it is back."""

from poplarspindle import resources
from poplarspindle.fleet import work
from poplarspindle.tools.fakes import fleets


def test_worker_relisted_after_it_was_unreachable_gets_tasks():
    """Its state is dropped while the log still lists it as unreachable."""
    world = fleets.World(1, workers=1, run_s=lambda rng: 1.0)
    step = work.Step(4, resources.Resources(1000, 1000, 0), 500, ())
    world.submit("a" * 16, step)
    world.run(0.5)
    world.workers["w0"].up = False
    world.run(8)
    world.workers["w0"].crash()
    world.workers["w0"].up = True
    world.run(8)
    assert world.get_state("a" * 16) == "completed"
