"""Hands tasks over between data centres, each exactly once.

The source's stream records that a task moved. The owner of the source appends
the task to the target's stream, and retries until that stream shows it. Only
then does the source remove it. A move increments the attempt and the target
accepts each attempt once, so retries are idempotent.
"""

import itertools

from poplarspindle import cells, records, scheduler_state, tasks

MOVES_PER_TICK = 50


def send_moves(
    state: scheduler_state.SchedulerState, cell: cells.Cell, at: float
) -> list:
    """Returns the appends by which the source's owner hands tasks over."""
    task_ids = list(itertools.islice(cell.table.moving, MOVES_PER_TICK))
    return [
        effect
        for task_id in task_ids
        for effect in _send_move(state, cell, cell.table.tasks[task_id], at)
    ]


def _send_move(
    state: scheduler_state.SchedulerState,
    cell: cells.Cell,
    task: cells.Task,
    at: float,
) -> list:
    """Returns the next append for one moved task.

    The task is appended to the target first, then its cancellation if it was
    cancelled, and last the confirmation to the source.
    """
    target = state.cells.get(task.target)
    if target is None:
        return []
    arrived = tasks.find_attempt(target.table, task.task) >= task.attempt
    if not arrived:
        return _append_to_target(
            cell, target, _make_received_record(cell, task), at
        )
    job = task.job.job
    if task.cancelled and job not in target.table.cancelled_jobs:
        return _append_to_target(
            cell, target, records.JobCancelled(job), at, task.task
        )
    record = records.MoveConfirmed(
        task.task, task.attempt, cell.table.term, task.cancelled
    )
    return cells.propose(cell, record, at)


def _make_received_record(
    cell: cells.Cell, task: cells.Task
) -> records.TaskReceived:
    return records.TaskReceived(
        task.task,
        task.attempt,
        cell.table.data_centre,
        task.checkpoint,
        task.job,
        task.failures,
    )


def _append_to_target(
    cell: cells.Cell,
    target: cells.Cell,
    record: records.Record,
    at: float,
    task: str = "",
) -> list:
    """Appends to the target's stream, again until it shows the record.

    `task` is the task for which sent records are remembered, by default the
    record's task.
    """
    return cells.send_once(
        cell,
        cells.name_stream(target.table.data_centre),
        record,
        task or record.task,
        target.view.tail_at,
        at,
    )
