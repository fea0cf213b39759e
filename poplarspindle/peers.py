"""Streams of typed msgpack messages between our own processes.

One TCP connection carries many questions at once; answers come back in any
order. A malformed frame closes its stream. A peer that lets a deadline pass
without sending anything is silent: its stream takes no new question, so that
the next one opens a new connection.
"""

import concurrent.futures
import contextlib
import itertools
import queue
import socket
import socketserver
import threading
import time
from collections.abc import Callable, Iterator, Mapping

import msgpack

from poplarspindle import log, messages, metrics, outcomes

MAX_FRAME_BYTES = 9 * 1024 * 1024
READ_BYTES = 64 * 1024
MAX_CONNECT_S = 0.5
MAX_SEND_S = 1.0
MAX_PENDING = 256
MAX_STREAMS = 256
STOP_S = 5.0
COUNTER = "poplarspindle_peers_total"

logger = log.get_logger("peers")

Handler = Callable[[messages.Message, float], messages.Message]


def receive_frames(connection: socket.socket) -> Iterator[messages.Frame]:
    """Yields the frames of a connection until it ends.

    Args:
        connection: A connected socket with a timeout.

    Raises:
        messages.MalformedError: The other end sent no known frame, or one
            above MAX_FRAME_BYTES.
        OSError: The connection broke.
    """
    unpacker = msgpack.Unpacker(max_buffer_size=MAX_FRAME_BYTES)
    while True:
        try:
            data = connection.recv(READ_BYTES)
        except TimeoutError:
            continue
        if not data:
            return
        try:
            unpacker.feed(data)
            found = list(unpacker)
        except (ValueError, msgpack.UnpackException) as error:
            raise messages.MalformedError("not msgpack") from error
        yield from map(messages.read_frame, found)


class Stream:
    """The sending side of a connection, shared by several threads."""

    def __init__(self, connection: socket.socket) -> None:
        connection.settimeout(MAX_SEND_S)
        connection.setsockopt(socket.IPPROTO_TCP, socket.TCP_NODELAY, 1)
        self.connection = connection
        self._lock = threading.Lock()

    def send(self, frame: messages.Frame) -> None:
        """Sends one frame whole or raises OSError."""
        data = msgpack.packb(messages.pack_frame(frame))
        with self._lock:
            self.connection.sendall(data)

    def close(self) -> None:
        """Closes the connection, also for a thread that reads it."""
        with contextlib.suppress(OSError):
            self.connection.shutdown(socket.SHUT_RDWR)
        self.connection.close()


class Server:
    """Answers the questions of other processes.

    Args:
        address: `host:port`; port 0 lets the system choose.
        handlers: Handler by kind of question; it is given the question and
            the time, on the monotonic clock, until which the asker waits.
        counters: Where refusals are counted.
        threads: Questions answered at once.
    """

    def __init__(
        self,
        address: str,
        handlers: Mapping[type, Handler],
        counters: metrics.Metrics,
        threads: int,
    ) -> None:
        self._handlers = handlers
        self._counters = counters
        self._pool = concurrent.futures.ThreadPoolExecutor(threads)
        self._room = threading.BoundedSemaphore(MAX_PENDING)
        self._streams: set[Stream] = set()
        self._lock = threading.Lock()
        host, _, port = address.rpartition(":")
        self._server = _make_listener((host, int(port)), self._read_stream)
        self._thread = threading.Thread(
            target=self._server.serve_forever, args=(0.05,), daemon=True
        )

    def start(self) -> str:
        """Serves; returns the address in use."""
        self._thread.start()
        host, port = self._server.server_address[:2]
        return f"{host}:{port}"

    def stop(self) -> None:
        """Ends accepting, answers what was taken up, and closes."""
        self._server.shutdown()
        self._server.server_close()
        self._pool.shutdown(wait=True, cancel_futures=False)
        with self._lock:
            streams = tuple(self._streams)
        for stream in streams:
            stream.close()

    def _read_stream(self, connection: socket.socket) -> None:
        stream = Stream(connection)
        with self._lock:
            full = len(self._streams) >= MAX_STREAMS
            if not full:
                self._streams.add(stream)
        if full:
            self._counters.add(COUNTER, "too-many-streams")
            return
        try:
            for frame in receive_frames(connection):
                self._take(stream, frame)
        except messages.MalformedError:
            self._counters.add(COUNTER, "malformed")
        except OSError:
            self._counters.add(COUNTER, "broken")
        finally:
            with self._lock:
                self._streams.discard(stream)
            stream.close()

    def _take(self, stream: Stream, frame: messages.Frame) -> None:
        deadline = time.monotonic() + frame.left_s
        if type(frame.message) not in self._handlers:
            raise messages.MalformedError("no question")
        if not self._room.acquire(blocking=False):
            self._refuse(stream, frame, "peer-busy")
            return
        try:
            self._pool.submit(self._answer, stream, frame, deadline)
        except RuntimeError:
            self._room.release()
            self._refuse(stream, frame, "peer-stopping")

    def _answer(self, stream, frame, deadline) -> None:
        try:
            if time.monotonic() >= deadline:
                self._refuse(stream, frame, "peer-late")
                return
            handler = self._handlers[type(frame.message)]
            answer = handler(frame.message, deadline)
            self._send(stream, messages.Frame(frame.number, 0, answer))
        except Exception as error:
            self._counters.add(COUNTER, "handler-failed")
            stream.close()
            logger.error("A handler failed.", error=repr(error))
        finally:
            self._room.release()

    def _refuse(self, stream, frame, reason: str) -> None:
        self._counters.add(COUNTER, reason)
        answer = messages.Refused(reason)
        self._send(stream, messages.Frame(frame.number, 0, answer))

    def _send(self, stream: Stream, frame: messages.Frame) -> None:
        try:
            stream.send(frame)
        except OSError:
            self._counters.add(COUNTER, "answer-lost")
            stream.close()


def _make_listener(address, take) -> socketserver.ThreadingTCPServer:
    class Listener(socketserver.ThreadingTCPServer):
        allow_reuse_address = True
        daemon_threads = True
        block_on_close = False
        request_queue_size = 64

        def finish_request(self, request, client_address) -> None:
            take(request)

    return Listener(address, socketserver.BaseRequestHandler)


class Link:
    """The asking side of one connection.

    Attributes:
        closed: Whether it takes no more questions.

    Args:
        address: The peer's `host:port`.
        connection: A connected socket.
        counters: Where failures are counted.
    """

    def __init__(
        self,
        address: str,
        connection: socket.socket,
        counters: metrics.Metrics,
    ) -> None:
        self.closed = False
        self._address = address
        self._counters = counters
        self._stream = Stream(connection)
        self._lock = threading.Lock()
        self._numbers = itertools.count()
        self._pending: dict[int, queue.SimpleQueue] = {}
        self._heard_at = time.monotonic()
        threading.Thread(target=self._read, daemon=True).start()

    def ask(
        self, question: messages.Message, left_s: float
    ) -> outcomes.Ok[messages.Message] | outcomes.Failed:
        """Asks and waits for the answer at most `left_s` seconds."""
        answers: queue.SimpleQueue = queue.SimpleQueue()
        sent_at = time.monotonic()
        with self._lock:
            if self.closed:
                return self._fail("peer-closed", False)
            if len(self._pending) >= MAX_PENDING:
                return self._fail("peer-queue-full", False)
            number = next(self._numbers)
            self._pending[number] = answers
        try:
            self._stream.send(messages.Frame(number, left_s, question))
            answer = answers.get(timeout=left_s)
        except OSError:
            self.close()
            return self._fail("peer-broken", True)
        except queue.Empty:
            self._judge_silence(sent_at)
            return self._fail("peer-timeout", True)
        finally:
            self._forget(number)
        if answer is None:
            return self._fail("peer-closed", True)
        if isinstance(answer, messages.Refused):
            return self._fail(answer.reason, False)
        return outcomes.Ok(answer)

    def close(self) -> None:
        """Fails all questions that wait and closes the connection."""
        with self._lock:
            self.closed = True
            waiting = tuple(self._pending.values())
        for answers in waiting:
            answers.put(None)
        self._stream.close()

    def retire(self) -> None:
        """Takes no more questions; closes after the last answer."""
        with self._lock:
            self.closed = True
            idle = not self._pending
        if idle:
            self._stream.close()

    def _judge_silence(self, sent_at: float) -> None:
        if self._heard_at < sent_at:
            self._counters.add(COUNTER, "peer-silent")
            self.retire()

    def _forget(self, number: int) -> None:
        with self._lock:
            self._pending.pop(number, None)
            done = self.closed and not self._pending
        if done:
            self._stream.close()

    def _read(self) -> None:
        try:
            for frame in receive_frames(self._stream.connection):
                self._heard_at = time.monotonic()
                with self._lock:
                    answers = self._pending.get(frame.number)
                if answers is None:
                    self._counters.add(COUNTER, "late-answer")
                else:
                    answers.put(frame.message)
        except messages.MalformedError:
            self._counters.add(COUNTER, "malformed")
        except OSError:
            self._counters.add(COUNTER, "broken")
        self.close()

    def _fail(self, reason: str, may_have_acted: bool) -> outcomes.Failed:
        self._counters.add(COUNTER, reason)
        return outcomes.Failed(
            outcomes.Step.FORWARD,
            self._address,
            reason,
            may_have_acted=may_have_acted,
        )


class Links:
    """Connections to all peers, opened when first needed.

    Args:
        counters: Where failures are counted.
    """

    def __init__(self, counters: metrics.Metrics) -> None:
        self._counters = counters
        self._lock = threading.Lock()
        self._links: dict[str, Link] = {}
        self._opening: dict[str, threading.Lock] = {}

    def ask(
        self, address: str, question: messages.Message, left_s: float
    ) -> outcomes.Ok[messages.Message] | outcomes.Failed:
        """Asks a peer.

        Args:
            address: The peer's `host:port`.
            question: The question.
            left_s: Time allowed, seconds.

        Returns:
            The answer, or the failure; `may_have_acted` is false only where
            the peer surely did not take the question up.
        """
        deadline = time.monotonic() + left_s
        try:
            link = self._open(address, min(MAX_CONNECT_S, left_s))
        except (OSError, ValueError) as error:
            self._counters.add(COUNTER, "no-connection")
            return outcomes.Failed(
                outcomes.Step.FORWARD, address, "no-connection", str(error)
            )
        left_s = deadline - time.monotonic()
        if left_s <= 0:
            return outcomes.Failed(
                outcomes.Step.FORWARD, address, "peer-timeout"
            )
        return link.ask(question, left_s)

    def keep(self, addresses: frozenset[str]) -> None:
        """Closes the connections to all other peers, in flight ones last."""
        with self._lock:
            gone = [a for a in self._links if a not in addresses]
            links = [self._links.pop(address) for address in gone]
            for address in gone:
                self._opening.pop(address, None)
        for link in links:
            link.retire()

    def close(self) -> None:
        """Closes all connections."""
        self.keep(frozenset())

    def _open(self, address: str, timeout_s: float) -> Link:
        with self._lock:
            opening = self._opening.setdefault(address, threading.Lock())
        with opening:
            with self._lock:
                link = self._links.get(address)
            if link is None or link.closed:
                host, _, port = address.rpartition(":")
                connection = socket.create_connection(
                    (host, int(port)), max(timeout_s, 0.001)
                )
                link = Link(address, connection, self._counters)
                with self._lock:
                    self._links[address] = link
            return link
