"""Orders of the virtual fleet that get no answer and are carried out late.

The owner takes such an order to be unanswered. Its worker carries it out later,
also while the owner can't reach it and after another owner has begun; only the
worker's fence, and the deadline that the order names, can refuse it then.
"""

import dataclasses
import random
from collections.abc import Callable

from poplarspindle.tools.fakes import messages

POLLS = frozenset(
    {
        messages.Kind.RENEWAL,
        messages.Kind.ACKNOWLEDGEMENT,
        messages.Kind.LOOK,
    }
)


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
    """Draws which orders and polls are late.

    Args:
        lateness: How orders are late.
        rng: Source of chance.
        after_deferred: Takes the name of the worker of each late order.

    Attributes:
        lateness: How orders are late.
        is_lost: Tells whether a message is late, given the share of those of
            its kind that are.
    """

    def __init__(
        self,
        lateness: Lateness,
        rng: random.Random,
        after_deferred: Callable[[str], None],
    ) -> None:
        self.lateness = lateness
        self._rng = rng
        self._after_deferred = after_deferred
        self.is_lost: Callable[[float, messages.Message], bool] = self._draw

    def choose_fate(
        self, orders_share: float, polls_share: float, message: messages.Message
    ) -> messages.Fate:
        """Draws what becomes of a message.

        Args:
            orders_share: Share of the orders that are late.
            polls_share: Share of the polls that are late.
            message: The message; its worker can be reached.
        """
        is_poll = message.kind in POLLS
        share = polls_share if is_poll else orders_share
        if not self.is_lost(share, message):
            return messages.DELIVERED
        lateness = self.lateness
        fate = messages.Fate(
            self._rng.uniform(*lateness.delay_s),
            answered=False,
            from_arrival=lateness.poll_leases
            if is_poll
            else lateness.start_leases,
            next_lives=lateness.incarnations,
        )
        self._after_deferred(message.worker)
        return fate

    def _draw(self, share: float, message: messages.Message) -> bool:
        # Walks without late polls draw as they did before there were any.
        if message.kind in POLLS and not share:
            return False
        return self._rng.random() < share
