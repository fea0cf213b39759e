"""When an instance writes a snapshot of a stream's state.

The owner writes its data centre's, the first scheduler in rendezvous order
the document's. Two that write at once do no harm: both snapshots are right.
A snapshot is taken at the tail only, where no batch is half reduced.
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

RESEND_S = 60.0
STAND_IN_AGES = 0.5


def write_due_snapshot(
    state: scheduler_state.SchedulerState, event: events.TailReached
) -> list:
    """Returns the chunks of a stream's snapshot when one is due.

    Args:
        state: The instance's state.
        event: The stream was read to its tail.
    """
    schedule = state.snapshot_progress.setdefault(
        event.stream, scheduler_state.SnapshotProgress()
    )
    schedule.tail_at = min(schedule.tail_at, event.at)
    kept = _find_kept(state, event.stream)
    rank = _find_rank(state, event.stream)
    if kept is None or rank is None or kept.offset < 0:
        return []
    if not _is_due(state, schedule, event, rank):
        return []
    schedule.sent_at = event.at
    chunks = snapshots.split_state(
        kept,
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
    schedule: scheduler_state.SnapshotProgress,
    event: events.TailReached,
    rank: int,
) -> bool:
    if event.at - schedule.sent_at < RESEND_S:
        return False
    age_s = state.limits.snapshot_age_s * (1 + rank * STAND_IN_AGES)
    if schedule.read_at == float("-inf"):
        return rank == 0 or event.at - schedule.tail_at >= age_s
    if event.at - schedule.read_at >= age_s:
        return True
    appends = event.offset - schedule.covers
    return rank == 0 and appends >= state.limits.snapshot_appends


def _find_kept(
    state: scheduler_state.SchedulerState, stream: str
) -> snapshots.State | None:
    if stream == records.DOCUMENT_STREAM:
        return state.document
    cell = state.cells.get(stream.removeprefix(records.CELL_STREAM_PREFIX))
    return cell.table if cell else None


def _find_rank(
    state: scheduler_state.SchedulerState, stream: str
) -> int | None:
    """Returns how many instances should write before this one, if it may."""
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
    """Reduces a SnapshotChunk record that was read in passing.

    Only one read live, after the tail was first reached, says how old it is.
    """
    chunk = event.record
    schedule = state.snapshot_progress.setdefault(
        event.stream, scheduler_state.SnapshotProgress()
    )
    indexes = schedule.indexes
    if chunk.snapshot_id != schedule.reading_id:
        schedule.reading_id = chunk.snapshot_id
        indexes.clear()
    indexes.add(chunk.index)
    if indexes != set(range(chunk.count)):
        return []
    indexes.clear()
    if schedule.tail_at < float("inf") and chunk.covers > schedule.covers:
        schedule.read_at = event.at
        schedule.covers = chunk.covers
        schedule.sent_at = float("-inf")
    return [effects.Count("poplarspindle_snapshots_total", "read")]


def install_snapshot(
    state: scheduler_state.SchedulerState, event: events.SnapshotRead
) -> list:
    """Replaces a stream's state by that of a snapshot."""
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
    cell.view = _renew_view(cell.view)
    cell.view.lease_read_at = event.at


def handle_retention_passed(
    state: scheduler_state.SchedulerState, event: events.RetentionPassed
) -> list:
    """Gives up a stream's state that has holes.

    The document stays as it is until a newer one is found: what was accepted
    does not revert. Nothing starts meanwhile, for it is not fresh.
    """
    if event.stream == records.DOCUMENT_STREAM:
        state.document_tail_at = float("-inf")
    else:
        name = event.stream.removeprefix(records.CELL_STREAM_PREFIX)
        cell = state.cells[name]
        cell.table = cells.Table(name)
        cell.view = _renew_view(cell.view)
    state.lost_streams.add(event.stream)
    return [
        effects.Count("poplarspindle_records_total", "retention-passed"),
        effects.LogLine("log", "Records were lost to retention.", event.stream),
    ]


def _renew_view(view: cells.View) -> cells.View:
    """Returns a view that knows no claim, lease, start or fence."""
    fresh = cells.View()
    fresh.sequence = view.sequence
    fresh.workers = {
        name: cells.Worker(worker.member)
        for name, worker in view.workers.items()
    }
    return fresh


def mark_state_lost(
    state: scheduler_state.SchedulerState, event: events.StateLost
) -> list:
    """Reduces a StateLost: the stream's data centre starts nothing."""
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
    """Counts a snapshot that did not open."""
    return [effects.Count("poplarspindle_snapshots_total", event.reason)]
