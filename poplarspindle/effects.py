"""Effects that the reducer returns; the programs carry them out."""

import dataclasses

from poplarspindle import records


@dataclasses.dataclass(frozen=True, slots=True)
class Append:
    """Append a record; group commit may batch it with others.

    A failed append is repeated: every record is safe to read twice.

    Attributes:
        stream: Stream to append to.
        record: The record.
    """

    stream: str
    record: records.Record


@dataclasses.dataclass(frozen=True, slots=True)
class FenceWorker:
    """Raise the term at a worker and ask for all that runs there."""

    data_centre: str
    worker: str
    term: int


@dataclasses.dataclass(frozen=True, slots=True)
class StartTask:
    """Tell a worker to start one attempt.

    Attributes:
        until_ms: Time on the worker's own clock at which it stops the task
            itself unless it was renewed.
        start_by_ms: Time on the worker's own clock past which it refuses
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
        until_ms: New end of the leases on the worker's own clock: a renewal
            that arrives late grants no more than one that came in time.
    """

    data_centre: str
    worker: str
    term: int
    tasks: tuple[str, ...]
    attempts: tuple[int, ...]
    until_ms: int


@dataclasses.dataclass(frozen=True, slots=True)
class StopTask:
    """Tell a worker to checkpoint and stop one attempt."""

    data_centre: str
    worker: str
    term: int
    task: str
    attempt: int


@dataclasses.dataclass(frozen=True, slots=True)
class AcknowledgeEnd:
    """Tell a worker that the end of an attempt is on the log."""

    data_centre: str
    worker: str
    term: int
    task: str
    attempt: int


@dataclasses.dataclass(frozen=True, slots=True)
class ThrottleTask:
    """Limit a task to a share of its processors; 1000 lifts the limit."""

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
        name: Counter name, declared in metrics.
        reason: Value of the label `reason`.
    """

    name: str
    reason: str
    amount: int = 1


@dataclasses.dataclass(frozen=True, slots=True)
class LogLine:
    """Write one log line.

    Attributes:
        part: Fixed prefix of the part that speaks.
        text: A short sentence.
        subject: Task, job, worker or data centre it is about.
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
