"""Records of the fleet's logs, which keep the newest record of each key.

The intake log holds what callers submit and cancel. It is partitioned by job
id, so that a slow store takes many appends at a time; only the owner follows
it. The shared log is followed by all nodes. In it the owner publishes each
job's state, and the offsets up to which it has read the intake.

Only the owner uses the progress log; the next owner reads it when it takes
over. In it a job has one key for itself and one for each group of a step's
tasks, so that recording a task's start or end costs the same for any number of
tasks in the step.
"""

import dataclasses
import zlib
from collections.abc import Iterable

import msgpack

from poplarspindle import resources
from poplarspindle.fleet import job_store, work

SUBMITTED = "j"
CANCELLED = "c"
STATE = "t"
PROGRESS = "s"
TASKS = "r"
INTAKE_OFFSETS_KEY = "read"
GROUP_TASKS = 16  # A record is about a kilobyte; a large step has ten groups.
OWNER_KEY = "owner"
RESIGNED_KEY = "resigned"
FORMAT_VERSION = 1

# What decoding raises at a record that another version wrote.
DECODE_ERRORS = (
    ValueError,
    TypeError,
    KeyError,
    IndexError,
    AttributeError,
    OverflowError,
)
_PHASES = tuple(job_store.Phase)
# Added to the number of a failed attempt in a task's list of attempts.
_FAILED_ATTEMPT_OFFSET = 1 << 32
_FIELDS_WITHOUT_CRASHES = 6  # Of a task that no crash is counted for.


@dataclasses.dataclass(frozen=True, slots=True)
class Record:
    """One keyed record; an empty value deletes the key."""

    key: str
    value: bytes


@dataclasses.dataclass(frozen=True, slots=True)
class Owner:
    """The owner of the fleet.

    Attributes:
        epoch: Epoch of the ownership; each claim has a higher one.
        instance: Incarnation of the owning instance.
        claimed_ms: When it claimed the ownership, Unix milliseconds.
        fitness: How much fleet load its machine can handle; see `fitness`.
    """

    epoch: int
    instance: str
    claimed_ms: int
    fitness: float = 0.0


def encode_owner(owner: Owner) -> Record:
    """Encodes the owner's record."""
    fields = [owner.epoch, owner.instance, owner.claimed_ms, owner.fitness]
    return Record(OWNER_KEY, msgpack.packb([FORMAT_VERSION, *fields]))


def decode_owner(value: bytes) -> Owner:
    """Decodes the owner's record; raises ValueError where it is malformed."""
    _, epoch, instance, claimed_ms, fitness = unpack(value)
    return Owner(epoch, instance, claimed_ms, fitness)


def encode_resignation(epoch: int) -> Record:
    """Encodes that the owner of an epoch resigned."""
    return Record(RESIGNED_KEY, msgpack.packb([FORMAT_VERSION, epoch]))


def decode_resignation(value: bytes) -> int:
    """Decodes the epoch that ended by resignation; raises ValueError."""
    _, epoch = unpack(value)
    return epoch


def encode_submission(job: work.Submission) -> Record:
    """Encodes a job as submitted."""
    queue = [getattr(job.queue, f.name) for f in _QUEUE_FIELDS]
    steps = [_encode_step(step) for step in job.steps]
    value = msgpack.packb(
        [
            FORMAT_VERSION,
            queue,
            job.spec,
            steps,
            job.occurrence_count,
            job.first_ms,
            job.every_ms,
            job.accepted_ms,
        ]
    )
    return Record(f"{SUBMITTED}/{job.job}", value)


_QUEUE_FIELDS = dataclasses.fields(work.Queue)
_STEP_FIELDS = tuple(f for f in dataclasses.fields(work.Step))


def _encode_step(step: work.Step) -> dict[str, object]:
    """Encodes the fields that differ from their default, by field index."""
    values: dict[int, object] = {}
    for index, field in enumerate(_STEP_FIELDS):
        value = getattr(step, field.name)
        if field.name == "need":
            value = [value.millicores, value.memory_mb, value.accelerators]
        if value != field.default:
            values[index] = value
    return values


def _decode_step(fields: dict[int, object]) -> work.Step:
    values = {_STEP_FIELDS[index].name: v for index, v in fields.items()}
    values["need"] = resources.Resources(*values["need"])
    values["prerequisites"] = tuple(values.get("prerequisites", ()))
    return work.Step(**values)


def decode_submission(job: str, value: bytes) -> work.Submission:
    """Decodes a job as submitted; raises ValueError if it is malformed."""
    (
        _,
        queue,
        spec,
        steps,
        occurrence_count,
        first_ms,
        every_ms,
        accepted_ms,
    ) = unpack(value)
    return work.Submission(
        job,
        work.Queue(*queue),
        spec,
        tuple(map(_decode_step, steps)),
        occurrence_count,
        first_ms,
        every_ms,
        accepted_ms,
    )


def encode_cancel(job: str) -> Record:
    """Encodes the cancellation of the job with this id."""
    return Record(f"{CANCELLED}/{job}", msgpack.packb([FORMAT_VERSION]))


def encode_state(job: job_store.Job) -> Record:
    """Encodes a job's published state, for the shared log."""
    value = [
        FORMAT_VERSION,
        job.published_state.value,
        job.submission.queue.name,
    ]
    return Record(f"{STATE}/{job.submission.job}", msgpack.packb(value))


def decode_state(value: bytes) -> job_store.PublishedJob:
    """Decodes a job's published state; raises ValueError if malformed."""
    _, state, queue = unpack(value)
    return job_store.PublishedJob(job_store.State(state), queue)


def encode_intake_offsets(offsets: Iterable[int]) -> Record:
    """Encodes the intake offsets up to which job states are published.

    Args:
        offsets: One offset for each partition of the intake.
    """
    return Record(INTAKE_OFFSETS_KEY, msgpack.packb([FORMAT_VERSION, *offsets]))


def decode_intake_offsets(value: bytes) -> tuple[int, ...]:
    """Decodes the intake offsets; raises ValueError if they are malformed."""
    _, *offsets = unpack(value)
    return tuple(map(int, offsets))


def choose_partition(job: str, partitions: int) -> int:
    """Returns the intake partition of a job.

    Args:
        job: The job's id.
        partitions: Number of partitions of the intake.
    """
    return zlib.crc32(job.encode()) % partitions


def encode_progress(job: job_store.Job) -> Record:
    """Encodes a job's progress, without its tasks."""
    value = [
        FORMAT_VERSION,
        job.state.value,
        job.ended_ms,
        job.opened_occurrences,
        list(job.occurrences),
    ]
    return Record(f"{PROGRESS}/{job.submission.job}", msgpack.packb(value))


def apply_progress(job: job_store.Job, value: bytes) -> None:
    """Sets a job's progress from a record, with all tasks queued.

    The task groups are applied after it, by `apply_group`. Raises ValueError
    if the value is malformed.
    """
    _, state, ended_ms, opened_occurrences, open_occurrences = unpack(value)
    job.state = job_store.State(state)
    job.ended_ms, job.opened_occurrences = ended_ms, opened_occurrences
    job.occurrences = {
        occurrence: [
            [job_store.Task() for _ in range(step.tasks)]
            for step in job.submission.steps
        ]
        for occurrence in open_occurrences
    }


def make_group_key(job: str, group: job_store.Group) -> str:
    """Returns the record key of a task group of the job with this id."""
    return f"{TASKS}/{job}/{'/'.join(map(str, group))}"


def encode_group(job: job_store.Job, group: job_store.Group) -> Record:
    """Encodes the state of the tasks of one group."""
    occurrence, step, first_index = group
    tasks = job.occurrences[occurrence][step][
        first_index : first_index + GROUP_TASKS
    ]
    value = msgpack.packb(
        [FORMAT_VERSION, [_encode_task(task) for task in tasks]]
    )
    return Record(make_group_key(job.submission.job, group), value)


def parse_group(key: str) -> tuple[str, job_store.Group]:
    """Parses a group's record key into job id and group; raises ValueError."""
    _, job, occurrence, step, first_index = key.split("/")
    return job, (int(occurrence), int(step), int(first_index))


def apply_group(
    job: job_store.Job, group: job_store.Group, value: bytes
) -> None:
    """Sets the tasks of one group from a record.

    Raises ValueError if the value is malformed or the occurrence is over.
    """
    _, encoded_tasks = unpack(value)
    occurrence, step, first_index = group
    if occurrence not in job.occurrences:
        raise ValueError("task group belongs to an occurrence that is over")
    tasks = job.occurrences[occurrence][step]
    tasks[first_index : first_index + len(encoded_tasks)] = map(
        decode_task, encoded_tasks
    )
    job.recorded_groups.add(group)


def _encode_task(task: job_store.Task) -> object:
    if task.phase is job_store.Phase.DONE:
        return 1
    if task.attempt == 0:
        return 0
    encoded = [
        int(task.phase),
        task.attempt,
        task.failures,
        task.worker_name,
        task.incarnation_ms,
        task.checkpoint,
    ]
    # Earlier versions take all of these for open attempts: they look for no
    # negative one, and for none that high.
    attempts = list(task.open_attempts)
    if task.answered_attempt:
        attempts.append(-task.answered_attempt)
    attempts += [
        _FAILED_ATTEMPT_OFFSET + attempt
        for attempt in task.failed_attempts
        if attempt > 0
    ]
    if task.is_suspect or task.lost_runs:
        crashes = dataclasses.astuple(task.crash_record)
        lost_runs = [dataclasses.astuple(lost) for lost in task.lost_runs]
        return [*encoded, attempts, crashes, lost_runs]
    return [*encoded, attempts] if attempts else encoded


def decode_task(encoded: object) -> job_store.Task:
    """Decodes a task of a group's record; raises one of DECODE_ERRORS."""
    if isinstance(encoded, int):
        return job_store.Task(_PHASES[encoded])
    phase, *rest = encoded
    if len(rest) < _FIELDS_WITHOUT_CRASHES:
        return job_store.Task(_PHASES[phase], *rest)
    *rest, attempts = rest[:_FIELDS_WITHOUT_CRASHES]
    crashes, lost_runs = encoded[1 + _FIELDS_WITHOUT_CRASHES :] or ((), ())
    return job_store.Task(
        _PHASES[phase],
        *rest,
        [
            attempt
            for attempt in attempts
            if 0 < attempt < _FAILED_ATTEMPT_OFFSET
        ],
        job_store.CrashRecord(*crashes),
        [job_store.LostRun(*lost) for lost in lost_runs],
        -min([0, *attempts]),
        [
            attempt - _FAILED_ATTEMPT_OFFSET
            for attempt in attempts
            if attempt >= _FAILED_ATTEMPT_OFFSET
        ],
    )


def make_intake_deletions(job: str) -> list[Record]:
    """Returns the records that delete a job's submission and cancellation."""
    return [Record(f"{kind}/{job}", b"") for kind in (CANCELLED, SUBMITTED)]


def make_state_deletion(job: str) -> Record:
    """Returns the record that deletes an ended job from the shared log."""
    return Record(f"{STATE}/{job}", b"")


def make_progress_deletion(job: str) -> Record:
    """Returns the record that deletes an ended job from the progress log."""
    return Record(f"{PROGRESS}/{job}", b"")


def unpack(value: bytes) -> list:
    """Unpacks a record's value, a list that begins with the format version.

    Raises ValueError if the value is malformed.
    """
    try:
        fields = msgpack.unpackb(value, strict_map_key=False)
    except Exception as error:
        raise ValueError(
            f"record value is not valid msgpack: {error!r}"
        ) from error
    if (
        not isinstance(fields, list)
        or not fields
        or fields[0] != FORMAT_VERSION
    ):
        raise ValueError(
            "record value is not a list that begins with format version 1"
        )
    return fields
