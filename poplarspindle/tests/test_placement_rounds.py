"""Placement rounds choose the workers that a full scan would, at less cost."""

import random

import pytest

from poplarspindle import resources
from poplarspindle.fleet import (
    job_store,
    mechanisms,
    work,
    worker_chooser,
    worker_selection,
    worker_state,
)
from poplarspindle.tools.fakes import fleets

SEEDS = range(30)


def make_workers(rng, count):
    """Returns workers of random size and label, each with a few runs."""
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
        add_runs(rng, workers[-1])
    return workers


def add_runs(rng, worker):
    """Adds up to three runs to a worker, some latency-critical."""
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
    """Returns a step with random needs and constraints."""
    best_effort = rng.random() < 0.4
    return work.Step(
        rng.randrange(1, 60),
        resources.Resources(rng.choice((1800, 5000)), 3200, 0),
        1000,
        label=rng.choice(("", "", "a")),
        rack=rng.choice(("", "r1")),
        one_rack=rng.random() < 0.2,
        max_per_worker=rng.choice((0, 0, 2)),
        image=rng.choice("xyz"),
        target_ms=0 if best_effort else rng.choice((0, 10)),
        best_effort=best_effort,
    )


def place_tasks(workers, step, choose):
    """Places a step's tasks one by one and returns the workers' names.

    Args:
        workers: Workers.
        step: The step.
        choose: Returns the next task's worker, None if no worker has room;
            gets the workers chosen so far.
    """
    queue = work.Queue("q", "h", "/q/", "pool")
    job = job_store.Job(work.Submission("j", queue, "", (step,)))
    job_store.open_occurrence(job)
    chosen_workers = []
    for index, task in enumerate(job.occurrences[0][0]):
        worker = choose(chosen_workers)
        if worker is None:
            break
        name = work.TaskName("j", 0, 0, index)
        worker_state.add_run(
            worker, worker_state.Run(name, job, task, 0.0, True)
        )
        chosen_workers.append(worker)
    return [worker.info.name for worker in chosen_workers]


@pytest.mark.parametrize("seed", SEEDS)
def test_heap_chooses_the_same_workers_as_a_full_scan(seed):
    def predict_headroom_use(worker):
        return worker.latency_critical_millicores / 20000

    step = make_step(random.Random(seed))
    key = ("j", 0, 0)
    scanned_workers = make_workers(random.Random(seed), 60)

    def choose_by_scan(chosen_workers):
        rack = (
            chosen_workers[0].info.rack
            if chosen_workers and step.one_rack
            else ""
        )
        return worker_selection.choose_worker(
            scanned_workers, step, key, rack, predict_headroom_use
        )

    expected = place_tasks(scanned_workers, step, choose_by_scan)
    workers = make_workers(random.Random(seed), 60)
    chooser = worker_chooser.WorkerChooser(
        workers,
        step,
        key,
        predict_headroom_use,
        mechanisms.ALL,
        worker_chooser.CostKinds(),
    )

    def choose(chosen_workers):
        if chosen_workers:
            chooser.update_rank(chosen_workers[-1])
        return chooser.choose()

    assert place_tasks(workers, step, choose) == expected


def test_waiting_steps_cost_few_checks_until_a_worker_changes(monkeypatch):
    """Load: the fleet is full, and 100 more steps are submitted.

    If each round tried all waiting steps on all workers, its cost would grow
    with the backlog.
    """
    world = fleets.World(1, 40, run_s=lambda rng: 60.0)
    world.run(1)
    step = work.Step(60, resources.Resources(1000, 1000, 0), 500)
    fit_checks = []
    monkeypatch.setattr(
        worker_state,
        "get_available",
        lambda worker, original=worker_state.get_available: (
            fit_checks.append(1) or original(worker)
        ),
    )
    looked_at = []
    list_entries = worker_chooser.WorkerChooser._list_entries
    monkeypatch.setattr(
        worker_chooser.WorkerChooser,
        "_list_entries",
        lambda self, workers: (
            looked_at.extend(workers) or list_entries(self, workers)
        ),
    )
    for number in range(100):
        world.submit(f"{number:016x}", step)
    # The fleet has room for 320 tasks. At first each step scans all workers.
    assert sum(map(len, world.fleet.ready.values())) == 100 * 60 - 320
    assert len(looked_at) >= 40 + 320
    fit_checks.clear()
    looked_at.clear()
    world.run(1)
    # All workers are checked twice a second, and each one after its reports.
    # That does not grow with the number of waiting steps.
    assert len(fit_checks) <= 100 * 4 + 40 * 4 * 2 * 3
    # Also where a worker's cost is kept and its room not checked again.
    assert 0 < len(looked_at) <= 100 * 4 + 40 * 4 * 2 * 3
    assert world.list_violations() == []


def test_freed_capacity_is_used_at_once():
    """A new task starts soon after a run ends, so that no processor idles."""
    world = fleets.World(1, 8, run_s=lambda rng: 1.0)
    step = work.Step(40, resources.Resources(1000, 1000, 0), 500)
    for number in range(8):
        world.submit(f"{number:016x}", step)
    world.run(12)
    # 320 tasks of 1 s run on 64 processors, so 5 s is the minimum.
    assert len(world.completed_at) == 8
    assert max(world.completed_at.values()) < 1.8 * 320 / 64
