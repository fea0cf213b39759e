"""The log names what holds each lasting task that does not run."""

import pytest

from poplarspindle import resources
from poplarspindle.fleet import away_tasks, work
from poplarspindle.tools.fakes import fleets

CORE = resources.Resources(1000, 1000, 0)
JOB = "a" * 16
LASTING = work.Step(1, CORE, 500, until_cancelled=True)
LOGGED_S = away_tasks.LOGGED_AFTER_S + 2 * away_tasks.LOG_INTERVAL_S


def make_world(workers=2):
    """Makes a world that keeps the fields of all `away` lines."""
    world = fleets.World(1, workers=workers)
    lines = []

    def keep(note):
        if note.event == "away":
            lines.append({"job": note.job, **dict(note.fields)})

    world.on_note = keep
    world.run(1)
    return world, lines


def fill(world):
    tasks = 8 * len(world.workers)
    world.submit("b" * 16, work.Step(tasks, CORE, 500, until_cancelled=True))
    world.run(1)


def fill_and_submit(world):
    fill(world)
    world.submit(JOB, LASTING)


def hold_append(world):
    world.append_s = 60.0
    world.submit(JOB, LASTING)


def cut_off_its_worker(world):
    world.submit(JOB, LASTING)
    world.run(1)
    for worker in world.workers.values():
        worker.reachable = False


CAUSES = {
    "room": fill_and_submit,
    "append": hold_append,
    "recorded-unreachable": cut_off_its_worker,
}


@pytest.mark.parametrize(("cause", "hinder"), CAUSES.items(), ids=CAUSES)
def test_line_names_what_holds_a_task_that_does_not_run(cause, hinder):
    world, lines = make_world()
    hinder(world)
    world.run(LOGGED_S)
    line = next(line for line in lines if line["job"] == JOB)
    assert line["cause"] == cause
    assert line["task"] == "0.0.0"
    assert line["away_ms"] >= 1000 * away_tasks.LOGGED_AFTER_S
    assert line["ended_by"]


def test_line_says_when_leases_end_at_the_latest():
    world, lines = make_world()
    cut_off_its_worker(world)
    world.run(LOGGED_S)
    (line, *_) = lines
    assert 0 < line["for_ms"] <= 1000 * world.lease_most_ms
    assert line["worker"] in world.workers


def test_lines_are_few_a_second_and_reach_every_task():
    world, lines = make_world()
    fill(world)
    world.submit(JOB, work.Step(20, CORE, 500, until_cancelled=True))
    world.run(LOGGED_S + 3 * away_tasks.LOG_INTERVAL_S)
    assert {line["task"] for line in lines} == {f"0.0.{i}" for i in range(20)}
    seconds = world.now - away_tasks.LOGGED_AFTER_S
    assert len(lines) <= away_tasks.MAX_LINES * seconds


def test_task_that_runs_has_no_line():
    world, lines = make_world()
    world.submit(JOB, LASTING)
    world.run(2 * LOGGED_S)
    assert lines == []
