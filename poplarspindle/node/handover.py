"""How an owner gives the fleet to another node."""

from collections.abc import Callable

import structlog

from poplarspindle.node import clocks, election, ownership

STORE_UNREACHABLE_S = 0.8  # Joins and appends confirm the store more often.
POLL_S = 0.05
RESIGN_WAIT_S = 0.3  # Time for the state thread to give ownership up.

_log = structlog.get_logger(part="ownership")


def resign_and_leave(
    held_ownership: ownership.Ownership | None,
    node_election: election.Election,
    put: Callable[[ownership.OwnershipLost], None],
    until: float,
) -> None:
    """Gives ownership up for good; not while nobody could take it.

    Args:
        held_ownership: The ownership, None where this node does not own the
            fleet.
        node_election: This node's standing.
        put: Takes events for the node's state.
        until: When to give it up at the latest, steady seconds.
    """
    while held_ownership is not None and not held_ownership.stop_event.is_set():
        unheard_s = clocks.get_steady_s() - held_ownership.store_heard_at()
        if unheard_s < STORE_UNREACHABLE_S or clocks.get_steady_s() >= until:
            held_ownership.extend_leases()
            break
        held_ownership.stop_event.wait(POLL_S)
    put(ownership.OwnershipLost(0, "leaving"))
    if held_ownership is not None:
        held_ownership.stop_event.wait(RESIGN_WAIT_S)
        node_election.resign(held_ownership.epoch)
    node_election.leave()


def step_down(
    held_ownership: ownership.Ownership,
    node_election: election.Election,
    put: Callable[[ownership.OwnershipLost], None],
    why: str,
) -> None:
    """Gives the fleet to another node and stands back for some time."""
    _log.info("steps-down", why=why, epoch=held_ownership.epoch)
    node_election.withdraw()
    held_ownership.extend_leases()
    put(ownership.OwnershipLost(held_ownership.epoch, why))
    held_ownership.stop_event.wait(RESIGN_WAIT_S)
    node_election.resign(held_ownership.epoch)
