"""Leases of an owner that the store does not hear, and the next owner's wait.

TWICE: a renewal without an answer comes just before the leases end that were
answered, counts from then, and outlasts the wait of a next owner that finds no
record of the worker.
"""

import dataclasses
import itertools

import pytest

from poplarspindle import outcomes
from poplarspindle.fleet import (
    events,
    fencing,
    lease_bounds,
    leases,
    orders,
    work,
)
from poplarspindle.fleet import worker_state as worker_states
from poplarspindle.node import polling
from poplarspindle.tests import test_polling
from poplarspindle.tests import test_unanswered_grants as late
from poplarspindle.tools.fakes import fleets

MOST_MS = 6000
WAIT_S = lease_bounds.find_next_wait_s(MOST_MS)
DRIFT = worker_states.MAX_CLOCK_DRIFT
ANSWER_S = 0.003
JUST_BEFORE_S = 0.05
# Until the first renewal that is lost, from the last confirmation on.
LOST_AFTER_S = [0.0, 0.5, 0.8, 1.5, 2.5, 3.0, 3.3, 3.5, 3.8, 3.9]


class LastOwner(test_polling.FakeOwnership):
    """An owner that looks at w0 by a real poller, in a world's time.

    Its renewals and starts are answered until they are lost; the worker is not
    reached from then on.
    """

    def __init__(self, world):
        super().__init__(self)
        self.world = world
        self.worker = world.workers["w0"]
        self.epoch = world.fleet.epoch
        self.lost = []
        self.loses = False
        self.waits_for_starts = False
        self.confirmed_at = None
        fence = fencing.Fence(
            self.epoch, world.owner.pollers.get("w0").fence.token
        )
        fence.account.leases_end_at = world.now + late.LEASE_S
        self.poller = polling.WorkerPoller(self, self.worker.description, fence)
        self.poller.poll()
        world.run(fleets.TICK_S)
        self.poller.allow_leases(0)

    def now(self):
        """Returns the present time."""
        return self.world.now

    def store_confirmed_at(self):
        """Tells when the store last confirmed the ownership."""
        return self.now() if self.confirmed_at is None else self.confirmed_at

    def run_later(self, delay_s, job):
        """Runs a function later in the world's time."""
        timer = test_polling.Timer(job)
        self.world.call_later(delay_s, lambda: timer.job and timer.job())
        return timer

    def poll(self, order, timeout_s, done):
        """Carries a poll out, or loses it."""
        if self.loses:
            self._lose(order, timeout_s, lambda: done(test_polling.LOST))
            return
        self.worker.advance()
        self.worker.poll(order)
        look = dataclasses.replace(order, until_ms=0)
        delay_s = max(ANSWER_S, order.wait_ms / 1000)
        self.run_later(
            delay_s, lambda: done(outcomes.Ok(self.worker.poll(look)))
        )

    def send(self, order, done):
        """Carries a start out, or loses it."""
        if self.loses:
            silence = orders.Answer(orders.Refusal.NO_ANSWER)
            self._lose(order, 0.25, lambda: done(silence))
            return
        self.worker.advance()
        answer = self.worker.start(order)
        self.run_later(ANSWER_S, lambda: done(answer))

    def _lose(self, order, timeout_s, job):
        if getattr(order, "until_ms", 0):
            lease_ms = order.until_ms - self.worker.clock_ms()
            self.lost.append((order, lease_ms))
        self.run_later(timeout_s, job)

    def carry_out_late(self):
        """Carries what is lost out, each as late as it renews the leases."""
        if not self.lost:
            return
        order, lease_ms = self.lost.pop(0)
        left_s = (self.worker.until_ms - self.worker.clock_ms()) / 980
        self.world.call_later(
            max(0.0, left_s - JUST_BEFORE_S),
            lambda: self._carry_out(order, lease_ms),
        )

    def _carry_out(self, order, lease_ms):
        until_ms = self.worker.clock_ms() + lease_ms
        order = dataclasses.replace(order, until_ms=until_ms)
        execute = self.worker.poll
        if isinstance(order, orders.Start):
            execute = self.worker.start
        execute(order)
        self.carry_out_late()


def make_last_owner():
    """Makes a world with runs on w0, and an owner that renews there."""
    world = late.make_world({}, [late.IN_LEASE_S])
    owner = LastOwner(world)
    world.owner.stop()
    world.run(1.2)
    return world, owner


def let_another_claim(world, owner):
    """Lets another owner claim; the store does not hear the last one."""
    owner.confirmed_at = world.now
    late.cut_off(world)
    world.take_over()


def run_to_the_end(world, owner):
    owner.carry_out_late()
    world.run(late.CUT_S)
    late.mend(world)
    world.run(2 * late.RUN_S)


@pytest.mark.parametrize("lost_after_s", LOST_AFTER_S)
def test_late_grant_of_an_owner_that_the_store_does_not_hear(lost_after_s):
    """TWICE: it renews for 4 s after the claim, the last one comes late.

    The worker hears the owner before, and not the next one.
    """
    world, owner = make_last_owner()
    let_another_claim(world, owner)
    world.run(lost_after_s)
    owner.loses = True
    world.run(5.0 - lost_after_s)
    run_to_the_end(world, owner)
    assert world.list_violations() == []


@pytest.mark.parametrize("resigns_after_s", LOST_AFTER_S)
def test_last_leases_of_an_owner_that_come_late(resigns_after_s):
    """TWICE: a renewal was lost just before, and both come late."""
    world, owner = make_last_owner()
    let_another_claim(world, owner)
    world.run(resigns_after_s)
    owner.loses = True
    while not owner.lost and world.now - owner.confirmed_at < 5.0:
        world.run(fleets.TICK_S)
    owner.poller.extend_leases(lambda: None)
    owner.stop_event.set()
    run_to_the_end(world, owner)
    assert world.list_violations() == []


@pytest.mark.parametrize("lost_after_s", LOST_AFTER_S)
def test_starts_that_come_late_behind_a_renewal(lost_after_s):
    """TWICE: as many as may be in flight come late, one after the other."""
    world, owner = make_last_owner()
    let_another_claim(world, owner)
    world.run(lost_after_s)
    owner.loses = True
    step = work.Step(1, late.CORE, 500)
    for index in range(2 * polling.MAX_ORDERS_IN_FLIGHT):
        job = f"{index:016x}"
        world.submissions[job] = work.Submission(job, world.queue, "", (step,))
        order = orders.Start(
            work.TaskName(job, 0, 0, 0),
            1,
            owner.epoch,
            "",
            owner.worker.clock_ms() + leases.START_LEASE_MS,
        )
        owner.poller.send_order(order)
    world.run(5.0 - lost_after_s)
    # Runs that they begin are waited for as late starts; here they renew.
    for index in range(2 * polling.MAX_ORDERS_IN_FLIGHT):
        owner.worker.highest[work.TaskName(f"{index:016x}", 0, 0, 0)] = 1
    run_to_the_end(world, owner)
    assert world.list_violations() == []


def test_runs_survive_a_store_that_is_silent_for_eight_seconds():
    """LOST: leases that are shorter than the bound asks end too soon."""
    world, owner = make_last_owner()
    owner.confirmed_at = world.now
    world.run(8.0)
    assert late.count_at_work(owner.worker, late.RUNNING) == late.TASKS


@pytest.mark.parametrize("phase_s", [0.0, 0.3, 0.6, 0.9])
def test_leases_go_on_while_the_store_is_slow(phase_s):
    """LOST: it confirms each 2 s only."""
    world, owner = make_last_owner()
    world.run(phase_s)
    for _ in range(6):
        owner.confirmed_at = world.now
        world.run(2.0)
    assert late.count_at_work(owner.worker, late.RUNNING) == late.TASKS


# The bound itself.

NOW = 100.0


def make_account(left_s, unanswered_s=()):
    account = lease_bounds.Account(NOW + left_s)
    for number, lease_s in enumerate(unanswered_s):
        lease_bounds.record_sent(
            account, float(number), 1, NOW, round(lease_s * 1000 / DRIFT)
        )
    return account


@pytest.mark.parametrize(
    ("left_s", "unanswered_s", "unconfirmed_s", "expected_s"),
    [
        pytest.param(float("-inf"), (), 0.0, MOST_MS / 1000, id="nothing-yet"),
        pytest.param(3.0, (), 0.0, MOST_MS / 1000, id="confirmed-just-now"),
        pytest.param(4.5, (), 0.5, (WAIT_S - 5.0) / DRIFT, id="answered"),
        pytest.param(2.0, (), 3.5, (WAIT_S - 5.5) / DRIFT, id="silent-store"),
        pytest.param(
            3.0, (4.08,), 0.5, (WAIT_S - 7.58) / DRIFT, id="unanswered"
        ),
        pytest.param(
            3.0,
            (4.08, 1.02, 1.02),
            0.0,
            (WAIT_S - 9.12) / DRIFT,
            id="several-unanswered",
        ),
        pytest.param(WAIT_S - 1.0, (), 1.0, 0.0, id="used-up"),
        pytest.param(6.12, (6.12,), 0.0, 0.0, id="beyond"),
    ],
)
def test_longest_lease_leaves_the_sum_within_the_next_owners_wait(
    left_s, unanswered_s, unconfirmed_s, expected_s
):
    lease_ms = lease_bounds.find_longest_lease_ms(
        make_account(left_s, unanswered_s), NOW, NOW - unconfirmed_s, MOST_MS
    )
    assert lease_ms / 1000 == pytest.approx(expected_s, abs=0.002)


def test_account_follows_answers():
    account = make_account(1.0, (4.08, 1.02))
    lease_bounds.record_carried_out(account, 0.0, NOW + 0.5)
    assert account.leases_end_at == pytest.approx(NOW + 4.58)
    assert [grant.key for grant in account.unanswered_grants] == [1.0]


@pytest.mark.parametrize(
    ("unconfirmed_s", "left_s", "renews"),
    [
        pytest.param(0.1, 3.0, True, id="confirmed"),
        pytest.param(1.0, 3.0, False, id="silent-and-leases-last"),
        pytest.param(1.0, 0.8, True, id="silent-and-leases-end"),
        pytest.param(3.5, 3.0, True, id="silent-and-last-moment"),
        pytest.param(3.5, 6.0, False, id="nothing-to-gain"),
        pytest.param(4.1, 0.8, False, id="too-late"),
    ],
)
def test_leases_are_renewed_once_while_the_store_is_silent(
    unconfirmed_s, left_s, renews
):
    clock = leases.Clock(1000, NOW, True, NOW - 1.5)
    until_ms, _ = leases.choose_poll(
        clock, NOW, NOW - unconfirmed_s, MOST_MS, 1000, False, NOW + left_s
    )
    assert bool(until_ms) == renews


def test_poll_of_an_idle_worker_ends_when_its_last_renewal_is_due():
    """LOST: it waits for 2 s and misses the moment; a task comes meanwhile."""
    clock = leases.Clock(1000, NOW, True, NOW - 1.5)
    chosen = leases.choose_poll(
        clock, NOW, NOW - 3.0, MOST_MS, 2000, True, NOW + 2.5
    )
    assert chosen == (0, pytest.approx(500, abs=1))


@pytest.mark.parametrize("room_ms", [0, 399, 400, 3000])
def test_leases_stay_within_their_bound(room_ms):
    clock = leases.Clock(1000, NOW, True, NOW - 1.5)
    chosen = [
        leases.choose_lease(clock, NOW, NOW - unconfirmed_s, room_ms, last)
        for unconfirmed_s, last in itertools.product((0.1, 3.5), (False, True))
    ]
    assert all(until_ms in (0, 1000 + room_ms) for until_ms in chosen)
    until_ms = leases.extend_start_lease(clock, NOW, 9000, room_ms)
    assert until_ms == 1000 + room_ms


class SilentClient:
    """Keeps the orders that are sent, and answers nothing."""

    def __init__(self):
        self.sent = []

    def poll(self, order, timeout_s, done):
        """Answers nothing."""

    def send(self, order, done):
        """Keeps an order."""
        self.sent.append(order)


class FixedOwnership(test_polling.FakeOwnership):
    """An owner at one moment."""

    unconfirmed_s = 0.0

    def now(self):
        """Returns the present time."""
        return NOW

    def store_confirmed_at(self):
        """Tells when the store last confirmed the ownership."""
        return NOW - self.unconfirmed_s


@pytest.mark.parametrize("unconfirmed_s", [0.0, 1.0, 2.0, 3.0, 3.9])
def test_starts_before_the_clock_was_read_stay_within_the_bound(unconfirmed_s):
    """TWICE: its worker has another address now, so the poller is a new one."""
    left_s, clock_ms = leases.MIN_RENEWED_MS / 1000 - 0.1, 50_000
    client = SilentClient()
    owner = FixedOwnership(client)
    owner.unconfirmed_s = unconfirmed_s
    fence = fencing.make_fence(owner.epoch)
    fence.account.leases_end_at = NOW + left_s
    poller = polling.WorkerPoller(owner, test_polling.WORKER, fence)
    poller.poll()
    lease_ms = leases.choose_start_lease(round(left_s * 1000), MOST_MS)
    for index in range(polling.MAX_ORDERS_IN_FLIGHT):
        name = work.TaskName("j", 0, 0, index)
        order = orders.Start(name, 1, owner.epoch, "", clock_ms + lease_ms)
        poller.send_order(order)
    asked_s = sum(order.until_ms - clock_ms for order in client.sent) / 1000
    latest_end_at = NOW + left_s + asked_s * DRIFT
    assert latest_end_at <= owner.store_confirmed_at() + WAIT_S + 0.001


def test_lease_in_the_next_life_counts_in_full():
    """TWICE: its clock begins anew, so it grants more than was asked for."""
    first, next_life = (
        outcomes.Ok(work.Report(clock_ms, incarnation_ms, (), ()))
        for clock_ms, incarnation_ms in ((50_000, 7), (40, 8))
    )
    owner = FixedOwnership(test_polling.FakeClient([first, next_life]))
    poller = polling.WorkerPoller(owner, test_polling.WORKER)
    poller.poll()
    poller.allow_leases(0)
    poller.poll()
    (granted,) = [
        event
        for event in owner.posted
        if isinstance(event, events.LeaseGranted)
    ]
    assert granted.until_ms > 50_000
    longest_end_at = NOW + MOST_MS / 1000 * DRIFT
    assert poller.fence.account.leases_end_at >= longest_end_at
