"""How often workers are looked at."""

import pytest

from poplarspindle.fleet import pacing
from poplarspindle.node import poll_waits
from poplarspindle.tests import test_decisions

TARGET_MS = 50
CRITICAL = test_decisions.make_step(
    image="s", target_ms=TARGET_MS, until_cancelled=True
)
BEST_EFFORT = test_decisions.make_step(image="f", best_effort=True)


def make_shared_worker(tail_ratio, percent):
    worker = test_decisions.make_worker()
    test_decisions.add(worker, CRITICAL, "s", usage=tail_ratio * TARGET_MS)
    run = test_decisions.add(worker, BEST_EFFORT, "f")
    run.percent = percent
    return worker


@pytest.mark.parametrize(
    ("tail_ratio", "percent", "wait_ms"),
    [
        pytest.param(0.5, 100, poll_waits.BUSY_WAIT_MS, id="calm"),
        pytest.param(0.9, 100, poll_waits.SHARED_WAIT_MS, id="near-target"),
        pytest.param(1.2, 100, poll_waits.SHARED_WAIT_MS, id="over-target"),
        pytest.param(0.7, 40, poll_waits.SHARED_WAIT_MS, id="slowed-down"),
        pytest.param(0.3, 90, poll_waits.SHARED_WAIT_MS, id="sped-up-again"),
    ],
)
def test_tails_are_measured_often_where_paces_may_have_to_change(
    tail_ratio, percent, wait_ms
):
    """SHORT: looks at 445 workers took the time that starts needed."""
    fleet = test_decisions.make_fleet()
    worker = make_shared_worker(tail_ratio, percent)
    assert poll_waits.choose_wait(worker) == poll_waits.SHARED_WAIT_MS
    worker.paced_at = fleet.now  # Too soon for another change.
    pacing.review_paces(fleet, worker)
    assert poll_waits.choose_wait(worker) == wait_ms


def test_change_of_pace_is_followed_by_looks():
    fleet = test_decisions.make_fleet()
    worker = make_shared_worker(0.9, 100)
    assert pacing.review_paces(fleet, worker)
    assert poll_waits.choose_wait(worker) == poll_waits.SHARED_WAIT_MS


def test_worker_without_both_kinds_of_runs_is_looked_at_seldom():
    worker = test_decisions.make_worker()
    assert poll_waits.choose_wait(worker) == poll_waits.IDLE_WAIT_MS
    test_decisions.add(worker, BEST_EFFORT, "f")
    assert poll_waits.choose_wait(worker) == poll_waits.BUSY_WAIT_MS
