"""How an owner gives the fleet to another node."""

import time
from collections.abc import Callable

import structlog

from poplarspindle.node import election, ownership

STORE_UNREACHABLE_S = 0.8  # Joins and appends confirm the store more often.
POLL_S = 0.05
RESIGN_WAIT_S = 0.3  # Time for the state thread to give ownership up.

_log = structlog.get_logger(part="ownership")


def resign_and_leave(
    held: ownership.Ownership | None,
    node_election: election.Election,
    put: Callable[[ownership.OwnershipLost], None],
    until: float,
) -> None:
    """Gives ownership up for good; not while nobody could take it.

    Args:
        held: The ownership, None where this node does not own the fleet.
        node_election: This node's standing.
        put: Takes events for the node's state.
        until: When to give it up at the latest, monotonic seconds.
    """
    while held is not None and not held.stop_event.is_set():
        unconfirmed_s = time.monotonic() - held.store_confirmed_at()
        if unconfirmed_s < STORE_UNREACHABLE_S or time.monotonic() >= until:
            held.extend_leases()
            break
        held.stop_event.wait(POLL_S)
    put(ownership.OwnershipLost(0, "leaving"))
    if held is not None:
        held.stop_event.wait(RESIGN_WAIT_S)
        node_election.resign(held.epoch)
    node_election.leave()


def step_down(
    held: ownership.Ownership,
    node_election: election.Election,
    put: Callable[[ownership.OwnershipLost], None],
    why: str,
) -> None:
    """Gives the fleet to another node and stands back for some time."""
    _log.info("steps-down", why=why, epoch=held.epoch)
    node_election.withdraw()
    held.extend_leases()
    put(ownership.OwnershipLost(held.epoch, why))
    held.stop_event.wait(RESIGN_WAIT_S)
    node_election.resign(held.epoch)
