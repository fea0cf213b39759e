"""Decisions on callers' requests: their ids and what callers are told.

State belongs to one entry; callers hold its lock while they decide.
"""

import dataclasses
import enum

from poplarspindle import outcomes


class Outcome(enum.StrEnum):
    """What a caller is told of its request."""

    ANSWERED = "answered"
    NOT_RUN = "not-run"
    UNKNOWN = "unknown"


@dataclasses.dataclass(frozen=True, slots=True)
class Verdict:
    """The end of a request.

    Attributes:
        outcome: What the caller is told.
        reason: Short tag.
        step: Step at which it ended.
        peer: Peer of that step.
    """

    outcome: Outcome
    reason: str
    step: outcomes.Step
    peer: str = ""


class State:
    """Everything that one entry decides requests by.

    Attributes:
        incarnation: Unique id of the process; its ids start with it.
        minted: Number of ids handed out.
        used: Ids of non-idempotent requests dispatched, oldest first.
    """

    def __init__(self, incarnation: str) -> None:
        self.incarnation = incarnation
        self.minted = 0
        self.used: dict[str, None] = {}


def mint_ids(own: State, count: int) -> tuple[str, ...]:
    """Hands out ids that no other incarnation can hand out."""
    first = own.minted
    own.minted += count
    return tuple(f"{own.incarnation}.{first + i}" for i in range(count))


def check_id(own: State, request: str, idempotent: bool) -> Verdict | None:
    """Decides whether a request id may be dispatched here.

    Args:
        own: The entry's state.
        request: The caller's id.
        idempotent: Whether the caller marked it so.

    Returns:
        The refusal, or None where it may be dispatched.
    """
    if idempotent:
        return None
    minter, _, number = request.rpartition(".")
    if minter != own.incarnation or not number.isdigit():
        return Verdict(
            Outcome.UNKNOWN, "other-incarnation", outcomes.Step.CLAIM
        )
    if int(number) >= own.minted:
        return Verdict(Outcome.NOT_RUN, "never-minted", outcomes.Step.CLAIM)
    if request in own.used:
        return Verdict(Outcome.UNKNOWN, "repeated-id", outcomes.Step.CLAIM)
    own.used[request] = None
    return None
