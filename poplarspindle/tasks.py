"""Life cycle of a task: applies each record of the log to its task.

A record that does not apply, because it is a duplicate or because its term or
attempt is not current, is counted and changes nothing. Each `apply_` function
takes the instance's state, the cell of the record's data centre and the event
with the record. It changes the cell and returns effects.
"""

from poplarspindle import (
    cells,
    effects,
    events,
    records,
    resources,
    scheduler_state,
)

MAX_BACKOFF_DOUBLINGS = 6

STALE_RECORD_EFFECTS = [
    effects.Count("poplarspindle_records_total", "stale-task")
]
DUPLICATE_RECORD_EFFECTS = [
    effects.Count("poplarspindle_records_total", "duplicate")
]


def compute_need(job: records.JobSubmitted) -> resources.Resources:
    """Returns the resources that one task of a job declares."""
    return resources.Resources(job.millicores, job.memory_mb, job.accelerators)


def apply_job(
    state: scheduler_state.SchedulerState,
    cell: cells.Cell,
    event: events.RecordRead,
) -> list:
    """Applies a JobSubmitted record: queues the job's tasks once.

    Tasks of a job that was already cancelled are added as cancelled.
    """
    job = event.record
    table = cell.table
    if job.job in table.jobs or _is_old_replica(table, job):
        return DUPLICATE_RECORD_EFFECTS
    cells.record_job(table, job.job, job.tasks)
    cancelled = job.job in table.cancelled_jobs
    phase = cells.Phase.CANCELLED if cancelled else cells.Phase.QUEUED
    for index in range(job.tasks):
        task = cells.Task(
            f"{job.job}/{index}", job, compute_need(job), phase=phase
        )
        cells.add_task(table, task)
    return [effects.Count("poplarspindle_tasks_total", phase, job.tasks)]


def _is_old_replica(table: cells.Table, job: records.JobSubmitted) -> bool:
    """Returns whether a job is a service replica of a known generation.

    A generation that is new is stored in the table as the highest one.
    """
    name, generation = split_service_job(job.job)
    if generation <= 0:
        return False
    known_generation = max(
        table.replicas.get(name, 0), table.closed.get(name, 0)
    )
    if generation > known_generation:
        table.replicas[name] = generation
    return generation <= known_generation


def split_service_job(job: str) -> tuple[str, int]:
    """Splits the id of a service's job into replica name and generation.

    Returns:
        Both, or an empty name and 0 if the job does not belong to a service.
    """
    name, _, generation = job.rpartition("@")
    if not name.startswith(records.SERVICE_PREFIX):
        return "", 0
    return (name, int(generation)) if generation.isdecimal() else ("", 0)


def apply_cancel(
    state: scheduler_state.SchedulerState,
    cell: cells.Cell,
    event: events.RecordRead,
) -> list:
    """Applies a JobCancelled record.

    Queued tasks end at once, tasks on a worker end when they stop. A job or
    task whose record is read only later is cancelled then.
    """
    table = cell.table
    job = event.record.job
    table.cancelled_jobs[job] = None
    if len(table.cancelled_jobs) > cells.MAX_JOBS:
        del table.cancelled_jobs[next(iter(table.cancelled_jobs))]
    replica, generation = split_service_job(job)
    if generation > table.closed.get(replica, 0):
        table.closed[replica] = generation
    task_ids = (f"{job}/{i}" for i in range(table.jobs.get(job, 0)))
    for task_id in task_ids:
        if task_id in table.tasks:
            _cancel_task(cell, table.tasks[task_id])
    return [effects.Count("poplarspindle_tasks_total", "cancel-asked")]


def _cancel_task(cell: cells.Cell, task: cells.Task) -> None:
    if task.phase is cells.Phase.QUEUED:
        cells.release_task(cell.table, task, cells.Phase.CANCELLED)
        cells.forget_messages(cell, task.task)
    elif task.phase in cells.HOLDING:
        task.cancelled = True
        cells.index_task(cell.table, task)
    elif task.phase is cells.Phase.MOVED:
        task.cancelled = True
        task.reason = "cancel-to-forward"
        cells.index_task(cell.table, task)


def _find_current(
    cell: cells.Cell, record: records.Record
) -> cells.Task | None:
    """Returns a record's task, None if term or attempt is not current."""
    task = cell.table.tasks.get(record.task)
    if task is None or record.term != cell.table.term:
        return None
    return task if record.attempt == task.attempt else None


def apply_placed(
    state: scheduler_state.SchedulerState,
    cell: cells.Cell,
    event: events.RecordRead,
) -> list:
    """Applies a TaskPlaced record; one placement per attempt is accepted."""
    record = event.record
    task = _find_current(cell, record)
    if task is None or task.phase is not cells.Phase.QUEUED:
        return STALE_RECORD_EFFECTS
    cells.forget_messages(cell, task.task)
    declared = compute_need(task.job)
    need = resources.Resources(
        record.millicores or declared.millicores,
        record.memory_mb or declared.memory_mb,
        declared.accelerators,
    )
    cells.resize_task(cell.table, task, need)
    cells.hold_task(cell.table, task, record.worker, record.term)
    return [effects.Count("poplarspindle_tasks_total", "placed")]


def apply_resized(
    state: scheduler_state.SchedulerState,
    cell: cells.Cell,
    event: events.RecordRead,
) -> list:
    """Applies a TaskResized record: changes what a placed task reserves."""
    record = event.record
    task = _find_current(cell, record)
    if task is None or task.phase not in cells.HOLDING:
        return STALE_RECORD_EFFECTS
    need = resources.Resources(
        record.millicores, record.memory_mb, task.need.accelerators
    )
    cells.resize_task(cell.table, task, need)
    return [effects.Count("poplarspindle_tasks_total", "resized")]


def apply_running(
    state: scheduler_state.SchedulerState,
    cell: cells.Cell,
    event: events.RecordRead,
) -> list:
    """Applies a TaskRunning record: the worker confirmed the start."""
    task = _find_current(cell, event.record)
    if task is None or task.phase is not cells.Phase.PLACED:
        return STALE_RECORD_EFFECTS
    task.phase = cells.Phase.RUNNING
    cells.index_task(cell.table, task)
    return [effects.Count("poplarspindle_tasks_total", "running")]


def apply_evicted(
    state: scheduler_state.SchedulerState,
    cell: cells.Cell,
    event: events.RecordRead,
) -> list:
    """Applies a TaskEvicted record; the reservation stays until the stop."""
    task = _find_current(cell, event.record)
    if task is None or task.phase not in (
        cells.Phase.PLACED,
        cells.Phase.RUNNING,
    ):
        return STALE_RECORD_EFFECTS
    task.phase = cells.Phase.STOPPING
    task.reason = event.record.reason
    cells.index_task(cell.table, task)
    return [effects.Count("poplarspindle_tasks_total", "evicted")]


def apply_stopped(
    state: scheduler_state.SchedulerState,
    cell: cells.Cell,
    event: events.RecordRead,
) -> list:
    """Applies a TaskStopped record: queues the next attempt or ends."""
    record = event.record
    task = _find_current(cell, record)
    if task is None or task.phase not in cells.HOLDING:
        return STALE_RECORD_EFFECTS
    task.checkpoint = max(task.checkpoint, record.checkpoint)
    task.reason = record.reason
    return _queue_again(cell, task)


def _queue_again(cell: cells.Cell, task: cells.Task) -> list:
    """Queues a task's next attempt, or ends the task if it was cancelled."""
    cells.forget_messages(cell, task.task)
    if task.cancelled:
        cells.release_task(cell.table, task, cells.Phase.CANCELLED)
        return [effects.Count("poplarspindle_tasks_total", "cancelled")]
    task.attempt += 1
    cells.release_task(cell.table, task, cells.Phase.QUEUED)
    return [effects.Count("poplarspindle_tasks_total", "queued-again")]


def apply_ended(
    state: scheduler_state.SchedulerState,
    cell: cells.Cell,
    event: events.RecordRead,
) -> list:
    """Applies a TaskEnded record; the owner decided whether the end is final.

    After an end that is not final, the next attempt waits for its backoff.
    """
    record = event.record
    task = _find_current(cell, record)
    if task is None or task.phase not in cells.HOLDING:
        return STALE_RECORD_EFFECTS
    task.reason = record.reason
    if record.final:
        succeeded = record.succeeded
        phase = cells.Phase.FINISHED if succeeded else cells.Phase.FAILED
        cells.forget_messages(cell, task.task)
        cells.release_task(cell.table, task, phase)
        return [effects.Count("poplarspindle_tasks_total", phase)]
    task.failures += 1
    effect_list = _queue_again(cell, task)
    if task.phase is cells.Phase.QUEUED:
        doublings = min(task.failures - 1, MAX_BACKOFF_DOUBLINGS)
        cell.view.retry_at[task.task] = (
            event.at + state.limits.retry_s * 2**doublings
        )
    return [
        *effect_list,
        effects.Count("poplarspindle_retries_total", "task-failed"),
    ]


def apply_moved(
    state: scheduler_state.SchedulerState,
    cell: cells.Cell,
    event: events.RecordRead,
) -> list:
    """Applies a TaskMoved record: the task leaves for another data centre.

    It runs here again only if it is moved back, with a higher attempt.
    """
    record = event.record
    task = _find_current(cell, record)
    if task is None or task.phase is not cells.Phase.QUEUED:
        return STALE_RECORD_EFFECTS
    cells.forget_messages(cell, task.task)
    task.target = record.target
    task.attempt += 1
    cells.release_task(cell.table, task, cells.Phase.MOVED)
    return [effects.Count("poplarspindle_tasks_total", "moved")]


def apply_received(
    state: scheduler_state.SchedulerState,
    cell: cells.Cell,
    event: events.RecordRead,
) -> list:
    """Applies a TaskReceived record: queues a task moved here.

    It is accepted once per attempt. Each move raises the attempt, so a task
    may return to a data centre that it left.
    """
    record = event.record
    table = cell.table
    if record.attempt <= find_attempt(table, record.task):
        return DUPLICATE_RECORD_EFFECTS
    known_task = table.tasks.get(record.task)
    if known_task is not None and known_task.phase is not cells.Phase.MOVED:
        return DUPLICATE_RECORD_EFFECTS
    cells.record_job(table, record.job.job, record.job.tasks)
    cancelled = record.job.job in table.cancelled_jobs
    task = cells.Task(
        record.task,
        record.job,
        compute_need(record.job),
        attempt=record.attempt,
        phase=cells.Phase.CANCELLED if cancelled else cells.Phase.QUEUED,
        checkpoint=record.checkpoint,
        failures=record.failures,
    )
    cells.forget_messages(cell, task.task)
    cells.add_task(table, task)
    return [effects.Count("poplarspindle_tasks_total", "received")]


def find_attempt(table: cells.Table, task: str) -> int:
    """Returns the highest attempt of a task in the table, -1 for none."""
    known_task = table.tasks.get(task)
    attempt = known_task.attempt if known_task else -1
    return max(attempt, table.tombstones.get(task, -1))


def apply_confirmed(
    state: scheduler_state.SchedulerState,
    cell: cells.Cell,
    event: events.RecordRead,
) -> list:
    """Applies a MoveConfirmed record: the handover is complete.

    If the task was cancelled, only a confirmation of the cancellation counts.
    """
    record = event.record
    task = cell.table.tasks.get(record.task)
    if task is None or task.phase is not cells.Phase.MOVED:
        return STALE_RECORD_EFFECTS
    if task.attempt != record.attempt:
        return STALE_RECORD_EFFECTS
    if task.cancelled and not record.cancelled:
        return STALE_RECORD_EFFECTS
    cells.forget_messages(cell, task.task)
    task.reason = cells.MOVE_CONFIRMED
    cells.index_task(cell.table, task)
    return [effects.Count("poplarspindle_tasks_total", "move-confirmed")]
