"""Appends of the owner to one log, in order, until the outcome is known."""

import queue
import threading
from collections.abc import Callable, Iterable, Iterator

import structlog

from poplarspindle import metrics, outcomes
from poplarspindle.fleet import records
from poplarspindle.node import clocks, threads

RETRY_S = 0.05
MAX_RETRY_S = 0.4
RECORD_HEADER_BYTES = (
    16  # What the store counts for a record besides its value.
)

_log = structlog.get_logger(part="owner")

AppendedCallback = Callable[[float], None]
Append = Callable[
    [list[records.Record], int], outcomes.Ok[int] | outcomes.Failed
]


class Appender:
    """Appends to one topic on a thread of its own.

    What waits while an append is in flight goes into the next one together;
    of records with the same key the newest counts. The offsets up to which
    jobs are told of come last.

    Args:
        name: Name of the log, for log lines.
        append: Makes one append, given the records and the number of the
            append; a repeat with the same number appends nothing more.
        max_bytes: Most bytes of one call.
        stop_event: Set when the ownership is over.
        report_lost: Called with a reason where another owner was seen.
        counters: The node's figures.

    Attributes:
        confirmed_at: When the last append that the store took was first
            sent, steady seconds. The answer may be read any time later, for
            example after this process was paused, so its time tells nothing.
        last_append_at: When that answer was read, on the same clock.
        last_append_s: How long that took, seconds.
    """

    def __init__(
        self,
        name: str,
        append: Append,
        max_bytes: int,
        stop_event: threading.Event,
        report_lost: Callable[[str], None],
        counters: metrics.Metrics,
    ) -> None:
        self._name = name
        self._call = append
        self._max_bytes = max_bytes
        self._stop_event = stop_event
        self._lose = report_lost
        self._counters = counters
        self._sequence = 0  # The claim was number 0.
        self._waiting: queue.SimpleQueue = queue.SimpleQueue()
        self._items: list = []
        self.confirmed_at = float("-inf")
        self.last_append_at = float("-inf")
        self.last_append_s = 0.0

    def start(self) -> None:
        """Starts the appending thread."""
        threads.start(self._run, self._stop_event)

    def put(
        self,
        batch: Iterable[records.Record],
        done: AppendedCallback | None = None,
    ) -> None:
        """Queues records.

        Args:
            batch: The records.
            done: Called with the time at which the store had them.
        """
        self._waiting.put((tuple(batch), done))

    def stop(self) -> None:
        """Ends the thread; what still waits is dropped."""
        self._waiting.put(None)

    def _run(self) -> None:
        # What was taken stays until the store has it: a defect that ends this
        # function lets it begin anew with the same items.
        items = self._items
        while not self._stop_event.is_set():
            if not items:
                items.append(self._waiting.get())
            while not self._waiting.empty():
                items.append(self._waiting.get())
            if None in items or self._stop_event.is_set():
                return
            newest: dict[str, records.Record] = {}
            for batch, _ in items:
                for record in batch:
                    newest.pop(record.key, None)
                    newest[record.key] = record
            # A state that a later publish replaced moved behind the offsets
            # that cover its job: nodes would take the job for absent.
            if records.INTAKE_OFFSETS_KEY in newest:
                newest[records.INTAKE_OFFSETS_KEY] = newest.pop(
                    records.INTAKE_OFFSETS_KEY
                )
            if not all(map(self._append, self._split(newest.values()))):
                return
            appended = items[:]
            items.clear()
            for _, done in appended:
                if done is not None and not self._stop_event.is_set():
                    done(self.last_append_at)

    def _split(
        self, batch: Iterable[records.Record]
    ) -> Iterator[list[records.Record]]:
        """Splits records into calls that the store takes."""
        call: list[records.Record] = []
        size = 0
        for record in batch:
            record_bytes = (
                len(record.value) + len(record.key) + RECORD_HEADER_BYTES
            )
            if call and size + record_bytes > self._max_bytes:
                yield call
                call, size = [], 0
            call.append(record)
            size += record_bytes
        if call:
            yield call

    def _append(self, batch: list[records.Record]) -> bool:
        """Appends until the outcome is known; the sequence makes it once."""
        self._sequence += 1
        backoff_s = RETRY_S
        # A repeat may be answered as its first copy was, which the store took
        # before another owner claimed.
        first_sent_at = clocks.get_steady_s()
        while not self._stop_event.is_set():
            began = clocks.get_steady_s()
            answer = self._call(batch, self._sequence)
            if isinstance(answer, outcomes.Ok):
                self.confirmed_at = first_sent_at
                self.last_append_at = clocks.get_steady_s()
                self.last_append_s = self.last_append_at - began
                self._counters.observe(
                    "poplarspindle_append_seconds",
                    "owner",
                    self.last_append_s,
                )
                return True
            if answer.reason in ("fenced", "seq"):
                self._lose(answer.reason)
                return False
            _log.warning(
                "append-failed",
                log=self._name,
                why=answer.reason,
                sequence=self._sequence,
            )
            self._stop_event.wait(backoff_s)
            backoff_s = min(MAX_RETRY_S, 2 * backoff_s)
        return False
