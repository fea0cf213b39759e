"""Tests of the promise checks: each finds its own break."""

import pytest

from poplarspindle import resources
from poplarspindle.tools import promises
from poplarspindle.tools.fakes import minions, platform, workers


def make_run(task, attempt, began, ended, cause="finished", cores=1):
    need = resources.Resources(cores * 1000, 1, 0)
    run = workers.Run(
        task, attempt, "ourthe-w0", "ourthe", 1, "f", need, began, 99, 0, 1000
    )
    run.ended = ended
    run.cause = cause
    return run


def make_evidence(runs=(), executions=(), told=(), changes=()):
    fake = platform.Platform(platform.Plan())
    fake._add_workers("127.0.0.1:1")
    fake.workers.ledger.extend(runs)
    fake.executions.extend(executions)
    return promises.Evidence(
        fake,
        tuple(told),
        (promises.Outage("ourthe", 10.0, 20.0),),
        {"minion-0": 10.0},
        tuple(changes),
    )


def make_execution(at=0.0, request="e.1"):
    return minions.Execution(request, "minion-0", at, "")


def make_told(outcome="answered", right=True):
    return promises.Told("e.1", False, outcome, right, 1.0)


BREAKS = [
    ("overcommits", {"runs": [make_run("a", 0, 0, 2, cores=99)]}),
    (
        "tasks_in_two_places",
        {"runs": [make_run("a", 0, 0, 2), make_run("a", 1, 1, 3)]},
    ),
    (
        "repeated_attempts",
        {"runs": [make_run("a", 0, 0, 1), make_run("a", 1, 2, 3)]},
    ),
    ("starts_while_out", {"runs": [make_run("a", 0, 14, 15)]}),
    ("wrong_answers", {"told": [make_told(right=False)]}),
    (
        "not_run_but_ran",
        {"executions": [make_execution()], "told": [make_told("not-run")]},
    ),
    (
        "executed_twice",
        {
            "executions": [make_execution(), make_execution()],
            "told": [make_told()],
        },
    ),
    ("sent_to_leaving", {"executions": [make_execution(at=14.0)]}),
    ("cut_off", {"told": [make_told("cut")]}),
    (
        "changes_late_or_reverted",
        {"changes": [promises.Change("s", 2, (0.1,), (2, 1))]},
    ),
]


@pytest.mark.parametrize(("name", "parts"), BREAKS, ids=lambda v: str(v)[:24])
def test_each_break_is_found(name, parts):
    found = promises.check_all(make_evidence(**parts))
    assert {f.name: f.violations for f in found}[name] == 1


def test_sound_run_has_no_finding():
    evidence = make_evidence(
        [make_run("a", 0, 0, 1, "stopped"), make_run("a", 1, 2, 3)],
        [make_execution()],
        [make_told()],
        [promises.Change("s", 2, (0.1,), (2, 3))],
    )
    assert not any(f.violations for f in promises.check_all(evidence))
