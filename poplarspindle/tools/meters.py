"""Counts the bytes between a client and a server on loopback."""

import socket
import threading

CHUNK_BYTES = 65536


class Meter:
    """A TCP relay that counts bytes in both directions.

    Args:
        target: `host:port` to relay to.

    Attributes:
        count: Bytes passed so far.
        address: Where to connect instead of the target.
    """

    def __init__(self, target: str) -> None:
        host, _, port = target.rpartition(":")
        self._target = (host, int(port))
        self._listener = socket.create_server(("127.0.0.1", 0))
        self.address = "{}:{}".format(*self._listener.getsockname())
        self.count = 0
        threading.Thread(target=self._accept, daemon=True).start()

    def close(self) -> None:
        """Stops accepting."""
        self._listener.close()

    def _accept(self) -> None:
        while True:
            try:
                near, _ = self._listener.accept()
            except OSError:
                return
            far = socket.create_connection(self._target)
            for pair in ((near, far), (far, near)):
                threading.Thread(
                    target=self._pump, args=pair, daemon=True
                ).start()

    def _pump(self, source: socket.socket, sink: socket.socket) -> None:
        while chunk := source.recv(CHUNK_BYTES):
            self.count += len(chunk)
            sink.sendall(chunk)
        sink.shutdown(socket.SHUT_WR)
