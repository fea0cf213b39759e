"""Events that the owner's reducer takes.

`at` is the node's monotonic clock in seconds, `wall_ms` its Unix time in
milliseconds. Decisions read no clock: all time arrives here.
"""

import dataclasses
from collections.abc import Mapping

from poplarspindle.fleet import job_store, orders, unreachable, work


@dataclasses.dataclass(frozen=True, slots=True)
class Claimed:
    """This node owns the fleet; its book holds all up to the claim.

    Attributes:
        epoch: Number of the ownership.
        unreachable_workers: Silent workers, as the log says.
        published_jobs: What all nodes know of jobs, as the log says.
        intake_offsets: Offsets up to which the book holds the hand-ins, by
            part.
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
    """A job was read from the log and added to the book."""

    at: float
    job: str


@dataclasses.dataclass(frozen=True, slots=True)
class CancelRead:
    """A cancelling was read from the log and noted in the book."""

    at: float
    wall_ms: int
    job: str


@dataclasses.dataclass(frozen=True, slots=True)
class IntakeRead:
    """All hand-ins of one part were read up to an offset."""

    at: float
    partition: int
    next: int


@dataclasses.dataclass(frozen=True, slots=True)
class WorkersListed:
    """The list of workers was read.

    Attributes:
        workers: All that are listed.
    """

    at: float
    workers: tuple[work.WorkerInfo, ...]


@dataclasses.dataclass(frozen=True, slots=True)
class Configured:
    """The configuration or the data centres out of service changed."""

    at: float
    configuration: work.Configuration
    excluded_data_centres: frozenset[str]


@dataclasses.dataclass(frozen=True, slots=True)
class Reported:
    """A worker answered a hold.

    Attributes:
        sent_at: When it was asked.
        until_ms: End of leases that was asked for, 0 for none.
        failed_polls: Rises with each look that was not answered.
    """

    at: float
    wall_ms: int
    worker_name: str
    sent_at: float
    until_ms: int
    report: work.Report
    failed_polls: int = 0


@dataclasses.dataclass(frozen=True, slots=True)
class LeaseGranted:
    """A hold that renews leases is about to be sent."""

    at: float
    worker_name: str
    until_ms: int


@dataclasses.dataclass(frozen=True, slots=True)
class PollFailed:
    """A worker did not answer a look."""

    at: float
    worker_name: str
    why: str


@dataclasses.dataclass(frozen=True, slots=True)
class Ordered:
    """An order was answered, or not."""

    at: float
    worker_name: str
    sent_at: float
    order: orders.Order
    answer: orders.Answer


@dataclasses.dataclass(frozen=True, slots=True)
class Appended:
    """All records of one Append effect are in the log."""

    at: float
    number: int


@dataclasses.dataclass(frozen=True, slots=True)
class Published:
    """The shared log holds which workers are silent."""

    at: float


@dataclasses.dataclass(frozen=True, slots=True)
class Ticked:
    """Time passed."""

    at: float
    wall_ms: int


Event = (
    Claimed
    | JobRead
    | CancelRead
    | IntakeRead
    | WorkersListed
    | Configured
    | Reported
    | LeaseGranted
    | PollFailed
    | Ordered
    | Appended
    | Published
    | Ticked
)
