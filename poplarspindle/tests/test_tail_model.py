"""What fills do to what serves, learned while every job's load swings."""

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
CAPACITY = 16000
SERVING = ("s0", "s1", "s2")
FILLS = ("f0", "f1", "f2", "f3")
HEAVY = {("s0", "f0"), ("s1", "f1"), ("s2", "f2")}


def weigh(image, fill):
    return 4.0 if (image, fill) in HEAVY else 0.1


class Load:
    """Serving jobs with loads that swing, each with tasks on many workers."""

    def __init__(self, seed, workers=12, jobs=9):
        self.rng = random.Random(seed)
        self.now = 100.0
        self.fleet = fleet_state.FleetState(job_store.JobStore())
        self.jobs = [
            self._make_job(f"{n:016x}", SERVING[n % len(SERVING)], tasks=4)
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
                    resources.Resources(CAPACITY, 64000, 0),
                )
            )
            for n in range(workers)
        ]
        places = itertools.cycle(self.workers)
        for number, job in enumerate(self.jobs):
            for index in range(4):
                run = self._add(next(places), job, index)
                run.loaded_by = number
        self.fills = itertools.count(1)

    def _make_job(self, name, image, tasks=1, fills=False):
        step = work.Step(
            tasks,
            resources.Resources(2000, 1000, 0),
            2000,
            image=image,
            target_ms=0 if fills else TARGET_MS,
            until_cancelled=not fills,
            best_effort=fills,
        )
        queue = work.Queue("q", "h", "/", "pool")
        job = job_store.Job(work.Submission(name, queue, "", (step,)))
        job_store.open_occurrence(job)
        return job

    def _add(self, worker, job, index):
        task = job.occurrences[0][0][index]
        task.attempt = 1
        name = work.TaskName(job.submission.job, 0, 0, index)
        run = Tracked(name, job, task, self.now, True)
        run.confirmed, run.first_seen_at = True, self.now
        worker_state.add_run(worker, run)
        return run

    def add_fill(self, worker, image):
        """Adds a fill to a worker."""
        job = self._make_job(f"{next(self.fills):016x}f", image, fills=True)
        return self._add(worker, job, 0)

    def tell_free(self, number):
        """Returns the undisturbed logarithm of a job's tail."""
        turn = 2 * math.pi * (self.now + self.phases[number]) / 14
        return math.log(20) + 0.45 * math.sin(turn)

    def tell_tail(self, worker, run):
        """Returns the tail of a serving task, milliseconds."""
        pressed = sum(
            weigh(run.step.image, fill.step.image)
            * fill.step.need.millicores
            * fill.percent
            / 100
            / CAPACITY
            for fill in worker.runs.values()
            if fill.step.best_effort
        )
        noise = self.rng.gauss(0, 0.04)
        return math.exp(self.tell_free(run.loaded_by) + pressed + noise)

    def report(self, worker):
        """Lets the owner take a worker's report in."""
        for run in worker.runs.values():
            if run.step.best_effort:
                run.usage = run.step.need.millicores * run.percent / 100
            else:
                run.usage = self.tell_tail(worker, run)
        self.fleet.at = self.now
        return pacing.review(self.fleet, worker)

    def churn(self, worker):
        """Ends a fill and starts another, as placing does all the time."""
        fills = [run for run in worker.runs.values() if run.step.best_effort]
        if len(fills) > 2:
            run = self.rng.choice(fills)
            worker_state.remove_run(worker, run)
            tail_model.record_end(worker, run, self.now)
        self.add_fill(worker, self.rng.choice(FILLS))

    def play(self, seconds):
        """Lets time pass while fills come and go."""
        for _ in range(int(seconds * 2)):
            self.now += 0.5
            for worker in self.workers:
                if self.rng.random() < 0.5:
                    self.churn(worker)
                self.report(worker)


class Tracked(worker_state.Run):
    """A run that knows whose load its tail follows."""

    __slots__ = ("loaded_by",)


@pytest.mark.parametrize("seed", range(6))
def test_heavy_pairs_are_told_from_light_ones_while_loads_swing(seed):
    load = Load(seed)
    load.play(20)
    weights = {
        pair: load.fleet.slowdown.find_weight(*pair).mean
        for pair in itertools.product(SERVING, FILLS)
    }
    light = [mean for pair, mean in weights.items() if pair not in HEAVY]
    assert min(weights[pair] for pair in HEAVY) > 2 * max(light)
    assert max(light) < 1.2


@pytest.mark.parametrize("seed", range(6))
def test_levels_follow_the_loads(seed):
    load = Load(seed)
    load.play(20)
    missed = [
        abs(
            load.fleet.tail_model.levels[job.submission.job, 0].term.mean
            - load.tell_free(number)
        )
        for number, job in enumerate(load.jobs)
    ]
    assert sum(missed) / len(missed) < 0.15


def teach(fleet):
    """Lets all pairs be known well."""
    for pair in itertools.product(SERVING, FILLS):
        term = fleet.slowdown.touch_weight(*pair, fleet.at)
        term.mean, term.variance = weigh(*pair), 0.01


def test_light_fill_is_free_and_heavy_fill_takes_what_may_be_pressed():
    load = Load(1)
    teach(load.fleet)
    worker = load.workers[0]
    load.report(worker)
    images = {r.step.image for r in worker.runs.values()}
    steps = {
        fill: load._make_job("x", fill, fills=True).submission.steps[0]
        for fill in FILLS
    }
    harms = {
        fill: pacing.predict_harm(load.fleet, worker, step)
        for fill, step in steps.items()
    }
    heavy = {f for f in FILLS for s in images if (s, f) in HEAVY}
    assert heavy
    assert all(harms[fill] > 0.2 for fill in heavy)
    assert all(harms[fill] == 0 for fill in set(FILLS) - heavy)


@pytest.mark.parametrize("seed", range(6))
def test_planned_paces_keep_tails_below_targets_and_light_fills_at_speed(seed):
    """More heavy fills than a worker can bear, through two swings."""
    load = Load(seed)
    teach(load.fleet)
    over = seen = 0
    for worker in load.workers:
        for image in (*FILLS, *FILLS):
            load.add_fill(worker, image)
    light_paces = []
    for _ in range(80):
        load.now += 0.5
        for worker in load.workers:
            load.report(worker)
            tails = [r for r in worker.runs.values() if r.step.target_ms]
            seen += len(tails)
            over += sum(r.usage > TARGET_MS for r in tails)
            images = {r.step.image for r in tails}
            light_paces += [
                run.percent
                for run in worker.runs.values()
                if run.step.best_effort
                and not any((s, run.step.image) in HEAVY for s in images)
            ]
    assert over < 0.03 * seen
    assert sum(light_paces) > 95 * len(light_paces)


def test_pairs_not_known_are_felt_out_step_by_step():
    load = Load(1)
    worker = load.workers[0]
    load.add_fill(worker, "f3")
    fills = pacing.list_best_effort(worker)
    load.report(worker)
    serving = tail_model.list_serving(worker)
    assert not pacing.knows_pairs(load.fleet, serving, fills)
    teach(load.fleet)
    assert pacing.knows_pairs(load.fleet, serving, fills)


def test_tail_read_after_a_fill_ended_is_not_put_down_to_the_job():
    load = Load(1)
    teach(load.fleet)
    worker = load.workers[0]
    image = next(r.step.image for r in worker.runs.values())
    fill = load.add_fill(worker, FILLS[SERVING.index(image)])
    fill.usage = 2000
    before = tail_model.find_shares(worker, load.now)
    worker_state.remove_run(worker, fill)
    tail_model.record_end(worker, fill, load.now)
    assert tail_model.find_shares(worker, load.now) == before
    assert tail_model.find_shares(worker, load.now + 1.0) == {}


def test_tails_not_yet_measured_bear_little():
    """All that waits came at once, before the first report."""
    load = Load(1)
    worker = load.workers[0]
    step = load._make_job("x", "f0", fills=True).submission.steps[0]
    placed = 0
    while pacing.predict_harm(load.fleet, worker, step) <= 1 and placed < 20:
        load.add_fill(worker, "f0")
        placed += 1
    assert placed <= 1


def test_peak_of_a_young_job_is_not_taken_for_known():
    load = Load(1)
    worker = load.workers[0]
    load.report(worker)
    run = tail_model.list_serving(worker)[0]
    tails = load.fleet.tail_model
    free = tails.levels[run.name.job, 0].term.mean
    assert tail_model.find_soon(tails, run, free, load.now) > free
    later = load.now + tail_model.SEEN_S
    assert tail_model.find_soon(tails, run, free, later) == free


def test_levels_of_ended_jobs_are_forgotten():
    load = Load(1)
    load.play(2)
    assert load.fleet.tail_model.levels
    for job in load.jobs:
        tail_model.forget_job(load.fleet.tail_model, job.submission.job)
    assert load.fleet.tail_model.levels == {}


def test_weight_is_bounded():
    load = Load(1)
    load.play(5)
    weights = load.fleet.slowdown.weights.values()
    assert all(0 <= t.mean <= interference.MAX_WEIGHT for t in weights)
