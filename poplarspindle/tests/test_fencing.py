"""The fencing token for one worker is raised after orders without an answer."""

import dataclasses
import itertools
import time

import pytest

from poplarspindle import outcomes
from poplarspindle.fleet import (
    events,
    fencing,
    leases,
    orders,
    work,
    worker_state,
)
from poplarspindle.node import election, polling
from poplarspindle.tests import test_polling

EPOCH = 3 * fencing.EPOCH_STEP
NAME = work.TaskName("j", 0, 0, 0)
START = orders.Start(NAME, 1, EPOCH, "spec", 9000)
STOP = orders.Stop(NAME, 1, EPOCH)
NO_ANSWER = orders.Answer(orders.Refusal.NO_ANSWER)
FENCED = orders.Answer(orders.Refusal.FENCED)


@pytest.mark.parametrize(
    ("order", "answered", "raised"),
    [
        pytest.param(START, 0, 1, id="start"),
        pytest.param(orders.Poll(EPOCH, 0, 9000, 0), 0, 1, id="renewal"),
        pytest.param(orders.Poll(EPOCH, 4, 0, 0), EPOCH, 1, id="ends"),
        pytest.param(orders.Poll(EPOCH, 4, 0, 0), 0, 0, id="ends-again"),
        pytest.param(orders.Poll(EPOCH, 0, 0, 0), EPOCH, 0, id="look"),
        pytest.param(STOP, EPOCH, 0, id="stop"),
        pytest.param(orders.Pace(NAME, 1, EPOCH, 50), EPOCH, 0, id="pace"),
        pytest.param(
            dataclasses.replace(START, epoch=EPOCH - 1),
            EPOCH,
            0,
            id="overtaken",
        ),
    ],
)
def test_token_is_raised_after_what_may_do_harm_late(order, answered, raised):
    fence = fencing.make_fence(EPOCH)
    fencing.record_answered(fence, answered)
    fencing.record_unanswered(fence, order)
    assert fence.token == EPOCH + raised


def test_tokens_stay_below_the_next_epoch():
    """TWICE: an owner that was replaced would refuse the next one's orders."""
    fence = fencing.make_fence(EPOCH)
    for _ in range(fencing.TOKENS_PER_EPOCH + 5):
        fencing.record_new_incarnation(fence)
    assert fence.token == EPOCH + fencing.TOKENS_PER_EPOCH - 1


def test_claims_at_the_same_moment_have_tokens_of_their_own():
    """TWICE: the tokens of one claimant would reach into the other's."""
    epochs = {
        election.choose_epoch(EPOCH + 5, f"node-{number}")
        for number in range(2000)
    }
    assert len(epochs) == fencing.CLAIMS_PER_STEP
    ordered = sorted(epochs)
    assert ordered[0] > EPOCH + fencing.TOKENS_PER_EPOCH
    gaps = {after - before for before, after in itertools.pairwise(ordered)}
    assert gaps == {fencing.TOKENS_PER_EPOCH}


@pytest.mark.parametrize("last", [0, 37, 16 * 9000 + 3])
def test_epoch_is_higher_than_that_of_an_earlier_version(last):
    """Epochs were 16 apart before tokens were raised within them."""
    assert election.choose_epoch(last, "node") > last


class Link(test_polling.FakeClient):
    """Keeps orders and polls, and how their answers are taken."""

    def __init__(self):
        super().__init__([])
        self.sent = []
        self.polls = []

    def send(self, order, done):
        """Keeps an order."""
        self.sent.append((order, done))

    def poll(self, order, timeout_s, done):
        """Keeps a poll."""
        self.polls.append((order, done))


def make_poller():
    link = Link()
    owner = test_polling.FakeOwnership(link)
    owner.epoch = EPOCH
    return owner, link, polling.WorkerPoller(owner, test_polling.WORKER)


def list_answers(owner):
    return [
        event.answer.refusal
        for event in owner.posted
        if isinstance(event, events.OrderAnswered)
    ]


def test_repeated_start_carries_a_higher_token():
    """TWICE: the first one is refused once the second one was answered."""
    _, link, poller = make_poller()
    poller.send_order(START)
    link.sent[0][1](NO_ANSWER)
    poller.send_order(START)
    poller.poll()
    assert [order.epoch for order, _ in link.sent] == [EPOCH, EPOCH + 1]
    assert link.polls[0][0].epoch == EPOCH + 1


@pytest.mark.parametrize("order", [START, STOP])
def test_order_that_a_later_token_overtook_is_no_sign_of_another_owner(order):
    """LOST: it was refused by the token of this owner, and is repeated."""
    owner, link, poller = make_poller()
    poller.send_order(order)
    poller.send_order(START)
    link.sent[1][1](NO_ANSWER)
    link.sent[0][1](FENCED)
    assert list_answers(owner) == [
        orders.Refusal.NO_ANSWER,
        orders.Refusal.OVERTAKEN,
    ]


def test_poll_that_a_later_token_overtook_is_sent_again():
    """LOST: its owner would give the fleet up."""
    owner, link, poller = make_poller()
    poller.poll()
    poller.send_order(START)
    link.sent[0][1](NO_ANSWER)
    failed = outcomes.Failed(outcomes.Step.HOLD, "w", "fenced")
    link.polls[0][1](failed)
    assert "worker-fenced" not in owner.posted
    assert link.polls[1][0].epoch == EPOCH + 1
    link.polls[1][1](failed)
    assert "worker-fenced" in owner.posted


def test_order_that_a_later_owner_overtook_is_fenced():
    owner, link, poller = make_poller()
    poller.send_order(START)
    link.sent[0][1](FENCED)
    assert list_answers(owner) == [orders.Refusal.FENCED]


def test_next_incarnation_is_given_a_higher_token():
    """TWICE: what is late from the life before would have an equal one."""
    _, link, poller = make_poller()
    poller.poll()
    link.polls[0][1](outcomes.Ok(work.Report(5, 7, (), ())))
    poller._poll_timer.job()
    link.polls[1][1](outcomes.Ok(work.Report(5, 8, (), ())))
    poller.send_order(START)
    assert link.sent[0][0].epoch == EPOCH + 1


def test_lease_of_a_start_that_waited_counts_from_its_sending(monkeypatch):
    """LOST: an overloaded owner's starts would all be refused as late."""
    clock = [1000.0]
    monkeypatch.setattr(time, "monotonic", lambda: clock[0])
    _, link, poller = make_poller()
    poller.poll()
    link.polls[0][1](test_polling.make_report(8600))
    for attempt in range(polling.MAX_ORDERS_IN_FLIGHT + 1):
        poller.send_order(dataclasses.replace(START, attempt=attempt))
    clock[0] += 1.5
    link.sent[0][1](orders.Answer(None))
    assert [link.sent[n][0].until_ms for n in (0, -1)] == [
        8600 + leases.START_LEASE_MS,
        8600 + int(1500 / worker_state.MAX_CLOCK_DRIFT) + leases.START_LEASE_MS,
    ]
