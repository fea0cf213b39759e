"""How many requests one entry may have at a minion.

Entries don't see each other's requests. The connections of a minion are
split over all entries that may live at once, so their sum always fits; the
slots are not split, since a share of one slot would leave most of them idle.
"""

import dataclasses

FIRST_REFUSED_WAIT_S = 0.005
MAX_REFUSED_WAIT_S = 0.5


@dataclasses.dataclass(slots=True)
class SlotBackoff:
    """What refusals of a minion with hard slots say of its room.

    Attributes:
        until: Until when nothing is sent, monotonic seconds.
        refusals: Refusals in a row.
    """

    until: float = 0.0
    refusals: int = 0


def compute_connection_share(connections: int, entries: int) -> int:
    """Returns how many connections one entry may hold to a minion.

    Args:
        connections: Connections that the minion accepts, 0 where unknown.
        entries: Entries alive at once, overlap at replacement included.
    """
    return max(1, connections // max(1, entries))


def has_free_slot(
    fullness: SlotBackoff, sent: int, share: int, at: float
) -> bool:
    """Tells whether one more request may go to a minion now."""
    return sent < share and fullness.until <= at


def record_refusal(fullness: SlotBackoff, at: float) -> None:
    """Notes that a minion refused for want of a slot; waits double."""
    wait_s = min(
        MAX_REFUSED_WAIT_S, FIRST_REFUSED_WAIT_S * 2**fullness.refusals
    )
    fullness.refusals += 1
    fullness.until = at + wait_s


def record_accepted(fullness: SlotBackoff) -> None:
    """Notes that a minion took a request."""
    fullness.refusals = 0
    fullness.until = 0.0
