"""Room for orders counts all that wait, wherever they wait."""

import threading

import pytest

from poplarspindle import resources
from poplarspindle.fleet import effects, orders, work, worker_state
from poplarspindle.node import polling
from poplarspindle.tests import test_overrun, test_polling

WORKER = work.WorkerInfo("w", "a:1", "pool", "dc", resources.ZERO)


def give_starts(own, count):
    """Gives an ownership starts, as its state thread does."""
    for index in range(count):
        start = orders.Start(work.TaskName("j", 0, 0, index), 1, 16, "", 9000)
        own.execute(effects.Order(WORKER.name, start))


def test_orders_that_a_late_thread_has_not_taken_in_leave_no_room_for_more():
    """Load: the thread that carries the calls is late, the state thread isn't.

    The starts that it was given wait unseen, and more tasks are placed.
    """
    client = test_overrun.SlowClient(polls=1)
    own = test_overrun.make_ownership(client)
    own.update_pollers({WORKER.name: worker_state.WorkerState(WORKER)})
    at_first = own.compute_order_room()
    blocked, go_on = threading.Event(), threading.Event()

    def block():
        blocked.set()
        go_on.wait(test_overrun.PATIENCE_S)

    own._http_client.start()
    own._http_client.run_soon(block)
    assert blocked.wait(test_overrun.PATIENCE_S)
    give_starts(own, 100)
    not_flushed = own.compute_order_room()
    own.flush()
    give_starts(own, 1000)
    own.flush()
    flushed = own.compute_order_room()
    go_on.set()

    def answer_all():
        sent, client.sent = client.sent, []
        for _, done in sent:
            done(orders.Answer(None))
        return len(sent)

    while test_overrun.run_on_calls_thread(own, answer_all):
        pass
    at_last = own.compute_order_room()
    own.stop()
    assert (not_flushed, flushed) == (at_first - 100, 0)
    assert at_last >= at_first


def test_stop_that_waits_is_not_queued_again_with_each_report():
    """Load: orders wait, and each report lists a run that is placed nowhere.

    Every report would add one more stop to those that wait.
    """
    own = test_polling.FakeOwnership(test_overrun.SlowClient())
    own.order_window.limit.orders = 1
    busy, waiting = (polling.WorkerPoller(own, WORKER) for _ in range(2))
    first, second = (work.TaskName("j", 0, 0, index) for index in range(2))
    busy.send_order(orders.Stop(first, 1, 16))
    for _ in range(10):
        waiting.send_order(orders.Stop(first, 1, 16))
        waiting.send_order(orders.Stop(first, 2, 16))
        waiting.send_order(orders.Stop(second, 1, 16))
    assert own.order_window.waiting == 3
    client, stopped = waiting.client, []
    while client.sent:
        sent, client.sent = client.sent, []
        for order, done in sent:
            stopped.append((order.task.index, order.attempt))
            done(orders.Answer(None))
    assert stopped == [(0, 1), (0, 1), (0, 2), (1, 1)]
    assert own.order_window.waiting == 0


def test_start_does_not_grow_old_behind_later_orders_to_other_workers():
    """Load: orders wait, and one worker is to start many tasks.

    With one order a turn for each worker its last start waits for several
    orders to each of hundreds of others, and outlives its lease.
    """
    own = test_polling.FakeOwnership(test_overrun.SlowClient(polls=4))
    own.order_window.limit.orders = 1
    pollers = [polling.WorkerPoller(own, WORKER) for _ in range(4)]
    for poller in pollers:
        poller.poll()
    sequence = [0, 0, 0, 1, 0, 2, 1, 3, 0]
    for number, index in enumerate(sequence):
        name = work.TaskName("j", 0, 0, number)
        pollers[index].send_order(orders.Start(name, 1, 16, "", 9000))
    client, sent = pollers[0].client, []
    while client.sent:
        ((order, done),) = client.sent
        client.sent = []
        sent.append(order.task.index)
        done(orders.Answer(None))
    assert sent == list(range(len(sequence)))
    assert (own.order_window.waiting, own.order_window.in_flight) == (0, 0)


@pytest.mark.parametrize("workers", [1, 4])
def test_urgent_start_does_not_wait_behind_starts_that_can_wait(workers):
    """SHORT: the owner is late, and hundreds of starts are in line.

    Each step of a job with priority 0 waits behind those with priority 2.
    """
    own = test_polling.FakeOwnership(test_overrun.SlowClient(polls=workers))
    own.order_window.limit.orders = 1
    pollers = [polling.WorkerPoller(own, WORKER) for _ in range(workers)]
    for poller in pollers:
        poller.poll()
    priorities = [2, 2, 2, 0, 2, 1, 0, 2]
    for number, priority in enumerate(priorities):
        name = work.TaskName("j", 0, 0, number)
        pollers[number % workers].send_order(
            orders.Start(name, 1, 16, "", 9000, priority=priority)
        )
    client, sent = pollers[0].client, []
    while client.sent:
        ((order, done),) = client.sent
        client.sent = []
        sent.append(order.task.index)
        done(orders.Answer(None))
    assert sent == [0, 3, 6, 5, 1, 2, 4, 7]
    assert (own.order_window.waiting, own.order_window.in_flight) == (0, 0)
