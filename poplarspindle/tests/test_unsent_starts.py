"""Starts that an owner never sent."""

import pytest

from poplarspindle.fleet import events, late_starts, orders, reports
from poplarspindle.tests import test_decisions


@pytest.mark.parametrize(
    ("waited_s", "is_excluded"),
    [
        pytest.param(0.5, True, id="not delivered"),
        pytest.param(late_starts.MAX_START_AGE_S + 0.1, False, id="too old"),
    ],
)
def test_worker_is_not_shut_for_a_start_that_waited_in_its_owner(
    waited_s, is_excluded
):
    """SHORT: starts that can wait grow old in line; urgent work needs room."""
    fleet, worker = test_decisions.make_fleet(), test_decisions.make_worker()
    fleet.workers[worker.info.name] = worker
    run = test_decisions.add(worker, test_decisions.make_step())
    run.confirmed, run.start_sent, run.start_in_flight = False, True, True
    run.start_sent_at = fleet.now - waited_s
    order = orders.Start(run.name, run.attempt, 16, "", 9000)
    answer = orders.Answer(orders.Refusal.UNREACHABLE)
    reports.handle_answer(
        fleet,
        events.OrderAnswered(
            fleet.now, worker.info.name, fleet.now, order, answer
        ),
    )
    assert run.key not in worker.runs
    assert (worker.no_placement_until > fleet.now) == is_excluded
