"""Sockets that keep one deadline over many reads and write in one piece."""

import errno
import io
import math
import socket
import time

REARM_S = 0.002
NEVER = -math.inf


class DeadlineSocket(socket.socket):
    """A socket whose reads and writes end at a deadline.

    Writes are held back until `flush`, so that head and body leave together
    and so that it is known whether any byte left at all.

    Attributes:
        deadline: End of all reads and writes, monotonic seconds; None for
            no end.
        sent_bytes: Bytes taken by the system since the last `begin`.
    """

    deadline: float | None = None
    sent_bytes: int = 0

    @classmethod
    def adopt(cls, plain: socket.socket) -> "DeadlineSocket":
        """Takes over a connected socket; the one given is left detached."""
        stream = cls(
            plain.family, plain.type, plain.proto, fileno=plain.detach()
        )
        stream._held = bytearray()
        stream._probing = False
        stream._armed_at = NEVER
        return stream

    def begin(self, deadline: float | None) -> None:
        """Starts a new exchange that ends at a deadline."""
        self.deadline = deadline
        self.sent_bytes = 0
        self._armed_at = NEVER
        self._held.clear()

    def _arm(self) -> None:
        """Sets the time left, but not again within REARM_S: it's a call."""
        if self.deadline is None:
            self.settimeout(None)
            return
        now = time.monotonic()
        if now >= self.deadline:
            raise TimeoutError("timed out")
        if not 0 <= now - self._armed_at < REARM_S:
            self._armed_at = now
            self.settimeout(self.deadline - now)

    def recv_into(self, *arguments) -> int:
        """Reads what is there, waiting until the deadline at most."""
        if self._probing:
            raise BlockingIOError(errno.EAGAIN, "only what is buffered")
        self._arm()
        return super().recv_into(*arguments)

    def sendall(self, data, *_) -> None:
        """Holds data back until `flush`."""
        self._held += data

    def flush(self) -> None:
        """Sends all data held back."""
        with memoryview(bytes(self._held)) as view:
            self._held.clear()
            sent = 0
            while sent < len(view):
                self._arm()
                count = self.send(view[sent:])
                sent += count
                self.sent_bytes += count

    def makefile(self, mode="r", *arguments, **options):
        """Makes a file; one for reading can tell whether data is left."""
        if mode != "rb":
            return super().makefile(mode, *arguments, **options)
        return Reader(super().makefile("rb").detach(), self)

    def look(self, reader: "Reader") -> bool:
        """Tells whether a reader has data in its buffer."""
        self._probing = True
        try:
            return bool(reader.peek(1))
        except OSError:  # It timed out before.
            return False
        finally:
            self._probing = False


class Reader(io.BufferedReader):
    """Buffered reading of a DeadlineSocket.

    Attributes:
        bytes_read: Kept for cheroot, which adds it up; not counted.
        left_over: Whether data was left in its buffer when it was closed.
    """

    bytes_read = 0
    left_over = False

    def __init__(self, raw: io.RawIOBase, owner: DeadlineSocket) -> None:
        super().__init__(raw)
        self._owner = owner

    def has_data(self) -> bool:
        """Tells whether data is in the buffer."""
        return self._owner.look(self)

    def close(self) -> None:
        """Closes, noting whether data was left."""
        if not self.closed and self._owner.fileno() >= 0:
            self.left_over = self.has_data()
        super().close()


class Writer:
    """What cheroot writes answers to.

    Attributes:
        bytes_written: Kept for cheroot, which adds it up; not counted.
        closed: Whether it was closed.
    """

    bytes_written = 0
    closed = False

    def __init__(self, owner: DeadlineSocket) -> None:
        self._owner = owner

    def write(self, data: bytes) -> int:
        """Holds data back until the socket's `flush`."""
        self._owner.sendall(data)
        return len(data)

    def flush(self) -> None:
        """Sends all data held back."""
        self._owner.flush()

    def close(self) -> None:
        """Marks the file closed; the socket stays open."""
        self.closed = True
