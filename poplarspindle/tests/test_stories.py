"""The story of a job from a pile of log lines."""

import json
import re

import pytest
from structlog import testing

from poplarspindle import ctl, metrics, resources, stories
from poplarspindle.fleet import away_tasks, work
from poplarspindle.node import decision_log
from poplarspindle.tools.fakes import fleets

JOB = "5c0e7a21d94b36f8"
CORE = resources.Resources(1000, 1000, 0)


def make_line(at, event, source="", **fields):
    found = {"event": event, "job": JOB, "timestamp": f"T{at}"} | fields
    return f"{source} {json.dumps(found)}"


CASES = [
    pytest.param(
        make_line(
            1, "answered", kind="submit", status=429, took_ms=0, why="No room."
        ),
        "T1: a caller's submit was answered 429 after 0 ms, because: No room..",
        id="refused",
    ),
    pytest.param(
        make_line(2, "placed", "n1", step=1, tasks=[[3, 2, "w"]], left=4),
        "T2 (n1): step 1: tasks 3 (run 2) on w; 4 tasks wait for room.",
        id="placed",
    ),
    pytest.param(
        make_line(
            3,
            "ended",
            task="0.1.3",
            attempt=2,
            worker="w",
            how="failed",
            took_ms=9,
        ),
        "T3: task 0.1.3 run 2 on w ended: failed, after 9 ms.",
        id="run ended",
    ),
    pytest.param(
        make_line(4, "ended", state="failed"),
        "T4: the job ended: failed.",
        id="job ended",
    ),
    pytest.param(
        make_line(5, "given-up", task="0.0.1", attempt=1, worker="w", why="x"),
        "T5: task 0.0.1 run 1 on w was given up: x.",
        id="given up",
    ),
    pytest.param(
        make_line(
            6,
            "away",
            task="0.0.1",
            cause="stop",
            worker="w",
            away_ms=3500,
            for_ms=900,
            ended_by="end of the run in a report",
        ),
        "T6: task 0.0.1 is to last and has not run for 3500 ms: it is being"
        " stopped on w; that ends within 900 ms, or sooner by: end of the run"
        " in a report.",
        id="away",
    ),
    pytest.param(
        make_line(
            7,
            "away",
            task="0.0.1",
            cause="verdict",
            worker="w",
            away_ms=14000,
            for_ms=-20,
            ended_by="report of the worker",
        ),
        "T7: task 0.0.1 is to last and has not run for 14000 ms: it may have"
        " crashed w, and news of that is awaited; that was to end 20 ms ago,"
        " or sooner by: report of the worker.",
        id="away beyond its bound",
    ),
    pytest.param(
        make_line(
            8,
            "away",
            task="0.0.1",
            cause="new-cause",
            worker="",
            away_ms=3000,
            for_ms=None,
            ended_by="room",
        ),
        "T8: task 0.0.1 is to last and has not run for 3000 ms: new-cause; it"
        " waits without a limit of time for: room.",
        id="away for a cause without a sentence",
    ),
]


@pytest.mark.parametrize(("line", "sentence"), CASES)
def test_line_is_told(line, sentence):
    assert list(stories.tell(stories.read_lines([line], JOB))) == [sentence]


def test_story_is_in_order_and_passes_over_the_rest(tmp_path, capsys):
    path = tmp_path / "lines"
    path.write_text(
        "\n".join(
            [
                "no json { here " + JOB,
                make_line(9, "ended", state="completed"),
                make_line(1, "answered", kind="submit", status=200, took_ms=3),
                json.dumps({"event": "ended", "job": "other"}),
            ]
        )
    )
    assert ctl.run(["story", JOB, str(path)]) == 0
    told = capsys.readouterr().out.splitlines()
    assert [line[:2] for line in told] == ["T1", "T9"]
    assert ctl.run(["story", "0" * 16, str(path)]) != 0


def submit(world):
    world.submit(JOB, work.Step(1, CORE, 500, until_cancelled=True))


def submit_while_appends_wait(world):
    world.append_s = 60.0
    submit(world)


def submit_and_cut_workers_off(world):
    submit(world)
    world.run(1)
    for worker in world.workers.values():
        worker.reachable = False


def submit_beside_full_workers(world):
    tasks = 8 * len(world.workers)
    world.submit("b" * 16, work.Step(tasks, CORE, 500, until_cancelled=True))
    world.run(1)
    submit(world)


AWAY = [
    pytest.param(
        submit_beside_full_workers,
        r"no worker takes it \(workers refuse it, 2 by room\); it waits without"
        r" a limit of time for: room on a worker\.",
        id="room",
    ),
    pytest.param(
        submit_while_appends_wait,
        r"its placement is not recorded in the store; it waits without a limit"
        r" of time for: acknowledgement of the store\.",
        id="append",
    ),
    pytest.param(
        submit_and_cut_workers_off,
        r"the log lists w\d+ as unreachable, and it may still run there; that"
        r" ends within \d+ ms, or sooner by: answer of the worker.*\.",
        id="recorded-unreachable",
    ),
]


@pytest.mark.parametrize(("hinder", "sentence"), AWAY)
def test_line_of_a_lasting_task_that_does_not_run_is_told(
    hinder, sentence, monkeypatch
):
    log = testing.CapturingLogger()  # Loggers used before may be cached.
    monkeypatch.setattr(decision_log, "_log", log)
    world = fleets.World(1, workers=2)
    world.run(1)
    notes = []
    world.on_note = notes.append
    hinder(world)
    world.run(away_tasks.LOGGED_AFTER_S + 2 * away_tasks.LOG_INTERVAL_S)
    for note in notes:
        decision_log.write(metrics.Metrics(), note)
    away = [
        json.dumps({"event": call.args[0], **call.kwargs})
        for call in log.calls
        if call.args == ("away",)
    ]
    (told, *_) = stories.tell(stories.read_lines(away, JOB))
    begin = r": task 0\.0\.0 is to last and has not run for (\d+) ms: "
    match = re.fullmatch(begin + sentence, told)
    assert match, told
    assert int(match[1]) >= 1000 * away_tasks.LOGGED_AFTER_S
