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

LATE_FACTOR = 3  # A job later than that many objectives earns nothing.
BASE_WORTH = 0.3  # Share of a job's worth that does not follow its size.
MEAN_WORK = 60.0  # Core-seconds of a job of usual size.
WORTH_MOST = 4.0
WORK_LEAST = 1.0


@dataclasses.dataclass(frozen=True, slots=True)
class Effort:
    """The work of one time of a job, by its estimates.

    Attributes:
        chain_s: Longest chain of work left, seconds.
        whole_chain_s: Longest chain of all its work, seconds.
        work: Work left, core-seconds.
        whole: All its work, core-seconds.
    """

    chain_s: float
    whole_chain_s: float
    work: float
    whole: float


@dataclasses.dataclass(frozen=True, slots=True)
class Standing:
    """Where a job stands between its work and its objective.

    Attributes:
        effort: Its work.
        objective_s: Time from its due time to its objective.
        age_s: Time since it was due.
    """

    effort: Effort
    objective_s: float
    age_s: float


def find_effort(job: job_store.Job, number: int) -> Effort:
    """Finds the work of one time of a job."""
    ends: list[float] = []
    whole_ends: list[float] = []
    left = whole = 0.0
    for step, tasks in zip(
        job.submission.steps, job.occurrences[number], strict=True
    ):
        run_s = step.estimate_ms / 1000
        cores = step.need.millicores / 1000
        open_tasks = sum(
            task.phase is not job_store.Phase.DONE for task in tasks
        )
        left += open_tasks * run_s * cores
        whole += step.tasks * run_s * cores
        before = max((ends[index] for index in step.prerequisites), default=0.0)
        ends.append(before + (run_s if open_tasks else 0.0))
        first = max(
            (whole_ends[index] for index in step.prerequisites), default=0.0
        )
        whole_ends.append(first + run_s)
    return Effort(max(ends), max(whole_ends), left, whole)


def find_standing(
    job: job_store.Job,
    number: int,
    effort: Effort,
    queue: work.Queue,
    wall_ms: int,
) -> Standing:
    """Finds where one time of a job stands."""
    submission = job.submission
    due_ms = submission.accepted_ms
    if submission.occurrence_count:
        due_ms = submission.first_ms + number * submission.every_ms
    objective_s = queue.slack * effort.whole_chain_s + queue.target_ms / 1000
    return Standing(effort, objective_s, (wall_ms - due_ms) / 1000)


def rank(standing: Standing) -> tuple[int, float]:
    """Ranks a job within its priority; the least goes first.

    Returns:
        0 if it can meet its objective, 1 if it can only be late, 2 if it is
        hopeless; and the work left for its worth.
    """
    ends_s = standing.age_s + standing.effort.chain_s
    if ends_s <= standing.objective_s:
        stage = 0
    elif ends_s <= LATE_FACTOR * standing.objective_s:
        stage = 1
    else:
        stage = 2
    worth = BASE_WORTH + (1 - BASE_WORTH) * standing.effort.whole / MEAN_WORK
    worth = min(WORTH_MOST, worth)
    return stage, max(WORK_LEAST, standing.effort.work) / worth


def rank_step(
    job: job_store.Job,
    number: int,
    step: work.Step,
    find: Callable[[], Effort],
    queues: Mapping[str, work.Queue],
    wall_ms: int,
) -> tuple:
    """Ranks a ready step: priority, short before lasting, then its job.

    Args:
        job: Its job.
        number: Which time of it.
        step: The step.
        find: Returns the work of that time.
        queues: Queues as configured now.
        wall_ms: Unix time in milliseconds.
    """
    submitted_queue = job.submission.queue
    queue = queues.get(submitted_queue.name, submitted_queue)
    if step.until_cancelled:
        return queue.priority, 1, 0, job.submission.accepted_ms
    standing = find_standing(job, number, find(), queue, wall_ms)
    return queue.priority, 0, *rank(standing)
