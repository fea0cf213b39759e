"""Events that the reducer takes; they carry all time and randomness.

`at` is the instance's own monotonic clock in seconds. It is never compared
with the clock of another process.
"""

import dataclasses
import typing

from poplarspindle import records, reports

if typing.TYPE_CHECKING:
    from poplarspindle import cells, document


@dataclasses.dataclass(frozen=True, slots=True)
class RecordRead:
    """A record was read from a stream, in order."""

    at: float
    stream: str
    offset: int
    record: records.Record


@dataclasses.dataclass(frozen=True, slots=True)
class MalformedRead:
    """Records at an offset did not decode; counted and passed over."""

    at: float
    stream: str
    offset: int
    count: int


@dataclasses.dataclass(frozen=True, slots=True)
class TailReached:
    """All records up to `offset` were read, and none came after it."""

    at: float
    stream: str
    offset: int


@dataclasses.dataclass(frozen=True, slots=True)
class RetentionPassed:
    """The next record wanted is gone; reading starts again at `first`."""

    at: float
    stream: str
    first: int


@dataclasses.dataclass(frozen=True, slots=True)
class SnapshotRead:
    """A stream's state was found in a snapshot; it replaces the present one.

    Attributes:
        offset: Offset up to which (inclusive) the state was reduced.
        state: The state, owned by the reducer from here on.
    """

    at: float
    stream: str
    offset: int
    state: "cells.Table | document.State"


@dataclasses.dataclass(frozen=True, slots=True)
class SnapshotRefused:
    """A whole snapshot did not open: wrong signature or corrupt."""

    at: float
    stream: str
    reason: str


@dataclasses.dataclass(frozen=True, slots=True)
class StateLost:
    """Records are gone and no whole snapshot covers them.

    No TailReached comes for the stream until one is found.
    """

    at: float
    stream: str
    reason: str


@dataclasses.dataclass(frozen=True, slots=True)
class InstancesListed:
    """The platform's lagging list was read.

    Attributes:
        members: All entries of the list.
    """

    at: float
    members: tuple[reports.Member, ...]


@dataclasses.dataclass(frozen=True, slots=True)
class WorkerSynced:
    """A worker answered a sync.

    Attributes:
        data_centre: Where the worker stands.
        sent_at: When the sync was sent, on this instance's clock.
        report: The worker's answer.
    """

    at: float
    data_centre: str
    worker: str
    sent_at: float
    report: reports.WorkerReport


@dataclasses.dataclass(frozen=True, slots=True)
class WorkerUnreachable:
    """A sync with a worker failed or timed out; it may have acted."""

    at: float
    data_centre: str
    worker: str
    reason: str


@dataclasses.dataclass(frozen=True, slots=True)
class Ticked:
    """Time passed.

    Attributes:
        seed: Randomness for the decisions of this tick.
    """

    at: float
    seed: int


@dataclasses.dataclass(frozen=True, slots=True)
class LeaveRequested:
    """The instance was asked to stop gracefully."""

    at: float


Event = (
    RecordRead
    | MalformedRead
    | TailReached
    | RetentionPassed
    | SnapshotRead
    | SnapshotRefused
    | StateLost
    | InstancesListed
    | WorkerSynced
    | WorkerUnreachable
    | Ticked
    | LeaveRequested
)
