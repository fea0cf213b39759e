"""Schedule of snapshots, and the handling of snapshots and lost state.

The owner of a data centre writes snapshots of its stream. The first scheduler
in rendezvous order writes those of the document; the others stand in when it
does not. Concurrent snapshots are harmless, because each is correct. A
snapshot is taken only at the tail, where no batch is partially applied.
"""

from poplarspindle import (
    cells,
    effects,
    events,
    ownership,
    records,
    scheduler_state,
    snapshots,
)

SNAPSHOT_RESEND_S = 60.0
EXTRA_AGES_PER_RANK = 0.5


def write_due_snapshot(
    state: scheduler_state.SchedulerState, event: events.TailReached
) -> list:
    """Returns the effects that append a stream's snapshot, if one is due.

    Args:
        state: The instance's state.
        event: Says that the stream was read to its tail.
    """
    progress = state.snapshot_progress.setdefault(
        event.stream, scheduler_state.SnapshotProgress()
    )
    progress.tail_at = min(progress.tail_at, event.at)
    stream_state = _find_stream_state(state, event.stream)
    rank = _find_writer_rank(state, event.stream)
    if stream_state is None or rank is None or stream_state.offset < 0:
        return []
    if not _is_due(state, progress, event, rank):
        return []
    progress.sent_at = event.at
    chunks = snapshots.split_state(
        stream_state,
        f"{state.incarnation}/{event.offset}",
        event.offset,
        state.document.secret,
    )
    return [
        *(effects.Append(event.stream, chunk) for chunk in chunks),
        effects.Count("poplarspindle_snapshots_total", "sent"),
    ]


def _is_due(
    state: scheduler_state.SchedulerState,
    progress: scheduler_state.SnapshotProgress,
    event: events.TailReached,
    rank: int,
) -> bool:
    if event.at - progress.sent_at < SNAPSHOT_RESEND_S:
        return False
    age_s = state.limits.snapshot_age_s * (1 + rank * EXTRA_AGES_PER_RANK)
    if progress.read_at == float("-inf"):
        return rank == 0 or event.at - progress.tail_at >= age_s
    if event.at - progress.read_at >= age_s:
        return True
    appends = event.offset - progress.covers
    return rank == 0 and appends >= state.limits.snapshot_appends


def _find_stream_state(
    state: scheduler_state.SchedulerState, stream: str
) -> snapshots.State | None:
    if stream == records.DOCUMENT_STREAM:
        return state.document
    cell = state.cells.get(stream.removeprefix(records.CELL_STREAM_PREFIX))
    return cell.table if cell else None


def _find_writer_rank(
    state: scheduler_state.SchedulerState, stream: str
) -> int | None:
    """Returns how many instances should write a stream's snapshot before this.

    Returns:
        The rank, 0 for the first, or None if this instance must not write.
    """
    if stream != records.DOCUMENT_STREAM:
        cell = state.cells[stream.removeprefix(records.CELL_STREAM_PREFIX)]
        return 0 if ownership.is_owner(state, cell) else None
    ranked = ownership.rank_candidates(stream, state.candidates)
    if state.incarnation not in ranked:
        return None
    return ranked.index(state.incarnation)


def apply_chunk(
    state: scheduler_state.SchedulerState, event: events.RecordRead
) -> list:
    """Applies a SnapshotChunk record read among a stream's other records.

    A complete snapshot that is read after the tail was first reached is the
    newest. One read earlier, during catch-up, may be of any age.
    """
    chunk = event.record
    progress = state.snapshot_progress.setdefault(
        event.stream, scheduler_state.SnapshotProgress()
    )
    indexes = progress.indexes
    if chunk.snapshot_id != progress.reading_id:
        progress.reading_id = chunk.snapshot_id
        indexes.clear()
    indexes.add(chunk.index)
    if indexes != set(range(chunk.count)):
        return []
    indexes.clear()
    if progress.tail_at < float("inf") and chunk.covers > progress.covers:
        progress.read_at = event.at
        progress.covers = chunk.covers
        progress.sent_at = float("-inf")
    return [effects.Count("poplarspindle_snapshots_total", "read")]


def install_snapshot(
    state: scheduler_state.SchedulerState, event: events.SnapshotRead
) -> list:
    """Replaces a stream's state with the state of a snapshot."""
    if event.stream == records.DOCUMENT_STREAM:
        state.document = event.state
    else:
        _install_table(state, event)
    state.lost_streams.discard(event.stream)
    return [
        effects.Count("poplarspindle_snapshots_total", "installed"),
        effects.LogLine("log", "Took state from a snapshot.", event.stream),
    ]


def _install_table(
    state: scheduler_state.SchedulerState, event: events.SnapshotRead
) -> None:
    cell = state.cells[event.stream.removeprefix(records.CELL_STREAM_PREFIX)]
    cell.table = event.state
    cell.view = _reset_view(cell.view)
    cell.view.lease_read_at = event.at


def handle_retention_passed(
    state: scheduler_state.SchedulerState, event: events.RetentionPassed
) -> list:
    """Discards a stream's state after retention deleted unread records.

    The document is kept until a newer one is read, so that accepted changes
    do not revert. No task starts until then, because the document is stale.
    """
    if event.stream == records.DOCUMENT_STREAM:
        state.document_tail_at = float("-inf")
    else:
        name = event.stream.removeprefix(records.CELL_STREAM_PREFIX)
        cell = state.cells[name]
        cell.table = cells.Table(name)
        cell.view = _reset_view(cell.view)
    state.lost_streams.add(event.stream)
    return [
        effects.Count("poplarspindle_records_total", "retention-passed"),
        effects.LogLine("log", "Records were lost to retention.", event.stream),
    ]


def _reset_view(view: cells.View) -> cells.View:
    """Returns a view without claims, leases, starts and fences."""
    new_view = cells.View()
    new_view.sequence = view.sequence
    new_view.workers = {
        name: cells.Worker(worker.member)
        for name, worker in view.workers.items()
    }
    return new_view


def mark_state_lost(
    state: scheduler_state.SchedulerState, event: events.StateLost
) -> list:
    """Marks a stream's state as lost, so that nothing starts on its basis."""
    if event.stream == records.DOCUMENT_STREAM:
        state.document_tail_at = float("-inf")
    state.lost_streams.add(event.stream)
    return [
        effects.Count("poplarspindle_snapshots_total", "state-lost"),
        effects.LogLine("log", f"State is lost: {event.reason}.", event.stream),
    ]


def count_refused_snapshot(
    state: scheduler_state.SchedulerState, event: events.SnapshotRefused
) -> list:
    """Counts a rejected snapshot."""
    return [effects.Count("poplarspindle_snapshots_total", event.reason)]
