"""Group commit: collects records and appends them in batches.

Each stream has a lane and a thread of its own, so that one stuck stream
holds up no other. All lanes share one bound on the rate of appends.
"""

import hashlib
import threading
import time
from collections.abc import Mapping

from poplarspindle import (
    append_buffer,
    log,
    metrics,
    outcomes,
    records,
    settings,
)
from poplarspindle.clients import logservice

logger = log.get_logger("log")


def read_bounds(values: settings.Values) -> append_buffer.CommitBounds:
    """Returns the bounds of group commit that the settings name."""
    return append_buffer.CommitBounds(
        values.commit_delay_ms / 1000,
        values.commit_records,
        values.commit_bytes,
        values.append_rate,
        values.append_buffer_bytes,
    )


class RateBound:
    """Spaces the appends of one process evenly.

    Args:
        rate: Greatest number of appends a second.
    """

    def __init__(self, rate: float) -> None:
        self._gap_s = 1.0 / rate
        self._next = float("-inf")
        self._lock = threading.Lock()

    def reserve(self, now: float) -> float:
        """Returns how long to wait, in seconds, before the next append."""
        with self._lock:
            turn = max(now, self._next)
            self._next = turn + self._gap_s
        return turn - now


class Appender:
    """Appends records in batches, one thread per stream.

    Args:
        service: The log.
        counters: Where failures are counted.
        bounds: Bounds of group commit.
        lifetimes: Greatest age by kind of record, seconds.
        seed: Seed of the back-off's jitter.
    """

    def __init__(
        self,
        service: logservice.LogService,
        counters: metrics.Metrics,
        bounds: append_buffer.CommitBounds,
        lifetimes: Mapping[type, float],
        seed: int,
    ) -> None:
        self._service = service
        self._counters = counters
        self._bounds = bounds
        self._lifetimes = lifetimes
        self._seed = seed
        self._rate = RateBound(bounds.rate)
        self._buffers: dict[str, append_buffer.AppendBuffer] = {}
        self._conditions: dict[str, threading.Condition] = {}
        self._threads: dict[str, threading.Thread] = {}
        self._lock = threading.Lock()
        self._started = False
        self._closing = threading.Event()
        self._ended = threading.Event()

    def start(self) -> None:
        """Starts appending; records may be added before."""
        with self._lock:
            self._started = True
            for thread in self._threads.values():
                thread.start()

    def add(self, stream: str, record: records.Record) -> bool:
        """Queues a record; returns False where it will not be appended."""
        condition = self._open_lane(stream)
        with condition:
            added = self._buffers[stream].add(record, time.monotonic())
            condition.notify()
        if added is append_buffer.AddOutcome.FULL:
            self._counters.add("poplarspindle_refusals_total", added)
            return False
        if added is append_buffer.AddOutcome.COALESCED:
            self._counters.add("poplarspindle_records_total", added)
        return not self._ended.is_set()

    def close(self, wait_s: float) -> dict[str, int]:
        """Flushes what is queued for at most `wait_s` and stops.

        Returns:
            Number of records by stream that the log did not confirm. They
            may have taken effect all the same.
        """
        deadline = time.monotonic() + wait_s
        self._closing.set()
        self._wake_all()
        for thread in self._threads.values():
            if thread.is_alive():
                thread.join(max(0.0, deadline - time.monotonic()))
        self._ended.set()
        self._wake_all()
        left = {
            s: len(buffer) for s, buffer in self._buffers.items() if len(buffer)
        }
        for stream, count in left.items():
            self._counters.add(
                "poplarspindle_refusals_total", "append-unconfirmed", count
            )
            logger.warning(
                "Records were not confirmed.", stream=stream, count=count
            )
        return left

    def _wake_all(self) -> None:
        for condition in list(self._conditions.values()):
            with condition:
                condition.notify()

    def _open_lane(self, stream: str) -> threading.Condition:
        with self._lock:
            if stream not in self._buffers:
                self._add_lane(stream)
            return self._conditions[stream]

    def _add_lane(self, stream: str) -> None:
        digest = hashlib.blake2b(
            f"{self._seed}/{stream}".encode(), digest_size=8
        ).digest()
        self._buffers[stream] = append_buffer.AppendBuffer(
            self._bounds, self._lifetimes, int.from_bytes(digest)
        )
        self._conditions[stream] = threading.Condition()
        thread = threading.Thread(target=self._run, args=(stream,), daemon=True)
        self._threads[stream] = thread
        if self._started:
            thread.start()

    def _run(self, stream: str) -> None:
        while self._wait_due(stream):
            self._ended.wait(self._rate.reserve(time.monotonic()))
            self._append_batch(stream)

    def _wait_due(self, stream: str) -> bool:
        """Waits for the next append; returns False when there is none."""
        buffer, condition = self._buffers[stream], self._conditions[stream]
        with condition:
            while not self._ended.is_set():
                due = buffer.find_due()
                if due is None and self._closing.is_set():
                    return False
                wait_s = None if due is None else due - time.monotonic()
                if wait_s is not None and wait_s <= 0:
                    return True
                condition.wait(wait_s)
        return False

    def _append_batch(self, stream: str) -> None:
        buffer, condition = self._buffers[stream], self._conditions[stream]
        with condition:
            payload, expired = buffer.take(time.monotonic())
        self._count("poplarspindle_refusals_total", "append-expired", expired)
        if not payload or self._ended.is_set():
            return
        answer = self._service.append(stream, payload)
        with condition:
            if isinstance(answer, outcomes.Ok):
                buffer.confirm()
                return
            dropped = buffer.fail(answer.reason, time.monotonic())
        self._count("poplarspindle_retries_total", f"append-{answer.reason}", 1)
        self._count("poplarspindle_refusals_total", "append-dropped", dropped)

    def _count(self, name: str, reason: str, amount: int) -> None:
        if amount:
            self._counters.add(name, reason, amount)
