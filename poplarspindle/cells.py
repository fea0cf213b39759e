"""State of one data centre on one instance.

`Table` is the replicated state: it is derived from the log alone and is equal
on every instance that has read up to the same offset. `View` is the state
local to this instance: its own claims and leases, the workers' reports and
the times of its last reads. "Own clock" is this instance's monotonic clock,
in seconds.
"""

import dataclasses
import enum
import itertools

from poplarspindle import backlog, effects, records, reports, resources


class Phase(enum.StrEnum):
    """Phase of a task's life cycle."""

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
RESEND_S = 2.0
MAX_ENDED_TASKS = 4_000
MAX_TOMBSTONES = 50_000
MAX_JOBS = 50_000
MOVE_CONFIRMED = "move-confirmed"


@dataclasses.dataclass(slots=True)
class Task:
    """One task; only the reducer changes it.

    Attributes:
        task: Unique id.
        job: The job it belongs to, with its declared sizes.
        need: Resources that it reserves on a worker.
        attempt: Number of the current attempt, from 0.
        phase: Phase of its life cycle.
        worker: Worker that it is placed on, empty while queued.
        term: Ownership term in which it was placed.
        checkpoint: Work done by earlier attempts, milliseconds of run time.
        cancelled: Whether it was cancelled and ends at its next stop.
        target: Data centre it was moved to, empty if it was not moved.
        reason: Why it is in this phase.
        failures: Number of attempts that failed by themselves.
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
    failures: int = 0


@dataclasses.dataclass
class Table:
    """Replicated state of one data centre.

    Snapshots store all its fields except `lanes`, which is derived.

    Attributes:
        data_centre: Name of the data centre.
        owner: Incarnation that holds the current term, empty for none.
        term: The current ownership term, 0 at first.
        lease_offset: Offset of the last claim or renewal, -1 for none.
        tasks: Task by id; of ended tasks only the last MAX_ENDED_TASKS.
        jobs: Number of tasks by id of each known job.
        cancelled_jobs: Ids of jobs whose cancellation was read.
        replicas: Highest generation submitted, by service replica.
        closed: Highest generation cancelled, by service replica.
        tombstones: Last attempt of tasks removed from `tasks`, by id.
        queue: Ids of queued tasks, in order of arrival.
        placed: Ids of placed tasks whose start is not confirmed yet.
        stopping: Ids of tasks that are on a worker and must stop.
        moving: Ids of moved tasks that the target may not have yet.
        ended: Ids of tasks that ended here, the oldest first.
        held: Ids of the tasks placed on a worker, by worker.
        reserved: Sum of the resources reserved on a worker, by worker.
        offset: Offset of the last record applied, -1 for none.
        lanes: Queued tasks by lane, and the resources that teams hold.
    """

    data_centre: str
    owner: str = ""
    term: int = 0
    lease_offset: int = -1
    tasks: dict[str, Task] = dataclasses.field(default_factory=dict)
    jobs: dict[str, int] = dataclasses.field(default_factory=dict)
    cancelled_jobs: dict[str, None] = dataclasses.field(default_factory=dict)
    replicas: dict[str, int] = dataclasses.field(default_factory=dict)
    closed: dict[str, int] = dataclasses.field(default_factory=dict)
    tombstones: dict[str, int] = dataclasses.field(default_factory=dict)
    queue: dict[str, None] = dataclasses.field(default_factory=dict)
    placed: dict[str, None] = dataclasses.field(default_factory=dict)
    stopping: dict[str, None] = dataclasses.field(default_factory=dict)
    moving: dict[str, None] = dataclasses.field(default_factory=dict)
    ended: dict[str, None] = dataclasses.field(default_factory=dict)
    held: dict[str, set[str]] = dataclasses.field(default_factory=dict)
    reserved: dict[str, resources.Resources] = dataclasses.field(
        default_factory=dict
    )
    offset: int = -1
    lanes: backlog.Backlog = dataclasses.field(
        default_factory=backlog.Backlog,
        compare=False,
        metadata={"kept": False},
    )


@dataclasses.dataclass(slots=True)
class Worker:
    """State of a worker as observed by this instance.

    Attributes:
        member: Its entry in the platform's list.
        fenced_term: Highest term at which this instance fenced the worker.
        report: Its last report, None before the first.
        synced_at: When the last answered sync was sent, own clock.
        received_at: When its last report arrived, own clock.
        reached: Whether the last sync succeeded.
        renewed_at: When its task leases were last renewed, own clock.
        granted_until: When every task lease at the worker has ended, own
            clock; valid once the worker is fenced at the current term.
        fence_sent_at: When the fence was last sent, own clock.
        has_unknown_runs: Whether it runs attempts that the log does not place
            there.
    """

    member: reports.Member
    fenced_term: int = 0
    report: reports.WorkerReport | None = None
    synced_at: float = float("-inf")
    received_at: float = float("-inf")
    reached: bool = False
    renewed_at: float = float("-inf")
    granted_until: float = float("-inf")
    fence_sent_at: float = float("-inf")
    has_unknown_runs: bool = False


@dataclasses.dataclass(frozen=True, slots=True)
class SentStart:
    """The last start that this instance sent for a task in its term.

    Attributes:
        attempt: Attempt to start.
        start_by_ms: Time on the worker's clock after which it refuses the
            start.
    """

    attempt: int
    start_by_ms: int


@dataclasses.dataclass(frozen=True, slots=True)
class PendingPlacement:
    """A placement sent to the log and not read back yet.

    Attributes:
        attempt: Attempt placed.
        worker: Worker chosen.
        need: Resources that it reserves.
        sent_at: When it was sent, own clock.
    """

    attempt: int
    worker: str
    need: resources.Resources
    sent_at: float


@dataclasses.dataclass(frozen=True, slots=True)
class SentThrottle:
    """The processor limit that this instance last sent for a task.

    Attributes:
        attempt: Attempt to which it applies.
        per_mille: Share of the task's processors, 1000 for no limit.
        sent_at: When it was sent, own clock.
    """

    attempt: int
    per_mille: int
    sent_at: float


@dataclasses.dataclass(frozen=True, slots=True)
class TailMeasurement:
    """A measured tail latency of a service replica.

    Attributes:
        taken_at: Lower bound of the time of measurement, own clock.
        log_ratio: Logarithm of tail latency divided by its target.
        load: Load of the replica at the measurement.
    """

    taken_at: float
    log_ratio: float
    load: float


class ThrottleState:
    """State of the reaction to slow services on one worker.

    Attributes:
        stepped_at: When the last step was taken, own clock.
        evicted_at: When the last eviction was decided, own clock.
        released_at: When a limit was last eased, own clock.
        signals: Last measurement by replica.
        mixes: Pairs of a start time, own clock, and the processor shares
            by family from then on, newest last.
    """

    def __init__(self) -> None:
        self.stepped_at = float("-inf")
        self.evicted_at = float("-inf")
        self.released_at = float("-inf")
        self.signals: dict[str, TailMeasurement] = {}
        self.mixes: list[tuple[float, dict[str, float]]] = []


class View:
    """State of a data centre that is local to one instance.

    All times are on the instance's own clock.

    Attributes:
        lease_read_at: When the last claim or renewal was read.
        lease_until: Until when this instance may start tasks as owner.
        hold_until: Until when it may renew task leases without the log.
        sequence: Number of the instance's last claim or renewal.
        sent: When each of its claims or renewals was sent, by number.
        claimed_at: When this instance last sent a claim.
        released_at: When it last sent a release.
        starts_until: When the last start sent can no longer take effect.
        tail_at: When the stream was last read to its tail.
        workers: Worker by name.
        pending: Placements sent to the log and not read back, by task.
        starts: Last start sent in the current term, by task.
        proposed: Last record sent and its time, by subject, then by type.
        reconciled_at: When services were last compared with the document.
        commanded: When a stop was last sent, by task.
        retry_at: End of a failed task's backoff, by task.
        owned_since: When this instance's claim was read.
        in_since: When the data centre was seen back in service.
        out_since: When it was seen out of service, None while in service.
        drained: Number of evictions decided since it went out of service.
        blocked: Why a lane of queued tasks had no placement at the last tick.
        waiting: Since when a lane has had no placement.
        kept: Lane for which a worker's free resources are reserved, by
            worker.
        resumed_at: When an attempt after the first was seen to run, by task.
        throttles: Last processor limit sent, by task.
        ladders: Reaction to slow services, by worker.
    """

    def __init__(self) -> None:
        self.lease_read_at = float("-inf")
        self.lease_until = float("-inf")
        self.hold_until = float("-inf")
        self.sequence = 0
        self.sent: dict[int, float] = {}
        self.claimed_at = float("-inf")
        self.released_at = float("-inf")
        self.starts_until = float("-inf")
        self.tail_at = float("-inf")
        self.workers: dict[str, Worker] = {}
        self.pending: dict[str, PendingPlacement] = {}
        self.starts: dict[str, SentStart] = {}
        self.proposed: dict[str, dict[type, tuple[records.Record, float]]] = {}
        self.reconciled_at = float("-inf")
        self.commanded: dict[str, float] = {}
        self.retry_at: dict[str, float] = {}
        self.owned_since = float("-inf")
        self.in_since = float("-inf")
        self.out_since: float | None = None
        self.drained = 0
        self.blocked: dict[backlog.Lane, str] = {}
        self.waiting: dict[backlog.Lane, float] = {}
        self.kept: dict[str, backlog.Lane] = {}
        self.resumed_at: dict[str, float] = {}
        self.throttles: dict[str, SentThrottle] = {}
        self.ladders: dict[str, ThrottleState] = {}


class Cell:
    """One data centre: its replicated table and this instance's view."""

    def __init__(self, data_centre: str) -> None:
        self.table = Table(data_centre)
        self.view = View()


def name_stream(data_centre: str) -> str:
    """Returns the name of the stream that holds a data centre's records."""
    return records.CELL_STREAM_PREFIX + data_centre


def add_task(table: Table, task: Task) -> None:
    """Adds a task in any phase to the table, its indexes and reservations."""
    table.tasks[task.task] = task
    if task.phase in HOLDING:
        table.held.setdefault(task.worker, set()).add(task.task)
        reserved = table.reserved.get(task.worker, resources.ZERO)
        table.reserved[task.worker] = reserved + task.need
    index_task(table, task)


def index_task(table: Table, task: Task) -> None:
    """Updates the table's indexes by phase after a task has changed.

    Removes the oldest ended task when more than MAX_ENDED_TASKS are stored.
    """
    task_id = task.task
    phase = task.phase
    stopping = phase is Phase.STOPPING or (task.cancelled and phase in HOLDING)
    moving = phase is Phase.MOVED and task.reason != MOVE_CONFIRMED
    _update_index(table.queue, task_id, phase is Phase.QUEUED)
    table.lanes.set_queued(task, phase is Phase.QUEUED)
    table.lanes.set_held(task, phase in HOLDING)
    _update_index(table.placed, task_id, phase is Phase.PLACED and not stopping)
    _update_index(table.stopping, task_id, stopping)
    _update_index(table.moving, task_id, moving)
    _update_index(table.ended, task_id, phase in ENDED and not moving)
    if len(table.ended) > MAX_ENDED_TASKS:
        forget_task(table, table.tasks[next(iter(table.ended))])


def _update_index(index: dict[str, None], task_id: str, belongs: bool) -> None:
    if belongs:
        index.setdefault(task_id)
    else:
        index.pop(task_id, None)


def forget_task(table: Table, task: Task) -> None:
    """Removes an ended task; its tombstone prevents another run."""
    del table.ended[task.task]
    del table.tasks[task.task]
    table.tombstones.pop(task.task, None)
    table.tombstones[task.task] = task.attempt
    if len(table.tombstones) > MAX_TOMBSTONES:
        del table.tombstones[next(iter(table.tombstones))]


def record_job(table: Table, job: str, tasks: int) -> None:
    """Stores a job's id, so that a late duplicate is recognised.

    Args:
        table: The table, changed in place.
        job: Id of the job.
        tasks: Number of its tasks.
    """
    table.jobs.setdefault(job, tasks)
    if len(table.jobs) <= MAX_JOBS:
        return
    oldest = next(iter(table.jobs))
    count = table.jobs.pop(oldest)
    task_ids = (f"{oldest}/{index}" for index in range(count))
    if any(task_id in table.tasks for task_id in task_ids):
        table.jobs[oldest] = count


def hold_task(table: Table, task: Task, worker: str, term: int) -> None:
    """Places a queued task on a worker and reserves its resources there."""
    task.phase = Phase.PLACED
    task.worker = worker
    task.term = term
    table.held.setdefault(worker, set()).add(task.task)
    reserved = table.reserved.get(worker, resources.ZERO)
    table.reserved[worker] = reserved + task.need
    index_task(table, task)


def release_task(table: Table, task: Task, phase: Phase) -> None:
    """Removes a task from its worker or the queue and sets its phase."""
    if task.phase in HOLDING:
        worker_tasks = table.held[task.worker]
        worker_tasks.discard(task.task)
        if worker_tasks:
            table.reserved[task.worker] -= task.need
        else:
            del table.held[task.worker]
            del table.reserved[task.worker]
    task.worker = ""
    task.phase = phase
    index_task(table, task)


def get_backlog(table: Table) -> backlog.Backlog:
    """Returns the backlog, rebuilt if a snapshot, which omits it, was read."""
    task_backlog = table.lanes
    held_count = sum(map(len, table.held.values()))
    if (task_backlog.queued, len(task_backlog.counted)) == (
        len(table.queue),
        held_count,
    ):
        return task_backlog
    table.lanes = backlog.Backlog()
    for name in table.queue:
        table.lanes.set_queued(table.tasks[name], True)
    for name in itertools.chain.from_iterable(table.held.values()):
        table.lanes.set_held(table.tasks[name], True)
    return table.lanes


def resize_task(table: Table, task: Task, need: resources.Resources) -> None:
    """Changes the resources that a task reserves."""
    if task.phase in HOLDING:
        table.reserved[task.worker] += need - task.need
    task.need = need
    table.lanes.set_held(task, task.phase in HOLDING)


def forget_messages(cell: Cell, task: str) -> None:
    """Clears what was sent about a task, because its phase has changed."""
    cell.view.pending.pop(task, None)
    cell.view.proposed.pop(task, None)
    cell.view.commanded.pop(task, None)
    cell.view.retry_at.pop(task, None)
    cell.view.throttles.pop(task, None)
    cell.view.resumed_at.pop(task, None)


def compute_free(cell: Cell, worker: Worker) -> resources.Resources:
    """Returns a worker's resources that no task reserves.

    Pending placements count as reserved. A worker that runs attempts which
    the log does not place there has no free resources.
    """
    if worker.has_unknown_runs:
        return resources.ZERO
    name = worker.member.name
    free = worker.member.capacity - cell.table.reserved.get(
        name, resources.ZERO
    )
    for placement in cell.view.pending.values():
        if placement.worker == name:
            free = free - placement.need
    return free


def is_ready(cell: Cell, task: Task, at: float) -> bool:
    """Returns whether a queued task's backoff has passed at a time."""
    return at >= cell.view.retry_at.get(task.task, float("-inf"))


def propose(
    cell: Cell, record: records.Record, at: float, subject: str = ""
) -> list:
    """Returns the effect that appends a record, unless one is in flight.

    Args:
        cell: The data centre.
        record: The record for its stream.
        at: Current time, own clock.
        subject: Key under which duplicates are found, by default the
            record's task.

    Returns:
        A list of one effect, or an empty list.
    """
    return send_once(
        cell,
        name_stream(cell.table.data_centre),
        record,
        subject or record.task,
        cell.view.tail_at,
        at,
    )


def send_once(
    cell: Cell,
    stream: str,
    record: records.Record,
    subject: str,
    tail_at: float,
    at: float,
) -> list:
    """Returns the effect that appends a record, unless one is in flight.

    The same record is sent again only after the stream was read to its tail
    RESEND_S after it was last sent, so that no duplicates accumulate during
    a log outage.

    Args:
        cell: The data centre that remembers what was sent.
        stream: Stream to append to.
        record: The record.
        subject: Key under which duplicates are found.
        tail_at: When the stream was last read to its tail, own clock.
        at: Current time, own clock.

    Returns:
        A list of one effect, or an empty list.
    """
    sent_by_type = cell.view.proposed.setdefault(subject, {})
    last_record, sent_at = sent_by_type.get(type(record), (None, 0.0))
    if last_record == record and tail_at - sent_at < RESEND_S:
        return []
    sent_by_type[type(record)] = (record, at)
    return [effects.Append(stream, record)]


def append_record(cell: Cell, record: records.Record) -> effects.Append:
    """Returns the effect that appends a record to a data centre's stream."""
    return effects.Append(name_stream(cell.table.data_centre), record)


def list_worker_tasks(cell: Cell, worker: str) -> list[Task]:
    """Returns the tasks placed on a worker, sorted by id."""
    task_ids = sorted(cell.table.held.get(worker, ()))
    return [cell.table.tasks[task_id] for task_id in task_ids]
