"""Records of the fleet's log: one key a job and kind, the newest counts.

A job has up to three keys: what its caller handed in, that it was cancelled,
and its progress. Only the owner writes the last one, so no record needs to
be read back to be in force.
"""

import dataclasses

import msgpack

from poplarspindle import resources
from poplarspindle.fleet import book, work

SUBMITTED = "j"
CANCELLED = "c"
PROGRESS = "s"
OWNER_KEY = "owner"
RESIGNED_KEY = "resigned"
FORM = 1

_PHASES = tuple(book.Phase)


@dataclasses.dataclass(frozen=True, slots=True)
class Record:
    """One keyed record; an empty value drops the key."""

    key: str
    value: bytes


@dataclasses.dataclass(frozen=True, slots=True)
class Owner:
    """Who owns the fleet.

    Attributes:
        epoch: Number of the ownership; each claim has a higher one.
        instance: The owner's incarnation.
        claimed_ms: When it claimed, Unix milliseconds.
    """

    epoch: int
    instance: str
    claimed_ms: int


def encode_owner(owner: Owner) -> Record:
    """Encodes the owner's record."""
    value = msgpack.packb([FORM, owner.epoch, owner.instance, owner.claimed_ms])
    return Record(OWNER_KEY, value)


def decode_owner(value: bytes) -> Owner:
    """Decodes the owner's record; raises ValueError where it is malformed."""
    _, epoch, instance, claimed_ms = unpack(value)
    return Owner(epoch, instance, claimed_ms)


def encode_resignation(epoch: int) -> Record:
    """Encodes that the owner of an epoch gave the fleet up."""
    return Record(RESIGNED_KEY, msgpack.packb([FORM, epoch]))


def decode_resignation(value: bytes) -> int:
    """Decodes the epoch given up; raises ValueError where malformed."""
    _, epoch = unpack(value)
    return epoch


def encode_submission(job: work.Submission) -> Record:
    """Encodes a job as handed in."""
    queue = [getattr(job.queue, f.name) for f in _QUEUE_FIELDS]
    steps = [_encode_step(step) for step in job.steps]
    value = msgpack.packb(
        [
            FORM,
            queue,
            job.spec,
            steps,
            job.times,
            job.first_ms,
            job.every_ms,
            job.accepted_ms,
        ]
    )
    return Record(f"{SUBMITTED}/{job.job}", value)


_QUEUE_FIELDS = dataclasses.fields(work.Queue)
_STEP_FIELDS = tuple(f for f in dataclasses.fields(work.Step))


def _encode_step(step: work.Step) -> dict[str, object]:
    """Encodes what differs from a field's default, by the field's index."""
    found: dict[int, object] = {}
    for index, field in enumerate(_STEP_FIELDS):
        value = getattr(step, field.name)
        if field.name == "need":
            value = [value.millicores, value.memory_mb, value.accelerators]
        if value != field.default:
            found[index] = value
    return found


def _decode_step(fields: dict[int, object]) -> work.Step:
    found = {_STEP_FIELDS[index].name: v for index, v in fields.items()}
    found["need"] = resources.Resources(*found["need"])
    found["after"] = tuple(found.get("after", ()))
    return work.Step(**found)


def decode_submission(job: str, value: bytes) -> work.Submission:
    """Decodes a job as handed in; raises ValueError where it is malformed."""
    _, queue, spec, steps, times, first_ms, every_ms, accepted = unpack(value)
    return work.Submission(
        job,
        work.Queue(*queue),
        spec,
        tuple(map(_decode_step, steps)),
        times,
        first_ms,
        every_ms,
        accepted,
    )


def encode_cancel(job: str) -> Record:
    """Encodes that a job is cancelled."""
    return Record(f"{CANCELLED}/{job}", msgpack.packb([FORM]))


def encode_progress(job: book.Job) -> Record:
    """Encodes a job's progress."""
    runs = {
        number: [[_encode_task(t) for t in tasks] for tasks in run]
        for number, run in job.runs.items()
    }
    value = msgpack.packb(
        [FORM, job.state.value, job.ended_ms, job.opened, runs]
    )
    return Record(f"{PROGRESS}/{job.submission.job}", value)


def _encode_task(task: book.Task) -> object:
    if task.phase is book.Phase.DONE:
        return 1
    if task.attempt == 0:
        return 0
    return [
        int(task.phase),
        task.attempt,
        task.failures,
        task.worker,
        task.born_ms,
        task.saved,
    ]


def _decode_task(found: object) -> book.Task:
    if isinstance(found, int):
        return book.Task(_PHASES[found])
    phase, *rest = found
    return book.Task(_PHASES[phase], *rest)


def apply_progress(job: book.Job, value: bytes) -> None:
    """Sets a job's progress; raises ValueError where it is malformed."""
    _, state, ended_ms, opened, runs = unpack(value)
    decoded = {
        number: [[_decode_task(t) for t in tasks] for tasks in run]
        for number, run in runs.items()
    }
    job.state = book.State(state)
    job.ended_ms, job.opened, job.runs = ended_ms, opened, decoded
    if job.state in book.ENDED or not job.cancelled:
        job.shown = job.state


def list_drops(job: str) -> list[Record]:
    """Returns the records that drop all keys of a job."""
    return [
        Record(f"{kind}/{job}", b"")
        for kind in (PROGRESS, CANCELLED, SUBMITTED)
    ]


def unpack(value: bytes) -> list:
    """Unpacks a record's value; raises ValueError where it is malformed."""
    try:
        found = msgpack.unpackb(value, strict_map_key=False)
    except Exception as error:
        raise ValueError(f"unreadable record: {error!r}") from error
    if not isinstance(found, list) or not found or found[0] != FORM:
        raise ValueError("record of an unknown form")
    return found
