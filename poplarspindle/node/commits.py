"""Group commit of what callers hand in: one append for all that wait."""

import dataclasses
import threading
import time
from collections.abc import Callable

from poplarspindle import outcomes
from poplarspindle.fleet import records
from poplarspindle.node import storage, threads

APPEND_S = 1.2  # An append to a slow store takes hundreds of milliseconds.
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


class Commits:
    """Appends records of many callers together.

    Args:
        store: The store.
        applied: Called with the records of each acknowledged append.
    """

    def __init__(
        self,
        store: storage.Store,
        applied: Callable[[list[records.Record]], None],
    ) -> None:
        self._store = store
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
            [entry.record for entry in batch], min(APPEND_S, left_s)
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
