"""The story of one job, told from a pile of nodes' log lines."""

import dataclasses
import json
from collections.abc import Iterable, Iterator, Mapping

# What holds a task that is to last, by the `cause` of an `away` line.
OBSTACLES = {
    "append": "its placement is not recorded in the store",
    "leases": "{worker} is not known to run it, and its leases may still hold",
    "no-report": "{worker} has not answered this owner and may be running it",
    "order": "a worker has room for it, and other work goes first",
    "recorded-unreachable": (
        "the log lists {worker} as unreachable, and it may still run there"
    ),
    "room": "no worker takes it",
    "start-in-doubt": (
        "a start that {worker} did not answer may still be carried out"
    ),
    "start-not-sent": "its start was not sent to {worker}",
    "stop": "it is being stopped on {worker}",
    "verdict": "it may have crashed {worker}, and news of that is awaited",
}


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


def _tell_away(fields: Mapping) -> str:
    cause = str(fields.get("cause"))
    hold = OBSTACLES.get(cause, cause).format(worker=fields.get("worker"))
    refusals = ", ".join(
        f"{count} by {why}"
        for why, count in (fields.get("refused_by") or {}).items()
    )
    if refusals:
        hold += f" (workers refuse it, {refusals})"
    return (
        f"task {fields.get('task')} is to last and has not run for"
        f" {fields.get('away_ms')} ms: {hold}; {_tell_end(fields)}."
    )


def _tell_end(fields: Mapping) -> str:
    """Tells when a wait ends by itself, and what ends it sooner."""
    proof = fields.get("ended_by")
    left_ms = fields.get("for_ms")
    if left_ms is None:
        return f"it waits without a limit of time for: {proof}"
    if left_ms < 0:
        return f"that was to end {-left_ms} ms ago, or sooner by: {proof}"
    return f"that ends within {left_ms} ms, or sooner by: {proof}"


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
    "away": _tell_away,
    "start-refused": _tell_refused,
    "suspected": _tell_crash,
    "task-given-up": _tell_crash,
    "crashed-beside": _tell_crash,
}
