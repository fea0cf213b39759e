"""Tests of syncs: a report that leaves out what is known comes back whole."""

import pytest

from poplarspindle import outcomes, reports
from poplarspindle.clients import workers

TASK = {"task": "a/0", "attempt": 0, "term": 1, "worked_ms": 5}


class Calls:
    """Answers calls from a list and keeps what was sent."""

    def __init__(self, *answers):
        self.answers = list(answers)
        self.known = []

    def call(self, step, url, body):
        """Answers one call."""
        self.known.append(body["known"])
        return self.answers.pop(0)


def make_answer(version, running):
    report = {"now_ms": 1, "highest_term": 1, "running": running}
    return outcomes.Ok({"version": version, "report": report})


LOST = outcomes.Failed(outcomes.Step.SYNC, "w", "timeout", "", True)
WHOLE = make_answer("v1", [TASK])
SAME = make_answer("v1", None)
OTHER = make_answer("v2", None)


@pytest.mark.parametrize(
    ("answers", "known", "running"),
    [
        ((WHOLE, SAME), [None, "v1"], 1),
        ((WHOLE, make_answer("v2", [])), [None, "v1"], 0),
        ((WHOLE, LOST, WHOLE), [None, "v1", None], 1),
        ((WHOLE, OTHER), [None, "v1"], "malformed"),
        ((SAME,), [None], "malformed"),
        ((outcomes.Ok(7),), [None], "malformed"),
    ],
)
def test_report_is_whole_or_malformed(answers, known, running):
    calls = Calls(*answers)
    client = workers.Client(calls)
    found = [client.sync("h:1", "w", workers.Sync(1)) for _ in answers][-1]
    assert calls.known == known
    if isinstance(found, outcomes.Failed):
        assert found.reason == running
    else:
        assert len(found.value.running) == running
        assert all(
            isinstance(task, reports.RunningTask)
            for task in found.value.running
        )
