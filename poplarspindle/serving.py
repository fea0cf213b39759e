"""HTTP serving by cheroot: one small routing table per program."""

import dataclasses
import threading
from collections.abc import Callable, Mapping

from cheroot import wsgi

BODY_MOST_BYTES = 8 * 1024 * 1024
STATUS_TEXTS = {
    200: "OK",
    202: "Accepted",
    400: "Bad Request",
    404: "Not Found",
    405: "Method Not Allowed",
    409: "Conflict",
    410: "Gone",
    413: "Content Too Large",
    429: "Too Many Requests",
    500: "Internal Server Error",
    502: "Bad Gateway",
    503: "Service Unavailable",
    504: "Gateway Timeout",
}


@dataclasses.dataclass(frozen=True, slots=True)
class Request:
    """One HTTP request.

    Attributes:
        method: Method in capitals.
        path: Path without the query.
        query: Raw query string.
        headers: Header by name in lower case.
        body: The whole body.
        peer: Address of the caller.
    """

    method: str
    path: str
    query: str
    headers: Mapping[str, str]
    body: bytes
    peer: str


@dataclasses.dataclass(frozen=True, slots=True)
class Response:
    """One HTTP answer."""

    status: int
    body: bytes = b""
    headers: tuple[tuple[str, str], ...] = ()
    content_type: str = "application/octet-stream"


Handle = Callable[[Request], Response]


def read_request(environ: dict) -> Request:
    """Reads a WSGI environment."""
    headers = {
        key[5:].replace("_", "-").lower(): value
        for key, value in environ.items()
        if key.startswith("HTTP_")
    }
    if environ.get("CONTENT_TYPE"):
        headers["content-type"] = environ["CONTENT_TYPE"]
    length = int(environ.get("CONTENT_LENGTH") or 0)
    return Request(
        environ["REQUEST_METHOD"],
        environ["PATH_INFO"],
        environ.get("QUERY_STRING", ""),
        headers,
        environ["wsgi.input"].read(length),
        environ.get("REMOTE_ADDR", ""),
    )


def make_application(handle: Handle) -> Callable:
    """Makes a WSGI application of a handler."""

    def application(environ, start_response):
        answer = handle(read_request(environ))
        text = STATUS_TEXTS.get(answer.status, "Status")
        start_response(
            f"{answer.status} {text}",
            [
                ("Content-Type", answer.content_type),
                ("Content-Length", str(len(answer.body))),
                *answer.headers,
            ],
        )
        return [answer.body]

    return application


class Server:
    """A cheroot server on its own thread.

    Args:
        address: `host:port`; port 0 lets the system choose.
        handle: Called for each request, from several threads.
        threads: Number of threads.
        shutdown_s: Time that `stop` gives to requests in flight.
    """

    def __init__(
        self, address: str, handle: Handle, threads: int, shutdown_s: float = 5
    ) -> None:
        host, _, port = address.rpartition(":")
        self._server = wsgi.Server(
            (host, int(port)),
            make_application(handle),
            numthreads=threads,
            shutdown_timeout=shutdown_s,
            request_queue_size=256,
            server_name="poplarspindle",
        )
        self._server.max_request_body_size = BODY_MOST_BYTES
        self._thread = threading.Thread(target=self._serve, daemon=True)

    def _serve(self) -> None:
        self._server.serve()

    def start(self) -> str:
        """Binds and serves; returns the address in use."""
        self._server.prepare()
        self._thread.start()
        host, port = self._server.bind_addr[:2]
        return f"{host}:{port}"

    def stop(self) -> None:
        """Ends accepting, lets requests in flight finish, and returns."""
        self._server.stop()
        self._thread.join()
