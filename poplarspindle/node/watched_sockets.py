"""Sockets that libcurl waits for, registered with an epoll object.

libcurl tells anew for each call that it waits for a socket, and after the
answer that it does not. Connections are kept between calls, so their sockets
stay registered for reading too: no system call per call. A peer that closes an
idle connection, or sends something that nobody asked for, makes its socket
readable; it is taken out then. Once it is shut down, the next call there sends
no byte and is begun anew, and does not read as its answer what waits.

The kernel takes a closed socket out by itself and tells nobody, and its number
is given to a new one. So each new connection's socket is announced before it
is waited for.
"""

import contextlib
import os
import select
import socket
from collections.abc import Callable

import pycurl


class WatchedSockets:
    """Sockets waited for; used on one thread.

    Args:
        end_connection: Takes the descriptor of an idle connection that became
            readable, once it is taken out.

    Attributes:
        descriptor: Becomes readable when a socket is ready.
    """

    def __init__(
        self, end_connection: Callable[[int], None] = lambda descriptor: None
    ) -> None:
        self._end_connection = end_connection
        self._epoll = select.epoll()
        self.descriptor = self._epoll.fileno()
        # Events that each descriptor is registered for.
        self._registered: dict[int, int] = {}
        # Of these, the sockets of idle connections; some may be closed.
        self._idle: set[int] = set()
        self._connections: set[int] = set()

    def announce(self, descriptor: int) -> None:
        """Tells of a new connection's socket; what is known of it is old."""
        self._connections.add(descriptor)
        self._idle.discard(descriptor)
        self._registered.pop(descriptor, None)

    def watch(self, descriptor: int, reads: bool, writes: bool) -> None:
        """Waits for a socket to become readable or writable."""
        events = (select.EPOLLIN if reads else 0) | (
            select.EPOLLOUT if writes else 0
        )
        self._idle.discard(descriptor)
        before = self._registered.get(descriptor)
        if before == events:
            return
        self._register(descriptor, events)
        self._registered[descriptor] = events

    def _register(self, descriptor: int, events: int) -> None:
        try:
            self._epoll.register(descriptor, events)
        except FileExistsError:
            self._epoll.modify(descriptor, events)

    def stop_watching(self, descriptor: int) -> None:
        """Waits no more for a socket, which may be closed after this."""
        if descriptor not in self._connections:
            self._unregister(descriptor)
            return
        if self._registered.get(descriptor) != select.EPOLLIN:
            # The answer was there before it was waited for. The socket may be
            # closed next and its number given away, so it is forgotten.
            self._registered.pop(descriptor, None)
            with contextlib.suppress(OSError):
                self._register(descriptor, select.EPOLLIN)
        self._idle.add(descriptor)

    def poll(self, act: Callable[[int, int], object]) -> None:
        """Acts on the sockets waited for that are ready now.

        Args:
            act: Takes a descriptor and in which ways it is ready: CSELECT_IN,
                CSELECT_OUT; a socket that has failed is ready in both.
        """
        # Without a number it tells of 1,023 at most, and calls would run out
        # of time whose answers have arrived.
        most = max(1, len(self._registered) + len(self._idle))
        for descriptor, events in self._epoll.poll(0, most):
            if descriptor in self._idle:
                self._unregister(descriptor)
                self._end_connection(descriptor)
                continue
            reads = pycurl.CSELECT_IN if events & ~select.EPOLLOUT else 0
            writes = pycurl.CSELECT_OUT if events & ~select.EPOLLIN else 0
            act(descriptor, reads | writes)

    def close(self) -> None:
        """Gives the epoll object back."""
        self._epoll.close()

    def _unregister(self, descriptor: int) -> None:
        was_idle = descriptor in self._idle
        self._idle.discard(descriptor)
        if self._registered.pop(descriptor, None) is not None or was_idle:
            # It is gone already where the socket was closed.
            with contextlib.suppress(OSError):
                self._epoll.unregister(descriptor)


def shut_down(descriptor: int) -> None:
    """Ends a connection; its descriptor stays its owner's to close."""
    with (
        contextlib.suppress(OSError),
        socket.socket(fileno=os.dup(descriptor)) as connection,
    ):
        connection.shutdown(socket.SHUT_RDWR)
