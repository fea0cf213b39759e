"""Reducer of a scheduler instance: `reduce(state, event)` returns effects.

It dispatches each event to the module that handles it. One thread owns the
state and changes it in place. The same events in the same order give the
same effects.
"""

from poplarspindle import (
    cells,
    document,
    effects,
    events,
    failures,
    learning,
    ownership,
    reaction,
    records,
    reports,
    scheduler_state,
    services,
    snapshot_schedule,
    tasks,
    worker_control,
)

_DOCUMENT_HANDLERS = {
    records.SectionPublished: document.apply_section,
    records.DataCentreSet: document.apply_data_centre,
    records.HomeMoved: services.apply_home,
}
_OWNERSHIP_HANDLERS = {
    records.OwnershipClaimed: ownership.apply_claim,
    records.OwnershipRenewed: ownership.apply_renewal,
    records.OwnershipReleased: ownership.apply_release,
}
_TASK_HANDLERS = {
    records.JobSubmitted: tasks.apply_job,
    records.JobCancelled: tasks.apply_cancel,
    records.TaskPlaced: tasks.apply_placed,
    records.TaskResized: tasks.apply_resized,
    records.TaskRunning: tasks.apply_running,
    records.TaskEvicted: tasks.apply_evicted,
    records.TaskStopped: tasks.apply_stopped,
    records.TaskEnded: tasks.apply_ended,
    records.TaskMoved: tasks.apply_moved,
    records.TaskReceived: tasks.apply_received,
    records.MoveConfirmed: tasks.apply_confirmed,
}


def reduce(
    state: scheduler_state.SchedulerState, event: events.Event
) -> list[effects.Effect]:
    """Applies one event to the state.

    Args:
        state: The instance's state, changed in place.
        event: The event.

    Returns:
        Effects for the program to carry out, in order.
    """
    return _HANDLERS[type(event)](state, event)


def _apply_record(
    state: scheduler_state.SchedulerState, event: events.RecordRead
) -> list:
    if event.stream == records.DOCUMENT_STREAM:
        return _apply_document_record(state, event)
    cell = _find_cell(state, event.stream)
    if cell is None:
        return [effects.Count("poplarspindle_records_total", "foreign")]
    cell.table.offset = event.offset
    record_type = type(event.record)
    if record_type is records.SnapshotChunk:
        return snapshot_schedule.apply_chunk(state, event)
    if record_type in _OWNERSHIP_HANDLERS:
        return _OWNERSHIP_HANDLERS[record_type](state, cell, event)
    if record_type not in _TASK_HANDLERS:
        return [effects.Count("poplarspindle_records_total", "foreign")]
    if record_type is records.TaskEnded:
        effect_list = failures.record_end(state, cell, event)
    else:
        effect_list = []
    return effect_list + _TASK_HANDLERS[record_type](state, cell, event)


def _apply_document_record(
    state: scheduler_state.SchedulerState, event: events.RecordRead
) -> list:
    state.document.offset = event.offset
    if isinstance(event.record, records.SnapshotChunk):
        return snapshot_schedule.apply_chunk(state, event)
    apply_record = _DOCUMENT_HANDLERS.get(type(event.record))
    if apply_record is None:
        return [effects.Count("poplarspindle_records_total", "foreign")]
    effect_list = apply_record(state.document, event)
    services.assign_homes(state.document)
    _add_new_cells(state)
    return effect_list


def _add_new_cells(state: scheduler_state.SchedulerState) -> None:
    for name in state.document.list_data_centres():
        state.cells.setdefault(name, cells.Cell(name))


def _apply_snapshot(
    state: scheduler_state.SchedulerState, event: events.SnapshotRead
) -> list:
    effect_list = snapshot_schedule.install_snapshot(state, event)
    _add_new_cells(state)
    return effect_list


def _find_cell(
    state: scheduler_state.SchedulerState, stream: str
) -> cells.Cell | None:
    if not stream.startswith(records.CELL_STREAM_PREFIX):
        return None
    return state.cells.get(stream[len(records.CELL_STREAM_PREFIX) :])


def _count_malformed(
    state: scheduler_state.SchedulerState, event: events.MalformedRead
) -> list:
    return [
        effects.Count("poplarspindle_records_total", "malformed", event.count)
    ]


def _handle_tail_reached(
    state: scheduler_state.SchedulerState, event: events.TailReached
) -> list:
    if event.stream == records.DOCUMENT_STREAM:
        state.document_tail_at = event.at
        return snapshot_schedule.write_due_snapshot(state, event)
    cell = _find_cell(state, event.stream)
    if cell is None:
        return []
    cell.view.tail_at = event.at
    return snapshot_schedule.write_due_snapshot(state, event)


def _apply_instance_list(
    state: scheduler_state.SchedulerState, event: events.InstancesListed
) -> list:
    state.members = {member.name: member for member in event.members}
    state.candidates = tuple(
        sorted(
            member.name
            for member in event.members
            if member.role is reports.Role.SCHEDULER
            and member.presence is reports.Presence.LIVE
        )
    )
    for member in event.members:
        if member.role is not reports.Role.WORKER:
            continue
        cell = state.cells.get(member.data_centre)
        if cell is None:
            continue
        worker = cell.view.workers.get(member.name)
        if worker is None:
            cell.view.workers[member.name] = cells.Worker(member)
        else:
            worker.member = member
    for cell in state.cells.values():
        _remove_departed_workers(state, cell)
    return []


def _remove_departed_workers(
    state: scheduler_state.SchedulerState, cell: cells.Cell
) -> None:
    """Removes workers that are off the list, unreachable and hold no task."""
    departed = [
        name
        for name, worker in cell.view.workers.items()
        if name not in state.members
        and not worker.reached
        and name not in cell.table.held
    ]
    for name in departed:
        del cell.view.workers[name]


def _apply_worker_sync(
    state: scheduler_state.SchedulerState, event: events.WorkerSynced
) -> list:
    cell = state.cells.get(event.data_centre)
    if cell is None:
        return []
    effect_list = worker_control.apply_report(state, cell, event)
    if ownership.is_owner(state, cell):
        effect_list += learning.apply_measurements(state, cell, event)
        effect_list += reaction.react_to_worker(
            state, cell, event.worker, event.at
        )
    return effect_list


def _mark_worker_unreachable(
    state: scheduler_state.SchedulerState, event: events.WorkerUnreachable
) -> list:
    cell = state.cells.get(event.data_centre)
    return worker_control.mark_unreachable(cell, event) if cell else []


def _handle_tick(
    state: scheduler_state.SchedulerState, event: events.Ticked
) -> list:
    if state.started_at == float("-inf"):
        state.started_at = event.at
    return [
        effect
        for cell in state.cells.values()
        if _is_state_complete(state, cell)
        for effect in worker_control.tick_data_centre(state, cell, event)
    ]


def _is_state_complete(
    state: scheduler_state.SchedulerState, cell: cells.Cell
) -> bool:
    """Returns whether the state is complete enough to act in a data centre.

    If the document is lost, the owner only keeps running tasks alive, and
    no instance claims ownership.
    """
    if cells.name_stream(cell.table.data_centre) in state.lost_streams:
        return False
    return (
        records.DOCUMENT_STREAM not in state.lost_streams
        or ownership.is_owner(state, cell)
    )


def _handle_leave_request(
    state: scheduler_state.SchedulerState, event: events.LeaveRequested
) -> list:
    state.leaving = True
    return [
        effect
        for cell in state.cells.values()
        for effect in ownership.renew_or_claim_lease(state, cell, event.at)
    ]


_HANDLERS = {
    events.RecordRead: _apply_record,
    events.MalformedRead: _count_malformed,
    events.TailReached: _handle_tail_reached,
    events.RetentionPassed: snapshot_schedule.handle_retention_passed,
    events.SnapshotRead: _apply_snapshot,
    events.SnapshotRefused: snapshot_schedule.count_refused_snapshot,
    events.StateLost: snapshot_schedule.mark_state_lost,
    events.InstancesListed: _apply_instance_list,
    events.WorkerSynced: _apply_worker_sync,
    events.WorkerUnreachable: _mark_worker_unreachable,
    events.Ticked: _handle_tick,
    events.LeaveRequested: _handle_leave_request,
}
