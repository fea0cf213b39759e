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
    unknown_ends,
)
from poplarspindle.node import clocks, ports, settings, storage

APPEND_TIMEOUT_S = (
    1.2  # An append to a slow store takes hundreds of milliseconds.
)
RETRY_PAUSE_S = 0.1
APPEND_NUMBER_BITS = 32  # Of an append's number, below the owner's epoch.

_log = structlog.get_logger(part="ownership")


@dataclasses.dataclass(frozen=True, slots=True)
class PreparedClaim:
    """What a claim needs before it is an ownership.

    Attributes:
        epoch: Epoch of the claim.
        progress: Newest records of the progress log, which takes appends of
            this epoch only.
        intake: Newest records of what callers handed in; the last owner
            knew of no other jobs.
        end_offsets: Offset in each part of the hand-ins from which more
            follows.
        confirmed_at: When the append that claimed the progress log was first
            sent, steady seconds.
    """

    epoch: int
    progress: tuple[records.Record, ...]
    intake: tuple[records.Record, ...]
    end_offsets: tuple[int, ...]
    confirmed_at: float = float("-inf")


def prepare(
    platform: ports.Platform,
    claim: records.Owner,
    is_wanted: Callable[[], bool],
) -> PreparedClaim | None:
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
    began = clocks.get_steady_s()
    while is_wanted():
        prepared = _read_all(platform, claim, began)
        if isinstance(prepared, PreparedClaim):
            _log.info(
                "prepared",
                epoch=claim.epoch,
                progress=len(prepared.progress),
                hand_ins=len(prepared.intake),
                took_ms=int((clocks.get_steady_s() - began) * 1000),
            )
            return prepared
        _log.warning("not-prepared", epoch=claim.epoch, why=prepared.reason)
        if prepared.reason in ("fenced", "seq"):
            return None
        time.sleep(RETRY_PAUSE_S)
    return None


def _read_all(
    platform: ports.Platform, claim: records.Owner, began: float
) -> PreparedClaim | outcomes.Failed:
    store = platform.store
    fence = store.append(
        [records.encode_owner(claim)],
        APPEND_TIMEOUT_S,
        claim.epoch,
        0,
        platform.progress_topic,
    )
    if isinstance(fence, outcomes.Failed):
        return fence
    wanted = [(platform.progress_topic, 0)]
    wanted += [
        (platform.intake_topic, partition)
        for partition in range(platform.partitions)
    ]
    # A slow store takes long for each page: the parts are read side by side.
    with concurrent.futures.ThreadPoolExecutor(len(wanted)) as pool:
        results = list(
            pool.map(lambda row: storage.load_newest(store, *row), wanted)
        )
    for newest in results:
        if isinstance(newest, outcomes.Failed):
            return newest
    progress, *partitions = (newest.value for newest in results)
    return PreparedClaim(
        claim.epoch,
        progress.items,
        tuple(record for partition in partitions for record in partition.items),
        tuple(partition.end for partition in partitions),
        began,
    )


def make_fleet(
    prepared: PreparedClaim, own_settings: settings.Settings, now: float
) -> tuple[fleet_state.FleetState, list[records.Record], list[str]]:
    """Makes the state that an owner begins with.

    Args:
        prepared: What was read for its claim.
        own_settings: The node's settings.
        now: Own clock.

    Returns:
        The state, records that drop what belongs to no job from the progress
        log, and the keys of records that can't be read.
    """
    jobs, malformed = takeover.load_intake(prepared.intake)
    drops, unread = takeover.load_progress(jobs, prepared.progress)
    # Another version may read these jobs.
    unreadable_jobs = {key.partition("/")[2] for key in malformed}
    drops = [
        record
        for record in drops
        if record.key.split("/")[1] not in unreadable_jobs
    ]
    kept_ends, ended_drops, unread_ends = unknown_ends.load(
        prepared.progress, jobs.jobs.keys() | unreadable_jobs
    )
    fleet = fleet_state.FleetState(
        jobs,
        own_settings.lease_most_ms,
        own_settings.early_ms,
        own_settings.keep_ended_s,
        own_settings.harm_ms,
    )
    fleet.unknown_ends = kept_ends
    # A thread of an earlier ownership may hand its append over late.
    fleet.last_append_number = prepared.epoch << APPEND_NUMBER_BITS
    for record in prepared.progress:
        if record.key != model_persistence.MODEL_KEY or not record.value:
            continue
        try:
            fleet.tail_model.pairs = model_persistence.decode_model(
                record.value, now
            )
        except records.DECODE_ERRORS:
            unread.append(record.key)
    return fleet, drops + ended_drops, malformed + unread + unread_ends
