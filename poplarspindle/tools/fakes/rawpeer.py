"""Stand-in of a minion at the level of bytes, for faulty answers."""

import socket
import threading
import time
from collections.abc import Callable

ACCEPT_S = 5.0
GAP_S = 0.02

Script = Callable[[socket.socket, bytes], None]


class RawPeer:
    """Takes connections and answers each request by a script.

    Args:
        script: Called with the connection and the request's bytes; the
            connection is closed when it raises ConnectionError.

    Attributes:
        address: `host:port`.
        seen: Requests read, as bytes.
        accepted: Number of connections taken.
    """

    def __init__(self, script: Script) -> None:
        self._script = script
        self._listener = socket.create_server(("127.0.0.1", 0))
        self._open: list[socket.socket] = []
        self.seen: list[bytes] = []
        self.accepted = 0
        host, port = self._listener.getsockname()
        self.address = f"{host}:{port}"
        threading.Thread(target=self._accept, daemon=True).start()

    def _accept(self) -> None:
        while True:
            try:
                connection, _ = self._listener.accept()
            except OSError:
                return
            self.accepted += 1
            self._open.append(connection)
            threading.Thread(
                target=self._serve, args=(connection,), daemon=True
            ).start()

    def _serve(self, connection: socket.socket) -> None:
        try:
            while request := read_request(connection):
                self.seen.append(request)
                self._script(connection, request)
        except OSError:
            pass
        connection.close()

    def close(self) -> None:
        """Ends listening and closes all connections."""
        self._listener.close()
        for connection in self._open:
            connection.close()


def read_request(connection: socket.socket) -> bytes:
    """Reads one request of the kind our client sends."""
    found = b""
    while b"\r\n\r\n" not in found:
        more = connection.recv(65536)
        if not more:
            return b""
        found += more
    head, _, body = found.partition(b"\r\n\r\n")
    length = int(find_header(head, b"content-length") or 0)
    while len(body) < length:
        body += connection.recv(65536)
    return head + b"\r\n\r\n" + body


def find_header(head: bytes, name: bytes) -> bytes:
    """Returns a header's value, empty where it is absent."""
    for line in head.split(b"\r\n")[1:]:
        key, _, value = line.partition(b":")
        if key.strip().lower() == name:
            return value.strip()
    return b""


def say(data: bytes) -> Script:
    """Answers with bytes and keeps the connection open."""
    return lambda connection, request: connection.sendall(data)


def say_and_close(data: bytes) -> Script:
    """Answers with bytes and closes."""

    def script(connection: socket.socket, request: bytes) -> None:
        connection.sendall(data)
        raise ConnectionError

    return script


def reset(connection: socket.socket, request: bytes) -> None:
    """Resets the connection."""
    connection.setsockopt(
        socket.SOL_SOCKET, socket.SO_LINGER, b"\x01\0\0\0\0\0\0\0"
    )
    raise ConnectionError


def stay_silent(connection: socket.socket, request: bytes) -> None:
    """Never answers."""


def trickle(data: bytes) -> Script:
    """Answers byte by byte, without end."""

    def script(connection: socket.socket, request: bytes) -> None:
        connection.sendall(data)
        while True:
            connection.sendall(b"x")
            time.sleep(GAP_S)

    return script
