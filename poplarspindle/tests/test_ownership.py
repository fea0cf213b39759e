"""Tests terms, ranked claims, release and the data centres followed."""

import pytest

from poplarspindle import (
    cells,
    effects,
    events,
    ownership,
    records,
    reducer,
    scheduler_state,
)

CENTRE = "ourthe"
STREAM = cells.name_stream(CENTRE)


def make_instance(name="me", **limits):
    state = scheduler_state.SchedulerState(
        name, scheduler_state.Limits(**limits)
    )
    state.cells[CENTRE] = cells.Cell(CENTRE)
    state.candidates = ("a", "b", "me")
    state.started_at = 0.0
    return state, state.cells[CENTRE]


def read(state, at, offset, record):
    reducer.reduce(state, events.RecordRead(at, STREAM, offset, record))


def tick(state, cell, at):
    """Returns the ownership records sent at a tick with an up-to-date tail."""
    cell.view.tail_at = state.document_tail_at = at
    effect_list = ownership.renew_or_claim_lease(state, cell, at)
    return [e.record for e in effect_list if isinstance(e, effects.Append)]


@pytest.mark.parametrize(
    ("term", "seen", "owner"),
    [(2, 5, "b"), (1, 5, "a"), (3, 5, "a"), (2, 0, "a"), (2, 6, "a")],
)
def test_claim_needs_next_term_and_last_renewal(term, seen, owner):
    state, cell = make_instance()
    read(state, 1.0, 0, records.OwnershipClaimed("a", 1, -1, 1))
    read(state, 2.0, 5, records.OwnershipRenewed("a", 1, 2))
    read(state, 3.0, 6, records.OwnershipClaimed("b", term, seen, 1))
    assert cell.table.owner == owner


def test_lower_ranked_candidates_claim_later():
    first_claim_at = {}
    for name in ("a", "b", "me"):
        state, cell = make_instance(name)
        read(state, 0.0, 0, records.OwnershipClaimed("gone", 1, -1, 1))
        instants = (step / 10 for step in range(300))
        first_claim_at[name] = next(
            at for at in instants if tick(state, cell, at)
        )
    ranked = ownership.rank_candidates(CENTRE, ("a", "b", "me"))
    assert list(ranked) == sorted(first_claim_at, key=first_claim_at.get)
    assert min(first_claim_at.values()) >= 6.0 * ownership.LEASE_MARGIN_FACTOR
    assert len(set(first_claim_at.values())) == 3


def test_instance_claims_without_instance_list():
    state, cell = make_instance()
    state.candidates = ()
    assert tick(state, cell, 10.0)


@pytest.mark.parametrize(
    ("tail_age", "document_age", "age", "leaving", "may"),
    [
        (0, 0, 5.9, False, True),
        (0, 0, 6.0, False, False),
        (2.1, 0, 3.0, False, False),
        (0, 2.1, 3.0, False, False),
        (0, 0, 3.0, True, False),
    ],
)
def test_owner_acts_while_lease_and_reads_are_fresh(
    tail_age, document_age, age, leaving, may
):
    state, cell = make_instance()
    (claim,) = tick(state, cell, 10.0)
    read(state, 10.5, 0, claim)
    at = 10.0 + age
    cell.view.tail_at = at - tail_age
    state.document_tail_at = at - document_age
    state.leaving = leaving
    assert ownership.may_act(state, cell, at) is may


def test_release_waits_for_starts_in_flight():
    state, cell = make_instance()
    (claim,) = tick(state, cell, 10.0)
    read(state, 10.5, 0, claim)
    cell.view.starts_until = 12.0
    state.leaving = True
    assert not tick(state, cell, 11.9)
    (release,) = tick(state, cell, 12.0)
    assert release == records.OwnershipReleased("me", 1)


def test_log_outage_accumulates_few_renewals():
    state, cell = make_instance()
    (claim,) = tick(state, cell, 10.0)
    read(state, 10.5, 0, claim)
    instants = [10.5 + step / 10 for step in range(600)]
    sent = [
        e
        for instant in instants
        for e in ownership.renew_or_claim_lease(state, cell, instant)
    ]
    assert len(sent) <= 60 / 6.0 + 2


@pytest.mark.parametrize(("standbys", "count"), [(0, 4), (1, 1), (3, 4)])
def test_standbys_limit_followed_data_centres(standbys, count):
    state, _ = make_instance("a", standbys=standbys)
    for name in ("semois", "lesse", "see"):
        state.cells[name] = cells.Cell(name)
    followed = ownership.list_followed_data_centres(state)
    ranked_first = [
        name
        for name in state.cells
        if ownership.rank_candidates(name, state.candidates)[0] == "a"
    ]
    assert len(followed) == (len(ranked_first) if count == 1 else count)
    assert set(ranked_first) <= set(followed)
