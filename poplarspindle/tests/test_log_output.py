"""Log lines: bounded, never blocking, none cut in two."""

import threading

import pytest

from poplarspindle.node import log_output


class Out:
    """Keeps what is written at once; may be held up."""

    def __init__(self):
        self.chunks = []
        self.open = threading.Event()
        self.open.set()

    def write(self, text):
        """Takes a chunk, as soon as it is let."""
        self.open.wait()
        self.chunks.append(text)

    def flush(self):
        """Does nothing."""


@pytest.mark.parametrize("size", [10, 900, 5000, 20_000])
def test_all_lines_are_written_whole(size):
    out = Out()
    writer = log_output.BoundedWriter(out)
    written = [f"{n:04}".ljust(size, "x") + "\n" for n in range(50)]
    for line in written:
        writer.write(line)
    writer.drain()
    assert "".join(out.chunks) == "".join(written)
    assert all(chunk.endswith("\n") for chunk in out.chunks)
    short = [chunk for chunk in out.chunks if chunk.count("\n") > 1]
    assert all(len(chunk) <= log_output.MAX_CHUNK_CHARS for chunk in short)


def test_writing_never_blocks_and_drops_are_told():
    out = Out()
    out.open.clear()
    writer = log_output.BoundedWriter(out)
    writer.start()
    for n in range(2 * log_output.MAX_QUEUED_LINES):
        writer.write(f"{n}\n")
    assert writer.dropped > 0
    out.open.set()
    writer.drain()
    assert any("lines-dropped" in chunk for chunk in out.chunks)
