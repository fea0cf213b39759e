"""What a node knows: written by its one state thread, read by callers'."""

from collections.abc import Callable, Iterable

import structlog

from poplarspindle.fleet import (
    admission,
    job_store,
    records,
    start_delay,
    unreachable,
    work,
)
from poplarspindle.node import operator_commands

_log = structlog.get_logger(part="node")


class SharedState:
    """What a node has read.

    Attributes:
        published_jobs: Jobs and their states, as the owner told them.
        unpublished_jobs: Jobs handed in here of which the owner has not told
            yet, or not that they have ended if they were cancelled here.
        published_offsets: Offsets up to which the owner told of hand-ins, by
            part.
        loaded: Whether all up to the shared log's tail is known.
        leaving: Whether the node was asked to stop.
        configuration: The operators' configuration, None before it is read.
        out: Data centres that get no more work.
        load: The owner's newest word on the fleet's load.
        loads_read: Number of loads read so far.
        start_delays: The owner's newest word on how long work waits for it.
        silent: Silent workers, as the log says.
    """

    def __init__(self) -> None:
        self.published_jobs: dict[str, job_store.PublishedJob] = {}
        self.unpublished_jobs: dict[str, job_store.PublishedJob] = {}
        self.published_offsets: tuple[int, ...] = ()
        self.loaded = False
        self.leaving = False
        self.configuration: work.Configuration | None = None
        self.evacuated: frozenset[str] = frozenset()
        self.load: admission.Load | None = None
        self.loads_read = 0
        self.start_delays: start_delay.StartDelays | None = None
        self.unreachable: dict[str, unreachable.UnreachableWorker] = {}


def find_job(
    shared_state: SharedState, job: str
) -> job_store.PublishedJob | None:
    """Returns what is known of a job, None where it is not known."""
    # Published jobs are looked at last: other threads move jobs there.
    unpublished = shared_state.unpublished_jobs.get(job)
    published = shared_state.published_jobs.get(job)
    if published is None or _awaits_cancel(unpublished, published):
        return unpublished
    return published


def _awaits_cancel(
    unpublished: job_store.PublishedJob | None,
    published: job_store.PublishedJob,
) -> bool:
    """Tells whether a job was cancelled here and is not published as ended."""
    return (
        unpublished is not None
        and unpublished.state is job_store.State.CANCELLED
        and published.state not in job_store.ENDED
    )


def apply_record(
    shared_state: SharedState, record: records.Record, at: float
) -> None:
    """Takes a record of the shared log in, read at `at`, own clock.

    Raises:
        ValueError: The record is malformed.
    """
    kind, _, job = record.key.partition("/")
    if kind == records.STATE:
        if record.value:
            published = records.decode_state(record.value)
            shared_state.published_jobs[job] = published
            if _awaits_cancel(
                shared_state.unpublished_jobs.get(job), published
            ):
                return
        else:
            shared_state.published_jobs.pop(job, None)
        shared_state.unpublished_jobs.pop(job, None)
    elif kind == records.INTAKE_OFFSETS_KEY:
        shared_state.published_offsets = records.decode_intake_offsets(
            record.value
        )
    elif kind == admission.LOAD_KEY:
        shared_state.load = admission.decode_load(record.value)
        shared_state.loads_read += 1
    elif kind == start_delay.START_DELAY_KEY:
        shared_state.start_delays = start_delay.decode_delays(record.value, at)
    elif kind == unreachable.UNREACHABLE_KEY:
        shared_state.unreachable = unreachable.decode_unreachable(
            record.value, at
        )


def remove_missing_jobs(
    shared_state: SharedState, items: Iterable[records.Record]
) -> None:
    """Forgets jobs that are not among all newest records of the shared log."""
    kept = {record.key for record in items}
    for job in list(shared_state.published_jobs):
        if f"{records.STATE}/{job}" not in kept:
            del shared_state.published_jobs[job]


def record_accepted(shared_state: SharedState, record: records.Record) -> None:
    """Notes what was handed in here and is in the log."""
    kind, _, job = record.key.partition("/")
    before = find_job(shared_state, job)
    if kind == records.SUBMITTED and before is None:
        queue = records.decode_submission(job, record.value).queue.name
        shared_state.unpublished_jobs[job] = job_store.PublishedJob(
            job_store.State.QUEUED, queue
        )
    elif kind == records.CANCELLED and job in shared_state.unpublished_jobs:
        queue = shared_state.unpublished_jobs[job].queue
        shared_state.unpublished_jobs[job] = job_store.PublishedJob(
            job_store.State.CANCELLED, queue
        )


def count_pending(shared_state: SharedState, queue: str) -> int:
    """Counts a queue's accepted jobs of which no task was started."""
    # Other threads add to them.
    return sum(
        job.state is job_store.State.QUEUED and job.queue == queue
        for job in (
            *shared_state.published_jobs.values(),
            *shared_state.unpublished_jobs.values(),
        )
    )


def apply_operator_command(
    shared_state: SharedState, command: operator_commands.OperatorCommand
) -> None:
    """Takes in what operators wish; an older configuration is passed over."""
    if isinstance(command, operator_commands.ConfigurationChange):
        configuration = command.configuration
        if (
            shared_state.configuration
            and configuration.version <= shared_state.configuration.version
        ):
            return
        shared_state.configuration = configuration
        _log.info(
            "configured",
            version=configuration.version,
            queues=len(configuration.queues),
        )
    elif isinstance(command, operator_commands.DataCentreEvacuation):
        change = {command.data_centre}
        shared_state.evacuated = (
            shared_state.evacuated | change
            if command.is_evacuated
            else shared_state.evacuated - change
        )
        _log.info(
            "data-centre", name=command.data_centre, out=command.is_evacuated
        )


def apply_operator_commands(
    shared_state: SharedState,
    read_operator_command: Callable[
        [records.Record], operator_commands.OperatorCommand | None
    ],
    items: Iterable[records.Record],
) -> None:
    """Takes in what operators wrote; what can't be read is passed over."""
    for record in items:
        try:
            command = read_operator_command(record)
        except ValueError as error:
            _log.warning("malformed", key=record.key, why=str(error))
            continue
        except Exception as error:
            # The next reading would meet the same record, and never end.
            _log.exception("malformed", key=record.key, why=repr(error))
            continue
        apply_operator_command(shared_state, command)


def find_owner_seen_at(
    shared_state: SharedState,
    owner: records.Owner | None,
    at: float,
    wall_ms: int,
) -> tuple[float, bool]:
    """Returns when the owner was last heard of, by its claim or newest load.

    Clocks of nodes differ: one that is ahead claims sooner, one that is
    behind waits as if the owner had just been heard.

    Args:
        shared_state: What was read.
        owner: The newest owner that was read, None for none.
        at: Present time, own clock.
        wall_ms: Unix time in milliseconds.

    Returns:
        Own clock's time, and whether the owner was heard since it claimed.
    """
    claimed_ms = owner.claimed_ms if owner else 0
    load_ms = shared_state.load.at_ms if shared_state.load else 0
    heard_ms = max(claimed_ms, load_ms)
    if not heard_ms:
        return float("-inf"), False
    return at - max(0, wall_ms - heard_ms) / 1000, load_ms > claimed_ms
