"""Tests when snapshots are written and what lost state prevents."""

import pytest

from poplarspindle import (
    cells,
    document,
    effects,
    events,
    records,
    reducer,
    reports,
    scheduler_state,
)

DOCUMENT = records.DOCUMENT_STREAM
CELL = "cell/ourthe"
LIMITS = scheduler_state.Limits(snapshot_appends=100, snapshot_age_s=60.0)


def make_state(owner="", others=()):
    state = scheduler_state.SchedulerState("me", LIMITS, "secret")
    state.document.sections["s"] = document.Section(
        "s", 1, "t", "a", "", document.SectionSpec()
    )
    state.document.offset = 9
    state.cells["ourthe"] = cells.Cell("ourthe")
    state.cells["ourthe"].table.owner = owner
    state.cells["ourthe"].table.offset = 9
    members = tuple(
        reports.Member(name, reports.Role.SCHEDULER, "") for name in others
    )
    reducer.reduce(state, events.InstancesListed(0.0, members))
    return state


def reach_tail(state, stream, at=1.0, offset=9):
    """Returns the snapshot chunks that are written at a stream's tail."""
    effect_list = reducer.reduce(state, events.TailReached(at, stream, offset))
    return [
        effect.record
        for effect in effect_list
        if isinstance(effect, effects.Append)
        and isinstance(effect.record, records.SnapshotChunk)
    ]


def read_back(state, stream, chunks, at, offset):
    for chunk in chunks:
        reducer.reduce(state, events.RecordRead(at, stream, offset, chunk))


@pytest.mark.parametrize(
    ("stream", "owner", "others", "writes"),
    [
        (CELL, "me", (), True),
        (CELL, "other", (), False),
        (CELL, "", (), False),
        (DOCUMENT, "", ("me",), True),
        (DOCUMENT, "", ("other",), False),
    ],
)
def test_only_owner_or_first_scheduler_writes(stream, owner, others, writes):
    state = make_state(owner, others)
    assert bool(reach_tail(state, stream)) is writes


@pytest.mark.parametrize(
    ("at", "offset", "writes"),
    [
        (10.0, 12, False),
        (10.0, 108, False),
        (10.0, 109, True),
        (62.0, 12, True),
    ],
)
def test_next_snapshot_is_due_by_appends_or_age(at, offset, writes):
    state = make_state("me")
    chunks = reach_tail(state, CELL)
    read_back(state, CELL, chunks, 1.5, 10)
    assert bool(reach_tail(state, CELL, at, offset)) is writes


def test_snapshot_not_read_back_is_written_again():
    state = make_state("me")
    assert reach_tail(state, CELL, 1.0)
    assert not reach_tail(state, CELL, 30.0)
    assert reach_tail(state, CELL, 62.0)


def test_lower_ranked_scheduler_writes_if_the_first_does_not():
    names = ("me", "other", "third")
    state = make_state(others=names)
    write_times = [
        at for at in range(1, 200) if reach_tail(state, DOCUMENT, float(at))
    ]
    assert write_times
    assert write_times[0] in (1, 91, 121)


@pytest.mark.parametrize("stream", [CELL, DOCUMENT])
@pytest.mark.parametrize("event", [events.RetentionPassed, events.StateLost])
def test_instance_with_lost_state_claims_only_after_a_snapshot(stream, event):
    state = make_state(others=("me",))
    detail = 5 if event is events.RetentionPassed else "gone"
    reducer.reduce(state, event(1.0, stream, detail))

    def list_claims(first):
        effect_list = []
        for at in range(first, first + 40):
            for tail in {CELL, DOCUMENT} - state.lost_streams:
                reach_tail(state, tail, float(at))
            effect_list += reducer.reduce(state, events.Ticked(float(at), 1))
        return [e for e in effect_list if isinstance(e, effects.Append)]

    assert list_claims(2) == []
    new_state = (
        state.document
        if stream == DOCUMENT
        else cells.Table("ourthe", term=7, offset=9)
    )
    reducer.reduce(state, events.SnapshotRead(50.0, stream, 9, new_state))
    claims = list_claims(50)
    assert claims
    if stream == CELL:
        assert claims[0].record.term == 8


@pytest.mark.parametrize("event", [events.RetentionPassed, events.StateLost])
def test_owner_with_lost_state_renews_nothing(event):
    state = make_state("me", ("me",))
    reducer.reduce(state, events.TailReached(0.9, CELL, 9))
    assert reducer.reduce(state, events.Ticked(1.0, 1)) != []
    detail = 5 if event is events.RetentionPassed else "gone"
    reducer.reduce(state, event(1.0, CELL, detail))
    assert reducer.reduce(state, events.Ticked(9.0, 1)) == []
