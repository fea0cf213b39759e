"""Looks at workers: renews leases, takes in what runs there and ended."""

import collections
import dataclasses
import threading
import time
import typing
from collections.abc import Callable

from poplarspindle import outcomes
from poplarspindle.fleet import events, leases, orders, work, worker_state

HOLD_WAIT_MS = 1000
IDLE_WAIT_MS = 2000
TAIL_WAIT_MS = 550  # Tails are measured over half a second.
LOOK_PATIENCE_S = 0.15  # Workers answer in milliseconds.
LOOK_AGAIN_PATIENCE_S = 0.5  # A worker, or this node, may be slow.
RECORDED_S = 0.5
UNREACHED_S = 0.15
UNALLOWED_S = 0.03  # An append takes about that long.
ORDERS_MOST = 8  # At a time to one worker; it takes few connections.
UNREACHABLE = orders.Answer(orders.Refusal.UNREACHABLE)


class Owner(typing.Protocol):
    """What a watch asks of the ownership that it belongs to."""

    epoch: int
    lease_most_ms: int
    over: threading.Event

    def connect(self, info: work.WorkerInfo) -> typing.Any:
        """Makes a client of a worker."""

    def store_ok_at(self) -> float:
        """Returns when the store last confirmed the ownership."""

    def wall_ms(self) -> int:
        """Returns Unix time in milliseconds."""

    def post(self, event: object) -> None:
        """Hands an event over."""

    def lose(self, why: str) -> None:
        """Notes that another owner was seen."""

    def run_later(self, delay_s: float, job: Callable[[], None]) -> typing.Any:
        """Runs a function later on the calls' thread; it can be cancelled."""


class Watch:
    """Looks at one worker for as long as this node owns the fleet.

    All of it runs on the thread that carries the calls; only `wait_ms` is
    set from another one.
    """

    def __init__(self, own: Owner, info: work.WorkerInfo) -> None:
        self._own = own
        self.worker = info
        self.link = own.connect(info)
        self._seen = 0
        self._born_ms = 0
        self._clock = leases.Clock()
        self._misses = 0
        self._awaited = 0  # Number of the end whose record is waited for.
        self._resume: typing.Any = None
        self._waiting: collections.deque[orders.Order] = collections.deque()
        self._sending = 0
        self.wait_ms = HOLD_WAIT_MS
        self.over = False

    def record(self, born_ms: int, number: int) -> None:
        """Notes that ends up to a number are recorded."""
        if born_ms != self._born_ms:
            return
        self._seen = max(self._seen, number)
        if self._awaited and self._seen >= self._awaited:
            self._resume.cancel()
            self._look_next()

    def allow(self, look: int) -> None:
        """Lets leases be asked for, unless a look was missed since."""
        if look == self._misses:
            self._clock.allowed = True

    def extend(self, done: Callable[[], None]) -> None:
        """Asks for the longest leases, for the time until the next owner."""
        own = self._own
        now = time.monotonic()
        until_ms = leases.choose_lease(
            self._clock, now, own.store_ok_at(), own.lease_most_ms, last=True
        )
        if until_ms:
            own.post(events.LeaseGranted(now, self.worker.name, until_ms))
            hold = orders.Poll(own.epoch, self._seen, until_ms, 0)
            self.link.hold(hold, LOOK_AGAIN_PATIENCE_S, lambda _: done())
        else:
            done()

    def order(self, order: orders.Order) -> None:
        """Sends an order; beyond some at a time they wait for each other.

        A start that still waits is not sent once its run is to stop.
        """
        if isinstance(order, orders.Stop):
            self._waiting = collections.deque(
                row for row in self._waiting if not _starts_same(row, order)
            )
        if self._sending >= ORDERS_MOST:
            self._waiting.append(order)
            return
        self._sending += 1
        sent_at = time.monotonic()

        def take(answer: orders.Answer) -> None:
            self._sending -= 1
            self._tell(order, sent_at, answer)
            if not self.is_over():
                if self._waiting:
                    self.order(self._waiting.popleft())
                return
            while self._waiting:
                # The worker has another address now; none of these was sent.
                unsent = self._waiting.popleft()
                self._tell(unsent, time.monotonic(), UNREACHABLE)

        self.link.send(order, take)

    def _tell(
        self, order: orders.Order, sent_at: float, answer: orders.Answer
    ) -> None:
        now, name = time.monotonic(), self.worker.name
        self._own.post(events.Ordered(now, name, sent_at, order, answer))

    def is_over(self) -> bool:
        """Tells whether this worker is to be looked at no more."""
        return self.over or self._own.over.is_set()

    def look(self, wait_ms: int = 0) -> None:
        """Looks at the worker; the next look follows the answer."""
        if self.is_over():
            return
        own = self._own
        sent_at = time.monotonic()
        until_ms = leases.choose_lease(
            self._clock, sent_at, own.store_ok_at(), own.lease_most_ms
        )
        if until_ms:
            own.post(events.LeaseGranted(sent_at, self.worker.name, until_ms))
        order = orders.Poll(own.epoch, self._seen, until_ms, wait_ms)
        self.link.hold(
            order,
            LOOK_PATIENCE_S,
            lambda answer: self._take(order, sent_at, answer),
        )

    def _take(self, order: orders.Poll, sent_at: float, answer) -> None:
        lost = isinstance(answer, outcomes.Failed) and answer.may_have_acted
        if not lost or self.is_over():
            self._take_last(order, sent_at, answer)
            return
        # An answer may be lost: what ended is asked for at once again.
        sent_at = time.monotonic()
        order = dataclasses.replace(order, wait_ms=0)
        self.link.hold(
            order,
            LOOK_AGAIN_PATIENCE_S,
            lambda found: self._take_last(order, sent_at, found),
        )

    def _take_last(self, order: orders.Poll, sent_at: float, answer) -> None:
        own = self._own
        if self.is_over():
            return
        at = time.monotonic()
        if isinstance(answer, outcomes.Failed):
            self._misses += 1
            self._clock.allowed = False
            if answer.reason == "fenced":
                own.lose("worker-fenced")
            own.post(events.PollFailed(at, self.worker.name, answer.reason))
            self._resume = own.run_later(UNREACHED_S, self.look)
            return
        report = answer.value
        if report.incarnation_ms != self._born_ms:
            self._born_ms, self._seen = report.incarnation_ms, 0
        self._clock.ms, self._clock.at = report.clock_ms, at
        own.post(
            events.Reported(
                at,
                own.wall_ms(),
                self.worker.name,
                sent_at,
                order.until_ms,
                report,
                self._misses,
            )
        )
        newest = max((end.number for end in report.ended), default=0)
        if newest > self._seen:
            # Ends that are not recorded yet would only be listed again.
            self._awaited = newest
            self._resume = own.run_later(RECORDED_S, self._look_next)
        else:
            self._look_next()

    def _look_next(self) -> None:
        self._awaited = 0
        if self._clock.allowed:
            self.look(self.wait_ms)
        else:
            self._resume = self._own.run_later(UNALLOWED_S, self.look)


def _starts_same(order: orders.Order, stop: orders.Stop) -> bool:
    """Tells whether an order is to start the run that another is to stop."""
    return isinstance(order, orders.Start) and (order.task, order.attempt) == (
        stop.task,
        stop.attempt,
    )


def choose_wait(worker: worker_state.WorkerState) -> int:
    """Returns how long a look at a worker waits for an end."""
    if worker.latency_critical_millicores and worker.best_effort_millicores:
        return TAIL_WAIT_MS
    return HOLD_WAIT_MS if worker.runs else IDLE_WAIT_MS
