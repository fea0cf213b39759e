"""The list of workers, followed by the owner; told only when it changed.

An entry that can't be used names no worker; the others hold. It is counted at
each reading that differs, and logged once for each reason.
"""

import threading
from collections.abc import Callable, Iterable

import structlog

from poplarspindle import metrics, outcomes
from poplarspindle.fleet import events, records, work
from poplarspindle.node import clocks, storage, threads

POLL_INTERVAL_S = 0.2
RELOAD_INTERVAL_S = 3.0
REMOVAL_GRACE_S = 2.5  # Entries lapsed in an outage are back by then.
MAX_READ_GAP_S = 1.0  # Longer between two readings is an interruption.
LOG_INTERVAL_S = 10.0
MAX_LOG_LINES = 20  # In that interval; another writer may write thousands.

_log = structlog.get_logger(part="list")

ReadWorker = Callable[[records.Record], work.WorkerInfo | outcomes.Failed]


class Listing:
    """Follows the topic of the workers' entries.

    Args:
        store: The store.
        topic: The topic.
        read_worker: Reads one entry; a failure where it names no worker.
        publish: Called with all workers, at first and whenever one changed.
        report_reading: Called after each reading that the store answered.
        stop_event: Set when the ownership is over.
        counters: The node's figures.
    """

    def __init__(
        self,
        store: storage.Store,
        topic: str,
        read_worker: ReadWorker,
        publish: Callable[[tuple[work.WorkerInfo, ...]], None],
        report_reading: Callable[[events.ListRead], None],
        stop_event: threading.Event,
        counters: metrics.Metrics,
    ) -> None:
        self._counters = counters
        self._store = store
        self._topic = topic
        self._read_worker = read_worker
        self._publish = publish
        self._report_reading = report_reading
        self._stop_event = stop_event
        self._values: dict[str, bytes] = {}
        self._workers: dict[str, work.WorkerInfo] = {}
        self._odd_reasons: dict[str, str] = {}
        self._log_interval_began_at = float("-inf")
        self._lines_left = MAX_LOG_LINES
        self._lines_left_out = 0
        self._published: tuple[work.WorkerInfo, ...] | None = None
        self._lost_at = float("-inf")
        self._read_at = float("-inf")
        self._unbroken_since = float("inf")

    def start(self) -> None:
        """Starts the reading thread."""
        threads.start(self._run, self._stop_event)

    def _run(self) -> None:
        reloaded_at = float("-inf")
        offset = 0
        while not self._stop_event.is_set():
            now = clocks.get_steady_s()
            if now - reloaded_at >= RELOAD_INTERVAL_S:
                newest = storage.load_newest(self._store, self._topic)
                if isinstance(newest, outcomes.Ok):
                    reloaded_at, offset = now, newest.value.end
                    self.replace(newest.value.items, now)
                    self.record_reading(now)
                else:
                    self.record_failure(now)
            else:
                page = self._store.read(self._topic, offset, 0)
                if isinstance(page, outcomes.Ok):
                    offset = page.value.next
                    self.update(page.value.items, now)
                    self.record_reading(now)
                else:
                    reloaded_at = float("-inf")
                    self.record_failure(now)
            self._stop_event.wait(POLL_INTERVAL_S)

    def replace(self, items: Iterable[records.Record], now: float) -> None:
        """Takes all newest entries; soon after an outage none is dropped."""
        fresh = {record.key for record in items if record.value}
        for record in items:
            self._update_entry(record)
        if now - self._lost_at >= REMOVAL_GRACE_S:
            for key in self._values.keys() - fresh:
                self._forget(key)
        self._publish_changed()

    def update(self, items: Iterable[records.Record], now: float) -> None:
        """Takes changed entries."""
        for record in items:
            if record.value:
                self._update_entry(record)
            elif now - self._lost_at >= REMOVAL_GRACE_S:
                self._forget(record.key)
        self._publish_changed()

    def record_failure(self, asked_at: float) -> None:
        """Notes that a reading was not answered."""
        self._lost_at = asked_at
        self._unbroken_since = float("inf")

    def record_reading(self, asked_at: float) -> None:
        """Notes that a reading was answered and its entries were taken.

        Load pattern: this node is paused and reads on when it wakes. What the
        list lacked before and after that may have been there in between.
        """
        if asked_at - self._read_at > MAX_READ_GAP_S:
            self._unbroken_since = asked_at
        self._unbroken_since = min(self._unbroken_since, asked_at)
        self._read_at = asked_at
        self._report_reading(
            events.ListRead(
                clocks.get_steady_s(),
                asked_at,
                self._unbroken_since,
                frozenset(self._values),
            )
        )

    def _forget(self, key: str) -> None:
        for known in (self._values, self._workers, self._odd_reasons):
            known.pop(key, None)

    def _update_entry(self, record: records.Record) -> None:
        if not record.value or self._values.get(record.key) == record.value:
            return
        self._values[record.key] = record.value
        worker = self._try_to_read(record)
        if isinstance(worker, outcomes.Failed):
            named_worker = self._workers.pop(record.key, None) is not None
            self._note_odd(record.key, worker, named_worker)
            return
        self._workers[record.key] = worker
        self._odd_reasons.pop(record.key, None)

    def _try_to_read(
        self, record: records.Record
    ) -> work.WorkerInfo | outcomes.Failed:
        try:
            return self._read_worker(record)
        except Exception as error:
            # The next reading would meet the same entry, and never end.
            _log.exception("raised", worker=record.key, why=repr(error))
            return outcomes.Failed(outcomes.Step.LIST, record.key, "raised")

    def _note_odd(
        self, key: str, failure: outcomes.Failed, named_worker: bool
    ) -> None:
        """Counts an entry that names no worker; logs it where that is new."""
        self._counters.add("poplarspindle_entries_total", failure.reason)
        if self._odd_reasons.get(key) == failure.reason:
            return
        self._odd_reasons[key] = failure.reason
        now = clocks.get_steady_s()
        if now - self._log_interval_began_at >= LOG_INTERVAL_S:
            self._log_interval_began_at = now
            self._lines_left = MAX_LOG_LINES
        if not self._lines_left:
            self._lines_left_out += 1
            return
        self._lines_left -= 1
        _log.warning(
            "odd-entry",
            about="workers",
            worker=key,
            why=failure.reason,
            detail=failure.detail,
            named_worker=named_worker,
            lines_left_out=self._lines_left_out,
        )
        self._lines_left_out = 0

    def _publish_changed(self) -> None:
        workers = tuple(self._workers.values())
        if workers != self._published:
            self._published = workers
            self._publish(workers)
