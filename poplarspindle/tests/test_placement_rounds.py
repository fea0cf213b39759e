"""Rounds of placing choose as the plain scan does, at less cost."""

import random

import pytest

from poplarspindle import resources
from poplarspindle.fleet import (
    job_store,
    placement_rounds,
    work,
    worker_selection,
    worker_state,
)
from poplarspindle.tools.fakes import fleets

SEEDS = range(30)


def make_workers(rng, count):
    workers = []
    for number in range(count):
        info = work.WorkerInfo(
            f"w{number}",
            f"a:{number}",
            "pool",
            "dc",
            resources.Resources(rng.choice((16000, 24000)), 64000, 0),
            frozenset({rng.choice("ab")}),
            f"r{number // 8}",
        )
        workers.append(worker_state.WorkerState(info))
        fill_worker(rng, workers[-1])
    return workers


def fill_worker(rng, worker):
    queue = work.Queue("q", "h", "/q/", "pool")
    for index in range(rng.randrange(4)):
        step = work.Step(
            1,
            resources.Resources(rng.choice((1800, 3200)), 3000, 0),
            image=rng.choice("xy"),
            target_ms=rng.choice((0, 10)),
        )
        name = f"{worker.info.name}-{index}"
        job = job_store.Job(work.Submission(name, queue, "", (step,)))
        job_store.open_occurrence(job)
        task = job.occurrences[0][0][0]
        name = work.TaskName(job.submission.job, 0, 0, 0)
        worker_state.add_run(
            worker, worker_state.Run(name, job, task, 0.0, True)
        )


def make_step(rng):
    fills = rng.random() < 0.4
    return work.Step(
        rng.randrange(1, 60),
        resources.Resources(rng.choice((1800, 5000)), 3200, 0),
        1000,
        label=rng.choice(("", "", "a")),
        rack=rng.choice(("", "r1")),
        one_rack=rng.random() < 0.2,
        max_per_worker=rng.choice((0, 0, 2)),
        image=rng.choice("xyz"),
        target_ms=0 if fills else rng.choice((0, 10)),
        best_effort=fills,
    )


def place(workers, step, choose):
    """Places a step's tasks; returns the workers' names in order."""
    queue = work.Queue("q", "h", "/q/", "pool")
    job = job_store.Job(work.Submission("j", queue, "", (step,)))
    job_store.open_occurrence(job)
    chosen = []
    for index, task in enumerate(job.occurrences[0][0]):
        worker = choose(chosen)
        if worker is None:
            break
        name = work.TaskName("j", 0, 0, index)
        worker_state.add_run(
            worker, worker_state.Run(name, job, task, 0.0, True)
        )
        chosen.append(worker)
    return [worker.info.name for worker in chosen]


@pytest.mark.parametrize("seed", SEEDS)
def test_choices_are_those_of_the_plain_scan(seed):
    def find_harm(worker):
        return worker.latency_critical_millicores / 20000

    step = make_step(random.Random(seed))
    key = ("j", 0, 0)
    plain = make_workers(random.Random(seed), 60)

    def scan(chosen):
        rack = chosen[0].info.rack if chosen and step.one_rack else ""
        return worker_selection.choose_worker(plain, step, key, rack, find_harm)

    expected = place(plain, step, scan)
    workers = make_workers(random.Random(seed), 60)
    choice = placement_rounds.Choice(workers, step, key, find_harm)

    def choose(chosen):
        if chosen:
            choice.update_placed(chosen[-1])
        return choice.choose()

    assert place(workers, step, choose) == expected


def test_steps_that_wait_cost_little_until_something_changes(monkeypatch):
    """Load: all room is taken, and a hundred steps more are handed in."""
    world = fleets.World(1, 40, run_s=lambda rng: 60.0)
    world.run(1)
    step = work.Step(60, resources.Resources(1000, 1000, 0), 500)
    fitted = []
    monkeypatch.setattr(
        worker_state,
        "get_available",
        lambda worker, plain=worker_state.get_available: (
            fitted.append(1) or plain(worker)
        ),
    )
    for number in range(100):
        world.submit(f"{number:016x}", step)
    # Room is for 320 tasks: so many choices, and one scan a step at first.
    assert sum(map(len, world.fleet.ready.values())) == 100 * 60 - 320
    fitted.clear()
    world.run(1)
    # All workers are looked at twice a second, each else after its reports;
    # that does not rise with the number of steps that wait.
    assert len(fitted) <= 100 * 4 + 40 * 4 * 2 * 3
    assert world.list_violations() == []


def test_room_is_used_as_soon_as_it_comes():
    world = fleets.World(1, 8, run_s=lambda rng: 1.0)
    step = work.Step(40, resources.Resources(1000, 1000, 0), 500)
    for number in range(8):
        world.submit(f"{number:016x}", step)
    world.run(12)
    # 320 tasks of a second on 64 processors, each start soon after an end.
    assert len(world.completed_at) == 8
    assert max(world.completed_at.values()) < 1.8 * 320 / 64
