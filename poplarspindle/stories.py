"""The story of one job, told from a pile of nodes' log lines."""

import dataclasses
import json
from collections.abc import Iterable, Iterator, Mapping


@dataclasses.dataclass(frozen=True, slots=True)
class Line:
    """One log line about a job.

    Attributes:
        at: Its timestamp, ISO 8601 in UTC.
        source: What stood before the line's JSON, such as a machine's name.
        fields: Its fields.
    """

    at: str
    source: str
    fields: Mapping[str, object]


def read_lines(text: Iterable[str], job: str) -> list[Line]:
    """Reads the lines that name a job, in order of time.

    Args:
        text: Lines; what stands before the first brace is kept as source.
        job: The job's id.

    Returns:
        The lines; what is no JSON object is passed over.
    """
    found = []
    for line in text:
        source, brace, rest = line.partition("{")
        if not brace or job not in rest:
            continue
        try:
            fields = json.loads(brace + rest)
        except ValueError:
            continue
        if isinstance(fields, dict) and fields.get("job") == job:
            at = str(fields.get("timestamp", ""))
            found.append(Line(at, source.strip(), fields))
    return sorted(found, key=lambda line: line.at)


def tell(lines: Iterable[Line]) -> Iterator[str]:
    """Tells a job's story, a sentence for each line."""
    for line in lines:
        teller = _TELLERS.get(str(line.fields.get("event")), _tell_other)
        place = f" ({line.source})" if line.source else ""
        yield f"{line.at}{place}: {teller(line.fields)}"


def _tell_answered(fields: Mapping) -> str:
    why = f", because: {fields['why']}" if fields.get("why") else ""
    return (
        f"a caller's {fields.get('kind')} was answered {fields.get('status')}"
        f" after {fields.get('took_ms')} ms{why}."
    )


def _tell_placed(fields: Mapping) -> str:
    places = ", ".join(
        f"{index} (run {attempt}) on {worker}"
        for index, attempt, worker in fields.get("tasks", ())
    )
    left = fields.get("left", 0)
    waits = f"; {left} tasks wait for room" if left else ""
    return f"step {fields.get('step')}: tasks {places}{waits}."


def _tell_ended(fields: Mapping) -> str:
    if "state" in fields:
        return f"the job ended: {fields['state']}."
    return (
        f"task {fields.get('task')} run {fields.get('attempt')} on"
        f" {fields.get('worker')} ended: {fields.get('how')}, after"
        f" {fields.get('took_ms')} ms."
    )


def _tell_given_up(fields: Mapping) -> str:
    return (
        f"task {fields.get('task')} run {fields.get('attempt')} on"
        f" {fields.get('worker')} was given up: {fields.get('why')}."
    )


def _tell_held_back(fields: Mapping) -> str:
    return (
        f"task {fields.get('task')} run {fields.get('attempt')} may still"
        f" begin on {fields.get('worker')}, which did not answer its start:"
        f" it waits for up to {fields.get('for_ms')} ms more."
    )


def _tell_refused(fields: Mapping) -> str:
    return (
        f"{fields.get('worker')} did not start task {fields.get('task')} run"
        f" {fields.get('attempt')}: {fields.get('why')}."
    )


def _tell_crash(fields: Mapping) -> str:
    verdicts = {
        "suspected": "it may be the cause",
        "task-given-up": "it is taken to be the cause",
        "crashed-beside": "another run is taken to be the cause",
    }
    return (
        f"{fields.get('worker')} crashed with task {fields.get('task')} run"
        f" {fields.get('attempt')} and {fields.get('aboard', 1) - 1} others"
        f" aboard: {verdicts[fields['event']]}, crashes counted:"
        f" {fields.get('crashes')}."
    )


def _tell_other(fields: Mapping) -> str:
    rest = {
        name: value
        for name, value in fields.items()
        if name not in ("event", "timestamp", "job", "part", "about")
    }
    return f"{fields.get('about')}: {fields.get('event')} {rest}"


_TELLERS = {
    "answered": _tell_answered,
    "placed": _tell_placed,
    "ended": _tell_ended,
    "given-up": _tell_given_up,
    "held-back": _tell_held_back,
    "start-refused": _tell_refused,
    "suspected": _tell_crash,
    "task-given-up": _tell_crash,
    "crashed-beside": _tell_crash,
}
