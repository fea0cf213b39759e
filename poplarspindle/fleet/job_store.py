"""State of all jobs, as the log records it.

Nodes that have read the log up to the same point have the same state.
"""

import collections
import dataclasses
import enum
import heapq
from collections.abc import Iterable, Sequence

from poplarspindle.fleet import blame, work

MAX_OPEN_OCCURRENCES = 1000  # Of one job.
MAX_OPEN_TASKS = 40_000  # Of a job with more than one open occurrence.


class Phase(enum.IntEnum):
    """Phase of a task; the numbers are stored in the progress log."""

    QUEUED = 0
    DONE = 1
    PLACED = 2
    STOPPING = 3


class State(enum.StrEnum):
    """State of a job."""

    QUEUED = "queued"
    ACTIVE = "active"
    COMPLETED = "completed"
    FAILED = "failed"
    CANCELLED = "cancelled"


Group = tuple[int, int, int]  # Occurrence, step and index of its first task.
ENDED = frozenset({State.COMPLETED, State.FAILED, State.CANCELLED})


@dataclasses.dataclass(frozen=True, slots=True)
class PublishedJob:
    """State of a job, as the owner published it to all nodes.

    Attributes:
        state: The job's state.
        queue: Name of the job's queue.
    """

    state: State
    queue: str


@dataclasses.dataclass(frozen=True, slots=True)
class CrashRecord:
    """Crashes of workers that are counted for a task; see `blame`.

    The members of a gang have the same record.

    Attributes:
        crashes: Number of crashes.
        certain_crashes: Those that surely came soon after a start.
        last_attempt: Attempt in which the last of them happened.
    """

    crashes: int = 0
    certain_crashes: int = 0
    last_attempt: int = 0


@dataclasses.dataclass(frozen=True, slots=True)
class LostRun:
    """A run that was given up while it is not known if its worker crashed.

    Attributes:
        attempt: Attempt number of the run.
        worker_name: The worker.
        incarnation_ms: Incarnation of the worker.
        address: Its address, empty if unknown.
        certain: Whether the worker surely went silent soon after its start.
    """

    attempt: int
    worker_name: str
    incarnation_ms: int
    address: str
    certain: bool


NO_CRASHES = CrashRecord()


class Task:
    """State of one task.

    Attributes:
        phase: Phase of the task.
        attempt: Attempt number of the current or last run, 0 for none.
        failed_attempts: Attempts whose run failed; negative numbers stand for
            those of which only the number is known.
        worker_name: Worker of the current run.
        incarnation_ms: Incarnation of that worker.
        checkpoint: Newest checkpoint, empty for none.
        open_attempts: Attempts that were requeued and whose end a worker may
            still report.
        crash_record: Crashes that are counted for the task.
        lost_runs: Runs of whose worker it is not known if it crashed.
        answered_attempt: Last attempt of which the log holds that each start
            was answered, 0 for none.
    """

    __slots__ = (
        "answered_attempt",
        "attempt",
        "checkpoint",
        "crash_record",
        "failed_attempts",
        "incarnation_ms",
        "lost_runs",
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
        crash_record: CrashRecord = NO_CRASHES,
        lost_runs: Iterable[LostRun] = (),
        answered_attempt: int = 0,
        failed_attempts: Iterable[int] = (),
    ) -> None:
        """Sets the attributes.

        `failures` is the number of failed runs; those beyond
        `failed_attempts` get negative numbers.
        """
        self.phase = phase
        self.attempt = attempt
        self.worker_name = worker_name
        self.incarnation_ms = incarnation_ms
        self.checkpoint = checkpoint
        self.open_attempts = tuple(open_attempts)
        self.crash_record = crash_record
        self.lost_runs = tuple(lost_runs)
        self.answered_attempt = answered_attempt
        known = tuple(failed_attempts)
        unknown = range(-1, len(known) - failures - 1, -1)
        self.failed_attempts = (*known, *unknown)

    @property
    def failures(self) -> int:
        """Number of failed runs."""
        return len(self.failed_attempts)

    @property
    def is_suspect(self) -> bool:
        """Whether the task may have crashed a worker.

        Runs whose workers nothing is known of make it a suspect only if it may
        have crashed as many workers as a task may at most.
        """
        crashes = self.crash_record.crashes
        return crashes > 0 or crashes + len(self.lost_runs) >= blame.MAX_CRASHES


class Job:
    """State of one job.

    Attributes:
        submission: The job as its caller submitted it.
        state: State that the owner decided.
        published_state: State that all nodes are told.
        begun: Whether the owner knows that a task of it has begun.
        cancelled: Whether its cancellation is recorded.
        ended_ms: When it ended, Unix milliseconds, 0 before that.
        opened_occurrences: Number of occurrences opened so far.
        occurrences: Tasks by occurrence, step and index, of occurrences that
            are not done.
        recorded_groups: Task groups that the progress log contains.
        runs_by_worker: Number of its runs that the owner has placed, by the
            name of their worker; not recorded.
    """

    __slots__ = (
        "begun",
        "cancelled",
        "ended_ms",
        "occurrences",
        "opened_occurrences",
        "published_state",
        "recorded_groups",
        "runs_by_worker",
        "state",
        "submission",
    )

    def __init__(self, submission: work.Submission) -> None:
        self.submission = submission
        self.state = State.QUEUED
        self.published_state = State.QUEUED
        self.begun = False
        self.cancelled = False
        self.ended_ms = 0
        self.opened_occurrences = 0
        self.occurrences: dict[int, list[list[Task]]] = {}
        self.recorded_groups: set[Group] = set()
        self.runs_by_worker: collections.Counter = collections.Counter()


class JobStore:
    """All jobs that a node has read from the log.

    Attributes:
        jobs: Jobs by id.
        early_cancels: Ids of jobs whose cancellation was read before the
            submission.
    """

    def __init__(self) -> None:
        self.jobs: dict[str, Job] = {}
        self.early_cancels: set[str] = set()


def add_job(job_store: JobStore, submission: work.Submission) -> Job | None:
    """Adds a job, unless a job of the same id was submitted before.

    Returns:
        The job, None if the id already exists.
    """
    if submission.job in job_store.jobs:
        return None
    job = job_store.jobs[submission.job] = Job(submission)
    if submission.job in job_store.early_cancels:
        job_store.early_cancels.discard(submission.job)
        cancel_job(job)
    return job


def cancel_job(job: Job) -> None:
    """Marks a job as cancelled in the log; has no effect once it has ended."""
    if job.state in ENDED:
        return
    job.cancelled = True
    job.published_state = State.CANCELLED


def may_open_occurrence(job: Job) -> bool:
    """Tells whether a job has a further occurrence and few enough are open.

    Load pattern: a job repeats millions of times, all of them due. Opened at
    once they would take the owner's memory, and that of each owner after it.
    """
    submission = job.submission
    if job.opened_occurrences >= max(1, submission.occurrence_count):
        return False
    tasks = sum(step.tasks for step in submission.steps)
    open_occurrences = len(job.occurrences) + 1
    return not job.occurrences or (
        open_occurrences <= MAX_OPEN_OCCURRENCES
        and open_occurrences * tasks <= MAX_OPEN_TASKS
    )


def open_occurrence(job: Job) -> int:
    """Creates the tasks of a job's next occurrence; returns its number."""
    number = job.opened_occurrences
    job.opened_occurrences += 1
    job.occurrences[number] = [
        [Task() for _ in range(step.tasks)] for step in job.submission.steps
    ]
    return number


def is_step_done(tasks: list[Task]) -> bool:
    """Returns whether all tasks of a step are done."""
    return all(task.phase is Phase.DONE for task in tasks)


def is_ready(job: Job, occurrence: list[list[Task]], step: int) -> bool:
    """Returns whether all prerequisites of a step are done.

    Args:
        job: The job.
        occurrence: Tasks of one occurrence, by step and index.
        step: Index of the step.
    """
    return all(
        is_step_done(occurrence[prerequisite])
        for prerequisite in job.submission.steps[step].prerequisites
    )


def awaits_verdict(task: Task, step: work.Step) -> bool:
    """Returns whether a task is not started until a crash is decided.

    It may have crashed as many workers as a task may at most, and it is not
    known yet what became of some of them. A task that lasts may be started
    twice more meanwhile. A lost run of an attempt that a crash was counted for,
    as it was for another member of its gang, can't count again.

    Args:
        task: The task.
        step: Its step.
    """
    uncounted = sum(
        may_still_count(task, lost.attempt, step) for lost in task.lost_runs
    )
    return blame.awaits_verdict(
        task.crash_record.crashes, uncounted, step.until_cancelled
    )


def find_startable(tasks: Iterable[Task], step: work.Step) -> set[int]:
    """Returns the indexes of a step's queued tasks that may be started."""
    return {
        index
        for index, task in enumerate(tasks)
        if task.phase is Phase.QUEUED and not awaits_verdict(task, step)
    }


def list_least_tried(
    tasks: Sequence[Task], indexes: Iterable[int], most: int
) -> list[int]:
    """Lists indexes of a step's tasks, those with fewest attempts first.

    Args:
        tasks: All tasks of the step.
        indexes: The indexes to choose from.
        most: How many to list.
    """
    return heapq.nsmallest(
        most, indexes, key=lambda index: (tasks[index].attempt, index)
    )


def may_still_count(task: Task, attempt: int, step: work.Step) -> bool:
    """Returns whether a crash may count for an attempt of a task.

    A task that lasts is started while crashes are undecided, so they may be
    decided in another order than they happened.
    """
    counted_attempt = task.crash_record.last_attempt
    if step.until_cancelled:
        return attempt != counted_attempt
    return attempt > counted_attempt


def list_placed(job: Job) -> list[tuple[work.TaskName, Task]]:
    """Lists a job's tasks that are or may be on a worker."""
    return [
        (work.TaskName(job.submission.job, number, step, index), task)
        for number, occurrence in job.occurrences.items()
        for step, tasks in enumerate(occurrence)
        for index, task in enumerate(tasks)
        if task.phase in (Phase.PLACED, Phase.STOPPING)
    ]


def find_task(job_store: JobStore, name: work.TaskName) -> Task | None:
    """Returns the task of a name, None if it is unknown or already dropped."""
    job = job_store.jobs.get(name.job)
    occurrence = job.occurrences.get(name.occurrence) if job else None
    if occurrence is None or not 0 <= name.step < len(occurrence):
        return None
    tasks = occurrence[name.step]
    return tasks[name.index] if 0 <= name.index < len(tasks) else None
