"""Stand-in of the platform's log service."""

import threading
import time
import urllib.parse

import msgpack

from poplarspindle import http_server

MOST_BYTES = 1 << 20


class FakeLog:
    """Streams of payloads in memory, with faults to switch on.

    Attributes:
        down: Whether every call is answered with 503.
        lose_acks: How many of the next appends take effect unconfirmed.
        duplicate: How many of the next appends are stored twice.
        slow_s: Delay of each call.
        stuck: Streams whose appends are answered with 503.
        most_bytes: Larger payloads are answered with 413.
        hold_late: How many of the next appends are answered with 504 and
            take effect only at `land_late`.
        garble: How many of the next answers are not msgpack.
        keep: Number of records kept per stream, 0 for all.
    """

    def __init__(self) -> None:
        self._condition = threading.Condition()
        self._streams: dict[str, list[bytes]] = {}
        self._firsts: dict[str, int] = {}
        self.down = False
        self.lose_acks = 0
        self.duplicate = 0
        self.slow_s = 0.0
        self.stuck: set[str] = set()
        self.most_bytes = MOST_BYTES
        self.hold_late = 0
        self.garble = 0
        self.keep = 0
        self._late: list[tuple[str, bytes]] = []
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
            if self.keep:
                self._trim(stream, self._count(stream) - self.keep)
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
            self._trim(stream, first)

    def _trim(self, stream: str, first: int) -> None:
        old = self._firsts.get(stream, 0)
        cut = max(0, min(first - old, len(self._streams.get(stream, ()))))
        self._streams.setdefault(stream, [])[:cut] = []
        self._firsts[stream] = old + cut

    def land_late(self) -> None:
        """Lets the appends that were held back take effect, in order."""
        late, self._late = self._late, []
        for stream, payload in late:
            self.append(stream, payload)

    def restart(self) -> None:
        """Ends all waiting reads, as a restart of the service does."""
        with self._condition:
            self._condition.notify_all()

    def clear(self, stream: str) -> None:
        """Forgets a stream wholly; its offsets start again at 0."""
        with self._condition:
            self._streams.pop(stream, None)
            self._firsts.pop(stream, None)

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

    def handle(self, request: http_server.Request) -> http_server.Response:
        """Serves `/append` and `/read`."""
        if self.slow_s:
            time.sleep(self.slow_s)
        if self.down:
            return http_server.Response(503)
        if request.path not in ("/append", "/read"):
            return http_server.Response(404)
        try:
            body = msgpack.unpackb(request.body)
        except ValueError:
            return http_server.Response(400)
        if request.path == "/append":
            return self._serve_append(request, body)
        pages = self.read(
            body["positions"], body["limit"], body["wait_ms"] / 1000
        )
        if self.down:
            return http_server.Response(503)
        return self._answer(pages)

    def _serve_append(
        self, request: http_server.Request, body: bytes
    ) -> http_server.Response:
        (stream,) = urllib.parse.parse_qs(request.query)["stream"]
        if len(body) > self.most_bytes:
            return http_server.Response(413)
        if stream in self.stuck:
            return http_server.Response(503)
        if self.hold_late > 0:
            self.hold_late -= 1
            self._late.append((stream, body))
            return http_server.Response(504)
        offset = self.append(stream, body)
        if self.lose_acks > 0:
            self.lose_acks -= 1
            return http_server.Response(504)
        return self._answer(offset)

    def _answer(self, body: object) -> http_server.Response:
        if self.garble > 0:
            self.garble -= 1
            return http_server.Response(200, b"\xc1")
        return http_server.Response(200, msgpack.packb(body))
