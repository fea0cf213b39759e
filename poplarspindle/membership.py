"""Decisions on the platform's lagging list of instances.

A list that looks wrong is not taken over: an empty one, or one without any
minion where there were some, would stop all service at once, while a member
that is really gone only costs a failed connection.
"""

import dataclasses
import enum

from poplarspindle import reports


class ListVerdict(enum.StrEnum):
    """How a read of the list was judged."""

    TAKEN = "taken"
    EMPTY = "empty"
    NO_MINIONS = "no-minions"
    SELF_MISSING = "self-missing"


@dataclasses.dataclass(frozen=True, slots=True)
class ListDecision:
    """What a read of the list came to.

    Attributes:
        reading: How it was judged.
        taken: Whether it replaced the one before.
        announce: Whether this instance must announce itself again.
    """

    reading: ListVerdict
    taken: bool
    announce: bool


class State:
    """The list as one entry last took it over.

    Attributes:
        name: This instance's name in the list.
        members: Member by name.
        taken_at: When it was taken over, monotonic seconds.
        ready: Whether a list was ever taken over.
    """

    def __init__(self, name: str, now: float) -> None:
        self.name = name
        self.members: dict[str, reports.Member] = {}
        self.taken_at = now
        self.ready = False


def apply_list(
    state: State,
    listed: tuple[reports.Member, ...],
    presence: reports.Presence,
    now: float,
) -> ListDecision:
    """Takes a list over, unless it looks wrong.

    Args:
        state: The entry's state.
        listed: The list as read.
        presence: What this instance last announced of itself.
        now: Monotonic seconds.

    Returns:
        The judgement.
    """
    table = {member.name: member for member in listed}
    shown = table.get(state.name)
    announce = shown is None or shown.presence is not presence
    if state.members and not table:
        return ListDecision(ListVerdict.EMPTY, False, announce)
    if _has_minions(state.members) and not _has_minions(table):
        return ListDecision(ListVerdict.NO_MINIONS, False, announce)
    state.members = table
    state.taken_at = now
    state.ready = True
    reading = ListVerdict.TAKEN if shown else ListVerdict.SELF_MISSING
    return ListDecision(reading, True, announce)


def compute_age(state: State, now: float) -> float:
    """Returns the age of the list in use, seconds."""
    return now - state.taken_at


def find_peer(state: State, incarnation: str) -> str:
    """Returns the peer address of one of our processes, empty for none."""
    member = state.members.get(incarnation)
    return member.peer_address if member else ""


def list_peers(state: State, role: reports.Role) -> tuple[str, ...]:
    """Returns the peer addresses of all others in a role, by name."""
    return tuple(
        member.peer_address
        for name, member in sorted(state.members.items())
        if member.role is role and member.peer_address and name != state.name
    )


def _has_minions(table: dict[str, reports.Member]) -> bool:
    return any(m.role is reports.Role.MINION for m in table.values())
