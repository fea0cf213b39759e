"""How an owner controls its workers, at each tick and at each report.

Every message is retried until the log or the worker's report shows that it
took effect. A lost message, a full buffer or a change of owner therefore
only costs time.
"""

from poplarspindle import (
    cells,
    drain,
    effects,
    events,
    moves,
    ownership,
    queue_placement,
    records,
    reports,
    scheduler_state,
    services,
)

LEASE_MARGIN_FACTOR = 1.25
RENEWALS_PER_LEASE = 3
FENCE_RESEND_S = 0.5


def tick_data_centre(
    state: scheduler_state.SchedulerState,
    cell: cells.Cell,
    event: events.Ticked,
) -> list:
    """Returns the effects that are due in one data centre at a tick."""
    effect_list = ownership.renew_or_claim_lease(state, cell, event.at)
    if not ownership.is_owner(state, cell):
        return effect_list
    effect_list += _fence_workers(cell, event.at)
    effect_list += _renew_tasks(state, cell, event.at)
    effect_list += _stop_tasks(cell, event.at)
    effect_list += _requeue_lapsed_tasks(state, cell, event.at)
    effect_list += moves.send_moves(state, cell, event.at)
    if not ownership.may_act(state, cell, event.at):
        return effect_list
    effect_list += services.reconcile(state, cell, event.at)
    if state.document.is_in_service(cell.table.data_centre):
        drain.record_return(cell, event.at)
        effect_list += _start_placed_tasks(state, cell, event.at)
        effect_list += queue_placement.place_queued(state, cell, event)
    else:
        effect_list += drain.drain_data_centre(state, cell, event.at)
    return effect_list


def _fence_workers(cell: cells.Cell, at: float) -> list:
    term = cell.table.term
    due_workers = [
        (name, worker)
        for name, worker in cell.view.workers.items()
        if worker.fenced_term < term
        and at - worker.fence_sent_at >= FENCE_RESEND_S
    ]
    for _, worker in due_workers:
        worker.fence_sent_at = at
    return [
        effects.FenceWorker(cell.table.data_centre, name, term)
        for name, _ in due_workers
    ]


def _renew_tasks(
    state: scheduler_state.SchedulerState, cell: cells.Cell, at: float
) -> list:
    """Renews task leases; without the log it does so until `hold_until`."""
    if at >= cell.view.hold_until:
        return []
    period_s = state.limits.task_lease_s / RENEWALS_PER_LEASE
    effect_list = []
    for worker_name in cell.table.held:
        worker = cell.view.workers.get(worker_name)
        if worker is None or at - worker.renewed_at < period_s:
            continue
        if _is_fenced_and_recent(state, cell, worker, at):
            effect_list.append(_make_renewal(state, cell, worker, at))
    return effect_list


def _is_fenced_and_recent(
    state: scheduler_state.SchedulerState,
    cell: cells.Cell,
    worker: cells.Worker,
    at: float,
) -> bool:
    """Returns whether a worker is fenced and its last report is recent."""
    is_recent = at - worker.received_at <= state.limits.task_lease_s
    return is_recent and worker.fenced_term == cell.table.term


def _make_renewal(
    state: scheduler_state.SchedulerState,
    cell: cells.Cell,
    worker: cells.Worker,
    at: float,
) -> effects.RenewTasks:
    lease_end = at + state.limits.task_lease_s
    worker.renewed_at = at
    worker.granted_until = max(worker.granted_until, lease_end)
    name = worker.member.name
    tasks = cells.list_worker_tasks(cell, name)
    return effects.RenewTasks(
        cell.table.data_centre,
        name,
        cell.table.term,
        tuple(task.task for task in tasks),
        tuple(task.attempt for task in tasks),
        _convert_to_worker_ms(worker, lease_end),
    )


def _convert_to_worker_ms(worker: cells.Worker, at: float) -> int:
    """Converts a time on the own clock to milliseconds on a worker's clock.

    Counts from the arrival of the worker's last report. The report was made
    before that, so the result is early rather than late.
    """
    return worker.report.now_ms + int((at - worker.received_at) * 1000)


def _stop_tasks(cell: cells.Cell, at: float) -> list:
    """Orders workers to stop evicted and cancelled tasks."""
    commanded = cell.view.commanded
    due_task_ids = [
        task_id
        for task_id in cell.table.stopping
        if at - commanded.get(task_id, float("-inf")) >= cells.RESEND_S
    ]
    for task_id in due_task_ids:
        commanded[task_id] = at
    tasks_to_stop = (cell.table.tasks[task_id] for task_id in due_task_ids)
    return [_make_stop(cell, task.worker, task) for task in tasks_to_stop]


def _make_stop(cell: cells.Cell, worker: str, task) -> effects.StopTask:
    return effects.StopTask(
        cell.table.data_centre, worker, cell.table.term, task.task, task.attempt
    )


def _requeue_lapsed_tasks(
    state: scheduler_state.SchedulerState, cell: cells.Cell, at: float
) -> list:
    """Requeues the tasks of unreachable workers once their lease has lapsed."""
    if not ownership.may_act(state, cell, at):
        return []
    effect_list = []
    for name in list(cell.table.held):
        worker = cell.view.workers.get(name)
        if worker is not None and worker.reached:
            continue
        for task in cells.list_worker_tasks(cell, name):
            if at >= _compute_lapse_time(state, cell, worker, task):
                effect_list += _propose_stop(
                    cell, task, task.checkpoint, "lapsed", at
                )
    return effect_list


def _compute_lapse_time(
    state: scheduler_state.SchedulerState,
    cell: cells.Cell,
    worker: cells.Worker | None,
    task: cells.Task,
) -> float:
    """Returns when a task's lease has certainly lapsed, own clock.

    Once this instance has fenced the worker, no other instance can renew
    leases there. Before that, a former owner may keep renewing leases for
    its hold time; only exclusive tasks wait for that.
    """
    lease_s = state.limits.task_lease_s
    if worker is not None and worker.fenced_term == cell.table.term:
        return worker.granted_until + lease_s * (LEASE_MARGIN_FACTOR - 1)
    hold_s = state.limits.hold_s if task.job.exclusive else 0.0
    return cell.view.owned_since + (hold_s + lease_s) * LEASE_MARGIN_FACTOR


def _propose_stop(
    cell: cells.Cell, task: cells.Task, checkpoint: int, reason: str, at: float
) -> list:
    record = records.TaskStopped(
        task.task, task.attempt, cell.table.term, checkpoint, reason
    )
    return cells.propose(cell, record, at)


def _start_placed_tasks(
    state: scheduler_state.SchedulerState, cell: cells.Cell, at: float
) -> list:
    """Starts placed tasks whose worker is fenced at this term.

    A lost start is sent again to the same worker for the same attempt, but
    only after the worker would refuse the first one as late.
    """
    effect_list = []
    for task_id in cell.table.placed:
        task = cell.table.tasks[task_id]
        worker = cell.view.workers.get(task.worker)
        if worker is None or not _is_fenced_and_recent(state, cell, worker, at):
            continue
        if _has_no_start_in_flight(cell, task, worker.report):
            effect_list.append(_make_start(state, cell, worker, task, at))
    return effect_list


def _has_no_start_in_flight(
    cell: cells.Cell, task: cells.Task, report: reports.WorkerReport
) -> bool:
    """Returns whether no start of a task's attempt can still take effect.

    Valid for a worker that is fenced at the current term: only starts that
    this instance sent in this term can still take effect there.
    """
    start = cell.view.starts.get(task.task)
    if start is None or start.attempt != task.attempt:
        return True
    return report.now_ms > start.start_by_ms


def _make_start(
    state: scheduler_state.SchedulerState,
    cell: cells.Cell,
    worker: cells.Worker,
    task: cells.Task,
    at: float,
) -> effects.StartTask:
    view = cell.view
    start_by = min(at + state.limits.fresh_s, view.lease_until)
    lease_end = at + state.limits.task_lease_s
    start_by_ms = _convert_to_worker_ms(worker, start_by)
    view.starts[task.task] = cells.SentStart(task.attempt, start_by_ms)
    view.starts_until = max(view.starts_until, start_by)
    worker.granted_until = max(worker.granted_until, lease_end)
    return effects.StartTask(
        cell.table.data_centre,
        task.worker,
        cell.table.term,
        task.task,
        task.attempt,
        _convert_to_worker_ms(worker, lease_end),
        start_by_ms,
        task.checkpoint,
        task.job.run_ms,
        task.need.millicores,
        task.need.memory_mb,
        task.need.accelerators,
        task.job.family,
    )


def apply_report(
    state: scheduler_state.SchedulerState,
    cell: cells.Cell,
    event: events.WorkerSynced,
) -> list:
    """Applies a worker's answer to a sync.

    The owner compares the report with its table: it records starts and ends,
    stops attempts that are not placed there and acknowledges recorded ends.
    """
    worker = cell.view.workers.get(event.worker)
    if worker is None or _is_stale_report(worker, event.report):
        return []
    worker.report = event.report
    worker.reached = True
    worker.synced_at = event.sent_at
    worker.received_at = event.at
    if not ownership.is_owner(state, cell):
        return []
    if event.report.highest_term != cell.table.term:
        return []
    if worker.fenced_term != cell.table.term:
        worker.fenced_term = cell.table.term
        worker.granted_until = event.at + state.limits.task_lease_s
    running = {(t.task, t.attempt): t for t in event.report.running}
    ended = {(t.task, t.attempt): t for t in event.report.ended}
    effect_list = []
    for task in cells.list_worker_tasks(cell, event.worker):
        runs_there = running.pop((task.task, task.attempt), None) is not None
        end = ended.get((task.task, task.attempt))
        effect_list += _reconcile_task(
            state, cell, event, task, runs_there, end
        )
    worker.has_unknown_runs = bool(running)
    effect_list += _stop_unknown_runs(cell, event, running.values())
    effect_list += _acknowledge_ends(cell, event, ended.values())
    return effect_list


def _is_stale_report(
    worker: cells.Worker, report: reports.WorkerReport
) -> bool:
    """Returns whether a later report of the worker was already applied."""
    return worker.report is not None and report.now_ms < worker.report.now_ms


def _reconcile_task(
    state: scheduler_state.SchedulerState,
    cell: cells.Cell,
    event: events.WorkerSynced,
    task: cells.Task,
    runs_there: bool,
    end: reports.EndedTask | None,
) -> list:
    """Compares one task with its worker's report and records the difference.

    Args:
        state: The instance's state.
        cell: The data centre.
        event: The answered sync.
        task: A task that the table places on the worker.
        runs_there: Whether the worker reports its attempt as running.
        end: The worker's report of the attempt's end, None for no end.

    Returns:
        Effects that append the record.
    """
    term = cell.table.term
    if end is not None:
        return cells.propose(
            cell, _make_end_record(state, task, end, term), event.at
        )
    if runs_there and task.phase is cells.Phase.PLACED:
        record = records.TaskRunning(task.task, task.attempt, term)
        return cells.propose(cell, record, event.at)
    awaits_start = task.phase is cells.Phase.PLACED and not task.cancelled
    if runs_there or awaits_start:
        return []
    if not _has_no_start_in_flight(cell, task, event.report):
        return []
    return _propose_stop(cell, task, task.checkpoint, "not-there", event.at)


def _make_end_record(
    state: scheduler_state.SchedulerState,
    task: cells.Task,
    end: reports.EndedTask,
    term: int,
) -> records.Record:
    if end.cause not in ("finished", "failed"):
        return records.TaskStopped(
            task.task, task.attempt, term, end.worked_ms, end.cause
        )
    succeeded = end.cause == "finished"
    attempts_exhausted = task.failures + 1 >= state.limits.attempts
    is_endless = task.job.is_service
    return records.TaskEnded(
        task.task,
        task.attempt,
        term,
        succeeded,
        end.detail or end.cause,
        final=not is_endless and (succeeded or attempts_exhausted),
    )


def _stop_unknown_runs(cell, event, unknown_runs) -> list:
    """Stops attempts that run but are not placed on this worker by the log."""
    return [
        _make_stop(cell, event.worker, unknown_run)
        for unknown_run in unknown_runs
    ]


def _acknowledge_ends(cell, event, ended) -> list:
    """Acknowledges ends of attempts that the log already contains."""
    return [
        effects.AcknowledgeEnd(
            cell.table.data_centre,
            event.worker,
            cell.table.term,
            end.task,
            end.attempt,
        )
        for end in ended
        if _is_end_recorded(cell.table.tasks.get(end.task), end.attempt)
    ]


def _is_end_recorded(task: cells.Task | None, attempt: int) -> bool:
    if task is None or task.attempt != attempt:
        return True
    return task.phase in cells.ENDED


def mark_unreachable(cell: cells.Cell, event: events.WorkerUnreachable) -> list:
    """Marks a worker as unreachable after a failed sync."""
    worker = cell.view.workers.get(event.worker)
    if worker is not None:
        worker.reached = False
    return [
        effects.Count("poplarspindle_platform_failures_total", event.reason)
    ]
