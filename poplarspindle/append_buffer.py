"""What waits for one stream of the log, and what is being appended to it.

A lane decides by the times it is given; `appender` runs it on a clock. Every
record is safe to read twice, so a batch whose append failed is sent again.
"""

import dataclasses
import enum
import itertools
import random
from collections.abc import Mapping

from poplarspindle import records

BACKOFF_FIRST_S = 0.05
MAX_BACKOFF_S = 2.0
SNAPSHOT_LEASES = 10
REFUSED_SIZE = "status-413"
REFUSED_CONTENT = "status-400"


@dataclasses.dataclass(frozen=True, slots=True)
class CommitBounds:
    """Bounds of group commit.

    Attributes:
        delay_s: Greatest time a record waits for others, seconds.
        records: Greatest number of records in one append.
        bytes: Greatest size of one append, unless one record is larger.
        rate: Greatest number of appends a second over all streams.
        buffer_bytes: Greatest size of what waits for one stream.
    """

    delay_s: float = 0.02
    records: int = 200
    bytes: int = 65536
    rate: float = 30.0
    buffer_bytes: int = 8 * 1024 * 1024


class AddOutcome(enum.StrEnum):
    """What became of a record given to a lane."""

    QUEUED = "queued"
    COALESCED = "append-coalesced"
    FULL = "append-buffer-full"


@dataclasses.dataclass(frozen=True, slots=True)
class BufferedRecord:
    """One encoded record that waits.

    Attributes:
        encoded: The record as it goes into a batch.
        kind: Type of the record.
        added_at: When it was added, seconds on the lane's clock.
    """

    encoded: bytes
    kind: type
    added_at: float


class AppendBuffer:
    """Records for one stream, in order.

    Args:
        bounds: Bounds of group commit.
        lifetimes: Greatest age by kind of record, seconds. An older one is
            dropped: it states a wish that no longer holds.
        seed: Seed of the back-off's jitter.
    """

    def __init__(
        self, bounds: CommitBounds, lifetimes: Mapping[type, float], seed: int
    ) -> None:
        self._bounds = bounds
        self._lifetimes = lifetimes
        self._rng = random.Random(seed)
        self._waiting: dict[bytes, BufferedRecord] = {}
        self._waiting_bytes = 0
        self._batch: dict[bytes, BufferedRecord] = {}
        self._backoff_s = BACKOFF_FIRST_S
        self._retry_at = float("-inf")

    def __len__(self) -> int:
        return len(self._waiting) + len(self._batch)

    def add(self, record: records.Record, now: float) -> AddOutcome:
        """Takes a record; an equal one that still waits stands for both."""
        encoded = records.encode_record(record)
        if encoded in self._waiting or encoded in self._batch:
            return AddOutcome.COALESCED
        if self._waiting_bytes + len(encoded) > self._bounds.buffer_bytes:
            return AddOutcome.FULL
        self._waiting[encoded] = BufferedRecord(encoded, type(record), now)
        self._waiting_bytes += len(encoded)
        return AddOutcome.QUEUED

    def _select_living(
        self, items: dict[bytes, BufferedRecord], now: float
    ) -> dict[bytes, BufferedRecord]:
        return {
            encoded: item
            for encoded, item in items.items()
            if now - item.added_at
            <= self._lifetimes.get(item.kind, float("inf"))
        }

    def find_due(self) -> float | None:
        """Returns when the next append is due, None where nothing waits."""
        if self._batch:
            return self._retry_at
        oldest = next(iter(self._waiting.values()), None)
        if oldest is None:
            return None
        full = (
            len(self._waiting) >= self._bounds.records
            or self._waiting_bytes >= self._bounds.bytes
        )
        return oldest.added_at + (0.0 if full else self._bounds.delay_s)

    def take(self, now: float) -> tuple[bytes, int]:
        """Returns the next payload; it stays until confirmed.

        Returns:
            The batch that failed last, else a new one, empty if none waits;
            and how many records were dropped as past their lifetime.
        """
        expired = 0
        while self._batch or self._waiting:
            picked = self._batch or self._pick_batch()
            self._batch = self._select_living(picked, now)
            expired += len(picked) - len(self._batch)
            if self._batch:
                return records.join_batch(tuple(self._batch)), expired
        return b"", expired

    def _pick_batch(self) -> dict[bytes, BufferedRecord]:
        sizes = itertools.accumulate(map(len, self._waiting))
        within = (
            sum(1 for _ in itertools.takewhile(self._is_within, sizes)) or 1
        )
        count = min(within, self._bounds.records)
        picked = dict(itertools.islice(self._waiting.items(), count))
        for encoded in picked:
            del self._waiting[encoded]
            self._waiting_bytes -= len(encoded)
        return picked

    def _is_within(self, size: int) -> bool:
        return size <= self._bounds.bytes

    def confirm(self) -> None:
        """Forgets the batch: the log has it."""
        self._batch = {}
        self._backoff_s = BACKOFF_FIRST_S

    def fail(self, reason: str, now: float) -> int:
        """Keeps the batch for another try after a back-off.

        A batch that the log refuses for its size or content is halved, down
        to the one record at fault, which is dropped.

        Args:
            reason: Reason of the failure.
            now: The present time.

        Returns:
            Number of records dropped.
        """
        if reason in (REFUSED_SIZE, REFUSED_CONTENT):
            return self._halve_batch(now)
        self._retry_at = now + self._backoff_s * self._rng.uniform(0.5, 1.0)
        self._backoff_s = min(self._backoff_s * 2, MAX_BACKOFF_S)
        return 0

    def _halve_batch(self, now: float) -> int:
        self._retry_at = now
        if len(self._batch) == 1:
            self._batch = {}
            return 1
        half = len(self._batch) // 2
        rest = dict(itertools.islice(self._batch.items(), half, None))
        self._batch = dict(itertools.islice(self._batch.items(), half))
        self._waiting = {**rest, **self._waiting}
        self._waiting_bytes += sum(map(len, rest))
        return 0


def list_lifetimes(lease_s: float, deadline_s: float) -> Mapping[type, float]:
    """Returns how long records may wait for the log.

    A wish (claim, placement, eviction, move) holds only as long as its
    author may act on it. A fact (running, stopped, ended, received) holds
    for ever and is never dropped.

    Args:
        lease_s: Lease of an owner on its data centre.
        deadline_s: Deadline of a request.
    """
    return {
        records.OwnershipClaimed: lease_s,
        records.OwnershipRenewed: lease_s,
        records.TaskPlaced: lease_s,
        records.TaskResized: lease_s,
        records.TaskEvicted: lease_s,
        records.TaskMoved: lease_s,
        records.SnapshotChunk: lease_s * SNAPSHOT_LEASES,
        records.TicketClaimed: deadline_s,
    }
