"""Raises workers' fencing tokens, with a log line for each."""

import structlog

from poplarspindle.fleet import fencing, orders

_log = structlog.get_logger(part="orders")


def record_unanswered(
    fence: fencing.Fence, order: orders.Order | orders.Poll, worker: str
) -> None:
    """Raises a worker's token if an order without an answer may do harm late.

    Args:
        fence: The worker's token.
        order: The order.
        worker: The worker's name.
    """
    if fencing.record_unanswered(fence, order):
        _log_token(fence, worker, type(order).__name__.lower())


def record_new_incarnation(fence: fencing.Fence, worker: str) -> None:
    """Raises the token of a worker that another incarnation answered for."""
    fencing.record_new_incarnation(fence)
    _log_token(fence, worker, "incarnation")


def _log_token(fence: fencing.Fence, worker: str, unanswered: str) -> None:
    _log.info(
        "token-raised", worker=worker, unanswered=unanswered, token=fence.token
    )
