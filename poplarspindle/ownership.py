"""Ownership of data centres: terms, lease renewals and ranked claims.

The owner of a data centre stops acting one lease after it SENT its last
accepted renewal. Other instances claim ownership one lease and a margin after
they READ that renewal. A record is read after it was sent, so the instances
need no common clock. Times named `at` are on the instance's own clock.
"""

import hashlib
import itertools

from poplarspindle import cells, effects, events, records, scheduler_state

LEASE_MARGIN_FACTOR = 1.25
CLAIM_STAGGER_LEASES = 0.2
RENEWALS_PER_LEASE = 3
MAX_SENT_RENEWALS = 32


def rank_candidates(
    data_centre: str, candidates: tuple[str, ...]
) -> tuple[str, ...]:
    """Returns the candidates by rendezvous hash, the preferred one first."""

    def hash_candidate(name: str) -> bytes:
        text = f"{data_centre}\0{name}".encode()
        return hashlib.blake2b(text, digest_size=8).digest()

    return tuple(sorted(candidates, key=hash_candidate, reverse=True))


def list_followed_data_centres(
    state: scheduler_state.SchedulerState,
) -> list[str]:
    """Returns the data centres whose streams this instance follows.

    These are all data centres if no number of standbys is set. Otherwise
    they are the ones that this instance owns, the ones for which it ranks
    among the first, and the targets of tasks that move from the ones it owns.
    """
    cell_items = list(state.cells.items())
    standbys = state.limits.standbys
    if not standbys:
        return [name for name, _ in cell_items]
    owned = [cell for _, cell in cell_items if is_owner(state, cell)]
    targets = {
        task.target
        for cell in owned
        for name in list(cell.table.moving)
        if (task := cell.table.tasks.get(name)) is not None
    }
    return [
        name
        for name, cell in cell_items
        if is_owner(state, cell)
        or name in targets
        or state.incarnation
        in rank_candidates(name, state.candidates)[:standbys]
    ]


def is_owner(state: scheduler_state.SchedulerState, cell: cells.Cell) -> bool:
    """Returns whether this instance holds the current term by the log."""
    return cell.table.owner == state.incarnation


def may_act(
    state: scheduler_state.SchedulerState, cell: cells.Cell, at: float
) -> bool:
    """Returns whether this instance may start tasks in a data centre.

    It must own it under a valid lease, and its last reads to the tail of the
    data centre's stream and of the document must be recent.
    """
    fresh_s = state.limits.fresh_s
    return (
        is_owner(state, cell)
        and not state.leaving
        and at < cell.view.lease_until
        and at - cell.view.tail_at <= fresh_s
        and at - state.document_tail_at <= fresh_s
    )


def apply_claim(
    state: scheduler_state.SchedulerState,
    cell: cells.Cell,
    event: events.RecordRead,
) -> list:
    """Applies an OwnershipClaimed record: a valid claim begins a new term."""
    claim = event.record
    table = cell.table
    if not _follows(table, claim):
        return [effects.Count("poplarspindle_ownership_total", "claim-lost")]
    table.term = claim.term
    table.owner = claim.instance
    table.lease_offset = event.offset
    cell.view.lease_read_at = event.at
    cell.view.released_at = float("-inf")
    _clear_earlier_terms(cell.view)
    if claim.instance != state.incarnation:
        cell.view.lease_until = float("-inf")
        return [effects.Count("poplarspindle_ownership_total", "other-claimed")]
    cell.view.owned_since = event.at
    sent_at = cell.view.sent.pop(claim.sequence, float("-inf"))
    cell.view.lease_until = sent_at + state.limits.lease_s
    cell.view.hold_until = sent_at + state.limits.hold_s
    cell.view.sent.clear()
    return [
        effects.Count("poplarspindle_ownership_total", "claimed"),
        effects.LogLine("ownership", "Took ownership.", table.data_centre),
    ]


def _follows(table: cells.Table, claim: records.OwnershipClaimed) -> bool:
    """Returns whether a claim is for the next term and saw the last renewal."""
    return claim.term == table.term + 1 and claim.seen == table.lease_offset


def _clear_earlier_terms(view: cells.View) -> None:
    """Clears what was sent in earlier terms; it can no longer take effect."""
    for term_state in (
        view.pending,
        view.starts,
        view.proposed,
        view.commanded,
        view.retry_at,
        view.throttles,
        view.ladders,
        view.kept,
        view.waiting,
        view.blocked,
    ):
        term_state.clear()


def apply_renewal(
    state: scheduler_state.SchedulerState,
    cell: cells.Cell,
    event: events.RecordRead,
) -> list:
    """Applies an OwnershipRenewed record: extends the owner's lease."""
    renewal = event.record
    table = cell.table
    if renewal.term != table.term or renewal.instance != table.owner:
        return [effects.Count("poplarspindle_ownership_total", "stale-renewal")]
    table.lease_offset = event.offset
    cell.view.lease_read_at = event.at
    sent_at = cell.view.sent.pop(renewal.sequence, None)
    if renewal.instance == state.incarnation and sent_at is not None:
        view = cell.view
        view.lease_until = max(view.lease_until, sent_at + state.limits.lease_s)
        view.hold_until = max(view.hold_until, sent_at + state.limits.hold_s)
    return []


def apply_release(
    state: scheduler_state.SchedulerState,
    cell: cells.Cell,
    event: events.RecordRead,
) -> list:
    """Applies an OwnershipReleased record: the data centre has no owner."""
    table = cell.table
    if event.record.term != table.term or not table.owner:
        return []
    table.owner = ""
    table.lease_offset = event.offset
    cell.view.lease_read_at = float("-inf")
    cell.view.lease_until = float("-inf")
    return [effects.Count("poplarspindle_ownership_total", "released")]


def renew_or_claim_lease(
    state: scheduler_state.SchedulerState, cell: cells.Cell, at: float
) -> list:
    """Renews or releases this instance's lease, or claims ownership, when due.

    A leaving instance releases its lease and claims nothing.
    """
    if is_owner(state, cell):
        return (
            _release_ownership(state, cell, at)
            if state.leaving
            else _renew_lease(state, cell, at)
        )
    if state.leaving or at - cell.view.tail_at > state.limits.fresh_s:
        return []
    if at < _compute_claim_time(state, cell):
        return []
    if at - cell.view.claimed_at < state.limits.lease_s:
        return []
    cell.view.claimed_at = at
    cell.view.sequence += 1
    cell.view.sent[cell.view.sequence] = at
    claim = records.OwnershipClaimed(
        state.incarnation,
        cell.table.term + 1,
        cell.table.lease_offset,
        cell.view.sequence,
    )
    return [cells.append_record(cell, claim)]


def _compute_claim_time(
    state: scheduler_state.SchedulerState, cell: cells.Cell
) -> float:
    """Returns the earliest time at which this instance may claim.

    Claims are staggered by rank, so that the preferred candidate wins.
    """
    lease_s = state.limits.lease_s
    ranked = rank_candidates(cell.table.data_centre, state.candidates)
    rank = next(
        (i for i, name in enumerate(ranked) if name == state.incarnation),
        len(ranked),
    )
    first_claim_at = (
        cell.view.lease_read_at + lease_s * LEASE_MARGIN_FACTOR
        if cell.table.owner
        else state.started_at
    )
    return first_claim_at + rank * CLAIM_STAGGER_LEASES * lease_s


def _renew_lease(
    state: scheduler_state.SchedulerState, cell: cells.Cell, at: float
) -> list:
    """Renews three times a lease while the log answers, else once a lease."""
    view = cell.view
    lease_s = state.limits.lease_s
    accepted_at = view.lease_until - lease_s
    last_sent_at = max(itertools.chain(view.sent.values(), (accepted_at,)))
    log_available = at - view.tail_at <= state.limits.fresh_s
    if at - last_sent_at < (
        lease_s / RENEWALS_PER_LEASE if log_available else lease_s
    ):
        return []
    view.sequence += 1
    view.sent[view.sequence] = at
    if len(view.sent) > MAX_SENT_RENEWALS:
        del view.sent[next(iter(view.sent))]
    renewal = records.OwnershipRenewed(
        state.incarnation, cell.table.term, view.sequence
    )
    return [cells.append_record(cell, renewal)]


def _release_ownership(
    state: scheduler_state.SchedulerState, cell: cells.Cell, at: float
) -> list:
    """Releases a data centre once no start can take effect at a worker."""
    view = cell.view
    if at < view.starts_until or at - view.released_at < cells.RESEND_S:
        return []
    view.released_at = at
    record = records.OwnershipReleased(state.incarnation, cell.table.term)
    return [cells.append_record(cell, record)]
