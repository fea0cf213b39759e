"""Tests of request traces: ring, budget, audit stream, and look-ups."""

import json

import pytest

from poplarspindle import (
    ctl,
    entry,
    inquiries,
    messages,
    outcomes,
    settings,
    traces,
)

ANSWERED = messages.Result("answered", "", "receive", status=200)
REFUSED = messages.Result("not-run", "no-minion", "route")


def make_ring(most=10):
    moments = iter(range(1000))
    return traces.Ring(most, lambda: next(moments) / 1000, lambda: 1700000000)


def test_ring_is_bounded_and_keeps_the_latest():
    ring = make_ring(most=2)
    for name in ("a", "b", "c"):
        ring.begin(name, "quotes")
    assert [ring.find(n).known for n in "abc"] == [False, True, True]


def test_steps_are_bounded():
    ring = make_ring()
    ring.begin("a", "quotes")
    for _ in range(100):
        ring.note("a", outcomes.Step.SEND, "minion-1", "refused")
    assert len(ring.find("a").steps) == traces.MAX_STEPS


@pytest.mark.parametrize(
    ("once", "sends", "result", "kept"),
    [
        (False, 1, ANSWERED, False),
        (False, 2, ANSWERED, True),
        (False, 1, REFUSED, True),
        (True, 1, ANSWERED, True),
    ],
)
def test_what_is_worth_keeping(once, sends, result, kept):
    ring = make_ring()
    ring.begin("a", "quotes", once)
    for _ in range(sends):
        ring.note("a", outcomes.Step.SEND, "minion-1", "sent")
    assert traces.is_worth_keeping(ring.end("a", result)) == kept
    assert ring.end("a", result) is None


def test_budget_bounds_bytes_a_second():
    budget = traces.Budget(100)
    taken = [budget.take(60, at) for at in (0.0, 0.1, 0.3, 0.5, 5.0, 5.0)]
    assert taken == [True, False, True, False, True, False]


@pytest.mark.parametrize(
    ("found", "words"),
    [
        (messages.TraceFound(False), "can't be told"),
        (messages.TraceFound(True, service="quotes"), "not ended yet"),
        (messages.TraceFound(True, True, "q", "answered"), "ran, and its"),
        (messages.TraceFound(True, True, "q", "not-run", "x"), "did not run"),
        (messages.TraceFound(True, True, "q", "unknown", "x"), "may or may"),
    ],
)
def test_explain(found, words):
    assert words in traces.explain("a", found)


def read_trace(site, address, name):
    answer = site.call(address, f"/v1/requests/{name}", method="GET")
    return json.loads(answer.body)


def test_trace_survives_its_entry(site):
    first = site.start_entry("first")
    name = site.send(first.address).request
    assert read_trace(site, first.address, name)["source"] == "here"
    first.stop()
    site.drop("first")
    second = site.start_entry("second")
    found = read_trace(site, second.address, name)
    assert (found["source"], found["outcome"]) == ("audit", "answered")
    assert any(" send minion-" in step for step in found["steps"])


def test_trace_says_when_it_cannot_know(site):
    only = site.start_entry("only")
    found = read_trace(site, only.address, "e-gone.7")
    assert found["source"] == "nowhere"
    assert "can't be told" in found["sentence"]


def test_slow_log_never_stands_in_the_way(site, monkeypatch):
    monkeypatch.setattr(entry, "JOIN_S", 0.0)
    only = site.start_entry("only", audit_bytes_s=300.0)
    site.fake.log.down = True
    told = [site.send(only.address) for _ in range(8)]
    assert {a.outcome for a in told} == {"answered"}
    dropped = only.metrics.get("poplarspindle_traces_total", "dropped")
    assert dropped >= 6
    only.stop()


@pytest.mark.parametrize("alive", [True, False])
def test_ctl_trace(site, wait, monkeypatch, capsys, alive):
    monkeypatch.setenv("POPLARSPINDLE_LOG_URL", site.url)
    monkeypatch.setenv("POPLARSPINDLE_LIST_URL", site.url)
    only = site.start_entry("only")
    name = site.send(only.address).request
    if not alive:
        only.stop()
    assert ctl.trace(name) == ctl.EXIT_OK
    printed = capsys.readouterr().out
    assert f"{name} for quotes ran" in printed
    assert " receive minion-" in printed
    assert ctl.trace("e-gone.7") == ctl.EXIT_UNKNOWN


def test_ctl_trace_without_a_list_says_so(site):
    site.fake.members.down = True
    values = settings.make_values(
        settings.CTL, log_url=site.url, list_url=site.url
    )
    report = inquiries.inquire(values, "a")
    assert not report.known
    assert "list does not answer" in inquiries.render(report)
