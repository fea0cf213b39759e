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
from poplarspindle.node import ports, storage, threads

PATIENCE_LEAST_S = 1.2  # A slow store takes hundreds of milliseconds.
PATIENCE_MOST_S = 2.6  # The store refuses what would wait for over 2 s.
PATIENCE_FACTOR = 6  # Times what the last append took.
BACKOFF_S = 0.05
BACKOFF_MOST_S = 0.4
BATCH_RECORDS = 200


@dataclasses.dataclass(slots=True)
class Entry:
    """One record that waits for its append.

    Attributes:
        record: The record.
        deadline: When its caller gives up, monotonic seconds.
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


class HandIns:
    """Appends what callers hand in, each job's to its part.

    Args:
        platform: What the node runs on.
        applied: Called with the records of each acknowledged append.
    """

    def __init__(
        self,
        platform: ports.Platform,
        applied: Callable[[list[records.Record]], None],
    ) -> None:
        self._platform = platform
        self._applied = applied
        self._parts: dict[int, Commits] = {}
        self._lock = threading.Lock()

    def commit(self, record: records.Record, deadline: float) -> Entry:
        """Appends a record; returns its outcome at the deadline at latest."""
        job = record.key.partition("/")[2]
        part = records.choose_partition(job, self._platform.parts)
        with self._lock:
            commits = self._parts.get(part)
            if commits is None:
                commits = self._parts[part] = Commits(
                    self._platform.store,
                    self._platform.hand_ins_topic,
                    part,
                    self._applied,
                )
                commits.start()
        return commits.commit(record, deadline)


class Commits:
    """Appends records of many callers together to one part of a topic.

    Args:
        store: The store.
        topic: The topic.
        part: The part.
        applied: Called with the records of each acknowledged append.
    """

    def __init__(
        self,
        store: storage.Store,
        topic: str,
        part: int,
        applied: Callable[[list[records.Record]], None],
    ) -> None:
        self._store = store
        self._topic = topic
        self._part = part
        self._patience_s = PATIENCE_LEAST_S
        self._applied = applied
        self._waiting: list[Entry] = []
        self._changed = threading.Condition()

    def start(self) -> None:
        """Starts the appending thread."""
        threads.start(self._run)

    def commit(self, record: records.Record, deadline: float) -> Entry:
        """Appends a record; returns its outcome at the deadline at latest."""
        entry = Entry(record, deadline)
        with self._changed:
            self._waiting.append(entry)
            self._changed.notify()
        entry.done.wait(max(0.0, deadline - time.monotonic()) + 0.05)
        return entry

    def _run(self) -> None:
        backoff_s = 0.0
        while True:
            with self._changed:
                while not self._waiting:
                    self._changed.wait()
                batch = self._waiting[:BATCH_RECORDS]
                del self._waiting[:BATCH_RECORDS]
            again = self._append(batch)
            if not again:
                backoff_s = 0.0
                continue
            backoff_s = min(BACKOFF_MOST_S, 2 * backoff_s or BACKOFF_S)
            time.sleep(backoff_s)
            with self._changed:
                self._waiting = again + self._waiting

    def _append(self, batch: list[Entry]) -> list[Entry]:
        """Appends a batch; returns the entries that are to be tried again."""
        now = time.monotonic()
        left_s = max(entry.deadline for entry in batch) - now
        if left_s <= 0:
            return self._give_up(batch, "late")
        answer = self._store.append(
            [entry.record for entry in batch],
            min(self._patience_s, left_s),
            topic=self._topic,
            part=self._part,
        )
        took_s = time.monotonic() - now
        self._patience_s = choose_patience(
            self._patience_s, took_s, isinstance(answer, outcomes.Ok)
        )
        if isinstance(answer, outcomes.Ok):
            self._applied([entry.record for entry in batch])
            for entry in batch:
                entry.appended = True
                entry.done.set()
            return []
        for entry in batch:
            entry.may_have_acted |= answer.may_have_acted
            entry.reason = answer.reason
        # What surely is not stored is told at once, for the caller to ask
        # another node; what may be stored is tried until its deadline.
        sure = [entry for entry in batch if not entry.may_have_acted]
        self._give_up(sure, answer.reason)
        unsure = [entry for entry in batch if entry.may_have_acted]
        now = time.monotonic()
        late = [entry for entry in unsure if now >= entry.deadline]
        self._give_up(late, answer.reason)
        return [entry for entry in unsure if now < entry.deadline]

    def _give_up(self, batch: list[Entry], reason: str) -> list[Entry]:
        for entry in batch:
            entry.reason = entry.reason or reason
            entry.done.set()
        return []


def choose_patience(before_s: float, took_s: float, answered: bool) -> float:
    """Chooses how long the next append is waited for.

    Args:
        before_s: How long the last one was waited for at most.
        took_s: How long it took.
        answered: Whether it was carried out.
    """
    wanted_s = PATIENCE_FACTOR * took_s if answered else 2 * before_s
    return min(PATIENCE_MOST_S, max(PATIENCE_LEAST_S, wanted_s))
