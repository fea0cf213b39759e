"""The comparison of mechanisms under seeded loads."""

import json
import math
import operator

import pytest

from poplarspindle import settings
from poplarspindle.tools import charts, fleet_replay, loads
from poplarspindle.tools.fakes import load_workers


@pytest.fixture
def short_days(monkeypatch):
    monkeypatch.setattr(loads, "TRAFFIC_S", 5.0)
    monkeypatch.setattr(loads, "SETTLE_S", 1.0)


@pytest.mark.parametrize("kind", loads.KINDS)
def test_each_kind_draws_other_loads_from_other_seeds(kind):
    drawn = [loads.draw_load(kind, seed) for seed in (1, 1, 2)]
    assert drawn[0] == drawn[1] != drawn[2]
    kinds = {arrival.kind for arrival in drawn[0].arrivals}
    assert kinds == {loads.SHORT, loads.BATCH, loads.LASTING}


@pytest.mark.parametrize("kind", loads.KINDS)
def test_a_play_breaks_no_promise_and_repeats(kind, short_days):
    outcome = fleet_replay.play(kind, 1, fleet_replay.ALL_ON)
    if kind == "burst":
        assert outcome == fleet_replay.play(kind, 1, fleet_replay.ALL_ON)
    assert outcome.violations == 0
    assert min(outcome.short, outcome.batch, outcome.lasting) >= 0
    assert max(outcome.short, outcome.batch, outcome.lasting) <= 1


def test_switching_a_mechanism_off_reaches_the_decisions(short_days):
    # On one short day the outcomes may be the same by chance.
    seeds = (1, 2, 3)
    reference, without = (
        [fleet_replay.play("burst", seed, mechanism) for seed in seeds]
        for mechanism in (fleet_replay.ALL_ON, "pack_critical")
    )
    assert sum(map(operator.ne, reference, without)) >= 2


@pytest.mark.parametrize(
    ("values", "others", "mean"),
    [([1.0, 2.0], [0.5, 1.5], 0.5), ([1.0], [1.0], 0.0)],
)
def test_differences_are_paired_by_seed(values, others, mean):
    difference, margin = fleet_replay.compare(values, others)
    assert difference == mean
    assert margin == (0.0 if len(values) > 1 else math.inf)


def test_pressure_raises_tails_by_a_hyperbola():
    weights = {"a": 4.0, "b": 0.0}
    assert load_workers.compute_tail_ms(20.0, weights, {}) == 20.0
    assert load_workers.compute_tail_ms(20.0, weights, {"a": 0.125}) == 40.0
    assert load_workers.compute_tail_ms(20.0, weights, {"b": 0.9}) == 20.0


@pytest.mark.parametrize(
    ("flags", "told"),
    [
        ({"load": ["calm"]}, "burst"),
        ({"off": ["magic"]}, "move_slowed"),
        ({"report": "chart.txt"}, ".png"),
    ],
)
def test_bad_flags_are_refused_with_what_is_allowed(flags, told, capsys):
    assert fleet_replay.replay(**flags) == settings.EXIT_USAGE
    assert told in capsys.readouterr().err


@pytest.mark.parametrize(
    ("argv", "joined"),
    [
        (["--seeds", "2"], ["--seeds", "2"]),
        (
            ["--off", "a", "--json", "--off", "b"],
            ["--as-json", "--off", "a", "b"],
        ),
    ],
)
def test_flags_may_be_given_often(argv, joined):
    assert fleet_replay._join_lists(argv) == joined


def test_rows_of_a_comparison_name_load_and_mechanism(short_days, capsys):
    code = fleet_replay.replay(
        load=["steady"], off=["move_slowed"], seeds=2, jobs=1, as_json=True
    )
    rows = [json.loads(line) for line in capsys.readouterr().out.splitlines()]
    assert code == 0
    assert [(row["load"], row["off"]) for row in rows] == [
        ("steady", ""),
        ("steady", "move_slowed"),
    ]
    assert rows[0]["worth"] == 0


@pytest.mark.parametrize("suffix", [".png", ".html"])
def test_chart_is_drawn(tmp_path, suffix):
    pytest.importorskip("matplotlib")
    path = tmp_path / f"chart{suffix}"
    rows = [
        fleet_replay.Comparison(kind, off, 1, 1, 1, 1, 0.1, 0.05, 0)
        for kind in ("steady", "burst")
        for off in (fleet_replay.ALL_ON, "move_slowed")
    ]
    charts.draw_comparisons(rows, path)
    assert path.stat().st_size > 1000
