"""Looks at workers whose answers are lost, late or refused."""

import threading
import time

import pytest

from poplarspindle import outcomes, resources
from poplarspindle.fleet import events, work
from poplarspindle.node import watches

WORKER = work.Worker("w", "a:1", "pool", "dc", resources.NOTHING)
LOST = outcomes.Failed(outcomes.Step.HOLD, "w", "timeout", "", True)
REFUSED = outcomes.Failed(outcomes.Step.HOLD, "w", "unreachable")


def make_report(clock_ms):
    return outcomes.Ok(work.Report(clock_ms, 7, (), ()))


class Link:
    """Answers looks by a script, then with silence for ever."""

    def __init__(self, answers):
        self._answers = list(answers)
        self.waits = []
        self.idle = threading.Event()

    def hold(self, order, patience_s):
        """Answers the next look of the script."""
        self.waits.append(order.wait_ms)
        if self._answers:
            return self._answers.pop(0)
        self.idle.set()
        threading.Event().wait()

    def close(self):
        """Does nothing."""


class Own:
    """What a watch asks of its owner."""

    epoch = 16
    lease_most_ms = 6000

    def __init__(self, link):
        self._link = link
        self.over = threading.Event()
        self.posted = []

    def connect(self, worker):
        """Returns the scripted link."""
        return self._link

    def store_ok_at(self):
        """Tells that the store confirmed the ownership just now."""
        return time.monotonic()

    def wall_ms(self):
        """Returns Unix time in milliseconds."""
        return int(time.time() * 1000)

    def post(self, event):
        """Keeps an event."""
        self.posted.append(event)

    def lose(self, why):
        """Notes that ownership is over."""
        self.posted.append(why)


SCRIPTS = [
    pytest.param([make_report(5)], ["Reported"], id="calm"),
    pytest.param([LOST, make_report(5)], ["Reported"], id="one answer lost"),
    pytest.param(
        [LOST, LOST, make_report(5)], ["Unheard", "Reported"], id="two lost"
    ),
    pytest.param(
        [REFUSED, make_report(5)], ["Unheard", "Reported"], id="refused"
    ),
]


@pytest.mark.parametrize(("answers", "expected"), SCRIPTS)
def test_look_is_repeated_before_a_worker_counts_as_unheard(answers, expected):
    link = Link(answers)
    own = Own(link)
    watches.Watch(own, WORKER)
    assert link.idle.wait(30)
    own.over.set()
    seen = [
        type(event).__name__
        for event in own.posted
        if not isinstance(event, events.Granted)
    ]
    assert seen == expected


def test_repeated_look_does_not_wait_for_an_end():
    link = Link([make_report(5), LOST, make_report(6)])
    own = Own(link)
    watch = watches.Watch(own, WORKER)
    watch.allow(0)
    assert link.idle.wait(30)
    own.over.set()
    assert link.waits[2] == 0
