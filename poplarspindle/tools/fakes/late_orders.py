"""Orders of the virtual fleet that get no answer and are carried out late.

The owner takes such an order to be unanswered. Its worker carries it out later,
also while the owner can't reach it and after another owner has begun; only the
worker's fence, and the deadline that the order names, can refuse it then.
"""

import dataclasses
import random
from collections.abc import Callable

from poplarspindle.fleet import orders
from poplarspindle.tools.fakes import fleet_workers


@dataclasses.dataclass(frozen=True, slots=True)
class Lateness:
    """How orders are late.

    Attributes:
        delay_s: How late, at least and at most.
        incarnations: Whether a worker's next life carries them out too.
        start_leases: Whether the leases of late starts begin when they come.
        poll_leases: Whether the leases of late polls do.
    """

    delay_s: tuple[float, float]
    incarnations: bool
    start_leases: bool
    poll_leases: bool


class LateOrders:
    """Draws which orders are late, and lets them be carried out later.

    Args:
        lateness: How orders are late.
        rng: Source of chance.
        call_later: Calls a function later in virtual time.
        after_deferred: Takes the name of the worker of each late order.
    """

    def __init__(
        self,
        lateness: Lateness,
        rng: random.Random,
        call_later: Callable[[float, Callable[[], None]], None],
        after_deferred: Callable[[str], None],
    ) -> None:
        self._lateness = lateness
        self._rng = rng
        self._call_later = call_later
        self._after_deferred = after_deferred

    def defer_order(
        self,
        share: float,
        worker: fleet_workers.FakeWorker,
        order: orders.Order,
        execute: Callable[[fleet_workers.FakeWorker, orders.Order], object],
    ) -> bool:
        """Draws whether an order is late; it is then carried out later.

        Args:
            share: Share of the orders that are late.
            worker: The worker that it was sent to.
            order: The order.
            execute: Carries it out.
        """
        if self._rng.random() >= share:
            return False
        counts_from_arrival = self._lateness.start_leases and isinstance(
            order, orders.Start
        )
        self._defer(worker, order, counts_from_arrival, execute)
        return True

    def defer_poll(
        self,
        share: float,
        worker: fleet_workers.FakeWorker,
        poll: orders.Poll,
    ) -> bool:
        """Draws whether a poll is late; it is then carried out later.

        Its report reaches nobody.
        """
        # Walks without late polls draw as they did before there were any.
        if not share or self._rng.random() >= share:
            return False
        self._defer(worker, poll, self._lateness.poll_leases, _execute_poll)
        return True

    def _defer(
        self,
        worker: fleet_workers.FakeWorker,
        order: orders.Order | orders.Poll,
        counts_from_arrival: bool,
        execute: Callable,
    ) -> None:
        delay_s = self._rng.uniform(*self._lateness.delay_s)
        born_ms = worker.incarnation_ms
        if counts_from_arrival and order.until_ms:
            until_ms = order.until_ms + int(delay_s * 1000)
            order = dataclasses.replace(order, until_ms=until_ms)

        def carry_out_late() -> None:
            # What comes before any owner spoke to a life none can refuse.
            next_life = self._lateness.incarnations and worker.fencing_epoch
            if worker.up and (worker.incarnation_ms == born_ms or next_life):
                execute(worker, order)

        self._call_later(delay_s, carry_out_late)
        self._after_deferred(worker.description.name)


def _execute_poll(
    worker: fleet_workers.FakeWorker, poll: orders.Poll
) -> object:
    worker.advance()
    return worker.poll(poll)
