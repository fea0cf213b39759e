"""Quarantines workers that fail tasks, backs off families that fail.

A worker is quarantined after recent tasks of several different families
failed there and none succeeded. A family is backed off after it failed on
several different workers. Failures of a backed-off family do not count
against workers, nor failures on a quarantined worker against families. Both
are probed with one task at a time, after a wait that doubles.
"""

import dataclasses

FAMILIES_TO_QUARANTINE = 3
WORKERS_TO_BACK_OFF = 3
WINDOW_S = 120.0
FIRST_WAIT_S = 10.0
MAX_WAIT_S = 600.0
PROBE_TIMEOUT_S = 60.0
NEVER_S = float("-inf")


@dataclasses.dataclass(slots=True)
class FailureHistory:
    """Recent failures of a worker or of a family.

    Attributes:
        failures: Time of the last failure by family (of a worker) or by
            worker (of a family), local monotonic seconds.
        closed_until: No probe before this time, local monotonic seconds.
        wait_s: Length of the last wait before a probe, 0 while open.
        probe: Id of the task that probes it, empty for none.
        probe_at: When the probe was placed, local monotonic seconds.
    """

    failures: dict[str, float] = dataclasses.field(default_factory=dict)
    closed_until: float = NEVER_S
    wait_s: float = 0.0
    probe: str = ""
    probe_at: float = NEVER_S

    @property
    def is_closed(self) -> bool:
        """Whether only probes are placed."""
        return self.wait_s > 0


class FailureRecords:
    """Failure histories kept by one instance.

    Attributes:
        workers: History by worker.
        families: History by family.
    """

    def __init__(self) -> None:
        self.workers: dict[str, FailureHistory] = {}
        self.families: dict[str, FailureHistory] = {}


def record_success(
    failure_records: FailureRecords, worker: str, family: str
) -> None:
    """Removes the histories of a worker and a family."""
    failure_records.workers.pop(worker, None)
    failure_records.families.pop(family, None)


def record_failure(
    failure_records: FailureRecords, worker: str, family: str, at: float
) -> bool:
    """Records a failed task.

    Args:
        failure_records: The failure histories; changed in place.
        worker: Worker on which the task failed.
        family: The task's family.
        at: When the failure was read, local monotonic seconds.

    Returns:
        Whether this failure quarantined the worker.
    """
    worker_history = failure_records.workers.setdefault(
        worker, FailureHistory()
    )
    family_history = failure_records.families.setdefault(
        family, FailureHistory()
    )
    if not family_history.is_closed:
        worker_history.failures[family] = at
    if not worker_history.is_closed:
        family_history.failures[worker] = at
    _close(family_history, WORKERS_TO_BACK_OFF, at)
    if family_history.is_closed:
        _remove_failures(failure_records.workers, family)
    quarantined = _close(worker_history, FAMILIES_TO_QUARANTINE, at)
    if worker_history.is_closed:
        _remove_failures(failure_records.families, worker)
    return quarantined


def _remove_failures(histories: dict[str, FailureHistory], cause: str) -> None:
    """Removes the failures of `cause`, a closed worker or family."""
    for history in histories.values():
        history.failures.pop(cause, None)


def _close(history: FailureHistory, limit: int, at: float) -> bool:
    """Closes at `limit` recent failures, or again after a failed probe.

    Returns whether an open history was closed.
    """
    history.failures = {
        name: failed_at
        for name, failed_at in history.failures.items()
        if at - failed_at <= WINDOW_S
    }
    newly_closed = not history.is_closed and len(history.failures) >= limit
    probe_failed = history.is_closed and at >= history.closed_until
    if newly_closed or probe_failed:
        history.wait_s = min(MAX_WAIT_S, max(FIRST_WAIT_S, 2 * history.wait_s))
        history.closed_until = at + history.wait_s
        history.probe = ""
    return newly_closed


def is_allowed(
    histories: dict[str, FailureHistory], name: str, at: float
) -> bool:
    """Returns whether a task may be placed, as a probe if closed.

    Args:
        histories: Histories of workers or of families.
        name: The worker or the family.
        at: Now, local monotonic seconds.
    """
    history = histories.get(name)
    if history is None or not history.is_closed:
        return True
    if at < history.closed_until:
        return False
    return not history.probe or at - history.probe_at > PROBE_TIMEOUT_S


def record_placed(
    failure_records: FailureRecords,
    worker: str,
    family: str,
    task: str,
    at: float,
) -> None:
    """Records a placed task as the probe of a closed worker or family."""
    for history in (
        failure_records.workers.get(worker),
        failure_records.families.get(family),
    ):
        if history is not None and history.is_closed:
            history.probe = task
            history.probe_at = at
