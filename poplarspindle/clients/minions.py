"""Client of the minions: one send, never repeated, never taken for another.

A connection is used again only after a whole answer with nothing behind it;
one that failed in any way is closed, so a late answer reaches nobody.
"""

import collections
import dataclasses
import http.client
import re
import socket
import threading
import time

import urllib3
import urllib3.connection

from poplarspindle import outcomes, streams

REFUSED_HEADER = "Refused"
MAX_CONNECT_S = 0.5
MAX_IDLE_S = 5.0
MAX_ANSWER_BYTES = 8 * 1024 * 1024
IDLE_PER_MINION = 64
ID_FORM = re.compile(r"[\x21-\x7e]{1,256}")
TYPE_FORM = re.compile(r"[\x20-\x7e]{1,256}")
NO_CONTENT = 204
REFUSED_STATUS = 503
FIRST_FINAL_STATUS = 200

_BROKEN = (http.client.HTTPException, urllib3.exceptions.HTTPError, ValueError)


@dataclasses.dataclass(frozen=True, slots=True)
class Answer:
    """A minion's whole answer.

    Attributes:
        extra: Whether bytes followed it; the connection was closed.
    """

    status: int
    body: bytes
    content_type: str
    extra: bool = False


@dataclasses.dataclass(frozen=True, slots=True)
class Idle:
    """A connection that waits for its next request."""

    connection: urllib3.connection.HTTPConnection
    since: float


class Call:
    """One send that another thread may abort.

    Attributes:
        aborted: Whether it was.
        fresh: Whether it went over a new connection.
    """

    def __init__(self) -> None:
        self.aborted = False
        self.fresh = False
        self._socket: socket.socket | None = None
        self._lock = threading.Lock()

    def attach(self, sock: socket.socket | None) -> None:
        """Names the socket in use; None once the send is over."""
        with self._lock:
            self._socket = sock
            if self.aborted and sock is not None:
                _shut(sock)

    def abort(self) -> None:
        """Ends the send at once; its connection is not used again."""
        with self._lock:
            self.aborted = True
            if self._socket is not None:
                _shut(self._socket)


def _shut(sock: socket.socket) -> None:
    try:
        sock.shutdown(socket.SHUT_RDWR)
    except OSError:
        return


class Minions:
    """Connections to all minions.

    Args:
        connections: Greatest number of idle connections kept per minion.
        connect_s: Time allowed for a new connection.
        idle_s: Greatest idle time after which a connection is used again.
    """

    def __init__(
        self,
        connections: int = IDLE_PER_MINION,
        connect_s: float = MAX_CONNECT_S,
        idle_s: float = MAX_IDLE_S,
    ) -> None:
        self._most = connections
        self._connect_s = connect_s
        self._idle_s = idle_s
        self._idle: dict[str, collections.deque[Idle]] = {}
        self._lock = threading.Lock()

    def send(
        self,
        address: str,
        service: str,
        request: str,
        body: bytes,
        left_s: float,
        call: Call | None = None,
    ) -> outcomes.Ok[Answer] | outcomes.Failed:
        """Sends a request once and reads the whole answer.

        Args:
            address: The minion's `host:port`.
            service: Service asked for.
            request: Request id.
            body: The request's body.
            left_s: Time left until the caller's deadline.
            call: Lets another thread abort the send.

        Returns:
            The answer, or the failure. `may_have_acted` is false only where
            no byte was sent or the minion refused before running.
        """
        call = call or Call()
        if not ID_FORM.fullmatch(request) or not ID_FORM.fullmatch(service):
            return outcomes.Failed(outcomes.Step.SEND, address, "bad-header")
        deadline = time.monotonic() + left_s
        connection = self._take(address, call, deadline)
        if isinstance(connection, outcomes.Failed):
            return connection
        call.attach(connection.sock)
        try:
            found, reusable = _exchange(
                connection, address, service, request, body, deadline
            )
        finally:
            call.attach(None)
        if call.aborted:
            connection.close()
            return outcomes.Failed(
                outcomes.Step.RECEIVE, address, "aborted", "", True
            )
        if reusable:
            self._put(address, connection)
        else:
            connection.close()
        return found

    def _take(self, address: str, call: Call, deadline: float):
        """Returns an open connection, a fresh one where none is idle."""
        now = time.monotonic()
        while True:
            with self._lock:
                idle = self._idle.get(address)
                found = idle.pop() if idle else None
            if found is None:
                call.fresh = True
                return self._connect(address, deadline)
            young = now - found.since <= self._idle_s
            if young and found.connection.is_connected:
                return found.connection
            found.connection.close()

    def _connect(self, address: str, deadline: float):
        host, _, port = address.rpartition(":")
        left_s = max(0.001, deadline - time.monotonic())
        connection = urllib3.connection.HTTPConnection(
            host, int(port), timeout=min(self._connect_s, left_s)
        )
        try:
            connection.connect()
        except (urllib3.exceptions.HTTPError, OSError) as error:
            # The library's refused connections are a kind of timeout.
            refused = not isinstance(
                error, urllib3.exceptions.ConnectTimeoutError
            ) or isinstance(error, urllib3.exceptions.NewConnectionError)
            reason = "no-connection" if refused else "connect-timeout"
            return outcomes.Failed(
                outcomes.Step.CONNECT, address, reason, str(error)
            )
        connection.sock = streams.DeadlineSocket.adopt(connection.sock)
        return connection

    def _put(self, address: str, connection) -> None:
        with self._lock:
            idle = self._idle.setdefault(address, collections.deque())
            idle.append(Idle(connection, time.monotonic()))
            spare = idle.popleft() if len(idle) > self._most else None
        if spare is not None:
            spare.connection.close()

    def forget(self, address: str) -> None:
        """Closes all idle connections to a minion."""
        with self._lock:
            idle = self._idle.pop(address, ())
        for found in idle:
            found.connection.close()

    def count_idle(self, address: str) -> int:
        """Returns the number of idle connections to a minion."""
        with self._lock:
            return len(self._idle.get(address, ()))


def _exchange(connection, address, service, request, body, deadline):
    """Returns what came back, and whether the connection can be used again."""
    stream = connection.sock
    stream.begin(deadline)
    left_ms = int((deadline - time.monotonic()) * 1000)
    headers = {
        "Request-Id": request,
        "Deadline-Ms": str(max(1, left_ms)),
        "Content-Type": "application/octet-stream",
        "User-Agent": "poplarspindle",
    }
    step = outcomes.Step.SEND
    try:
        connection.request("POST", f"/{service}", body=body, headers=headers)
        stream.flush()
        step = outcomes.Step.RECEIVE
        # The library's own wrapper of the answer costs a sixth of the hop.
        answer = http.client.HTTPConnection.getresponse(connection)
        return _read_answer(answer, address, request)
    except (TimeoutError, urllib3.exceptions.TimeoutError) as error:
        reason = "timeout"
        detail = str(error)
    except http.client.RemoteDisconnected as error:
        reason = "closed"
        detail = str(error)
    except OSError as error:
        reason = "reset" if step is outcomes.Step.RECEIVE else "send-failed"
        detail = str(error)
    except _BROKEN as error:
        reason = "malformed"
        detail = str(error)
    failed = outcomes.Failed(
        step, address, reason, detail, stream.sent_bytes > 0
    )
    return failed, False


def _read_answer(answer: http.client.HTTPResponse, address: str, request: str):
    """Reads and judges an answer whose head has come."""
    fault = _find_head_fault(answer, request)
    if fault:
        return _break(address, fault), False
    reader = answer.fp  # None where no body comes
    try:
        body = answer.read() if answer.length else _read_chunks(answer)
    except http.client.IncompleteRead as error:
        return _break(address, "short-body", str(error)), False
    if len(body) > MAX_ANSWER_BYTES:
        return _break(address, "answer-too-large"), False
    extra = reader is not None and reader.left_over
    reusable = not extra and not answer.will_close
    headers = answer.headers
    if answer.status == REFUSED_STATUS and REFUSED_HEADER in headers:
        failed = outcomes.Failed(outcomes.Step.SEND, address, "minion-refused")
        return failed, reusable
    kind = headers.get("Content-Type", "application/octet-stream")
    return outcomes.Ok(Answer(answer.status, body, kind, extra)), reusable


def _read_chunks(answer: http.client.HTTPResponse) -> bytes:
    """Reads a chunked body, a little past the limit at most."""
    body = b""
    while len(body) <= MAX_ANSWER_BYTES:
        more = answer.read(MAX_ANSWER_BYTES + 1 - len(body))
        if not more:
            break
        body += more
    return body


def _break(address: str, reason: str, detail: str = "") -> outcomes.Failed:
    return outcomes.Failed(outcomes.Step.RECEIVE, address, reason, detail, True)


def _find_head_fault(answer: http.client.HTTPResponse, request: str) -> str:
    """Returns why an answer can't be taken as whole and ours, or ''."""
    headers = answer.headers
    lengths = headers.get_all("Content-Length", ())
    codings = headers.get_all("Transfer-Encoding", ())
    if answer.status < FIRST_FINAL_STATUS:
        return "interim-status"
    if len(lengths) > 1 or (lengths and codings):
        return "ambiguous-length"
    if lengths and not (lengths[0].isascii() and lengths[0].isdigit()):
        return "ambiguous-length"
    if codings and [c.lower() for c in codings] != ["chunked"]:
        return "ambiguous-length"
    if not lengths and not codings and answer.status != NO_CONTENT:
        return "no-length"
    if lengths and int(lengths[0]) > MAX_ANSWER_BYTES:
        return "answer-too-large"
    if headers.get("Request-Id", request) != request:
        return "crossed-answer"
    if not TYPE_FORM.fullmatch(headers.get("Content-Type", "-")):
        return "malformed"
    return ""
