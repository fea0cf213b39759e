"""What callers hand in at all nodes, as the owner reads it."""

import dataclasses
import threading
from collections.abc import Callable, Iterator

from poplarspindle.fleet import events, job_store, records
from poplarspindle.node import claims, followers, ports


@dataclasses.dataclass(frozen=True, slots=True)
class HandIns:
    """Hand-ins of one part.

    Attributes:
        epoch: Epoch of the owner that read them.
        part: The part.
        found: The records.
        next: Offset behind them.
    """

    epoch: int
    part: int
    found: tuple[records.Record, ...]
    next: int


@dataclasses.dataclass(frozen=True, slots=True)
class Malformed:
    """A record that can't be read, and why."""

    key: str
    why: str


def follow(
    platform: ports.Platform,
    claim: claims.Prepared,
    over: threading.Event,
    put: Callable[[HandIns], None],
) -> None:
    """Reads all parts on, a thread each, until the ownership is over."""
    for part, end in enumerate(claim.ends):

        def take(rows, offset, *_, part=part) -> None:
            put(HandIns(claim.epoch, part, tuple(rows), offset))

        followers.Follower(
            platform.store,
            platform.hand_ins_topic,
            take,
            take,
            lambda: 0.0,
            part,
            end,
            over,
        ).start()


def list_events(
    known: job_store.JobStore, hand_ins: HandIns, at: float, wall_ms: int
) -> Iterator[events.Event | Malformed]:
    """Adds hand-ins to the book; returns what the owner has to hear of.

    Args:
        known: All jobs.
        hand_ins: The hand-ins.
        at: Present time, own clock.
        wall_ms: Unix time in milliseconds.
    """
    for record in hand_ins.found:
        kind, _, job = record.key.partition("/")
        if not record.value:
            continue
        if kind == records.CANCELLED:
            found = known.jobs.get(job)
            if found is None:
                known.early_cancels.add(job)
            elif not found.cancelled:
                job_store.cancel_job(found)
                yield events.CancelRead(at, wall_ms, job)
        elif kind == records.SUBMITTED and job not in known.jobs:
            try:
                submission = records.decode_submission(job, record.value)
            except (ValueError, TypeError, KeyError, IndexError) as error:
                yield Malformed(record.key, repr(error))
                continue
            job_store.add_job(known, submission)
            yield events.JobRead(at, job)
    yield events.IntakeRead(at, hand_ins.part, hand_ins.next)
