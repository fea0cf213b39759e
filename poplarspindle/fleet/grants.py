"""Account of the orders that may still renew a worker's leases.

An order that grants leases and got no answer may be carried out late, and its
time may count from its arrival. It renews leases that have not lapsed by then,
so each such order adds at most one lease to the last end that is known. Orders
are void once the worker has answered a higher fencing token; see `fencing`.
"""

import dataclasses
import sys
import typing

from poplarspindle.fleet import worker_state

MAX_ANSWER_AGE_MS = 500  # Calls end after that; see `minions` and `polling`.
MAX_ORDER_DELAY_S = 15.0  # An unanswered order may take effect that late.
UNKNOWN_TOKEN = sys.maxsize  # Of a start that may not have been sent yet.


class Account(typing.Protocol):
    """What a worker's orders may have granted it.

    Attributes:
        leases_end_at: When its leases end, unless an order without an answer
            renews them late.
        unanswered_grants: Orders that may still renew them.
    """

    leases_end_at: float
    unanswered_grants: list[worker_state.UnansweredGrant]


def record_sent(
    worker: worker_state.WorkerState,
    key: worker_state.GrantKey,
    token: int,
    sent_at: float,
    until_ms: int,
) -> None:
    """Records an order that grants leases; it has no answer yet.

    Args:
        worker: The worker.
        key: What tells the order from others to the worker.
        token: Fencing token of the order.
        sent_at: When it was sent, on the owner's clock.
        until_ms: End of the leases that it asks for, on the worker's clock.
    """
    worker.unanswered_grants = [
        grant
        for grant in worker.unanswered_grants
        if sent_at < grant.latest_at + grant.lease_s
    ]
    lease_ms = until_ms - worker_state.estimate_clock_ms(worker, sent_at)
    worker.unanswered_grants.append(
        worker_state.UnansweredGrant(
            key,
            token,
            sent_at + MAX_ORDER_DELAY_S,
            max(0, lease_ms) / 1000 * worker_state.MAX_CLOCK_DRIFT,
        )
    )


def record_answered(worker: Account, key: worker_state.GrantKey) -> None:
    """Records that an order was answered, so it is not late."""
    worker.unanswered_grants = [
        grant for grant in worker.unanswered_grants if grant.key != key
    ]


def void_overtaken(worker: Account, token: int, at: float) -> None:
    """Drops orders of lower tokens than one that the worker answered.

    One of them may have been carried out late just before that.
    """
    kept = []
    for grant in worker.unanswered_grants:
        if grant.token >= token:
            kept.append(grant)
            continue
        end = _extend(worker.leases_end_at, grant, at)
        worker.leases_end_at = max(worker.leases_end_at, end)
    worker.unanswered_grants = kept


def is_clock_of_next_life(clock_ms: int, expected_ms: int) -> bool:
    """Returns whether a worker's clock went back, so that another life answers.

    Answers on several connections are read in any order, and one that arrived
    late has an older time.

    Args:
        clock_ms: Time on the clock in an answer, 0 for none.
        expected_ms: Lower bound of the clock by its last reading.
    """
    return 0 < clock_ms < expected_ms - MAX_ANSWER_AGE_MS


def record_next_life(worker: Account, lease_most_ms: int) -> None:
    """Records that another life of the worker may carry orders out.

    Its clock began anew, so the deadlines of orders that were meant for the one
    before are far ahead, and it grants the longest lease.

    Args:
        worker: The account.
        lease_most_ms: Longest lease that a worker grants.
    """
    lease_s = lease_most_ms / 1000 * worker_state.MAX_CLOCK_DRIFT
    worker.unanswered_grants = [
        dataclasses.replace(grant, lease_s=lease_s)
        for grant in worker.unanswered_grants
    ]


def find_leases_end(worker: Account) -> float:
    """Returns when all leases of a worker are over at the latest."""
    end = worker.leases_end_at
    if not worker.unanswered_grants:
        return end
    for grant in sorted(
        worker.unanswered_grants, key=lambda grant: grant.latest_at
    ):
        end = max(end, _extend(end, grant, grant.latest_at))
    return end


def find_granted_end(worker: worker_state.WorkerState) -> float:
    """Returns when the leases are over that a dead worker was granted.

    Orders without an answer renew none of them, as nothing holds them.
    """
    return min(worker.leases_end_at, worker.granted_end_at)


def _extend(
    end: float, grant: worker_state.UnansweredGrant, latest_at: float
) -> float:
    """Returns the end of leases that a grant renews just before they lapse."""
    return min(end, latest_at) + grant.lease_s
