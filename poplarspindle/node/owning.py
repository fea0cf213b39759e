"""The owner's side of a node: appends, orders and looks at workers."""

import contextlib
import dataclasses
import queue
import threading
import time
from collections.abc import Callable

import structlog

from poplarspindle import metrics, outcomes
from poplarspindle.fleet import (
    effects,
    events,
    orders,
    records,
    views,
    work,
)
from poplarspindle.node import storage, threads, watches

ORDER_THREADS = 24
APPEND_S = 1.2
EXTENDERS = 12
EXTEND_S = 0.4  # Workers answer in milliseconds; a stop must go on.
RETRY_S = 0.05
RETRY_MOST_S = 0.4
LIST_S = 0.2
LIST_WHOLE_S = 3.0
LIST_GRACE_S = 2.5  # Entries lapsed in an outage are back by then.

_log = structlog.get_logger(part="owner")


@dataclasses.dataclass(frozen=True, slots=True)
class Lost:
    """The ownership of an epoch is over."""

    epoch: int
    why: str


class Owning:
    """Carries the owner's effects out while this node owns the fleet.

    Args:
        store: The store.
        counters: The node's figures.
        list_topic: Topic of the workers' entries.
        read_worker: Reads one entry.
        connect: Makes a client of a worker.
        epoch: Epoch of the ownership.
        post: Takes events for the node's state.
        store_ok_at: Returns when the store last confirmed the ownership.
        wall_ms: Returns Unix time in milliseconds.
        lease_most_ms: Longest lease that a worker grants.
    """

    def __init__(
        self,
        store: storage.Store,
        counters: metrics.Metrics,
        list_topic: str,
        read_worker: Callable[[records.Record], work.Worker | None],
        connect: Callable,
        epoch: int,
        post: Callable[[object], None],
        store_ok_at: Callable[[], float],
        wall_ms: Callable[[], int],
        lease_most_ms: int,
    ) -> None:
        self._store = store
        self._counters = counters
        self._list_topic = list_topic
        self._read_worker = read_worker
        self.connect = connect
        self.epoch = epoch
        self._post = post
        self._confirmed_at = store_ok_at
        self._appended_at = float("-inf")
        self.wall_ms = wall_ms
        self.lease_most_ms = lease_most_ms
        self.over = threading.Event()
        self._sequence = 0
        self._appends: queue.SimpleQueue = queue.SimpleQueue()
        self._orders: queue.SimpleQueue = queue.SimpleQueue()
        self._watches: dict[str, watches.Watch] = {}
        self._entries: dict[str, records.Record] = {}
        self._list_lost_at = float("-inf")
        jobs = [self._append_loop, self._list_loop]
        jobs += [self._order_loop] * ORDER_THREADS
        for job in jobs:
            threads.start(job, self.over)

    def store_ok_at(self) -> float:
        """Returns when the store last confirmed the ownership."""
        return max(self._confirmed_at(), self._appended_at)

    def post(self, event: object) -> None:
        """Hands an event over, unless this ownership is over.

        The same node may own the fleet again: answers to an earlier epoch's
        looks and appends must not be taken for the present one's.
        """
        if not self.over.is_set():
            self._post(event)

    def stop(self) -> None:
        """Ends all threads; orders not yet sent are dropped."""
        self.over.set()
        self._appends.put(None)
        for _ in range(ORDER_THREADS):
            self._orders.put(None)
        for watch in list(self._watches.values()):
            watch.over.set()

    def extend_leases(self) -> None:
        """Has all workers keep their runs while ownership changes hands."""
        began = time.monotonic()
        waiting = queue.SimpleQueue()
        for watch in list(self._watches.values()):
            waiting.put(watch)

        def extend() -> None:
            with contextlib.suppress(queue.Empty):
                while not self.over.is_set():
                    waiting.get_nowait().extend()

        helpers = [threads.start(extend, self.over) for _ in range(EXTENDERS)]
        for helper in helpers:
            left_s = began + EXTEND_S - time.monotonic()
            helper.join(max(0.0, left_s))
        _log.info(
            "leases-extended",
            about="ownership",
            epoch=self.epoch,
            left=waiting.qsize(),
            took_ms=int((time.monotonic() - began) * 1000),
        )

    def lose(self, why: str) -> None:
        """Notes that another owner was seen."""
        if not self.over.is_set():
            self.post(Lost(self.epoch, why))

    def carry_out(self, effect: effects.Effect) -> None:
        """Carries one effect out, on other threads."""
        if isinstance(effect, effects.Order):
            self._orders.put((time.monotonic(), effect))
        elif isinstance(effect, effects.Append):
            self._appends.put((effect.number, effect.found))
        elif isinstance(effect, effects.Drop):
            found = [r for job in effect.jobs for r in records.list_drops(job)]
            self._appends.put((0, tuple(found)))
        elif isinstance(effect, effects.Allow):
            watch = self._watches.get(effect.worker)
            if watch is not None:
                watch.allow(effect.look)
        elif isinstance(effect, effects.Acknowledge):
            watch = self._watches.get(effect.worker)
            if watch is not None:
                watch.record(effect.born_ms, effect.number)

    def keep_watches(self, hands: dict[str, views.Hand]) -> None:
        """Watches every worker that is listed or still holds runs."""
        for name, hand in hands.items():
            address = hand.worker.address
            watch = self._watches.get(name)
            if not address or (
                watch is not None and watch.worker.address == address
            ):
                continue
            if watch is not None:
                watch.over.set()
            self._watches[name] = watches.Watch(self, hand.worker)
        for name, hand in hands.items():
            if (watch := self._watches.get(name)) is not None:
                watch.wait_ms = watches.choose_wait(hand)
        for name in self._watches.keys() - hands.keys():
            self._watches.pop(name).over.set()

    def _append_loop(self) -> None:
        while not self.over.is_set():
            item = self._appends.get()
            if item is None or self.over.is_set():
                return
            number, found = item
            self._sequence += 1
            if self._append(found) and number:
                self.post(events.Appended(time.monotonic(), number))

    def _append(self, found) -> bool:
        """Appends until the outcome is known; the sequence makes it once."""
        backoff_s = RETRY_S
        while not self.over.is_set():
            began = time.monotonic()
            answer = self._store.append(
                found, APPEND_S, self.epoch, self._sequence
            )
            if isinstance(answer, outcomes.Ok):
                self._appended_at = time.monotonic()
                self._counters.observe(
                    "poplarspindle_append_seconds",
                    "owner",
                    self._appended_at - began,
                )
                return True
            if answer.reason in ("fenced", "seq"):
                self.lose(answer.reason)
                return False
            _log.warning(
                "append-failed", why=answer.reason, sequence=self._sequence
            )
            self.over.wait(backoff_s)
            backoff_s = min(RETRY_MOST_S, 2 * backoff_s)
        return False

    def _order_loop(self) -> None:
        while not self.over.is_set():
            item = self._orders.get()
            if item is None or self.over.is_set():
                return
            _, effect = item
            watch = self._watches.get(effect.worker)
            sent_at = time.monotonic()
            if watch is None:
                answer = orders.Answer(orders.Refusal.UNREACHABLE)
            else:
                answer = _send(watch.link, effect.order)
            self.post(
                events.Ordered(
                    time.monotonic(),
                    effect.worker,
                    sent_at,
                    effect.order,
                    answer,
                )
            )

    def _list_loop(self) -> None:
        whole_at = float("-inf")
        offset = 0
        while not self.over.is_set():
            now = time.monotonic()
            if now - whole_at >= LIST_WHOLE_S:
                found = storage.load_newest(self._store, self._list_topic)
                if isinstance(found, outcomes.Ok):
                    whole_at, offset = now, found.value.end
                    self._replace_entries(found.value.found, now)
                else:
                    self._list_lost_at = now
            else:
                page = self._store.read(self._list_topic, offset, 0)
                if isinstance(page, outcomes.Ok):
                    offset = page.value.next
                    self._update_entries(page.value.found, now)
                else:
                    whole_at = float("-inf")
                    self._list_lost_at = now
            self.over.wait(LIST_S)

    def _replace_entries(self, found, now: float) -> None:
        fresh = {record.key: record for record in found if record.value}
        if now - self._list_lost_at < LIST_GRACE_S:
            fresh = self._entries | fresh
        self._entries = fresh
        self._post_entries()

    def _update_entries(self, found, now: float) -> None:
        if not found:
            return
        for record in found:
            if record.value:
                self._entries[record.key] = record
            elif now - self._list_lost_at >= LIST_GRACE_S:
                self._entries.pop(record.key, None)
        self._post_entries()

    def _post_entries(self) -> None:
        workers = map(self._read_worker, self._entries.values())
        found = tuple(worker for worker in workers if worker is not None)
        self.post(events.WorkersListed(time.monotonic(), found))


def _send(link, order) -> orders.Answer:
    if isinstance(order, orders.Start):
        return link.start(order)
    if isinstance(order, orders.Stop):
        return link.stop(order)
    return link.pace(order)
