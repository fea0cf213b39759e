"""Events that the owner's reducer handles.

`at` is when the event arrived, on the node's monotonic clock in seconds;
`wall_ms` is the node's Unix time in milliseconds. The reducer reads no clock:
it takes the time from the events.
"""

import dataclasses
from collections.abc import Mapping

from poplarspindle.fleet import job_store, orders, unreachable, work


@dataclasses.dataclass(frozen=True, slots=True)
class Claimed:
    """This node now owns the fleet, and has read the logs up to its claim.

    Attributes:
        epoch: Epoch of the ownership.
        unreachable_workers: Unreachable workers by name, as logged.
        published_jobs: Published states of jobs by id, as logged.
        intake_offsets: Offsets up to which the job store contains the intake,
            by partition.
    """

    at: float
    wall_ms: int
    epoch: int
    unreachable_workers: Mapping[str, unreachable.UnreachableWorker] = (
        dataclasses.field(default_factory=dict)
    )
    published_jobs: Mapping[str, job_store.PublishedJob] = dataclasses.field(
        default_factory=dict
    )
    intake_offsets: tuple[int, ...] = ()


@dataclasses.dataclass(frozen=True, slots=True)
class JobRead:
    """A job was read from the log and added to the job store."""

    at: float
    job: str


@dataclasses.dataclass(frozen=True, slots=True)
class CancelRead:
    """A cancellation was read from the log and recorded in the job store."""

    at: float
    wall_ms: int
    job: str


@dataclasses.dataclass(frozen=True, slots=True)
class IntakeRead:
    """One partition of the intake was read up to the offset `next_offset`."""

    at: float
    partition: int
    next_offset: int


@dataclasses.dataclass(frozen=True, slots=True)
class WorkersListed:
    """The list of workers was read.

    Attributes:
        workers: All listed workers.
    """

    at: float
    workers: tuple[work.WorkerInfo, ...]


@dataclasses.dataclass(frozen=True, slots=True)
class ListRead:
    """The store answered a reading of the list of workers, changed or not.

    Attributes:
        at: When the answer was read.
        asked_at: When it was asked.
        unbroken_since: When the first of the readings was asked that were all
            answered since, without a pause between them.
        entries: Names of all entries, also of those that can't be read.
    """

    at: float
    asked_at: float
    unbroken_since: float
    entries: frozenset[str]


@dataclasses.dataclass(frozen=True, slots=True)
class Configured:
    """The configuration or the set of excluded data centres changed."""

    at: float
    configuration: work.Configuration
    excluded_data_centres: frozenset[str]


@dataclasses.dataclass(frozen=True, slots=True)
class Reported:
    """A worker answered a poll.

    Attributes:
        worker_name: The worker.
        sent_at: When the poll was sent.
        until_ms: End of the leases that the poll asked for, 0 for none.
        report: The answer.
        failed_polls: Number of polls that the worker did not answer so far.
        token: Fencing token of the poll.
        leases_end_at: When the leases end that any owner's orders may have
            granted by then, on the owner's monotonic clock; minus infinity for
            none.
    """

    at: float
    wall_ms: int
    worker_name: str
    sent_at: float
    until_ms: int
    report: work.Report
    failed_polls: int = 0
    token: int = 0
    leases_end_at: float = float("-inf")


@dataclasses.dataclass(frozen=True, slots=True)
class LeaseGranted:
    """A poll that renews leases until `until_ms` is about to be sent.

    Attributes:
        at: When it is sent.
        token: Fencing token of the poll.
    """

    at: float
    worker_name: str
    until_ms: int
    token: int = 0


@dataclasses.dataclass(frozen=True, slots=True)
class PollFailed:
    """A worker did not answer a poll; `why` says how it failed.

    Attributes:
        void_sent_at: When the poll was sent if it was surely not carried out,
            else None.
    """

    at: float
    worker_name: str
    why: str
    void_sent_at: float | None = None


@dataclasses.dataclass(frozen=True, slots=True)
class OrderAnswered:
    """An order sent at `sent_at` was answered, or failed."""

    at: float
    worker_name: str
    sent_at: float
    order: orders.Order
    answer: orders.Answer


@dataclasses.dataclass(frozen=True, slots=True)
class Appended:
    """All records of the Append effect of this number are in the log."""

    at: float
    number: int


@dataclasses.dataclass(frozen=True, slots=True)
class Published:
    """The newest list of unreachable workers is in the shared log."""

    at: float


@dataclasses.dataclass(frozen=True, slots=True)
class Ticked:
    """Periodic event that lets time-based decisions run."""

    at: float
    wall_ms: int


@dataclasses.dataclass(frozen=True, slots=True)
class InventoryRead:
    """The inventory was read, as a ReadInventory effect asked for.

    Attributes:
        at: When the answer came.
        asked_at: When it was asked for.
        alive: Names of all workers that are alive.
    """

    at: float
    asked_at: float
    alive: frozenset[str]


Event = (
    Claimed
    | JobRead
    | CancelRead
    | IntakeRead
    | WorkersListed
    | ListRead
    | Configured
    | Reported
    | LeaseGranted
    | PollFailed
    | OrderAnswered
    | Appended
    | Published
    | Ticked
    | InventoryRead
)
