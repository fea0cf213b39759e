"""An owner that the store has not confirmed for long sends no start.

It froze, or is cut off from the store; another owner may have begun. A start
gives leases to all that runs on its worker, as a poll does.
"""

import time

import pytest

from poplarspindle.fleet import leases, orders, work
from poplarspindle.node import polling
from poplarspindle.tests import test_polling

TASK = work.TaskName("a" * 16, 0, 0, 0)
START = orders.Start(TASK, 1, 16, "spec", 4000, "")
STOP = orders.Stop(TASK, 1, 16)
UNCONFIRMED_S = leases.TAKEOVER_GRANT_S + 1.0


class FakeClient:
    """Keeps the orders that are sent."""

    def __init__(self):
        self.sent = []

    def send(self, order, done):
        """Takes an order; no answer comes."""
        self.sent.append(order)


class UnconfirmedOwnership(test_polling.FakeOwnership):
    """An ownership that the store confirmed some time ago."""

    def __init__(self, client, unconfirmed_s):
        super().__init__(client)
        self._unconfirmed_s = unconfirmed_s

    def store_confirmed_at(self):
        """Tells when the store confirmed the ownership."""
        return time.monotonic() - self._unconfirmed_s


@pytest.mark.parametrize(
    ("order", "unconfirmed_s", "is_sent"),
    [
        pytest.param(START, 0.0, True, id="start-confirmed"),
        pytest.param(START, UNCONFIRMED_S, False, id="start-unconfirmed"),
        pytest.param(STOP, UNCONFIRMED_S, True, id="stop-unconfirmed"),
    ],
)
def test_start_is_sent_by_a_confirmed_owner_only(order, unconfirmed_s, is_sent):
    """TWICE: an owner repeated a start when it woke, 12 s after it froze."""
    client = FakeClient()
    owner = UnconfirmedOwnership(client, unconfirmed_s)
    polling.WorkerPoller(owner, test_polling.WORKER).send_order(order)
    assert client.sent == ([order] if is_sent else [])
    answers = [event.answer for event in owner.posted]
    assert answers == ([] if is_sent else [polling.UNREACHABLE])
