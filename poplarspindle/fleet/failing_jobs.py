"""What the owner remembers of runs that failed."""

import collections
import dataclasses

from poplarspindle.fleet import work

StepKey = tuple[str, int, int]  # Job id, occurrence and step number.


@dataclasses.dataclass(slots=True)
class Failures:
    """Failures of a job; those of a lasting one end once a run stays at work.

    Attributes:
        since: When the first of its runs failed, on the owner's clock.
        workers: Names of the workers on which runs failed, by step number.
        at_fault: Whether the job is blamed for them.
        reviewed_at: When it was last looked whether the job is at fault.
    """

    since: float
    workers: dict[int, set[str]] = dataclasses.field(
        default_factory=lambda: collections.defaultdict(set)
    )
    at_fault: bool = False
    reviewed_at: float = float("-inf")


@dataclasses.dataclass(slots=True)
class FailingJobs:
    """Where tasks failed, and jobs whose runs fail.

    Only open jobs are remembered; the next owner learns all of it again.

    Attributes:
        failed_on: Workers on which a task of an open job failed, by task; a
            task that was done or stayed at work since then has none.
        tasks: Tasks that `failed_on` has, by job.
        by_job: Failures of jobs; see `job_failures`.
        tried_at: When tasks of a job at fault were last placed, by step.
        looked_at: When excluded workers were last considered for a step that
            waits, by step; see `probes`.
        trials: How many trials of excluded workers there were.
        excluded_millicores: Free processors of excluded workers when the load
            was last summarised.
    """

    failed_on: dict[work.TaskName, set[str]] = dataclasses.field(
        default_factory=dict
    )
    tasks: dict[str, set[work.TaskName]] = dataclasses.field(
        default_factory=dict
    )
    by_job: dict[str, Failures] = dataclasses.field(default_factory=dict)
    tried_at: dict[StepKey, float] = dataclasses.field(default_factory=dict)
    looked_at: dict[StepKey, float] = dataclasses.field(default_factory=dict)
    trials: int = 0
    excluded_millicores: int = 0


def record(failing: FailingJobs, task: work.TaskName, worker: str) -> None:
    """Records on which worker a task failed."""
    failing.failed_on.setdefault(task, set()).add(worker)
    failing.tasks.setdefault(task.job, set()).add(task)


def forget(failing: FailingJobs, task: work.TaskName) -> set[str]:
    """Forgets on which workers a task failed, and returns their names."""
    workers = failing.failed_on.pop(task, set())
    if workers:
        failing.tasks[task.job].discard(task)
        if not failing.tasks[task.job]:
            del failing.tasks[task.job]
    return workers


def end_job(failing: FailingJobs, job: str) -> None:
    """Forgets all of a job that has ended."""
    clear(failing, job)
    for task in failing.tasks.pop(job, ()):
        del failing.failed_on[task]


def clear(failing: FailingJobs, job: str) -> None:
    """Forgets that the runs of a job fail."""
    if failing.by_job.pop(job, None) is None:
        return
    for key in [key for key in failing.tried_at if key[0] == job]:
        del failing.tried_at[key]
