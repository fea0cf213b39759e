"""Leases of earlier owners in the bound of an owner's leases.

TWICE: an owner takes them to be over, and what its own orders add outlasts the
next owner's wait.
"""

import pytest

from poplarspindle import outcomes
from poplarspindle.fleet import events, leases, orders, work
from poplarspindle.node import polling
from poplarspindle.tests import test_lease_bounds as bounds
from poplarspindle.tests import test_polling

MOST_S = bounds.MOST_MS / 1000 * bounds.DRIFT


def make_report(incarnation_ms=7):
    return outcomes.Ok(work.Report(50_000, incarnation_ms, (), ()))


def make_start(index=0):
    until_ms = 50_000 + leases.LEASE_MS
    return orders.Start(work.TaskName("j", 0, 0, index), 1, 16, "", until_ms)


class NextOwnership(bounds.FixedOwnership):
    """An owner at the moment of its claim."""

    earlier_leases_end_at = bounds.NOW + bounds.WAIT_S


def make_poller(polls):
    """Makes an owner's poller, whose polls are answered as given.

    Returns:
        The poller, and the starts that it sends.
    """
    client = test_polling.FakeClient(polls)
    sent = []
    client.send = lambda order, done: sent.append((order, done))
    poller = polling.WorkerPoller(NextOwnership(client), test_polling.WORKER)
    return poller, sent


def test_start_waits_until_its_worker_refuses_earlier_owners():
    """TWICE: it adds to what they granted, beyond the next owner's wait."""
    poller, sent = make_poller([make_report()])
    poller.send_order(make_start())
    assert sent == []
    poller.poll()
    ((order, _),) = sent
    assert (
        MOST_S + (order.until_ms - 50_000) / 1000 * bounds.DRIFT
        <= bounds.WAIT_S
    )


def test_start_that_waits_for_a_first_answer_is_returned_without_one():
    """LOST: its task could run on another worker meanwhile."""
    poller, sent = make_poller([test_polling.LOST, test_polling.LOST])
    poller.send_order(make_start())
    poller.poll()
    assert sent == []
    (answered,) = [
        event
        for event in poller._ownership.posted
        if isinstance(event, events.OrderAnswered)
    ]
    assert answered.answer == polling.UNREACHABLE


@pytest.mark.parametrize(
    ("polls", "ends_at"),
    [
        pytest.param([], bounds.NOW + bounds.WAIT_S, id="not-heard"),
        pytest.param(
            [test_polling.LOST] * 2, bounds.NOW + bounds.WAIT_S, id="lost"
        ),
        pytest.param(
            [test_polling.REFUSED],
            bounds.NOW + bounds.WAIT_S,
            id="not-delivered",
        ),
        pytest.param([make_report()], bounds.NOW + MOST_S, id="heard"),
        pytest.param(
            [make_report(), make_report(8)], bounds.NOW + MOST_S, id="next-life"
        ),
    ],
)
def test_leases_of_earlier_owners_count_until_they_are_refused(polls, ends_at):
    """TWICE: their late orders renew what is held until then."""
    poller, _ = make_poller(polls)
    if polls:
        poller.poll()
    assert poller.fence.account.leases_end_at == pytest.approx(ends_at)


def test_answer_to_a_start_tells_that_earlier_owners_are_refused():
    """LOST: else nothing is granted until a poll is answered, too."""
    poller, sent = make_poller([])
    poller._ownership.unconfirmed_s = -leases.TAKEOVER_GRANT_S - 1.0
    poller.send_order(make_start())
    ((_, done),) = sent
    done(orders.Answer(None))
    assert poller.fence.account.leases_end_at == pytest.approx(
        bounds.NOW + MOST_S
    )


@pytest.mark.parametrize("incarnation_ms", [7, 8])
def test_first_answer_at_another_address_counts_anew(incarnation_ms):
    """TWICE: it may be another life, which took earlier owners' orders."""
    poller, _ = make_poller([make_report()])
    poller.poll()
    poller.fence.account.leases_end_at = bounds.NOW + 1.0
    client = test_polling.FakeClient([make_report(incarnation_ms)])
    other = polling.WorkerPoller(
        NextOwnership(client), test_polling.WORKER, poller.fence
    )
    other.poll()
    assert other.fence.account.leases_end_at == pytest.approx(
        bounds.NOW + MOST_S
    )


def test_leases_are_renewed_though_earlier_ones_may_last_longer():
    """LOST: the store falls silent, and the bound is not what was granted."""
    poller, _ = make_poller([make_report()])
    poller._ownership.unconfirmed_s = leases.LONG_LEASE_AFTER_S + 0.1
    poller.allow_leases(0)
    poller.poll()
    granted = [
        event
        for event in poller._ownership.posted
        if isinstance(event, events.LeaseGranted)
    ]
    assert granted
