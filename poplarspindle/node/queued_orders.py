"""Orders that wait for their worker: the most urgent first, then the oldest."""

import bisect
import collections

from poplarspindle.fleet import orders

Queue = list[orders.Order]


def insert(queue: Queue, order: orders.Order) -> None:
    """Adds an order behind those that are as urgent."""
    bisect.insort(queue, order, key=orders.find_urgency)


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
