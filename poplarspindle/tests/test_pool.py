"""Tests of the decisions on minions: limits, health, routing, budgets."""

import random

import pytest

from poplarspindle import (
    admission,
    health,
    limits,
    outcomes,
    pool,
    reports,
    retries,
)

RULES = health.Rules()
SILENT = outcomes.Failed(outcomes.Step.RECEIVE, "a", "timeout", "", True)
BROKEN = outcomes.Failed(outcomes.Step.RECEIVE, "a", "reset", "", True)
GONE = outcomes.Failed(outcomes.Step.CONNECT, "a", "no-connection")


def make_state(count=10, policy="least_local", entries=9):
    state = pool.State(entries, policy)
    pool.apply_members(
        state,
        tuple(
            reports.Member(
                f"m{i}",
                reports.Role.MINION,
                "ourthe",
                address=f"10.0.0.{i}:80",
                services=("quotes",),
                slots=8,
                connections=64,
            )
            for i in range(count)
        ),
    )
    return state


def choose(state, at=1.0, idempotent=True, tried=frozenset()):
    return pool.choose_minion(
        state, "quotes", tried, idempotent, at, random.Random(0)
    )


def run_one(
    state, minion, at, took_s=0.02, failed=None, status=200, fresh=True
):
    sent = pool.begin_send(state, minion, at)
    return pool.end_send(state, sent, failed, status, fresh, at + took_s)


def test_connections_of_all_entries_fit():
    """Nine entries that all fill up stay within a minion's 64."""
    states = [make_state(count=1) for _ in range(9)]
    total = 0
    for state in states:
        while not isinstance(found := choose(state), str):
            pool.begin_send(state, found, 1.0)
            total += 1
        assert found == "no-room"
    assert 9 <= total <= 64
    assert limits.compute_connection_share(0, 9) == 1


@pytest.mark.parametrize("policy", ["least_local", "least_expected"])
def test_fresh_entry_spreads_evenly(policy):
    state = make_state(policy=policy)
    rng = random.Random(1)
    for _ in range(20):
        found = pool.choose_minion(state, "quotes", frozenset(), True, 1.0, rng)
        pool.begin_send(state, found, 1.0)
    assert max(m.sent for m in state.minions.values()) <= 3


def test_refusing_minion_rests_longer_each_time():
    full = limits.SlotBackoff()
    rests = []
    for _ in range(3):
        limits.record_refusal(full, 10.0)
        rests.append(full.until - 10.0)
    assert rests == sorted(set(rests))
    assert not limits.has_free_slot(full, 0, 7, 10.0)
    limits.record_accepted(full)
    assert limits.has_free_slot(full, 0, 7, 10.0)


def warm_up(state, slow=(), factor=10.0, status=200):
    for minion in state.minions.values():
        for turn in range(20):
            bad = minion.member.name in slow
            run_one(
                state,
                minion,
                turn * 0.01,
                0.02 * (factor if bad else 1.0),
                status=status if bad else 200,
            )


def test_minion_with_one_bad_sample_is_picked_again():
    """Its estimate gets no newer while it isn't picked."""
    state = make_state(count=3, policy="least_expected")
    for minion in state.minions.values():
        bad = minion.member.name == "m0"
        run_one(state, minion, 0.0, 0.3 if bad else 0.02)
    picked = set()
    for turn in range(500):
        found = choose(state, 0.5 + turn * 0.02)
        picked.add(found.member.name)
        run_one(state, found, 0.5 + turn * 0.02, 0.02)
    assert "m0" in picked


def test_slow_minion_is_ejected_probed_and_trusted_again():
    state = make_state()
    warm_up(state, ("m3",))
    (ejection,) = pool.review(state, 5.0)
    assert ejection == pool.Ejection("10.0.0.3:80", "slow")
    slow = state.minions["m3"]
    assert all(choose(state, 5.0) is not slow for _ in range(50))
    assert choose(state, 6.1, idempotent=False) is not slow
    assert choose(state, 6.1) is slow
    sent = pool.begin_send(state, slow, 6.1)
    assert choose(state, 6.2) is not slow
    pool.end_send(state, sent, None, 200, True, 6.12)
    assert slow.health_state.phase is health.Phase.TRUSTED


def test_failed_probe_doubles_the_ejection():
    state = make_state()
    minion = state.minions["m0"]
    for _ in range(RULES.max_failures):
        run_one(state, minion, 1.0, failed=GONE)
    assert minion.health_state.until == pytest.approx(
        1.02 + RULES.first_ejection_s
    )
    run_one(state, minion, 3.0, failed=GONE)
    assert minion.health_state.until == pytest.approx(
        3.02 + 2 * RULES.first_ejection_s
    )


@pytest.mark.parametrize(
    ("failed", "took_s", "fresh", "ejected"),
    [
        (GONE, 0.0, True, 10),
        (BROKEN, 0.01, False, 3),
        (SILENT, 1.5, True, 3),
        (SILENT, 1.5, False, 0),
        (SILENT, 0.05, True, 0),
    ],
    ids=["dead", "broken", "silent", "silent-connection", "impatient-caller"],
)
def test_ejected_share_is_bounded_unless_sure(failed, took_s, fresh, ejected):
    state = make_state()
    for minion in state.minions.values():
        for turn in range(5):
            run_one(state, minion, turn * 0.01, took_s, failed, fresh=fresh)
    phases = [m.health_state.phase for m in state.minions.values()]
    assert phases.count(health.Phase.EJECTED) == ejected


def test_minion_of_error_answers_is_ejected_unless_all_are():
    state = make_state()
    warm_up(state, ("m1",), factor=0.1, status=500)
    assert [e.reason for e in pool.review(state, 5.0)] == ["errors"]
    state = make_state()
    warm_up(state, tuple(state.minions), status=500)
    assert not pool.review(state, 5.0)


def test_silent_minion_is_found_while_requests_hang():
    state = make_state()
    pool.begin_send(state, state.minions["m2"], 1.0)
    assert not pool.review(state, 1.5)
    assert [e.reason for e in pool.review(state, 2.5)] == ["silent"]


def test_never_the_same_minion_twice():
    state = make_state(count=2)
    assert choose(state, tried=frozenset(("m0",))).member.name == "m1"
    assert choose(state, tried=frozenset(("m0", "m1"))) == "all-tried"


@pytest.mark.parametrize(
    ("failed", "idempotent", "tries", "left_s", "allowed"),
    [
        (GONE, False, 1, 1.0, True),
        (BROKEN, False, 1, 1.0, False),
        (BROKEN, True, 1, 1.0, True),
        (BROKEN, True, 3, 1.0, False),
        (GONE, True, 1, 0.0, False),
    ],
)
def test_may_retry(failed, idempotent, tries, left_s, allowed):
    assert retries.may_retry(failed, idempotent, tries, left_s) is allowed


def test_budget_bounds_further_sends():
    budget = retries.Budget(0.1)
    sends = 0
    for _ in range(1000):
        retries.earn(budget)
        sends += 1
        while retries.spend(budget):
            sends += 1
    assert sends <= 1100


def make_admission(limit=10):
    return admission.State(limit, 50)


def test_admission_refuses_what_cannot_end_in_time_and_recovers():
    state = make_admission()
    for turn in range(20):
        assert not admission.admit(state, turn * 0.1, "quotes", 5.0, 100)
        admission.record_end(state, turn * 0.1, "quotes", 0.4, True)
    assert admission.admit(state, 2.0, "quotes", 0.1, 100) == "predicted-wait"
    assert not admission.admit(state, 2.0, "quotes", 1.0, 100)
    assert not admission.admit(state, 6.0, "quotes", 0.1, 100)
    assert admission.admit(state, 6.0, "quotes", 0.0, 100) == "late"


def test_batch_gives_way_and_comes_back():
    state = make_admission()
    for _ in range(10):
        assert not admission.admit(state, 0.0, "quotes", 1.0, 100)
    for _ in range(3):
        assert admission.admit(state, 0.0, "quotes", 1.0, 100) == "overloaded"
    for _ in range(5):
        admission.record_end(state, 0.0, "quotes", 0.02, True)
    assert admission.admit(state, 0.0, "rosters", 1.0, 10) == "batch-shed"
    assert not admission.admit(state, 0.0, "quotes", 1.0, 100)
    assert not admission.admit(state, 60.0, "rosters", 1.0, 10)
