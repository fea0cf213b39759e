"""Tests of the slope tool: the fit, and each measurement at a small size."""

import pytest

from poplarspindle.tools import slopes


def test_line_is_fitted():
    slope = slopes.Slope("x", "f", "u", (1, 2, 3, 4), lambda x: 5.0 + 2 * x)
    line = slopes.fit_line(slope)
    assert (round(line.base, 6), round(line.slope, 6)) == (5.0, 2.0)
    assert line.residual < 1e-9


@pytest.mark.parametrize(
    "slope", slopes.SLOPES, ids=lambda s: f"{s.name} by {s.factor}"
)
def test_each_measurement_runs(slope):
    assert slope.measure(min(slope.points[0], 20)) > 0


def test_idle_list_is_smaller_than_a_changed_one():
    whole = slopes.measure_list_by_members(60)
    assert slopes.measure_idle_list_by_members(60) * 10 < whole
