"""Admission control: accepts or refuses jobs by the fleet's published load.

Load pattern: long-running tasks hold most of the fleet while more are
submitted. Each keeps its capacity for minutes, so short and best-effort tasks
find none. Capacity for them is kept free by refusing more long-running work at
once, with a retry delay, before the fleet is full. Accepted jobs are never
dropped.

Load pattern: many long-running jobs are submitted at all nodes at the same
moment, as after a start. Each node sees the same free capacity and fills it by
itself. So between two loads a node gives away only its part of that capacity,
and asks further callers to come back when the next load is known.
"""

import dataclasses

import msgpack

from poplarspindle.fleet import records, work

MAX_LONG_RUNNING_SHARE = 0.75  # Of a service's capacity.
LONG_RUNNING_RETRY_S = 8
# Part of the capacity left for long-running work that one node gives away
# before it knows what the others gave away.
MAX_UNSEEN_SHARE = 0.125
NEXT_LOAD_RETRY_S = 1
LOAD_KEY = "load"
MAX_LOAD_AGE_MS = 6000
MAX_SUM = (1 << 63) - 1  # Largest number that a record carries.


@dataclasses.dataclass(frozen=True, slots=True)
class Load:
    """Capacity and long-running load, both by service, as the owner sums them.

    Attributes:
        at_ms: When it was summed up, Unix milliseconds.
        capacity: Millicores of workers that take work, by service.
        until_cancelled_millicores: Millicores that tasks that run until
            cancelled hold or wait for, by service.
    """

    at_ms: int
    capacity: dict[str, int]
    until_cancelled_millicores: dict[str, int]


def encode_load(load: Load) -> records.Record:
    """Encodes a load as a log record; sums beyond its range count as most."""
    value = [
        records.FORMAT_VERSION,
        load.at_ms,
        *(
            {name: min(total, MAX_SUM) for name, total in totals.items()}
            for totals in (load.capacity, load.until_cancelled_millicores)
        ),
    ]
    return records.Record(LOAD_KEY, msgpack.packb(value))


def decode_load(value: bytes) -> Load:
    """Decodes a load; raises ValueError if the value is malformed."""
    _, at_ms, *totals = records.unpack(value)
    if type(at_ms) is not int or not all(
        type(total) is int
        for by_service in totals
        for total in dict(by_service).values()
    ):
        raise ValueError("load is not in whole numbers")
    return Load(at_ms, *totals)


def count_until_cancelled_millicores(submission: work.Submission) -> int:
    """Returns the millicores that a job holds until it is cancelled."""
    return sum(
        step.tasks * step.need.millicores
        for step in submission.steps
        if step.until_cancelled and not step.best_effort
    )


def find_retry_s(
    load: Load | None,
    submission: work.Submission,
    wall_ms: int,
    unseen_millicores: int = 0,
) -> int:
    """Decides whether a job is accepted.

    Without a recent load, every job is accepted.

    Args:
        load: The newest load that was read, None if none was.
        submission: The job.
        wall_ms: Unix time in milliseconds.
        unseen_millicores: Long-running millicores of the service that this
            node accepted and that the load may not include yet.

    Returns:
        0 if the job is accepted, else the retry delay in seconds.
    """
    requested_millicores = count_until_cancelled_millicores(submission)
    if (
        not requested_millicores
        or load is None
        or wall_ms - load.at_ms > MAX_LOAD_AGE_MS
    ):
        return 0
    service = submission.queue.service
    capacity = load.capacity.get(service, 0)
    held_millicores = load.until_cancelled_millicores.get(service, 0)
    left_millicores = MAX_LONG_RUNNING_SHARE * capacity - held_millicores
    if requested_millicores > left_millicores:
        return LONG_RUNNING_RETRY_S
    if (
        unseen_millicores
        and unseen_millicores + requested_millicores
        > MAX_UNSEEN_SHARE * left_millicores
    ):
        return NEXT_LOAD_RETRY_S
    return 0
