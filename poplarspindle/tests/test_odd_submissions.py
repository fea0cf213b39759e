"""Odd content from callers, operators and the settings file."""

import json
import random
import time

import pytest

from poplarspindle import http_server, outcomes
from poplarspindle.fleet import (
    admission,
    fleet_state,
    job_store,
    records,
    work,
)
from poplarspindle.node import shared_state
from poplarspindle.platform import callers, operators, settings
from poplarspindle.tests import test_odd_entries

pytestmark = pytest.mark.usefixtures("fresh_logs")
QUEUE = work.Queue("q", "a.example", "/p/", "pool", 0, 3, 1.5, 250, 3000)
CONFIGURATION = work.Configuration(3, {"q": QUEUE})
NAME = "5c0e7a21d94b36f8"
HUGE = 10**400
DEEP = test_odd_entries.DEEP
STEP = {"count": 2, "cpu": 500, "mem_mb": 10}
JOB = {"spec": "x", "pipeline": [STEP]}


def read_call(body, method="POST", name=NAME, **headers):
    data = body if isinstance(body, bytes) else json.dumps(body).encode()
    request = http_server.Request(
        method, f"/p/{name}", "", {"host": "a.example", **headers}, data, "c"
    )
    return callers.read_call(request, CONFIGURATION)


def step(**changes):
    return {"pipeline": [STEP | changes]}


ODD_JOBS = [
    pytest.param(b'{"pipeline":[{"count":1}],"x":' + DEEP[50_000:], id="deep"),
    pytest.param(step(cpu=HUGE), id="cpu-huge"),
    pytest.param(step(cpu=1 << 64), id="cpu-beyond-64-bits"),
    pytest.param(step(cpu=1e300), id="cpu-huge-float"),
    pytest.param(step(estimated_ms=float("inf")), id="estimate-infinite"),
    pytest.param(step(estimated_ms=float("nan")), id="estimate-no-number"),
    pytest.param(step(image="\ud800"), id="image-surrogate"),
    pytest.param(step(affinity="\ud800"), id="rack-surrogate"),
    pytest.param(step(requirements="\udfff"), id="label-surrogate"),
    pytest.param(step(image="i" * 100_000), id="image-long"),
    pytest.param(step(affinity="r" * 100_000), id="rack-long"),
    pytest.param(step(image=5), id="image-number"),
    pytest.param(JOB | {"spec": "\ud800"}, id="spec-surrogate"),
    pytest.param(JOB | {"spec": "x" * 4001}, id="spec-long"),
    pytest.param(JOB | {"start_at_ms": HUGE}, id="start-huge"),
    pytest.param(JOB | {"repeat_count": HUGE}, id="repeats-huge"),
    pytest.param(b"\xff\xfe\x00", id="no-text"),
    pytest.param(b'{"pipeline":[{"count":' + b"9" * 5000 + b"}]}", id="digits"),
]


@pytest.mark.parametrize("body", ODD_JOBS)
def test_odd_job_is_refused_and_not_stored(body):
    """What was accepted and can't be recorded or read back would be LOST."""
    found = read_call(body)
    assert isinstance(found, outcomes.Failed)
    assert callers.FAULT_STATUS.get(found.reason, 400) == 400


@pytest.mark.parametrize("seed", test_odd_entries.SEEDS)
def test_accepted_job_reads_back_from_its_record(seed):
    draw = random.Random(seed)
    job = {
        "spec": "x",
        "pipeline": [
            STEP | {"image": "i", "affinity": "r", "requirements": "l"},
            STEP | {"depends_on": [0], "gang": True, "target_ms": 50},
        ],
        "repeat_count": 2,
        "start_at_ms": 1_796_000_000_000,
        "interval_ms": 100,
    }
    for _ in range(test_odd_entries.MUTATIONS):
        found = read_call(test_odd_entries.change_part(job, draw))
        if isinstance(found, outcomes.Failed):
            continue
        submission = found.value.submission
        record = records.encode_submission(submission)
        assert records.decode_submission(NAME, record.value) == submission
        assert len(record.value) < 100_000


@pytest.mark.parametrize(
    "text", ["9" * 5000, "1" + "0" * 400, "-5", "soon", "1e9", ""]
)
def test_odd_deadline_does_not_end_the_call(text):
    queue = work.Queue("q", "a.example", "/p/", "pool", timeout_ms=0)
    configuration = work.Configuration(3, {"q": queue})
    headers = {"host": "a.example", "deadline-ms": text}
    request = http_server.Request("GET", f"/p/{NAME}", "", headers, b"", "c")
    found = callers.read_call(request, configuration)
    assert isinstance(found, outcomes.Ok)
    assert 0 < found.value.deadline_s <= 3600


def test_repeated_job_that_starts_at_a_present_time_is_accepted():
    """All repeated jobs were refused as malformed: their start was too late."""
    start_ms = int(time.time() * 1000)
    found = read_call(
        JOB | {"repeat_count": 3, "start_at_ms": start_ms, "interval_ms": 500}
    )
    assert isinstance(found, outcomes.Ok)
    assert found.value.submission.first_ms == start_ms


@pytest.mark.parametrize("method", ["GET", "DELETE"])
def test_job_with_capitals_in_its_id_is_found_again(method):
    """LOST: accepted, and then answered with 410."""
    name = NAME.upper()
    submitted = read_call(JOB, name=name).value
    found = read_call(b"", method, name).value
    assert found.job == submitted.job == submitted.submission.job


def test_prerequisites_named_often_are_looked_at_once():
    """The owner stood still: each name costs a look at all tasks of a step."""
    rows = [{"count": 9000}, {"count": 1, "depends_on": [0] * 50_000}]
    found = read_call({"pipeline": rows})
    assert found.value.submission.steps[1].prerequisites == (0,)


def test_job_due_very_often_does_not_take_all_memory():
    """Owner after owner ended: all occurrences due were opened at once."""
    found = read_call(JOB | {"repeat_count": 100_000, "interval_ms": 0})
    fleet = fleet_state.FleetState(job_store.JobStore(), 6000, 250, 120, 4000)
    fleet.wall_ms = 1_796_000_000_000
    job = job_store.add_job(fleet.job_store, found.value.submission)
    fleet_state.open_due_occurrences(fleet, job)
    assert 1 <= len(job.occurrences) <= 10_000
    opened = job.opened_occurrences
    fleet_state.open_due_occurrences(fleet, job)
    assert job.opened_occurrences == opened
    del job.occurrences[0]
    fleet_state.open_due_occurrences(fleet, job)
    assert job.opened_occurrences == opened + 1


def test_load_beyond_what_a_record_carries_is_recorded():
    """Owner after owner ended at the sum of what callers had asked for."""
    load = admission.Load(5, {"pool": 1 << 70}, {"pool": 1 << 70})
    found = admission.decode_load(admission.encode_load(load).value)
    assert found.at_ms == 5
    assert found.capacity["pool"] >= 1 << 53
    assert found.until_cancelled_millicores["pool"] >= 1 << 53


ROUTE = {
    "name": "r",
    "host": "h",
    "path_prefix": "/x/",
    "service": "pool",
    "priority": 2,
    "max_attempts": 4,
    "slack_factor": 2.0,
    "target_completion_ms": 1000,
    "timeout_ms": 3000,
}
CONFIG = {
    "version": 7,
    "routes": [ROUTE],
    "services": [{"name": "pool", "enforce_limits": True}],
    "limits": {"max_body_bytes": 9},
}


def route(**changes):
    return CONFIG | {"routes": [ROUTE | changes]}


ODD_CONFIGURATIONS = [
    pytest.param(DEEP, id="deep"),
    pytest.param(CONFIG | {"version": HUGE}, id="version-huge"),
    pytest.param(CONFIG | {"version": float("inf")}, id="version-infinite"),
    pytest.param(CONFIG | {"version": float("nan")}, id="version-no-number"),
    pytest.param(CONFIG | {"routes": {"a": 1}}, id="routes-object"),
    pytest.param(CONFIG | {"services": [7]}, id="services-numbers"),
    pytest.param(CONFIG | {"services": [{"name": []}]}, id="service-list"),
    pytest.param(CONFIG | {"limits": 7}, id="limits-number"),
    pytest.param(
        CONFIG | {"limits": {"max_body_bytes": float("inf")}},
        id="limit-infinite",
    ),
    pytest.param(route(name=["r"]), id="name-list"),
    pytest.param(route(name="\ud800"), id="name-surrogate"),
    pytest.param(route(host=5), id="host-number"),
    pytest.param(route(path_prefix=None), id="prefix-null"),
    pytest.param(route(service={"a": 1}), id="route-service-object"),
    pytest.param(route(service="\ud800"), id="route-service-surrogate"),
    pytest.param(route(max_attempts=1 << 64), id="attempts-beyond-64-bits"),
    pytest.param(route(target_completion_ms=HUGE), id="target-huge"),
    pytest.param(route(timeout_ms=float("inf")), id="timeout-infinite"),
    pytest.param(route(slack_factor=float("nan")), id="slack-no-number"),
    pytest.param(route(slack_factor=HUGE), id="slack-huge"),
    pytest.param(route(priority="high"), id="priority-text"),
]


@pytest.mark.parametrize("value", ODD_CONFIGURATIONS)
def test_odd_configuration_leaves_the_former_in_force(value):
    """No node followed its operators: each reading ended at the odd record."""
    data = value if isinstance(value, bytes) else json.dumps(value).encode()
    state = shared_state.SharedState()
    state.configuration = CONFIGURATION
    shared_state.apply_operator_commands(
        state,
        operators.read_operator_command,
        [
            records.Record("config", data),
            records.Record("evacuate/z", b"{}"),
        ],
    )
    assert state.configuration is CONFIGURATION
    assert state.evacuated == {"z"}


@pytest.mark.parametrize("error", [RecursionError, OverflowError, KeyError])
def test_operators_record_that_raises_holds_no_other_up(error):
    def read(record):
        if record.key == "odd":
            raise error("defect")
        return operators.read_operator_command(record)

    state = shared_state.SharedState()
    rows = [records.Record("odd", b"x"), records.Record("evacuate/z", b"{}")]
    shared_state.apply_operator_commands(state, read, rows)
    assert state.evacuated == {"z"}


SETTINGS = """
node_name=n1
zone=z
listen_addrs.frontend=10.0.0.1:80
listen_addrs.readiness=10.0.0.1:81
platform.address=10.0.0.9:1
platform.parts=8
bounds.grace_s=4.5
"""


@pytest.mark.parametrize(
    "text",
    [
        SETTINGS.replace("parts=8", "parts=inf"),
        SETTINGS.replace("parts=8", "parts=1e999"),
        SETTINGS.replace("parts=8", "parts=nan"),
        SETTINGS.replace("4.5", "inf"),
        SETTINGS.replace("4.5", "nan"),
        SETTINGS.replace("4.5", "-1"),
        SETTINGS.replace("10.0.0.9:1", "10.0.0.9:99999"),
        SETTINGS.replace("10.0.0.9:1", "10.0.0.9:x"),
        SETTINGS.replace("10.0.0.9:1", "10.0.0.9"),
    ],
    ids=[
        "infinite",
        "huge",
        "no-number",
        "time-infinite",
        "time-no-number",
        "time-negative",
        "port-too-large",
        "port-text",
        "port-missing",
    ],
)
def test_odd_settings_are_refused(text):
    """The process ended at a settings file that changed under it."""
    with pytest.raises(ValueError):
        settings.read_settings(text)
