"""What callers hand in at all nodes, as the owner reads it."""

import dataclasses
import threading
from collections.abc import Callable, Iterator

from poplarspindle.fleet import events, job_store, records
from poplarspindle.node import claims, followers, ports


@dataclasses.dataclass(frozen=True, slots=True)
class IntakeBatch:
    """Hand-ins of one part.

    Attributes:
        epoch: Epoch of the owner that read them.
        partition: The part.
        items: The records.
        next: Offset behind them.
    """

    epoch: int
    partition: int
    items: tuple[records.Record, ...]
    next: int


@dataclasses.dataclass(frozen=True, slots=True)
class Malformed:
    """A record that can't be read, and why."""

    key: str
    why: str


def start_followers(
    platform: ports.Platform,
    claim: claims.PreparedClaim,
    stop_event: threading.Event,
    put: Callable[[IntakeBatch], None],
) -> None:
    """Reads all parts on, a thread each, until the ownership is over."""
    for partition, end in enumerate(claim.end_offsets):

        def put_batch(rows, offset, *_, partition=partition) -> None:
            put(IntakeBatch(claim.epoch, partition, tuple(rows), offset))

        followers.Follower(
            platform.store,
            platform.intake_topic,
            put_batch,
            put_batch,
            lambda: 0.0,
            partition,
            end,
            stop_event,
        ).start()


def apply_batch(
    store: job_store.JobStore, batch: IntakeBatch, at: float, wall_ms: int
) -> Iterator[events.Event | Malformed]:
    """Adds hand-ins to the book; returns what the owner has to hear of.

    Args:
        store: All jobs.
        batch: The hand-ins.
        at: Present time, own clock.
        wall_ms: Unix time in milliseconds.
    """
    for record in batch.items:
        kind, _, job = record.key.partition("/")
        if not record.value:
            continue
        if kind == records.CANCELLED:
            stored_job = store.jobs.get(job)
            if stored_job is None:
                store.early_cancels.add(job)
            elif not stored_job.cancelled:
                job_store.cancel_job(stored_job)
                yield events.CancelRead(at, wall_ms, job)
        elif kind == records.SUBMITTED and job not in store.jobs:
            try:
                submission = records.decode_submission(job, record.value)
            except records.DECODE_ERRORS as error:
                yield Malformed(record.key, repr(error))
                continue
            job_store.add_job(store, submission)
            yield events.JobRead(at, job)
    yield events.IntakeRead(at, batch.partition, batch.next)
