"""Data types for submitted jobs, configured queues, workers and reports."""

import dataclasses
import enum

from poplarspindle import resources


@dataclasses.dataclass(frozen=True, slots=True)
class Step:
    """One step of a job: a number of identical tasks that may run in parallel.

    Attributes:
        tasks: Number of tasks.
        need: Resources that one task reserves; a best-effort task reserves no
            processors.
        estimate_ms: Run time of one task, as the caller estimates it.
        prerequisites: Indexes of earlier steps whose tasks must all be done
            before this step starts.
        checkpoints: Whether tasks checkpoint their progress.
        gang: Whether the tasks run only together and end together.
        one_rack: Whether the tasks run slower when spread over several racks.
        label: Label that the worker must have, empty for any worker.
        rack: Rack that holds the step's data, empty for none.
        max_per_worker: Maximum number of tasks on one worker, 0 for no limit.
        copies: Whether copies of a task may run in parallel.
        until_cancelled: Whether the tasks run until the job is cancelled.
        image: Program that the tasks run; tasks of one image put a similar
            load on a worker.
        target_ms: Tail latency that a latency-critical task must stay below, 0
            if it has no target.
        best_effort: Whether the tasks use only processor time that other tasks
            leave unused.
        max_unavailable: Maximum number of tasks that the scheduler's own
            orders may take out of service at once.
    """

    tasks: int
    need: resources.Resources
    estimate_ms: int = 0
    prerequisites: tuple[int, ...] = ()
    checkpoints: bool = False
    gang: bool = False
    one_rack: bool = False
    label: str = ""
    rack: str = ""
    max_per_worker: int = 0
    copies: bool = False
    until_cancelled: bool = False
    image: str = ""
    target_ms: int = 0
    best_effort: bool = False
    max_unavailable: int = 0


@dataclasses.dataclass(frozen=True, slots=True)
class Queue:
    """One queue of the operators' configuration.

    A job should complete within `slack` times the estimated run time of its
    longest chain of dependent steps, plus `target_ms`.

    Attributes:
        name: Name of the queue.
        host: Host name that callers send jobs to.
        prefix: Path prefix that callers send jobs to.
        service: Worker pool that runs the queue's tasks.
        priority: Priority of the queue's jobs; 0 is the highest.
        attempts: Number of failed runs after which a task, and with it its
            job, fails.
        slack: Factor on the longest chain in a job's completion objective.
        target_ms: Constant part of a job's completion objective.
        timeout_ms: Maximum duration of a caller's request.
        advised: Whether an external policy service selects the workers that
            may run a step.
    """

    name: str
    host: str
    prefix: str
    service: str
    priority: int = 0
    attempts: int = 1
    slack: float = 1.0
    target_ms: int = 1000
    timeout_ms: int = 3000
    advised: bool = False


@dataclasses.dataclass(frozen=True, slots=True)
class Configuration:
    """The operators' configuration.

    Attributes:
        version: Version number, higher after each change.
        queues: Queues by name.
        guarded: Services whose workers refuse tasks that exceed their free
            resources.
        max_body_bytes: Maximum body size of a caller's request, bytes.
        max_header_bytes: Maximum header size of a caller's request, bytes.
    """

    version: int
    queues: dict[str, Queue]
    guarded: frozenset[str] = frozenset()
    max_body_bytes: int = 262_144
    max_header_bytes: int = 16_384


def find_queue(
    configuration: Configuration, host: str, path: str
) -> Queue | None:
    """Returns the host's queue with the longest prefix that matches a path."""
    matches = [
        queue
        for queue in configuration.queues.values()
        if queue.host == host and path.startswith(queue.prefix)
    ]
    return max(matches, key=lambda queue: len(queue.prefix), default=None)


@dataclasses.dataclass(frozen=True, slots=True)
class Submission:
    """A job as its caller submitted it; immutable.

    Attributes:
        job: Id of the job, chosen by the caller.
        queue: The queue, as configured when the job was submitted.
        spec: Opaque text that is passed to the workers.
        steps: The job's steps.
        occurrence_count: Number of times that a repeated job runs its steps, 0
            for a job that runs once, immediately.
        first_ms: Due time of the first occurrence, Unix milliseconds.
        every_ms: Interval between due times.
        accepted_ms: When the job was submitted, Unix milliseconds.
    """

    job: str
    queue: Queue
    spec: str
    steps: tuple[Step, ...]
    occurrence_count: int = 0
    first_ms: int = 0
    every_ms: int = 0
    accepted_ms: int = 0


class Presence(enum.StrEnum):
    """Whether a worker announces that it is about to shut down."""

    READY = "ready"
    LEAVING = "leaving"


@dataclasses.dataclass(frozen=True, slots=True)
class WorkerInfo:
    """A worker's entry in the list of workers, as the worker wrote it.

    Attributes:
        name: Name of this incarnation of the worker.
        address: `host:port`.
        service: Worker pool that it belongs to.
        data_centre: Data centre that it is in.
        capacity: Resources that it offers.
        labels: Its labels, including the rack.
        rack: Rack that it is in, empty if unknown.
        presence: Whether it is about to shut down.
        leaves_ms: Minimum time until a leaving worker shuts down.
        incarnation_ms: When this incarnation started, Unix milliseconds, 0 if
            unknown.
    """

    name: str
    address: str
    service: str
    data_centre: str
    capacity: resources.Resources
    labels: frozenset[str] = frozenset()
    rack: str = ""
    presence: Presence = Presence.READY
    leaves_ms: int = 0
    incarnation_ms: int = 0


class EndReason(enum.StrEnum):
    """How a run ended.

    LAPSED: the worker's leases expired. BROKEN: another member of the gang
    failed. ALONE: the other members of the gang did not start in time.
    """

    DONE = "done"
    FAILED = "failed"
    STOPPED = "stopped"
    LAPSED = "lapsed"
    BROKEN = "broken"
    ALONE = "alone"


@dataclasses.dataclass(frozen=True, slots=True)
class TaskName:
    """Identifies one task by job id, occurrence, step and index in the step."""

    job: str
    occurrence: int
    step: int
    index: int


@dataclasses.dataclass(frozen=True, slots=True)
class Running:
    """A run in progress, as a worker's report lists it.

    Attributes:
        task: The task.
        attempt: Attempt number of the run.
        checkpoint: Newest checkpoint, empty for none.
        percent: Speed as a percentage of full speed, 0 to 100.
        usage: Tail latency in milliseconds for a latency-critical task, else
            millicores in use; None if not reported.
    """

    task: TaskName
    attempt: int
    checkpoint: str = ""
    percent: int = 100
    usage: float | None = None


@dataclasses.dataclass(frozen=True, slots=True)
class Ended:
    """The end of a run, as a worker's report lists it.

    Attributes:
        number: Sequence number of the end within the worker's incarnation.
        task: The task.
        attempt: Attempt number of the run.
        end_reason: How it ended.
        checkpoint: Newest checkpoint, empty for none.
    """

    number: int
    task: TaskName
    attempt: int
    end_reason: EndReason
    checkpoint: str = ""


@dataclasses.dataclass(frozen=True, slots=True)
class Report:
    """A worker's answer to a poll.

    Attributes:
        clock_ms: Time on the worker's clock.
        incarnation_ms: When its current incarnation started, 0 if unknown.
        running: All runs in progress.
        ended: Ends that the owner has not acknowledged, oldest first.
        ends_complete: Whether `ended` is complete; False if the worker has
            more ends to report.
    """

    clock_ms: int
    incarnation_ms: int
    running: tuple[Running, ...]
    ended: tuple[Ended, ...]
    ends_complete: bool = True

    def list_runs(self) -> set[tuple[TaskName, int]]:
        """Returns the runs that began in this incarnation, by what it says."""
        return {(run.task, run.attempt) for run in (*self.running, *self.ended)}
