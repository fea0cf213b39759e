"""The platform's list of what workers run on, read when the owner asks."""

import threading
import typing
from collections.abc import Callable

import structlog

from poplarspindle import outcomes
from poplarspindle.fleet import events
from poplarspindle.node import clocks, threads

_log = structlog.get_logger(part="inventory")


class Inventory(typing.Protocol):
    """Tells which workers are alive, whether or not they can be reached."""

    def move(self, address: str) -> None:
        """Sends all further calls to another address."""

    def read_alive(self) -> outcomes.Ok[frozenset[str]] | outcomes.Failed:
        """Returns the names of all workers that are alive."""


class InventoryReader:
    """Reads the inventory on a thread of its own, one reading at a time.

    Args:
        inventory: The inventory, None where the platform has none.
        post: Takes each reading.
        stop_event: Set when the ownership is over.
    """

    def __init__(
        self,
        inventory: Inventory | None,
        post: Callable[[events.InventoryRead], None],
        stop_event: threading.Event,
    ) -> None:
        self._inventory = inventory
        self._post = post
        self._stop_event = stop_event
        self._is_reading = threading.Lock()

    def ask(self) -> None:
        """Begins a reading, unless one is under way."""
        if self._inventory is not None and self._is_reading.acquire(False):
            threads.start(self._read, self._stop_event)

    def _read(self) -> None:
        try:
            asked_at = clocks.get_steady_s()
            answer = self._inventory.read_alive()
        finally:
            if self._is_reading.locked():
                self._is_reading.release()
        if isinstance(answer, outcomes.Failed):
            _log.warning("unread", why=answer.reason, detail=answer.detail)
            return
        now = clocks.get_steady_s()
        self._post(events.InventoryRead(now, asked_at, answer.value))
