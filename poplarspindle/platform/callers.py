"""The callers' paths and bodies, and the answers in their form."""

import json
import re

from poplarspindle import http_server, outcomes, resources
from poplarspindle.fleet import work
from poplarspindle.node import caller_calls
from poplarspindle.platform import decoding

ID_PATTERN = re.compile(r"[0-9a-fA-F]{16}")
MAX_SPEC_BYTES = 4000
MAX_STEPS = 100
MAX_TASKS = 10_000
MAX_AMOUNT = 1 << 40
DEADLINE_HEADER = "deadline-ms"
DEFAULT_DEADLINE_MS = 3000
MAX_DEADLINE_MS = 600_000
MAX_DEADLINE_DIGITS = 15


def read_call(
    request: http_server.Request, configuration: work.Configuration
) -> outcomes.Ok[caller_calls.Call] | outcomes.Failed:
    """Reads what a caller asks.

    Returns:
        The call, or the failure with reason `no-queue`, `bad-id`,
        `bad-method` or the fault in the body.
    """
    host = request.headers.get("host", "").partition(":")[0]
    queue = work.find_queue(configuration, host, request.path)
    if queue is None:
        return _fail("no-queue", "There is no such queue.")
    name = request.path[len(queue.prefix) :]
    deadline_s = _read_deadline_s(request, queue)
    if not name and request.method == "GET":
        return outcomes.Ok(
            caller_calls.Call(caller_calls.Kind.COUNT, queue, "", deadline_s)
        )
    if not ID_PATTERN.fullmatch(name):
        return _fail("bad-id", "A job's id has 16 hexadecimal digits.")
    kind = _KINDS.get(request.method)
    if kind is None:
        return _fail("bad-method", "Use POST, GET or DELETE.")
    if kind is not caller_calls.Kind.SUBMIT:
        return outcomes.Ok(caller_calls.Call(kind, queue, name, deadline_s))
    if len(request.body) > configuration.max_body_bytes:
        return _fail("too-large", "The body is too large.")
    try:
        job = read_job(name, queue, request.body)
    except ValueError as error:
        return _fail("bad-job", str(error))
    return outcomes.Ok(caller_calls.Call(kind, queue, name, deadline_s, job))


_KINDS = {
    "POST": caller_calls.Kind.SUBMIT,
    "GET": caller_calls.Kind.SHOW,
    "DELETE": caller_calls.Kind.CANCEL,
}


def _read_deadline_s(request: http_server.Request, queue: work.Queue) -> float:
    """Returns how long the caller waits for an answer, seconds."""
    text = request.headers.get(DEADLINE_HEADER, "")
    digits = text.isdigit() and len(text) <= MAX_DEADLINE_DIGITS
    given = int(text) if digits else DEFAULT_DEADLINE_MS
    return min(given, queue.timeout_ms or given, MAX_DEADLINE_MS) / 1000


def read_job(name: str, queue: work.Queue, body: bytes) -> work.Submission:
    """Reads a job; raises ValueError with the first fault."""
    fields = decoding.parse_object(body)
    spec = fields.get("spec", "")
    if not isinstance(spec, str) or len(spec.encode()) > MAX_SPEC_BYTES:
        raise ValueError(f"spec is text of at most {MAX_SPEC_BYTES} bytes.")
    rows = fields.get("pipeline")
    if not isinstance(rows, list) or not 1 <= len(rows) <= MAX_STEPS:
        raise ValueError(f"pipeline has 1 to {MAX_STEPS} steps.")
    steps = tuple(_read_step(row, index) for index, row in enumerate(rows))
    if sum(step.tasks for step in steps) > MAX_TASKS:
        raise ValueError(f"A job has at most {MAX_TASKS} tasks.")
    return work.Submission(
        name,
        queue,
        spec,
        steps,
        _read_whole(fields, "repeat_count"),
        _read_whole(fields, "start_at_ms", decoding.MAX_WHOLE),
        _read_whole(fields, "interval_ms"),
    )


def _read_step(row: object, index: int) -> work.Step:
    if not isinstance(row, dict):
        raise ValueError("A step is a JSON object.")
    count = _read_whole(row, "count")
    if count < 1:
        raise ValueError("A step has at least one task.")
    after = row.get("depends_on", [])
    if not isinstance(after, list) or not all(
        type(step) is int and 0 <= step < index for step in after
    ):
        raise ValueError("depends_on lists earlier steps.")
    need = resources.Resources(
        _read_whole(row, "cpu"),
        _read_whole(row, "mem_mb"),
        _read_whole(row, "gpu"),
    )
    return work.Step(
        count,
        need,
        _read_whole(row, "estimated_ms"),
        tuple(dict.fromkeys(after)),
        _read_flag(row, "checkpointing"),
        _read_flag(row, "gang"),
        _read_flag(row, "colocated"),
        _read_text(row, "requirements"),
        _read_text(row, "affinity"),
        _read_whole(row, "max_per_server"),
        _read_flag(row, "speculative"),
        _read_flag(row, "long_running"),
        _read_text(row, "image"),
        _read_whole(row, "target_ms"),
        _read_flag(row, "fills"),
        _read_whole(row, "max_unavailable"),
    )


def _read_whole(row: dict, name: str, most: int = MAX_AMOUNT) -> int:
    value = row.get(name, 0)
    if isinstance(value, float) and value.is_integer():
        value = int(value)
    if type(value) is not int or not 0 <= value <= most:
        raise ValueError(f"{name} is a whole number from 0.")
    return value


def _read_flag(row: dict, name: str) -> bool:
    value = row.get(name, False)
    if type(value) is not bool:
        raise ValueError(f"{name} is true or false.")
    return value


def _read_text(row: dict, name: str) -> str:
    value = row.get(name, "")
    return decoding.check_text(value, name)


def _fail(reason: str, detail: str) -> outcomes.Failed:
    return outcomes.Failed(outcomes.Step.PARSE, "caller", reason, detail)


FAULT_STATUS = {"no-queue": 404, "bad-method": 405, "too-large": 413}


def write_answer(answer: caller_calls.Answer) -> http_server.Response:
    """Writes an answer in the callers' form."""
    headers = []
    if answer.retry_s:
        headers.append(("Retry-After", str(answer.retry_s)))
    if answer.state:
        fields: dict[str, object] = {"state": answer.state}
    elif answer.pending is not None:
        fields = {"pending": answer.pending}
    elif answer.error:
        fields = {"error": answer.error}
    else:
        fields = {}
    return http_server.Response(
        answer.status,
        json.dumps(fields, separators=(",", ":")).encode(),
        tuple(headers),
        "application/json",
    )
