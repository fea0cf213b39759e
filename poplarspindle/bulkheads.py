"""Bounds on how many threads one kind of work may hold at once.

Without them, work that waits (for a paused peer, for the log) would take all
threads of an entry, and requests that need neither would wait too.
"""

import contextlib
import threading
from collections.abc import Iterator


class Bulkhead:
    """Room for a number of threads.

    Args:
        room: How many threads may be inside at once.
    """

    def __init__(self, room: int) -> None:
        self._room = threading.BoundedSemaphore(max(1, room))

    @contextlib.contextmanager
    def enter(self) -> Iterator[bool]:
        """Tells whether there is room, which is given back at the end."""
        acquired = self._room.acquire(blocking=False)
        try:
            yield acquired
        finally:
            if acquired:
                self._room.release()
