"""Tests of replays: promises hold, and a run repeats itself."""

import dataclasses

import pytest

from poplarspindle.tools import replay, scenarios

DURATION_S = 40.0


def run_scenario(name, policy, seed=1, duration_s=DURATION_S):
    trace = scenarios.make_trace(name, seed, duration_s)
    return replay.run_policy(trace, policy, seed)


@pytest.mark.parametrize("name", ["lastboek/freeze", "lastboek/failing"])
def test_promises_hold(name):
    summary = run_scenario(name, "chosen")
    assert not any(summary.violations.values())
    assert summary.finished > 0


def test_same_seed_same_outcome():
    runs = [run_scenario("lastboek/noisy", "random") for _ in range(2)]
    first, second = (
        dataclasses.replace(run, decision_ms=(0, 0), tick_ms=(0, 0))
        for run in runs
    )
    assert first == second


@pytest.mark.parametrize(
    ("arguments", "said"),
    [
        ({"trace": "no/such"}, "lastboek/noisy"),
        ({"trace": "lastboek/quiet", "policy": ["x"]}, "no policy x"),
        ({"trace": "lastboek/quiet", "report": "a.gif"}, ".png or .html"),
    ],
)
def test_bad_arguments_are_refused(arguments, said, capsys):
    assert replay.replay(**arguments) == 2
    assert said in capsys.readouterr().err


@pytest.fixture(scope="module")
def noisy():
    policies = ("least_loaded", "evict_first", "chosen")
    return {
        policy: run_scenario("lastboek/noisy", policy, 11, 90.0)
        for policy in policies
    }


@pytest.mark.parametrize(
    ("find", "against", "most"),
    [
        (lambda s: s.p99_over_target, "least_loaded", 0.5),
        (lambda s: -s.batch_core_s, "least_loaded", 0.95),
        (lambda s: sum(s.evictions.values()), "evict_first", 0.1),
    ],
    ids=["tail", "batch", "evictions"],
)
def test_noisy_waves_meet_the_targets(noisy, find, against, most):
    assert find(noisy["chosen"]) <= most * find(noisy[against])


@pytest.mark.parametrize("deployment", ["lastboek", "erntedesk"])
def test_drain_does_what_remaining_capacity_allows(deployment):
    summary = run_scenario(f"{deployment}/freeze", "chosen", 11, 160.0)
    assert summary.drain_done_core_s >= 0.9 * summary.drain_allowed_core_s
    assert summary.drain_allowed_core_s > 0


def test_report_is_drawn(tmp_path):
    pytest.importorskip("matplotlib")
    path = tmp_path / "report.html"
    replay.replay(
        "lastboek/quiet", policy=["chosen"], duration=5.0, report=str(path)
    )
    assert "data:image/png" in path.read_text()
