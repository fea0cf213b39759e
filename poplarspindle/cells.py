"""State of one data centre as seen by an instance.

`Table` is the part that follows from the log alone and is equal on every
instance that read as far. `View` is what this instance knows besides: its
own claims and leases, the workers' reports, the time of its last reads.
"""

import dataclasses
import enum

from poplarspindle import effects, records, reports, resources


class Phase(enum.StrEnum):
    """Where a task is in its life."""

    QUEUED = "queued"
    PLACED = "placed"
    RUNNING = "running"
    STOPPING = "stopping"
    FINISHED = "finished"
    FAILED = "failed"
    CANCELLED = "cancelled"
    MOVED = "moved"


HOLDING = frozenset({Phase.PLACED, Phase.RUNNING, Phase.STOPPING})
ENDED = frozenset({Phase.FINISHED, Phase.FAILED, Phase.CANCELLED, Phase.MOVED})


@dataclasses.dataclass(slots=True)
class Task:
    """One task; only the reducer changes it.

    Attributes:
        task: Unique id.
        job: The job it belongs to, with its declared sizes.
        need: What it reserves on a worker.
        attempt: Number of the present attempt, from 0.
        phase: Where it is in its life.
        worker: Worker that holds it, empty while queued.
        term: Term under which it was placed.
        checkpoint: Work done by earlier attempts, milliseconds.
        cancelled: Whether it ends at its next stop.
        target: Data centre it was moved to, empty if it was not.
        reason: Why it is in this phase.
    """

    task: str
    job: records.JobSubmitted
    need: resources.Resources
    attempt: int = 0
    phase: Phase = Phase.QUEUED
    worker: str = ""
    term: int = 0
    checkpoint: int = 0
    cancelled: bool = False
    target: str = ""
    reason: str = ""


@dataclasses.dataclass
class Table:
    """What the log says of one data centre; snapshots carry all its fields.

    Attributes:
        data_centre: Its name.
        owner: Incarnation that holds the present term, empty for none.
        term: The present term, 0 at first.
        lease_offset: Offset of the last claim or renewal, -1 for none.
        tasks: Task by id, ended ones included until forgotten.
        jobs: Ids of known jobs, mapped to their number of tasks.
        queue: Ids of queued tasks, in order of arrival.
        held: Ids of tasks by the worker that holds them.
        reserved: What is reserved by worker.
        offset: Offset of the last record reduced, -1 for none.
    """

    data_centre: str
    owner: str = ""
    term: int = 0
    lease_offset: int = -1
    tasks: dict[str, Task] = dataclasses.field(default_factory=dict)
    jobs: dict[str, int] = dataclasses.field(default_factory=dict)
    queue: dict[str, None] = dataclasses.field(default_factory=dict)
    held: dict[str, set[str]] = dataclasses.field(default_factory=dict)
    reserved: dict[str, resources.Resources] = dataclasses.field(
        default_factory=dict
    )
    offset: int = -1


@dataclasses.dataclass(slots=True)
class Worker:
    """What this instance knows of a worker.

    Attributes:
        member: Its entry in the platform's list.
        fenced_term: Highest term this instance raised there.
        report: Its last answer, None before the first.
        synced_at: When the last answered sync was sent, own clock.
        reached: Whether the last sync succeeded.
        renewed_at: When leases there were last renewed, own clock.
    """

    member: reports.Member
    fenced_term: int = 0
    report: reports.WorkerReport | None = None
    synced_at: float = float("-inf")
    reached: bool = False
    renewed_at: float = float("-inf")


class View:
    """What one instance knows of a data centre besides the log.

    Attributes:
        lease_read_at: When the last claim or renewal was read, own clock.
        lease_until: Until when this instance may start work as owner.
        hold_until: Until when it may renew task leases without the log.
        sequence: Number of the last own claim or renewal.
        sent: When each own claim or renewal was sent, by its number.
        claimed_at: When this instance last sent a claim.
        tail_at: When the stream was last read to its tail.
        workers: Worker by name.
        pending: Placements sent to the log and not read back, by task.
        started: Attempt by task that this instance told a worker to start.
        stops_sent: Attempt by task that this instance told a worker to stop.
        owned_since: When this instance's claim was read, own clock.
    """

    def __init__(self) -> None:
        self.lease_read_at = float("-inf")
        self.lease_until = float("-inf")
        self.hold_until = float("-inf")
        self.sequence = 0
        self.sent: dict[int, float] = {}
        self.claimed_at = float("-inf")
        self.tail_at = float("-inf")
        self.workers: dict[str, Worker] = {}
        self.pending: dict[str, Placement] = {}
        self.started: dict[str, int] = {}
        self.stops_sent: dict[str, int] = {}
        self.owned_since = float("-inf")


@dataclasses.dataclass(frozen=True, slots=True)
class Placement:
    """A placement on its way through the log.

    Attributes:
        attempt: Attempt placed.
        worker: Worker chosen.
        need: What it reserves.
        sent_at: When it was sent, own clock.
    """

    attempt: int
    worker: str
    need: resources.Resources
    sent_at: float


class Cell:
    """One data centre: its table and this instance's view of it."""

    def __init__(self, data_centre: str) -> None:
        self.table = Table(data_centre)
        self.view = View()


def name_stream(data_centre: str) -> str:
    """Returns the stream of a data centre's records."""
    return records.CELL_STREAM_PREFIX + data_centre


def add_task(table: Table, task: Task) -> None:
    """Adds a queued task."""
    table.tasks[task.task] = task
    table.queue[task.task] = None


def hold_task(table: Table, task: Task, worker: str, term: int) -> None:
    """Reserves a worker for a queued task."""
    del table.queue[task.task]
    task.phase = Phase.PLACED
    task.worker = worker
    task.term = term
    table.held.setdefault(worker, set()).add(task.task)
    reserved = table.reserved.get(worker, resources.NOTHING)
    table.reserved[worker] = reserved + task.need


def release_task(table: Table, task: Task, phase: Phase) -> None:
    """Takes a task off its worker, or off the queue, into a phase."""
    table.queue.pop(task.task, None)
    if task.phase in HOLDING:
        held = table.held[task.worker]
        held.discard(task.task)
        if held:
            table.reserved[task.worker] -= task.need
        else:
            del table.held[task.worker]
            del table.reserved[task.worker]
    task.worker = ""
    task.phase = phase
    if phase is Phase.QUEUED:
        table.queue[task.task] = None


def compute_room(cell: Cell, worker: Worker) -> resources.Resources:
    """Returns what is neither reserved nor about to be at a worker."""
    name = worker.member.name
    room = worker.member.capacity - cell.table.reserved.get(
        name, resources.NOTHING
    )
    for placement in cell.view.pending.values():
        if placement.worker == name:
            room = room - placement.need
    return room


def append_record(cell: Cell, record: records.Record) -> effects.Append:
    """Returns the effect that appends to a data centre's stream."""
    return effects.Append(name_stream(cell.table.data_centre), record)


def list_held(cell: Cell, worker: str) -> list[Task]:
    """Returns the tasks that reserve a worker, by name."""
    names = sorted(cell.table.held.get(worker, ()))
    return [cell.table.tasks[name] for name in names]
