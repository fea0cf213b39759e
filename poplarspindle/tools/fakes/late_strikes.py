"""Strikes of walks that come together with orders that are carried out late.

A worker goes out of reach just after an order to it got no answer: its owner
can't repeat the order, and has to decide when the worker's runs are over.
"""

import typing

if typing.TYPE_CHECKING:
    from poplarspindle.tools.fakes import fleets

RETRY_S = 0.4  # An order without an answer is repeated about then.
CUTS_S = 20.0  # Of the walk, after all jobs are there.
CUT_S = (3.0, 16.0)  # Shorter than the leases, and longer than late orders.


def delay_most(world: "fleets.World") -> None:
    """Lets most orders be late for a while, polls too where any are."""
    more = world.rng.uniform(0.2, 0.9)
    more_polls = world.rng.uniform(0.2, 0.8) if world.late_polls else 0.0
    world.late += more
    world.late_polls += more_polls

    def mend() -> None:
        world.late -= more
        world.late_polls -= more_polls

    world.call_later(world.rng.uniform(0.5, 4.0), mend)


def make_cuts(world: "fleets.World", share: float) -> None:
    """Cuts workers off after a share of the orders to them that are late.

    Some begin another life meanwhile, some are missing from the list, and
    some owners end before the worker is back.
    """

    def disconnect(name: str) -> None:
        if world.rng.random() >= share or not world.workers[name].reachable:
            return
        world.call_later(
            world.rng.uniform(0.0, RETRY_S), lambda: _disconnect(world, name)
        )

    world.after_deferred = disconnect


def end_cuts(world: "fleets.World") -> None:
    """Lets time pass with cuts, then ends them and what is to come of them."""
    world.run(CUTS_S)
    world.after_deferred = lambda name: None
    for worker in world.workers.values():
        worker.reachable = True
    world.run(CUT_S[1] + RETRY_S)
    world.late = world.late_polls = 0.0


def _disconnect(world: "fleets.World", name: str) -> None:
    worker, rng = world.workers[name], world.rng
    cut_s, kind = rng.uniform(*CUT_S), rng.random()
    worker.reachable = False
    if kind < 0.2:
        world.call_later(rng.uniform(0.0, cut_s), worker.crash)
    elif kind < 0.5:
        world.call_later(rng.uniform(0.0, cut_s), world.take_over)
    elif kind < 0.6:
        world.unlisted.add(name)

    def mend() -> None:
        worker.reachable = True
        world.unlisted.discard(name)

    world.call_later(cut_s, mend)
