"""Looks at workers: renews leases, takes in what runs there and ended."""

import dataclasses
import threading
import time
import typing

from poplarspindle import outcomes
from poplarspindle.fleet import events, leases, orders, views, work
from poplarspindle.node import threads

HOLD_WAIT_MS = 1000
IDLE_WAIT_MS = 2000
TAIL_WAIT_MS = 550  # Tails are measured over half a second.
LOOK_PATIENCE_S = 0.15  # Workers answer in milliseconds.
LOOK_AGAIN_PATIENCE_S = 0.5  # A worker, or this node, may be slow.
RECORDED_S = 0.5
UNREACHED_S = 0.15
UNALLOWED_S = 0.03  # An append takes about that long.


class Owner(typing.Protocol):
    """What a watch asks of the ownership that it belongs to."""

    epoch: int
    lease_most_ms: int
    over: threading.Event

    def connect(self, worker: work.Worker) -> typing.Any:
        """Makes a client of a worker."""

    def store_ok_at(self) -> float:
        """Returns when the store last confirmed the ownership."""

    def wall_ms(self) -> int:
        """Returns Unix time in milliseconds."""

    def post(self, event: object) -> None:
        """Hands an event over."""

    def lose(self, why: str) -> None:
        """Notes that another owner was seen."""


class Watch:
    """Looks at one worker for as long as this node owns the fleet."""

    def __init__(self, own: Owner, worker: work.Worker) -> None:
        self._own = own
        self.worker = worker
        self.link = own.connect(worker)
        self._seen = 0
        self._born_ms = 0
        self._clock = leases.Clock()
        self._misses = 0
        self.wait_ms = HOLD_WAIT_MS
        self._recorded = threading.Condition()
        self.over = threading.Event()
        threads.start(self._run, own.over)

    def record(self, born_ms: int, number: int) -> None:
        """Notes that ends up to a number are recorded."""
        with self._recorded:
            if born_ms == self._born_ms:
                self._seen = max(self._seen, number)
                self._recorded.notify_all()

    def allow(self, look: int) -> None:
        """Lets leases be asked for, unless a look was missed since."""
        with self._recorded:
            if look == self._misses:
                self._clock.allowed = True

    def extend(self) -> None:
        """Asks for the longest leases, for the time until the next owner."""
        own = self._own
        now = time.monotonic()
        until_ms = leases.choose_lease(
            self._clock, now, own.store_ok_at(), own.lease_most_ms, last=True
        )
        if until_ms:
            self.link.hold(orders.Hold(own.epoch, self._seen, until_ms, 0))

    def _run(self) -> None:
        wait_ms = 0
        while not (self.over.is_set() or self._own.over.is_set()):
            if self._look(wait_ms):
                wait_ms = self.wait_ms if self._clock.allowed else 0
                if not self._clock.allowed:
                    self.over.wait(UNALLOWED_S)
            else:
                wait_ms = 0
                self.over.wait(UNREACHED_S)
        self.link.close()

    def _look(self, wait_ms: int) -> bool:
        own = self._own
        sent_at = time.monotonic()
        until_ms = leases.choose_lease(
            self._clock, sent_at, own.store_ok_at(), own.lease_most_ms
        )
        if until_ms:
            own.post(events.Granted(sent_at, self.worker.name, until_ms))
        order = orders.Hold(own.epoch, self._seen, until_ms, wait_ms)
        answer = self.link.hold(order, LOOK_PATIENCE_S)
        if isinstance(answer, outcomes.Failed) and answer.may_have_acted:
            # An answer may be lost: what ended is asked for at once again.
            sent_at = time.monotonic()
            order = dataclasses.replace(order, wait_ms=0)
            answer = self.link.hold(order, LOOK_AGAIN_PATIENCE_S)
        at = time.monotonic()
        if isinstance(answer, outcomes.Failed):
            with self._recorded:
                self._misses += 1
                self._clock.allowed = False
            if answer.reason == "fenced":
                own.lose("worker-fenced")
            own.post(events.Unheard(at, self.worker.name, answer.reason))
            return False
        report = answer.value
        if report.born_ms != self._born_ms:
            with self._recorded:
                self._born_ms, self._seen = report.born_ms, 0
        self._clock.ms, self._clock.at = report.clock_ms, at
        own.post(
            events.Reported(
                at,
                own.wall_ms(),
                self.worker.name,
                sent_at,
                until_ms,
                report,
                self._misses,
            )
        )
        if report.ended:
            self._await_recorded(max(end.number for end in report.ended))
        return True

    def _await_recorded(self, number: int) -> None:
        """Waits until ends are recorded, so that they aren't listed again."""
        deadline = time.monotonic() + RECORDED_S
        with self._recorded:
            while self._seen < number:
                left_s = deadline - time.monotonic()
                if left_s <= 0 or self._own.over.is_set():
                    return
                self._recorded.wait(left_s)


def choose_wait(hand: views.Hand) -> int:
    """Returns how long a look at a worker waits for an end."""
    if hand.serving and hand.filling:
        return TAIL_WAIT_MS
    return HOLD_WAIT_MS if hand.runs else IDLE_WAIT_MS
