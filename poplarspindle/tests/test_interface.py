"""Tests of bad input: each gets a clear error and a true outcome."""

import json

import pytest

from poplarspindle import bulkheads, document, records, settings
from poplarspindle.clients import logservice, transport

SERVICE = "/v1/services/quotes/requests"
BAD_REQUESTS = [
    ({"Deadline_Ms": "0"}, "bad-deadline"),
    ({"Deadline_Ms": "-1"}, "bad-deadline"),
    ({"Deadline_Ms": "soon"}, "bad-deadline"),
    ({"Deadline_Ms": "1e3"}, "bad-deadline"),
    ({"Deadline_Ms": "60001"}, "bad-deadline"),
    ({"Deadline_Ms": "9" * 5000}, "bad-deadline"),
    ({"Idempotent": "yes"}, "bad-idempotent"),
    ({"First_Send": "maybe"}, "bad-first-send"),
    ({"Request_Id": "a b"}, "bad-request-id"),
    ({"Request_Id": "x" * 129}, "bad-request-id"),
    ({"Request_Id": "plain"}, "bad-request-id"),
    ({"Request_Id": "only.999"}, "never-minted"),
]


@pytest.fixture(scope="module")
def only(shared_site):
    # A busy machine must not have requests refused for their wait.
    return shared_site.start_entry("only", team_secret="s", queue_ms=60_000)


@pytest.fixture
def site(shared_site):
    return shared_site


@pytest.mark.parametrize(("headers", "reason"), BAD_REQUESTS)
def test_bad_requests(site, only, headers, reason):
    told = site.send(only.address, **headers)
    assert (told.status, told.outcome, told.reason) == (400, "not-run", reason)
    assert json.loads(told.body)["error"]
    assert not site.fake.executions


@pytest.mark.parametrize(
    ("method", "path", "body", "status", "reason"),
    [
        ("GET", SERVICE, b"", 405, "bad-method"),
        ("PUT", "/v1/jobs", b"", 405, "bad-method"),
        ("GET", "/v1/nothing", b"", 404, "unknown-path"),
        ("GET", "/", b"", 404, "unknown-path"),
        ("POST", "/v1/services/B%20d/requests", b"", 400, "bad-service"),
        ("POST", "/v1/tickets", b"0", 400, "bad-count"),
        ("POST", "/v1/tickets", b"1001", 400, "bad-count"),
        ("POST", "/v1/tickets", b"\xff", 400, "bad-count"),
        ("POST", "/v1/tickets", "²".encode(), 400, "bad-count"),
        ("GET", "/v1/requests/a%20b", b"", 400, "bad-request-id"),
    ],
)
def test_bad_paths(site, only, method, path, body, status, reason):
    told = site.call(only.address, path, body, method)
    assert (told.status, json.loads(told.body)["reason"]) == (status, reason)


def test_unknown_service_did_not_run(site, only, wait):
    publish(site, "[services.quotes]\n[services.bookings]\n")
    wait(lambda: only.document.sections)
    path = "/v1/services/unheard/requests"
    told = site.call(only.address, path)
    assert (told.status, told.outcome) == (404, "not-run")
    assert told.reason == "unknown-service"


def publish(site, text):
    """Publishes one section of the document."""
    change = records.SectionPublished("c", "all", 0, "team", "test", text)
    signed = document.sign_change(change, document.derive_key("s", "team"))
    calls = transport.Transport(5.0)
    logservice.LogService(site.url, calls).append(
        records.DOCUMENT_STREAM, records.encode_batch((signed,))
    )


def test_look_ups_are_bounded(site, only, monkeypatch):
    full = bulkheads.Bulkhead(1)
    monkeypatch.setattr(only._interface, "_inquiries", full)
    with full.enter():
        told = site.call(only.address, "/v1/requests/a", method="GET")
    assert told.status == 429
    told = site.call(only.address, "/v1/requests/a", method="GET")
    assert told.status == 404


def test_answers_carry_all_headers(site, only):
    answer = site._http.request("POST", f"http://{only.address}{SERVICE}")
    names = ("Request-Id", "Outcome", "Reason", "Step")
    assert all(answer.headers.get(name) for name in names)


def test_setting_defaults_allow_the_default_deadline():
    values = settings.make_values(settings.ENTRY)
    assert values.deadline_ms <= values.deadline_most_ms
