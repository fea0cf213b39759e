"""Best-effort jobs that predicted harm keeps from every worker."""

import dataclasses
import itertools

import pytest

from poplarspindle import resources
from poplarspindle.fleet import (
    mechanisms,
    placement_rounds,
    starvation,
    work,
)
from poplarspindle.tools.fakes import fleets, load_workers

TARGET_MS = 150
WITHOUT = dataclasses.replace(mechanisms.ALL, start_starved=False)
SERVING = work.Step(
    4,
    resources.Resources(4000, 100, 0),
    until_cancelled=True,
    image="serve",
    target_ms=TARGET_MS,
)


def make_batch(tasks=3, **changes):
    step = work.Step(
        tasks,
        resources.Resources(3000, 100, 0),
        estimate_ms=1000,
        image="batch",
        best_effort=True,
    )
    return dataclasses.replace(step, **changes)


MEASURED_S = 5.0  # Reports come each second.


class HotWorld(fleets.World):
    """A worker whose serving tasks are near their targets all the time.

    Args:
        used: Mechanisms by which the owner decides.
        calm_from: When their tail latencies fall, seconds.
        millicores: Processors of the worker; serving tasks reserve 16,000.
    """

    def __init__(
        self,
        used=mechanisms.ALL,
        calm_from=float("inf"),
        millicores=40_000,
    ):
        self.calm_from = calm_from
        super().__init__(
            1,
            workers=1,
            capacity=resources.Resources(millicores, 32_000, 0),
            run_s=lambda rng: float("inf"),
            make_worker=load_workers.LoadWorker,
            used_mechanisms=used,
        )
        self.submit("a", SERVING)
        self.run(MEASURED_S)

    def get_work_s(self, name):
        """Returns the work of a task, seconds at full speed."""
        step = self.find_step(name)
        return float("inf") if step.until_cancelled else 1.0

    def get_load(self, name):
        """Returns the share of its processors that a task uses."""
        return 0.5

    def get_tail_ms(self, name, shares):
        """Returns a task's tail latency beside best-effort runs."""
        undisturbed_ms = 140.0 if self.now < self.calm_from else 30.0
        return load_workers.compute_tail_ms(
            undisturbed_ms, {"batch": 2.0}, shares
        )

    def count_runs(self, job):
        """Returns how many runs of a job there are now."""
        return sum(
            key[0].job == job
            for worker in self.workers.values()
            for key in worker.runs
        )


@pytest.mark.parametrize(
    ("used", "started"),
    [
        pytest.param(mechanisms.ALL, 1, id="started"),
        pytest.param(WITHOUT, 0, id="waits for ever without"),
    ],
)
def test_job_that_no_worker_admits_starts_after_a_wait(used, started):
    world = HotWorld(used)
    world.submit("b", make_batch())
    world.run(starvation.STARVED_AFTER_S - 0.5)
    assert world.count_runs("b") == 0
    world.run(1.5)
    assert world.count_runs("b") == started
    world.run(20)
    assert world.count_runs("b") == started


def test_started_task_is_slowed_down_and_uses_what_a_swing_leaves():
    world = HotWorld(calm_from=15)
    world.submit("b", make_batch(tasks=1))
    world.run(10)
    hot = max(
        ratio
        for worker in world.workers.values()
        for ratio in worker.tail_ratio.values()
    )
    assert world.count_runs("b") == 1
    assert hot < 1
    world.run(10)
    assert world.get_state("b") == "completed"
    assert not world.list_violations()


def test_job_in_a_busy_pool_waits_for_capacity():
    """Load: more work than fits; each such start would add harm."""
    world = HotWorld(millicores=24_000)
    world.submit("b", make_batch())
    world.run(10)
    assert world.count_runs("b") == 0


def find_longest_miss(world, jobs, run_s):
    """Submits jobs, and returns for how long a target was missed on end."""
    for number in range(jobs):
        world.submit(f"b{number}", make_batch(tasks=1))
    longest = since = 0.0
    for _ in range(int(run_s / fleets.TICK_S)):
        world.run(fleets.TICK_S)
        ratios = world.workers["w0"].tail_ratio.values()
        since = since + fleets.TICK_S if max(ratios) > 1 else 0.0
        longest = max(longest, since)
    return longest


@pytest.mark.parametrize(
    "jobs",
    [
        pytest.param(6, id="with what reserves, over half"),
        pytest.param(12, id="all that is left, and more"),
    ],
)
def test_job_waits_without_end_for_what_best_effort_runs_use(jobs):
    """LOST (review/1): paused runs kept others from most of a pool for ever.

    40 % of the processors are reserved; each job has a task of 7.5 %.
    """
    world = HotWorld()
    longest = find_longest_miss(world, jobs, starvation.STARVED_AFTER_S + 13)
    running = [world.count_runs(f"b{number}") for number in range(jobs)]
    assert running == [1] * jobs
    assert longest < world.fleet.harm_ms / 1000
    assert not world.list_violations()


def test_starved_jobs_start_on_a_worker_one_after_the_other():
    """Load: many jobs starve at once; each start disturbs what serves."""
    world = HotWorld()
    for number in range(6):
        world.submit(f"b{number}", make_batch(tasks=1))
    world.run(12)
    began = sorted(
        run.began
        for run in world.workers["w0"].ledger
        if run.name.job.startswith("b")
    )
    assert len(began) == 6
    gaps = [later - sooner for sooner, later in itertools.pairwise(began)]
    assert min(gaps) >= starvation.SETTLED_AFTER_S - fleets.TICK_S


@pytest.mark.parametrize(
    "changes",
    [
        pytest.param({"gang": True}, id="gang"),
        pytest.param(
            {"need": resources.Resources(60_000, 100, 0)}, id="no processors"
        ),
        pytest.param({"label": "b"}, id="no such label"),
    ],
)
def test_what_fits_no_worker_still_waits(changes):
    world = HotWorld()
    world.submit("b", make_batch(**changes))
    world.run(8)
    assert world.count_runs("b") == 0


def test_jobs_that_fit_no_worker_do_not_keep_others_from_starting():
    """Load: many jobs need a label that no worker has, before one that fits."""
    world = HotWorld()
    for number in range(2 * placement_rounds.MAX_STARVED_TRIES):
        world.submit(f"hopeless{number}", make_batch(label="b"))
    world.submit("b", make_batch())
    world.run(starvation.STARVED_AFTER_S + 2)
    assert world.count_runs("b") == 1


def test_predictor_that_admits_all_keeps_the_order_of_workers():
    predict = starvation.admit_any_harm(lambda worker: worker)
    uses = [0.0, 0.5, 1.0, 4.0, 1000.0]
    relaxed = [predict(use) for use in uses]
    assert relaxed == sorted(relaxed)
    assert max(relaxed) < 1
