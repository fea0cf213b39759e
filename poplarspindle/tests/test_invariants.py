"""The invariants of the virtual fleet: that they fail, and before two runs."""

import dataclasses
import itertools

import pytest

from poplarspindle import resources
from poplarspindle.fleet import orders, work
from poplarspindle.tests import test_disruptions
from poplarspindle.tools.explorer import cases, exploring, fixed
from poplarspindle.tools.fakes import (
    fleets,
    guards,
    in_flight,
    invariants,
    messages,
    virtual_store,
)

CORE = resources.Resources(1000, 1000, 0)
TASK = "a" * 16
LEASES, STARTS = invariants.Invariant.LEASES, invariants.Invariant.STARTS
ENDS, NUMBERS = invariants.Invariant.ENDS, invariants.Invariant.NUMBERS


@pytest.fixture
def worlds(monkeypatch):
    """Collects the worlds that are made."""
    made = []
    make = fleets.World

    def collect(*args, **kwargs):
        made.append(make(*args, **kwargs))
        return made[-1]

    monkeypatch.setattr(fleets, "World", collect)
    return made


def find_outcome_at(world):
    """Returns when a task first ran twice, infinity if it did not."""
    runs = sorted(
        (run for worker in world.workers.values() for run in worker.ledger),
        key=lambda run: run.began,
    )
    return min(
        (
            second.began
            for first, second in itertools.combinations(runs, 2)
            if first.name == second.name
            and (
                second.began < first.ended
                or (first.how is work.EndReason.DONE and not first.lapsed)
            )
        ),
        default=float("inf"),
    )


@pytest.mark.parametrize(
    ("list_faults_of", "guard", "invariant"),
    [
        (
            test_disruptions.list_faults_of_a_renewal_that_is_late,
            "account",
            LEASES,
        ),
        (
            test_disruptions.list_faults_of_a_start_that_is_late,
            "raised_tokens",
            STARTS,
        ),
        (
            test_disruptions.list_faults_of_an_owner_that_the_store_does_not_hear,
            "confirmed_grants",
            LEASES,
        ),
    ],
)
def test_invariant_without_a_guard_is_broken_seconds_before_a_task_runs_twice(
    list_faults_of, guard, invariant, worlds
):
    list_faults_of()
    assert worlds.pop().invariants.violations == []
    with guards.without(**{guard: True}):
        list_faults_of()
    (world,) = worlds
    first = world.invariants.violations[0]
    assert first.invariant is invariant
    assert first.at + 2.0 < find_outcome_at(world) < float("inf")


@pytest.mark.parametrize(
    ("part", "guard", "invariant", "disruptions"),
    [
        ("late-grants", "account", LEASES, 1),
        ("forgotten-ends", "raised_tokens", NUMBERS, 2),
    ],
)
def test_invariant_without_a_guard_takes_fewer_disruptions_than_two_runs(
    part, guard, invariant, disruptions
):
    """With one more, `test_explorer` shows two runs of the same part."""
    names = fixed.PARTS[part].names
    assert disruptions == len(names) - 1
    with guards.without(**{guard: True}):
        tally = exploring.explore(
            [cases.Case(fixed.PARTS[part].work, 2)],
            names[:disruptions],
            exploring.run_here,
        )
    found = [line for _, lines in tally.failures for line in lines]
    assert found
    line = f"{invariants.LINE}{invariant} "
    assert all(one.startswith(line) for one in found)


def make_world(run_s=1.0):
    world = fleets.World(1, workers=2, run_s=lambda rng: run_s)
    world.run(1.0)
    return world


def test_message_that_is_lost_counts_as_late_in_a_world_without_late_ones():
    """One lost renewal tells what only a late one and a cut show in runs."""
    world = make_world(20.0)
    world.submit(TASK, work.Step(1, CORE, 500))
    world.run(1.0)
    world.choose_fate = lambda message: (
        messages.Fate(None)
        if message.kind is messages.Kind.RENEWAL
        else messages.DELIVERED
    )
    with guards.without(account=True):
        world.run(1.0)
    assert world.invariants.violations
    assert find_outcome_at(world) == float("inf")


@pytest.mark.parametrize("how", [work.EndReason.DONE, work.EndReason.FAILED])
def test_end_that_is_acknowledged_and_not_in_the_log_is_found(how, monkeypatch):
    """A fenced owner's append that is answered: only a later one runs it."""
    world = make_world()
    if how is work.EndReason.FAILED:
        world.fail_on = set(world.workers)
    world.submit(TASK, work.Step(1, CORE, 500))
    world.run(0.5)
    monkeypatch.setattr(virtual_store.Store, "write", lambda *row: None)
    world.run(0.8)
    assert {one.invariant for one in world.invariants.violations} >= {ENDS}
    assert find_outcome_at(world) == float("inf")


def test_start_in_flight_with_the_attempt_of_a_run_elsewhere_is_found():
    world = make_world(20.0)
    world.submit(TASK, work.Step(1, CORE, 500))
    world.run(1.0)
    ((name, worker),) = [
        (name, worker) for name, worker in world.workers.items() if worker.runs
    ]
    (other,) = set(world.workers) - {name}
    ((task, attempt),) = worker.runs
    order = orders.Start(task, attempt, world.owner.epoch, "spec", 9000)
    incarnation_ms = world.workers[other].incarnation_ms
    world.network.in_flight.add(
        in_flight.Entry(other, order, world.now, 400, incarnation_ms, False)
    )
    world.invariants.note_changed(other)
    world.invariants.judge()
    found = {one.invariant for one in world.invariants.violations}
    assert found == {STARTS, NUMBERS}


# What messages may still do.


def make_entry(world, token, sent_at, lease_ms):
    worker = world.workers["w0"]
    poll = orders.Poll(token, 0, 1, 0)
    return in_flight.Entry(
        "w0", poll, sent_at, lease_ms, worker.incarnation_ms, False
    )


@pytest.mark.parametrize(
    ("found", "expected"),
    [
        pytest.param([], 5.0, id="none"),
        pytest.param([(1, 0.0, 1000)], 6.0, id="just-before-the-end"),
        pytest.param([(1, 0.0, 0)], 5.0, id="asks-for-none"),
        pytest.param([(1, -10.0, 4000)], 6.0, id="latest-before-the-end"),
        pytest.param(
            [(1, 0.0, 1000), (2, 0.0, 4000)], 10.0, id="one-after-the-other"
        ),
        pytest.param(
            [(2, -10.0, 4000), (1, 0.0, 1000)], 6.0, id="lower-token-goes-first"
        ),
    ],
)
def test_messages_renew_leases_just_before_they_end(found, expected):
    world = make_world()
    world.workers["w0"].clock_rate = 1000
    entries = [make_entry(world, *row) for row in found]
    end = in_flight.find_latest_end(5.0, entries, world.workers["w0"], 6000)
    assert end == pytest.approx(expected)


@pytest.mark.parametrize(
    ("changes", "expected"),
    [
        ({}, True),
        ({"incarnation_ms": 1}, False),
        ({"incarnation_ms": 1, "next_lives": True}, True),
    ],
)
@pytest.mark.parametrize(("fence", "is_refused"), [(5, False), (6, True)])
def test_fence_and_life_of_a_worker_refuse_messages(
    changes, expected, fence, is_refused
):
    world = make_world()
    worker = world.workers["w0"]
    worker.fencing_epoch = fence
    entry = dataclasses.replace(make_entry(world, 5, 0.0, 1000), **changes)
    assert in_flight.may_carry_out(worker, entry) == (
        expected and not is_refused
    )
