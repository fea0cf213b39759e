"""Tests of the reason given when no worker can ever hold a task."""

import pytest

from poplarspindle import feasibility, reports, resources

ROLE = reports.Role.WORKER


def make_worker(name, data_centre, *capacity):
    return reports.Member(
        name, ROLE, data_centre, capacity=resources.Resources(*capacity)
    )


WORKERS = (
    make_worker("w1", "ourthe", 16_000, 60_000, 0),
    make_worker("w2", "lesse", 8_000, 120_000, 2),
)


@pytest.mark.parametrize(
    ("need", "allowed", "expected"),
    [
        ((16_000, 60_000, 0), ("ourthe",), ""),
        ((16_001, 1, 0), ("ourthe", "lesse"), "16.001 processors"),
        ((9_000, 1, 0), ("lesse",), "no worker in lesse has more than 8"),
        ((1, 60_001, 0), ("ourthe",), "60001 MB of memory"),
        ((1, 1, 3), ("ourthe", "lesse"), "3 accelerators"),
        ((9_000, 60_001, 0), ("ourthe", "lesse"), "no single worker"),
        ((9_000, 1, 1), ("ourthe", "lesse"), "no single worker"),
        ((10**9, 1, 0), ("semois",), ""),
        ((1, 1, 0), (), "no data centre is allowed"),
    ],
)
def test_reason_names_the_exceeded_resource(need, allowed, expected):
    obstacle = feasibility.find_obstacle(
        resources.Resources(*need), allowed, WORKERS
    )
    assert expected in obstacle
    assert bool(obstacle) is bool(expected)
