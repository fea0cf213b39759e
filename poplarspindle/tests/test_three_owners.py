"""Owners within seconds; what the last but one asked for comes late.

TWICE: each owner bounds its leases as if no owner before had granted any. What
the second of three asked for comes late, renews what the first one granted, and
outlasts the wait of the third one, which finds no record of the worker.
"""

import pytest

from poplarspindle.tests import test_unanswered_grants as late
from poplarspindle.tools.fakes import fleets, losses, messages

JUST_BEFORE_S = 0.1  # An order that is late comes so long before leases end.
LONGEST_DELAY_S = 12.0  # Orders that are carried out late are so at most.


class Delays:
    """Has each order that is late come just before the leases end.

    Args:
        world: The world; w0 is the worker.
    """

    def __init__(self, world):
        self._world = world
        self._ends_at = None
        self.count = 0
        world.rng.uniform = self.choose

    def choose(self, least, most):
        """Returns how late the next order is; it renews for 4 s at least."""
        world, worker = self._world, self._world.workers["w0"]
        if self._ends_at is None:
            left_ms = worker.until_ms - worker.clock_ms()
            self._ends_at = world.now + left_ms / 1000
        delay_s = self._ends_at - JUST_BEFORE_S - world.now
        assert late.LEAST_DELAY_S <= delay_s <= LONGEST_DELAY_S
        self._ends_at += late.leases.LEASE_MS / 1000 - JUST_BEFORE_S
        self.count += 1
        return delay_s


def extend_leases(world):
    """Lets the owner ask for its last leases, as one that resigns does."""
    owner = world.owner
    owner.run_soon(
        lambda: [
            poller.extend_leases(lambda: None)
            for poller in owner.pollers.list_all()
        ]
    )
    world.run(fleets.TICK_S)


def lose_last_leases(world):
    """Loses the leases that an owner asks for at its end."""
    is_lost = world.late_orders.is_lost
    world.late_orders.is_lost = lambda share, message: (
        message.kind is messages.Kind.RENEWAL or is_lost(share, message)
    )
    extend_leases(world)
    world.late_orders.is_lost = is_lost


def follow_each_other(world, owners, gap_s):
    """Lets owners follow each other; each gives the longest leases it may."""
    for _ in range(owners):
        world.run(gap_s)
        extend_leases(world)
        world.take_over()


@pytest.mark.parametrize("step", late.STEPS)
@pytest.mark.parametrize(
    ("lose", "orders"),
    [
        pytest.param(lambda world: None, 1, id="renewal"),
        pytest.param(late.lose_start, 2, id="renewal-and-start"),
        pytest.param(lose_last_leases, 2, id="renewal-and-last-leases"),
    ],
)
def test_late_grants_of_the_second_of_three_owners_outlast_the_third_ones_wait(
    lose, orders, step
):
    """TWICE: nodes are stopped one after the other, as in a roll."""
    grant_late(late.make_world(step, []), lose, orders, owners=3, gap_s=0.0)


@pytest.mark.parametrize("step", late.STEPS)
@pytest.mark.parametrize(
    "lose",
    [
        pytest.param(late.lose_start, id="renewal-and-start"),
        pytest.param(lose_last_leases, id="renewal-and-last-leases"),
    ],
)
@pytest.mark.parametrize("gap_s", [0.1, 0.5, 1.5])
@pytest.mark.parametrize("owners", [4, 5])
def test_late_grants_of_the_last_but_one_of_many_owners_outlast_the_wait(
    owners, gap_s, lose, step
):
    """TWICE: as with three, where the first ones hand the leases on."""
    grant_late(late.make_world(step, []), lose, 2, owners, gap_s)


def grant_late(world, lose, orders, owners, gap_s):
    """Lets the last owner but one lose a renewal and more, all late."""
    delays = Delays(world)
    follow_each_other(world, owners - 2, gap_s)
    losses.lose_polls(world, "w0", 1, [messages.Kind.RENEWAL])
    lose(world)
    assert 1 <= delays.count <= orders  # The bound may hold some back.
    late.cut_off(world)
    world.take_over()
    world.run(late.CUT_S)
    late.mend(world)
    world.run(2 * late.RUN_S)
    assert world.list_violations() == []
