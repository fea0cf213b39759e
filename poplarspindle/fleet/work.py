"""What callers hand in and operators configure: jobs, queues, workers."""

import dataclasses
import enum

from poplarspindle import resources


@dataclasses.dataclass(frozen=True, slots=True)
class Step:
    """One step of a job: equal tasks that may run side by side.

    Attributes:
        tasks: Number of tasks.
        need: What one task reserves; `best_effort` takes no processors.
        estimate_ms: The caller's guess of one task's run time.
        prerequisites: Earlier steps whose tasks must all be done first.
        checkpoints: Whether tasks checkpoint their progress.
        gang: Whether the tasks run only together and end together.
        one_rack: Whether the tasks are slower when on several racks.
        label: Label that the worker must have, empty for any.
        rack: Rack that holds the data, empty for none.
        max_per_worker: Most tasks on one worker, 0 for no limit.
        copies: Whether copies of a task may run in parallel.
        until_cancelled: Whether the tasks run until the job is cancelled.
        image: What the tasks run; tasks of one image behave alike.
        target_ms: Tail latency that a lasting task must stay below, or 0.
        best_effort: Whether the tasks use only what others leave unused.
        max_unavailable: Most tasks that may be away at once by our own orders.
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

    Attributes:
        name: Its name.
        host: Host that callers address.
        prefix: Start of the path.
        service: Pool of workers that run its tasks.
        priority: 0 goes first.
        attempts: Failed runs after which a task, and its job, has failed.
        slack: Factor of the longest chain in the objective.
        target_ms: Time added to the chain in the objective.
        timeout_ms: Longest time that a call may take.
        advised: Whether a policy service says which workers may run a step.
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
        version: Rises with each change.
        queues: Queues by name.
        guarded: Services whose workers refuse what does not fit.
        body_most: Largest body of a call, bytes.
        header_most: Largest head of a call, bytes.
    """

    version: int
    queues: dict[str, Queue]
    guarded: frozenset[str] = frozenset()
    body_most: int = 262_144
    header_most: int = 16_384


def find_queue(
    configuration: Configuration, host: str, path: str
) -> Queue | None:
    """Returns the queue with the longest prefix that a path begins with."""
    matches = [
        queue
        for queue in configuration.queues.values()
        if queue.host == host and path.startswith(queue.prefix)
    ]
    return max(matches, key=lambda queue: len(queue.prefix), default=None)


@dataclasses.dataclass(frozen=True, slots=True)
class Submission:
    """A job as its caller handed it in; never changes.

    Attributes:
        job: The caller's id of it.
        queue: The queue as configured at hand-in.
        spec: Opaque text for the workers.
        steps: Its steps.
        occurrence_count: How often the steps run, 0 for once and at once.
        first_ms: When the first time is due, Unix milliseconds.
        every_ms: Time between two due times.
        accepted_ms: When it was handed in, Unix milliseconds.
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
    """What a worker says of itself."""

    READY = "ready"
    LEAVING = "leaving"


@dataclasses.dataclass(frozen=True, slots=True)
class WorkerInfo:
    """A worker's own description, as listed.

    Attributes:
        name: Identity of this life of it.
        address: `host:port`.
        service: Pool that it belongs to.
        data_centre: Where it stands.
        capacity: What it offers.
        labels: Its labels; the rack is one of them.
        rack: Rack that it stands in, empty if unsaid.
        presence: Whether it is about to leave.
        leaves_ms: Least time left to a leaving worker.
        incarnation_ms: When this life began, Unix milliseconds, 0 if unsaid.
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
    """How a run ended."""

    DONE = "done"
    FAILED = "failed"
    STOPPED = "stopped"
    LAPSED = "lapsed"
    BROKEN = "broken"
    ALONE = "alone"


@dataclasses.dataclass(frozen=True, slots=True)
class TaskName:
    """Names one task: of a job, one time of it, a step and an index."""

    job: str
    occurrence: int
    step: int
    index: int


@dataclasses.dataclass(frozen=True, slots=True)
class Running:
    """A run that a worker lists.

    Attributes:
        task: The task.
        attempt: Number of the run.
        checkpoint: Newest checkpoint, empty for none.
        percent: Share of its speed it works at, 0 to 100.
        usage: Tail in milliseconds if it serves, else processors in use
            in thousandths; None if unsaid.
    """

    task: TaskName
    attempt: int
    checkpoint: str = ""
    percent: int = 100
    usage: float | None = None


@dataclasses.dataclass(frozen=True, slots=True)
class Ended:
    """A run's end that a worker lists.

    Attributes:
        number: Rises by one with each end in one life of a worker.
        task: The task.
        attempt: Number of the run.
        end_reason: How it ended.
        checkpoint: Checkpoint, empty for none.
    """

    number: int
    task: TaskName
    attempt: int
    end_reason: EndReason
    checkpoint: str = ""


@dataclasses.dataclass(frozen=True, slots=True)
class Report:
    """A worker's answer to a look at it.

    Attributes:
        clock_ms: The worker's own clock.
        incarnation_ms: When its present life began, 0 if unsaid.
        running: All runs.
        ended: Ends not yet acknowledged, oldest first.
        whole: Whether there are no more ends than those.
    """

    clock_ms: int
    incarnation_ms: int
    running: tuple[Running, ...]
    ended: tuple[Ended, ...]
    whole: bool = True
