"""Tests of calls whose jobs have to be stored and found again."""

import json

import pytest

from poplarspindle import http_server, outcomes
from poplarspindle.fleet import records, work
from poplarspindle.platform import callers

JOB = "5c0e7a21d94b36f8"
QUEUE = work.Queue("q", "h", "/q/", "pool")
CONFIGURATION = work.Configuration(1, {"q": QUEUE})


def read_call(method, job, **step):
    body = json.dumps({"pipeline": [{"count": 1, **step}]}).encode()
    request = http_server.Request(
        method, f"/q/{job}", "", {"host": "h"}, body, "c"
    )
    return callers.read_call(request, CONFIGURATION)


@pytest.mark.parametrize("method", ["POST", "GET", "DELETE"])
def test_job_is_found_by_its_id_as_its_caller_wrote_it(method):
    """LOST: a job handed in with an upper-case id was answered 410."""
    assert read_call(method, JOB.upper()).value.job == JOB.upper()


@pytest.mark.parametrize("field", ["image", "affinity", "requirements"])
def test_text_that_cannot_be_stored_is_refused(field):
    """The call was answered 500: no record holds half a surrogate pair."""
    found = read_call("POST", JOB, **{field: "\ud800"})
    assert isinstance(found, outcomes.Failed)


def test_job_with_every_field_is_read_back_as_it_was_stored():
    found = read_call(
        "POST",
        JOB,
        **{
            "cpu": 1000,
            "mem_mb": 2.0,
            "gpu": 2**31,
            "estimated_ms": 7,
            "checkpointing": True,
            "gang": True,
            "colocated": True,
            "requirements": "ä",
            "affinity": "r",
            "max_per_server": 3,
            "speculative": True,
            "long_running": True,
            "image": "i",
            "target_ms": 9,
            "fills": True,
            "max_unavailable": 1,
        },
    )
    record = records.encode_submission(found.value.submission)
    assert (
        records.decode_submission(JOB, record.value) == found.value.submission
    )
