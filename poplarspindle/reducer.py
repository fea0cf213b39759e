"""The one reducer: `reduce(state, event)` returns effects.

It only dispatches to the areas. State is owned by one thread and changed in
place; the same events in the same order give the same effects.
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

_DOCUMENT_AREAS = {
    records.SectionPublished: document.apply_section,
    records.DataCentreSet: document.apply_data_centre,
    records.HomeMoved: services.apply_home,
}
_OWNER_AREAS = {
    records.OwnershipClaimed: ownership.apply_claim,
    records.OwnershipRenewed: ownership.apply_renewal,
    records.OwnershipReleased: ownership.apply_release,
}
_TASK_AREAS = {
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
    own: scheduler_state.State, event: events.Event
) -> list[effects.Effect]:
    """Reduces one event.

    Args:
        own: The instance's state, changed in place.
        event: The event.

    Returns:
        What is to be done, in order.
    """
    return _HANDLERS[type(event)](own, event)


def _read_record(own: scheduler_state.State, event: events.RecordRead) -> list:
    if event.stream == records.DOCUMENT_STREAM:
        return _read_document(own, event)
    cell = _find_cell(own, event.stream)
    if cell is None:
        return [effects.Count("poplarspindle_records_total", "foreign")]
    cell.table.offset = event.offset
    kind = type(event.record)
    if kind is records.SnapshotChunk:
        return snapshot_schedule.note_chunk(own, event)
    if kind in _OWNER_AREAS:
        return _OWNER_AREAS[kind](own, cell, event)
    if kind not in _TASK_AREAS:
        return [effects.Count("poplarspindle_records_total", "foreign")]
    if kind is records.TaskEnded:
        found = failures.note_end(own, cell, event)
    else:
        found = []
    return found + _TASK_AREAS[kind](own, cell, event)


def _read_document(
    own: scheduler_state.State, event: events.RecordRead
) -> list:
    own.document.offset = event.offset
    if isinstance(event.record, records.SnapshotChunk):
        return snapshot_schedule.note_chunk(own, event)
    apply = _DOCUMENT_AREAS.get(type(event.record))
    if apply is None:
        return [effects.Count("poplarspindle_records_total", "foreign")]
    found = apply(own.document, event)
    services.assign_homes(own.document)
    _open_cells(own)
    return found


def _open_cells(own: scheduler_state.State) -> None:
    for name in own.document.list_data_centres():
        own.cells.setdefault(name, cells.Cell(name))


def _read_snapshot(
    own: scheduler_state.State, event: events.SnapshotRead
) -> list:
    found = snapshot_schedule.install(own, event)
    _open_cells(own)
    return found


def _find_cell(own: scheduler_state.State, stream: str) -> cells.Cell | None:
    if not stream.startswith(records.CELL_STREAM_PREFIX):
        return None
    return own.cells.get(stream[len(records.CELL_STREAM_PREFIX) :])


def _count_malformed(
    own: scheduler_state.State, event: events.MalformedRead
) -> list:
    return [
        effects.Count("poplarspindle_records_total", "malformed", event.count)
    ]


def _reach_tail(own: scheduler_state.State, event: events.TailReached) -> list:
    if event.stream == records.DOCUMENT_STREAM:
        own.document_tail_at = event.at
        return snapshot_schedule.save_due(own, event)
    cell = _find_cell(own, event.stream)
    if cell is None:
        return []
    cell.view.tail_at = event.at
    return snapshot_schedule.save_due(own, event)


def _list_instances(
    own: scheduler_state.State, event: events.InstancesListed
) -> list:
    own.members = {member.name: member for member in event.members}
    own.candidates = tuple(
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
        cell = own.cells.get(member.data_centre)
        if cell is None:
            continue
        worker = cell.view.workers.get(member.name)
        if worker is None:
            cell.view.workers[member.name] = cells.Worker(member)
        else:
            worker.member = member
    for cell in own.cells.values():
        _forget_workers(own, cell)
    return []


def _forget_workers(own: scheduler_state.State, cell: cells.Cell) -> None:
    """Forgets workers that left the list, answer nobody and hold nothing."""
    gone = [
        name
        for name, worker in cell.view.workers.items()
        if name not in own.members
        and not worker.reached
        and name not in cell.table.held
    ]
    for name in gone:
        del cell.view.workers[name]


def _sync_worker(
    own: scheduler_state.State, event: events.WorkerSynced
) -> list:
    cell = own.cells.get(event.data_centre)
    if cell is None:
        return []
    found = worker_control.take_report(own, cell, event)
    if ownership.is_owner(own, cell):
        found += learning.observe(own, cell, event)
        found += reaction.review(own, cell, event.worker, event.at)
    return found


def _lose_worker(
    own: scheduler_state.State, event: events.WorkerUnreachable
) -> list:
    cell = own.cells.get(event.data_centre)
    return worker_control.lose_worker(cell, event) if cell else []


def _tick(own: scheduler_state.State, event: events.Ticked) -> list:
    if own.started_at == float("-inf"):
        own.started_at = event.at
    return [
        effect
        for cell in own.cells.values()
        if _is_whole(own, cell)
        for effect in worker_control.tick_cell(own, cell, event)
    ]


def _is_whole(own: scheduler_state.State, cell: cells.Cell) -> bool:
    """Tells whether no lost state forbids to act in a data centre.

    Without the document its owner only keeps what runs; nobody claims.
    """
    if cells.name_stream(cell.table.data_centre) in own.lost:
        return False
    return records.DOCUMENT_STREAM not in own.lost or ownership.is_owner(
        own, cell
    )


def _leave(own: scheduler_state.State, event: events.LeaveRequested) -> list:
    own.leaving = True
    return [
        effect
        for cell in own.cells.values()
        for effect in ownership.keep_lease(own, cell, event.at)
    ]


_HANDLERS = {
    events.RecordRead: _read_record,
    events.MalformedRead: _count_malformed,
    events.TailReached: _reach_tail,
    events.RetentionPassed: snapshot_schedule.pass_retention,
    events.SnapshotRead: _read_snapshot,
    events.SnapshotRefused: snapshot_schedule.refuse_snapshot,
    events.StateLost: snapshot_schedule.lose_state,
    events.InstancesListed: _list_instances,
    events.WorkerSynced: _sync_worker,
    events.WorkerUnreachable: _lose_worker,
    events.Ticked: _tick,
    events.LeaveRequested: _leave,
}
