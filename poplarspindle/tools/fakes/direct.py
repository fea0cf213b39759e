"""Calls to a stand-in within the process, without connections."""

import urllib.parse
from collections.abc import Callable

import msgpack

from poplarspindle import http_server, outcomes


class DirectTransport:
    """Takes the place of a transport in tests that need no sockets.

    Args:
        handle: The stand-in's handler.
    """

    def __init__(
        self, handle: Callable[[http_server.Request], http_server.Response]
    ) -> None:
        self._handle = handle

    def call(
        self,
        step: outcomes.Step,
        url: str,
        body: object = None,
        extra_s: float = 0.0,
    ) -> outcomes.Ok[object] | outcomes.Failed:
        """Hands a msgpack body to the stand-in and reads its answer."""
        parts = urllib.parse.urlsplit(url)
        packed = msgpack.packb(body)
        request = http_server.Request(
            "POST", parts.path, parts.query, {}, packed, ""
        )
        answer = self._handle(request)
        if answer.status != 200:
            reason = f"status-{answer.status}"
            return outcomes.Failed(step, url, reason, "", answer.status >= 500)
        try:
            return outcomes.Ok(msgpack.unpackb(answer.body))
        except ValueError as error:
            return outcomes.Failed(step, url, "malformed", str(error), True)
