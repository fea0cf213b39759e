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
from poplarspindle.clients import minions

THREADS = 8


class Race:
    """One request with up to two sends under way.

    Attributes:
        first: Lets the first send be aborted.
        second: The same of the second send.
        acted: Whether the second send may have acted and failed.
        is_over: Whether it has its result.
    """

    def __init__(self) -> None:
        self.first = minions.Call()
        self.second = minions.Call()
        self.acted = False
        self._changed = threading.Condition()
        self.is_over = False
        self._running = False
        self._answer: outcomes.Ok | None = None

    def start_second(self) -> bool:
        """Claims the second send; false where the race is over."""
        with self._changed:
            self._running = not self.is_over
            return self._running

    def end_second(self, result: outcomes.Ok | outcomes.Failed) -> bool:
        """Notes the end of the second send; returns whether it won."""
        with self._changed:
            self._running = False
            won = isinstance(result, outcomes.Ok) and not self.is_over
            if won:
                self.is_over = True
                self._answer = result
            elif isinstance(result, outcomes.Failed):
                self.acted |= result.may_have_acted
            self._changed.notify_all()
        if won:
            self.first.abort()
        return won

    def end_first(
        self, result: outcomes.Ok | outcomes.Failed, deadline: float
    ) -> outcomes.Ok | outcomes.Failed:
        """Notes the end of the first send and returns the race's result."""
        with self._changed:
            if isinstance(result, outcomes.Failed) and self._running:
                self._changed.wait_for(
                    lambda: not self._running,
                    max(0.0, deadline - time.monotonic()),
                )
            self.is_over = True
            answer = self._answer or result
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
        self._heap: list[tuple[float, int, Race, Callable[[], None]]] = []
        self._numbers = itertools.count()
        self._changed = threading.Condition()
        self._thread: threading.Thread | None = None

    def schedule(self, at: float, race: Race, run: Callable[[], None]) -> None:
        """Runs a function at a time unless its race is over by then.

        Args:
            at: When to run it, monotonic seconds.
            race: The race that it is for.
            run: The function.
        """
        with self._changed:
            heapq.heappush(self._heap, (at, next(self._numbers), race, run))
            if self._thread is None:
                self._thread = threading.Thread(target=self._turn, daemon=True)
                self._thread.start()
            if self._heap[0][0] == at:
                self._changed.notify()

    def _turn(self) -> None:
        while True:
            run = self._take()
            if self._room.acquire(blocking=False):
                self._pool.submit(self._run, run)

    def _take(self) -> Callable[[], None]:
        """Waits for the next function whose race is not over."""
        with self._changed:
            while True:
                while self._heap and self._heap[0][2].is_over:
                    heapq.heappop(self._heap)
                if not self._heap:
                    self._changed.wait()
                    continue
                left_s = self._heap[0][0] - time.monotonic()
                if left_s <= 0:
                    return heapq.heappop(self._heap)[3]
                self._changed.wait(left_s)

    def _run(self, run: Callable[[], None]) -> None:
        try:
            run()
        finally:
            self._room.release()
