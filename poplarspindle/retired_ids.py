"""What entries that stopped gracefully said last of their ids.

The stream is read only when an id of an entry no longer listed arrives.
"""

import threading

from poplarspindle import outcomes, records
from poplarspindle.clients import logservice

READ_LIMIT = 500
REMEMBERED = 1000


class RetiredIds:
    """Unused ids of entries that left, read when needed.

    Args:
        service: The log.
    """

    def __init__(self, service: logservice.LogService) -> None:
        self._service = service
        self._lock = threading.Lock()
        self._position = 0
        self._unused: dict[str, tuple[tuple[int, int], ...]] = {}

    def is_unused(self, incarnation: str, number: int) -> bool:
        """Tells whether an id surely never ran and never will.

        Args:
            incarnation: The entry that minted it, no longer listed.
            number: Number of the id.

        Returns:
            False also where nothing is known.
        """
        with self._lock:
            if incarnation not in self._unused:
                self._read()
            ranges = self._unused.get(incarnation, ())
        return any(first <= number <= last for first, last in ranges)

    def _read(self) -> None:
        while True:
            answer = self._service.read(
                {records.RETIRED_STREAM: self._position}, READ_LIMIT, 0
            )
            if isinstance(answer, outcomes.Failed):
                return
            (page,) = answer.value
            self._position = max(self._position, page.first)
            for offset, payload in page.records:
                self._take(payload)
                self._position = offset + 1
            if self._position >= page.next or not page.records:
                return

    def _take(self, payload: bytes) -> None:
        batch, _ = records.decode_batch(payload)
        for record in batch:
            if isinstance(record, records.TicketsRetired):
                self._unused[record.incarnation] = record.unused
        while len(self._unused) > REMEMBERED:
            del self._unused[next(iter(self._unused))]
