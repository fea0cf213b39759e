"""Orders that wait for their worker: the most urgent first, then the oldest.

A start that has waited for long comes before all other starts, so that it is
the one that is sent at its turn in the line of all workers.
"""

import bisect
import collections

from poplarspindle.fleet import orders
from poplarspindle.node import order_window

Queue = list[orders.Order]


def insert(queue: Queue, order: orders.Order) -> None:
    """Adds an order behind those that are as urgent."""
    bisect.insort(queue, order, key=orders.find_urgency)


def sort(queue: Queue, now: float) -> None:
    """Sorts orders: others than starts, starts that wait for long, the rest.

    Args:
        queue: The orders that wait; changed.
        now: Present time on the clock of their decisions.
    """
    aged_before = now - order_window.AGED_AFTER_S

    def find_place(order: orders.Order) -> tuple:
        if not isinstance(order, orders.Start):
            return 0, 0
        if order.decided_at <= aged_before:
            return 1, order.decided_at
        return 2, order.priority

    if len(queue) > 1:
        queue.sort(key=find_place)


def find_urgency_without_turn(
    queue: Queue, awaited_turns: collections.Counter[int]
) -> int | None:
    """Returns the urgency of the first order that has no turn in line.

    Args:
        queue: The orders that wait.
        awaited_turns: Turns in line, by urgency.

    Returns:
        The urgency, None if each order has a turn.
    """
    turns_left = collections.Counter(awaited_turns)
    for order in queue:
        urgency = orders.find_urgency(order)
        if not turns_left[urgency]:
            return urgency
        turns_left[urgency] -= 1
    return None


def remove_starts(queue: Queue, stop: orders.Stop) -> list[orders.Order]:
    """Removes and returns the starts of a run that is to stop."""
    starts = [order for order in queue if orders.starts_run_of(order, stop)]
    for start in starts:
        queue.remove(start)
    return starts
