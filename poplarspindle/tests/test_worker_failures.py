"""What a failed run tells of its worker, by what else is known of its job."""

import pytest

from poplarspindle import resources
from poplarspindle.fleet import (
    failing_jobs,
    job_store,
    work,
    worker_failures,
    worker_state,
)

CORE = resources.Resources(1000, 1000, 0)
JOB, OTHER = "a" * 16, "b" * 16
QUEUE = work.Queue("q", "h", "/q/", "pool")


def make_run(index=0, lasts=False):
    step = work.Step(4, CORE, 500, (), until_cancelled=lasts)
    job = job_store.Job(work.Submission(JOB, QUEUE, "", (step,)))
    return worker_state.Run(
        work.TaskName(JOB, 0, 0, index), job, job_store.Task(), 0.0, True
    )


def make_workers(*names):
    return {
        name: worker_state.WorkerState(
            work.WorkerInfo(name, "", "", "", CORE), failing_jobs={OTHER}
        )
        for name in names
    }


def fail(failing, workers, run, name):
    failures = failing.by_job.setdefault(JOB, failing_jobs.Failures(0.0))
    failures.workers[0].add(name)
    failing_jobs.record(failing, run.name, name)
    return worker_failures.add(failing, workers[name], run)


@pytest.mark.parametrize(
    ("lasts", "counted"), [(False, {"v"}), (True, {"v", "w"})]
)
def test_task_that_fails_everywhere_counts_against_each_worker(lasts, counted):
    """LOST: each attempt of a hopeless task told against one more worker."""
    failing, workers = failing_jobs.FailingJobs(), make_workers("v", "w")
    run = make_run(lasts=lasts)
    told = {name for name in "vw" if fail(failing, workers, run, name)}
    assert told == counted
    assert {name for name in "vw" if JOB in workers[name].failing_jobs} == told


@pytest.mark.parametrize(
    ("sound_index", "sound_on", "proven"),
    [
        pytest.param(0, "v", True, id="same-task-elsewhere"),
        pytest.param(1, "v", False, id="another-task"),
        pytest.param(0, "w", False, id="same-worker"),
    ],
)
def test_other_tasks_of_a_job_prove_that_a_worker_is_sick(
    sound_index, sound_on, proven
):
    """LOST: jobs of which some tasks fail had sound workers excluded."""
    failing, workers = failing_jobs.FailingJobs(), make_workers("v", "w")
    fail(failing, workers, make_run(), "w")
    worker_failures.prove(failing, workers, make_run(sound_index), sound_on)
    assert (JOB in workers["w"].proven_jobs) == proven


@pytest.mark.parametrize(
    ("failed_on", "sound_on", "kept"),
    [
        pytest.param("w", "", True, id="on-one-worker"),
        pytest.param("vw", "", False, id="on-several"),
        pytest.param("wv", "u", True, id="sound-elsewhere"),
    ],
)
def test_ended_job_counts_against_workers(failed_on, sound_on, kept):
    """LOST: a job that had failed everywhere still had workers excluded."""
    failing, workers = failing_jobs.FailingJobs(), make_workers("u", "v", "w")
    worker, run = workers["w"], make_run()
    for name in failed_on:
        fail(failing, workers, run, name)
    fail(failing, workers, make_run(1), "w")
    worker.exclusion_s = worker.excluded_until = 6.0
    if sound_on:
        worker_failures.prove(failing, workers, run, sound_on)
    reopened = worker_failures.end_job(failing, workers, {OTHER}, JOB)
    assert (JOB in worker.failing_jobs) == kept
    assert reopened == ([] if kept else [worker])
    assert bool(worker.exclusion_s) == kept
    assert (failing.by_job, failing.failed_on, failing.tasks) == ({}, {}, {})
