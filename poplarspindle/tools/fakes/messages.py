"""Messages between owners and workers of the virtual fleet, and moments."""

import dataclasses
import enum

from poplarspindle.fleet import orders


class Kind(enum.StrEnum):
    """What a message is for.

    RENEWAL: a poll that asks for leases. ACKNOWLEDGEMENT: one that asks for
    none and names ends. LOOK: any other poll.
    """

    START = "start"
    STOP = "stop"
    PACE = "pace"
    RENEWAL = "renewal"
    ACKNOWLEDGEMENT = "acknowledgement"
    LOOK = "look"


class MomentKind(enum.StrEnum):
    """What happens at a moment."""

    START_SENT = "start-sent"
    START_CARRIED_OUT = "start-carried-out"
    START_ANSWERED = "start-answered"
    POLL_SENT = "poll-sent"
    POLL_CARRIED_OUT = "poll-carried-out"
    POLL_ANSWERED = "poll-answered"
    STOP_SENT = "stop-sent"
    STOP_CARRIED_OUT = "stop-carried-out"
    STOP_ANSWERED = "stop-answered"
    RUN_BEGINS = "run-begins"
    RUN_ENDS = "run-ends"
    END_LISTED = "end-listed"
    END_RECORDED = "end-recorded"
    END_ACKNOWLEDGED = "end-acknowledged"
    LEASE_ENDS_SOON = "lease-ends-soon"
    LEASE_LAPSED = "lease-lapsed"
    CLAIM_SENT = "claim-sent"
    CLAIMED = "claimed"
    TAKEOVER_READ = "takeover-read"
    TAKEN_OVER = "taken-over"
    RESIGNED = "resigned"
    WORKER_LISTED = "worker-listed"
    WORKER_UNLISTED = "worker-unlisted"


# A change of pace tells nothing that a moment is for.
SENT = {
    Kind.START: MomentKind.START_SENT,
    Kind.STOP: MomentKind.STOP_SENT,
    Kind.RENEWAL: MomentKind.POLL_SENT,
    Kind.ACKNOWLEDGEMENT: MomentKind.POLL_SENT,
    Kind.LOOK: MomentKind.POLL_SENT,
}
CARRIED_OUT = {
    MomentKind.START_SENT: MomentKind.START_CARRIED_OUT,
    MomentKind.STOP_SENT: MomentKind.STOP_CARRIED_OUT,
    MomentKind.POLL_SENT: MomentKind.POLL_CARRIED_OUT,
}
ANSWERED = {
    MomentKind.START_SENT: MomentKind.START_ANSWERED,
    MomentKind.STOP_SENT: MomentKind.STOP_ANSWERED,
    MomentKind.POLL_SENT: MomentKind.POLL_ANSWERED,
}


@dataclasses.dataclass(frozen=True, slots=True)
class Moment:
    """Something that happens in the fleet.

    Attributes:
        kind: What happens.
        worker: Name of the worker, empty for none.
        subject: Task and attempt, or the epoch of an owner.
        at: When, seconds of virtual time.
    """

    kind: MomentKind
    worker: str
    subject: str
    at: float


@dataclasses.dataclass(frozen=True, slots=True)
class Message:
    """One order or poll.

    Attributes:
        kind: What it is for.
        worker: Name of the worker that it is sent to.
        order: The order or the poll.
        owner: Epoch of the owner that sends it.
        number: Messages of this kind to this worker before it.
    """

    kind: Kind
    worker: str
    order: orders.Order | orders.Poll
    owner: int
    number: int


@dataclasses.dataclass(frozen=True, slots=True)
class Fate:
    """What becomes of a message.

    Attributes:
        carried_out_after_s: How much later than its arrival it is carried out;
            None for never. What is late reaches its worker through cuts.
        answered: Whether its answer comes back.
        from_arrival: Whether the leases that it asks for count from then.
        next_lives: Whether a later life of the worker carries it out too.
    """

    carried_out_after_s: float | None = 0.0
    answered: bool = True
    from_arrival: bool = False
    next_lives: bool = False


DELIVERED = Fate()


def find_kind(order: orders.Order | orders.Poll) -> Kind:
    """Returns what a message with an order or a poll is for."""
    if isinstance(order, orders.Start):
        return Kind.START
    if isinstance(order, orders.Stop):
        return Kind.STOP
    if isinstance(order, orders.Pace):
        return Kind.PACE
    if order.until_ms:
        return Kind.RENEWAL
    return Kind.ACKNOWLEDGEMENT if order.acknowledged_end else Kind.LOOK
