"""Work is refused while the owner can't start it in time."""

import time

import pytest

from poplarspindle import metrics
from poplarspindle.fleet import (
    effects,
    events,
    reducer,
    start_delay,
)
from poplarspindle.node import caller_calls, clocks, node, shared_state
from poplarspindle.platform import __main__ as program
from poplarspindle.tests import test_intake, test_overrun

WALL_MS = 1_700_000_000_000
READ_AT = 1000.0
DELAYS = start_delay.StartDelays(READ_AT, ((0, 1.5), (2, 9.2), (3, 20.0)))


@pytest.mark.parametrize(
    ("published", "priority", "now", "retry_s"),
    [
        pytest.param(None, 0, READ_AT, 0, id="none known"),
        pytest.param(DELAYS, 0, READ_AT, 0, id="urgent work waits little"),
        pytest.param(DELAYS, 1, READ_AT, 0, id="as what comes before it"),
        pytest.param(DELAYS, 2, READ_AT, 7, id="until the rest has started"),
        pytest.param(DELAYS, 9, READ_AT, 8, id="the longest delay"),
        pytest.param(DELAYS, 9, READ_AT + 3.001, 0, id="too old"),
        pytest.param(
            start_delay.StartDelays(READ_AT, ()), 9, READ_AT, 0, id="none"
        ),
    ],
)
def test_job_that_would_wait_too_long_is_refused(
    published, priority, now, retry_s
):
    found = start_delay.find_retry_s(published, priority, now)
    assert found == retry_s


def make_statistics(periods, cut, starts=100):
    statistics = start_delay.StartStatistics()
    start_delay.end_period(statistics, 0.0)
    for period in range(1, periods + 1):
        for number in range(10):
            start_delay.record_round(statistics, number < cut)
        statistics.starts = starts
        start_delay.end_period(statistics, period * start_delay.PERIOD_S)
    return statistics


@pytest.mark.parametrize(
    ("periods", "cut", "delays_s"),
    [
        pytest.param(8, 10, ((0, 2.008), (2, 6.024)), id="all rounds are cut"),
        pytest.param(8, 4, (), id="most rounds try all that is ready"),
        pytest.param(1, 10, (), id="a short burst"),
        pytest.param(0, 0, (), id="nothing placed yet"),
    ],
)
def test_delays_follow_from_what_is_ready_and_the_rate_of_starts(
    periods, cut, delays_s
):
    statistics = make_statistics(periods, cut)
    found = start_delay.estimate_delays(statistics, [(2, 800), (0, 400)])
    assert [priority for priority, _ in found] == [row[0] for row in delays_s]
    assert [delay_s for _, delay_s in found] == pytest.approx(
        [row[1] for row in delays_s], abs=0.01
    )


def test_delays_survive_the_log():
    record = start_delay.encode_delays(DELAYS.delays_s)
    assert start_delay.decode_delays(record.value, READ_AT) == DELAYS
    state = shared_state.SharedState()
    shared_state.apply_record(state, record, READ_AT)
    assert state.start_delays == DELAYS


def run_owner(fleet, seconds, order_room, wall_ms=WALL_MS):
    """Lets an owner place tasks; returns the record of delays made last."""
    published = None
    for tick in range(int(seconds / 0.05)):
        fleet.order_room = order_room
        now = fleet.now + 0.05
        effect_list = reducer.reduce(
            fleet, events.Ticked(now, wall_ms + 50 * tick)
        )
        effect_list += reducer.settle(fleet)
        for effect in list(effect_list):
            if isinstance(effect, effects.Append):
                effect_list += reducer.reduce(
                    fleet, events.Appended(now, effect.number)
                )
        for effect in effect_list:
            if not isinstance(effect, effects.Publish):
                continue
            for record in effect.records:
                if record.key == start_delay.START_DELAY_KEY:
                    published = record
    return published


def test_overloaded_owner_has_callers_come_back_when_it_can_start_their_work():
    """LOST: after the load the fleet is free, and thousands of tasks wait."""
    fleet, worker = test_overrun.make_waiting_fleet(jobs=100, tasks=20)
    fleet.now = fleet.listed_at = worker.leases_end_at = 0.0
    worker.leases_end_at = float("inf")
    published = start_delay.decode_delays(
        run_owner(fleet, 3.0, 10).value, time.monotonic()
    )
    assert published.delays_s
    ((priority, delay_s),) = published.delays_s
    assert (priority, delay_s > start_delay.MAX_START_DELAY_S) == (0, True)
    store = test_intake.FakeStore()
    handlers, state = test_intake.make_call_handlers(store)
    state.start_delays = published
    call = caller_calls.Call(
        caller_calls.Kind.SUBMIT,
        test_intake.QUEUE,
        test_intake.JOB,
        3.0,
        test_intake.make_submission(test_intake.JOB),
    )
    refused = handlers._submit(call, float("inf"))
    assert (refused.status, refused.retry_s > 0) == (429, True)
    assert not any(store.partitions.values())
    published = start_delay.decode_delays(
        run_owner(fleet, 3.0, 10_000).value, time.monotonic()
    )
    assert published.delays_s == ()


@pytest.mark.parametrize("ahead_ms", [-10_000, 0, 10_000])
@pytest.mark.parametrize(("read_ago_s", "status"), [(0.0, 429), (3.1, 200)])
def test_clocks_that_differ_neither_switch_refusals_off_nor_keep_them_up(
    ahead_ms, read_ago_s, status
):
    """Load: machines' times of day differ by seconds, the owner is overrun."""
    store = test_intake.FakeStore()
    handlers, state = test_intake.make_call_handlers(store)
    owner_wall_ms = clocks.get_wall_ms() + ahead_ms - int(1000 * read_ago_s)
    fleet, worker = test_overrun.make_waiting_fleet(jobs=100, tasks=20)
    fleet.now = fleet.listed_at = 0.0
    worker.leases_end_at = float("inf")
    published = run_owner(fleet, 3.0, 10, owner_wall_ms - 3000)
    shared_state.apply_record(state, published, time.monotonic() - read_ago_s)
    call = caller_calls.Call(
        caller_calls.Kind.SUBMIT,
        test_intake.QUEUE,
        test_intake.JOB,
        3.0,
        test_intake.make_submission(test_intake.JOB),
    )
    assert handlers._submit(call, time.monotonic() + 3).status == status


def test_delays_of_an_earlier_time_in_the_log_refuse_nothing():
    """A node starts, and the last owner's record is minutes old."""
    fresh_node = node.Node(
        test_overrun.SETTINGS,
        program.connect(test_overrun.SETTINGS),
        metrics.Metrics(),
    )
    record = start_delay.encode_delays(DELAYS.delays_s)
    fresh_node._handle_batch([node._SharedLogReloaded((record,))])
    assert fresh_node._shared_state.start_delays is None
    fresh_node._handle_batch([node._SharedLogRead((record,), True)])
    assert fresh_node._shared_state.start_delays.delays_s == DELAYS.delays_s


def test_job_that_another_node_accepted_is_not_refused():
    """Load: the owner is behind, a caller got no answer and asks elsewhere.

    A 429 says that the job was not accepted and never runs.
    """
    store = test_intake.FakeStore()
    handlers, state = test_intake.make_call_handlers(store)
    test_intake.add_to_intake(store, test_intake.JOB)
    state.start_delays = start_delay.StartDelays(time.monotonic(), ((0, 60.0),))
    call = caller_calls.Call(
        caller_calls.Kind.SUBMIT,
        test_intake.QUEUE,
        test_intake.JOB,
        3.0,
        test_intake.make_submission(test_intake.JOB),
    )
    assert handlers._submit(call, time.monotonic() + 3).status == 200


def test_job_is_not_refused_while_it_can_not_be_looked_for():
    store = test_intake.FakeStore()
    handlers, state = test_intake.make_call_handlers(store)
    state.start_delays = start_delay.StartDelays(time.monotonic(), ((0, 60.0),))
    store.is_down = True
    call = caller_calls.Call(
        caller_calls.Kind.SUBMIT,
        test_intake.QUEUE,
        test_intake.JOB,
        3.0,
        test_intake.make_submission(test_intake.JOB),
    )
    assert handlers._submit(call, time.monotonic() + 3).status == 504
