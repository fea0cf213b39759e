"""The list of workers of the virtual fleet, as its owner reads it."""

import collections
from collections.abc import Callable, Iterable

from poplarspindle.fleet import events, work
from poplarspindle.node import listing
from poplarspindle.tools.fakes import messages


class WorkerList:
    """Follows the list; its readings are answered while the store is up."""

    def __init__(self) -> None:
        self._unbroken_since = float("inf")
        self._listed: tuple[work.WorkerInfo, ...] = ()
        self._read_at = float("-inf")

    def read(
        self, now: float, listed: Iterable[work.WorkerInfo], store_up: bool
    ) -> list[events.Event]:
        """Reads the list.

        Args:
            now: Present time, seconds.
            listed: The workers in the list.
            store_up: Whether the store answers.
        """
        if not store_up:
            self._unbroken_since = float("inf")
            return [events.WorkersListed(now, self._listed)]
        workers = self._listed = tuple(listed)
        if now - self._read_at > listing.MAX_READ_GAP_S:
            self._unbroken_since = now
        self._read_at = now
        self._unbroken_since = min(self._unbroken_since, now)
        entries = frozenset(info.name for info in workers)
        return [
            events.WorkersListed(now, workers),
            events.ListRead(now, now, self._unbroken_since, entries),
        ]


class WorkerHistory:
    """Keeps what the list showed, for readings that are old."""

    def __init__(self) -> None:
        self._history: collections.deque = collections.deque()
        self._names: set[str] = set()

    def record(
        self,
        now: float,
        listed: list[work.WorkerInfo],
        lag_s: float,
        note_moment: Callable[[messages.MomentKind, str, str], None],
    ) -> list[work.WorkerInfo]:
        """Records the list.

        Args:
            now: Present time, seconds.
            listed: The list.
            lag_s: How old the list is that is read.
            note_moment: Told of changes.

        Returns:
            The list that is read now.
        """
        self._history.append((now, listed))
        while len(self._history) > 1 and self._history[1][0] <= now - lag_s:
            self._history.popleft()
        names = {info.name for info in listed}
        for name in sorted(names - self._names):
            note_moment(messages.MomentKind.WORKER_LISTED, name, "")
        for name in sorted(self._names - names):
            note_moment(messages.MomentKind.WORKER_UNLISTED, name, "")
        self._names = names
        return self._history[0][1] if lag_s else listed
