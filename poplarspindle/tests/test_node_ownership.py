"""The owner's threads: nothing of an ownership that is over arrives."""

import dataclasses
import threading

from structlog import testing

from poplarspindle import metrics, outcomes
from poplarspindle.fleet import effects, records
from poplarspindle.node import appending, ownership, storage
from poplarspindle.platform import __main__ as program
from poplarspindle.platform import settings

SETTINGS = settings.read_settings("""
node_name=n
zone=z
listen_addrs.frontend=127.0.0.1:1
listen_addrs.readiness=127.0.0.1:2
platform.address=127.0.0.1:3
""")


class Store:
    """Holds an append back until it is let go."""

    def __init__(self):
        self.begun = threading.Event()
        self.let_go = threading.Event()
        self.answered = threading.Event()
        self.calls = []

    def append(
        self, found, timeout_s, epoch=0, sequence=0, topic="", partition=0
    ):
        """Answers once it is let go."""
        self.calls.append((topic, sequence, [r.key for r in found]))
        self.begun.set()
        self.let_go.wait()
        self.answered.set()
        return outcomes.Ok(0)

    def read_newest(self, topic, after="", partition=0):
        """Knows no workers."""
        return outcomes.Ok(storage.Newest((), False, 0))

    def read(self, topic, offset, wait_ms, partition=0):
        """Knows no changes."""
        return outcomes.Ok(storage.Page((), offset, offset))


def start_ownership(store, post):
    platform = program.connect(SETTINGS)
    found = ownership.Ownership(
        dataclasses.replace(platform, store=store),
        SETTINGS,
        metrics.Metrics(),
        16,
        post,
        lambda: 0.0,
        lambda: 0,
        0.0,
    )
    found.start()
    return found


def test_append_of_an_ended_ownership_is_not_told():
    store, found = Store(), []
    own = start_ownership(store, found.append)
    own.execute(effects.Append(1, (records.Record("k", b"v"),)))
    assert store.begun.wait(30)
    own.stop()
    found.clear()
    store.let_go.set()
    assert store.answered.wait(30)
    own.post("late")
    assert found == []


def make_appender(store, stop_event, max_bytes=1000):
    return appending.Appender(
        "t",
        lambda found, sequence: store.append(found, 1.0, 16, sequence, "t"),
        max_bytes,
        stop_event,
        lambda why: None,
        metrics.Metrics(),
    )


def test_what_waits_for_an_append_goes_together_the_newest_counts():
    store, stop_event, done = Store(), threading.Event(), threading.Semaphore(0)
    own = make_appender(store, stop_event)
    own.start()
    own.put([records.Record("a", b"1")])
    assert store.begun.wait(30)
    own.put([records.Record("b", b"1"), records.Record("c", b"1")])
    own.put([records.Record("b", b"2")], lambda at: done.release())
    store.let_go.set()
    assert done.acquire(timeout=30)
    stop_event.set()
    own.stop()
    assert store.calls == [("t", 1, ["a"]), ("t", 2, ["c", "b"])]


def test_defect_in_an_append_loses_no_record():
    """All nodes would be told that a job which was never named is absent."""
    store, stop_event, done = Store(), threading.Event(), threading.Semaphore(0)
    store.let_go.set()
    own = make_appender(store, stop_event)
    append, failed = own._call, threading.Event()

    def fail_once(found, sequence):
        if not failed.is_set():
            failed.set()
            raise MemoryError("defect")
        return append(found, sequence)

    own._call = fail_once
    with testing.capture_logs():
        own.start()
        own.put([records.Record("a", b"1")], lambda at: done.release())
        assert done.acquire(timeout=30)
    stop_event.set()
    own.stop()
    assert [keys for _, _, keys in store.calls] == [["a"]]


def test_records_beyond_one_call_go_in_several_in_order():
    store, stop_event, done = Store(), threading.Event(), threading.Semaphore(0)
    store.let_go.set()
    own = make_appender(store, stop_event, 100)
    own.start()
    found = [records.Record(key, b"x" * 40) for key in "abc"]
    own.put(found, lambda at: done.release())
    assert done.acquire(timeout=30)
    stop_event.set()
    own.stop()
    assert store.calls == [("t", 1, ["a"]), ("t", 2, ["b"]), ("t", 3, ["c"])]


def test_read_offsets_are_in_no_earlier_call_than_the_states_they_cover():
    """A node that reads the calls one by one would answer 410 in between."""
    store, stop_event, done = Store(), threading.Event(), threading.Semaphore(0)
    own = make_appender(store, stop_event, 60)
    own.start()
    own.put([records.Record("load", b"")])
    assert store.begun.wait(30)
    queued = records.Record("t/a", b"queued")
    own.put([queued, records.encode_intake_offsets([1])])
    active = records.Record("t/a", b"active" * 6)
    own.put([active], lambda at: done.release())
    store.let_go.set()
    assert done.acquire(timeout=30)
    stop_event.set()
    own.stop()
    told = [key for _, _, keys in store.calls for key in keys]
    assert told == ["load", "t/a", records.INTAKE_OFFSETS_KEY]


def test_job_is_dropped_from_the_hand_ins_before_its_progress():
    """A job that is left without its progress would begin anew."""
    store = Store()
    store.let_go.set()
    own = start_ownership(store, lambda event: None)
    dropped = threading.Event()
    put = own._shared.put
    own._shared.put = lambda found: (put(found), dropped.set())
    own.execute(effects.Drop(("a",)))
    assert dropped.wait(30)
    own.stop()
    assert store.calls[0][2] == ["c/a", "j/a"]
