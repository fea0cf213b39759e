"""Bounds an owner's leases by the time that the next owner waits for them.

A next owner that finds no record of a worker waits for a fixed time from its
claim. It claims after the store last confirmed the owner before. That one's
orders without an answer may each be carried out late, just before the leases
end, and may renew them from then on. So for each worker, whenever an order that
grants leases is sent:

    end of the leases that were granted
    + the leases that orders without an answer ask for
    <= last confirmation + `find_next_wait_s`

What earlier owners granted counts as well. Until the worker answers this owner
it counts as ending with this owner's wait, by the same inequality. A worker
that has answered refuses their orders, which may have renewed its leases until
then, so it counts as ending with the longest lease after that answer. Thus the
inequality holds for any number of owners.
"""

import dataclasses

from poplarspindle.fleet import grants, leases, worker_state


@dataclasses.dataclass(slots=True)
class Account:
    """What the orders of one owner and of those before may have granted.

    Times are on the owner's monotonic clock.

    Attributes:
        leases_end_at: When a worker's leases end at the latest, unless an order
            without an answer renews them; minus infinity for none.
        answered_end_at: When the leases end that this owner asked for and that
            were answered, minus infinity for none.
        unanswered_grants: This owner's orders that grant leases and have no
            answer.
    """

    leases_end_at: float = float("-inf")
    answered_end_at: float = float("-inf")
    unanswered_grants: list[worker_state.UnansweredGrant] = dataclasses.field(
        default_factory=list
    )


def find_next_wait_s(lease_most_ms: int) -> float:
    """Returns how long a next owner without a record waits from its claim.

    Args:
        lease_most_ms: Longest lease that a worker grants.
    """
    return leases.TAKEOVER_GRANT_S + _find_longest_s(lease_most_ms)


def _find_longest_s(lease_most_ms: int) -> float:
    """Returns how long the longest lease may last on the owner's clock."""
    return lease_most_ms / 1000 * worker_state.MAX_CLOCK_DRIFT


def find_longest_lease_ms(
    account: Account, now: float, confirmed_at: float, lease_most_ms: int
) -> int:
    """Returns the longest lease that an order may ask for now, 0 for none.

    Args:
        account: What the worker may have been granted.
        now: Present time, on the owner's monotonic clock.
        confirmed_at: When the store last confirmed the ownership, on the same
            clock.
        lease_most_ms: Longest lease that a worker grants.
    """
    unanswered_s = sum(grant.lease_s for grant in account.unanswered_grants)
    latest_end_at = max(account.leases_end_at, now) + unanswered_s
    room_s = confirmed_at + find_next_wait_s(lease_most_ms) - latest_end_at
    room_ms = int(room_s * 1000 / worker_state.MAX_CLOCK_DRIFT)
    return max(0, min(lease_most_ms, room_ms))


def record_sent(
    account: Account,
    key: worker_state.GrantKey,
    token: int,
    sent_at: float,
    lease_ms: int,
) -> None:
    """Records an order that grants leases; it has no answer yet."""
    account.unanswered_grants.append(
        worker_state.UnansweredGrant(
            key,
            token,
            sent_at + grants.MAX_ORDER_DELAY_S,
            lease_ms / 1000 * worker_state.MAX_CLOCK_DRIFT,
        )
    )


def record_carried_out(
    account: Account, key: worker_state.GrantKey, at: float
) -> None:
    """Records that an order may have been carried out, and is not late."""
    for grant in account.unanswered_grants:
        if grant.key == key:
            end = at + grant.lease_s
            account.leases_end_at = max(account.leases_end_at, end)
            account.answered_end_at = max(account.answered_end_at, end)
    grants.record_answered(account, key)


def record_heard(
    account: Account, at: float, lease_most_ms: int, is_first_life: bool
) -> None:
    """Records the first answer to this owner in a life of the worker.

    From then on that life refuses the orders of earlier owners. What it carried
    out until then grants the longest lease at most.

    Args:
        account: What the worker may have been granted.
        at: When the answer came, on the owner's monotonic clock.
        lease_most_ms: Longest lease that a worker grants.
        is_first_life: Whether the worker has not answered this owner before.
    """
    if is_first_life and account.leases_end_at == float("-inf"):
        return  # There was no earlier owner.
    account.leases_end_at = at + _find_longest_s(lease_most_ms)


def void_overtaken(account: Account, token: int, at: float) -> None:
    """Drops orders of lower tokens than one that the worker answered.

    One of them may have been carried out just before that, also by a worker on
    which nothing ran any more; its leases hold for the next run.
    """
    for grant in account.unanswered_grants:
        if grant.token < token:
            end = at + grant.lease_s
            account.leases_end_at = max(account.leases_end_at, end)
    grants.void_overtaken(account, token, at)
