"""Log record that tells the next owner what unreachable workers may still run.

A new owner can't find out which leases an unreachable worker has, and which
starts it did not answer; it waits as long as any of them may last. When owners
change in quick succession, each would wait that long again. So an owner records
how much longer the leases of each unreachable worker last, and for how much
longer a start without an answer may have a run at work. A reader counts these
times from its own reading, which comes later than the writing, so no clocks are
compared. A worker on the record is given no lease and no start: when it
answers, it is removed from the record first.

Nodes of several versions read the record, and one that can't read it keeps an
older one. So what a version adds stands among the late runs of a worker, as one
of attempt 0, which no run has: earlier versions find no such run.
"""

import dataclasses
from collections.abc import Mapping

import msgpack

from poplarspindle.fleet import (
    grants,
    late_starts,
    records,
    work,
    worker_state,
)

UNREACHABLE_KEY = "dark"
_ADDED_ATTEMPT = 0  # Attempts of runs begin with 1.
# When the leases end that were granted, without what orders may add.
_GRANTED = "granted"
_ADDRESS_PREFIX = "address/"  # Before the worker's address; the time is 0.


@dataclasses.dataclass(frozen=True, slots=True)
class UnreachableWorker:
    """Entry of one unreachable worker, as read from the log.

    Attributes:
        incarnation_ms: Incarnation of the worker.
        leases_end_at: When all its leases have expired, on the reader's
            monotonic clock.
        late_runs: Until when a start without an answer may have a run at work,
            by task and attempt, on the same clock; None if that is not known.
        granted_end_at: When the leases end that it was granted, unless orders
            without an answer add to them, on the same clock; infinity if that
            is not known.
        address: Its `host:port`, empty if that is not known.
    """

    incarnation_ms: int
    leases_end_at: float
    late_runs: Mapping[tuple[work.TaskName, int], float] | None = None
    granted_end_at: float = float("inf")
    address: str = ""


def list_unreachable(
    workers: Mapping[str, worker_state.WorkerState],
) -> list[worker_state.WorkerState]:
    """Returns the workers that no poll reached last, and that may have runs."""
    return [
        worker
        for worker in workers.values()
        if worker.poll_failed and worker.runs
    ]


def encode_unreachable(
    workers: list[worker_state.WorkerState], now: float
) -> records.Record:
    """Encodes what unreachable workers may run, and for how much longer.

    Args:
        workers: The unreachable workers.
        now: Present time, on the owner's monotonic clock.
    """
    fields_by_worker = {
        worker.info.name: [
            worker.incarnation_ms,
            _count_remaining_ms(grants.find_leases_end(worker), now),
            [*_encode_late_runs(worker, now), *_encode_added(worker, now)],
        ]
        for worker in workers
    }
    return records.Record(
        UNREACHABLE_KEY,
        msgpack.packb([records.FORMAT_VERSION, fields_by_worker]),
    )


def _encode_late_runs(worker: worker_state.WorkerState, now: float) -> list:
    return [
        [
            *dataclasses.astuple(run.name),
            run.attempt,
            _count_remaining_ms(late_starts.find_late_run_end(run), now),
        ]
        for run in worker.runs.values()
        if late_starts.may_run_late(run, now)
    ]


def _encode_added(worker: worker_state.WorkerState, now: float) -> list:
    granted_ms = _count_remaining_ms(grants.find_granted_end(worker), now)
    values = {_GRANTED: granted_ms}
    if worker.info.address:
        values[_ADDRESS_PREFIX + worker.info.address] = 0
    return [
        [*dataclasses.astuple(work.TaskName(name, 0, 0, 0)), _ADDED_ATTEMPT, ms]
        for name, ms in values.items()
    ]


def _count_remaining_ms(until: float, now: float) -> int:
    return int(max(0.0, until - now) * 1000) + 1


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
        name: _decode_worker(read_at, *fields)
        for name, fields in dict(fields_by_worker).items()
    }


def _decode_worker(
    read_at: float,
    incarnation_ms: int,
    remaining_ms: int,
    late_runs: list | None = None,
) -> UnreachableWorker:
    """Decodes a worker's entry; earlier versions recorded less."""
    leases_end_at = read_at + remaining_ms / 1000
    if late_runs is None:
        return UnreachableWorker(incarnation_ms, leases_end_at)
    ends = {
        (work.TaskName(*name), attempt): read_at + late_ms / 1000
        for *name, attempt, late_ms in late_runs
    }
    added = {
        name.job: end
        for (name, attempt), end in ends.items()
        if attempt == _ADDED_ATTEMPT
    }
    addresses = [
        name.removeprefix(_ADDRESS_PREFIX)
        for name in added
        if name.startswith(_ADDRESS_PREFIX)
    ]
    return UnreachableWorker(
        incarnation_ms,
        leases_end_at,
        {key: end for key, end in ends.items() if key[1] != _ADDED_ATTEMPT},
        added.get(_GRANTED, float("inf")),
        addresses[0] if addresses else "",
    )
