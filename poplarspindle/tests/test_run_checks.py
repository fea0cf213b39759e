"""Workers that a tick passes over have nothing to be done for their runs."""

import collections
import dataclasses
import random

import pytest

from poplarspindle import resources
from poplarspindle.fleet import (
    effects,
    fleet_state,
    grants,
    job_store,
    late_starts,
    mechanisms,
    run_checks,
    work,
    worker_state,
)
from poplarspindle.tests import test_placement_rounds
from poplarspindle.tools import loads
from poplarspindle.tools.fakes import fleets, load_world


def needs_check(worker, now):
    """Tells whether a check without shortcuts would do anything."""
    leases_over = (
        now >= grants.find_leases_end(worker)
        and now - worker.last_report_at > 1.0
    )
    leaves = worker.leaves_at < float("inf")
    remaining_ms = (worker.leaves_at - now) * 1000
    return leases_over or any(
        late_starts.is_answer_to_record(run, now)
        or run.stopping
        or remaining_ms < run_checks.DRAIN_MARGIN_MS + 900
        or (run.step.until_cancelled and leaves)
        or (worker.poll_failed and run.recorded and not run.start_sent)
        for run in worker.runs.values()
    )


def watch_settled(monkeypatch):
    """Compares each answer of `is_settled`; returns how often each came."""
    answers = collections.Counter()
    is_settled = run_checks.is_settled

    def is_settled_checked(worker, now):
        settled = is_settled(worker, now)
        assert not (settled and needs_check(worker, now))
        answers[settled] += 1
        return settled

    monkeypatch.setattr(run_checks, "is_settled", is_settled_checked)
    return answers


@pytest.mark.parametrize(
    "kind", ["impatient-callers", "lost-data-centre", "failing-workers"]
)
def test_settled_workers_need_no_check_in_a_play(monkeypatch, kind):
    answers = watch_settled(monkeypatch)
    world = load_world.LoadWorld(loads.draw_load(kind, 5), 5, mechanisms.ALL)
    world.run(24)
    assert answers[True] > 300 and answers[False] > 300
    placed = [
        (name, run.job)
        for name, worker in world.fleet.workers.items()
        for run in worker.runs.values()
    ]
    for job in world.fleet.job_store.jobs.values():
        assert job.runs_by_worker == collections.Counter(
            name for name, its_job in placed if its_job is job
        )
    assert placed


@pytest.mark.parametrize("seed", range(6))
def test_settled_workers_need_no_check_with_late_orders(monkeypatch, seed):
    """Starts without answers, workers that leave or crash, cancellations."""
    answers = watch_settled(monkeypatch)
    rng = random.Random(seed)
    world = fleets.World(
        seed, 6, run_s=lambda rng: rng.uniform(0.2, 6), late=0.1, late_polls=0.1
    )
    step = work.Step(6, resources.Resources(1000, 1000, 0), 500)
    lasting = work.Step(
        2, resources.Resources(1000, 1000, 0), until_cancelled=True
    )
    jobs = [f"{number:016x}" for number in range(12)]
    for job in jobs:
        world.submit(job, rng.choice((step, lasting)))
        world.run(rng.uniform(0.2, 1.5))
        if rng.random() < 0.3:
            world.cancel(rng.choice(jobs[: jobs.index(job) + 1]))
        if rng.random() < 0.2:
            world.workers[f"w{rng.randrange(6)}"].crash()
    world.run(10)
    assert answers[True] > 50 and answers[False] > 50


def test_calm_workers_are_not_checked_at_each_tick(monkeypatch):
    """Load: lasting tasks on all workers, and nothing happens to them."""
    checked = []
    check_runs = run_checks.check_runs
    monkeypatch.setattr(
        run_checks,
        "check_runs",
        lambda *given: checked.append(1) or check_runs(*given),
    )
    world = fleets.World(1, 20)
    step = work.Step(
        60, resources.Resources(1000, 1000, 0), until_cancelled=True
    )
    world.submit("0" * 16, step)
    world.run(3)
    checked.clear()
    world.run(3)
    assert not checked
    world.cancel("0" * 16)
    world.run(0.2)
    assert checked


def test_count_of_a_jobs_runs_follows_the_runs():
    rng = random.Random(1)
    workers = test_placement_rounds.make_workers(rng, 3)
    for worker in workers:
        for run in list(worker.runs.values()):
            worker_state.remove_run(worker, run)
    queue = work.Queue("q", "h", "/q/", "pool")
    step = work.Step(9, resources.Resources(1000, 1000, 0))
    jobs = [
        job_store.Job(work.Submission(f"j{number}", queue, "", (step,)))
        for number in range(4)
    ]
    for job in jobs:
        job_store.open_occurrence(job)
    for _ in range(300):
        worker = rng.choice(workers)
        job, index = rng.choice(jobs), rng.randrange(9)
        name = work.TaskName(job.submission.job, 0, 0, index)
        task = job.occurrences[0][0][index]
        run = worker_state.Run(name, job, task, 0.0, True)
        if run.key in worker.runs or rng.random() < 0.2:
            worker_state.remove_run(worker, run)
        else:
            worker_state.add_run(worker, run)
        expected = collections.Counter(
            worker.info.name
            for worker in workers
            for run in worker.runs.values()
            if run.job is job
        )
        assert dict(job.runs_by_worker) == dict(expected)


def test_end_of_a_job_looks_at_no_worker_without_its_runs():
    """Load: dozens of jobs end a second, beside hundreds of workers."""
    world = fleets.World(1, 20)
    step = work.Step(6, resources.Resources(1000, 1000, 0), 500)
    for number in range(3):
        world.submit(f"{number:016x}", step)
    world.run(0.3)
    fleet = world.fleet
    looked_at = []

    class Workers(dict):
        """Notes that all workers are gone through."""

        def values(self):
            looked_at.append(len(self))
            return super().values()

    job = fleet.job_store.jobs["0" * 16]
    assert job.runs_by_worker
    other = job_store.Job(dataclasses.replace(job.submission, job="f" * 16))
    fleet.workers = Workers(fleet.workers)
    fleet_state.end_job(fleet, other, job_store.State.COMPLETED)
    assert not looked_at
    stopped = fleet_state.end_job(fleet, job, job_store.State.CANCELLED)
    assert looked_at
    orders_sent = [e for e in stopped if isinstance(e, effects.Order)]
    assert len(orders_sent) == sum(job.runs_by_worker.values()) == 6
