"""Best-effort runs count with the processors that they use."""

import dataclasses

import pytest

from poplarspindle import resources
from poplarspindle.fleet import mechanisms, usage, work, worker_selection
from poplarspindle.tools.fakes import fleets, load_workers

REQUESTED = 4000
CAPACITY = 3 * REQUESTED
STEP = work.Step(
    12,
    resources.Resources(REQUESTED, 100, 0),
    estimate_ms=3000,
    image="batch",
    best_effort=True,
)


class FrugalWorker(load_workers.LoadWorker):
    """A worker whose runs use 70 % of the processors that they request."""

    def poll(self, order):
        """Carries out a poll; the usage is what the runs need."""
        report = super().poll(order)
        running = tuple(
            dataclasses.replace(row, usage=0.7 * REQUESTED)
            for row in report.running
        )
        return dataclasses.replace(report, running=running)


class FrugalWorld(fleets.World):
    """One worker and more best-effort tasks than their requests let in."""

    def __init__(self, used):
        super().__init__(
            1,
            workers=1,
            capacity=resources.Resources(CAPACITY, 32_000, 0),
            run_s=lambda rng: float("inf"),
            make_worker=FrugalWorker,
            used_mechanisms=used,
        )

    def get_work_s(self, name):
        """Returns the work of a task, seconds at full speed."""
        return 3.0

    def count_most_running(self, seconds):
        """Returns how many runs there were at once at most."""
        most = 0
        for _ in range(int(10 * seconds)):
            self.run(0.1)
            most = max(most, len(self.workers["w0"].runs))
        return most


@pytest.mark.parametrize(
    ("used", "expected"),
    [
        pytest.param(mechanisms.ALL, 4, id="by measured use"),
        pytest.param(
            dataclasses.replace(mechanisms.ALL, measured_use=False),
            3,
            id="by request",
        ),
    ],
)
def test_waiting_tasks_get_the_processors_that_others_leave(used, expected):
    world = FrugalWorld(used)
    world.submit("a", STEP)
    assert world.count_most_running(12) == expected
    assert not world.list_violations()


@pytest.mark.parametrize(
    ("used_millicores", "percent", "age_s", "paced_ago_s", "learned"),
    [
        pytest.param(2800, 100, 1.0, 9.0, 0.97, id="measured"),
        pytest.param(400, 100, 1.0, 9.0, 0.95, id="at least half"),
        pytest.param(9000, 100, 1.0, 9.0, 1.0, id="at most all"),
        pytest.param(2800, 50, 1.0, 9.0, 1.0, id="slowed down"),
        pytest.param(2800, 100, 0.5, 9.0, 1.0, id="too young"),
        pytest.param(2800, 100, 5.0, 0.5, 1.0, id="pace just changed"),
        pytest.param(None, 100, 1.0, 9.0, 1.0, id="not reported"),
    ],
)
def test_only_settled_runs_at_full_speed_teach(
    used_millicores, percent, age_s, paced_ago_s, learned
):
    world = FrugalWorld(mechanisms.ALL)
    world.submit("a", STEP)
    world.run(0.5)
    worker = world.fleet.workers["w0"]
    run = next(iter(worker.runs.values()))
    model = usage.UsageModel()
    run.usage, run.percent = used_millicores, percent
    run.first_seen_at = world.now - age_s
    worker.paced_at = world.now - paced_ago_s
    usage.record_usage(model, worker, run, world.now)
    assert usage.expect_millicores(model, STEP) == pytest.approx(
        learned * REQUESTED, abs=1
    )


def test_run_beside_more_requests_than_processors_teaches_nothing():
    """Load: runs take processors from each other and so use less."""
    world = FrugalWorld(mechanisms.ALL)
    world.submit("a", STEP)
    world.run(0.5)
    worker = world.fleet.workers["w0"]
    worker.info = dataclasses.replace(
        worker.info, capacity=resources.Resources(CAPACITY - 1, 32_000, 0)
    )
    run = next(iter(worker.runs.values()))
    run.usage, run.first_seen_at = 2000, world.now - 5
    model = usage.UsageModel()
    usage.record_usage(model, worker, run, world.now)
    assert not model.ratios


def test_use_of_all_runs_is_given_back_when_they_end():
    world = FrugalWorld(mechanisms.ALL)
    world.submit("a", STEP)
    world.run(30)
    worker = world.fleet.workers["w0"]
    assert world.get_state("a") == "completed"
    assert worker.best_effort_millicores == 0
    assert worker_selection.compute_free_millicores(worker) == CAPACITY
