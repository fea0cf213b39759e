"""Silent workers must not use up what an owner's orders share."""

import time

from poplarspindle import resources
from poplarspindle.fleet import events, orders, work
from poplarspindle.node import order_window, polling
from poplarspindle.tests import test_polling

ORDER_TIMEOUT_S = 0.25
SILENT_WORKERS = 30


def make_worker(name):
    return work.WorkerInfo(name, f"{name}:1", "pool", "dc", resources.ZERO)


class Link:
    """Keeps orders for their answers."""

    def __init__(self):
        self.sent = []

    def send(self, order, done):
        """Keeps an order."""
        self.sent.append(done)

    def poll(self, order, timeout_s, done):
        """Has a look get no answer."""
        done(test_polling.LOST)


def test_stops_to_silent_workers_do_not_hold_up_starts_at_others(monkeypatch):
    """Load: a data centre is out of reach and hundreds of its runs are to stop.

    Each stop ends without an answer and is repeated.
    """
    own = test_polling.FakeOwnership(Link())
    silent = []
    for number in range(SILENT_WORKERS):
        own._client = Link()
        silent.append(polling.WorkerPoller(own, make_worker(f"s{number}")))
        silent[-1].poll()
    own._client = Link()
    well = polling.WorkerPoller(own, make_worker("well"))
    clock = [1000.0]
    monkeypatch.setattr(time, "monotonic", lambda: clock[0])

    def repeat_stops():
        for poller in silent:
            queued = {order.task.index for order in poller._queued_orders}
            for index in range(20):
                if index not in queued:
                    name = work.TaskName(poller.worker.name, 0, 0, index)
                    poller.send_order(orders.Stop(name, 1, 16))

    def end_round():
        clock[0] += ORDER_TIMEOUT_S
        for poller in silent:
            unanswered, poller.client.sent = poller.client.sent, []
            for done in unanswered:
                done(orders.Answer(orders.Refusal.NO_ANSWER))

    for _ in range(20):
        repeat_stops()
        end_round()
    repeat_stops()
    room = order_window.compute_room(
        own.order_window.limit, own.order_window.waiting
    )
    start = orders.Start(work.TaskName("j", 0, 0, 0), 1, 16, "", 9000)
    well.send_order(start)
    assert (len(well.client.sent), room > 0) == (1, True)
    assert own.order_window.limit.orders == order_window.INITIAL_LIMIT


def test_start_that_waits_in_line_is_given_back_when_its_worker_is_silent():
    """TWICE: it was sent seconds after the log said what may come there.

    The next owner counts the delay of a late start from that record.
    """
    own = test_polling.FakeOwnership(Link())
    poller = polling.WorkerPoller(own, make_worker("w"))
    names = [work.TaskName("j", 0, 0, index) for index in range(9)]
    for name in names[: polling.MAX_ORDERS_IN_FLIGHT]:
        poller.send_order(orders.Stop(name, 1, 16))
    start = orders.Start(names[-1], 1, 16, "", 9000)
    poller.send_order(start)
    sent = list(poller.client.sent)
    poller.poll()
    for done in sent:
        done(orders.Answer(orders.Refusal.NO_ANSWER))
    assert poller.client.sent == sent
    refusals = {
        event.order: event.answer.refusal
        for event in own.posted
        if isinstance(event, events.OrderAnswered)
    }
    assert refusals[start] is orders.Refusal.UNREACHABLE
    assert own.order_window.waiting == 0
