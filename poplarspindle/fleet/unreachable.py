"""Workers that don't answer: how long their leases last, for the next owner.

An owner that begins can't know which leases were given to a worker that it
does not reach, and waits for the longest. Owners that follow each other
quickly would wait anew each time. So an owner records how much longer each
silent worker's leases last; whoever reads that counts from its own reading,
which comes later, so no clocks are compared. While a worker is recorded as
dark it is given no lease: when it answers, it is first taken off the record.
"""

import dataclasses
from collections.abc import Mapping

import msgpack

from poplarspindle.fleet import records, worker_state

UNREACHABLE_KEY = "dark"


@dataclasses.dataclass(frozen=True, slots=True)
class UnreachableWorker:
    """What the log says of a silent worker.

    Attributes:
        incarnation_ms: The life that is meant.
        leases_end_at: When all its leases are over, own clock of the reader.
    """

    incarnation_ms: int
    leases_end_at: float


def list_unreachable(
    workers: Mapping[str, worker_state.WorkerState],
) -> list[worker_state.WorkerState]:
    """Returns the silent workers that may hold runs."""
    return [
        worker
        for worker in workers.values()
        if worker.poll_failed and worker.runs
    ]


def encode_unreachable(
    workers: list[worker_state.WorkerState], now: float
) -> records.Record:
    """Encodes how much longer leases last, from `at` on, own clock."""
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
    """Decodes a record read at `at`, own clock; raises ValueError."""
    _, fields_by_worker = records.unpack(value)
    return {
        name: UnreachableWorker(incarnation_ms, read_at + remaining_ms / 1000)
        for name, (incarnation_ms, remaining_ms) in fields_by_worker.items()
    }
