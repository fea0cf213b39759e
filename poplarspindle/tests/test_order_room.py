"""Room for orders counts all that wait, wherever they wait."""

import threading

from poplarspindle import resources
from poplarspindle.fleet import effects, orders, work, worker_state
from poplarspindle.tests import test_overrun

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
    client = test_overrun.SlowClient()
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
