"""Whether a failed send may be tried again, and the budget for it.

Every request earns a share of one further send. Under overload, when most
sends fail, further sends stay that share of the requests.
"""

import dataclasses

from poplarspindle import outcomes

MAX_ATTEMPTS = 3
MAX_SAVED_RETRIES = 10.0


@dataclasses.dataclass(slots=True)
class Budget:
    """Further sends that one entry may make.

    Attributes:
        share: Further sends earned by one request.
        saved: Further sends in hand.
    """

    share: float
    saved: float = 0.0


def earn(budget: Budget) -> None:
    """Notes a new request."""
    budget.saved = min(MAX_SAVED_RETRIES, budget.saved + budget.share)


def spend(budget: Budget) -> bool:
    """Takes one further send, where there is one in hand."""
    if budget.saved < 1.0:
        return False
    budget.saved -= 1.0
    return True


def may_retry(
    failed: outcomes.Failed, idempotent: bool, tries: int, left_s: float
) -> bool:
    """Decides whether a failed send is safe to try at another minion.

    Args:
        failed: The failure.
        idempotent: Whether the request may run more than once.
        tries: Sends so far.
        left_s: Time left until the caller's deadline.
    """
    safe = idempotent or not failed.may_have_acted
    return safe and tries < MAX_ATTEMPTS and left_s > 0
