"""Looks at workers whose answers are lost, late or refused."""

import threading
import time

import pytest

from poplarspindle import outcomes, resources
from poplarspindle.fleet import events, orders, work
from poplarspindle.node import watches

WORKER = work.WorkerInfo("w", "a:1", "pool", "dc", resources.NOTHING)
LOST = outcomes.Failed(outcomes.Step.HOLD, "w", "timeout", "", True)
REFUSED = outcomes.Failed(outcomes.Step.HOLD, "w", "unreachable")


def make_report(clock_ms):
    return outcomes.Ok(work.Report(clock_ms, 7, (), ()))


class Link:
    """Answers looks by a script, then with silence for ever."""

    def __init__(self, answers):
        self._answers = list(answers)
        self.waits = []

    def hold(self, order, patience_s, done):
        """Answers the next look of the script."""
        self.waits.append(order.wait_ms)
        if self._answers:
            done(self._answers.pop(0))


class Timer:
    """A function that runs later."""

    def __init__(self, job):
        self.job = job

    def cancel(self):
        """Keeps it from running."""
        self.job = None


class Own:
    """What a watch asks of its owner; time passes when it is told to."""

    epoch = 16
    lease_most_ms = 6000

    def __init__(self, link):
        self._link = link
        self.over = threading.Event()
        self.posted = []
        self.timers = []

    def connect(self, info):
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

    def run_later(self, delay_s, job):
        """Keeps a function for later."""
        self.timers.append(Timer(job))
        return self.timers[-1]

    def pass_time(self):
        """Runs all that was to run later, until nothing is left."""
        while self.timers:
            job = self.timers.pop(0).job
            if job is not None:
                job()


SCRIPTS = [
    pytest.param([make_report(5)], ["Reported"], id="calm"),
    pytest.param([LOST, make_report(5)], ["Reported"], id="one answer lost"),
    pytest.param(
        [LOST, LOST, make_report(5)], ["PollFailed", "Reported"], id="two lost"
    ),
    pytest.param(
        [REFUSED, make_report(5)], ["PollFailed", "Reported"], id="refused"
    ),
]


@pytest.mark.parametrize(("answers", "expected"), SCRIPTS)
def test_look_is_repeated_before_a_worker_counts_as_unheard(answers, expected):
    link = Link(answers)
    own = Own(link)
    watches.Watch(own, WORKER).look()
    own.pass_time()
    seen = [
        type(event).__name__
        for event in own.posted
        if not isinstance(event, events.LeaseGranted)
    ]
    assert seen == expected


def test_repeated_look_does_not_wait_for_an_end():
    link = Link([make_report(5), LOST, make_report(6)])
    own = Own(link)
    watch = watches.Watch(own, WORKER)
    watch.allow(0)
    watch.look()
    own.pass_time()
    assert link.waits == [0, watches.HOLD_WAIT_MS, 0, watches.HOLD_WAIT_MS]


def test_next_look_waits_until_the_ends_are_recorded():
    end = work.Ended(1, work.TaskName("j", 0, 0, 0), 1, work.EndReason.DONE)
    link = Link([outcomes.Ok(work.Report(5, 7, (), (end,)))])
    own = Own(link)
    watch = watches.Watch(own, WORKER)
    watch.look()
    assert len(link.waits) == 1
    watch.record(8, 1)
    assert len(link.waits) == 1
    watch.allow(0)
    watch.record(7, 1)
    assert len(link.waits) == 2
    own.pass_time()
    assert len(link.waits) == 2


def test_owner_is_told_of_the_last_leases_before_they_are_asked_for():
    """Until it gives the fleet up, it must take no such lease to be over."""
    own = Own(Link([make_report(5)]))
    watch = watches.Watch(own, WORKER)
    watch.allow(0)
    watch.look()
    own.posted.clear()
    asked = []
    watch.link.hold = lambda order, *_: asked.append((order, *own.posted))
    watch.extend(lambda: None)
    ((order, granted),) = asked
    assert granted.until_ms == order.until_ms > 6000


def test_nothing_is_asked_once_the_ownership_is_over():
    link = Link([LOST])
    own = Own(link)
    watch = watches.Watch(own, WORKER)
    own.over.set()
    watch.look()
    own.pass_time()
    assert (link.waits, own.posted) == ([], [])


class Slow(Link):
    """Keeps the answers to orders back."""

    sent = ()

    def send(self, order, done):
        """Keeps an order's answer back."""
        self.sent = (*self.sent, done)


def test_orders_that_wait_for_a_worker_at_its_old_address_are_answered():
    """A stop without an answer is never sent again, and its task waits."""
    link = Slow([])
    own = Own(link)
    watch = watches.Watch(own, WORKER)
    name = work.TaskName("j", 0, 0, 0)
    for attempt in range(watches.ORDERS_MOST + 2):
        watch.order(orders.Stop(name, attempt, 16))
    watch.over = True
    for done in link.sent:
        done(orders.Answer(orders.Refusal.SILENT))
    assert len(link.sent) == watches.ORDERS_MOST
    answers = {event.order.attempt: event.answer for event in own.posted}
    assert len(own.posted) == len(answers) == watches.ORDERS_MOST + 2
    assert answers[watches.ORDERS_MOST] == watches.UNREACHABLE
    assert answers[watches.ORDERS_MOST + 1] == watches.UNREACHABLE


def test_start_that_waits_is_not_sent_once_its_run_is_to_stop():
    """TWICE: the task was known to be done in an earlier run."""
    link = Slow([])
    own = Own(link)
    watch = watches.Watch(own, WORKER)
    sent = []
    send, link.send = link.send, lambda *row: (sent.append(row[0]), send(*row))
    name = work.TaskName("j", 0, 0, 0)
    for attempt in range(watches.ORDERS_MOST + 2):
        watch.order(orders.Start(name, attempt, 16, "", 9000))
    watch.order(orders.Stop(name, watches.ORDERS_MOST, 16))
    while link.sent:
        done, *link.sent = link.sent
        done(orders.Answer(None))
    started = {o.attempt for o in sent if isinstance(o, orders.Start)}
    assert started == {*range(watches.ORDERS_MOST + 2)} - {watches.ORDERS_MOST}
    assert sum(isinstance(order, orders.Stop) for order in sent) == 1


def test_orders_beyond_some_wait_for_answers():
    """A step of many tasks on one worker must not take all its connections."""
    link = Slow([])
    own = Own(link)
    watch = watches.Watch(own, WORKER)
    name = work.TaskName("j", 0, 0, 0)
    for attempt in range(watches.ORDERS_MOST + 2):
        watch.order(orders.Stop(name, attempt, 16))
    assert len(link.sent) == watches.ORDERS_MOST
    link.sent[0](orders.Answer(None))
    assert len(link.sent) == watches.ORDERS_MOST + 1
    assert [event.order.attempt for event in own.posted] == [0]
