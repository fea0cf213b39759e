"""Orders that wait for their worker, in the order in which they are sent."""

import collections

from poplarspindle.fleet import orders

Queue = collections.deque[orders.Order]


def bring_forward(queue: Queue) -> bool:
    """Moves the first order that grants no leases ahead of all starts.

    Returns:
        Whether there is one.
    """
    for order in queue:
        if not isinstance(order, orders.Start):
            queue.remove(order)
            queue.appendleft(order)
            return True
    return False


def remove_starts(queue: Queue, stop: orders.Stop) -> list[orders.Order]:
    """Removes and returns the starts of a run that is to stop."""
    starts = [order for order in queue if orders.starts_run_of(order, stop)]
    for start in starts:
        queue.remove(start)
    return starts
