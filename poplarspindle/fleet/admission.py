"""Whether a job is taken, by the owner's newest word on the fleet's load.

Load pattern: tasks that last hold most of the fleet and more are handed in;
each keeps its room for minutes, and what is urgent and short finds none. Room
for short work is kept by refusing more that lasts, at once and with the time
to come back, before the fleet is full. What was taken is never given up.
"""

import dataclasses

import msgpack

from poplarspindle.fleet import records, work

MAX_LONG_RUNNING_SHARE = 0.85
LONG_RUNNING_RETRY_S = 8
LOAD_KEY = "load"
FRESH_MS = 6000


@dataclasses.dataclass(frozen=True, slots=True)
class Load:
    """What the owner knows of one service's load.

    Attributes:
        at_ms: When it was summed up, Unix milliseconds.
        capacity: Processors of workers that take work, in thousandths, by
            service.
        until_cancelled_millicores: Processors that tasks that last hold or wait
            for, alike.
    """

    at_ms: int
    capacity: dict[str, int]
    until_cancelled_millicores: dict[str, int]


def encode_load(load: Load) -> records.Record:
    """Encodes a load for the log."""
    value = [
        records.FORMAT_VERSION,
        load.at_ms,
        load.capacity,
        load.until_cancelled_millicores,
    ]
    return records.Record(LOAD_KEY, msgpack.packb(value))


def decode_load(value: bytes) -> Load:
    """Decodes a load; raises ValueError where it is malformed."""
    _, at_ms, capacity, until_cancelled = records.unpack(value)
    return Load(at_ms, capacity, until_cancelled)


def count_until_cancelled(submission: work.Submission) -> int:
    """Returns the processors that a job holds for good, in thousandths."""
    return sum(
        step.tasks * step.need.millicores
        for step in submission.steps
        if step.until_cancelled and not step.best_effort
    )


def find_retry_s(
    load: Load | None, submission: work.Submission, wall_ms: int
) -> int:
    """Decides on one job.

    Args:
        load: The newest load that was read, None for none.
        submission: The job.
        wall_ms: Unix time in milliseconds.

    Returns:
        0 if it is taken, else when its caller should come back, seconds.
    """
    wanted = count_until_cancelled(submission)
    if not wanted or load is None or wall_ms - load.at_ms > FRESH_MS:
        return 0
    service = submission.queue.service
    capacity = load.capacity.get(service, 0)
    held = load.until_cancelled_millicores.get(service, 0)
    if held + wanted <= MAX_LONG_RUNNING_SHARE * capacity:
        return 0
    return LONG_RUNNING_RETRY_S
