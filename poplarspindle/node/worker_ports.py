"""What polls and orders ask of the ownership that they belong to."""

import threading
import typing
from collections.abc import Callable

from poplarspindle.fleet import work
from poplarspindle.node import order_window


class Ownership(typing.Protocol):
    """What a watch asks of the ownership that it belongs to.

    Attributes:
        epoch: Its epoch.
        lease_most_ms: Longest lease that a worker grants.
        earlier_leases_end_at: When all leases of earlier owners end at the
            latest, on this node's monotonic clock.
        stop_event: Set when the ownership is over.
        order_window: Bounds the orders in flight.
    """

    epoch: int
    lease_most_ms: int
    earlier_leases_end_at: float
    stop_event: threading.Event
    order_window: order_window.OrderWindow

    def connect(self, info: work.WorkerInfo) -> typing.Any:
        """Makes a client of a worker."""

    def now(self) -> float:
        """Returns the present time on this node's clock, seconds."""

    def store_confirmed_at(self) -> float:
        """Returns since when another node may have claimed the fleet."""

    def wall_ms(self) -> int:
        """Returns Unix time in milliseconds."""

    def post(self, event: object) -> None:
        """Hands an event over."""

    def report_lost(self, why: str) -> None:
        """Notes that another owner was seen."""

    def run_later(self, delay_s: float, job: Callable[[], None]) -> typing.Any:
        """Runs a function later on the calls' thread; it can be cancelled."""
