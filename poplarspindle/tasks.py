"""Life of a task: what each record does to it."""

from poplarspindle import cells, effects, events, records, resources

IGNORED = [effects.Count("poplarspindle_records_total", "stale-task")]
DUPLICATE = [effects.Count("poplarspindle_records_total", "duplicate")]


def need_of(job: records.JobSubmitted) -> resources.Resources:
    """Returns what one task of a job reserves."""
    return resources.Resources(job.millicores, job.memory_mb, job.accelerators)


def apply_job(cell: cells.Cell, event: events.RecordRead) -> list:
    """Reduces a JobSubmitted record: queues its tasks once."""
    job = event.record
    table = cell.table
    if job.job in table.jobs:
        return DUPLICATE
    table.jobs[job.job] = job.tasks
    for index in range(job.tasks):
        name = f"{job.job}/{index}"
        cells.add_task(table, cells.Task(name, job, need_of(job)))
    return [effects.Count("poplarspindle_tasks_total", "queued", job.tasks)]


def apply_cancel(cell: cells.Cell, event: events.RecordRead) -> list:
    """Reduces a JobCancelled record; running tasks end at their stop."""
    table = cell.table
    job = event.record.job
    names = (f"{job}/{i}" for i in range(table.jobs.get(job, 0)))
    found = [table.tasks[name] for name in names if name in table.tasks]
    for task in found:
        if task.phase is cells.Phase.QUEUED:
            cells.release_task(table, task, cells.Phase.CANCELLED)
        elif task.phase in cells.HOLDING:
            task.cancelled = True
    return [effects.Count("poplarspindle_tasks_total", "cancel-asked")]


def _find_current(
    cell: cells.Cell, record: records.Record
) -> cells.Task | None:
    """Returns the task a record speaks of, if term and attempt are current."""
    task = cell.table.tasks.get(record.task)
    if task is None or record.term != cell.table.term:
        return None
    return task if record.attempt == task.attempt else None


def apply_placed(cell: cells.Cell, event: events.RecordRead) -> list:
    """Reduces a TaskPlaced record; one placement per attempt is accepted."""
    record = event.record
    cell.view.pending.pop(record.task, None)
    task = _find_current(cell, record)
    if task is None or task.phase is not cells.Phase.QUEUED:
        return IGNORED
    cells.hold_task(cell.table, task, record.worker, record.term)
    return [effects.Count("poplarspindle_tasks_total", "placed")]


def apply_running(cell: cells.Cell, event: events.RecordRead) -> list:
    """Reduces a TaskRunning record."""
    task = _find_current(cell, event.record)
    if task is None or task.phase is not cells.Phase.PLACED:
        return IGNORED
    task.phase = cells.Phase.RUNNING
    return [effects.Count("poplarspindle_tasks_total", "running")]


def apply_evicted(cell: cells.Cell, event: events.RecordRead) -> list:
    """Reduces a TaskEvicted record; the reservation stays until the stop."""
    task = _find_current(cell, event.record)
    if task is None or task.phase not in (
        cells.Phase.PLACED,
        cells.Phase.RUNNING,
    ):
        return IGNORED
    task.phase = cells.Phase.STOPPING
    task.reason = event.record.reason
    return [effects.Count("poplarspindle_tasks_total", "evicted")]


def apply_stopped(cell: cells.Cell, event: events.RecordRead) -> list:
    """Reduces a TaskStopped record: queues the next attempt, or ends."""
    record = event.record
    task = _find_current(cell, record)
    if task is None or task.phase not in cells.HOLDING:
        return IGNORED
    task.checkpoint = max(task.checkpoint, record.checkpoint)
    task.reason = record.reason
    if task.cancelled:
        cells.release_task(cell.table, task, cells.Phase.CANCELLED)
        return [effects.Count("poplarspindle_tasks_total", "cancelled")]
    task.attempt += 1
    cells.release_task(cell.table, task, cells.Phase.QUEUED)
    return [effects.Count("poplarspindle_tasks_total", "queued-again")]


def apply_ended(cell: cells.Cell, event: events.RecordRead) -> list:
    """Reduces a TaskEnded record."""
    record = event.record
    task = _find_current(cell, record)
    if task is None or task.phase not in cells.HOLDING:
        return IGNORED
    phase = cells.Phase.FINISHED if record.succeeded else cells.Phase.FAILED
    task.reason = record.reason
    cells.release_task(cell.table, task, phase)
    return [effects.Count("poplarspindle_tasks_total", phase)]


def apply_moved(cell: cells.Cell, event: events.RecordRead) -> list:
    """Reduces a TaskMoved record: the task never runs here again."""
    record = event.record
    task = _find_current(cell, record)
    if task is None or task.phase is not cells.Phase.QUEUED:
        return IGNORED
    task.target = record.target
    cells.release_task(cell.table, task, cells.Phase.MOVED)
    return [effects.Count("poplarspindle_tasks_total", "moved")]


def apply_received(cell: cells.Cell, event: events.RecordRead) -> list:
    """Reduces a TaskReceived record; accepted once per attempt."""
    record = event.record
    table = cell.table
    known = table.tasks.get(record.task)
    if known is not None and record.attempt <= known.attempt:
        return DUPLICATE
    if known is not None and known.phase is not cells.Phase.MOVED:
        return DUPLICATE
    table.jobs.setdefault(record.job.job, record.job.tasks)
    task = cells.Task(
        record.task,
        record.job,
        need_of(record.job),
        attempt=record.attempt,
        checkpoint=record.checkpoint,
    )
    cells.add_task(table, task)
    return [effects.Count("poplarspindle_tasks_total", "received")]


def apply_confirmed(cell: cells.Cell, event: events.RecordRead) -> list:
    """Reduces a MoveConfirmed record: the hand-over is complete."""
    task = cell.table.tasks.get(event.record.task)
    if task is None or task.phase is not cells.Phase.MOVED:
        return IGNORED
    task.reason = "move-confirmed"
    return []
