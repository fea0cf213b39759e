"""Orders and polls that the owner sends to workers, and their answers."""

import dataclasses
import enum

from poplarspindle.fleet import work


@dataclasses.dataclass(frozen=True, slots=True)
class Start:
    """Order to start a run.

    Attributes:
        task: The task.
        attempt: Attempt number of the run.
        epoch: Fencing token; the owner's epoch until the order is sent, see
            `fencing`.
        spec: The job's opaque text.
        until_ms: End of the worker's leases, on its clock.
        checkpoint: Checkpoint to resume from, empty for none.
        decided_at: When it was decided, on the owner's clock.
        priority: Priority of the job's queue; 0 comes first.
    """

    task: work.TaskName
    attempt: int
    epoch: int
    spec: str
    until_ms: int
    checkpoint: str = ""
    decided_at: float = dataclasses.field(default=float("inf"), compare=False)
    priority: int = dataclasses.field(default=0, compare=False)


@dataclasses.dataclass(frozen=True, slots=True)
class Stop:
    """Order to stop a run; a start that arrives later is refused."""

    task: work.TaskName
    attempt: int
    epoch: int


@dataclasses.dataclass(frozen=True, slots=True)
class Pace:
    """Order to run at `percent` of full speed."""

    task: work.TaskName
    attempt: int
    epoch: int
    percent: int


Order = Start | Stop | Pace


@dataclasses.dataclass(frozen=True, slots=True)
class Poll:
    """Long poll that renews a worker's leases and asks for a report.

    Attributes:
        epoch: Epoch of the owner that polls.
        acknowledged_end: Number of the last run end that is recorded, which
            acknowledges all ends up to it.
        until_ms: New end of the leases, on the worker's clock; 0 renews
            nothing.
        wait_ms: How long the worker waits for a run to end before it answers.
    """

    epoch: int
    acknowledged_end: int
    until_ms: int
    wait_ms: int


URGENCY_OF_OTHERS = -1  # Stops free resources, paces protect what serves.


def find_urgency(order: Order) -> int:
    """Returns the urgency of an order to a worker; the lowest goes first."""
    return order.priority if isinstance(order, Start) else URGENCY_OF_OTHERS


def starts_run_of(order: Order, stop: Stop) -> bool:
    """Tells whether an order is to start the run that another is to stop."""
    run = (stop.task, stop.attempt)
    return isinstance(order, Start) and (order.task, order.attempt) == run


class Refusal(enum.StrEnum):
    """Why an order was not carried out, or may not have been.

    FENCED: the worker has seen a newer epoch. OVERTAKEN: it has seen a higher
    token of the same owner. ENDED: the attempt is over.
    LATE: the leases in the order have expired. NO_CAPACITY: too few free
    resources. OTHER_INCARNATION: another incarnation answered. NO_ANSWER: the
    order may have taken effect, but no answer came. UNREACHABLE: the order was
    not delivered.
    """

    FENCED = "fenced"
    OVERTAKEN = "overtaken"
    ENDED = "ended"
    LATE = "late"
    NO_CAPACITY = "room"
    BUSY = "busy"
    OTHER_INCARNATION = "other-life"
    NO_ANSWER = "silent"
    UNREACHABLE = "unreachable"
    MALFORMED = "malformed"


@dataclasses.dataclass(frozen=True, slots=True)
class Answer:
    """A worker's answer to an order.

    Attributes:
        refusal: Why the order was not carried out, None if it was.
        clock_ms: Time on the worker's clock, 0 if not reported.
    """

    refusal: Refusal | None
    clock_ms: int = 0
