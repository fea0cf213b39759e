"""Follows streams of the log and turns what it reads into events."""

import random
import threading
import time
from collections.abc import Callable, Iterable

from poplarspindle import events, metrics, outcomes, replayer, snapshots
from poplarspindle.clients import logservice

READ_LIMIT = 500
READ_WAIT_MS = 500
BACKOFF_FIRST_S = 0.05
MAX_BACKOFF_S = 1.0


class Follower:
    """Reads streams from one thread and hands events to a sink.

    Args:
        service: The log.
        streams: Called before each read for the streams to follow.
        sink: Takes each event.
        counters: Where failures are counted.
        seed: Seed of the back-off's jitter.
        open_snapshot: Checks and decodes a stream's snapshot.
    """

    def __init__(
        self,
        service: logservice.LogService,
        streams: Callable[[], Iterable[str]],
        sink: Callable[[events.Event], None],
        counters: metrics.Metrics,
        seed: int,
        open_snapshot: snapshots.Opener,
    ) -> None:
        self._service = service
        self._streams = streams
        self._sink = sink
        self._counters = counters
        self._rng = random.Random(seed)
        self._open_snapshot = open_snapshot
        self._replayers: dict[str, replayer.Replayer] = {}
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
            backoff = min(backoff * 2, MAX_BACKOFF_S)

    def read_once(self) -> bool:
        """Reads all streams once.

        Returns:
            Whether the log answered.
        """
        wanted = {
            stream: self._find_replayer(stream).position
            for stream in self._streams()
        }
        sent_at = time.monotonic()
        answer = self._service.read(wanted, READ_LIMIT, READ_WAIT_MS)
        if isinstance(answer, outcomes.Failed):
            self._counters.add(
                "poplarspindle_platform_failures_total",
                f"read-{answer.reason}",
            )
            return False
        now = time.monotonic()
        for page in answer.value:
            event_list = self._replayers[page.stream].take_page(
                page, sent_at, now
            )
            for event in event_list:
                self._sink(event)
        return True

    def _find_replayer(self, stream: str) -> replayer.Replayer:
        if stream not in self._replayers:
            made = replayer.Replayer(stream, self._open_snapshot)
            self._replayers[stream] = made
        return self._replayers[stream]
