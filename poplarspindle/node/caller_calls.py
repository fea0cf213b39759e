"""What callers ask of a node, and what it answers."""

import dataclasses
import enum

from poplarspindle.fleet import work


class Kind(enum.StrEnum):
    """What a caller asks."""

    SUBMIT = "submit"
    SHOW = "show"
    CANCEL = "cancel"
    COUNT = "count"


@dataclasses.dataclass(frozen=True, slots=True)
class Call:
    """One call.

    Attributes:
        kind: What is asked.
        queue: The queue addressed.
        job: Id of the job, empty for a count.
        deadline_s: How long the caller waits for the answer.
        submission: The job that is handed in.
    """

    kind: Kind
    queue: work.Queue
    job: str
    deadline_s: float
    submission: work.Submission | None = None


@dataclasses.dataclass(frozen=True, slots=True)
class Answer:
    """One answer.

    Attributes:
        status: HTTP status.
        state: State of a job, empty if not told.
        pending: Jobs of a queue that have not begun, None if not told.
        error: What is wrong, empty for nothing.
        retry_s: When to come back, seconds, 0 if not told.
    """

    status: int
    state: str = ""
    pending: int | None = None
    error: str = ""
    retry_s: int = 0
