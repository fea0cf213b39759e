"""The rate of starts is learned only while starts can be sent."""

import pytest

from poplarspindle import resources
from poplarspindle.fleet import (
    effects,
    events,
    fleet_state,
    job_store,
    ready_steps,
    reducer,
    start_delay,
    work,
)
from poplarspindle.tests import test_overrun

TICK_S = 0.05
WALL_MS = 1_700_000_000_000
STARTS_PER_TICK = 10
STARTS_PER_S = STARTS_PER_TICK / TICK_S


class Owner:
    """An owner whose store acknowledges appends, or is silent for a time."""

    def __init__(self, jobs, tasks):
        self.fleet, worker = test_overrun.make_waiting_fleet(jobs, tasks)
        self.fleet.now = self.fleet.listed_at = 0.0
        worker.leases_end_at = float("inf")
        self.delays = []
        self._unanswered = []

    def run(self, seconds, is_store_silent=False, order_room=STARTS_PER_TICK):
        """Lets it place tasks and publish how long others wait."""
        fleet = self.fleet
        for _ in range(round(seconds / TICK_S)):
            fleet.order_room = order_room
            now = fleet.now + TICK_S
            wall_ms = WALL_MS + int(now * 1000)
            effect_list = reducer.reduce(fleet, events.Ticked(now, wall_ms))
            if not is_store_silent:
                effect_list += self._acknowledge(now)
            effect_list += reducer.settle(fleet)
            self._take_in(effect_list)
            if not is_store_silent:
                self._take_in(self._acknowledge(now))

    def _acknowledge(self, now):
        numbers, self._unanswered = self._unanswered, []
        return [
            effect
            for number in numbers
            for effect in reducer.reduce(
                self.fleet, events.Appended(now, number)
            )
        ]

    def _take_in(self, effect_list):
        for effect in effect_list:
            if isinstance(effect, effects.Append):
                self._unanswered.append(effect.number)
            if isinstance(effect, effects.Publish):
                self.delays += [
                    start_delay.decode_delays(record.value, self.fleet.now)
                    for record in effect.records
                    if record.key == start_delay.START_DELAY_KEY
                ]


@pytest.mark.parametrize("silent_s", [1.0, 2.0, 5.0])
def test_silent_store_does_not_make_an_owner_pass_for_slow(silent_s):
    """SHORT: after the store was silent, work was refused for 22 s ahead.

    Nothing can be started before its placement is recorded; that tells
    nothing of how many starts the owner sends.
    """
    owner = Owner(jobs=80, tasks=20)
    owner.run(3.0)
    rate = owner.fleet.start_statistics.starts_per_s
    assert rate == pytest.approx(STARTS_PER_S, rel=0.1)
    owner.run(silent_s, is_store_silent=True)
    assert owner.fleet.start_statistics.starts_per_s >= rate / 2
    owner.run(0.5)
    ready = sum(map(len, owner.fleet.ready.values()))
    ((_, delay_s),) = owner.delays[-1].delays_s
    assert delay_s <= 2 * ready / STARTS_PER_S


def test_owner_whose_orders_are_not_answered_passes_for_slow():
    """The store records, and no order gets a turn: callers come back later."""
    owner = Owner(jobs=80, tasks=20)
    owner.run(3.0)
    owner.run(2.0, order_room=0)
    assert owner.fleet.start_statistics.starts_per_s < STARTS_PER_S / 8
    ((_, delay_s),) = owner.delays[-1].delays_s
    assert delay_s > start_delay.MAX_START_DELAY_S


def test_owner_is_not_limited_by_a_store_that_is_silent():
    """Orders have room; the placements that use it up are not recorded."""
    owner = Owner(jobs=80, tasks=20)
    owner.run(3.0, is_store_silent=True)
    assert owner.fleet.start_statistics.limited_periods == 0
    assert not owner.delays


def make_statistics(periods, starts):
    """Makes statistics of an owner that is limited from its beginning on."""
    statistics = start_delay.StartStatistics()
    start_delay.end_period(statistics, 0.0)
    for period in range(1, periods + 1):
        start_delay.record_round(statistics, True)
        statistics.starts = starts
        start_delay.end_period(statistics, period * start_delay.PERIOD_S)
    return statistics


@pytest.mark.parametrize("periods", [2, 3, 8])
def test_new_owner_knows_its_rate_of_starts_after_two_periods(periods):
    """SHORT: a second after a takeover delays were published too long."""
    statistics = make_statistics(periods, 300)
    found = start_delay.estimate_delays(statistics, [(0, 1500)])
    assert found == ((0, pytest.approx(2.5, rel=0.02)),)


@pytest.mark.parametrize(
    ("ready", "later", "delay_s"),
    [
        pytest.param(900, 0, 2.0, id="all are ready"),
        pytest.param(900, 900, 2.0, id="as many follow"),
        pytest.param(900, 2700, 3.0, id="most is yet to come"),
        pytest.param(0, 7200, 6.0, id="nothing is ready now"),
    ],
)
def test_steps_that_wait_for_others_count_as_work_left(ready, later, delay_s):
    """LOST: 17 s after the last job, tasks that could run were not started.

    The ready ones were work for 6 s; as many more of the same jobs followed.
    """
    statistics = make_statistics(8, 225)
    found = dict(
        start_delay.estimate_delays(statistics, [(2, ready)], [(2, later)])
    )
    assert found == {2: pytest.approx(delay_s, rel=0.02)}


def test_tasks_of_later_steps_are_counted_once():
    fleet, _ = test_overrun.make_waiting_fleet(jobs=0, tasks=1)
    need = resources.Resources(1000, 1, 0)
    steps = (
        work.Step(20, need),
        work.Step(30, need, prerequisites=(0,)),
        work.Step(50, need, prerequisites=(1,)),
    )
    for number in range(3):
        submission = work.Submission(
            f"{number:016x}", test_overrun.QUEUE, "", steps
        )
        job = job_store.add_job(fleet.job_store, submission)
        fleet.open_jobs[submission.job] = None
        fleet_state.open_due_occurrences(fleet, job)
    ready = sum(count for _, count in ready_steps.list_ready_counts(fleet))
    later = sum(count for _, count in ready_steps.list_later_counts(fleet))
    assert (ready, later) == (60, 240)
