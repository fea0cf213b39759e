"""The owner's side of a node: appends, orders and looks at workers."""

import collections
import dataclasses
import threading
import time
from collections.abc import Callable

import structlog

from poplarspindle import metrics, outcomes
from poplarspindle.fleet import effects, events, records, work, worker_state
from poplarspindle.node import (
    appending,
    exchange,
    listing,
    ports,
    settings,
    watches,
)

APPEND_S = 1.2  # An append to a slow store takes hundreds of milliseconds.
EXTEND_S = 0.4  # Workers answer in milliseconds; a stop must go on.

_log = structlog.get_logger(part="owner")


@dataclasses.dataclass(frozen=True, slots=True)
class Lost:
    """The ownership of an epoch is over."""

    epoch: int
    why: str


class Owning:
    """Carries the owner's effects out while this node owns the fleet.

    Args:
        platform: What the node runs on.
        own_settings: The node's settings.
        counters: The node's figures.
        epoch: Epoch of the ownership.
        post: Takes events for the node's state.
        store_ok_at: Returns when the store last confirmed the ownership.
        wall_ms: Returns Unix time in milliseconds.
    """

    def __init__(
        self,
        platform: ports.Platform,
        own_settings: settings.Settings,
        counters: metrics.Metrics,
        epoch: int,
        post: Callable[[object], None],
        store_ok_at: Callable[[], float],
        wall_ms: Callable[[], int],
    ) -> None:
        self._connect = platform.connect
        self.epoch = epoch
        self._post = post
        self._confirmed_at = store_ok_at
        self.wall_ms = wall_ms
        self.lease_most_ms = own_settings.lease_most_ms
        self.over = threading.Event()
        self._watches: dict[str, watches.Watch] = {}
        self._orders: collections.deque[effects.Order] = collections.deque()
        self._exchange = exchange.Exchange()
        self._progress, self._shared, self._hand_ins = (
            appending.Appender(
                name,
                append,
                own_settings.batch_most_bytes,
                self.over,
                self.lose,
                counters,
            )
            for name, append in (
                ("progress", _fence(platform, platform.progress_topic, epoch)),
                ("shared", _fence(platform, platform.fleet_topic, epoch)),
                ("hand-ins", _part(platform)),
            )
        )
        self._list = listing.Listing(
            platform.store,
            platform.workers_topic,
            platform.read_worker,
            lambda found: self.post(
                events.WorkersListed(time.monotonic(), found)
            ),
            self.over,
        )

    def start(self) -> None:
        """Starts all threads."""
        for part in (self._exchange, self._list, *self._appenders()):
            part.start()

    def _appenders(self) -> tuple[appending.Appender, ...]:
        return self._progress, self._shared, self._hand_ins

    def connect(self, info: work.WorkerInfo):
        """Makes a client of a worker."""
        return self._connect(self._exchange, info)

    def run_later(self, delay_s: float, job: Callable[[], None]):
        """Runs a function later on the calls' thread."""
        return self._exchange.run_later(delay_s, job)

    def store_ok_at(self) -> float:
        """Returns when the store last confirmed the ownership."""
        return max(
            self._confirmed_at(), self._progress.ok_at, self._shared.ok_at
        )

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
        for appender in self._appenders():
            appender.stop()
        self._exchange.stop()

    def extend_leases(self) -> None:
        """Has all workers keep their runs while ownership changes hands."""
        began = time.monotonic()
        extended = threading.Semaphore(0)
        watched = list(self._watches.values())

        def extend() -> None:
            for watch in watched:
                watch.extend(extended.release)

        self._exchange.run_soon(extend)
        left = len(watched)
        while left and extended.acquire(
            timeout=max(0.0, began + EXTEND_S - time.monotonic())
        ):
            left -= 1
        _log.info(
            "leases-extended",
            about="ownership",
            epoch=self.epoch,
            left=left,
            took_ms=int((time.monotonic() - began) * 1000),
        )

    def lose(self, why: str) -> None:
        """Notes that another owner was seen."""
        self.post(Lost(self.epoch, why))

    def carry_out(self, effect: effects.Effect) -> None:
        """Carries one effect out, on other threads; orders with `flush`."""
        if isinstance(effect, effects.Order):
            self._orders.append(effect)
        elif isinstance(effect, effects.Append):
            self._progress.put(
                effect.records,
                lambda at: self.post(events.Appended(at, effect.number)),
            )
        elif isinstance(effect, effects.Publish):
            self._shared.put(
                effect.records,
                (lambda at: self.post(events.Published(at)))
                if effect.has_unreachable
                else None,
            )
        elif isinstance(effect, effects.Drop):
            self._drop(effect.jobs)
        elif isinstance(effect, effects.AllowLeases | effects.Acknowledge):
            watch = self._watches.get(effect.worker_name)
            if watch is not None:
                self._exchange.run_soon(lambda: _tell(watch, effect))

    def _drop(self, jobs: tuple[str, ...]) -> None:
        """Drops ended jobs: a job without its progress would begin anew."""

        def drop_rest(_: float) -> None:
            self._progress.put(map(records.drop_progress, jobs))
            self._shared.put(map(records.drop_state, jobs))

        self._hand_ins.put(
            [record for job in jobs for record in records.list_drops(job)],
            drop_rest,
        )

    def flush(self) -> None:
        """Sends the orders of a batch."""
        if not self._orders:
            return
        found, self._orders = self._orders, collections.deque()
        self._exchange.run_soon(lambda: self._send(found))

    def _send(self, found: collections.deque[effects.Order]) -> None:
        for effect in found:
            watch = self._watches.get(effect.worker_name)
            if watch is not None:
                watch.order(effect.order)
                continue
            now = time.monotonic()
            answer = watches.UNREACHABLE
            self.post(
                events.Ordered(
                    now, effect.worker_name, now, effect.order, answer
                )
            )

    def keep_watches(
        self, workers: dict[str, worker_state.WorkerState]
    ) -> None:
        """Watches every worker that is listed or still holds runs."""
        fresh = []
        for name, worker in workers.items():
            watch = self._watches.get(name)
            address = worker.info.address
            if address and (watch is None or watch.worker.address != address):
                if watch is not None:
                    watch.over = True
                watch = watches.Watch(self, worker.info)
                self._watches[name] = watch
                fresh.append(watch)
            if watch is not None:
                watch.wait_ms = watches.choose_wait(worker)
        for name in self._watches.keys() - workers.keys():
            self._watches.pop(name).over = True
        if fresh:
            self._exchange.run_soon(lambda: [w.look() for w in fresh])


def _fence(
    platform: ports.Platform, topic: str, epoch: int
) -> appending.Append:
    """Makes appends that the store refuses once there is a later owner."""

    def append(found, sequence):
        return platform.store.append(found, APPEND_S, epoch, sequence, topic)

    return append


def _part(platform: ports.Platform) -> appending.Append:
    """Makes appends to the hand-ins, each record to its job's part."""

    def append(found, sequence):
        parts = collections.defaultdict(list)
        for record in found:
            job = record.key.partition("/")[2]
            part = records.choose_partition(job, platform.parts)
            parts[part].append(record)
        answer: outcomes.Ok[int] | outcomes.Failed = outcomes.Ok(0)
        for part, rows in parts.items():
            answer = platform.store.append(
                rows, APPEND_S, topic=platform.hand_ins_topic, part=part
            )
            if isinstance(answer, outcomes.Failed):
                break
        return answer

    return append


def _tell(
    watch: watches.Watch, effect: effects.AllowLeases | effects.Acknowledge
) -> None:
    if isinstance(effect, effects.AllowLeases):
        watch.allow(effect.failed_polls)
    else:
        watch.record(effect.incarnation_ms, effect.number)
