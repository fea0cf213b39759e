"""Answers with odd content: one of them ends no thread and no following."""

import base64
import json
import random

import pytest

from poplarspindle import http_server, outcomes
from poplarspindle.fleet import orders, records, work
from poplarspindle.node import http_client, storage
from poplarspindle.platform import minions, store, transport
from poplarspindle.tests import test_http_client, test_odd_entries

pytestmark = pytest.mark.usefixtures("fresh_logs")
peer = test_http_client.peer
calls = test_http_client.calls
TASK = "5c0e7a21d94b36f8.0.1.17"
HUGE = 10**400
REPORT = {
    "clock_ms": 9,
    "born": 7,
    "running": [[TASK, 3, "s", 100, 12]],
    "finished": [[58, TASK, 1, "done", ""]],
}


def answer(fields, status=200):
    body = fields if isinstance(fields, bytes) else json.dumps(fields).encode()
    return outcomes.Ok(http_client.Answer(status, body))


def run(*row):
    return {"running": [list(row)]}


def end(*row):
    return {"finished": [list(row)]}


def nest(fields):
    """Returns JSON with a list in place of `@` that is only just parsed."""
    nested = "[" * 800 + "]" * 800
    return json.dumps(fields).replace('"@"', nested).encode()


ODD_REPORTS = [
    pytest.param({"clock_ms": HUGE}, id="clock-huge"),
    pytest.param({"clock_ms": 1 << 64}, id="clock-beyond-64-bits"),
    pytest.param({"clock_ms": -5}, id="clock-negative"),
    pytest.param({"clock_ms": float("inf")}, id="clock-infinite"),
    pytest.param({"clock_ms": [1]}, id="clock-list"),
    pytest.param({"born": 1 << 64}, id="born-beyond-64-bits"),
    pytest.param({"born": float("inf")}, id="born-infinite"),
    pytest.param({"born": "x"}, id="born-text"),
    pytest.param({"running": None}, id="running-null"),
    pytest.param({"running": {"a": 1}}, id="running-object"),
    pytest.param({"running": ["abcd"]}, id="running-texts"),
    pytest.param({"running": [7]}, id="running-numbers"),
    pytest.param(run(TASK, 3), id="run-short"),
    pytest.param(run(5, 3, "", 100), id="task-number"),
    pytest.param(run([TASK], 3, "", 100), id="task-list"),
    pytest.param(run(None, 3, "", 100), id="task-null"),
    pytest.param(run("a.0.-9.0", 3, "", 100), id="step-negative"),
    pytest.param(run("a.0.+1.0", 3, "", 100), id="step-sign"),
    pytest.param(run("a.0.1_0.0", 3, "", 100), id="step-underscore"),
    pytest.param(run("a.0.\u0661.0", 3, "", 100), id="step-other-digits"),
    pytest.param(run(f"a.0.{HUGE}.0", 3, "", 100), id="step-huge"),
    pytest.param(run(TASK, [3], "", 100), id="attempt-list"),
    pytest.param(run(TASK, "3", "", 100), id="attempt-text"),
    pytest.param(run(TASK, HUGE, "", 100), id="attempt-huge"),
    pytest.param(run(TASK, 3, HUGE, 100), id="checkpoint-number"),
    pytest.param(run(TASK, 3, ["s"], 100), id="checkpoint-list"),
    pytest.param(run(TASK, 3, "\ud800", 100), id="checkpoint-surrogate"),
    pytest.param(run(TASK, 3, "s" * 300_000, 100), id="checkpoint-long"),
    pytest.param(run(TASK, 3, "", "100"), id="percent-text"),
    pytest.param(run(TASK, 3, "", None), id="percent-null"),
    pytest.param(run(TASK, 3, "", 100, "12"), id="use-text"),
    pytest.param(run(TASK, 3, "", 100, [12]), id="use-list"),
    pytest.param(run(TASK, 3, "", 100, float("inf")), id="use-infinite"),
    pytest.param(run(TASK, 3, "", 100, float("nan")), id="use-no-number"),
    pytest.param(run(TASK, 3, "", 100, -4), id="use-negative"),
    pytest.param(run(TASK, 3, "", 100, HUGE), id="use-huge"),
    pytest.param({"finished": "x"}, id="finished-text"),
    pytest.param(end("58", TASK, 1, "done", ""), id="number-text"),
    pytest.param(end(None, TASK, 1, "done", ""), id="number-null"),
    pytest.param(end(HUGE, TASK, 1, "done", ""), id="number-huge"),
    pytest.param(end(58, TASK, [1], "done", ""), id="end-attempt-list"),
    pytest.param(end(58, TASK, 1, ["done"], ""), id="reason-list"),
    pytest.param(end(58, TASK, 1, "done", 5), id="end-checkpoint-number"),
    pytest.param(end(58, TASK, 1, "done", "\ud800"), id="end-surrogate"),
    pytest.param(b"[" * 100_000, id="deep"),
    pytest.param(b"\xff", id="no-text"),
    pytest.param(nest(REPORT | end(58, TASK, 1, "@", "")), id="reason-nested"),
    pytest.param(nest(REPORT | end("@", TASK, 1, "", "")), id="number-nested"),
    pytest.param(nest(REPORT | run("@", 3, "", 100)), id="task-nested"),
    pytest.param(nest(REPORT | {"clock_ms": "@"}), id="clock-nested"),
]


@pytest.mark.parametrize("changes", ODD_REPORTS)
def test_odd_report_is_a_failed_look(changes):
    """Raised at the look, it ended all looks at that worker."""
    fields = changes if isinstance(changes, bytes) else REPORT | changes
    found = minions.read_poll_answer("w", answer(fields))
    assert isinstance(found, outcomes.Failed)
    assert (found.reason, found.peer) == ("malformed", "w")


@pytest.mark.parametrize("seed", test_odd_entries.SEEDS)
def test_what_a_report_says_can_be_compared_and_recorded(seed):
    draw = random.Random(seed)
    for _ in range(test_odd_entries.MUTATIONS):
        fields = test_odd_entries.change_part(REPORT, draw)
        found = minions.read_poll_answer("w", answer(fields))
        if isinstance(found, outcomes.Failed):
            continue
        report = found.value
        numbers = [report.clock_ms, report.incarnation_ms]
        numbers += [row.number for row in report.ended]
        numbers += [row.attempt for row in (*report.running, *report.ended)]
        assert all(type(n) is int and 0 <= n < 1 << 53 for n in numbers), fields
        for row in report.running:
            assert row.usage is None or 0 <= row.usage < 1 << 53, fields
            assert 0 <= row.percent < 1 << 53, fields
        for row in (*report.running, *report.ended):
            assert len(row.checkpoint.encode()) <= 4000, fields
            assert isinstance(row.task, work.TaskName), fields


ODD_ORDER_ANSWERS = [
    pytest.param({"reason": ["room"]}, orders.Refusal.MALFORMED, id="list"),
    pytest.param({"reason": {}}, orders.Refusal.MALFORMED, id="object"),
    pytest.param(nest({"reason": "@"}), orders.Refusal.MALFORMED, id="nested"),
    pytest.param({"reason": None}, orders.Refusal.MALFORMED, id="null"),
    pytest.param(b"[" * 100_000, orders.Refusal.MALFORMED, id="deep"),
    pytest.param(
        {"reason": "room", "clock_ms": HUGE},
        orders.Refusal.NO_CAPACITY,
        id="clock-huge",
    ),
    pytest.param(
        {"reason": "room", "clock_ms": True},
        orders.Refusal.NO_CAPACITY,
        id="clock-flag",
    ),
]


@pytest.mark.parametrize(("fields", "refusal"), ODD_ORDER_ANSWERS)
def test_odd_answer_to_an_order_is_an_answer(fields, refusal):
    """Raised at the answer, the order counted as in flight for ever."""
    found = minions.read_answer(answer(fields, 409))
    assert found == orders.Answer(refusal)


ODD_CALLS = [
    pytest.param({"headers": ("Name: \u00e4",)}, id="header-not-ascii"),
    pytest.param({"headers": ("Name: \x00",)}, id="header-nul"),
    pytest.param({"headers": ("Name: \ud800",)}, id="header-surrogate"),
    pytest.param({"url": "http://\u00e4:80/"}, id="host-not-ascii"),
    pytest.param({"url": "http://a\x00b:80/"}, id="host-nul"),
    pytest.param({"url": "http://a b:80/"}, id="host-blank"),
    pytest.param({"url": "http://10.0.0.1:99999/"}, id="port-too-large"),
    pytest.param({"timeout_s": 1e300}, id="time-huge"),
]


@pytest.mark.parametrize("changes", ODD_CALLS)
def test_call_that_can_not_be_made_holds_no_other_up(calls, peer, changes):
    """All calls to all workers waited for ever behind it."""
    good = test_http_client.make_call(peer.address)
    odd = test_http_client.http_client.dataclasses.replace(good, **changes)
    found = test_http_client.send_all(calls, [odd, good, good])
    assert isinstance(found[0], outcomes.Failed)
    assert not found[0].may_have_acted
    assert all(isinstance(outcome, outcomes.Ok) for outcome in found[1:])
    (later,) = test_http_client.send_all(calls, [good])
    assert isinstance(later, outcomes.Ok)


class Pages:
    """A store whose answers to readings of the newest records are scripted."""

    def __init__(self, pages):
        self.pages = list(pages)
        self.asked = []
        self.server = http_server.Server("127.0.0.1:0", self.handle, 2)
        self.address = self.server.start()

    def handle(self, request):
        """Answers one reading."""
        self.asked.append(request.query)
        body = json.dumps(self.pages.pop(0)).encode()
        return http_server.Response(200, body, (), "application/json")


def encode(value):
    return base64.b64encode(value).decode()


def page(items, more=False):
    return {"items": items, "has_more": more, "end_offset": 9}


def item(key, value=b"v"):
    return {"key": key, "value": encode(value), "offset": 1}


@pytest.fixture
def load():
    made = []

    def load_pages(*pages):
        made.append(Pages(pages))
        calls = store.Store(made[-1].address)
        return storage.load_newest(calls, "keyed.t"), made[-1].asked

    yield load_pages
    for found in made:
        found.server.stop()


ODD_ITEMS = [
    pytest.param({"key": 5, "value": ""}, id="key-number"),
    pytest.param({"key": None, "value": ""}, id="key-null"),
    pytest.param({"key": "\ud800", "value": encode(b"v")}, id="key-surrogate"),
    pytest.param({"value": encode(b"v")}, id="key-missing"),
    pytest.param({"key": "odd"}, id="value-missing"),
    pytest.param({"key": "odd", "value": 5}, id="value-number"),
    pytest.param({"key": "odd", "value": "\u00e4"}, id="value-not-ascii"),
    pytest.param({"key": "odd", "value": "abc"}, id="value-cut-off"),
    pytest.param("odd", id="text"),
    pytest.param(None, id="null"),
]


@pytest.mark.parametrize("odd", ODD_ITEMS)
def test_page_with_an_odd_item_is_read_to_its_end(load, odd):
    """No reader of the topic went on: each reading failed as a whole."""
    found, asked = load(
        page([item("a"), odd], True), page([odd, item("b")], False)
    )
    assert isinstance(found, outcomes.Ok)
    assert [r.key for r in found.value.items if r.key] == ["a", "b"]
    assert all(r.value == b"" for r in found.value.items if not r.key)
    assert "depends_on=a" in asked[1]


def test_pages_that_do_not_go_on_are_not_read_for_ever(load):
    same = page([item("a")], True)
    found, asked = load(*[same] * 5)
    assert isinstance(found, outcomes.Failed)
    assert len(asked) < 5


def test_page_of_odd_items_alone_fails_when_more_follow(load):
    found, _ = load(page([{"key": 5}], True))
    assert isinstance(found, outcomes.Failed)


ODD_STANDINGS = [
    pytest.param(b"[]", id="list"),
    pytest.param(b"[" * 100_000, id="deep"),
    pytest.param(b'{"generation":1,"parts":null}', id="parts-null"),
    pytest.param(b'{"generation":1,"parts":[7]}', id="parts-numbers"),
    pytest.param(b'{"parts":[]}', id="generation-missing"),
    pytest.param(b'{"generation":"x","parts":[]}', id="generation-text"),
]


@pytest.mark.parametrize("body", ODD_STANDINGS)
def test_odd_standing_in_the_group_is_a_failed_call(monkeypatch, body):
    answered = outcomes.Ok(transport.Answer(200, body))
    monkeypatch.setattr(transport.Transport, "post", lambda *_: answered)
    found = store.Store("127.0.0.1:1").join("m", 1000, 0)
    assert isinstance(found, outcomes.Failed)
    assert found.reason == "malformed"


def test_record_with_an_unreadable_key_is_passed_over():
    data = b"\x00\x00\x00\x03\x02\xff\xfe"
    data += store.encode_records([records.Record("k", b"v")])
    found = store.decode_records(data)
    assert found == [records.Record("", b""), records.Record("k", b"v")]


# Statuses by which a worker says that it did nothing; 409 names a reason.
REFUSED = [400, 421, 429, 503]
BROKEN = [404, 408, 500, 502, 504]


@pytest.mark.parametrize("status", [*REFUSED, *BROKEN])
def test_poll_of_a_worker_that_breaks_may_have_renewed_leases(status):
    """TWICE: its lease is taken off the account, as if it was not asked for."""
    order = minions.read_answer(answer({}, status))
    poll = minions.read_poll_answer("w", answer({}, status))
    assert (order.refusal is orders.Refusal.NO_ANSWER) == (status in BROKEN)
    assert poll.may_have_acted == (status in BROKEN)
