"""When calls in flight run out of time, earliest first.

Most calls are answered long before, so an entry of a call that is over stays
until it is the earliest.
"""

import heapq
import itertools

import pycurl


class CallDeadlines:
    """Deadlines of calls; equal ones end in the order in which they came."""

    def __init__(self) -> None:
        self._numbers = itertools.count()
        self._entries: list[tuple[float, int]] = []
        self._handles: dict[int, pycurl.Curl] = {}

    def add(self, due_at: float, handle: pycurl.Curl) -> int:
        """Adds a call's deadline; returns the number of the entry."""
        number = next(self._numbers)
        self._handles[number] = handle
        heapq.heappush(self._entries, (due_at, number))
        return number

    def remove(self, number: int) -> None:
        """Removes an entry whose call is over."""
        self._handles.pop(number, None)

    def get_first(self) -> float:
        """Returns the earliest deadline, infinite where there is none."""
        while self._entries and self._entries[0][1] not in self._handles:
            heapq.heappop(self._entries)
        return self._entries[0][0] if self._entries else float("inf")

    def take_due(self, now: float) -> list[pycurl.Curl]:
        """Takes the calls whose time is over, earliest first."""
        due = []
        while self.get_first() <= now:
            _, number = heapq.heappop(self._entries)
            due.append(self._handles.pop(number))
        return due
