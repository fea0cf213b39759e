"""Recorded traces: JSON lines with a kind, a time and typed fields.

The first line is the head; the others may come in any order of time within
their kind and are sorted when read.
"""

import dataclasses
import json
import pathlib
from collections.abc import Iterable

import cattrs

from poplarspindle import outcomes

FORMAT_VERSION = 1
WORKER_STATES = ("ok", "failing", "dead")


@dataclasses.dataclass(frozen=True, slots=True)
class Head:
    """First line of a trace.

    Attributes:
        name: Name of the scenario.
        duration_s: Virtual time that the replay runs, seconds.
        version: Version of the format.
    """

    name: str
    duration_s: float
    version: int = FORMAT_VERSION


@dataclasses.dataclass(frozen=True, slots=True)
class Worker:
    """A worker that stands from the beginning."""

    name: str
    data_centre: str
    rack: str
    millicores: int
    memory_mb: int
    accelerators: int = 0


@dataclasses.dataclass(frozen=True, slots=True)
class Section:
    """A section of the document.

    Attributes:
        at_s: When it is published, virtual seconds.
        text: The whole section in TOML.
    """

    name: str
    team: str
    text: str
    at_s: float = 0.0


@dataclasses.dataclass(frozen=True, slots=True)
class Job:
    """A job submitted by a caller.

    Attributes:
        at_s: When it is submitted, virtual seconds.
        work_ms: Run time that one task really needs when alone.
        use: Share of the declared size that a task really uses.
        fails: Whether each of its tasks fails after it started.
    """

    at_s: float
    job: str
    family: str
    tasks: int
    work_ms: int
    use: float = 1.0
    fails: bool = False


@dataclasses.dataclass(frozen=True, slots=True)
class Cancel:
    """A job cancelled by its caller."""

    at_s: float
    job: str


@dataclasses.dataclass(frozen=True, slots=True)
class Load:
    """Load offered to a service from a time on, as a share of nominal."""

    at_s: float
    service: str
    load: float


@dataclasses.dataclass(frozen=True, slots=True)
class WorkerFault:
    """A worker's state from a time on: one of WORKER_STATES."""

    at_s: float
    worker: str
    state: str


@dataclasses.dataclass(frozen=True, slots=True)
class DataCentre:
    """Operators take a data centre out or bring it back."""

    at_s: float
    data_centre: str
    in_service: bool


Line = Head | Worker | Section | Job | Cancel | Load | WorkerFault | DataCentre

KINDS = {
    "head": Head,
    "worker": Worker,
    "section": Section,
    "job": Job,
    "cancel": Cancel,
    "load": Load,
    "worker_fault": WorkerFault,
    "data_centre": DataCentre,
}
_NAMES = {kind: name for name, kind in KINDS.items()}

_converter = cattrs.Converter(forbid_extra_keys=True)


@dataclasses.dataclass(frozen=True)
class Trace:
    """A whole trace.

    Attributes:
        head: Its first line.
        workers: Workers, in order of the file.
        happenings: All lines with a time, sorted by it.
    """

    head: Head
    workers: tuple[Worker, ...]
    happenings: tuple[Line, ...]


def make_trace(lines: Iterable[Line]) -> Trace:
    """Sorts lines into a trace; the first must be the head."""
    head, *rest = lines
    timed = (line for line in rest if not isinstance(line, Worker))
    return Trace(
        head,
        tuple(line for line in rest if isinstance(line, Worker)),
        tuple(sorted(timed, key=lambda line: line.at_s)),
    )


def encode_line(line: Line) -> str:
    """Returns one line of JSON."""
    fields = {"kind": _NAMES[type(line)], **_converter.unstructure(line)}
    return json.dumps(fields, separators=(",", ":"))


def write_trace(trace: Trace, path: pathlib.Path) -> None:
    """Writes a trace to a file."""
    lines = (trace.head, *trace.workers, *trace.happenings)
    text = "".join(encode_line(line) + "\n" for line in lines)
    path.write_text(text, encoding="utf-8")


def read_trace(
    texts: Iterable[str],
) -> outcomes.Ok[Trace] | outcomes.Failed:
    """Reads and checks a trace.

    Args:
        texts: Lines of JSON.

    Returns:
        The trace, or the first fault with its line number.
    """
    found = []
    for number, text in enumerate(texts, start=1):
        try:
            line = _decode_line(text)
        except (ValueError, KeyError) as error:
            return _fail(number, str(error))
        fault = _find_fault(line, number)
        if fault:
            return _fail(number, fault)
        found.append(line)
    if not found:
        return _fail(1, "the trace is empty")
    return _check_names(make_trace(found))


def _decode_line(text: str) -> Line:
    fields = json.loads(text)
    if not isinstance(fields, dict) or fields.get("kind") not in KINDS:
        raise ValueError(f"kind must be one of {', '.join(KINDS)}")
    kind = KINDS[fields.pop("kind")]
    try:
        return _converter.structure(fields, kind)
    except Exception as error:
        raise ValueError("; ".join(cattrs.transform_error(error))) from error


def _find_fault(line: Line, number: int) -> str:
    """Returns a sentence for a value out of range, empty for none."""
    if (number == 1) != isinstance(line, Head):
        return "the first line, and only it, must be the head"
    match line:
        case Head(version=version) if version != FORMAT_VERSION:
            return f"version must be {FORMAT_VERSION}"
        case Head(duration_s=duration) if not duration > 0:
            return "duration_s must be above 0"
        case Job(tasks=tasks, work_ms=work_ms) if min(tasks, work_ms) < 1:
            return "tasks and work_ms must be 1 or more"
        case Load(load=load) if not load >= 0:
            return "load must be 0 or more"
        case WorkerFault(state=state) if state not in WORKER_STATES:
            return f"state must be one of {', '.join(WORKER_STATES)}"
    if getattr(line, "at_s", 0.0) < 0:
        return "at_s must be 0 or more"
    return ""


def _check_names(trace: Trace) -> outcomes.Ok[Trace] | outcomes.Failed:
    """Refuses a trace whose lines speak of what it does not hold."""
    workers = {worker.name for worker in trace.workers}
    jobs = {h.job for h in trace.happenings if isinstance(h, Job)}
    for line in trace.happenings:
        match line:
            case WorkerFault(worker=name) if name not in workers:
                return _fail(0, f"no worker {name}")
            case Cancel(job=name) if name not in jobs:
                return _fail(0, f"no job {name}")
    return outcomes.Ok(trace)


def _fail(number: int, detail: str) -> outcomes.Failed:
    place = f"line {number}: " if number else ""
    return outcomes.Failed(outcomes.Step.PARSE, "", "bad-trace", place + detail)
