"""Followers against a store that fails in each way, at each step."""

import threading

import pytest

from poplarspindle import outcomes
from poplarspindle.fleet import records
from poplarspindle.node import followers, storage

FAILED = outcomes.Failed(outcomes.Step.READ, "store", "broken", "", True)
EXPIRED = outcomes.Failed(outcomes.Step.READ, "store", "expired")


class Store:
    """Answers by a script, then with silence for ever."""

    def __init__(self, newest, pages):
        self.newest = list(newest)
        self.pages = list(pages)
        self.waits = []
        self.idle = threading.Event()

    def read_newest(self, topic, after="", partition=0):
        """Answers the next load of the script."""
        return self.newest.pop(0)

    def read(self, topic, offset, wait_ms, partition=0):
        """Answers the next read of the script."""
        self.waits.append(wait_ms)
        if self.pages:
            return self.pages.pop(0)
        self.idle.set()
        threading.Event().wait()


def make_record(value):
    return records.Record("k", value)


def make_newest(value, end):
    return outcomes.Ok(storage.Newest((make_record(value),), False, end))


def make_page(value, end):
    return outcomes.Ok(storage.Page((make_record(value),), end, end))


SCRIPTS = [
    pytest.param(
        [make_newest(b"1", 1)], [make_page(b"2", 2)], [b"1", b"2"], id="calm"
    ),
    pytest.param(
        [FAILED, make_newest(b"1", 1)],
        [make_page(b"2", 2)],
        [b"1", b"2"],
        id="first load fails",
    ),
    pytest.param(
        [make_newest(b"1", 1)],
        [FAILED, make_page(b"2", 2)],
        [b"1", b"2"],
        id="first read fails",
    ),
    pytest.param(
        [make_newest(b"1", 1), make_newest(b"5", 5)],
        [EXPIRED, make_page(b"6", 6)],
        [b"1", b"5", b"6"],
        id="history forgotten",
    ),
]


@pytest.mark.parametrize(("newest", "pages", "seen"), SCRIPTS)
def test_follower_sees_all_that_is_newest(newest, pages, seen):
    store = Store(newest, pages)
    found = []
    follower = followers.Follower(
        store,
        "t",
        lambda rows, end: found.extend(row.value for row in rows),
        lambda rows, end, tail: found.extend(row.value for row in rows),
        lambda: 0.0,
    )
    follower.start()
    assert store.idle.wait(30)
    assert found == seen


def test_tail_of_a_calm_log_is_known_without_waiting():
    """A fleet that starts anew would stand still for the wait."""
    empty = outcomes.Ok(storage.Page((), 1, 1))
    store = Store([make_newest(b"1", 1)], [empty])
    follower = followers.Follower(
        store, "t", lambda *_: None, lambda *_: None, lambda: 0.0
    )
    follower.start()
    assert store.idle.wait(30)
    assert store.waits == [0, followers.WAIT_MS]


def test_newest_records_without_their_rest_are_not_taken_for_all():
    """LOST: an owner dropped the progress of jobs that it had not read."""
    cut_short = outcomes.Ok(storage.Newest((), True, 2))
    first = outcomes.Ok(storage.Newest((make_record(b"1"),), True, 2))
    newest = storage.load_newest(Store([first, cut_short], []), "t")
    assert isinstance(newest, outcomes.Failed)
