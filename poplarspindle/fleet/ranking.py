"""Which ready step goes first. Pure functions.

Load pattern: for half a minute more is handed in than can be done. First
come, first served then makes every job late; what counts is how much is done
in time. So a step goes first that can still meet its job's objective, among
those the one that is worth most for the work left; what can only be late
comes next, what is hopeless last. A job nearly done has little work left and
goes before new ones; a waiting job rises as it nears its last chance.
"""

import dataclasses
from collections.abc import Callable, Mapping

from poplarspindle.fleet import job_store, work

MAX_LATENESS_FACTOR = 3  # A job later than that many objectives earns nothing.
BASE_WORTH = 0.3  # Share of a job's worth that does not follow its size.
MEAN_WORK_CORE_S = 60.0  # Core-seconds of a job of usual size.
MAX_WORTH = 4.0
MIN_WORK_CORE_S = 1.0


@dataclasses.dataclass(frozen=True, slots=True)
class Effort:
    """The work of one time of a job, by its estimates.

    Attributes:
        chain_s: Longest chain of work left, seconds.
        whole_chain_s: Longest chain of all its work, seconds.
        work: Work left, core-seconds.
        whole: All its work, core-seconds.
    """

    remaining_chain_s: float
    total_chain_s: float
    remaining_core_s: float
    total_core_s: float


@dataclasses.dataclass(frozen=True, slots=True)
class ObjectiveTiming:
    """Where a job stands between its work and its objective.

    Attributes:
        effort: Its work.
        objective_s: Time from its due time to its objective.
        age_s: Time since it was due.
    """

    effort: Effort
    objective_s: float
    age_s: float


def compute_effort(job: job_store.Job, occurrence: int) -> Effort:
    """Finds the work of one time of a job."""
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
    return Effort(
        max(chain_ends_s),
        max(total_chain_ends_s),
        remaining_core_s,
        total_core_s,
    )


def compute_timing(
    job: job_store.Job,
    occurrence: int,
    effort: Effort,
    queue: work.Queue,
    wall_ms: int,
) -> ObjectiveTiming:
    """Finds where one time of a job stands."""
    submission = job.submission
    due_ms = submission.accepted_ms
    if submission.occurrence_count:
        due_ms = submission.first_ms + occurrence * submission.every_ms
    objective_s = queue.slack * effort.total_chain_s + queue.target_ms / 1000
    return ObjectiveTiming(effort, objective_s, (wall_ms - due_ms) / 1000)


def rank(timing: ObjectiveTiming) -> tuple[int, float]:
    """Ranks a job within its priority; the least goes first.

    Returns:
        0 if it can meet its objective, 1 if it can only be late, 2 if it is
        hopeless; and the work left for its worth.
    """
    earliest_end_s = timing.age_s + timing.effort.remaining_chain_s
    if earliest_end_s <= timing.objective_s:
        stage = 0
    elif earliest_end_s <= MAX_LATENESS_FACTOR * timing.objective_s:
        stage = 1
    else:
        stage = 2
    worth = (
        BASE_WORTH
        + (1 - BASE_WORTH) * timing.effort.total_core_s / MEAN_WORK_CORE_S
    )
    worth = min(MAX_WORTH, worth)
    return stage, max(MIN_WORK_CORE_S, timing.effort.remaining_core_s) / worth


def rank_step(
    job: job_store.Job,
    occurrence: int,
    step: work.Step,
    get_effort: Callable[[], Effort],
    queues: Mapping[str, work.Queue],
    wall_ms: int,
) -> tuple:
    """Ranks a ready step: priority, short before lasting, then its job.

    Args:
        job: Its job.
        occurrence: Which time of it.
        step: The step.
        get_effort: Returns the work of that time.
        queues: Queues as configured now.
        wall_ms: Unix time in milliseconds.
    """
    submitted_queue = job.submission.queue
    queue = queues.get(submitted_queue.name, submitted_queue)
    if step.until_cancelled:
        return queue.priority, 1, 0, job.submission.accepted_ms
    timing = compute_timing(job, occurrence, get_effort(), queue, wall_ms)
    return queue.priority, 0, *rank(timing)
