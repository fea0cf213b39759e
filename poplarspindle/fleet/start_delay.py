"""Estimates how long new work waits for the owner to start it.

Load pattern: the owner's machine starts fewer tasks a second than are handed
in. If all are accepted, each waits longer than the one before, and when the
load is over, most of the fleet is free while the owner still works off what
waits. So nodes refuse work that would wait too long, with the time after which
to come back.

Load pattern: jobs have steps that wait for others. Half of the work that was
accepted is not ready yet, and follows when the owner is behind already. So what
is left of all jobs has a bound as well.
"""

import collections
import dataclasses
import math
from collections.abc import Iterable

import msgpack

from poplarspindle.fleet import records

START_DELAY_KEY = "start-delay"
PERIOD_S = 0.5
MIN_LIMITED_PERIODS = 2
RATE_WEIGHT = 0.5  # Of the newest period in the smoothed rate.
MAX_UNLEARNED_SHARE = 0.01  # Less changes no decision.
MIN_STARTS_PER_S = 1.0
MAX_START_DELAY_S = 3.0
# Later steps included; callers expect what they handed in last to start soon.
MAX_BACKLOG_S = 8.0
MAX_RETRY_S = 8
MAX_AGE_S = 3.0  # A node that no longer hears the owner accepts all.


@dataclasses.dataclass(slots=True)
class StartStatistics:
    """What the owner's last placement rounds and starts say of its speed.

    Attributes:
        starts: Starts sent in this period.
        appends: Appends that the store acknowledged in this period.
        rounds: Placement rounds of this period.
        cut_rounds: Those that ended since no more starts could be sent.
        limited_periods: Periods on end in which most rounds ended so.
        starts_per_s: Smoothed rate of starts.
        unlearned_share: Weight in the smoothed rate of what was there before
            the first period, 1 before it.
        period_began_at: When this period began, the owner's clock.
    """

    starts: int = 0
    appends: int = 0
    rounds: int = 0
    cut_rounds: int = 0
    limited_periods: int = 0
    starts_per_s: float = 0.0
    unlearned_share: float = 1.0
    period_began_at: float = float("-inf")


@dataclasses.dataclass(frozen=True, slots=True)
class StartDelays:
    """How long new work waits, as the owner published it.

    Attributes:
        read_at: When this node read it, own clock; machines' times of day
            differ by more than its age matters.
        delays_s: Seconds by priority, ascending; empty while no work waits
            for the owner.
    """

    read_at: float
    delays_s: tuple[tuple[int, float], ...]


def record_round(statistics: StartStatistics, was_cut: bool) -> None:
    """Records a placement round, and whether it was cut short."""
    statistics.rounds += 1
    statistics.cut_rounds += was_cut


def end_period(
    statistics: StartStatistics, now: float, awaits_append: bool = False
) -> None:
    """Ends a period if it has lasted long enough.

    Load pattern: the store is silent for seconds. No start is sent before its
    placement is recorded, and placements use up the room for starts. Such a
    period tells nothing of how many starts the owner can send.

    Args:
        statistics: The statistics.
        now: Present time, the owner's clock.
        awaits_append: Whether an append has no acknowledgement.
    """
    lasted_s = now - statistics.period_began_at
    if lasted_s < PERIOD_S:
        return
    was_store_silent = awaits_append and not statistics.appends
    if math.isfinite(lasted_s) and not was_store_silent:
        rate = statistics.starts / lasted_s
        statistics.starts_per_s += RATE_WEIGHT * (
            rate - statistics.starts_per_s
        )
        statistics.unlearned_share *= 1 - RATE_WEIGHT
        if statistics.rounds:
            is_limited = 2 * statistics.cut_rounds >= statistics.rounds
            statistics.limited_periods = (
                statistics.limited_periods + 1 if is_limited else 0
            )
    statistics.starts = statistics.appends = 0
    statistics.rounds = statistics.cut_rounds = 0
    statistics.period_began_at = now


def _find_rate(statistics: StartStatistics) -> float:
    """Returns the rate of starts, without the time before the first period."""
    rate = statistics.starts_per_s
    if statistics.unlearned_share > MAX_UNLEARNED_SHARE:
        rate /= 1 - statistics.unlearned_share
    return max(MIN_STARTS_PER_S, rate)


def estimate_delays(
    statistics: StartStatistics,
    ready_tasks: Iterable[tuple[int, int]],
    later_tasks: Iterable[tuple[int, int]] = (),
) -> tuple[tuple[int, float], ...]:
    """Estimates how long new work waits for its start, by priority.

    A backlog of `MAX_BACKLOG_S` counts as a wait of `MAX_START_DELAY_S`.

    Args:
        statistics: The statistics.
        ready_tasks: Pairs of priority and number of ready tasks.
        later_tasks: The same of tasks that wait for other steps.

    Returns:
        Pairs of priority and seconds, ascending; empty unless the owner
        starts fewer tasks than could be placed.
    """
    if statistics.limited_periods < MIN_LIMITED_PERIODS:
        return ()
    starts_per_s = _find_rate(statistics)
    ready_by_priority = _sum_by_priority(ready_tasks)
    later_by_priority = _sum_by_priority(later_tasks)
    delays = []
    ready_ahead = backlog = 0
    for priority in sorted(ready_by_priority | later_by_priority):
        ready_ahead += ready_by_priority[priority]
        backlog += ready_by_priority[priority] + later_by_priority[priority]
        tasks_ahead = max(
            ready_ahead, backlog * MAX_START_DELAY_S / MAX_BACKLOG_S
        )
        delays.append((priority, round(tasks_ahead / starts_per_s, 3)))
    return tuple(delays)


def _sum_by_priority(
    tasks: Iterable[tuple[int, int]],
) -> collections.Counter[int]:
    tasks_by_priority: collections.Counter[int] = collections.Counter()
    for priority, count in tasks:
        tasks_by_priority[priority] += count
    return tasks_by_priority


def find_retry_s(
    published: StartDelays | None, priority: int, now: float
) -> int:
    """Decides whether a job would wait too long for the owner.

    Args:
        published: The newest delays that were read, None if none were.
        priority: Priority of the job's queue; 0 comes first.
        now: Present time, own clock.

    Returns:
        0 if the job is accepted, else the retry delay in seconds.
    """
    if published is None or now - published.read_at > MAX_AGE_S:
        return 0
    delay_s = max(
        (delay_s for other, delay_s in published.delays_s if other <= priority),
        default=0.0,
    )
    if delay_s <= MAX_START_DELAY_S:
        return 0
    return min(MAX_RETRY_S, math.ceil(delay_s - MAX_START_DELAY_S))


def encode_delays(
    delays_s: tuple[tuple[int, float], ...],
) -> records.Record:
    """Encodes seconds by priority as a log record."""
    rows = [list(row) for row in delays_s]
    value = [records.FORMAT_VERSION, rows]
    return records.Record(START_DELAY_KEY, msgpack.packb(value))


def decode_delays(value: bytes, read_at: float) -> StartDelays:
    """Decodes delays; raises ValueError if the value is malformed.

    Args:
        value: The record's value.
        read_at: When it was read, own clock.
    """
    _, rows = records.unpack(value)
    return StartDelays(
        read_at,
        tuple((int(priority), float(delay_s)) for priority, delay_s in rows),
    )
