"""Tests of the load tool."""

import json

import pytest

from poplarspindle import http_server
from poplarspindle.tools import load
from poplarspindle.tools.fakes import minions

TARGET = load.Target("entry", "127.0.0.1:1")


def make_plan(**changes) -> load.Plan:
    table = {
        "groups": {"target": (TARGET,)},
        "rate": 200.0,
        "seconds": 1.0,
        "services": {"quotes": 3, "bookings": 1},
    }
    return load.Plan(**{**table, **changes})


def test_plan_is_seeded_and_mixed():
    arrivals = load.plan_arrivals(make_plan())
    assert arrivals == load.plan_arrivals(make_plan())
    assert arrivals != load.plan_arrivals(make_plan(seed=1))
    assert 150 < len(arrivals) < 250
    assert 0.5 < sum(a.idempotent for a in arrivals) / len(arrivals) < 0.9
    assert {a.service for a in arrivals} == {"quotes", "bookings"}


def test_latency_counts_from_planned_start(monkeypatch):
    """A stalled target can't hide: the second of two waits for the first."""
    clock = [0.0]
    monkeypatch.setattr(load.time, "monotonic", lambda: clock[0])
    monkeypatch.setattr(load.time, "sleep", lambda s: None)

    def stall(self, arrival, request):
        clock[0] += 2.0
        return "answered"

    monkeypatch.setattr(load.Caller, "call", stall)
    run = load.Run(make_plan(callers=1))
    run._arrivals = [load.Arrival(0.0, "target", TARGET, "quotes", True)] * 2
    run._next = iter(enumerate(run._arrivals))
    run._send_all()
    histogram = run.tallies["target"].answered
    assert histogram.get_value_at_percentile(100) >= 3_990_000


@pytest.mark.parametrize(
    ("status", "headers", "code", "outcome"),
    [
        (200, (("Outcome", "answered"),), 0, "answered"),
        (503, (("Outcome", "not-run"),), 1, "not-run"),
        (500, (), 1, "status-500"),
    ],
)
def test_exit_code(status, headers, code, outcome, capsys):
    server = http_server.Server(
        "127.0.0.1:0",
        lambda request: http_server.Response(status, b"", headers),
        4,
    )
    address = server.start()
    try:
        found = load.run_load(
            target=[address],
            rate=50,
            seconds=0.2,
            as_json=True,
            quiet=True,
        )
    finally:
        server.stop()
    report = json.loads(capsys.readouterr().out)["target"]
    assert found == code
    assert set(report["outcomes"]) == {outcome}


def test_crossed_answer_is_broken():
    ledger = []
    fake = minions.FakeMinion("m", ledger, service_s=0.0)

    def cross(request):
        answer = fake.handle(request)
        return http_server.Response(
            200, answer.body, (("Request-Id", "other"),)
        )

    server = http_server.Server("127.0.0.1:0", cross, 4)
    target = load.Target("minion", server.start())
    try:
        plan = make_plan(groups={"target": (target,)}, seconds=0.1)
        tallies = load.Run(plan).run()
    finally:
        server.stop()
    assert set(tallies["target"].outcomes) == {"crossed"}
    assert not load.is_clean(tallies)


@pytest.mark.parametrize(
    "changes",
    [
        {"target": ["nowhere"]},
        {"target": ["127.0.0.1:0"]},
        {"rate": 0},
        {"services": "quotes:x"},
        {"idempotent_share": 1.5},
    ],
)
def test_bad_arguments(changes, capsys):
    arguments = {"target": ["127.0.0.1:1"], **changes}
    assert load.run_load(**arguments) == load.EXIT_USAGE
    assert capsys.readouterr().err
