"""Stand-in of a minion, with a ledger of what it really ran."""

import dataclasses
import hashlib
import random
import socket
import threading
import time

from poplarspindle import http_server

REQUEST_ID_HEADER = "Request-Id"


@dataclasses.dataclass(frozen=True)
class Execution:
    """One line of the ledger: a request that really ran."""

    request: str
    minion: str
    at: float
    body_hash: str


def compute_answer(request: str, body: bytes) -> bytes:
    """Returns the only right answer to a request."""
    digest = hashlib.sha256(request.encode() + b"\0" + body).hexdigest()
    return f"{request}:{digest}".encode()


class FakeMinion:
    """One minion.

    Attributes:
        silent: Whether it takes requests and never answers.
        failing: Whether it refuses everything.
        executes_twice: Whether it runs every request twice, as a planted
            break.
        slow_factor: Factor on its service time.
        hard_slots: Whether it refuses a request that finds no slot, in place
            of queueing it.
    """

    def __init__(
        self,
        name: str,
        ledger: list[Execution],
        slots: int = 8,
        service_s: float = 0.005,
        seed: int = 0,
    ) -> None:
        self.name = name
        self.silent = False
        self.failing = False
        self.executes_twice = False
        self.slow_factor = 1.0
        self.hard_slots = True
        self._ledger = ledger
        self._slots = threading.BoundedSemaphore(slots)
        self._service_s = service_s
        self._rng = random.Random(seed)
        self._released = threading.Event()

    def release(self) -> None:
        """Ends the silence of all requests held."""
        self._released.set()

    def handle(self, request: http_server.Request) -> http_server.Response:
        """Runs a request, or refuses it before running."""
        name = request.headers.get("request-id", "")
        if self.failing or not self._slots.acquire(
            blocking=not self.hard_slots
        ):
            return http_server.Response(503, headers=(("Refused", "slots"),))
        try:
            return self._run(name, request.body)
        finally:
            self._slots.release()

    def _run(self, name: str, body: bytes) -> http_server.Response:
        times = 2 if self.executes_twice else 1
        digest = hashlib.sha256(body).hexdigest()
        for _ in range(times):
            self._ledger.append(
                Execution(name, self.name, time.monotonic(), digest)
            )
        if self.silent:
            self._released.wait()
            return http_server.Response(503)
        spread = self._rng.lognormvariate(0, 0.5)
        time.sleep(self._service_s * self.slow_factor * spread)
        return http_server.Response(
            200,
            compute_answer(name, body),
            ((REQUEST_ID_HEADER, name),),
        )


def find_free_address() -> str:
    """Returns a loopback address with a port nobody listens on."""
    with socket.socket() as probe:
        probe.bind(("127.0.0.1", 0))
        host, port = probe.getsockname()
        return f"{host}:{port}"
