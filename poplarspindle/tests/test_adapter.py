"""The adapter of the users' platform: formats read and written, in tables."""

import json
import pathlib
import re

import pytest

import poplarspindle
from poplarspindle import http_server, outcomes, resources
from poplarspindle.fleet import orders, records, work
from poplarspindle.node import caller_calls, operator_commands
from poplarspindle.platform import callers, minions, operators, settings, store
from poplarspindle.tools.fakes import deployment

QUEUE = work.Queue("q", "a.example", "/p/", "pool", 0, 3, 1.5, 250, 3000)
DEEP = work.Queue("deep", "a.example", "/p/deep/", "pool")
CONFIGURATION = work.Configuration(
    3, {"q": QUEUE, "deep": DEEP}, frozenset(), 2000
)
NAME = "5c0e7a21d94b36f8"
JOB = {"spec": "x", "pipeline": [{"count": 2, "cpu": 500, "mem_mb": 10}]}


def make_request(method="POST", path=f"/p/{NAME}", body=None, host="a.example"):
    data = body
    if not isinstance(body, bytes):
        data = json.dumps(JOB if body is None else body).encode()
    return http_server.Request(method, path, "", {"host": host}, data, "c")


GOOD_CALLS = [
    ("POST", f"/p/{NAME}", caller_calls.Kind.SUBMIT, "q"),
    ("GET", f"/p/{NAME}", caller_calls.Kind.SHOW, "q"),
    ("DELETE", f"/p/{NAME}", caller_calls.Kind.CANCEL, "q"),
    ("GET", "/p/", caller_calls.Kind.COUNT, "q"),
    ("GET", "/p/deep/", caller_calls.Kind.COUNT, "deep"),
]


@pytest.mark.parametrize(("method", "path", "kind", "queue"), GOOD_CALLS)
def test_call_is_read(method, path, kind, queue):
    found = callers.read_call(make_request(method, path), CONFIGURATION)
    assert isinstance(found, outcomes.Ok)
    assert (found.value.kind, found.value.queue.name) == (kind, queue)


BAD_CALLS = [
    pytest.param({"host": "b.example"}, 404, id="unknown host"),
    pytest.param({"path": f"/other/{NAME}"}, 404, id="unknown path"),
    pytest.param({"path": "/p/xyz"}, 400, id="short id"),
    pytest.param({"path": f"/p/{NAME}/x"}, 400, id="path behind the id"),
    pytest.param({"path": "/p/" + "g" * 16}, 400, id="no hexadecimal id"),
    pytest.param({"method": "PUT"}, 405, id="method"),
    pytest.param({"body": b"{"}, 400, id="no JSON"),
    pytest.param({"body": b"[" * 3000}, 413, id="too large"),
    pytest.param({"body": b"[" * 1900}, 400, id="deep JSON"),
    pytest.param({"body": []}, 400, id="no object"),
    pytest.param({"body": {"pipeline": []}}, 400, id="no step"),
    pytest.param({"body": {"pipeline": [3]}}, 400, id="step no object"),
    pytest.param({"body": {"pipeline": [{}]}}, 400, id="no task"),
    pytest.param(
        {"body": {"pipeline": [{"count": 10**6}]}}, 400, id="absurd count"
    ),
    pytest.param(
        {"body": {"pipeline": [{"count": -1}]}}, 400, id="negative count"
    ),
    pytest.param(
        {"body": {"pipeline": [{"count": True}]}}, 400, id="count no number"
    ),
    pytest.param(
        {"body": {"pipeline": [{"count": 1, "depends_on": [0]}]}},
        400,
        id="step after itself",
    ),
    pytest.param(
        {"body": {"pipeline": [{"count": 1, "depends_on": [7]}]}},
        400,
        id="step after what is not there",
    ),
    pytest.param(
        {"body": {"spec": 5, "pipeline": [{"count": 1}]}},
        400,
        id="spec no text",
    ),
    pytest.param(
        {"body": {"pipeline": [{"count": 1, "gang": 1}]}},
        400,
        id="flag no flag",
    ),
]


@pytest.mark.parametrize(("changes", "status"), BAD_CALLS)
def test_malformed_call_is_refused(changes, status):
    found = callers.read_call(make_request(**changes), CONFIGURATION)
    assert isinstance(found, outcomes.Failed)
    assert callers.FAULT_STATUS.get(found.reason, 400) == status


def test_step_fields_are_told_apart():
    row = {
        "count": 3,
        "cpu": 1500,
        "mem_mb": 20,
        "gpu": 1,
        "estimated_ms": 900,
        "checkpointing": True,
        "gang": True,
        "colocated": True,
        "requirements": "fast",
        "affinity": "r1",
        "max_per_server": 2,
        "speculative": True,
        "long_running": True,
        "image": "i",
        "target_ms": 50,
        "fills": True,
        "max_unavailable": 1,
    }
    body = json.dumps({"pipeline": [{"count": 1}, row | {"depends_on": [0]}]})
    job = callers.read_job(NAME, QUEUE, body.encode())
    assert job.steps[1] == work.Step(
        tasks=3,
        need=resources.Resources(1500, 20, 1),
        estimate_ms=900,
        prerequisites=(0,),
        checkpoints=True,
        gang=True,
        one_rack=True,
        label="fast",
        rack="r1",
        max_per_worker=2,
        copies=True,
        until_cancelled=True,
        image="i",
        target_ms=50,
        best_effort=True,
        max_unavailable=1,
    )


ANSWERS = [
    (caller_calls.Answer(200, state="active"), {"state": "active"}),
    (caller_calls.Answer(200, pending=0), {"pending": 0}),
    (caller_calls.Answer(429, error="full", retry_s=4), {"error": "full"}),
]


@pytest.mark.parametrize(("answer", "fields"), ANSWERS)
def test_answer_is_written(answer, fields):
    found = callers.write_answer(answer)
    assert json.loads(found.body) == fields
    assert dict(found.headers).get("Retry-After") == (
        str(answer.retry_s) if answer.retry_s else None
    )


ENTRY = {
    "service": "pool",
    "address": "10.0.0.1:80",
    "zone": "z",
    "slots": 8,
    "state": "ready",
    "capacity": {"cpu": 16000, "mem_mb": 32768, "gpu": 0},
    "labels": ["a", "r1-3"],
    "clock_ms": 5,
    "seq": 4,
    "born": 77,
}


def make_entry(**changes):
    fields = {k: v for k, v in (ENTRY | changes).items() if v is not None}
    return records.Record("i-1", json.dumps(fields).encode())


def test_entry_is_read():
    assert minions.read_worker(make_entry()) == work.WorkerInfo(
        "i-1",
        "10.0.0.1:80",
        "pool",
        "z",
        resources.Resources(16000, 32768, 0),
        frozenset({"a", "r1-3"}),
        "r1-3",
        work.Presence.READY,
        0,
        77,
    )


BAD_ENTRIES = [
    make_entry(state="sleeping"),
    make_entry(state=None),
    make_entry(capacity=None),
    make_entry(capacity={"cpu": "many", "mem_mb": 1}),
    make_entry(capacity=[1, 2]),
    make_entry(address="nowhere"),
    make_entry(address=None),
    make_entry(address="10.0.0.1:99999"),
    make_entry(labels=None),
    make_entry(labels=[1]),
    make_entry(service=None),
    make_entry(born=1.5),
    records.Record("i-1", b"\xff\x00"),
    records.Record("i-1", b"[]"),
    records.Record("i-1", b""),
]


@pytest.mark.parametrize("record", BAD_ENTRIES)
def test_malformed_entry_names_no_worker(record):
    found = minions.read_worker(record)
    assert isinstance(found, outcomes.Failed)
    assert (found.step, found.peer) == (outcomes.Step.LIST, "i-1")


def test_report_is_read():
    task = f"{NAME}.0.1.17"
    fields = {
        "clock_ms": 9,
        "born": 7,
        "running": [[task, 2, "s", 40], [task, 3, "", 100, 12]],
        "finished": [[58, task, 1, "done", ""]],
    }
    name = work.TaskName(NAME, 0, 1, 17)
    assert minions.read_report(fields) == work.Report(
        9,
        7,
        (work.Running(name, 2, "s", 40), work.Running(name, 3, "", 100, 12)),
        (work.Ended(58, name, 1, work.EndReason.DONE),),
    )


@pytest.mark.parametrize(("ends", "whole"), [(499, True), (500, False)])
def test_report_that_is_full_of_ends_is_not_whole(ends, whole):
    rows = [[n + 1, f"a.0.0.{n}", 1, "done", ""] for n in range(ends)]
    fields = {"clock_ms": 5, "running": [], "finished": rows}
    assert minions.read_report(fields).ends_complete is whole


@pytest.mark.parametrize(
    "fields",
    [
        {},
        {"clock_ms": 1, "running": [["x", 1, "", 1]], "finished": []},
        {
            "clock_ms": 1,
            "running": [],
            "finished": [[1, "a.0.0.0", 1, "?", ""]],
        },
    ],
)
def test_malformed_report_is_refused(fields):
    with pytest.raises(ValueError):
        minions.read_report(fields)


def test_task_names_are_round():
    name = work.TaskName(NAME, 3, 0, 12)
    assert minions.parse_task(minions.format_task(name)) == name


def test_keyed_records_are_round():
    found = [records.Record("k", b"v"), records.Record("gone", b"")]
    assert store.decode_records(store.encode_records(found)) == found


def test_unreadable_record_has_no_key():
    data = b"\x00\x00\x00\x03\x02\xff\xfe"
    assert store.decode_records(data) == [records.Record("", b"")]


CONFIG = {
    "version": 7,
    "routes": [
        {
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
    ],
    "services": [{"name": "pool", "enforce_limits": True}],
    "limits": {"max_body_bytes": 9},
}
OPERATOR_COMMANDS = [
    (
        records.Record("config", json.dumps(CONFIG).encode()),
        operator_commands.ConfigurationChange(
            work.Configuration(
                7,
                {
                    "r": work.Queue(
                        "r", "h", "/x/", "pool", 2, 4, 2.0, 1000, 3000
                    )
                },
                frozenset({"pool"}),
                9,
            )
        ),
    ),
    (
        records.Record("evacuate/z", b"{}"),
        operator_commands.DataCentreEvacuation("z", True),
    ),
    (
        records.Record("evacuate/z", b""),
        operator_commands.DataCentreEvacuation("z", False),
    ),
    (records.Record("unknown", b"{}"), None),
]


@pytest.mark.parametrize(("record", "command"), OPERATOR_COMMANDS)
def test_operator_command_is_read(record, command):
    assert operators.read_operator_command(record) == command


@pytest.mark.parametrize("value", [b"{", b"[]", b"{}", b'{"routes": 3}'])
def test_malformed_configuration_is_refused(value):
    with pytest.raises(ValueError):
        operators.read_operator_command(records.Record("config", value))


SETTINGS = """
node_name=n1
zone=z
listen_addrs.frontend=10.0.0.1:80
listen_addrs.readiness=10.0.0.1:81
platform.address=10.0.0.9:1
bounds.grace_s=4.5
unknown.field=x
"""


def test_settings_are_read():
    found = settings.read_settings(SETTINGS)
    assert (found.node, found.data_centre, found.leave_s) == ("n1", "z", 4.5)


@pytest.mark.parametrize(
    "text",
    [
        SETTINGS.replace("platform.address=10.0.0.9:1", ""),
        SETTINGS.replace("node_name=n1", "node_name="),
        SETTINGS.replace("4.5", "soon"),
    ],
)
def test_bad_settings_are_refused(text):
    with pytest.raises(ValueError):
        settings.read_settings(text)


# Words of the platform's wire that have no other meaning in this product.
WIRE_WORDS = (
    "run-start|run-stop|log-append|log-read|log-newest|log-join|log-leave"
    "|fencing_token|path_prefix|max_attempts|enforce_limits|long_running"
    "|checkpointing|max_per_server|depends_on|estimated_ms|api/readyz"
    "|drain_remaining_ms|Expected-Instance|POPLARSPINDLE_CONFIG"
)


def test_wire_words_stand_in_the_adapter_only():
    root = pathlib.Path(poplarspindle.__file__).parent
    sources = [
        path
        for path in root.rglob("*.py")
        if not {"platform", "tests"} & set(path.relative_to(root).parts)
        and path != root / "tools" / "fakes" / "deployment.py"  # Stand-in.
    ]
    assert len(sources) > 50
    found = [
        (path.name, match.group())
        for path in sources
        for match in re.finditer(WIRE_WORDS, path.read_text(encoding="utf-8"))
    ]
    assert found == []


def test_orders_know_every_refusal_of_the_wire():
    assert set(minions.REFUSALS.values()) <= set(orders.Refusal)


def test_parts_beyond_a_topic_are_parts_of_further_topics():
    fake = deployment.FakeStore()
    try:
        own = store.Store(fake.address, 2)
        for partition in range(5):
            record = records.Record(f"k{partition}", b"v")
            own.append([record], 5.0, topic="keyed.t", partition=partition)
            page = own.read("keyed.t", 0, 0, partition)
            assert page.value.items == (record,)
            newest = own.read_newest("keyed.t", partition=partition)
            assert newest.value.items == (record,)
        assert fake.read_keys("keyed.t").keys() == {"k0", "k1"}
        assert fake.read_keys("keyed.t-2").keys() == {"k4"}
    finally:
        fake.stop()
