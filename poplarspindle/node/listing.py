"""The list of workers, followed by the owner; told only when it changed."""

import threading
import time
from collections.abc import Callable, Iterable

from poplarspindle import outcomes
from poplarspindle.fleet import records, work
from poplarspindle.node import storage, threads

POLL_INTERVAL_S = 0.2
RELOAD_INTERVAL_S = 3.0
REMOVAL_GRACE_S = 2.5  # Entries lapsed in an outage are back by then.


class Listing:
    """Follows the topic of the workers' entries.

    Args:
        store: The store.
        topic: The topic.
        read_worker: Reads one entry; None where it names no worker to use.
        publish: Called with all workers, at first and whenever one changed.
        stop_event: Set when the ownership is over.
    """

    def __init__(
        self,
        store: storage.Store,
        topic: str,
        read_worker: Callable[[records.Record], work.WorkerInfo | None],
        publish: Callable[[tuple[work.WorkerInfo, ...]], None],
        stop_event: threading.Event,
    ) -> None:
        self._store = store
        self._topic = topic
        self._read_worker = read_worker
        self._publish = publish
        self._stop_event = stop_event
        self._values: dict[str, bytes] = {}
        self._workers: dict[str, work.WorkerInfo | None] = {}
        self._published: tuple[work.WorkerInfo, ...] | None = None
        self._lost_at = float("-inf")

    def start(self) -> None:
        """Starts the reading thread."""
        threads.start(self._run, self._stop_event)

    def _run(self) -> None:
        reloaded_at = float("-inf")
        offset = 0
        while not self._stop_event.is_set():
            now = time.monotonic()
            if now - reloaded_at >= RELOAD_INTERVAL_S:
                newest = storage.load_newest(self._store, self._topic)
                if isinstance(newest, outcomes.Ok):
                    reloaded_at, offset = now, newest.value.end
                    self.replace(newest.value.items, now)
                else:
                    self._lost_at = now
            else:
                page = self._store.read(self._topic, offset, 0)
                if isinstance(page, outcomes.Ok):
                    offset = page.value.next
                    self.update(page.value.items, now)
                else:
                    reloaded_at = float("-inf")
                    self._lost_at = now
            self._stop_event.wait(POLL_INTERVAL_S)

    def replace(self, items: Iterable[records.Record], now: float) -> None:
        """Takes all newest entries; soon after an outage none is dropped."""
        fresh = {record.key for record in items if record.value}
        for record in items:
            self._update_entry(record)
        if now - self._lost_at >= REMOVAL_GRACE_S:
            for key in self._values.keys() - fresh:
                del self._values[key], self._workers[key]
        self._publish_changed()

    def update(self, items: Iterable[records.Record], now: float) -> None:
        """Takes changed entries."""
        for record in items:
            if record.value:
                self._update_entry(record)
            elif now - self._lost_at >= REMOVAL_GRACE_S:
                self._values.pop(record.key, None)
                self._workers.pop(record.key, None)
        self._publish_changed()

    def _update_entry(self, record: records.Record) -> None:
        if not record.value or self._values.get(record.key) == record.value:
            return
        self._values[record.key] = record.value
        self._workers[record.key] = self._read_worker(record)

    def _publish_changed(self) -> None:
        workers = tuple(
            worker for worker in self._workers.values() if worker is not None
        )
        if workers != self._published:
            self._published = workers
            self._publish(workers)
