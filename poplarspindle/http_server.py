"""HTTP serving by cheroot: one small routing table per program.

Requests whose length could be read in two ways are refused before they reach
a handler, since a balancer in front may have read them the other way.
"""

import dataclasses
import threading
import time
from collections.abc import Callable, Mapping

from cheroot import errors, server, wsgi

from poplarspindle import streams

MAX_BODY_BYTES = 8 * 1024 * 1024
MAX_HEAD_BYTES = 64 * 1024
CALLER_READ_S = 10.0
SINGLE_HEADERS = frozenset(
    (
        b"Content-Length",
        b"Transfer-Encoding",
        b"Host",
        b"Request-Id",
        b"Idempotent",
        b"Deadline-Ms",
    )
)
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
        arrived_at: When its first bytes were there to read, monotonic
            seconds.
        waited_s: How long it then waited for a thread.
    """

    method: str
    path: str
    query: str
    headers: Mapping[str, str]
    body: bytes
    peer: str
    arrived_at: float = 0.0
    waited_s: float = 0.0


@dataclasses.dataclass(frozen=True, slots=True)
class Response:
    """One HTTP answer."""

    status: int
    body: bytes = b""
    headers: tuple[tuple[str, str], ...] = ()
    content_type: str = "application/octet-stream"


Handle = Callable[[Request], Response]
Count = Callable[[str], None]


class _Headers(dict):
    """Request headers that refuse what can be read in two ways."""

    def __setitem__(self, name: bytes, value: bytes) -> None:
        if name in SINGLE_HEADERS and name in self:
            raise ValueError("A header stands twice.")
        if not value.isascii() or not value.decode("ascii").isprintable():
            raise ValueError("A header has control characters.")
        if name == b"Content-Length" and not value.isdigit():
            raise ValueError("Malformed Content-Length Header.")
        if name == b"Transfer-Encoding" and value.lower() != b"chunked":
            raise ValueError("Only chunked is understood.")
        super().__setitem__(name, value)


class _HeaderReader(server.HeaderReader):
    """Reads headers; names that may pass for others are refused."""

    def __call__(self, rfile, hdict=None):
        """Reads all headers of a request."""
        headers = super().__call__(rfile, hdict)
        if b"Content-Length" in headers and b"Transfer-Encoding" in headers:
            raise ValueError("Both a length and a transfer coding.")
        return headers

    def _transform_key(self, key_name):
        if key_name != key_name.strip() or b"_" in key_name:
            raise ValueError("Illegal blank or underscore in a name.")
        return super()._transform_key(key_name)


class _HttpRequest(server.HTTPRequest):
    """One request of cheroot, answered in one write."""

    header_reader = _HeaderReader()

    def __init__(self, *arguments, **options) -> None:
        super().__init__(*arguments, **options)
        self.inheaders = _Headers()

    def parse_request(self) -> None:
        """Reads the request's head within the time allowed."""
        now = time.monotonic()
        self.conn.waited_s = now - self.conn.arrived_at
        self.conn.socket.begin(now + self.server.timeout)
        super().parse_request()
        self.conn.wfile.flush()

    def respond(self) -> None:
        """Answers, and sends head and body in one piece."""
        super().respond()
        self.conn.wfile.flush()

    def simple_response(self, status, msg="") -> None:
        """Refuses a request that never reached the handler."""
        self.conn.server.count(f"http-{str(status)[:3]}")
        self.conn.socket.begin(time.monotonic() + self.server.timeout)
        super().simple_response(status, msg)
        self.conn.wfile.flush()


class _Connection(server.HTTPConnection):
    """One connection of a caller."""

    RequestHandlerClass = _HttpRequest

    def __init__(self, server, sock, makefile=None) -> None:
        super().__init__(server, streams.DeadlineSocket.adopt(sock), _make_file)
        self.arrived_at = time.monotonic()
        self.waited_s = 0.0


def _make_file(stream: streams.DeadlineSocket, mode: str, _: int):
    return stream.makefile("rb") if "r" in mode else streams.Writer(stream)


class _Gateway(server.Gateway):
    """Hands a request to the handler."""

    def respond(self) -> None:
        """Reads the body, calls the handler and writes its answer."""
        req = self.req
        try:
            request = read_request(req)
        except (errors.MaxSizeExceeded, ValueError) as error:
            large = isinstance(error, errors.MaxSizeExceeded)
            req.close_connection = True
            req.sent_headers = True
            req.simple_response(
                "413 Content Too Large" if large else "400 Bad Request"
            )
            return
        answer = req.server.handle(request)
        req.conn.socket.begin(time.monotonic() + req.server.timeout)
        text = STATUS_TEXTS.get(answer.status, "Status")
        req.status = f"{answer.status} {text}".encode("ascii")
        req.outheaders = [
            (name.encode("latin-1"), value.encode("latin-1"))
            for name, value in (
                ("Content-Type", answer.content_type),
                ("Content-Length", str(len(answer.body))),
                *answer.headers,
            )
        ]
        req.ensure_headers_sent()
        req.write(answer.body)


def read_request(req: server.HTTPRequest) -> Request:
    """Reads the rest of a request whose head was read.

    Raises:
        ValueError: The body is short or badly chunked.
        errors.MaxSizeExceeded: The body is too large.
    """
    body = req.rfile.read()
    wanted = int(req.inheaders.get(b"Content-Length", b"0"))
    if not req.chunked_read and len(body) != wanted:
        raise ValueError("short body")
    return Request(
        req.method.decode("latin-1"),
        req.path.decode("latin-1"),
        req.qs.decode("latin-1"),
        {
            name.decode("latin-1").lower(): value.decode("latin-1")
            for name, value in req.inheaders.items()
        },
        body,
        req.conn.remote_addr or "",
        req.conn.arrived_at,
        req.conn.waited_s,
    )


class _Server(wsgi.Server):
    """A cheroot server that calls a handler without WSGI between."""

    ConnectionClass = _Connection
    handle: Handle
    count: Count

    def process_conn(self, conn) -> None:
        """Queues a connection that has data; its wait counts from here."""
        conn.arrived_at = time.monotonic()
        super().process_conn(conn)


class Server:
    """A cheroot server on its own thread.

    Args:
        address: `host:port`; port 0 lets the system choose.
        handle: Called for each request, from several threads.
        threads: Number of threads.
        shutdown_s: Time that `stop` gives to requests in flight.
        caller_s: Time that a caller has for each of sending a head, sending
            a body and taking an answer.
        count: Called with `http-<status>` for each request refused before
            it reached the handler.
    """

    def __init__(
        self,
        address: str,
        handle: Handle,
        threads: int,
        shutdown_s: float = 5,
        caller_s: float = CALLER_READ_S,
        count: Count = lambda reason: None,
    ) -> None:
        host, _, port = address.rpartition(":")
        self._server = _Server(
            (host, int(port)),
            None,
            numthreads=threads,
            shutdown_timeout=shutdown_s,
            request_queue_size=256,
            timeout=caller_s,
            server_name="poplarspindle",
        )
        self._server.gateway = _Gateway
        self._server.handle = handle
        self._server.count = count
        self._server.max_request_body_size = MAX_BODY_BYTES
        self._server.max_request_header_size = MAX_HEAD_BYTES
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
