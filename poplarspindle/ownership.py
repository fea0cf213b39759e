"""Who owns a data centre: terms, renewals and ranked claims.

The owner stops acting one lease after it SENT its last accepted renewal.
Others claim only one lease and a margin after they READ it. Reading comes
after sending, so no common clock is needed.
"""

import hashlib
import itertools

from poplarspindle import cells, effects, events, records, state

LEASE_MARGIN = 1.25
CLAIM_STAGGER_LEASES = 0.2
RENEWALS_PER_LEASE = 3


def rank_candidates(
    data_centre: str, candidates: tuple[str, ...]
) -> tuple[str, ...]:
    """Orders candidates by rendezvous hash, the preferred one first."""

    def weigh(name: str) -> bytes:
        text = f"{data_centre}\0{name}".encode()
        return hashlib.blake2b(text, digest_size=8).digest()

    return tuple(sorted(candidates, key=weigh, reverse=True))


def is_owner(own: state.State, cell: cells.Cell) -> bool:
    """Tells whether this instance holds the present term by the log."""
    return cell.table.owner == own.incarnation


def may_act(own: state.State, cell: cells.Cell, at: float) -> bool:
    """Tells whether this instance may start work in a data centre."""
    fresh = own.limits.fresh_s
    return (
        is_owner(own, cell)
        and at < cell.view.lease_until
        and at - cell.view.tail_at <= fresh
        and at - own.document_tail_at <= fresh
    )


def apply_claim(
    own: state.State, cell: cells.Cell, event: events.RecordRead
) -> list:
    """Reduces an OwnershipClaimed record."""
    claim = event.record
    table = cell.table
    if claim.term != table.term + 1 or claim.seen != table.lease_offset:
        return [effects.Count("poplarspindle_ownership_total", "claim-lost")]
    table.term = claim.term
    table.owner = claim.instance
    table.lease_offset = event.offset
    cell.view.lease_read_at = event.at
    cell.view.pending.clear()
    cell.view.started.clear()
    cell.view.stops_sent.clear()
    if claim.instance != own.incarnation:
        cell.view.lease_until = float("-inf")
        return [effects.Count("poplarspindle_ownership_total", "other-claimed")]
    cell.view.owned_since = event.at
    sent_at = cell.view.sent.pop(claim.sequence, float("-inf"))
    cell.view.lease_until = sent_at + own.limits.lease_s
    cell.view.hold_until = sent_at + own.limits.hold_s
    cell.view.sent.clear()
    return [
        effects.Count("poplarspindle_ownership_total", "claimed"),
        effects.Note("ownership", "Took ownership.", table.data_centre),
    ]


def apply_renewal(
    own: state.State, cell: cells.Cell, event: events.RecordRead
) -> list:
    """Reduces an OwnershipRenewed record."""
    renewal = event.record
    table = cell.table
    if renewal.term != table.term or renewal.instance != table.owner:
        return [effects.Count("poplarspindle_ownership_total", "stale-renewal")]
    table.lease_offset = event.offset
    cell.view.lease_read_at = event.at
    sent_at = cell.view.sent.pop(renewal.sequence, None)
    if renewal.instance == own.incarnation and sent_at is not None:
        view = cell.view
        view.lease_until = max(view.lease_until, sent_at + own.limits.lease_s)
        view.hold_until = max(view.hold_until, sent_at + own.limits.hold_s)
    return []


def apply_release(
    own: state.State, cell: cells.Cell, event: events.RecordRead
) -> list:
    """Reduces an OwnershipReleased record."""
    table = cell.table
    if event.record.term != table.term or not table.owner:
        return []
    table.owner = ""
    table.lease_offset = event.offset
    cell.view.lease_read_at = float("-inf")
    cell.view.lease_until = float("-inf")
    return [effects.Count("poplarspindle_ownership_total", "released")]


def keep_lease(own: state.State, cell: cells.Cell, at: float) -> list:
    """Renews this instance's lease or claims a lapsed one, when due."""
    if is_owner(own, cell):
        return _renew(own, cell, at)
    if own.leaving or at - cell.view.tail_at > own.limits.fresh_s:
        return []
    if at < _find_claim_time(own, cell):
        return []
    if at - cell.view.claimed_at < own.limits.lease_s:
        return []
    cell.view.claimed_at = at
    cell.view.sequence += 1
    cell.view.sent[cell.view.sequence] = at
    claim = records.OwnershipClaimed(
        own.incarnation,
        cell.table.term + 1,
        cell.table.lease_offset,
        cell.view.sequence,
    )
    stream = cells.name_stream(cell.table.data_centre)
    return [effects.Append(stream, claim)]


def _find_claim_time(own: state.State, cell: cells.Cell) -> float:
    """Returns the earliest time at which this instance may claim."""
    lease = own.limits.lease_s
    ranked = rank_candidates(cell.table.data_centre, own.candidates)
    rank = next(
        (i for i, name in enumerate(ranked) if name == own.incarnation),
        len(ranked),
    )
    start = (
        cell.view.lease_read_at + lease * LEASE_MARGIN
        if cell.table.owner
        else own.started_at
    )
    return start + rank * CLAIM_STAGGER_LEASES * lease


def _renew(own: state.State, cell: cells.Cell, at: float) -> list:
    view = cell.view
    accepted_at = view.lease_until - own.limits.lease_s
    newest = max(itertools.chain(view.sent.values(), (accepted_at,)))
    if at - newest < own.limits.lease_s / RENEWALS_PER_LEASE:
        return []
    view.sequence += 1
    view.sent[view.sequence] = at
    renewal = records.OwnershipRenewed(
        own.incarnation, cell.table.term, view.sequence
    )
    stream = cells.name_stream(cell.table.data_centre)
    return [effects.Append(stream, renewal)]


def release(own: state.State, cell: cells.Cell) -> list:
    """Gives a data centre up at a graceful stop."""
    if not is_owner(own, cell):
        return []
    record = records.OwnershipReleased(own.incarnation, cell.table.term)
    return [effects.Append(cells.name_stream(cell.table.data_centre), record)]
