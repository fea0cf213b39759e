"""Drops ended jobs once nobody can hand them in again or ask for them.

Jobs' ends are recorded by the time of day, which may jump ahead by minutes. So
an owner drops nothing before it has kept all for a while by its own clock, and
reckons the time of day from that clock and the least offset that it has seen.
"""

import dataclasses
import typing

from poplarspindle.fleet import effects

if typing.TYPE_CHECKING:
    from poplarspindle.fleet import fleet_state

RETENTION_FACTOR = 2  # Callers count from their own clocks.


@dataclasses.dataclass(slots=True)
class Retention:
    """What an owner knows of the time for which it has kept ended jobs.

    Attributes:
        since: When it began to keep them, on its own clock; None before that.
        least_offset_ms: Least offset of the time of day from that clock.
    """

    since: float | None = None
    least_offset_ms: float = float("inf")


def drop_expired_jobs(fleet: "fleet_state.FleetState") -> list[effects.Effect]:
    """Drops the records of jobs whose retention time is over, oldest first."""
    retention, own_ms = fleet.retention, fleet.now * 1000
    if retention.since is None:
        retention.since = fleet.now
    retention.least_offset_ms = min(
        retention.least_offset_ms, fleet.wall_ms - own_ms
    )
    if fleet.now - retention.since < fleet.keep_ended_s:
        return []
    kept_ms = RETENTION_FACTOR * fleet.keep_ended_s * 1000
    ended_before_ms = own_ms + retention.least_offset_ms - kept_ms
    expired_jobs: list[str] = []
    for name in fleet.expiring_jobs:
        job = fleet.job_store.jobs.get(name)
        if job is None:
            expired_jobs.append(name)
            continue
        if job.ended_ms > ended_before_ms or name in fleet.changed_jobs:
            break
        expired_jobs.append(name)
    for name in expired_jobs:
        del fleet.expiring_jobs[name]
        fleet.job_store.jobs.pop(name, None)
    if not expired_jobs:
        return []
    return [effects.Drop(tuple(expired_jobs))]
