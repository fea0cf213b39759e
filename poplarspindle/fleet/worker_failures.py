"""Weighs what failed runs say of the worker on which they failed.

A failed run speaks against its job and against its worker. It counts against
the worker unless the task has failed on others before, until the job turns out
to be at fault, and for good once the same task ran well on another worker. A
worker with several such jobs is excluded from new work; see `exclusions`.
"""

import dataclasses
from collections.abc import Container, Iterable, Mapping

from poplarspindle.fleet import effects, failing_jobs, worker_state

MAX_FAILING_JOBS = 2
MAX_ENDED_JOBS = MAX_FAILING_JOBS  # That a worker's failures are kept of.


@dataclasses.dataclass(frozen=True, slots=True)
class ExcludedRoom:
    """Room that new work doesn't get, as runs failed there.

    Attributes:
        workers: Number of the workers.
        millicores: Their free processors, in thousandths.
    """

    workers: int = 0
    millicores: int = 0


def is_proven(worker: worker_state.WorkerState) -> bool:
    """Returns whether a worker fails tasks that run well on others."""
    return len(worker.proven_jobs) >= MAX_FAILING_JOBS


def add(
    failing: failing_jobs.FailingJobs,
    worker: worker_state.WorkerState,
    run: worker_state.Run,
) -> bool:
    """Counts a failed run against its worker.

    Returns:
        Whether it does count. A task that ends by itself and has failed on
        another worker before tells nothing of this one.
    """
    if len(failing.failed_on[run.name]) > 1 and not run.step.until_cancelled:
        return False
    worker.failing_jobs.add(run.name.job)
    return True


def prove(
    failing: failing_jobs.FailingJobs,
    workers: Mapping[str, worker_state.WorkerState],
    run: worker_state.Run,
    worker_name: str,
) -> None:
    """Counts failures of a task for good where it failed: it runs elsewhere.

    Args:
        failing: The failures.
        workers: Workers by name.
        run: A run that is done, or lasts and stays at work.
        worker_name: Its worker.
    """
    for name in failing_jobs.forget(failing, run.name):
        worker = workers.get(name)
        if (
            worker is not None
            and name != worker_name
            and run.name.job in worker.failing_jobs
        ):
            worker.proven_jobs.add(run.name.job)


def reset(worker: worker_state.WorkerState) -> None:
    """Forgets all failures on a worker."""
    worker.failing_jobs.clear()
    worker.proven_jobs.clear()
    worker.failed_after_s = 0.0
    end_exclusion(worker)


def end_exclusion(worker: worker_state.WorkerState) -> None:
    """Lets a worker get work again."""
    worker.exclusion_s = 0.0
    worker.excluded_until = float("-inf")
    worker.may_accept_more = True


def measure_excluded(
    workers: Iterable[worker_state.WorkerState], now: float
) -> ExcludedRoom:
    """Measures the room of workers that are excluded for failed runs.

    Args:
        workers: The workers.
        now: Present time, on the owner's clock.
    """
    excluded = [worker for worker in workers if now < worker.excluded_until]
    return ExcludedRoom(
        len(excluded),
        sum(
            max(0, worker_state.get_available(worker).millicores)
            for worker in excluded
        ),
    )


def discount(
    failing: failing_jobs.FailingJobs,
    workers: Mapping[str, worker_state.WorkerState],
    job: str,
) -> list[worker_state.WorkerState]:
    """Counts a job's failures against no worker any more.

    Returns:
        Workers whose exclusion rested on them, which ends.
    """
    return [
        worker
        for worker in _list_failing(failing, workers, job)
        if _withdraw(worker, job)
    ]


def end_job(
    failing: failing_jobs.FailingJobs,
    workers: Mapping[str, worker_state.WorkerState],
    open_jobs: Container[str],
    job: str,
) -> list[worker_state.WorkerState]:
    """Forgets a job that has ended, but what it proves of workers.

    Failures on several workers tell nothing of these unless the job runs well
    elsewhere. Each worker keeps those of a few jobs that have ended.

    Args:
        failing: The failures.
        workers: Workers by name.
        open_jobs: Ids of jobs that have not ended.
        job: The job's id.

    Returns:
        Workers whose exclusion ends.
    """
    reopened = []
    on_one = len(_list_names(failing, job)) == 1
    for worker in _list_failing(failing, workers, job):
        ended = sorted(
            name for name in worker.failing_jobs if name not in open_jobs
        )
        keep = job in worker.proven_jobs or on_one
        if keep and len(ended) <= MAX_ENDED_JOBS:
            continue
        # What is proven is worth more than what is not.
        unproven = [name for name in ended if name not in worker.proven_jobs]
        dropped = unproven[0] if keep and unproven else job
        if _withdraw(worker, dropped):
            reopened.append(worker)
    failing_jobs.end_job(failing, job)
    return reopened


def make_reopened_notes(
    workers: Iterable[worker_state.WorkerState], job: str
) -> list[effects.Effect]:
    """Makes a log line for each worker that a job is no reason to exclude."""
    return [
        effects.Note(
            "workers", "reopened", job, (("worker", worker.info.name),)
        )
        for worker in workers
    ]


def _withdraw(worker: worker_state.WorkerState, job: str) -> bool:
    """Drops a job's failures on a worker; returns whether it reopens."""
    worker.failing_jobs.discard(job)
    worker.proven_jobs.discard(job)
    if not worker.exclusion_s or len(worker.failing_jobs) >= MAX_FAILING_JOBS:
        return False
    end_exclusion(worker)
    return True


def _list_failing(
    failing: failing_jobs.FailingJobs,
    workers: Mapping[str, worker_state.WorkerState],
    job: str,
) -> list[worker_state.WorkerState]:
    """Lists the workers against which a job's failures count."""
    return [
        workers[name]
        for name in sorted(_list_names(failing, job))
        if name in workers and job in workers[name].failing_jobs
    ]


def _list_names(failing: failing_jobs.FailingJobs, job: str) -> set[str]:
    """Lists the workers on which a job failed."""
    failures = failing.by_job.get(job)
    return set().union(*failures.workers.values()) if failures else set()
