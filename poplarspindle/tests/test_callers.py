"""Contracts for callers, decided by the minions' ledger."""

import json
import time

import pytest
from pytest_bdd import given, parsers, scenarios, then, when

scenarios("features/callers.feature")


@pytest.fixture
def told():
    return []


@given("two entries and two minions", target_fixture="entries")
def start(site):
    made = [site.start_entry(name) for name in ("first", "second")]
    site.know_each_other(*made)
    return {e.incarnation: e.address for e in made}


@given("a ticket of the first entry", target_fixture="ticket")
def take_ticket(site, entries):
    return site.mint(entries["first"])[0]


@given("a chosen id", target_fixture="ticket")
def choose_id():
    return f"{int(time.time())}-trek-17"


@given(
    "an id with a number never handed out by the first entry",
    target_fixture="ticket",
)
def invent_id():
    return "first.5"


@when(parsers.parse("the ticket is sent to the {name} entry"))
def send(site, entries, ticket, told, name):
    told.append(site.send(entries[name], Request_Id=ticket))


@when(parsers.parse("the ticket is sent with another body to the {name} entry"))
def send_other(site, entries, ticket, told, name):
    told.append(site.send(entries[name], b"other", Request_Id=ticket))


@then("both answers are the same whole answer")
def compare(told):
    assert [a.outcome for a in told] == ["answered", "answered"]
    assert told[0] == told[1]


@then(parsers.parse('the last outcome is "{outcome}"'))
def check_outcome(told, outcome):
    assert told[-1].outcome == outcome


@then(parsers.parse('the last reason is "{reason}"'))
def check_reason(told, reason):
    assert told[-1].reason == reason


@then("the request ran once")
def check_once(site, ticket):
    assert site.count_runs(ticket) == 1


@then("the request ran 0 times")
def check_never(site, ticket):
    assert site.count_runs(ticket) == 0


@then(parsers.parse('the second entry traces the request as "{outcome}"'))
def check_trace(site, entries, ticket, outcome):
    path = f"/v1/requests/{ticket}"
    answer = site.call(entries["second"], path, method="GET")
    found = json.loads(answer.body)
    assert (found["outcome"], found["source"]) == (outcome, "peer")
    assert "ran, and its whole answer" in found["sentence"]
    assert any(" send minion-" in step for step in found["steps"])
