"""Logs each second what calls an owner makes to its workers."""

from collections.abc import Callable

import structlog

from poplarspindle.node import order_window

INTERVAL_S = 1.0

_log = structlog.get_logger(part="exchange")


def start(
    run_later: Callable[[float, Callable[[], None]], object],
    window: order_window.OrderWindow,
    now: Callable[[], float],
) -> None:
    """Begins to log; called on the thread that carries the calls.

    Args:
        run_later: Runs a function later on that thread, until it ends.
        window: The owner's orders in flight, and its calls by kind.
        now: Returns the present time, steady seconds.
    """
    due_at = now() + INTERVAL_S

    def write() -> None:
        nonlocal due_at
        _log.info(
            "calls",
            late_ms=int((now() - due_at) * 1000),
            limit=window.limit.orders,
            in_flight=window.in_flight,
            waiting=window.waiting,
            waiting_by_urgency=window.count_waiting(),
            **{kind.replace("-", "_"): n for kind, n in window.calls.items()},
        )
        window.calls.clear()
        due_at = now() + INTERVAL_S
        run_later(INTERVAL_S, write)

    run_later(INTERVAL_S, write)
