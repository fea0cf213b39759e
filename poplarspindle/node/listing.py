"""The list of workers, followed by the owner; told only when it changed."""

import threading
import time
from collections.abc import Callable, Iterable

from poplarspindle import outcomes
from poplarspindle.fleet import records, work
from poplarspindle.node import storage, threads

LIST_S = 0.2
LIST_WHOLE_S = 3.0
LIST_GRACE_S = 2.5  # Entries lapsed in an outage are back by then.


class Listing:
    """Follows the topic of the workers' entries.

    Args:
        store: The store.
        topic: The topic.
        read_worker: Reads one entry; None where it names no worker to use.
        tell: Called with all workers, at first and whenever one changed.
        over: Set when the ownership is over.
    """

    def __init__(
        self,
        store: storage.Store,
        topic: str,
        read_worker: Callable[[records.Record], work.WorkerInfo | None],
        tell: Callable[[tuple[work.WorkerInfo, ...]], None],
        over: threading.Event,
    ) -> None:
        self._store = store
        self._topic = topic
        self._read_worker = read_worker
        self._tell = tell
        self._over = over
        self._values: dict[str, bytes] = {}
        self._workers: dict[str, work.WorkerInfo | None] = {}
        self._told: tuple[work.WorkerInfo, ...] | None = None
        self._lost_at = float("-inf")

    def start(self) -> None:
        """Starts the reading thread."""
        threads.start(self._run, self._over)

    def _run(self) -> None:
        whole_at = float("-inf")
        offset = 0
        while not self._over.is_set():
            now = time.monotonic()
            if now - whole_at >= LIST_WHOLE_S:
                found = storage.load_newest(self._store, self._topic)
                if isinstance(found, outcomes.Ok):
                    whole_at, offset = now, found.value.end
                    self.replace(found.value.found, now)
                else:
                    self._lost_at = now
            else:
                page = self._store.read(self._topic, offset, 0)
                if isinstance(page, outcomes.Ok):
                    offset = page.value.next
                    self.update(page.value.found, now)
                else:
                    whole_at = float("-inf")
                    self._lost_at = now
            self._over.wait(LIST_S)

    def replace(self, found: Iterable[records.Record], now: float) -> None:
        """Takes all newest entries; soon after an outage none is dropped."""
        fresh = {record.key for record in found if record.value}
        for record in found:
            self._take(record)
        if now - self._lost_at >= LIST_GRACE_S:
            for key in self._values.keys() - fresh:
                del self._values[key], self._workers[key]
        self._tell_changed()

    def update(self, found: Iterable[records.Record], now: float) -> None:
        """Takes changed entries."""
        for record in found:
            if record.value:
                self._take(record)
            elif now - self._lost_at >= LIST_GRACE_S:
                self._values.pop(record.key, None)
                self._workers.pop(record.key, None)
        self._tell_changed()

    def _take(self, record: records.Record) -> None:
        if not record.value or self._values.get(record.key) == record.value:
            return
        self._values[record.key] = record.value
        self._workers[record.key] = self._read_worker(record)

    def _tell_changed(self) -> None:
        workers = tuple(
            worker for worker in self._workers.values() if worker is not None
        )
        if workers != self._told:
            self._told = workers
            self._tell(workers)
