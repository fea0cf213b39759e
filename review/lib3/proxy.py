"""A TCP forwarder whose open connections can go silent or be reset."""

import select
import socket
import struct
import threading


class Proxy:
    """Forwards connections to one address.

    Attributes:
        address: Where it listens.
    """

    def __init__(self, target):
        host, _, port = target.rpartition(":")
        self._target = host, int(port)
        self._listener = socket.create_server(("127.0.0.1", 0), backlog=256)
        self.address = "127.0.0.1:%d" % self._listener.getsockname()[1]
        self._lock = threading.Lock()
        self._pairs = set()
        self._silent = set()
        self.closed = False
        threading.Thread(target=self._accept, daemon=True).start()

    def _accept(self):
        while not self.closed:
            try:
                near, _ = self._listener.accept()
                far = socket.create_connection(self._target, 2)
            except OSError:
                continue
            far.settimeout(None)
            for end in (near, far):
                end.setsockopt(socket.IPPROTO_TCP, socket.TCP_NODELAY, 1)
            pair = near, far
            with self._lock:
                self._pairs.add(pair)
            threading.Thread(target=self._carry, args=(pair,), daemon=True).start()

    def _carry(self, pair):
        near, far = pair
        try:
            while True:
                ready, _, _ = select.select(pair, (), (), 1.0)
                with self._lock:
                    if pair in self._silent:
                        return  # Both ends stay open, and nothing is carried.
                for source in ready:
                    data = source.recv(65536)
                    if not data:
                        raise OSError
                    (far if source is near else near).sendall(data)
        except (OSError, ValueError):
            for end in pair:
                end.close()
            with self._lock:
                self._pairs.discard(pair)

    def silence(self):
        """Makes all open connections silent; returns how many there were."""
        with self._lock:
            count = len(self._pairs - self._silent)
            self._silent |= self._pairs
        return count

    def reset(self):
        """Resets all open connections; new ones work."""
        with self._lock:
            pairs = list(self._pairs)
        for pair in pairs:
            for end in pair:
                try:
                    end.setsockopt(
                        socket.SOL_SOCKET, socket.SO_LINGER, struct.pack("ii", 1, 0)
                    )
                    end.shutdown(socket.SHUT_RDWR)
                except OSError:
                    pass

    def close(self):
        self.closed = True
        self._listener.close()
        with self._lock:
            pairs = list(self._pairs)
        for pair in pairs:
            for end in pair:
                end.close()
