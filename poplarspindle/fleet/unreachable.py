"""Log record that tells the next owner when unreachable workers' leases end.

A new owner can't find out which leases an unreachable worker has, and waits
for the longest possible one. When owners change in quick succession, each
would wait that long again. So an owner records how much longer the leases of
each unreachable worker last. A reader counts that time from its own reading,
which comes later than the writing, so no clocks are compared. A worker on the
record is given no lease: when it answers, it is removed from the record first.
"""

import dataclasses
from collections.abc import Mapping

import msgpack

from poplarspindle.fleet import records, worker_state

UNREACHABLE_KEY = "dark"


@dataclasses.dataclass(frozen=True, slots=True)
class UnreachableWorker:
    """Entry of one unreachable worker, as read from the log.

    Attributes:
        incarnation_ms: Incarnation of the worker.
        leases_end_at: When all its leases have expired, on the reader's
            monotonic clock.
    """

    incarnation_ms: int
    leases_end_at: float


def list_unreachable(
    workers: Mapping[str, worker_state.WorkerState],
) -> list[worker_state.WorkerState]:
    """Returns the workers that failed a poll and may have runs."""
    return [
        worker
        for worker in workers.values()
        if worker.poll_failed and worker.runs
    ]


def encode_unreachable(
    workers: list[worker_state.WorkerState], now: float
) -> records.Record:
    """Encodes how much longer the leases of unreachable workers last.

    Args:
        workers: The unreachable workers.
        now: Present time, on the owner's monotonic clock.
    """
    fields_by_worker = {
        worker.info.name: [
            worker.incarnation_ms,
            int(max(0.0, worker.leases_end_at - now) * 1000) + 1,
        ]
        for worker in workers
    }
    return records.Record(
        UNREACHABLE_KEY,
        msgpack.packb([records.FORMAT_VERSION, fields_by_worker]),
    )


def decode_unreachable(
    value: bytes, read_at: float
) -> dict[str, UnreachableWorker]:
    """Decodes the record of all unreachable workers.

    Args:
        value: The record's value.
        read_at: When it was read, on this node's monotonic clock.

    Returns:
        The unreachable workers by name.

    Raises:
        ValueError: The value is malformed.
    """
    _, fields_by_worker = records.unpack(value)
    return {
        name: UnreachableWorker(incarnation_ms, read_at + remaining_ms / 1000)
        for name, (incarnation_ms, remaining_ms) in dict(
            fields_by_worker
        ).items()
    }
