"""Attributes task failures to a worker or a task family."""

from poplarspindle import (
    cells,
    effects,
    events,
    ownership,
    quarantine,
    scheduler_state,
)


def record_end(
    state: scheduler_state.SchedulerState,
    cell: cells.Cell,
    event: events.RecordRead,
) -> list:
    """Records a task's end for the quarantine of workers.

    Must run before the TaskEnded record is applied to its task, which clears
    the task's worker. Only the owner of the data centre records ends.

    Args:
        state: The instance's state.
        cell: The data centre.
        event: The event with the TaskEnded record.

    Returns:
        Effects that report a worker placed in quarantine.
    """
    record = event.record
    task = cell.table.tasks.get(record.task)
    is_current = (
        task is not None
        and task.attempt == record.attempt
        and record.term == cell.table.term
        and task.phase in cells.HOLDING
    )
    if not is_current or not ownership.is_owner(state, cell):
        return []
    family = task.job.family
    if record.succeeded:
        quarantine.record_success(state.failures, task.worker, family)
        return []
    is_quarantined = quarantine.record_failure(
        state.failures, task.worker, family, event.at
    )
    if not is_quarantined:
        return []
    return [
        effects.Count("poplarspindle_refusals_total", "worker-quarantined"),
        effects.LogLine("quarantine", "Quarantined a worker.", task.worker),
    ]
