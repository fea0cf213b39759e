"""The log says why work waits beside free room."""

import pytest

from poplarspindle import resources
from poplarspindle.fleet import events, pacing, waiting, work
from poplarspindle.tools.fakes import fleets

CORE = resources.Resources(1000, 1000, 0)
JOB = "a" * 16


def make_world(**options):
    world = fleets.World(1, workers=2)
    world.run(1)
    step = work.Step(1, CORE, 500, until_cancelled=True, **options)
    return world, step


def submit_and_list(world, step):
    """Hands a job in and returns the notes of some seconds later."""
    world.submit(JOB, step)
    world.fleet.now += waiting.WAIT_LOGGED_S
    return {
        note.event: dict(note.fields)
        for note in waiting.make_notes(world.fleet)
    }


def record_unreachable(world):
    for worker in world.fleet.workers.values():
        worker.logged_unreachable = True


def exclude(world):
    for worker in world.fleet.workers.values():
        worker.no_placement_until = world.now + 60


def evacuate(world):
    world._reduce(
        events.Configured(
            world.now, world.configuration, frozenset({"dc0", "dc1"})
        )
    )


CAUSES = [
    pytest.param(record_unreachable, {}, "recorded-unreachable", id="recorded"),
    pytest.param(exclude, {}, "excluded", id="excluded"),
    pytest.param(evacuate, {}, "evacuated", id="evacuated"),
    pytest.param(
        lambda world: None, {"label": "x"}, "label-or-limit", id="label"
    ),
]


@pytest.mark.parametrize(("hinder", "options", "refusal"), CAUSES)
def test_step_that_waits_beside_room_is_logged_with_its_cause(
    hinder, options, refusal
):
    world, step = make_world(**options)
    hinder(world)
    notes = submit_and_list(world, step)
    assert notes["waits"]["refused_by"] == {refusal: 2}
    assert notes["waits"]["with_room"] == 2
    assert notes["waits"]["lasts"]
    assert notes["waits"]["waits_ms"] == 1000 * waiting.WAIT_LOGGED_S


def test_step_that_waits_for_room_is_not_logged():
    world, step = make_world()
    world.submit("b" * 16, work.Step(16, CORE, 500, until_cancelled=True))
    world.run(1)
    assert "waits" not in submit_and_list(world, step)


def test_run_that_its_worker_does_not_confirm_is_logged():
    world, step = make_world()
    world.append_s = 60.0
    fields = submit_and_list(world, step)["unconfirmed"]
    assert (fields["recorded"], fields["sent"]) == (False, False)
    assert fields["appends_in_flight"] == 1


def test_lines_are_written_with_the_load():
    world, step = make_world()
    exclude(world)
    world.submit(JOB, step)
    world.run(5)
    assert 1 <= world.notes["waits"] <= 2


def test_predicted_harm_holds_back_best_effort_work_only(monkeypatch):
    """Hypothesis 4 of inc1: a serving task held back as fills are."""
    monkeypatch.setattr(
        pacing, "make_predictor", lambda *_: lambda worker: float("inf")
    )
    world, step = make_world(image="s", target_ms=9)
    fill = work.Step(2, CORE, 500, best_effort=True, image="f")
    busy = work.Step(6, CORE, 500, until_cancelled=True)  # Not starved then.
    world.submit("b" * 16, busy)
    world.submit("c" * 16, fill)
    world.submit(JOB, step)
    world.run(2)
    world.fleet.now += waiting.WAIT_LOGGED_S
    (note,) = waiting.make_notes(world.fleet)
    assert sum(len(worker.runs) for worker in world.workers.values()) == 7
    assert note.job == "c" * 16
    assert dict(note.fields)["refused_by"] == {"headroom": 2}
