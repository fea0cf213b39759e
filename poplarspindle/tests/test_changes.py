"""Each fault of the log at each step of a change's life, and pairs.

Promises: an accepted change is accepted once, in force with every reader
that says its document is whole, and never reverts.
"""

import itertools
import random

import pytest

from poplarspindle import document, outcomes, records, replayer, replica
from poplarspindle import snapshots as snapshot_codec
from poplarspindle.clients import logservice
from poplarspindle.tools.fakes import direct, log

STREAM = records.DOCUMENT_STREAM
SECRET = "s"
STEPS = ("before append", "unconfirmed", "read by some", "in force", "replaced")
TRIES = 6
PAIRS = 80


class Reader:
    """One follower of the document; notes the versions it showed."""

    def __init__(self, service):
        self.service = service
        self.opener = snapshot_codec.make_opener(SECRET)
        self.restart()
        self.shown = [0]

    def restart(self):
        """Forgets everything, as a replaced instance does."""
        self.replayer = replayer.Replayer(STREAM, self.opener)
        self.replica = replica.Replica(document.State(SECRET))

    def read(self):
        """Reads two pages; a failed read changes nothing."""
        for _ in range(2):
            wanted = {STREAM: self.replayer.position}
            answer = self.service.read(wanted, 100, 0)
            if isinstance(answer, outcomes.Failed):
                continue
            found = self.replayer.take_page(answer.value[0], 1.0, 1.0)
            for event in found:
                self.replica.take(event)
        section = self.replica.state.sections.get("own")
        if self.replica.is_whole:
            self.shown.append(section.version if section else 0)


class Scene:
    """A log, three readers and the copies of changes still on their way."""

    def __init__(self):
        self.log = log.FakeLog()
        calls = direct.DirectTransport(self.log.handle)
        self.service = logservice.LogService("", calls)
        self.readers = [Reader(self.service) for _ in range(3)]
        self.publish(self.make_change("first", 0))

    def make_change(self, name, base, secret=SECRET, seen=-1):
        """Makes a signed change."""
        change = records.SectionPublished(
            name, "own", base, "team", "ann", f"# {name}", "", seen
        )
        return document.sign_change(change, document.derive_key(secret, "team"))

    def append(self, *batch):
        """Appends once."""
        return self.service.append(STREAM, records.encode_batch(batch))

    def publish(self, change):
        """Appends until the verdict is read back; faults end meanwhile."""
        for count in range(TRIES):
            self.append(change)
            self.readers[0].read()
            state = self.readers[0].replica.state
            if decision := state.find_decision(change.change_id):
                return decision
            if count == TRIES // 2:
                self.log.down = False
        raise AssertionError("never settled")

    def save(self):
        """The first reader writes a snapshot if its document is whole."""
        reader = self.readers[0]
        reader.read()
        offset = reader.replayer.position - 1
        if reader.replica.is_whole and offset >= 0:
            self.append(
                *snapshot_codec.split_state(
                    reader.replica.state, f"s{offset}", offset, SECRET
                )
            )
        return offset

    def pass_retention(self):
        """Saves the document and drops all that the snapshot covers."""
        offset = self.save()
        if not self.log.down:
            self.log.trim(STREAM, offset + 1)

    def replace_all(self):
        """Saves the document and replaces every reader."""
        self.save()
        for reader in self.readers:
            reader.restart()


FAULTS = {
    "down": lambda s: setattr(s.log, "down", True),
    "ack lost": lambda s: setattr(s.log, "lose_acks", 1),
    "late": lambda s: setattr(s.log, "hold_late", 1),
    "duplicate": lambda s: setattr(s.log, "duplicate", 1),
    "garbled": lambda s: setattr(s.log, "garble", 2),
    "malformed": lambda s: s.service.append(STREAM, b"\xc1"),
    "foreign": lambda s: s.append(records.JobCancelled("x")),
    "forged": lambda s: s.append(s.make_change("second", 1, "wrong")),
    "old copy": lambda s: s.append(s.make_change("first", 0)),
    "retention": Scene.pass_retention,
    "all replaced": Scene.replace_all,
}


def live_through(faults_at):
    """Lets a change live through faults by step; returns scene, verdicts."""
    scene = Scene()

    def reach(step):
        for name in faults_at.get(step, ()):
            FAULTS[name](scene)

    second = scene.make_change("second", 1)
    reach("before append")
    scene.append(second)
    reach("unconfirmed")
    told = [scene.publish(second)]
    reach("read by some")
    scene.log.down = False
    for reader in scene.readers:
        reader.read()
    reach("in force")
    told.append(scene.publish(scene.make_change("third", 2)))
    reach("replaced")
    scene.log.down = False
    scene.log.land_late()
    scene.readers.append(Reader(scene.service))
    for reader in (*scene.readers, *scene.readers):
        reader.read()
    return scene, told


def check(faults_at):
    scene, told = live_through(faults_at)
    assert [d.verdict for d in told] == [document.Verdict.ACCEPTED] * 2
    for reader in scene.readers:
        assert reader.replica.is_whole
        assert reader.shown == sorted(reader.shown)
        assert reader.shown[-1] == 3
        accepted = [
            name
            for name, d in reader.replica.state.decisions.items()
            if d.verdict is document.Verdict.ACCEPTED
        ]
        assert accepted == ["first", "second", "third"]


@pytest.mark.parametrize("step", STEPS)
@pytest.mark.parametrize("fault", FAULTS)
def test_one_fault(fault, step):
    check({step: (fault,)})


def list_pairs():
    single = itertools.product(STEPS, FAULTS)
    pairs = list(itertools.combinations(single, 2))
    return random.Random(1).sample(pairs, PAIRS)


@pytest.mark.parametrize(("one", "other"), list_pairs())
def test_two_faults(one, other):
    faults_at = {}
    for step, fault in (one, other):
        faults_at[step] = (*faults_at.get(step, ()), fault)
    check(faults_at)


@pytest.mark.parametrize("lag", [document.HORIZON_OFFSETS, 10**6])
def test_old_copy_is_not_judged_anew(lag):
    """The base lies ahead, so only the memory of verdicts can refuse it."""
    scene = Scene()
    state = scene.readers[0].replica.state
    change = scene.make_change("ahead", 3)
    assert scene.publish(change).verdict is document.Verdict.CONFLICT
    for base in (1, 2):
        scene.publish(scene.make_change(f"next{base}", base))
    offset = lag + 1
    filler = scene.make_change("filler", 0, seen=offset - 2)
    for at, record in ((offset - 1, filler), (offset, change)):
        document.apply_section(
            state, document.events.RecordRead(0.0, STREAM, at, record)
        )
    assert state.sections["own"].version == 3
    assert ("ahead" in state.decisions) is (lag <= document.HORIZON_OFFSETS)
