"""One node owns the fleet twice; nothing of the first time counts then.

TWICE: a start goes out before the log holds it, so that the next owner does not
know of it.
"""

import dataclasses
import threading

import pytest

from poplarspindle import metrics, outcomes, resources
from poplarspindle.fleet import effects, events, records, reducer, work
from poplarspindle.node import claims, node, storage
from poplarspindle.platform import __main__ as program
from poplarspindle.tests import test_node_ownership

SETTINGS = test_node_ownership.SETTINGS


class Store:
    """Takes each append; knows no records."""

    def append(self, *args, **options):
        """Takes an append."""
        return outcomes.Ok(0)

    def read_newest(self, topic, after="", partition=0):
        """Knows no records."""
        return outcomes.Ok(storage.Newest((), False, 0))


class Ownership:
    """An ownership without threads."""

    def __init__(self, *args):
        self.stop_event = threading.Event()
        self.start = lambda: None
        self.execute = lambda effect: None
        self.stop = self.stop_event.set


@pytest.fixture
def started(monkeypatch):
    """Returns what is to run on threads of their own, instead of running it."""
    found = []
    monkeypatch.setattr(
        node.threads, "start", lambda run, *options: found.append(run)
    )
    monkeypatch.setattr(node.ownership, "Ownership", Ownership)
    monkeypatch.setattr(node.intake, "start_followers", lambda *options: None)
    return found


def make_node():
    """Makes a node that is not started, and a record of its claim."""
    platform = dataclasses.replace(program.connect(SETTINGS), store=Store())
    return node.Node(SETTINGS, platform, metrics.Metrics())


def read_claim(found_node, epoch):
    """Lets a node read all of the shared log, with its own claim in it."""
    claim = records.Owner(epoch, found_node.incarnation, 0)
    found_node._handle_event(
        node._SharedLogReloaded((records.encode_owner(claim),))
    )


def become_owner(found_node, started):
    """Lets a node do what waits for its threads, and take it in."""
    while started:
        started.pop()()
    while not found_node._events.empty():
        found_node._handle_event(found_node._events.get())


def test_epoch_that_was_owned_is_not_owned_again(started):
    """Its appends would be answered as those of the first time were.

    The numbers of appends begin anew, and the store takes the first ones for
    repeats, of which it stores nothing.
    """
    found_node = make_node()
    read_claim(found_node, 16)
    become_owner(found_node, started)
    assert found_node._fleet.epoch == 16
    found_node._end_ownership("state-failed")
    read_claim(found_node, 16)
    become_owner(found_node, started)
    assert found_node._fleet is None
    read_claim(found_node, 32)
    become_owner(found_node, started)
    assert found_node._fleet.epoch == 32


def test_claim_that_never_was_an_ownership_is_prepared_again(started):
    """LOST: nobody would own the fleet until another node claims it."""
    found_node = make_node()
    read_claim(found_node, 16)
    found_node._election.preparing_epoch = 0
    started.clear()
    read_claim(found_node, 16)
    become_owner(found_node, started)
    assert found_node._fleet.epoch == 16


def make_fleet(epoch):
    """Makes the state of an owner that has something to record at once."""
    step = work.Step(1, resources.Resources(1000, 1000, 0))
    queue = work.Queue("q", "h", "/q/", "pool")
    submission = work.Submission("a" * 16, queue, "", (step,))
    prepared = claims.PreparedClaim(
        epoch, (), (records.encode_submission(submission),), (0,)
    )
    fleet, _, _ = claims.make_fleet(prepared, SETTINGS, 0.0)
    reducer.reduce(fleet, events.Claimed(0.0, 0, epoch, {}, {}, (0,)))
    return fleet


def find_append(fleet):
    """Returns the append that a state asks for."""
    (append,) = [
        effect
        for effect in reducer.settle(fleet)
        if isinstance(effect, effects.Append)
    ]
    return append


def test_append_of_an_earlier_ownership_is_not_taken_for_one_of_the_next():
    """A thread hands it over late, when the same node owns the fleet again."""
    earlier = find_append(make_fleet(16))
    fleet = make_fleet(32)
    append = find_append(fleet)
    reducer.reduce(fleet, events.Appended(0.0, earlier.number))
    assert list(fleet.appends_in_flight) == [append.number]
    reducer.reduce(fleet, events.Appended(0.0, append.number))
    assert not fleet.appends_in_flight
