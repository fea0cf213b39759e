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
