"""Group commit of what callers hand in: one append for all that wait.

Load pattern: the store turns slow by a factor of a hundred, and each part of
a log takes one append at a time. Hand-ins go into parts by their job, so that
as many appends go on side by side; and the time after which an append counts
as unanswered follows what appends took lately, since a second one of what is
only slow would add to the load.
"""

import dataclasses
import threading
import time
from collections.abc import Callable

from poplarspindle import outcomes
from poplarspindle.fleet import records
from poplarspindle.node import clocks, ports, storage, threads

MIN_TIMEOUT_S = 1.2  # A slow store takes hundreds of milliseconds.
MAX_TIMEOUT_S = 2.6  # The store refuses what would wait for over 2 s.
TIMEOUT_FACTOR = 6  # Times what the last append took.
BACKOFF_S = 0.05
MAX_BACKOFF_S = 0.4
BATCH_RECORDS = 200


@dataclasses.dataclass(slots=True)
class PendingRecord:
    """One record that waits for its append.

    Attributes:
        record: The record.
        deadline: When its caller gives up, steady seconds.
        done: Set when the outcome is known.
        appended: Whether it is in the log.
        may_have_acted: Whether an append without an answer may hold it.
        reason: Why it is not in the log.
    """

    record: records.Record
    deadline: float
    done: threading.Event = dataclasses.field(default_factory=threading.Event)
    appended: bool = False
    may_have_acted: bool = False
    reason: str = ""


class IntakeWriter:
    """Appends what callers hand in, each job's to its part.

    Args:
        platform: What the node runs on.
        on_appended: Called with the records of each acknowledged append.
    """

    def __init__(
        self,
        platform: ports.Platform,
        on_appended: Callable[[list[records.Record]], None],
    ) -> None:
        self._platform = platform
        self._on_appended = on_appended
        self._writers: dict[int, PartitionWriter] = {}
        self._lock = threading.Lock()

    def commit(self, record: records.Record, deadline: float) -> PendingRecord:
        """Appends a record; returns its outcome at the deadline at latest."""
        job = record.key.partition("/")[2]
        partition = records.choose_partition(job, self._platform.partitions)
        with self._lock:
            writer = self._writers.get(partition)
            if writer is None:
                writer = self._writers[partition] = PartitionWriter(
                    self._platform.store,
                    self._platform.intake_topic,
                    partition,
                    self._on_appended,
                )
                writer.start()
        return writer.commit(record, deadline)


class PartitionWriter:
    """Appends records of many callers together to one part of a topic.

    Args:
        store: The store.
        topic: The topic.
        partition: The part.
        on_appended: Called with the records of each acknowledged append.
    """

    def __init__(
        self,
        store: storage.Store,
        topic: str,
        partition: int,
        on_appended: Callable[[list[records.Record]], None],
    ) -> None:
        self._store = store
        self._topic = topic
        self._partition = partition
        self._timeout_s = MIN_TIMEOUT_S
        self._on_appended = on_appended
        self._waiting: list[PendingRecord] = []
        self._changed = threading.Condition()

    def start(self) -> None:
        """Starts the appending thread."""
        threads.start(self._run)

    def commit(self, record: records.Record, deadline: float) -> PendingRecord:
        """Appends a record; returns its outcome at the deadline at latest."""
        entry = PendingRecord(record, deadline)
        with self._changed:
            self._waiting.append(entry)
            self._changed.notify()
        entry.done.wait(max(0.0, deadline - clocks.get_steady_s()) + 0.05)
        return entry

    def _run(self) -> None:
        backoff_s = 0.0
        while True:
            with self._changed:
                while not self._waiting:
                    self._changed.wait()
                batch = self._waiting[:BATCH_RECORDS]
                del self._waiting[:BATCH_RECORDS]
            retried = self._append(batch)
            if not retried:
                backoff_s = 0.0
                continue
            backoff_s = min(MAX_BACKOFF_S, 2 * backoff_s or BACKOFF_S)
            time.sleep(backoff_s)
            with self._changed:
                self._waiting = retried + self._waiting

    def _append(self, batch: list[PendingRecord]) -> list[PendingRecord]:
        """Appends a batch; returns the entries that are to be tried again."""
        now = clocks.get_steady_s()
        left_s = max(entry.deadline for entry in batch) - now
        if left_s <= 0:
            return self._finish(batch, "late")
        answer = self._store.append(
            [entry.record for entry in batch],
            min(self._timeout_s, left_s),
            topic=self._topic,
            partition=self._partition,
        )
        took_s = clocks.get_steady_s() - now
        self._timeout_s = choose_timeout(
            self._timeout_s, took_s, isinstance(answer, outcomes.Ok)
        )
        if isinstance(answer, outcomes.Ok):
            self._on_appended([entry.record for entry in batch])
            for entry in batch:
                entry.appended = True
                entry.done.set()
            return []
        for entry in batch:
            entry.may_have_acted |= answer.may_have_acted
            entry.reason = answer.reason
        # What surely is not stored is told at once, for the caller to ask
        # another node; what may be stored is tried until its deadline.
        refused = [entry for entry in batch if not entry.may_have_acted]
        self._finish(refused, answer.reason)
        uncertain = [entry for entry in batch if entry.may_have_acted]
        now = clocks.get_steady_s()
        late = [entry for entry in uncertain if now >= entry.deadline]
        self._finish(late, answer.reason)
        return [entry for entry in uncertain if now < entry.deadline]

    def _finish(
        self, batch: list[PendingRecord], reason: str
    ) -> list[PendingRecord]:
        for entry in batch:
            entry.reason = entry.reason or reason
            entry.done.set()
        return []


def choose_timeout(before_s: float, took_s: float, answered: bool) -> float:
    """Chooses how long the next append is waited for.

    Args:
        before_s: How long the last one was waited for at most.
        took_s: How long it took.
        answered: Whether it was carried out.
    """
    timeout_s = TIMEOUT_FACTOR * took_s if answered else 2 * before_s
    return min(MAX_TIMEOUT_S, max(MIN_TIMEOUT_S, timeout_s))
