"""Account of the orders that may still renew a worker's leases."""

import pytest

from poplarspindle import resources
from poplarspindle.fleet import grants, leases, work, worker_state
from poplarspindle.tools.fakes import fleets

INFO = work.WorkerInfo("w", "a:1", "pool", "dc", resources.ZERO)
LEASE_S = 4.0 * worker_state.MAX_CLOCK_DRIFT
TOKEN = 100
# When each was sent, on the owner's clock; all ask for 4 s.
ONE, TWO, FIVE_AND_LATE = [10.0], [10.0, 10.5], [10.0, 11.0, 12.0, 13.0, 24.0]


def make_worker(*sent_at):
    """Makes a worker whose known leases end at 14 s."""
    worker = worker_state.WorkerState(INFO)
    worker_state.record_clock(worker, 1, 0.0)
    worker.leases_end_at = 14.0
    for token, at in enumerate(sent_at, TOKEN):
        until_ms = worker_state.estimate_clock_ms(worker, at) + 4000
        grants.record_sent(worker, at, token, at, until_ms)
    return worker


@pytest.mark.parametrize(
    ("sent_at", "ends_at"),
    [
        pytest.param([], 14.0, id="none"),
        pytest.param(ONE, 14.0 + LEASE_S, id="one"),
        pytest.param(TWO, 14.0 + 2 * LEASE_S, id="two"),
        # The first three are carried out by 25, 26 and 27 s, in turn; the
        # fourth by 28 s, the last by 39 s.
        pytest.param(FIVE_AND_LATE, 14.0 + 5 * LEASE_S, id="five"),
        pytest.param([-20.0], 14.0, id="too-long-ago"),
    ],
)
def test_each_order_without_an_answer_adds_one_lease_at_most(sent_at, ends_at):
    """TWICE: the owner waited for the leases that it had asked for only."""
    found = grants.find_leases_end(make_worker(*sent_at))
    assert found == pytest.approx(ends_at, abs=0.01)


def test_orders_add_no_lease_once_none_can_come_any_more():
    """LOST: a row of them keeps tasks waiting for as long as it is."""
    sent_at = [10.0 + number / 10 for number in range(40)]
    latest_end = sent_at[-1] + grants.MAX_ORDER_DELAY_S + LEASE_S
    found = grants.find_leases_end(make_worker(*sent_at))
    assert found == pytest.approx(latest_end, abs=0.01)


def test_lapsed_leases_are_not_renewed():
    worker = make_worker(*ONE)
    worker.leases_end_at = float("-inf")
    assert grants.find_leases_end(worker) == float("-inf")


def test_answered_order_adds_nothing():
    worker = make_worker(*TWO)
    grants.record_answered(worker, TWO[0])
    found = grants.find_leases_end(worker)
    assert found == pytest.approx(14.0 + LEASE_S, abs=0.01)


@pytest.mark.parametrize(
    ("token", "at", "ends_at"),
    [
        pytest.param(TOKEN, 12.0, 14.0 + 2 * LEASE_S, id="of-the-same-token"),
        # The first may have been carried out just before the answer.
        pytest.param(TOKEN + 1, 12.0, 12.0 + 2 * LEASE_S, id="first-is-void"),
        pytest.param(TOKEN + 2, 12.0, 12.0 + LEASE_S, id="both-are-void"),
    ],
)
def test_answer_to_a_higher_token_makes_orders_void(token, at, ends_at):
    worker = make_worker(*TWO)
    grants.void_overtaken(worker, token, at)
    found = grants.find_leases_end(worker)
    assert found == pytest.approx(ends_at, abs=0.01)


def test_account_does_not_grow_with_orders_of_long_ago():
    worker = make_worker(*(float(at) for at in range(0, 1000, 5)))
    assert len(worker.unanswered_grants) < 10


CLOCK = leases.Clock(1000, 10.0, True, 10.0)
DUE_S = leases.RENEW_AFTER_S
# The clock may be slow; what it may add to a lease is not asked for.
SLOW_DUE_S = DUE_S / worker_state.MAX_CLOCK_DRIFT
DUE_MS = CLOCK.ms + int(SLOW_DUE_S * 1000) + leases.LEASE_MS


@pytest.mark.parametrize(
    ("after_s", "is_idle", "expected"),
    [
        pytest.param(DUE_S - 0.9, False, (0, 900), id="waits"),
        pytest.param(DUE_S - 0.2, False, (0, 200), id="ends-when-one-is-due"),
        pytest.param(DUE_S - 0.2, True, (0, 1000), id="idle-waits-for-longer"),
        pytest.param(DUE_S, False, (DUE_MS, 0), id="renews"),
        pytest.param(DUE_S, True, (DUE_MS, 0), id="idle-renews"),
        pytest.param(DUE_S - 0.03, False, (DUE_MS - 30, 0), id="too-short"),
    ],
)
def test_poll_that_renews_leases_does_not_wait(after_s, is_idle, expected):
    """LOST: it would be out, and may come late, whenever a worker dies."""
    now = CLOCK.renewed_at + after_s
    chosen = leases.choose_poll(CLOCK, now, now, 6000, 1000, is_idle)
    assert chosen == pytest.approx(expected, abs=1)


def test_poll_renews_nothing_before_leases_are_allowed():
    clock = leases.Clock(1000, 10.0, False, 0.0)
    assert leases.choose_poll(clock, 20.0, 20.0, 6000, 1000, False) == (0, 1000)


@pytest.mark.parametrize(
    ("renewed_ms", "lease_ms"),
    [
        pytest.param(leases.LEASE_MS, leases.START_LEASE_MS, id="renewed"),
        pytest.param(
            leases.MIN_RENEWED_MS - 1, leases.LEASE_MS, id="soon-over"
        ),
        pytest.param(-20_000, leases.LEASE_MS, id="lapsed"),
    ],
)
def test_start_asks_for_little_where_polls_renewed_the_leases(
    renewed_ms, lease_ms
):
    assert leases.choose_start_lease(renewed_ms, 6000) == lease_ms
    assert leases.choose_start_lease(renewed_ms, 300) == 300


def test_deadline_of_an_earlier_life_is_not_read_by_the_next_ones_clock():
    """LOST: a worker's next life dies; its tasks waited for over 30 s.

    The poll that its first report answers named a time of the clock before.
    """
    world = fleets.World(1, workers=2, run_s=lambda rng: 25.0)
    world.unlisted.add("w1")
    world.run(30.0)
    worker = world.workers["w0"]
    worker.crash()
    world.run(0.3)
    world.submit("a" * 16, work.Step(3, resources.Resources(1000, 1000, 0), 9))
    world.run(0.3)
    assert len(worker.runs) == 3
    most_s = world.lease_most_ms / 1000 * worker_state.MAX_CLOCK_DRIFT
    left_s = grants.find_leases_end(world.fleet.workers["w0"]) - world.now
    assert left_s <= most_s + worker_state.LEASE_END_SLACK_S
