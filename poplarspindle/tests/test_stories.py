"""The story of a job from a pile of log lines."""

import json

import pytest

from poplarspindle import ctl, stories

JOB = "5c0e7a21d94b36f8"


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
