"""Group commit: collects records and appends them in batches.

A failed batch is repeated until the log confirms it, in order per stream;
every record is safe to read twice.
"""

import collections
import random
import threading
import time

from poplarspindle import metrics, outcomes, records
from poplarspindle.platform import logservice

BACKOFF_FIRST_S = 0.05
BACKOFF_MOST_S = 2.0
BUFFER_RECORDS = 50_000


class Appender:
    """Appends records in batches from one thread.

    Args:
        service: The log.
        counters: Where failures are counted.
        delay_s: Greatest time a record waits for others.
        most: Greatest number of records in one append.
        rate: Greatest number of appends a second.
        seed: Seed of the back-off's jitter.
    """

    def __init__(
        self,
        service: logservice.LogService,
        counters: metrics.Metrics,
        delay_s: float,
        most: int,
        rate: float,
        seed: int,
    ) -> None:
        self._service = service
        self._counters = counters
        self._delay_s = delay_s
        self._most = most
        self._gap_s = 1.0 / rate
        self._rng = random.Random(seed)
        self._waiting: dict[str, collections.deque] = {}
        self._condition = threading.Condition()
        self._closing = False
        self._thread = threading.Thread(target=self._run, daemon=True)

    def start(self) -> None:
        """Starts the thread."""
        self._thread.start()

    def add(self, stream: str, record: records.Record) -> bool:
        """Queues a record; returns False where the buffer is full."""
        with self._condition:
            queue = self._waiting.setdefault(stream, collections.deque())
            if len(queue) >= BUFFER_RECORDS:
                self._counters.add(
                    "poplarspindle_refusals_total", "append-buffer-full"
                )
                return False
            queue.append(record)
            self._condition.notify()
            return True

    def close(self, wait_s: float) -> None:
        """Flushes what is queued for at most `wait_s` and stops."""
        with self._condition:
            self._closing = True
            self._condition.notify()
        self._thread.join(wait_s)

    def _run(self) -> None:
        while self._wait_for_records():
            time.sleep(self._delay_s)
            for stream in list(self._waiting):
                self._flush_stream(stream)

    def _wait_for_records(self) -> bool:
        with self._condition:
            while not any(self._waiting.values()):
                if self._closing:
                    return False
                self._condition.wait()
            return True

    def _flush_stream(self, stream: str) -> None:
        queue = self._waiting[stream]
        batch = tuple(queue[i] for i in range(min(len(queue), self._most)))
        if not batch:
            return
        payload = records.encode_batch(batch)
        backoff = BACKOFF_FIRST_S
        while True:
            answer = self._service.append(stream, payload)
            if isinstance(answer, outcomes.Ok):
                break
            self._counters.add(
                "poplarspindle_retries_total", f"append-{answer.reason}"
            )
            if self._closing:
                return
            time.sleep(backoff * self._rng.uniform(0.5, 1.0))
            backoff = min(backoff * 2, BACKOFF_MOST_S)
        with self._condition:
            for _ in batch:
                queue.popleft()
        time.sleep(self._gap_s)
