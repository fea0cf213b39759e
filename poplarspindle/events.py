"""Events that the reducer handles.

All time and randomness reach the reducer in events. `at` is the time of an
event on the instance's own monotonic clock, in seconds. It is never compared
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
    """Undecodable records at an offset; they are counted and skipped."""

    at: float
    stream: str
    offset: int
    count: int


@dataclasses.dataclass(frozen=True, slots=True)
class TailReached:
    """All records up to `offset` were read, and none followed."""

    at: float
    stream: str
    offset: int


@dataclasses.dataclass(frozen=True, slots=True)
class RetentionPassed:
    """Retention deleted the next record; reading resumes at offset `first`."""

    at: float
    stream: str
    first: int


@dataclasses.dataclass(frozen=True, slots=True)
class SnapshotRead:
    """A stream's state was read from a snapshot; it replaces the current one.

    Attributes:
        offset: Last offset whose records the state includes.
        state: The state, which the reducer owns from now on.
    """

    at: float
    stream: str
    offset: int
    state: "cells.Table | document.State"


@dataclasses.dataclass(frozen=True, slots=True)
class SnapshotRefused:
    """A complete snapshot was rejected: wrong signature or corrupt."""

    at: float
    stream: str
    reason: str


@dataclasses.dataclass(frozen=True, slots=True)
class StateLost:
    """Records are deleted and no complete snapshot covers them.

    No TailReached follows for the stream until such a snapshot is read.
    """

    at: float
    stream: str
    reason: str


@dataclasses.dataclass(frozen=True, slots=True)
class InstancesListed:
    """The platform's list of instances was read; the list lags behind.

    Attributes:
        members: All entries of the list.
    """

    at: float
    members: tuple[reports.Member, ...]


@dataclasses.dataclass(frozen=True, slots=True)
class WorkerSynced:
    """A worker answered a sync.

    Attributes:
        data_centre: Data centre of the worker.
        sent_at: When the sync was sent, on this instance's clock.
        report: The worker's report.
    """

    at: float
    data_centre: str
    worker: str
    sent_at: float
    report: reports.WorkerReport


@dataclasses.dataclass(frozen=True, slots=True)
class WorkerUnreachable:
    """A sync failed or timed out; the worker may have acted on it."""

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
