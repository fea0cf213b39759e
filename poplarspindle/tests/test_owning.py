"""The owner's threads: nothing of an ownership that is over arrives."""

import threading

from poplarspindle import metrics, outcomes
from poplarspindle.fleet import effects, records
from poplarspindle.node import owning, storage


class Store:
    """Holds an append back until it is let go."""

    def __init__(self):
        self.begun = threading.Event()
        self.let_go = threading.Event()
        self.answered = threading.Event()

    def append(self, found, timeout_s, epoch=0, sequence=0):
        """Answers once it is let go."""
        self.begun.set()
        self.let_go.wait()
        self.answered.set()
        return outcomes.Ok(0)

    def read_newest(self, topic, after=""):
        """Knows no workers."""
        return outcomes.Ok(storage.Newest((), False, 0))

    def read(self, topic, offset, wait_ms):
        """Knows no changes."""
        return outcomes.Ok(storage.Page((), offset, offset))


def start_owning(store, post):
    return owning.Owning(
        store,
        metrics.Metrics(),
        "workers",
        lambda record: None,
        lambda worker: None,
        16,
        post,
        lambda: 0.0,
        lambda: 0,
        6000,
    )


def test_append_of_an_ended_ownership_is_not_told():
    store, found = Store(), []
    own = start_owning(store, found.append)
    own.carry_out(effects.Append(1, (records.Record("k", b"v"),)))
    assert store.begun.wait(30)
    own.stop()
    found.clear()
    store.let_go.set()
    assert store.answered.wait(30)
    own.post("late")
    assert found == []
