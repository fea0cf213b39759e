"""Ranks ready steps for placement. Pure functions.

Load pattern: for half a minute callers submit more work than the fleet can do.
First come, first served then makes every job late, but the goal is to finish
as many jobs in time as possible. So steps that can still meet their job's
objective go first, ordered by worth per remaining work. Steps that can only be
late come next, and steps too late to earn anything come last. A nearly done
job has little remaining work and goes before new jobs.
"""

import dataclasses
from collections.abc import Callable, Mapping

from poplarspindle.fleet import job_store, mechanisms, work

MAX_LATENESS_FACTOR = 3  # After that many objectives a job earns nothing.
BASE_WORTH = 0.3  # Worth of a job regardless of its size.
SIZE_LEARNING_RATE = 0.05  # Weight of one job in its queue's mean size.
MAX_WORTH = 4.0
MIN_WORK_CORE_S = 1.0


@dataclasses.dataclass(frozen=True, slots=True)
class RemainingWork:
    """The work of one occurrence of a job, from the caller's estimates.

    Attributes:
        remaining_chain_s: Run time of the longest chain of unfinished steps.
        total_chain_s: Run time of the longest chain of all steps.
        remaining_core_s: Unfinished work, core-seconds.
        total_core_s: All work, core-seconds.
    """

    remaining_chain_s: float
    total_chain_s: float
    remaining_core_s: float
    total_core_s: float


@dataclasses.dataclass(frozen=True, slots=True)
class ObjectiveTiming:
    """An occurrence's work and the time left for it.

    Attributes:
        effort: The work.
        objective_s: Time from the due time within which it should end.
        age_s: Time since it was due.
    """

    effort: RemainingWork
    objective_s: float
    age_s: float


def compute_effort(job: job_store.Job, occurrence: int) -> RemainingWork:
    """Computes the work of one occurrence of a job.

    Args:
        job: The job.
        occurrence: Number of the occurrence.
    """
    chain_ends_s: list[float] = []
    total_chain_ends_s: list[float] = []
    remaining_core_s = total_core_s = 0.0
    for step, tasks in zip(
        job.submission.steps, job.occurrences[occurrence], strict=True
    ):
        run_s = step.estimate_ms / 1000
        cores = step.need.millicores / 1000
        open_tasks = sum(
            task.phase is not job_store.Phase.DONE for task in tasks
        )
        remaining_core_s += open_tasks * run_s * cores
        total_core_s += step.tasks * run_s * cores
        start_s = max(
            (chain_ends_s[index] for index in step.prerequisites), default=0.0
        )
        chain_ends_s.append(start_s + (run_s if open_tasks else 0.0))
        total_start_s = max(
            (total_chain_ends_s[index] for index in step.prerequisites),
            default=0.0,
        )
        total_chain_ends_s.append(total_start_s + run_s)
    return RemainingWork(
        max(chain_ends_s),
        max(total_chain_ends_s),
        remaining_core_s,
        total_core_s,
    )


def compute_timing(
    job: job_store.Job,
    occurrence: int,
    effort: RemainingWork,
    queue: work.Queue,
    wall_ms: int,
) -> ObjectiveTiming:
    """Computes an occurrence's age and objective.

    Args:
        job: The job.
        occurrence: Number of the occurrence.
        effort: Its work.
        queue: The job's queue.
        wall_ms: Unix time in milliseconds.
    """
    submission = job.submission
    due_ms = submission.accepted_ms
    if submission.occurrence_count:
        due_ms = submission.first_ms + occurrence * submission.every_ms
    objective_s = queue.slack * effort.total_chain_s + queue.target_ms / 1000
    return ObjectiveTiming(effort, objective_s, (wall_ms - due_ms) / 1000)


def learn_size(
    mean_sizes_core_s: dict[str, float], submission: work.Submission
) -> None:
    """Learns how much work the jobs of a queue have on average.

    Args:
        mean_sizes_core_s: Mean work of a job, core-seconds, by queue; changed.
        submission: A job that was just accepted.
    """
    size_core_s = sum(
        step.tasks * step.estimate_ms * step.need.millicores / 1e6
        for step in submission.steps
    )
    queue = submission.queue.name
    mean_core_s = mean_sizes_core_s.setdefault(queue, size_core_s)
    mean_sizes_core_s[queue] += SIZE_LEARNING_RATE * (size_core_s - mean_core_s)


def rank(
    timing: ObjectiveTiming,
    mean_size_core_s: float,
    used: mechanisms.Mechanisms = mechanisms.ALL,
) -> tuple[int, float]:
    """Ranks an occurrence within its queue's priority; the lowest goes first.

    Args:
        timing: The occurrence's work and the time left for it.
        mean_size_core_s: Mean work of the queue's jobs.
        used: Mechanisms in use.

    Returns:
        Stage and remaining work per worth. The stage is 0 if the occurrence can
        meet its objective, 1 if it can only be late, 2 if it is too late to
        earn anything.
    """
    earliest_end_s = timing.age_s + timing.effort.remaining_chain_s
    if not used.rank_stages or earliest_end_s <= timing.objective_s:
        stage = 0
    elif earliest_end_s <= MAX_LATENESS_FACTOR * timing.objective_s:
        stage = 1
    else:
        stage = 2
    if not used.rank_worth:
        return stage, -timing.age_s
    relative_size = timing.effort.total_core_s / max(
        MIN_WORK_CORE_S, mean_size_core_s
    )
    worth = min(MAX_WORTH, BASE_WORTH + (1 - BASE_WORTH) * relative_size)
    return stage, max(MIN_WORK_CORE_S, timing.effort.remaining_core_s) / worth


def rank_step(
    job: job_store.Job,
    occurrence: int,
    step: work.Step,
    get_effort: Callable[[], RemainingWork],
    queues: Mapping[str, work.Queue],
    wall_ms: int,
    mean_sizes_core_s: Mapping[str, float],
    used: mechanisms.Mechanisms = mechanisms.ALL,
    away_since: float | None = None,
) -> tuple:
    """Ranks a ready step; the lowest goes first.

    Orders by queue priority, then steps that end by themselves before steps
    that run until cancelled. The former are ordered by the rank of the
    occurrence, the latter by the time of submission. A step that runs until
    cancelled and whose turn it is goes before both.

    Args:
        job: Its job.
        occurrence: Number of the job's occurrence.
        step: The step.
        get_effort: Returns the work of that occurrence.
        queues: Queues by name as configured now.
        wall_ms: Unix time in milliseconds.
        mean_sizes_core_s: Mean work of a job, by queue.
        used: Mechanisms in use.
        away_since: Since when a task of the step is away, on the owner's
            monotonic clock, if it is its turn; see `lasting_turns`. Else None.
    """
    submitted_queue = job.submission.queue
    queue = queues.get(submitted_queue.name, submitted_queue)
    if away_since is not None:
        return queue.priority, -1, away_since
    if step.until_cancelled:
        return queue.priority, 1, 0, job.submission.accepted_ms
    timing = compute_timing(job, occurrence, get_effort(), queue, wall_ms)
    mean_size_core_s = mean_sizes_core_s.get(
        submitted_queue.name, timing.effort.total_core_s
    )
    return queue.priority, 0, *rank(timing, mean_size_core_s, used)
