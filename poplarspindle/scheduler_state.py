"""State of a scheduler instance: document, data centres, candidates."""

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
    """Bounds that the decisions keep, in seconds.

    Attributes:
        lease_s: Lease of an owner on its data centre.
        task_lease_s: Lease of a task at its worker.
        hold_s: How long task leases are renewed without the log.
        fresh_s: Greatest age of the last read to the tail for a start.
        policy: Name of the placement policy.
        attempts: How often a task may fail before it is given up.
        retry_s: Wait before the second attempt; it doubles with each.
        starve_s: After how long without placement a worker's room is kept.
        protect_s: How long a resumed task is not evicted again.
        patience_s: How long batch work waits for a worker whose services
            it does not push over their target.
        fill_s: How long a data centre fills slowly after its return.
        drain_rate: Evictions a second while a data centre is emptied.
        drain_grace_s: How long work that has no room elsewhere runs on
            in a data centre that is out of service.
        standbys: How many instances follow a data centre beside its
            owner, 0 for all.
        snapshot_appends: Appends to a stream between two snapshots.
        snapshot_age_s: Greatest age of a stream's newest snapshot.
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
    """What an instance knows of a stream's snapshots; times on its clock.

    Attributes:
        tail_at: When the stream was first read to its tail.
        read_at: When the newest was read, if after that.
        covers: Offset that it covers, -1 for none.
        sent_at: When this instance sent one that was not read back yet.
        reading_id: Snapshot whose chunks are being read.
        indexes: Indexes of its chunks read so far.
    """

    tail_at: float = float("inf")
    read_at: float = float("-inf")
    covers: int = -1
    sent_at: float = float("-inf")
    reading_id: str = ""
    indexes: set[int] = dataclasses.field(default_factory=set)


class SchedulerState:
    """Everything that one scheduler instance decides by.

    Attributes:
        incarnation: Unique id of this process.
        limits: Bounds that the decisions keep.
        document: The operators' document.
        document_tail_at: When the document was last read to its tail.
        cells: Cell by data centre.
        members: The platform's list as last read, by name.
        candidates: Incarnations that may own data centres.
        wanted: Replicas that the document wants, by name.
        wanted_offset: Offset of the document that `wanted` was made from.
        leaving: Whether this instance was asked to stop.
        started_at: Time of the first event.
        snapshot_progress: What is known of each stream's snapshots.
        lost_streams: Streams whose state has holes and must not be used.
        slowdown: What was learned of slowdown between pairs.
        sizes: What was learned of real sizes.
        failures: What is held against workers and families.
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
