"""One stream's way from the pages of the log to events.

A reader whose next record is gone, or that starts far from the tail, looks
for the newest whole snapshot near the tail and, while there is none, further
back. It hands on the snapshot and the records after it. Until then it says
no TailReached, so that nothing is decided on a state with holes.
"""

import collections
import enum
from collections.abc import Iterator

from poplarspindle import events, outcomes, records, snapshots
from poplarspindle.clients import logservice

SEARCH_SPAN = 5000
MAX_KEPT_BYTES = 64 * 1024 * 1024


class Mode(enum.Enum):
    """What a replayer is doing."""

    FRESH = "fresh"
    READING = "reading"
    SEARCHING = "searching"
    RESET = "reset"


class Replayer:
    """Turns the pages of one stream into events, in order.

    Attributes:
        stream: The stream.
        position: Next offset wanted.

    Args:
        stream: The stream.
        open_snapshot: Checks and decodes a snapshot.
    """

    def __init__(self, stream: str, open_snapshot: snapshots.Opener) -> None:
        self.stream = stream
        self.position = 0
        self._open = open_snapshot
        self._mode = Mode.FRESH
        self._span = SEARCH_SPAN
        self._lost = False
        self._first = 0
        self._clear()

    def _clear(self) -> None:
        self._start = self.position
        self._floor = self.position
        self._kept: collections.deque[tuple[int, bytes]] = collections.deque()
        self._kept_bytes = 0
        self._assembly = snapshots.Assembly()
        self._best: tuple[int, snapshots.State] | None = None

    def take_page(
        self, page: logservice.Page, sent_at: float, now: float
    ) -> list[events.Event]:
        """Takes what one read found.

        Args:
            page: The page, read from `position` on.
            sent_at: When the read was sent, own clock.
            now: When its answer came, own clock.

        Returns:
            Events in order.
        """
        if page.next < self.position or self._mode is Mode.RESET:
            self._mode = Mode.RESET
            return self._lose(now, "offsets went back")
        if self._must_search(page):
            return self._start_search(page, now)
        if self._mode is Mode.FRESH:
            self._mode = Mode.READING
        if self._mode is Mode.READING:
            return list(self._read_page(page, sent_at, now))
        return self._search_page(page, sent_at, now)

    def _must_search(self, page: logservice.Page) -> bool:
        is_far = page.next - self.position > SEARCH_SPAN
        return _find_first(page) > self.position or (
            self._mode is Mode.FRESH and is_far
        )

    def _start_search(self, page: logservice.Page, now: float) -> list:
        was_reading = self._mode is Mode.READING
        self._mode = Mode.SEARCHING
        if _find_first(page) > self.position:
            self._first = _find_first(page)
        self.position = max(self._first, page.next - self._span)
        self._clear()
        if was_reading:
            return [events.RetentionPassed(now, self.stream, self._first)]
        return []

    def _read_page(
        self, page: logservice.Page, sent_at: float, now: float
    ) -> Iterator[events.Event]:
        for offset, payload in page.records:
            if offset >= self.position:
                yield from self._make_events(offset, payload, now)
                self.position = offset + 1
        if self.position >= page.next:
            yield events.TailReached(sent_at, self.stream, self.position - 1)

    def _make_events(
        self, offset: int, payload: bytes, now: float
    ) -> Iterator[events.Event]:
        batch, malformed = records.decode_batch(payload)
        for record in batch:
            yield events.RecordRead(now, self.stream, offset, record)
        if malformed:
            yield events.MalformedRead(now, self.stream, offset, malformed)

    def _search_page(
        self, page: logservice.Page, sent_at: float, now: float
    ) -> list[events.Event]:
        found = []
        for offset, payload in page.records:
            if offset < self.position:
                continue
            self._keep(offset, payload)
            found += self._find_snapshots(offset, payload, now)
            self.position = offset + 1
        if self.position < page.next:
            return found
        if self._best is not None:
            return [*found, *self._install(sent_at, now)]
        if self._start > self._first and not self._lost:
            self._span *= 2
            return [*found, *self._start_search(page, now)]
        if self._start == 0:
            self.position = 0
            self._mode = Mode.READING
            return found
        return [*found, *self._lose(now, "no whole snapshot is left")]

    def _keep(self, offset: int, payload: bytes) -> None:
        self._kept.append((offset, payload))
        self._kept_bytes += len(payload)
        while self._kept_bytes > MAX_KEPT_BYTES and self._best is None:
            self._drop_kept()

    def _drop_kept(self) -> None:
        offset, payload = self._kept.popleft()
        self._kept_bytes -= len(payload)
        self._floor = offset + 1

    def _find_snapshots(
        self, offset: int, payload: bytes, now: float
    ) -> list[events.Event]:
        batch, _ = records.decode_batch(payload)
        chunks = [r for r in batch if isinstance(r, records.SnapshotChunk)]
        whole = [self._assembly.add(offset, chunk) for chunk in chunks]
        return [
            event
            for snapshot in whole
            if snapshot is not None
            for event in self._consider(snapshot, now)
        ]

    def _consider(
        self, snapshot: snapshots.Snapshot, now: float
    ) -> list[events.Event]:
        """Keeps a whole snapshot if it is the newest of use."""
        least = self._best[0] + 1 if self._best else self._floor - 1
        if snapshot.covers < least:
            return []
        match self._open(self.stream, snapshot):
            case outcomes.Failed() as failed:
                return [events.SnapshotRefused(now, self.stream, failed.reason)]
            case outcomes.Ok(state):
                self._best = (snapshot.covers, state)
        while self._kept and self._kept[0][0] <= snapshot.covers:
            self._drop_kept()
        return []

    def _install(self, sent_at: float, now: float) -> list[events.Event]:
        covers, state = self._best
        found = [events.SnapshotRead(now, self.stream, covers, state)]
        for offset, payload in self._kept:
            found += self._make_events(offset, payload, now)
        self._mode = Mode.READING
        self._lost = False
        self._span = SEARCH_SPAN
        self._clear()
        tail = events.TailReached(sent_at, self.stream, self.position - 1)
        return [*found, tail]

    def _lose(self, now: float, reason: str) -> list[events.Event]:
        """Says once that the state is lost; goes on looking."""
        if self._lost:
            return []
        self._lost = True
        return [events.StateLost(now, self.stream, reason)]


def _find_first(page: logservice.Page) -> int:
    """Returns the first offset that a reader of the page can still get."""
    found = (offset for offset, _ in page.records)
    return max(page.first, next(found, page.first))
