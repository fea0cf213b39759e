"""Typed records of the log streams and their msgpack codec.

A log append carries a batch: a msgpack array of `[kind, values]` pairs, the
values in the order of the record's fields. A later version may add fields at
the end: older readers pass them over, and new ones need a default. All records
of a batch share the offset of their append. Every record is safe to
read twice: the reducer ignores a second copy.
"""

import dataclasses

import cattrs
import msgpack

DOCUMENT_STREAM = "document"
CELL_STREAM_PREFIX = "cell/"
AUDIT_STREAM_PREFIX = "audit/"
SERVICE_PREFIX = "service/"
CLAIM_STREAM_PREFIX = "claims/"
RETIRED_STREAM = "tickets"


@dataclasses.dataclass(frozen=True, slots=True)
class SectionPublished:
    """A proposal to replace one section of the document.

    Attributes:
        change_id: Unique id of the proposal; a second copy is ignored.
        section: Name of the section.
        base_version: Version that the author edited, 0 for a new section.
        team: Team that signed the proposal.
        author: Person who published it.
        text: The whole section in TOML, empty to remove the section.
        signature: HMAC-SHA256 of the other fields by the team's key, hex.
        seen: Offset up to which the author had read the stream. A change
            that lands long after it is refused.
    """

    change_id: str
    section: str
    base_version: int
    team: str
    author: str
    text: str
    signature: str = ""
    seen: int = -1


@dataclasses.dataclass(frozen=True, slots=True)
class DataCentreSet:
    """A proposal to take a data centre out of service or back in.

    Attributes:
        change_id: Unique id of the proposal.
        data_centre: Name of the data centre.
        in_service: The state asked for.
        base_version: Version of the data centre's state, 0 at first.
        team: Team that signed the proposal.
        author: Person who asked.
        signature: HMAC-SHA256 of the other fields by the team's key, hex.
        seen: Offset up to which the author had read the stream.
    """

    change_id: str
    data_centre: str
    in_service: bool
    base_version: int
    team: str
    author: str
    signature: str = ""
    seen: int = -1


@dataclasses.dataclass(frozen=True, slots=True)
class HomeMoved:
    """Moves an exclusive task's home after its stop was confirmed.

    Accepted only if `source` is the present home and `generation` matches.
    """

    task: str
    source: str
    target: str
    generation: int


@dataclasses.dataclass(frozen=True, slots=True)
class SnapshotChunk:
    """One part of a snapshot of a stream's state.

    Attributes:
        snapshot_id: Unique id of the snapshot.
        index: Place of this chunk, from 0.
        count: Number of chunks of the snapshot.
        covers: Offset up to which (inclusive) the state was reduced.
        payload: Part of the encoded state.
        signature: HMAC-SHA256 of covers and the whole payload, hex.
    """

    snapshot_id: str
    index: int
    count: int
    covers: int
    payload: bytes
    signature: str = ""


@dataclasses.dataclass(frozen=True, slots=True)
class OwnershipClaimed:
    """A claim on a data centre.

    Accepted iff `term` is the present term + 1 and no renewal was read at an
    offset greater than `seen`.

    Attributes:
        instance: Incarnation id of the claimant.
        term: The term claimed.
        seen: Offset of the last claim or renewal the claimant had read, -1
            for none.
        sequence: Number by which the claimant finds when it sent the claim.
    """

    instance: str
    term: int
    seen: int
    sequence: int


@dataclasses.dataclass(frozen=True, slots=True)
class OwnershipRenewed:
    """Renews the owner's lease of a data centre; stale terms are ignored."""

    instance: str
    term: int
    sequence: int


@dataclasses.dataclass(frozen=True, slots=True)
class OwnershipReleased:
    """Gives a data centre up, so that others may claim it at once."""

    instance: str
    term: int


@dataclasses.dataclass(frozen=True, slots=True)
class JobSubmitted:
    """A batch job for one data centre.

    Attributes:
        job: Unique id of the job; a second copy is ignored.
        team: Team whose quota the job counts against.
        family: Job family, the key for learned sizes and slowdown.
        priority: Higher runs first.
        tasks: Number of tasks; task ids are `<job>/<index>`.
        millicores: Declared processors of one task, in thousandths.
        memory_mb: Declared memory of one task.
        accelerators: Accelerators of one task.
        run_ms: Declared run time of one task, 0 for one without end.
        exclusive: Whether a task must never run in two places at once.
        urgent: Whether it may evict work of lower priority to start.
    """

    job: str
    team: str
    family: str
    priority: int
    tasks: int
    millicores: int
    memory_mb: int
    accelerators: int = 0
    run_ms: int = 1000
    exclusive: bool = False
    urgent: bool = False

    @property
    def is_service(self) -> bool:
        """Whether it is a service's replica: it runs without end."""
        return self.run_ms == 0


@dataclasses.dataclass(frozen=True, slots=True)
class JobCancelled:
    """Cancels a job; its running tasks are stopped."""

    job: str


@dataclasses.dataclass(frozen=True, slots=True)
class TaskPlaced:
    """Reserves a worker for one attempt of a task.

    Accepted iff the term is current and the task is queued at this attempt.

    Attributes:
        millicores: Reserved processors, 0 for as declared.
        memory_mb: Reserved memory, 0 for as declared.
    """

    task: str
    attempt: int
    worker: str
    term: int
    millicores: int = 0
    memory_mb: int = 0


@dataclasses.dataclass(frozen=True, slots=True)
class TaskResized:
    """Raises what a running attempt reserves to what it uses."""

    task: str
    attempt: int
    term: int
    millicores: int
    memory_mb: int


@dataclasses.dataclass(frozen=True, slots=True)
class TaskRunning:
    """The worker confirmed the start of this attempt."""

    task: str
    attempt: int
    term: int


@dataclasses.dataclass(frozen=True, slots=True)
class TaskEvicted:
    """Decides to stop this attempt; the reservation stays until the stop."""

    task: str
    attempt: int
    term: int
    reason: str


@dataclasses.dataclass(frozen=True, slots=True)
class TaskStopped:
    """The worker confirmed the stop, or its lease surely lapsed.

    The task is queued again as attempt + 1, or ends if it was cancelled or
    its service was removed.

    Attributes:
        checkpoint: Work done so far as the worker's checkpoint, in
            milliseconds of run time.
    """

    task: str
    attempt: int
    term: int
    checkpoint: int
    reason: str


@dataclasses.dataclass(frozen=True, slots=True)
class TaskEnded:
    """The worker reported that the attempt ended by itself.

    Attributes:
        final: Whether the task ends with it; otherwise it is tried again.
    """

    task: str
    attempt: int
    term: int
    succeeded: bool
    reason: str = ""
    final: bool = True


@dataclasses.dataclass(frozen=True, slots=True)
class TaskMoved:
    """Hands a queued task to another data centre; final in this one."""

    task: str
    attempt: int
    term: int
    target: str


@dataclasses.dataclass(frozen=True, slots=True)
class TaskReceived:
    """Takes a task over from another data centre.

    Accepted once per task and attempt; written by the source's owner until
    it has read it back.

    Attributes:
        failures: How often the task has ended by a failure of its own.
    """

    task: str
    attempt: int
    source: str
    checkpoint: int
    job: JobSubmitted
    failures: int = 0


@dataclasses.dataclass(frozen=True, slots=True)
class MoveConfirmed:
    """The target has accepted the task; the source may forget it.

    Attributes:
        cancelled: Whether the target knows of the job's cancellation too.
    """

    task: str
    attempt: int
    term: int
    cancelled: bool = False


@dataclasses.dataclass(frozen=True, slots=True)
class TicketClaimed:
    """Claims a caller-chosen request id; the first claim in order wins.

    Attributes:
        request: The id.
        incarnation: Entry that may dispatch it if the claim wins.
        nonce: Tells this claim from others of the same entry.
        wall_ms: Wall clock of the entry, milliseconds since 1970.
    """

    request: str
    incarnation: str
    nonce: str = ""
    wall_ms: int = 0


@dataclasses.dataclass(frozen=True, slots=True)
class TicketsRetired:
    """Last word of an entry that stopped gracefully.

    Attributes:
        incarnation: The entry.
        unused: Ids that it handed out and that never ran, as ranges of first
            and last number. Of all others nothing is said.
        wall_ms: Wall clock of the entry, milliseconds since 1970.
    """

    incarnation: str
    unused: tuple[tuple[int, int], ...]
    wall_ms: int


@dataclasses.dataclass(frozen=True, slots=True)
class RequestTraced:
    """Outcome of one request with its steps, for tracing complaints.

    Attributes:
        request: Request id.
        service: Service asked for.
        outcome: `answered`, `not-run` or `unknown`.
        reason: Short tag.
        steps: One text per step: time, step, peer, reason.
        wall_ms: Wall-clock time of the outcome, milliseconds since 1970.
    """

    request: str
    service: str
    outcome: str
    reason: str
    steps: tuple[str, ...]
    wall_ms: int


Record = (
    SectionPublished
    | DataCentreSet
    | HomeMoved
    | SnapshotChunk
    | OwnershipClaimed
    | OwnershipRenewed
    | OwnershipReleased
    | JobSubmitted
    | JobCancelled
    | TaskPlaced
    | TaskResized
    | TaskRunning
    | TaskEvicted
    | TaskStopped
    | TaskEnded
    | TaskMoved
    | TaskReceived
    | MoveConfirmed
    | TicketClaimed
    | TicketsRetired
    | RequestTraced
)

KINDS = {kind.__name__: kind for kind in Record.__args__}
_FIELDS = {
    name: tuple(field.name for field in dataclasses.fields(kind))
    for name, kind in KINDS.items()
}

_converter = cattrs.Converter(forbid_extra_keys=True)


class MalformedError(ValueError):
    """A batch or record that does not decode to a known record."""


def encode_record(record: Record) -> bytes:
    """Encodes one record as it stands in a batch."""
    return msgpack.packb(
        [type(record).__name__, tuple(_converter.unstructure(record).values())]
    )


def join_batch(encoded: tuple[bytes, ...]) -> bytes:
    """Joins encoded records into the payload of one append."""
    header = msgpack.Packer().pack_array_header(len(encoded))
    return b"".join((header, *encoded))


def encode_batch(batch: tuple[Record, ...]) -> bytes:
    """Encodes records into the payload of one append."""
    return join_batch(tuple(encode_record(record) for record in batch))


def decode_batch(payload: bytes) -> tuple[tuple[Record, ...], int]:
    """Decodes the payload of one append.

    Args:
        payload: Bytes as read from the log.

    Returns:
        The records that decode, and the number of those that do not.
    """
    try:
        pairs = msgpack.unpackb(payload)
    except (ValueError, msgpack.UnpackException):
        return (), 1
    if not isinstance(pairs, list):
        return (), 1
    found = []
    malformed = 0
    for pair in pairs:
        try:
            found.append(_decode(pair))
        except MalformedError:
            malformed += 1
    return tuple(found), malformed


def _decode(pair: object) -> Record:
    """Decodes one `[kind, values]` pair or raises MalformedError."""
    match pair:
        case [str(kind), list(values)] if kind in KINDS:
            fields = dict(zip(_FIELDS[kind], values, strict=False))
            try:
                return _converter.structure(fields, KINDS[kind])
            except Exception as error:
                raise MalformedError(kind) from error
    raise MalformedError("unknown kind")


def name_service(job: str) -> str:
    """Returns the service of a job, empty for a batch job."""
    if not job.startswith(SERVICE_PREFIX):
        return ""
    return job.removeprefix(SERVICE_PREFIX).partition("/")[0]
