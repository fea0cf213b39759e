"""Workers that fail what they start, and families that fail everywhere.

A worker is quarantined once tasks of several different families failed
there lately and none succeeded; a family is backed off once it failed on
several different workers. A family that fails everywhere speaks against no
worker, and a quarantined worker against no family. Both are probed with one
task at a time, after a wait that doubles.
"""

import dataclasses

FAMILIES_TO_QUARANTINE = 3
WORKERS_TO_BACK_OFF = 3
WINDOW_S = 120.0
WAIT_FIRST_S = 10.0
MAX_WAIT_S = 600.0
PROBE_TIMEOUT_S = 60.0
NEVER_S = float("-inf")


@dataclasses.dataclass(slots=True)
class FailureHistory:
    """What is held against a worker or a family.

    Attributes:
        failures: When it last failed with each counterpart.
        closed_until: No probe before that time, own clock.
        wait_s: How long it was closed last.
        probe: Task that probes it, empty for none.
        probe_at: When the probe was placed.
    """

    failures: dict[str, float] = dataclasses.field(default_factory=dict)
    closed_until: float = NEVER_S
    wait_s: float = 0.0
    probe: str = ""
    probe_at: float = NEVER_S

    @property
    def is_closed(self) -> bool:
        """Whether only probes go there."""
        return self.wait_s > 0


class FailureRecords:
    """What one instance holds against workers and families."""

    def __init__(self) -> None:
        self.workers: dict[str, FailureHistory] = {}
        self.families: dict[str, FailureHistory] = {}


def record_success(record: FailureRecords, worker: str, family: str) -> None:
    """Forgets what was held against a worker and a family."""
    record.workers.pop(worker, None)
    record.families.pop(family, None)


def record_failure(
    record: FailureRecords, worker: str, family: str, at: float
) -> bool:
    """Takes in a failed task.

    Args:
        record: What is held so far; changed in place.
        worker: Where it failed.
        family: The task's family.
        at: When that was read, own clock.

    Returns:
        Whether the worker was quarantined by it.
    """
    of_worker = record.workers.setdefault(worker, FailureHistory())
    of_family = record.families.setdefault(family, FailureHistory())
    if not of_family.is_closed:
        of_worker.failures[family] = at
    if not of_worker.is_closed:
        of_family.failures[worker] = at
    _close(of_family, WORKERS_TO_BACK_OFF, at)
    if of_family.is_closed:
        _acquit(record.workers, family)
    quarantined = _close(of_worker, FAMILIES_TO_QUARANTINE, at)
    if of_worker.is_closed:
        _acquit(record.families, worker)
    return quarantined


def _acquit(histories: dict[str, FailureHistory], cause: str) -> None:
    """Takes back failures whose cause was found elsewhere."""
    for history in histories.values():
        history.failures.pop(cause, None)


def _close(history: FailureHistory, limit: int, at: float) -> bool:
    """Closes at the limit, or for longer after a failed probe."""
    history.failures = {
        name: when
        for name, when in history.failures.items()
        if at - when <= WINDOW_S
    }
    first = not history.is_closed and len(history.failures) >= limit
    again = history.is_closed and at >= history.closed_until
    if first or again:
        history.wait_s = min(MAX_WAIT_S, max(WAIT_FIRST_S, 2 * history.wait_s))
        history.closed_until = at + history.wait_s
        history.probe = ""
    return first


def is_allowed(
    histories: dict[str, FailureHistory], name: str, at: float
) -> bool:
    """Tells whether a task may go to a worker, or of a family anywhere."""
    history = histories.get(name)
    if history is None or not history.is_closed:
        return True
    if at < history.closed_until:
        return False
    return not history.probe or at - history.probe_at > PROBE_TIMEOUT_S


def record_placed(
    record: FailureRecords, worker: str, family: str, task: str, at: float
) -> None:
    """Remembers a task that probes a closed worker or family."""
    for history in (
        record.workers.get(worker),
        record.families.get(family),
    ):
        if history is not None and history.is_closed:
            history.probe = task
            history.probe_at = at
