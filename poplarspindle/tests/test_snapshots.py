"""Tests of snapshots: all state is carried, broken ones are ignored."""

import dataclasses

import pytest
from hypothesis import given, settings, strategies

from poplarspindle import cells, document, outcomes, records, snapshots

NAMES = strategies.text("abc/-0", max_size=4)
INTS = strategies.integers(-(2**40), 2**40)

strategies.register_type_strategy(str, NAMES)
strategies.register_type_strategy(int, INTS)
strategies.register_type_strategy(
    float, strategies.floats(allow_nan=False, allow_infinity=False, width=32)
)


def build_states(kind):
    fields = dict(snapshots.list_fields(kind))
    return strategies.builds(
        kind, **{n: strategies.from_type(t) for n, t in fields.items()}
    )


@pytest.mark.parametrize("kind", [cells.Table, document.State])
def test_every_field_is_carried(kind):
    """Fails for a field that snapshots forget, also one added later."""
    left_out = {"lanes"}  # found again by cells.get_backlog
    if kind is document.State:
        left_out = {"secret", "team_keys", "is_whole"}
    names = {f.name for f in dataclasses.fields(kind)}
    assert {n for n, _ in snapshots.list_fields(kind)} == names - left_out
    assert set(vars(kind("x"))) == names

    @settings(max_examples=25, deadline=None, derandomize=True, database=None)
    @given(build_states(kind))
    def check(state):
        blank = kind("") if kind is cells.Table else kind(state.secret)
        found = snapshots.decode_state(snapshots.encode_state(state), blank)
        assert found == outcomes.Ok(state)

    check()


def make_chunks(covers=5, tasks=2000, name="s", secret="k"):
    table = cells.Table("ourthe")
    for index in range(tasks):
        job = records.JobSubmitted(f"{index * 7919:x}", "t", "f", 1, 1, 1, 1)
        need = cells.resources.Resources(1, 1, 0)
        cells.add_task(table, cells.Task(f"{job.job}/0", job, need))
    return table, snapshots.split_state(table, name, covers, secret)


def change_byte(chunk):
    payload = bytes([chunk.payload[0] ^ 1]) + chunk.payload[1:]
    return dataclasses.replace(chunk, payload=payload)


def replace_first(**changes):
    return lambda c: [dataclasses.replace(c[0], **changes), *c[1:]]


@pytest.mark.parametrize(
    ("break_chunks", "is_whole"),
    [
        (lambda c: c, True),
        (lambda c: c[::-1], True),
        (lambda c: [*c[:1], *c], True),
        (lambda c: c[:-1], False),
        (replace_first(index=99), False),
        (replace_first(index=-1), False),
        (replace_first(count=10**9), False),
        (replace_first(covers=4), False),
        (replace_first(covers=100), False),
    ],
)
def test_assembly(monkeypatch, break_chunks, is_whole):
    monkeypatch.setattr(snapshots, "CHUNK_BYTES", 4096)
    table, chunks = make_chunks()
    assert len(chunks) > 1
    assembly = snapshots.Assembly()
    found = [assembly.add(9, chunk) for chunk in break_chunks(list(chunks))]
    whole = [snapshot for snapshot in found if snapshot]
    assert bool(whole) is is_whole
    if whole:
        opened = snapshots.make_opener("k")("cell/ourthe", whole[0])
        assert opened == outcomes.Ok(table)


@pytest.mark.parametrize(
    ("secret", "broken", "reason"),
    [
        ("other", False, "snapshot-unsigned"),
        ("k", True, "snapshot-unsigned"),
    ],
)
def test_opener_refuses(secret, broken, reason):
    _, chunks = make_chunks(tasks=1)
    chunk = change_byte(chunks[0]) if broken else chunks[0]
    whole = snapshots.Assembly().add(9, chunk)
    opened = snapshots.make_opener(secret)("cell/ourthe", whole)
    assert opened.reason == reason


def test_corrupt_payload_is_no_state():
    payload = snapshots.encode_state(cells.Table("a"))
    for bad in (payload[:-3], b"", payload[:9] + b"xx" + payload[11:]):
        found = snapshots.decode_state(bad, cells.Table("a"))
        assert found.reason == "snapshot-corrupt"


def test_incomplete_snapshots_are_bounded():
    assembly = snapshots.Assembly()
    for index in range(50):
        chunk = records.SnapshotChunk(f"s{index}", 0, 2, 1, b"x")
        assert assembly.add(9, chunk) is None
    assert len(assembly._parts) <= snapshots.MAX_ASSEMBLIES
