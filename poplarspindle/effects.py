"""Effects that the reducer returns and the programs carry out."""

import dataclasses

from poplarspindle import records


@dataclasses.dataclass(frozen=True, slots=True)
class Append:
    """Append a record; group commit may batch it with others.

    A failed append is retried: applying a record twice is idempotent.

    Attributes:
        stream: Stream to append to.
        record: The record.
    """

    stream: str
    record: records.Record


@dataclasses.dataclass(frozen=True, slots=True)
class FenceWorker:
    """Raise the term at a worker and request a report of what it runs."""

    data_centre: str
    worker: str
    term: int


@dataclasses.dataclass(frozen=True, slots=True)
class StartTask:
    """Order a worker to start one attempt.

    Attributes:
        until_ms: End of the task's lease on the worker's own clock; the
            worker stops the task then unless the lease was renewed.
        start_by_ms: Time on the worker's own clock after which it refuses
            the start.
        checkpoint: Work already done, milliseconds of run time.
    """

    data_centre: str
    worker: str
    term: int
    task: str
    attempt: int
    until_ms: int
    start_by_ms: int
    checkpoint: int
    run_ms: int
    millicores: int
    memory_mb: int
    accelerators: int
    family: str


@dataclasses.dataclass(frozen=True, slots=True)
class RenewTasks:
    """Renew the leases of attempts at a worker.

    Attributes:
        until_ms: New end of the leases on the worker's own clock, so that
            a delayed renewal grants no longer lease than a prompt one.
    """

    data_centre: str
    worker: str
    term: int
    tasks: tuple[str, ...]
    attempts: tuple[int, ...]
    until_ms: int


@dataclasses.dataclass(frozen=True, slots=True)
class StopTask:
    """Order a worker to checkpoint and stop one attempt."""

    data_centre: str
    worker: str
    term: int
    task: str
    attempt: int


@dataclasses.dataclass(frozen=True, slots=True)
class AcknowledgeEnd:
    """Confirm to a worker that the end of an attempt is in the log."""

    data_centre: str
    worker: str
    term: int
    task: str
    attempt: int


@dataclasses.dataclass(frozen=True, slots=True)
class ThrottleTask:
    """Limit a task to a share of its processors; 1000 removes the limit."""

    data_centre: str
    worker: str
    term: int
    task: str
    attempt: int
    per_mille: int


@dataclasses.dataclass(frozen=True, slots=True)
class Count:
    """Add to a counter.

    Attributes:
        name: Name of the counter, declared in metrics.
        reason: Value of the label `reason`.
        amount: Number to add.
    """

    name: str
    reason: str
    amount: int = 1


@dataclasses.dataclass(frozen=True, slots=True)
class LogLine:
    """Write one log line.

    Attributes:
        part: Fixed prefix that names the part of the program.
        text: A short sentence.
        subject: Task, job, worker, data centre or stream concerned.
    """

    part: str
    text: str
    subject: str = ""


Effect = (
    Append
    | FenceWorker
    | StartTask
    | RenewTasks
    | StopTask
    | AcknowledgeEnd
    | ThrottleTask
    | Count
    | LogLine
)
