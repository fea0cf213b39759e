"""Tests of what an entry does with requests that waited for a thread."""

import pytest

from poplarspindle import http_server

PATH = "/v1/services/quotes/requests"


@pytest.mark.parametrize(
    ("headers", "waited_s", "outcome"),
    [
        ({}, 0.0, "answered"),
        ({}, 9.0, "not-run"),
        ({"idempotent": "true", "request-id": "again"}, 9.0, "not-run"),
        ({"request-id": "ID"}, 9.0, "answered"),
    ],
    ids=["prompt", "late", "late-idempotent", "late-with-an-id"],
)
def test_long_wait(headers, waited_s, outcome, site):
    """Only the owner of an id may say that it did not run."""
    made = site.start_entry("a")
    site.wait_for(lambda: site.send(made.address).outcome == "answered")
    (name,) = site.mint(made.address)
    headers = {k: v.replace("ID", name) for k, v in headers.items()}
    answer = made._interface.handle(
        http_server.Request("POST", PATH, "", headers, b"", "", 0.0, waited_s)
    )
    told = dict(answer.headers)
    assert told["Outcome"] == outcome
    if outcome == "not-run":
        assert told["Reason"] == "queued"
        assert told["Retry-After"] == "1"
