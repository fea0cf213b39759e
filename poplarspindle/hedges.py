"""A second send of an idempotent request whose first one is late.

The first whole answer wins. The connection of the other send is closed, so
its answer, should it come, reaches nobody.
"""

import concurrent.futures
import heapq
import itertools
import threading
import time
from collections.abc import Callable

from poplarspindle import outcomes
from poplarspindle.platform import minions

THREADS = 8


class Race:
    """One request with up to two sends under way.

    Attributes:
        first: Lets the first send be aborted.
        second: The same of the second send.
        acted: Whether the second send may have acted and failed.
    """

    def __init__(self) -> None:
        self.first = minions.Call()
        self.second = minions.Call()
        self.acted = False
        self._changed = threading.Condition()
        self._over = False
        self._running = False
        self._answer: outcomes.Ok | None = None

    def start_second(self) -> bool:
        """Claims the second send; false where the race is over."""
        with self._changed:
            self._running = not self._over
            return self._running

    def end_second(self, found: outcomes.Ok | outcomes.Failed) -> bool:
        """Notes the end of the second send; returns whether it won."""
        with self._changed:
            self._running = False
            won = isinstance(found, outcomes.Ok) and not self._over
            if won:
                self._over = True
                self._answer = found
            elif isinstance(found, outcomes.Failed):
                self.acted |= found.may_have_acted
            self._changed.notify_all()
        if won:
            self.first.abort()
        return won

    def end_first(
        self, found: outcomes.Ok | outcomes.Failed, deadline: float
    ) -> outcomes.Ok | outcomes.Failed:
        """Notes the end of the first send and returns the race's result."""
        with self._changed:
            if isinstance(found, outcomes.Failed) and self._running:
                self._changed.wait_for(
                    lambda: not self._running,
                    max(0.0, deadline - time.monotonic()),
                )
            self._over = True
            answer = self._answer or found
        if answer is not self._answer:
            self.second.abort()
        return answer


class Timer:
    """Runs functions at their times, on a few threads.

    A function whose time comes while all threads are busy is dropped.
    """

    def __init__(self) -> None:
        self._pool = concurrent.futures.ThreadPoolExecutor(
            THREADS, thread_name_prefix="hedge"
        )
        self._room = threading.BoundedSemaphore(THREADS)
        self._heap: list[tuple[float, int, Callable[[], None]]] = []
        self._numbers = itertools.count()
        self._changed = threading.Condition()
        self._thread: threading.Thread | None = None

    def schedule(self, at: float, run: Callable[[], None]) -> None:
        """Runs a function at a time, monotonic seconds."""
        with self._changed:
            heapq.heappush(self._heap, (at, next(self._numbers), run))
            if self._thread is None:
                self._thread = threading.Thread(target=self._turn, daemon=True)
                self._thread.start()
            if self._heap[0][0] == at:
                self._changed.notify()

    def _turn(self) -> None:
        while True:
            with self._changed:
                while not self._heap or self._heap[0][0] > time.monotonic():
                    left_s = (
                        self._heap[0][0] - time.monotonic()
                        if self._heap
                        else None
                    )
                    self._changed.wait(left_s)
                _, _, run = heapq.heappop(self._heap)
            if self._room.acquire(blocking=False):
                self._pool.submit(self._run, run)

    def _run(self, run: Callable[[], None]) -> None:
        try:
            run()
        finally:
            self._room.release()
