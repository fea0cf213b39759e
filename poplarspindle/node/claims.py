"""What a node reads between its claim and its ownership."""

import concurrent.futures
import dataclasses
import time
from collections.abc import Callable

import structlog

from poplarspindle import outcomes
from poplarspindle.fleet import (
    fleet_state,
    model_persistence,
    records,
    takeover,
)
from poplarspindle.node import ports, settings, storage

APPEND_S = 1.2  # An append to a slow store takes hundreds of milliseconds.
PAUSE_S = 0.1

_log = structlog.get_logger(part="ownership")


@dataclasses.dataclass(frozen=True, slots=True)
class Prepared:
    """What a claim needs before it is an ownership.

    Attributes:
        epoch: Epoch of the claim.
        progress: Newest records of the progress log, which takes appends of
            this epoch only.
        hand_ins: Newest records of what callers handed in; the last owner
            knew of no other jobs.
        ends: Offset in each part of the hand-ins from which more follows.
    """

    epoch: int
    progress: tuple[records.Record, ...]
    hand_ins: tuple[records.Record, ...]
    ends: tuple[int, ...]


def prepare(
    platform: ports.Platform,
    claim: records.Owner,
    is_wanted: Callable[[], bool],
) -> Prepared | None:
    """Reads what a claim needs.

    The progress log first refuses all others. So what is read from it is all
    that the last owner could append, and the jobs that it knew were handed
    in before.

    Args:
        platform: What the node runs on.
        claim: The claim.
        is_wanted: Tells whether the claim still stands.

    Returns:
        What was read, None where the claim is lost.
    """
    began = time.monotonic()
    while is_wanted():
        found = _read_all(platform, claim)
        if isinstance(found, Prepared):
            _log.info(
                "prepared",
                epoch=claim.epoch,
                progress=len(found.progress),
                hand_ins=len(found.hand_ins),
                took_ms=int((time.monotonic() - began) * 1000),
            )
            return found
        _log.warning("not-prepared", epoch=claim.epoch, why=found.reason)
        if found.reason in ("fenced", "seq"):
            return None
        time.sleep(PAUSE_S)
    return None


def _read_all(
    platform: ports.Platform, claim: records.Owner
) -> Prepared | outcomes.Failed:
    store = platform.store
    fence = store.append(
        [records.encode_owner(claim)],
        APPEND_S,
        claim.epoch,
        0,
        platform.progress_topic,
    )
    if isinstance(fence, outcomes.Failed):
        return fence
    wanted = [(platform.progress_topic, 0)]
    wanted += [
        (platform.hand_ins_topic, part) for part in range(platform.parts)
    ]
    # A slow store takes long for each page: the parts are read side by side.
    with concurrent.futures.ThreadPoolExecutor(len(wanted)) as pool:
        read = list(
            pool.map(lambda row: storage.load_newest(store, *row), wanted)
        )
    for found in read:
        if isinstance(found, outcomes.Failed):
            return found
    progress, *parts = (found.value for found in read)
    return Prepared(
        claim.epoch,
        progress.found,
        tuple(record for part in parts for record in part.found),
        tuple(part.end for part in parts),
    )


def make_fleet(
    found: Prepared, own_settings: settings.Settings, now: float
) -> tuple[fleet_state.FleetState, list[records.Record], list[str]]:
    """Makes the state that an owner begins with.

    Args:
        found: What was read for its claim.
        own_settings: The node's settings.
        now: Own clock.

    Returns:
        The state, records that drop what belongs to no job from the progress
        log, and the keys of records that can't be read.
    """
    jobs, malformed = takeover.load_intake(found.hand_ins)
    drops, unread = takeover.load_progress(jobs, found.progress)
    fleet = fleet_state.FleetState(
        jobs,
        own_settings.lease_most_ms,
        own_settings.early_ms,
        own_settings.keep_ended_s,
        own_settings.harm_ms,
    )
    for record in found.progress:
        if record.key != model_persistence.MEMORY_KEY or not record.value:
            continue
        try:
            fleet.tail_model.pairs = model_persistence.decode_model(
                record.value, now
            )
        except (ValueError, TypeError):
            unread.append(record.key)
    return fleet, drops, malformed + unread
