"""Follows streams of the log and turns what it reads into events."""

import random
import threading
import time
from collections.abc import Callable, Iterable

from poplarspindle import events, metrics, outcomes, records
from poplarspindle.platform import logservice

READ_LIMIT = 500
READ_WAIT_MS = 500
BACKOFF_FIRST_S = 0.05
BACKOFF_MOST_S = 1.0


class Follower:
    """Reads streams from one thread and hands events to a sink.

    Args:
        service: The log.
        streams: Called before each read for the streams to follow.
        sink: Takes each event.
        counters: Where failures are counted.
        seed: Seed of the back-off's jitter.
    """

    def __init__(
        self,
        service: logservice.LogService,
        streams: Callable[[], Iterable[str]],
        sink: Callable[[events.Event], None],
        counters: metrics.Metrics,
        seed: int,
    ) -> None:
        self._service = service
        self._streams = streams
        self._sink = sink
        self._counters = counters
        self._rng = random.Random(seed)
        self._positions: dict[str, int] = {}
        self._stopping = threading.Event()
        self._thread = threading.Thread(target=self._run, daemon=True)

    def start(self) -> None:
        """Starts the thread."""
        self._thread.start()

    def stop(self) -> None:
        """Asks the thread to end after its present read."""
        self._stopping.set()

    def _run(self) -> None:
        backoff = BACKOFF_FIRST_S
        while not self._stopping.is_set():
            if self.read_once():
                backoff = BACKOFF_FIRST_S
                continue
            self._stopping.wait(backoff * self._rng.uniform(0.5, 1.0))
            backoff = min(backoff * 2, BACKOFF_MOST_S)

    def read_once(self) -> bool:
        """Reads all streams once.

        Returns:
            Whether the log answered.
        """
        wanted = {s: self._positions.get(s, 0) for s in self._streams()}
        sent_at = time.monotonic()
        answer = self._service.read(wanted, READ_LIMIT, READ_WAIT_MS)
        if isinstance(answer, outcomes.Failed):
            self._counters.add(
                "poplarspindle_platform_failures_total",
                f"read-{answer.reason}",
            )
            return False
        for page in answer.value:
            self._take_page(page, sent_at)
        return True

    def _take_page(self, page: logservice.Page, sent_at: float) -> None:
        position = self._positions.get(page.stream, 0)
        now = time.monotonic()
        if position < page.first:
            self._sink(events.RetentionPassed(now, page.stream, page.first))
            position = page.first
        for offset, payload in page.records:
            if offset < position:
                continue
            batch, malformed = records.decode_batch(payload)
            for record in batch:
                self._sink(events.RecordRead(now, page.stream, offset, record))
            if malformed:
                self._sink(
                    events.MalformedRead(now, page.stream, offset, malformed)
                )
            position = offset + 1
        self._positions[page.stream] = position
        if position >= page.next:
            self._sink(events.TailReached(sent_at, page.stream, position - 1))
