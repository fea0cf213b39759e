"""The list of workers of the virtual fleet, as its owner reads it."""

from collections.abc import Iterable

from poplarspindle.fleet import events, work


class WorkerList:
    """Follows the list; its readings are answered while the store is up."""

    def __init__(self) -> None:
        self._unbroken_since = float("inf")

    def read(
        self, now: float, listed: Iterable[work.WorkerInfo], store_up: bool
    ) -> list[events.Event]:
        """Reads the list.

        Args:
            now: Present time, seconds.
            listed: The workers in the list.
            store_up: Whether the store answers.
        """
        workers = tuple(listed)
        if not store_up:
            self._unbroken_since = float("inf")
            return [events.WorkersListed(now, workers)]
        self._unbroken_since = min(self._unbroken_since, now)
        entries = frozenset(info.name for info in workers)
        return [
            events.WorkersListed(now, workers),
            events.ListRead(now, now, self._unbroken_since, entries),
        ]
