"""What a node knows: written by its one state thread, read by callers'."""

from collections.abc import Callable, Iterable

import structlog

from poplarspindle.fleet import admission, job_store, records, unreachable, work
from poplarspindle.node import wishes

_log = structlog.get_logger(part="node")


class Known:
    """What a node has read.

    Attributes:
        shown: Jobs and their states, as the owner told them.
        taken: Jobs handed in here of which the owner has not told yet.
        read: Offsets up to which the owner told of hand-ins, by part.
        loaded: Whether all up to the shared log's tail is known.
        leaving: Whether the node was asked to stop.
        configuration: The operators' configuration, None before it is read.
        out: Data centres that get no more work.
        load: The owner's newest word on the fleet's load.
        silent: Silent workers, as the log says.
    """

    def __init__(self) -> None:
        self.shown: dict[str, job_store.PublishedJob] = {}
        self.taken: dict[str, job_store.PublishedJob] = {}
        self.read: tuple[int, ...] = ()
        self.loaded = False
        self.leaving = False
        self.configuration: work.Configuration | None = None
        self.out: frozenset[str] = frozenset()
        self.load: admission.Load | None = None
        self.silent: dict[str, unreachable.UnreachableWorker] = {}


def find_job(known: Known, job: str) -> job_store.PublishedJob | None:
    """Returns what is known of a job, None where it is not known."""
    return known.shown.get(job) or known.taken.get(job)


def apply_shared(known: Known, record: records.Record, at: float) -> None:
    """Takes a record of the shared log in, read at `at`, own clock.

    Raises:
        ValueError: The record is malformed.
    """
    kind, _, job = record.key.partition("/")
    if kind == records.STATE:
        known.taken.pop(job, None)
        if record.value:
            known.shown[job] = records.decode_state(record.value)
        else:
            known.shown.pop(job, None)
    elif kind == records.INTAKE_OFFSETS_KEY:
        known.read = records.decode_intake_offsets(record.value)
    elif kind == admission.LOAD_KEY:
        known.load = admission.decode_load(record.value)
    elif kind == unreachable.UNREACHABLE_KEY:
        known.silent = unreachable.decode_unreachable(record.value, at)


def forget_dropped(known: Known, found: Iterable[records.Record]) -> None:
    """Forgets jobs that are not among all newest records of the shared log."""
    kept = {record.key for record in found}
    for job in list(known.shown):
        if f"{records.STATE}/{job}" not in kept:
            del known.shown[job]


def note_taken(known: Known, record: records.Record) -> None:
    """Notes what was handed in here and is in the log."""
    kind, _, job = record.key.partition("/")
    before = find_job(known, job)
    if kind == records.SUBMITTED and before is None:
        queue = records.decode_submission(job, record.value).queue.name
        known.taken[job] = job_store.PublishedJob(job_store.State.QUEUED, queue)
    elif kind == records.CANCELLED and job in known.taken:
        queue = known.taken[job].queue
        known.taken[job] = job_store.PublishedJob(
            job_store.State.CANCELLED, queue
        )


def count_pending(known: Known, queue: str) -> int:
    """Counts a queue's accepted jobs of which no task was started."""
    # Other threads add to them.
    return sum(
        found.state is job_store.State.QUEUED and found.queue == queue
        for found in (*known.shown.values(), *known.taken.values())
    )


def apply_wish(known: Known, wish: wishes.Wish) -> None:
    """Takes in what operators wish; an older configuration is passed over."""
    if isinstance(wish, wishes.Configured):
        found = wish.configuration
        if known.configuration and found.version <= known.configuration.version:
            return
        known.configuration = found
        _log.info("configured", version=found.version, queues=len(found.queues))
    elif isinstance(wish, wishes.DataCentreOut):
        change = {wish.data_centre}
        known.out = known.out | change if wish.out else known.out - change
        _log.info("data-centre", name=wish.data_centre, out=wish.out)


def take_wishes(
    known: Known,
    read_wish: Callable[[records.Record], wishes.Wish | None],
    found: Iterable[records.Record],
) -> None:
    """Takes in what operators wrote; what can't be read is passed over."""
    for record in found:
        try:
            wish = read_wish(record)
        except ValueError as error:
            _log.warning("malformed", key=record.key, why=str(error))
            continue
        apply_wish(known, wish)


def find_heard_at(
    known: Known, owner: records.Owner | None, at: float, wall_ms: int
) -> tuple[float, bool]:
    """Returns when the owner was last heard of, by its claim or newest load.

    Clocks of nodes differ: one that is ahead claims sooner, one that is
    behind waits as if the owner had just been heard.

    Args:
        known: What was read.
        owner: The newest owner that was read, None for none.
        at: Present time, own clock.
        wall_ms: Unix time in milliseconds.

    Returns:
        Own clock's time, and whether the owner was heard since it claimed.
    """
    claimed_ms = owner.claimed_ms if owner else 0
    load_ms = known.load.at_ms if known.load else 0
    heard_ms = max(claimed_ms, load_ms)
    if not heard_ms:
        return float("-inf"), False
    return at - max(0, wall_ms - heard_ms) / 1000, load_ms > claimed_ms
