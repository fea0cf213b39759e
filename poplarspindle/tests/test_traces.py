"""Tests of the trace format."""

import pytest

from poplarspindle import outcomes
from poplarspindle.tools import scenarios, traces

HEAD = '{"kind":"head","name":"t","duration_s":5}'
JOB = '{"kind":"job","at_s":1,"job":"j","family":"f","tasks":1,"work_ms":9}'


@pytest.mark.parametrize(
    ("lines", "fault"),
    [
        ([], "empty"),
        ([JOB], "line 1: the first line"),
        ([HEAD, HEAD], "line 2: the first line"),
        ([HEAD, "{"], "line 2"),
        ([HEAD, '{"kind":"x"}'], "line 2: kind must be one of"),
        ([HEAD, JOB.replace('"tasks":1', '"tasks":0')], "tasks and work_ms"),
        ([HEAD, JOB.replace('"at_s":1', '"at_s":-1')], "at_s must be"),
        ([HEAD, JOB.replace("work_ms", "wrok_ms")], "wrok_ms"),
        (['{"kind":"head","name":"t","duration_s":0}'], "duration_s"),
        (
            ['{"kind":"head","name":"t","duration_s":5,"version":9}'],
            "version must be 1",
        ),
        ([HEAD, '{"kind":"cancel","at_s":1,"job":"j"}'], "no job j"),
        (
            [HEAD, '{"kind":"load","at_s":1,"service":"s","load":-1}'],
            "load must",
        ),
    ],
)
def test_faults_are_named(lines, fault):
    found = traces.read_trace(lines)
    assert isinstance(found, outcomes.Failed)
    assert fault in found.detail


@pytest.mark.parametrize("name", ["lastboek/failing", "erntedesk/freeze"])
def test_generated_trace_reads_back(name, tmp_path):
    made = scenarios.make_trace(name, 3, 20.0)
    traces.write_trace(made, tmp_path / "t.jsonl")
    lines = (tmp_path / "t.jsonl").read_text().splitlines()
    assert traces.read_trace(lines) == outcomes.Ok(made)
