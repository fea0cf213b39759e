"""Stand-in of the platform's log service."""

import threading
import time
import urllib.parse

import msgpack

from poplarspindle import serving


class FakeLog:
    """Streams of payloads in memory, with faults to switch on.

    Attributes:
        down: Whether every call is answered with 503.
        lose_acks: How many of the next appends take effect unconfirmed.
        duplicate: How many of the next appends are stored twice.
        slow_s: Delay of each call.
    """

    def __init__(self) -> None:
        self._condition = threading.Condition()
        self._streams: dict[str, list[bytes]] = {}
        self._firsts: dict[str, int] = {}
        self.down = False
        self.lose_acks = 0
        self.duplicate = 0
        self.slow_s = 0.0
        self.appends = 0
        self.bytes = 0

    def append(self, stream: str, payload: bytes) -> int:
        """Stores a payload and returns its offset."""
        with self._condition:
            kept = self._streams.setdefault(stream, [])
            kept.append(payload)
            self.appends += 1
            self.bytes += len(payload)
            offset = self._firsts.get(stream, 0) + len(kept) - 1
            if self.duplicate > 0:
                self.duplicate -= 1
                kept.append(payload)
            self._condition.notify_all()
            return offset

    def read(
        self, positions: dict[str, int], limit: int, wait_s: float
    ) -> dict:
        """Reads several streams; waits where there is nothing new."""
        deadline = time.monotonic() + wait_s
        with self._condition:
            while not any(self._count(s) > p for s, p in positions.items()):
                left = deadline - time.monotonic()
                if left <= 0 or self.down:
                    break
                self._condition.wait(left)
            return {
                stream: self._page(stream, position, limit)
                for stream, position in positions.items()
            }

    def trim(self, stream: str, first: int) -> None:
        """Drops the records before an offset, as retention does."""
        with self._condition:
            old = self._firsts.get(stream, 0)
            cut = max(0, min(first - old, len(self._streams.get(stream, ()))))
            self._streams.setdefault(stream, [])[:cut] = []
            self._firsts[stream] = old + cut

    def list_streams(self) -> tuple[str, ...]:
        """Returns the names of all streams."""
        with self._condition:
            return tuple(self._streams)

    def count(self, stream: str) -> int:
        """Returns the offset that the next append will get."""
        with self._condition:
            return self._count(stream)

    def _count(self, stream: str) -> int:
        first = self._firsts.get(stream, 0)
        return first + len(self._streams.get(stream, ()))

    def _page(self, stream: str, position: int, limit: int) -> dict:
        first = self._firsts.get(stream, 0)
        kept = self._streams.get(stream, [])
        start = max(position, first)
        chosen = kept[start - first : start - first + limit]
        return {
            "first": first,
            "next": first + len(kept),
            "records": [[start + i, p] for i, p in enumerate(chosen)],
        }

    def handle(self, request: serving.Request) -> serving.Response:
        """Serves `/append` and `/read`."""
        if self.slow_s:
            time.sleep(self.slow_s)
        if self.down:
            return serving.Response(503)
        body = msgpack.unpackb(request.body)
        if request.path == "/append":
            query = urllib.parse.parse_qs(request.query)
            offset = self.append(query["stream"][0], body)
            if self.lose_acks > 0:
                self.lose_acks -= 1
                return serving.Response(504)
            return serving.Response(200, msgpack.packb(offset))
        if request.path == "/read":
            pages = self.read(
                body["positions"], body["limit"], body["wait_ms"] / 1000
            )
            return serving.Response(200, msgpack.packb(pages))
        return serving.Response(404)
