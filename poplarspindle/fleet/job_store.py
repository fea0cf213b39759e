"""State of all jobs, as recorded; equal on every node that read as far."""

import dataclasses
import enum
from collections.abc import Iterable

from poplarspindle.fleet import work


class Phase(enum.IntEnum):
    """Where a task is in its life."""

    QUEUED = 0
    DONE = 1
    PLACED = 2
    STOPPING = 3


class State(enum.StrEnum):
    """Where a job is in its life."""

    QUEUED = "queued"
    ACTIVE = "active"
    COMPLETED = "completed"
    FAILED = "failed"
    CANCELLED = "cancelled"


Group = tuple[int, int, int]  # A job's time and step, and its first task.
ENDED = frozenset({State.COMPLETED, State.FAILED, State.CANCELLED})


@dataclasses.dataclass(frozen=True, slots=True)
class PublishedJob:
    """What all nodes know of a job.

    Attributes:
        state: Its state, as the owner told it.
        queue: Name of its queue.
    """

    state: State
    queue: str


class Task:
    """One task.

    Attributes:
        phase: Where it is in its life.
        attempt: Number of its present or last run, 0 for none.
        failures: Runs that ended failed.
        worker_name: Worker of the present run.
        incarnation_ms: Life of that worker.
        checkpoint: Newest checkpoint, empty for none.
        open_attempts: Attempts that were given up and whose end may still be
            listed.
    """

    __slots__ = (
        "attempt",
        "checkpoint",
        "failures",
        "incarnation_ms",
        "open_attempts",
        "phase",
        "worker_name",
    )

    def __init__(
        self,
        phase: Phase = Phase.QUEUED,
        attempt: int = 0,
        failures: int = 0,
        worker_name: str = "",
        incarnation_ms: int = 0,
        checkpoint: str = "",
        open_attempts: Iterable[int] = (),
    ) -> None:
        self.phase = phase
        self.attempt = attempt
        self.failures = failures
        self.worker_name = worker_name
        self.incarnation_ms = incarnation_ms
        self.checkpoint = checkpoint
        self.open_attempts = tuple(open_attempts)


class Job:
    """One job.

    Attributes:
        submission: What its caller handed in.
        state: Where it is, as decided.
        published_state: Where it is, as the log has acknowledged.
        cancelled: Whether its cancelling is recorded.
        ended_ms: When it ended, Unix milliseconds, 0 before.
        opened_occurrences: How many of its times were opened.
        occurrences: Tasks by time, step and index, of times not yet done.
        recorded_groups: Groups of its tasks that the progress log holds.
    """

    __slots__ = (
        "cancelled",
        "ended_ms",
        "occurrences",
        "opened_occurrences",
        "published_state",
        "recorded_groups",
        "state",
        "submission",
    )

    def __init__(self, submission: work.Submission) -> None:
        self.submission = submission
        self.state = State.QUEUED
        self.published_state = State.QUEUED
        self.cancelled = False
        self.ended_ms = 0
        self.opened_occurrences = 0
        self.occurrences: dict[int, list[list[Task]]] = {}
        self.recorded_groups: set[Group] = set()


class JobStore:
    """All jobs that a node knows.

    Attributes:
        jobs: Job by id.
        early_cancels: Ids cancelled before the job itself was read.
    """

    def __init__(self) -> None:
        self.jobs: dict[str, Job] = {}
        self.early_cancels: set[str] = set()


def add_job(job_store: JobStore, submission: work.Submission) -> Job | None:
    """Adds a job; the first submission of an id counts.

    Returns:
        The job, None where its id was known.
    """
    if submission.job in job_store.jobs:
        return None
    job = job_store.jobs[submission.job] = Job(submission)
    if submission.job in job_store.early_cancels:
        job_store.early_cancels.discard(submission.job)
        cancel_job(job)
    return job


def cancel_job(job: Job) -> None:
    """Notes that a job's cancelling is recorded."""
    if job.state in ENDED:
        return
    job.cancelled = True
    job.published_state = State.CANCELLED


def open_occurrence(job: Job) -> int:
    """Opens the job's next time; returns its number."""
    number = job.opened_occurrences
    job.opened_occurrences += 1
    job.occurrences[number] = [
        [Task() for _ in range(step.tasks)] for step in job.submission.steps
    ]
    return number


def is_step_done(tasks: list[Task]) -> bool:
    """Tells whether all tasks of a step are done."""
    return all(task.phase is Phase.DONE for task in tasks)


def is_ready(job: Job, occurrence: list[list[Task]], step: int) -> bool:
    """Tells whether all steps that a step waits for are done."""
    return all(
        is_step_done(occurrence[prerequisite])
        for prerequisite in job.submission.steps[step].prerequisites
    )


def list_placed(job: Job) -> list[tuple[work.TaskName, Task]]:
    """Lists a job's tasks that a worker holds or may hold."""
    return [
        (work.TaskName(job.submission.job, number, step, index), task)
        for number, occurrence in job.occurrences.items()
        for step, tasks in enumerate(occurrence)
        for index, task in enumerate(tasks)
        if task.phase in (Phase.PLACED, Phase.STOPPING)
    ]


def find_task(job_store: JobStore, name: work.TaskName) -> Task | None:
    """Returns the task of a name, None where it is not (or no more) known."""
    job = job_store.jobs.get(name.job)
    occurrence = job.occurrences.get(name.occurrence) if job else None
    if occurrence is None or not 0 <= name.step < len(occurrence):
        return None
    tasks = occurrence[name.step]
    return tasks[name.index] if 0 <= name.index < len(tasks) else None
