"""Typed messages between our own processes and their msgpack codec.

A frame is `[number, left_ms, kind, fields]`. The number ties an answer to its
question; `left_ms` is the time the asker still waits, 0 in an answer. It is a
span and not a time, so the clocks of the two ends are never compared.
"""

import dataclasses

import cattrs


@dataclasses.dataclass(frozen=True, slots=True)
class Forward:
    """Asks the incarnation that minted an id to run its request.

    Attributes:
        request: Request id.
        service: Service asked for.
        body: The request's body.
        first_send: Whether the caller says that it never sent the id before.
    """

    request: str
    service: str
    body: bytes
    first_send: bool = False


@dataclasses.dataclass(frozen=True, slots=True)
class ResultQuery:
    """Asks the incarnation that won a claim for the result it kept.

    Attributes:
        request: Request id.
        digest: Digest of service and body, as tickets.compute_digest gives.
    """

    request: str
    digest: bytes


@dataclasses.dataclass(frozen=True, slots=True)
class Result:
    """End of a request, as its caller is told.

    Attributes:
        outcome: `answered`, `not-run` or `unknown`.
        reason: Short tag, empty where a minion answered.
        step: Step at which it ended.
        peer: Peer of that step.
        status: Status of the minion's answer, 0 without one.
        body: The minion's whole answer.
        content_type: Content type of that answer.
    """

    outcome: str
    reason: str
    step: str
    peer: str = ""
    status: int = 0
    body: bytes = b""
    content_type: str = ""


@dataclasses.dataclass(frozen=True, slots=True)
class TraceQuery:
    """Asks what an entry remembers of a request."""

    request: str


@dataclasses.dataclass(frozen=True, slots=True)
class TraceFound:
    """What an entry remembers of a request.

    Attributes:
        known: Whether it remembers anything.
        ended: Whether the request has ended.
        service: Service asked for.
        outcome: What the caller was told, empty before the end.
        reason: Short tag.
        steps: One text per step, as traces.format_step gives.
        wall_ms: Wall-clock time of the last step, milliseconds since 1970.
    """

    known: bool
    ended: bool = False
    service: str = ""
    outcome: str = ""
    reason: str = ""
    steps: tuple[str, ...] = ()
    wall_ms: int = 0


@dataclasses.dataclass(frozen=True, slots=True)
class JobQuery:
    """Asks a scheduler what it knows of a job."""

    job: str


@dataclasses.dataclass(frozen=True, slots=True)
class TaskSeen:
    """One task of a job as a scheduler sees it.

    Attributes:
        data_centre: Data centre whose records tell it.
        phase: Phase of the task.
        worker: Worker that holds it, empty for none.
        reason: Why it is in this phase.
    """

    task: str
    data_centre: str
    phase: str
    attempt: int
    worker: str = ""
    reason: str = ""


@dataclasses.dataclass(frozen=True, slots=True)
class JobSeen:
    """What a scheduler knows of a job.

    Attributes:
        incarnation: The scheduler.
        complete: Whether it knows every data centre of the document and read
            each to its tail lately.
        data_centres: Data centres whose records name the job.
        content: The job as it was submitted, encoded as a batch of one.
        tasks: Number of tasks of the job.
        phases: Number of tasks by phase.
        samples: The tasks that have not ended, up to a bound.
    """

    incarnation: str
    complete: bool
    data_centres: tuple[str, ...] = ()
    content: bytes = b""
    tasks: int = 0
    phases: dict[str, int] = dataclasses.field(default_factory=dict)
    samples: tuple[TaskSeen, ...] = ()


@dataclasses.dataclass(frozen=True, slots=True)
class Refused:
    """The peer did not take a question up; it did nothing."""

    reason: str


Message = (
    Forward
    | ResultQuery
    | Result
    | TraceQuery
    | TraceFound
    | JobQuery
    | JobSeen
    | Refused
)

KINDS = {kind.__name__: kind for kind in Message.__args__}

_converter = cattrs.Converter(forbid_extra_keys=True)


class MalformedError(ValueError):
    """A frame that is not a known message."""


@dataclasses.dataclass(frozen=True, slots=True)
class Frame:
    """One message on a stream.

    Attributes:
        number: Ties an answer to its question.
        left_s: Time the asker still waits, seconds.
        message: The message.
    """

    number: int
    left_s: float
    message: Message


def pack_frame(frame: Frame) -> list:
    """Returns a frame as msgpack can pack it."""
    return [
        frame.number,
        int(frame.left_s * 1000),
        type(frame.message).__name__,
        _converter.unstructure(frame.message),
    ]


def read_frame(found: object) -> Frame:
    """Reads an unpacked frame or raises MalformedError."""
    match found:
        case [int(number), int(left_ms), str(kind), dict(fields)] if (
            kind in KINDS and left_ms >= 0
        ):
            try:
                message = _converter.structure(fields, KINDS[kind])
            except Exception as error:
                raise MalformedError(kind) from error
            return Frame(number, left_ms / 1000, message)
    raise MalformedError("no known frame")
