"""What an owner does at each tick and at each answer of a worker."""

from poplarspindle import (
    cells,
    drain,
    effects,
    events,
    ownership,
    placing,
    records,
    reports,
    state,
)

LEASE_MARGIN = 1.25
RENEWALS_PER_LEASE = 3


def tick_cell(own: state.State, cell: cells.Cell, event: events.Ticked) -> list:
    """Returns what is due in one data centre at a tick."""
    found = ownership.keep_lease(own, cell, event.at)
    if not ownership.is_owner(own, cell):
        return found
    found += _fence_workers(own, cell)
    found += _renew_tasks(own, cell, event.at)
    found += _stop_tasks(own, cell)
    found += _give_up_lapsed(own, cell, event.at)
    if not ownership.may_act(own, cell, event.at):
        return found
    if own.document.is_in_service(cell.table.data_centre):
        found += _start_placed(own, cell, event.at)
        found += placing.place_queued(own, cell, event)
    else:
        found += drain.empty_cell(own, cell)
    return found


def _fence_workers(own: state.State, cell: cells.Cell) -> list:
    term = cell.table.term
    return [
        effects.FenceWorker(cell.table.data_centre, name, term)
        for name, worker in cell.view.workers.items()
        if worker.fenced_term < term
    ]


def _renew_tasks(own: state.State, cell: cells.Cell, at: float) -> list:
    """Renews task leases; goes on without the log until `hold_until`."""
    if at >= cell.view.hold_until:
        return []
    period = own.limits.task_lease_s / RENEWALS_PER_LEASE
    found = []
    for name, worker in cell.view.workers.items():
        held = cells.list_held(cell, name)
        due = at - worker.renewed_at >= period
        if not held or not due or worker.fenced_term != cell.table.term:
            continue
        worker.renewed_at = at
        found.append(
            effects.RenewTasks(
                cell.table.data_centre,
                name,
                cell.table.term,
                tuple(task.task for task in held),
                tuple(task.attempt for task in held),
                int(own.limits.task_lease_s * 1000),
            )
        )
    return found


def _stop_tasks(own: state.State, cell: cells.Cell) -> list:
    """Tells workers to stop what was evicted or cancelled."""
    found = []
    for name in cell.table.held:
        for task in cells.list_held(cell, name):
            wanted = task.cancelled or task.phase is cells.Phase.STOPPING
            if wanted and cell.view.stops_sent.get(task.task) != task.attempt:
                cell.view.stops_sent[task.task] = task.attempt
                found.append(_make_stop(cell, task.worker, task))
    return found


def _make_stop(cell: cells.Cell, worker: str, task) -> effects.StopTask:
    return effects.StopTask(
        cell.table.data_centre, worker, cell.table.term, task.task, task.attempt
    )


def _give_up_lapsed(own: state.State, cell: cells.Cell, at: float) -> list:
    """Queues tasks again whose lease has surely lapsed at the worker."""
    if not ownership.may_act(own, cell, at):
        return []
    found = []
    for name in cell.table.held:
        worker = cell.view.workers.get(name)
        if worker is not None and worker.reached:
            continue
        for task in cells.list_held(cell, name):
            if at < _find_lapse(own, cell, worker, task):
                continue
            if cell.view.started.get(task.task) == -task.attempt - 1:
                continue
            cell.view.started[task.task] = -task.attempt - 1
            found.append(_append_stopped(cell, task, task.checkpoint, "lapsed"))
    return found


def _find_lapse(
    own: state.State,
    cell: cells.Cell,
    worker: cells.Worker | None,
    task: cells.Task,
) -> float:
    """Returns when a task's lease has surely lapsed, own clock.

    Where this instance has raised the term at the worker, nobody else can
    have renewed there since. Otherwise a former owner may have gone on
    renewing for its hold time.
    """
    lease = own.limits.task_lease_s * LEASE_MARGIN
    if worker is not None and worker.fenced_term == cell.table.term:
        return max(worker.renewed_at, worker.synced_at) + lease
    if task.job.exclusive:
        hold = own.limits.hold_s * LEASE_MARGIN
        return cell.view.owned_since + hold + lease
    return cell.view.owned_since + lease


def _append_stopped(
    cell: cells.Cell, task: cells.Task, checkpoint: int, reason: str
) -> effects.Append:
    return cells.append_record(
        cell,
        records.TaskStopped(
            task.task, task.attempt, cell.table.term, checkpoint, reason
        ),
    )


def _start_placed(own: state.State, cell: cells.Cell, at: float) -> list:
    """Starts what was placed, once its worker is fenced at this term."""
    found = []
    for name in cell.table.held:
        worker = cell.view.workers.get(name)
        if worker is None or worker.fenced_term != cell.table.term:
            continue
        for task in cells.list_held(cell, name):
            waiting = task.phase is cells.Phase.PLACED and not task.cancelled
            if waiting and cell.view.started.get(task.task) != task.attempt:
                cell.view.started[task.task] = task.attempt
                found.append(_make_start(own, cell, worker, task, at))
    return found


def _make_start(
    own: state.State,
    cell: cells.Cell,
    worker: cells.Worker,
    task: cells.Task,
    at: float,
) -> effects.StartTask:
    start_by_s = at - worker.synced_at + own.limits.fresh_s
    return effects.StartTask(
        cell.table.data_centre,
        task.worker,
        cell.table.term,
        task.task,
        task.attempt,
        int(own.limits.task_lease_s * 1000),
        worker.report.now_ms + int(start_by_s * 1000),
        task.checkpoint,
        task.job.run_ms,
        task.need.millicores,
        task.need.memory_mb,
        task.need.accelerators,
        task.job.family,
    )


def take_report(
    own: state.State, cell: cells.Cell, event: events.WorkerSynced
) -> list:
    """Reduces a worker's answer to a sync."""
    worker = cell.view.workers.get(event.worker)
    if worker is None:
        return []
    worker.report = event.report
    worker.reached = True
    worker.synced_at = event.sent_at
    if not ownership.is_owner(own, cell):
        return []
    if event.report.highest_term != cell.table.term:
        return []
    if worker.fenced_term != cell.table.term:
        worker.fenced_term = cell.table.term
        worker.renewed_at = event.sent_at
    running = {(t.task, t.attempt): t for t in event.report.running}
    ended = {(t.task, t.attempt): t for t in event.report.ended}
    found = []
    for task in cells.list_held(cell, event.worker):
        key = (task.task, task.attempt)
        found += _settle_held(cell, event, task, running.pop(key, None), ended)
    found += _stop_strangers(cell, event, running.values())
    found += _acknowledge(cell, event, ended.values())
    return found


def _settle_held(cell, event, task, running, ended) -> list:
    """Compares one reservation with what its worker says."""
    end = ended.get((task.task, task.attempt))
    term = cell.table.term
    if end is not None:
        return [cells.append_record(cell, _record_end(task, end, term))]
    if running is not None:
        if task.phase is cells.Phase.PLACED:
            record = records.TaskRunning(task.task, task.attempt, term)
            return [cells.append_record(cell, record)]
        return []
    if task.phase is cells.Phase.PLACED and not task.cancelled:
        return []
    if _was_told_before(cell, event, task):
        return [_append_stopped(cell, task, task.checkpoint, "not-there")]
    return []


def _was_told_before(cell, event, task) -> bool:
    """Tells whether the report came after this term's fence."""
    worker = cell.view.workers[event.worker]
    return event.sent_at >= worker.renewed_at or task.phase in (
        cells.Phase.RUNNING,
        cells.Phase.STOPPING,
    )


def _record_end(
    task: cells.Task, end: reports.EndedTask, term: int
) -> records.Record:
    if end.cause in ("finished", "failed"):
        return records.TaskEnded(
            task.task, task.attempt, term, end.cause == "finished", end.detail
        )
    return records.TaskStopped(
        task.task, task.attempt, term, end.worked_ms, end.cause
    )


def _stop_strangers(cell, event, strangers) -> list:
    """Stops attempts that the log does not place at this worker."""
    return [_make_stop(cell, event.worker, stranger) for stranger in strangers]


def _acknowledge(cell, event, ended) -> list:
    """Acknowledges ends that the log already holds."""
    found = []
    for end in ended:
        task = cell.table.tasks.get(end.task)
        settled = (
            task is None
            or task.attempt != end.attempt
            or task.phase in cells.ENDED
        )
        if settled:
            found.append(
                effects.AcknowledgeEnd(
                    cell.table.data_centre,
                    event.worker,
                    cell.table.term,
                    end.task,
                    end.attempt,
                )
            )
    return found


def lose_worker(cell: cells.Cell, event: events.WorkerUnreachable) -> list:
    """Reduces a failed sync."""
    worker = cell.view.workers.get(event.worker)
    if worker is not None:
        worker.reached = False
    return [
        effects.Count("poplarspindle_platform_failures_total", event.reason)
    ]


def hand_over(own: state.State, cell: cells.Cell, record, source) -> list:
    """After a move was read: gives the task to the target's stream."""
    task = cell.table.tasks.get(record.task)
    if not ownership.is_owner(own, cell) or task is None:
        return []
    if task.phase is not cells.Phase.MOVED or task.reason == "move-confirmed":
        return []
    received = records.TaskReceived(
        task.task,
        task.attempt,
        cell.table.data_centre,
        task.checkpoint,
        task.job,
    )
    stream = cells.name_stream(task.target)
    return [effects.Append(stream, received)]
