"""A task that may crash its worker gets one without other such tasks."""

import pytest

from poplarspindle import resources
from poplarspindle.fleet import job_store, work, worker_selection, worker_state

CORE = resources.Resources(1000, 1000, 0)
QUEUE = work.Queue("q", "h", "/q/", "pool")
CRASHED = job_store.CrashRecord(1, 0, 1)


def make_worker(name, *runs):
    """Makes a worker with runs, given by job and whether it is a suspect."""
    info = work.WorkerInfo(name, "a:1", "pool", "dc", CORE)
    worker = worker_state.WorkerState(info)
    for job_name, is_suspect in runs:
        step = work.Step(1, CORE)
        job = job_store.Job(work.Submission(job_name, QUEUE, "", (step,)))
        task = job_store.Task(job_store.Phase.PLACED, 2)
        if is_suspect:
            task.crash_record = CRASHED
        task_name = work.TaskName(job_name, 0, 0, 0)
        worker_state.add_run(
            worker, worker_state.Run(task_name, job, task, 0.0, True)
        )
    return worker


WORKERS = [
    make_worker("idle"),
    make_worker("busy", ("x", False)),
    make_worker("own", ("a", True), ("x", False)),
    make_worker("other", ("b", True)),
    make_worker("two", ("a", True), ("c", True)),
]
GROUPS = [
    pytest.param({}, ["idle", "idle busy"], ["own other", "two"], id="task"),
    pytest.param(
        {"until_cancelled": True},
        ["idle busy"],
        ["own other", "two"],
        id="lasting",
    ),
    pytest.param(
        {"gang": True}, ["idle", "idle busy own"], ["other two"], id="gang"
    ),
]


@pytest.mark.parametrize("may_share", [False, True])
@pytest.mark.parametrize(("options", "expected", "shared"), GROUPS)
def test_suspect_is_kept_from_other_suspects(
    options, expected, shared, may_share
):
    step = work.Step(1, CORE, **options)
    key = ("a", 0, 0)
    groups = worker_selection.isolate_suspect(WORKERS, step, key, may_share)
    shown = [" ".join(w.info.name for w in group) for group in groups]
    assert shown == expected + (shared if may_share else [])


def test_other_tasks_prefer_a_worker_without_suspects():
    costs = {
        worker.info.name: worker_selection.rank_worker(
            worker, work.Step(1, CORE), "", 0.0
        )
        for worker in WORKERS
    }
    assert max(costs["idle"], costs["busy"]) < min(costs["own"], costs["other"])
