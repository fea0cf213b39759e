"""Runs the product without one of its guards, to show that checks can fail.

For tests and for the proof of the explorer only.
"""

import contextlib
from collections.abc import Iterator

from poplarspindle.fleet import fencing, grants
from poplarspindle.tools.fakes import owners


@contextlib.contextmanager
def without(
    account: bool = False,
    raised_tokens: bool = False,
    confirmed_grants: bool = False,
) -> Iterator[None]:
    """Takes guards away for a while.

    Args:
        account: Whether without the account of orders that may grant late.
        raised_tokens: Whether without tokens raised within an ownership.
        confirmed_grants: Whether owners grant leases and send starts on that
            the store has not confirmed for long.
    """
    with contextlib.ExitStack() as stack:
        if account:
            stack.enter_context(
                _replace(grants, "record_sent", lambda *row: None)
            )
        if raised_tokens:
            stack.enter_context(
                _replace(fencing, "_raise_token", lambda fence: None)
            )
        if confirmed_grants:
            confirm = owners.Owner.now
            stack.enter_context(
                _replace(owners.Owner, "store_confirmed_at", confirm)
            )
        yield


@contextlib.contextmanager
def _replace(module: object, name: str, value: object) -> Iterator[None]:
    before = getattr(module, name)
    setattr(module, name, value)
    try:
        yield
    finally:
        setattr(module, name, before)
