"""Fencing token that an owner uses for one worker.

A worker does nothing for a lower token than the highest that it has seen. So an
order without an answer, which may be carried out seconds later and even in the
worker's next incarnation, is void once the worker has answered an order with a
higher token. The owner raises the token of a worker after such an order, within
the tokens of its epoch: all of them are below the epoch of any later owner.
"""

import dataclasses

from poplarspindle.fleet import lease_bounds, orders

TOKENS_PER_EPOCH = 1 << 16
CLAIMS_PER_STEP = 16  # Claims at the same moment get different epochs.
EPOCH_STEP = CLAIMS_PER_STEP * TOKENS_PER_EPOCH


@dataclasses.dataclass(slots=True)
class Fence:
    """What is kept of the orders to one worker, beyond its address.

    Attributes:
        epoch: Epoch of the ownership, the lowest of its tokens.
        token: Token of the next order.
        answered: Highest token of an order that the worker answered, 0 for
            none.
        account: What orders may have granted the worker.
    """

    epoch: int
    token: int
    answered: int = 0
    account: lease_bounds.Account = dataclasses.field(
        default_factory=lease_bounds.Account
    )


def make_fence(
    epoch: int, earlier_leases_end_at: float = float("-inf")
) -> Fence:
    """Makes the token for a worker that was given no order yet.

    Args:
        epoch: Epoch of the ownership.
        earlier_leases_end_at: When all leases end that earlier owners granted,
            on the owner's monotonic clock; minus infinity for none.
    """
    account = lease_bounds.Account(earlier_leases_end_at)
    return Fence(epoch, epoch, account=account)


def record_unanswered(fence: Fence, order: orders.Order | orders.Poll) -> bool:
    """Raises the token if an order without an answer may do harm later.

    A late start begins a run, and grants leases as some polls do. A late poll
    names ends that the next incarnation numbers anew; as polls are repeated for
    as long as a worker is silent, they raise a token that it has answered only.
    Late stops and changes of pace do no harm.

    Returns:
        Whether the token was raised.
    """
    if order.epoch != fence.token:
        return False
    if isinstance(order, orders.Stop | orders.Pace):
        return False
    if isinstance(order, orders.Poll) and not order.until_ms:
        names_ends = order.acknowledged_end > 0
        if not names_ends or fence.answered != fence.token:
            return False
    _raise_token(fence)
    return True


def record_new_incarnation(fence: Fence) -> None:
    """Raises the token, as orders to the earlier incarnation may be late."""
    _raise_token(fence)


def record_replaced(fence: Fence) -> None:
    """Raises the token, as no answer to what is in flight is waited for."""
    _raise_token(fence)


def record_answered(fence: Fence, token: int) -> None:
    """Notes that the worker answered an order with a token."""
    fence.answered = max(fence.answered, token)


def is_overtaken(fence: Fence, token: int) -> bool:
    """Returns whether this owner itself used a higher token since."""
    return token < fence.token


def read_answer(
    fence: Fence, order: orders.Order, answer: orders.Answer
) -> orders.Answer:
    """Returns what an answer means.

    An order of a lower token than this owner's later ones is refused; that does
    not mean that another owner was seen.
    """
    if answer.refusal is orders.Refusal.FENCED and is_overtaken(
        fence, order.epoch
    ):
        return dataclasses.replace(answer, refusal=orders.Refusal.OVERTAKEN)
    return answer


def _raise_token(fence: Fence) -> None:
    """Raises the token; at the last one of the epoch only time voids orders."""
    last = fence.epoch + TOKENS_PER_EPOCH - 1
    fence.token = min(fence.token + 1, last)
