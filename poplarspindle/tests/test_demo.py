"""Tests of the demonstration: it passes, and finds a planted break."""

import json

import pytest

from poplarspindle.tools import demo

FIGURES = {
    "answered",
    "not_run",
    "unknown",
    "executed_twice",
    "not_run_but_ran",
    "wrong_answers",
    "overcommits",
    "tasks_in_two_places",
    "starts_while_out",
    "evicted",
    "resumed",
    "batch_done",
    "p50_ms",
    "p99_ms",
}


@pytest.mark.parametrize(("planted", "code"), [(False, 0), (True, 1)])
def test_demo(planted, code, capsys):
    assert demo.run_demo(as_json=True, executes_twice=planted) == code
    figures = json.loads(capsys.readouterr().out)
    assert figures.keys() >= FIGURES
    assert (figures["executed_twice"] > 0) is planted
