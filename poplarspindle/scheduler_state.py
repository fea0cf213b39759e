"""State of a scheduler instance and the limits that it obeys."""

import dataclasses

from poplarspindle import (
    cells,
    document,
    interference,
    quarantine,
    reports,
    sizes,
)


@dataclasses.dataclass(frozen=True, slots=True)
class Limits:
    """Limits on the scheduler's decisions; names ending in `_s` are seconds.

    Attributes:
        lease_s: Length of an owner's lease on its data centre.
        task_lease_s: Length of a task's lease at its worker.
        hold_s: How long the owner renews task leases while the log is
            unavailable.
        fresh_s: Maximum age of the last read to a stream's tail for an
            instance to start tasks.
        policy: Name of the placement policy.
        attempts: Number of failures after which a task fails for good.
        retry_s: Backoff before the second attempt; it doubles with each.
        starve_s: Time without a placement after which a worker's free
            resources are reserved for the waiting work.
        protect_s: How long a resumed task is protected from eviction.
        patience_s: How long batch work waits for a worker whose services
            it does not push over their target.
        fill_s: How long placement is slowed in a data centre that is back
            in service.
        drain_rate: Evictions per second while a data centre is drained.
        drain_grace_s: How long tasks that fit nowhere else keep running
            in a data centre that is out of service.
        standbys: Number of instances that follow a data centre besides
            its owner, 0 for all.
        snapshot_appends: Number of appends to a stream between two
            snapshots.
        snapshot_age_s: Maximum age of a stream's newest snapshot.
    """

    lease_s: float = 6.0
    task_lease_s: float = 10.0
    hold_s: float = 600.0
    fresh_s: float = 2.0
    policy: str = "chosen"
    attempts: int = 4
    retry_s: float = 1.0
    starve_s: float = 30.0
    protect_s: float = 30.0
    patience_s: float = 20.0
    fill_s: float = 10.0
    drain_rate: float = 20.0
    drain_grace_s: float = 60.0
    standbys: int = 0
    snapshot_appends: int = 2000
    snapshot_age_s: float = 600.0


@dataclasses.dataclass(slots=True)
class SnapshotProgress:
    """Progress of a stream's snapshots; times are on the instance's clock.

    Attributes:
        tail_at: When the stream was first read to its tail.
        read_at: When the newest snapshot was read, if after `tail_at`.
        covers: Last offset that this snapshot covers, -1 for none.
        sent_at: When this instance last sent a snapshot that it has not
            read back yet.
        reading_id: Id of the snapshot whose chunks are being read.
        indexes: Indexes of its chunks read so far.
    """

    tail_at: float = float("inf")
    read_at: float = float("-inf")
    covers: int = -1
    sent_at: float = float("-inf")
    reading_id: str = ""
    indexes: set[int] = dataclasses.field(default_factory=set)


class SchedulerState:
    """All state on which one scheduler instance bases its decisions.

    Attributes:
        incarnation: Unique id of this process.
        limits: Limits on the decisions.
        document: The operators' document.
        document_tail_at: When the document was last read to its tail.
        cells: Cell by name of data centre.
        members: Entries of the platform's list as last read, by name.
        candidates: Incarnations of the instances that may own data centres.
        wanted: Service replicas that the document asks for, by name.
        wanted_offset: Offset of the document that `wanted` was made from.
        leaving: Whether this instance was asked to stop.
        started_at: Time of the first tick.
        snapshot_progress: Progress of snapshots by stream.
        lost_streams: Streams of which records are lost; their state is
            incomplete and must not be used.
        slowdown: Learned slowdown between services and batch families.
        sizes: Learned resource usage of tasks.
        failures: Recent task failures of workers and families.
    """

    def __init__(
        self, incarnation: str, limits: Limits, secret: str = ""
    ) -> None:
        self.incarnation = incarnation
        self.limits = limits
        self.document = document.State(secret)
        self.document_tail_at = float("-inf")
        self.cells: dict[str, cells.Cell] = {}
        self.members: dict[str, reports.Member] = {}
        self.candidates: tuple[str, ...] = ()
        self.wanted: dict[str, object] = {}
        self.wanted_offset = -2
        self.leaving = False
        self.started_at = float("-inf")
        self.snapshot_progress: dict[str, SnapshotProgress] = {}
        self.lost_streams: set[str] = set()
        self.slowdown = interference.Model()
        self.sizes: sizes.Sizes = {}
        self.failures = quarantine.FailureRecords()
