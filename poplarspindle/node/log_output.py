"""Log lines that never block: a bounded queue before standard output."""

import collections
import sys
import threading
from collections.abc import Iterator

import structlog

MAX_QUEUED_LINES = 4000
FLUSH_INTERVAL_S = 0.25
MAX_CHUNK_CHARS = 8000  # Collectors cut what is written at once beyond 8 KiB.
MAX_CHUNK_CHARS = 8000  # Collectors cut what is written at once beyond 8 KiB.


class BoundedWriter:
    """A text file that drops lines when its reader is too slow.

    Attributes:
        dropped: Lines dropped so far.
    """

    def __init__(self, out=None) -> None:
        self._out = out or sys.stdout
        self._lines: collections.deque[str] = collections.deque()
        self.dropped = 0
        self._reported = 0
        self._thread = threading.Thread(target=self._run, daemon=True)
        self._wake = threading.Event()

    def start(self) -> None:
        """Starts the writing thread."""
        self._thread.start()

    def write(self, text: str) -> None:
        """Queues a line."""
        if len(self._lines) >= MAX_QUEUED_LINES:
            self.dropped += 1
            return
        self._lines.append(text)

    def flush(self) -> None:
        """Does nothing: the writing thread flushes."""

    def drain(self) -> None:
        """Writes all that is queued."""
        lines = []
        while self._lines:
            lines.append(self._lines.popleft())
        if self.dropped > self._reported:
            lines.append(f'{{"event":"lines-dropped","n":{self.dropped}}}\n')
            self._reported = self.dropped
        for chunk in _join_lines(lines):
            self._out.write(chunk)
            self._out.flush()

    def _run(self) -> None:
        while not self._wake.wait(FLUSH_INTERVAL_S):
            self.drain()


def _join_lines(lines: list[str]) -> Iterator[str]:
    """Joins lines into chunks that are written at once, none cut in two."""
    chunk: list[str] = []
    size = 0
    for line in lines:
        if chunk and size + len(line) > MAX_CHUNK_CHARS:
            yield "".join(chunk)
            chunk, size = [], 0
        chunk.append(line)
        size += len(line)
    if chunk:
        yield "".join(chunk)


def configure_logging(node: str, incarnation: str) -> BoundedWriter:
    """Sends all log lines of the process, as JSON, to standard output."""
    writer = BoundedWriter()
    structlog.configure(
        processors=[
            structlog.contextvars.merge_contextvars,
            structlog.processors.TimeStamper(fmt="iso", utc=True),
            structlog.processors.JSONRenderer(separators=(",", ":")),
        ],
        logger_factory=structlog.WriteLoggerFactory(file=writer),
        cache_logger_on_first_use=True,
    )
    structlog.contextvars.clear_contextvars()
    writer.start()
    return writer
