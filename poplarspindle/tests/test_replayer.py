"""Tests of the replayer: retention, snapshots and lost state."""

import pytest

from poplarspindle import (
    cells,
    document,
    events,
    records,
    replayer,
    replica,
    snapshots,
)
from poplarspindle.clients import logservice
from poplarspindle.tools.fakes import direct, log

STREAM = records.DOCUMENT_STREAM
SECRET = "s"
MALFORMED = b"\xc1"


def make_change(index, version):
    change = records.SectionPublished(
        f"c{index}", "section", version, "team", "ann", f"# {index}", "", -1
    )
    return document.sign_change(change, document.derive_key(SECRET, "team"))


def write_log(kinds):
    """Writes a log: `c` change, `s` snapshot, `h` half of one, `m` bad.

    Returns:
        The log and the state that follows from all of it.
    """
    fake = log.FakeLog()
    truth = replica.Replica(document.State(SECRET))
    for index, kind in enumerate(kinds):
        version = max(
            (s.version for s in truth.state.sections.values()), default=0
        )
        if kind == "c":
            batch = [make_change(index, version)]
        elif kind == "m":
            fake.append(STREAM, MALFORMED)
            continue
        elif kind == "f":
            batch = [records.JobCancelled("foreign")]
        else:
            signer = "forged" if kind == "x" else SECRET
            made = snapshots.split_state(
                truth.state, f"s{index}", index - 1, signer
            )
            batch = [*made]
            if kind == "h":
                batch = [
                    records.SnapshotChunk(
                        c.snapshot_id, 0, 2, c.covers, c.payload, c.signature
                    )
                    for c in made
                ]
        offset = fake.append(STREAM, records.encode_batch(tuple(batch)))
        for record in batch:
            truth.take(events.RecordRead(0.0, STREAM, offset, record))
    return fake, truth.state


class Reader:
    """A replica fed from a stand-in log."""

    def __init__(self, fake):
        self.service = logservice.LogService(
            "", direct.DirectTransport(fake.handle)
        )
        self.replayer = replayer.Replayer(STREAM, snapshots.make_opener(SECRET))
        self.replica = replica.Replica(document.State(SECRET))
        self.events = []
        self.least = 0

    def read(self, limit=3, rounds=60):
        """Reads pages and returns the replica as it is then."""
        for _ in range(rounds):
            (page,) = self.service.read(
                {STREAM: self.replayer.position}, limit, 0
            ).value
            for event in self.replayer.take_page(page, 1.0, 2.0):
                self.events.append(type(event).__name__)
                if isinstance(event, events.SnapshotRead | events.RecordRead):
                    assert event.offset >= self.least
                    self.least = event.offset
                if isinstance(event, events.SnapshotRead):
                    self.least = event.offset + 1
                self.replica.take(event)
        return self.replica


@pytest.mark.parametrize("span", [2, 5, 5000])
@pytest.mark.parametrize(
    ("kinds", "trim", "is_whole"),
    [
        ("", 0, True),
        ("ccc", 0, True),
        ("cmcfc", 0, True),
        ("cccscc", 0, True),
        ("cccscc", 3, True),
        ("cccscc", 2, True),
        ("cccscc", 4, False),
        ("ccchcc", 2, False),
        ("cccxcc", 2, False),
        ("cscchcc", 1, True),
        ("cscsccsc", 6, True),
        ("cscsccxc", 3, True),
        ("csmsmcmh", 1, True),
        ("ccc", 1, False),
        ("ccc", 3, False),
        ("ccs", 2, True),
    ],
)
def test_start(monkeypatch, span, kinds, trim, is_whole):
    monkeypatch.setattr(replayer, "SEARCH_SPAN", span)
    fake, truth = write_log(kinds)
    fake.trim(STREAM, trim)
    reader = Reader(fake)
    found = reader.read()
    assert found.is_whole is is_whole
    assert ("StateLost" in reader.events) is not is_whole
    if is_whole:
        assert found.state.sections == truth.sections
        assert found.state.decisions == truth.decisions
    else:
        assert "TailReached" not in reader.events
        assert found.state.sections == {}


@pytest.mark.parametrize(
    ("later", "trim", "is_whole"),
    [("ccsc", 5, True), ("cccc", 5, False), ("cccc", 2, True)],
)
def test_retention_passes_a_reader(later, trim, is_whole):
    fake, _ = write_log("ccc")
    reader = Reader(fake)
    before = reader.read().state
    whole, truth = write_log("ccc" + later)
    pages = whole.read({STREAM: 3}, 99, 0)[STREAM]["records"]
    for _, payload in pages:
        fake.append(STREAM, payload)
    fake.trim(STREAM, trim)
    found = reader.read()
    assert found.is_whole is is_whole
    wanted = truth if is_whole else before
    assert found.state.sections == wanted.sections


def test_lost_state_is_found_when_a_snapshot_comes():
    fake, _ = write_log("ccc")
    fake.trim(STREAM, 2)
    reader = Reader(fake)
    assert not reader.read().is_whole
    whole, truth = write_log("cccs")
    ((_, payload),) = whole.read({STREAM: 3}, 1, 0)[STREAM]["records"]
    fake.append(STREAM, payload)
    assert reader.read().is_whole
    assert reader.replica.state.sections == truth.sections
    assert reader.events.count("StateLost") == 1


def test_log_that_starts_anew_is_not_taken_for_the_old_one():
    fake, truth = write_log("ccc")
    reader = Reader(fake)
    reader.read()
    fake.clear(STREAM)
    for _ in range(6):
        fake.append(STREAM, records.encode_batch(()))
        reader.read()
    assert not reader.replica.is_whole
    assert reader.replica.state.sections == truth.sections


def test_cell_state_is_found_by_its_stream():
    table = cells.Table("ourthe", term=4, owner="a")
    (chunk,) = snapshots.split_state(table, "s", 0, SECRET)
    page = logservice.Page(
        "cell/ourthe", 1, 2, ((1, records.encode_batch((chunk,))),)
    )
    made = replayer.Replayer("cell/ourthe", snapshots.make_opener(SECRET))
    found = made.take_page(page, 1.0, 2.0) + made.take_page(page, 1.0, 2.0)
    assert found[0] == events.SnapshotRead(2.0, "cell/ourthe", 0, table)
    assert found[-1] == events.TailReached(1.0, "cell/ourthe", 1)
