"""Orders to workers, and what workers answer."""

import dataclasses
import enum

from poplarspindle.fleet import work


@dataclasses.dataclass(frozen=True, slots=True)
class Start:
    """Start a run.

    Attributes:
        task: The task.
        attempt: Number of the run.
        epoch: Epoch of the owner that orders it.
        spec: The job's text.
        until_ms: End of the worker's leases, on its clock.
        checkpoint: Checkpoint to go on from, empty for none.
    """

    task: work.TaskName
    attempt: int
    epoch: int
    spec: str
    until_ms: int
    checkpoint: str = ""


@dataclasses.dataclass(frozen=True, slots=True)
class Stop:
    """Stop a run, or keep it from ever starting."""

    task: work.TaskName
    attempt: int
    epoch: int


@dataclasses.dataclass(frozen=True, slots=True)
class Pace:
    """Let a run work at a share of its speed."""

    task: work.TaskName
    attempt: int
    epoch: int
    percent: int


Order = Start | Stop | Pace


@dataclasses.dataclass(frozen=True, slots=True)
class Poll:
    """Renew the leases and report.

    Attributes:
        epoch: Epoch of the owner that asks.
        seen: Number of the last end that is recorded.
        until_ms: New end of the leases, on the worker's clock; 0 renews
            nothing.
        wait_ms: How long to wait for an end.
    """

    epoch: int
    seen: int
    until_ms: int
    wait_ms: int


class Refusal(enum.StrEnum):
    """Why an order was not (or not surely) carried out."""

    FENCED = "fenced"
    ENDED = "ended"
    LATE = "late"
    ROOM = "room"
    BUSY = "busy"
    OTHER_LIFE = "other-life"
    SILENT = "silent"
    UNREACHABLE = "unreachable"
    MALFORMED = "malformed"


@dataclasses.dataclass(frozen=True, slots=True)
class Answer:
    """A worker's answer to an order.

    Attributes:
        refusal: Why it was not carried out, None where it was.
        clock_ms: The worker's clock, 0 if unsaid.
    """

    refusal: Refusal | None
    clock_ms: int = 0
