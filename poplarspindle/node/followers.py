"""Follows one keyed topic: all newest records first, then each change."""

import threading
import time
from collections.abc import Callable

import structlog

from poplarspindle import outcomes
from poplarspindle.fleet import records
from poplarspindle.node import clocks, storage, threads

WAIT_MS = 1000  # Also how often a calm topic's tail is confirmed.
BACKOFF_S = 0.1
MAX_BACKOFF_S = 0.5

_log = structlog.get_logger(part="follower")


class Follower:
    """Reads a topic on a thread of its own.

    Args:
        store: The store.
        topic: The topic.
        reset: Called with all newest records, which replace what was known,
            and the offset from which changes to them follow.
        apply: Called with the records of each page read after that, the
            offset behind them, and whether that is the tail.
        pause_s: Returns the least time between two pages, seconds.
        partition: Part of the topic.
        first: Offset to begin at, -1 to read all newest records first.
        stop_event: Ends the following when set.

    Attributes:
        next: Offset to read next, -1 before the newest records were read.
        tail_reached_at: When the tail was last reached, steady seconds.
    """

    def __init__(
        self,
        store: storage.Store,
        topic: str,
        reset: Callable[[tuple[records.Record, ...], int], None],
        apply: Callable[[tuple[records.Record, ...], int, bool], None],
        pause_s: Callable[[], float],
        partition: int = 0,
        first: int = -1,
        stop_event: threading.Event | None = None,
    ) -> None:
        self._partition = partition
        self._stop_event = stop_event or threading.Event()
        self._store = store
        self._topic = topic
        self._reset = reset
        self._apply = apply
        self._pause_s = pause_s
        self._reload = threading.Event()
        self._reached_tail = False
        self.next = first
        self.tail_reached_at = float("-inf")

    def start(self) -> None:
        """Starts the reading thread."""
        threads.start(self._run, self._stop_event)

    def reload(self) -> None:
        """Has all newest records read again."""
        self._reload.set()

    def _run(self) -> None:
        failures = 0
        while not self._stop_event.is_set():
            if self.next < 0 or self._reload.is_set():
                self._reload.clear()
                failure = self._load()
            else:
                failure = self._read()
            if failure is None:
                if failures:
                    _log.info("regained", topic=self._topic, failures=failures)
                failures = 0
                continue
            if failure.reason == "expired":
                _log.warning(
                    "expired",
                    topic=self._topic,
                    offset=self.next,
                    why=failure.detail,
                )
                self._reload.set()
                continue
            if not failures:
                _log.warning(
                    "lost",
                    topic=self._topic,
                    why=failure.reason,
                    fresh_s=round(
                        clocks.get_steady_s() - self.tail_reached_at, 3
                    ),
                )
            failures += 1
            time.sleep(min(MAX_BACKOFF_S, BACKOFF_S * failures))

    def _load(self) -> outcomes.Failed | None:
        newest = storage.load_newest(self._store, self._topic, self._partition)
        if isinstance(newest, outcomes.Failed):
            return newest
        self._reset(newest.value.items, newest.value.end)
        self.next = newest.value.end
        self._reached_tail = False
        return None

    def _read(self) -> outcomes.Failed | None:
        # On a calm log the first read would wait in vain to show the tail.
        wait_ms = WAIT_MS if self._reached_tail else 0
        page = self._store.read(
            self._topic, self.next, wait_ms, self._partition
        )
        if self._stop_event.is_set():
            return None
        if isinstance(page, outcomes.Failed):
            return page
        self.next = page.value.next
        at_tail = page.value.next >= page.value.end
        self._reached_tail = at_tail
        self._apply(page.value.items, page.value.next, at_tail)
        if at_tail:
            self.tail_reached_at = clocks.get_steady_s()
        pause_s = self._pause_s()
        if page.value.items and pause_s:
            time.sleep(pause_s)
        return None
