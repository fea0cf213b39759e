"""Virtual time: functions that run later, in the order of their times."""

import heapq
import itertools
from collections.abc import Callable

DIGITS = 6  # Times are kept to the microsecond.


class Timer:
    """A function that runs later; it can be cancelled.

    Attributes:
        call: The function, None once it is cancelled.
    """

    __slots__ = ("call",)

    def __init__(self, call: Callable[[], None]) -> None:
        self.call: Callable[[], None] | None = call

    def cancel(self) -> None:
        """Keeps the function from running."""
        self.call = None


class VirtualTime:
    """Runs functions at their times.

    Attributes:
        now: Present time, seconds.
    """

    def __init__(self) -> None:
        self.now = 0.0
        self._due: list[tuple[float, int, Timer]] = []
        self._numbers = itertools.count()

    def call_later(self, delay_s: float, call: Callable[[], None]) -> Timer:
        """Runs a function later; those of one time in the order of calls."""
        timer = Timer(call)
        at = add(self.now, max(0.0, delay_s))
        heapq.heappush(self._due, (at, next(self._numbers), timer))
        return timer

    def run(self, until: float) -> None:
        """Runs all that is due until a time, which is the present one then."""
        due = self._due
        while due and due[0][0] <= until:
            at, _, timer = heapq.heappop(due)
            if timer.call is not None:
                self.now = at
                timer.call()
        self.now = until


def add(at: float, seconds: float) -> float:
    """Returns the time some seconds after another; what waits for it ends."""
    return round(at + seconds, DIGITS)
