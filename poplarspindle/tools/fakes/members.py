"""Stand-in of the platform's lagging instance list."""

import threading
import time

import msgpack

from poplarspindle import http_server, reports
from poplarspindle.clients import transport


class FakeList:
    """The list as it was `lag_s` ago.

    Attributes:
        lag_s: How late the list is.
        down: Whether every call is answered with 503.
    """

    def __init__(self, lag_s: float = 0.0) -> None:
        self._lock = threading.Lock()
        self._history: list[tuple[float, dict[str, reports.Member]]] = []
        self._now: dict[str, reports.Member] = {}
        self.lag_s = lag_s
        self.down = False

    def put(self, *members: reports.Member) -> None:
        """Adds or replaces entries."""
        with self._lock:
            self._now = {**self._now, **{m.name: m for m in members}}
            self._history.append((time.monotonic(), self._now))

    def remove(self, name: str) -> None:
        """Removes an entry."""
        with self._lock:
            self._now = {k: v for k, v in self._now.items() if k != name}
            self._history.append((time.monotonic(), self._now))

    def fetch(self) -> tuple[reports.Member, ...]:
        """Returns the entries as the platform shows them now."""
        return tuple(self._find_shown()[1].values())

    def _find_shown(self) -> tuple[int, dict[str, reports.Member]]:
        """Returns the version and the entries as shown now."""
        shown_at = time.monotonic() - self.lag_s
        with self._lock:
            shown = [table for at, table in self._history if at <= shown_at]
            return len(shown), shown[-1] if shown else {}

    def _answer(self, known: object) -> dict:
        version, table = self._find_shown()
        members = [transport.converter.unstructure(m) for m in table.values()]
        return {
            "version": version,
            "members": None if version == known else members,
        }

    def handle(self, request: http_server.Request) -> http_server.Response:
        """Serves `/members` and `/announce`."""
        if self.down:
            return http_server.Response(503)
        if request.path == "/members":
            known = msgpack.unpackb(request.body)["version"]
            return http_server.Response(200, msgpack.packb(self._answer(known)))
        if request.path == "/announce":
            self.put(
                transport.converter.structure(
                    msgpack.unpackb(request.body), reports.Member
                )
            )
            return http_server.Response(200, msgpack.packb(True))
        return http_server.Response(404)
