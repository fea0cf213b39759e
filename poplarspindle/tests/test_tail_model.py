"""The model learns interference while the load of every job swings."""

import itertools
import math
import random

import pytest

from poplarspindle import interference, resources
from poplarspindle.fleet import (
    fleet_state,
    job_store,
    pacing,
    tail_model,
    work,
    worker_state,
)

TARGET_MS = 50
CAPACITY_MILLICORES = 16000
CRITICAL_IMAGES = ("s0", "s1", "s2")
BEST_EFFORT_IMAGES = ("f0", "f1", "f2", "f3")
HEAVY_PAIRS = {("s0", "f0"), ("s1", "f1"), ("s2", "f2")}


def get_true_weight(image, best_effort_image):
    """Returns the simulated weight, which the model has to learn."""
    return 4.0 if (image, best_effort_image) in HEAVY_PAIRS else 0.1


class SimulatedLoad:
    """Latency-critical jobs with swinging loads and tasks on many workers.

    Args:
        seed: Seed of the random numbers.
        workers: Number of workers.
        jobs: Number of latency-critical jobs.
    """

    def __init__(self, seed, workers=12, jobs=9):
        self.rng = random.Random(seed)
        self.now = 100.0
        self.fleet = fleet_state.FleetState(job_store.JobStore())
        self.jobs = [
            self._make_job(
                f"{n:016x}", CRITICAL_IMAGES[n % len(CRITICAL_IMAGES)], tasks=4
            )
            for n in range(jobs)
        ]
        self.phases = [self.rng.uniform(0, 14) for _ in self.jobs]
        self.workers = [
            worker_state.WorkerState(
                work.WorkerInfo(
                    f"w{n}",
                    "a:1",
                    "pool",
                    "dc",
                    resources.Resources(CAPACITY_MILLICORES, 64000, 0),
                )
            )
            for n in range(workers)
        ]
        worker_cycle = itertools.cycle(self.workers)
        for number, job in enumerate(self.jobs):
            for index in range(4):
                run = self._add(next(worker_cycle), job, index)
                run.job_number = number
        self._run_numbers = itertools.count(1)

    def _make_job(self, name, image, tasks=1, best_effort=False):
        step = work.Step(
            tasks,
            resources.Resources(2000, 1000, 0),
            2000,
            image=image,
            target_ms=0 if best_effort else TARGET_MS,
            until_cancelled=not best_effort,
            best_effort=best_effort,
        )
        queue = work.Queue("q", "h", "/", "pool")
        job = job_store.Job(work.Submission(name, queue, "", (step,)))
        job_store.open_occurrence(job)
        return job

    def _add(self, worker, job, index):
        task = job.occurrences[0][0][index]
        task.attempt = 1
        name = work.TaskName(job.submission.job, 0, 0, index)
        run = LoadedRun(name, job, task, self.now, True)
        run.confirmed, run.first_seen_at = True, self.now
        worker_state.add_run(worker, run)
        return run

    def add_best_effort(self, worker, image):
        """Adds a best-effort run to a worker."""
        job = self._make_job(
            f"{next(self._run_numbers):016x}f", image, best_effort=True
        )
        return self._add(worker, job, 0)

    def get_undisturbed_log_tail(self, number):
        """Returns the logarithm of a job's tail latency without interference.

        It swings with a period of 14 s.
        """
        angle = 2 * math.pi * (self.now + self.phases[number]) / 14
        return math.log(20) + 0.45 * math.sin(angle)

    def sample_tail_ms(self, worker, run):
        """Returns a run's tail latency with interference and noise, in ms."""
        slowdown = sum(
            get_true_weight(run.step.image, best_effort_run.step.image)
            * best_effort_run.step.need.millicores
            * best_effort_run.percent
            / 100
            / CAPACITY_MILLICORES
            for best_effort_run in worker.runs.values()
            if best_effort_run.step.best_effort
        )
        noise = self.rng.gauss(0, 0.04)
        return math.exp(
            self.get_undisturbed_log_tail(run.job_number) + slowdown + noise
        )

    def report(self, worker):
        """Passes a worker's report to the owner; returns the effects."""
        for run in worker.runs.values():
            if run.step.best_effort:
                run.usage = run.step.need.millicores * run.percent / 100
            else:
                run.usage = self.sample_tail_ms(worker, run)
        self.fleet.now = self.now
        return pacing.review_paces(self.fleet, worker)

    def replace_best_effort(self, worker):
        """Starts a best-effort run, and ends one if over two were running."""
        best_effort_runs = [
            run for run in worker.runs.values() if run.step.best_effort
        ]
        if len(best_effort_runs) > 2:
            run = self.rng.choice(best_effort_runs)
            worker_state.remove_run(worker, run)
            tail_model.record_end(worker, run, self.now)
        self.add_best_effort(worker, self.rng.choice(BEST_EFFORT_IMAGES))

    def advance(self, seconds):
        """Simulates time in steps of half a second with changing runs."""
        for _ in range(int(seconds * 2)):
            self.now += 0.5
            for worker in self.workers:
                if self.rng.random() < 0.5:
                    self.replace_best_effort(worker)
                self.report(worker)


class LoadedRun(worker_state.Run):
    """A run with the number of the job whose load its tail latency follows."""

    __slots__ = ("job_number",)


@pytest.mark.parametrize("seed", range(6))
def test_heavy_pairs_are_distinguished_from_light_ones_while_loads_swing(seed):
    """Load swings raise tail latencies too; they must not count as weights."""
    simulation = SimulatedLoad(seed)
    simulation.advance(20)
    weights = {
        pair: simulation.fleet.interference_weights.find_weight(*pair).mean
        for pair in itertools.product(CRITICAL_IMAGES, BEST_EFFORT_IMAGES)
    }
    light = [mean for pair, mean in weights.items() if pair not in HEAVY_PAIRS]
    assert min(weights[pair] for pair in HEAVY_PAIRS) > 2 * max(light)
    assert max(light) < 1.2


@pytest.mark.parametrize("seed", range(6))
def test_levels_follow_the_loads(seed):
    """Levels stay near the true ones while best-effort runs come and go."""
    simulation = SimulatedLoad(seed)
    simulation.advance(20)
    errors = [
        abs(
            simulation.fleet.tail_model.levels[
                job.submission.job, 0
            ].estimate.mean
            - simulation.get_undisturbed_log_tail(number)
        )
        for number, job in enumerate(simulation.jobs)
    ]
    assert sum(errors) / len(errors) < 0.15


def set_true_weights(fleet):
    """Sets all weights to their true values with a small variance."""
    for pair in itertools.product(CRITICAL_IMAGES, BEST_EFFORT_IMAGES):
        weight = fleet.interference_weights.touch_weight(*pair, fleet.now)
        weight.mean, weight.variance = get_true_weight(*pair), 0.01


def test_light_task_uses_no_headroom_and_heavy_task_uses_much():
    simulation = SimulatedLoad(1)
    set_true_weights(simulation.fleet)
    worker = simulation.workers[0]
    simulation.report(worker)
    images = {run.step.image for run in worker.runs.values()}
    steps = {
        best_effort_image: simulation._make_job(
            "x", best_effort_image, best_effort=True
        ).submission.steps[0]
        for best_effort_image in BEST_EFFORT_IMAGES
    }
    headroom_uses = {
        best_effort_image: pacing.predict_headroom_use(
            simulation.fleet, worker, step
        )
        for best_effort_image, step in steps.items()
    }
    heavy_images = {
        heavy_image
        for heavy_image in BEST_EFFORT_IMAGES
        for critical_image in images
        if (critical_image, heavy_image) in HEAVY_PAIRS
    }
    assert heavy_images
    assert all(
        headroom_uses[best_effort_image] > 0.2
        for best_effort_image in heavy_images
    )
    assert all(
        headroom_uses[best_effort_image] == 0
        for best_effort_image in set(BEST_EFFORT_IMAGES) - heavy_images
    )


@pytest.mark.parametrize("seed", range(6))
def test_planned_paces_keep_tails_below_targets_and_light_tasks_at_full_speed(
    seed,
):
    """Load: too many heavy best-effort runs a worker, over two load swings."""
    simulation = SimulatedLoad(seed)
    set_true_weights(simulation.fleet)
    over_target = measured = 0
    for worker in simulation.workers:
        for image in (*BEST_EFFORT_IMAGES, *BEST_EFFORT_IMAGES):
            simulation.add_best_effort(worker, image)
    light_paces = []
    for _ in range(80):
        simulation.now += 0.5
        for worker in simulation.workers:
            simulation.report(worker)
            measured_runs = [
                measured_run
                for measured_run in worker.runs.values()
                if measured_run.step.target_ms
            ]
            measured += len(measured_runs)
            over_target += sum(
                measured_run.usage > TARGET_MS for measured_run in measured_runs
            )
            images = {measured_run.step.image for measured_run in measured_runs}
            light_paces += [
                run.percent
                for run in worker.runs.values()
                if run.step.best_effort
                and not any(
                    (critical_image, run.step.image) in HEAVY_PAIRS
                    for critical_image in images
                )
            ]
    assert over_target < 0.03 * measured
    assert sum(light_paces) > 95 * len(light_paces)


def test_pairs_are_trusted_only_once_measured():
    simulation = SimulatedLoad(1)
    worker = simulation.workers[0]
    simulation.add_best_effort(worker, "f3")
    best_effort_runs = pacing.list_best_effort(worker)
    simulation.report(worker)
    measured_runs = tail_model.list_measured_runs(worker)
    assert not pacing.are_pairs_trusted(
        simulation.fleet, measured_runs, best_effort_runs
    )
    set_true_weights(simulation.fleet)
    assert pacing.are_pairs_trusted(
        simulation.fleet, measured_runs, best_effort_runs
    )


def test_ended_best_effort_run_counts_while_tails_still_include_it():
    """Else its effect on a tail latency read later would raise the level."""
    simulation = SimulatedLoad(1)
    set_true_weights(simulation.fleet)
    worker = simulation.workers[0]
    image = next(run.step.image for run in worker.runs.values())
    best_effort_run = simulation.add_best_effort(
        worker, BEST_EFFORT_IMAGES[CRITICAL_IMAGES.index(image)]
    )
    best_effort_run.usage = 2000
    before = tail_model.compute_image_shares(worker, simulation.now)
    worker_state.remove_run(worker, best_effort_run)
    tail_model.record_end(worker, best_effort_run, simulation.now)
    assert tail_model.compute_image_shares(worker, simulation.now) == before
    assert tail_model.compute_image_shares(worker, simulation.now + 1.0) == {}


def test_unmeasured_tails_admit_at_most_one_heavy_task():
    """Load: many tasks wait before a worker's first report.

    All of them would be placed on it if an unmeasured run counted as idle.
    """
    simulation = SimulatedLoad(1)
    worker = simulation.workers[0]
    step = simulation._make_job("x", "f0", best_effort=True).submission.steps[0]
    placed = 0
    while (
        pacing.predict_headroom_use(simulation.fleet, worker, step) <= 1
        and placed < 20
    ):
        simulation.add_best_effort(worker, "f0")
        placed += 1
    assert placed <= 1


def test_peak_of_a_new_job_includes_a_margin():
    """A load swing may still raise the level of a job measured only briefly."""
    simulation = SimulatedLoad(1)
    worker = simulation.workers[0]
    simulation.report(worker)
    run = tail_model.list_measured_runs(worker)[0]
    model = simulation.fleet.tail_model
    undisturbed = model.levels[run.name.job, 0].estimate.mean
    assert (
        tail_model.predict_undisturbed_tail(
            model, run, undisturbed, simulation.now
        )
        > undisturbed
    )
    later = simulation.now + tail_model.MIN_LEVEL_AGE_S
    assert (
        tail_model.predict_undisturbed_tail(model, run, undisturbed, later)
        == undisturbed
    )


def test_levels_of_ended_jobs_are_deleted():
    simulation = SimulatedLoad(1)
    simulation.advance(2)
    assert simulation.fleet.tail_model.levels
    for job in simulation.jobs:
        tail_model.forget_job(simulation.fleet.tail_model, job.submission.job)
    assert simulation.fleet.tail_model.levels == {}


def test_weight_is_bounded():
    simulation = SimulatedLoad(1)
    simulation.advance(5)
    weights = simulation.fleet.interference_weights.weights.values()
    assert all(
        0 <= weight.mean <= interference.MAX_WEIGHT for weight in weights
    )
