"""Keeps ends of runs whose job the owner does not know.

A hand-in may be unreadable to an owner of another version, or be read late. Its
worker forgets an end once it is acknowledged, so the end is put in the progress
log before that, and counts once the job is known, maybe by a later owner.
"""

import dataclasses
from collections.abc import Collection, Iterable

import msgpack

from poplarspindle.fleet import records, work

UNKNOWN_END = "u"
# Other ends leave their task to be run again, as if nothing was listed.
KEPT_REASONS = frozenset({work.EndReason.DONE, work.EndReason.FAILED})


@dataclasses.dataclass(slots=True)
class UnknownEnds:
    """Ends that are kept.

    Attributes:
        by_job: The ends, by the id of their job.
        to_record: Records that the next append has to contain.
    """

    by_job: dict[str, list[work.Ended]] = dataclasses.field(
        default_factory=dict
    )
    to_record: list[records.Record] = dataclasses.field(default_factory=list)


def keep(kept: UnknownEnds, end: work.Ended) -> None:
    """Keeps an end of a job that is not known, in the log as well."""
    if end.end_reason not in KEPT_REASONS:
        return
    kept.by_job.setdefault(end.task.job, []).append(end)
    kept.to_record.append(_encode_end(end))


def take(kept: UnknownEnds, job: str) -> list[work.Ended]:
    """Returns the ends of a job that is known now; they are dropped."""
    ends = kept.by_job.pop(job, [])
    kept.to_record += [records.Record(_make_key(end), b"") for end in ends]
    return ends


def load(
    newest_records: Iterable[records.Record], jobs: Collection[str]
) -> tuple[UnknownEnds, list[records.Record], list[str]]:
    """Reads the ends that the progress log holds.

    Args:
        newest_records: Newest record of each key of the progress log.
        jobs: Ids of all jobs that were handed in, readable or not.

    Returns:
        The ends, tombstones for those of jobs that are gone, and the keys of
        malformed records.
    """
    kept = UnknownEnds()
    tombstones: list[records.Record] = []
    malformed: list[str] = []
    for record in newest_records:
        if record.key.partition("/")[0] != UNKNOWN_END or not record.value:
            continue
        try:
            end = _decode_end(record)
        except records.DECODE_ERRORS:
            malformed.append(record.key)
            continue
        if end.task.job in jobs:
            kept.by_job.setdefault(end.task.job, []).append(end)
        else:
            tombstones.append(records.Record(record.key, b""))
    return kept, tombstones, malformed


def _make_key(end: work.Ended) -> str:
    name = end.task
    numbers = (name.occurrence, name.step, name.index, end.attempt)
    return f"{UNKNOWN_END}/{name.job}/{'/'.join(map(str, numbers))}"


def _encode_end(end: work.Ended) -> records.Record:
    value = [records.FORMAT_VERSION, end.end_reason.value]
    return records.Record(_make_key(end), msgpack.packb(value))


def _decode_end(record: records.Record) -> work.Ended:
    _, job, *numbers = record.key.split("/")
    occurrence, step, index, attempt = map(int, numbers)
    _, reason = records.unpack(record.value)
    name = work.TaskName(job, occurrence, step, index)
    return work.Ended(0, name, attempt, work.EndReason(reason), "")
