"""The interface for batch jobs: submit, show, cancel.

A job is accepted once its record is in the log. Its home follows from its id
and its family alone, so that the same id sent twice, through two entries,
goes to one stream, where the first record counts.
"""

import concurrent.futures
import dataclasses
import hashlib
import json
import re
import time
from collections.abc import Callable

from poplarspindle import (
    answers,
    cells,
    document,
    feasibility,
    http_server,
    membership,
    messages,
    outcomes,
    ownership,
    peers,
    records,
    reports,
    resources,
)
from poplarspindle.clients import logservice

DOCUMENT_UNREAD = "document-unread"
JOB_PATTERN = re.compile(r"[A-Za-z0-9][A-Za-z0-9._-]{0,99}")
MAX_BODY_BYTES = 64 * 1024
MAX_TASKS = 10_000
ASK_S = 1.0
SETTLE_S = 2.0
POLL_S = 0.02
FIELDS = frozenset({"job", "family", "tasks"})

JobCheck = Callable[
    [document.State, document.FamilySpec, int], outcomes.Failed | None
]


@dataclasses.dataclass(frozen=True, slots=True)
class Submission:
    """A checked job, the data centre whose stream takes it, and all allowed."""

    job: records.JobSubmitted
    home: str
    allowed: tuple[str, ...] = ()


def check_placeable(
    document_state: document.State, spec: document.FamilySpec, tasks: int
) -> outcomes.Failed | None:
    """Refuses a job that names no data centre of the document."""
    if list_allowed_data_centres(document_state, spec):
        return None
    return _fail("no-data-centre", "No data centre may run this family.")


# Each check may refuse a job that can never run; the first refusal counts.
JOB_CHECKS: tuple[JobCheck, ...] = (check_placeable,)


def list_allowed_data_centres(
    document_state: document.State, spec: document.FamilySpec
) -> tuple[str, ...]:
    """Returns the data centres that a family may run in, in service or not."""
    declared = document_state.list_data_centres()
    allowed = spec.data_centres or declared
    return tuple(name for name in allowed if name in declared)


def read_submission(
    body: bytes, document_state: document.State
) -> outcomes.Ok[Submission] | outcomes.Failed:
    """Checks the body of a submission.

    Args:
        body: JSON with `job`, `family` and optionally `tasks`.
        document_state: The operators' document.

    Returns:
        The job with its home, or the first fault.
    """
    if len(body) > MAX_BODY_BYTES:
        return _fail("too-large", f"Give at most {MAX_BODY_BYTES} bytes.")
    try:
        fields = json.loads(body)
    except (ValueError, RecursionError):
        fields = None
    if not isinstance(fields, dict) or not {"job", "family"} <= set(fields):
        return _fail("bad-json", "Give job, family and tasks in JSON.")
    if extra := sorted(set(fields) - FIELDS):
        return _fail("bad-field", f"There is no field {extra[0]}.")
    name, family = fields["job"], fields["family"]
    if not isinstance(name, str) or not JOB_PATTERN.fullmatch(name):
        return _fail("bad-job", "job must be 1 to 100 of A-Z a-z 0-9 . _ -")
    count = fields.get("tasks", 1)
    if type(count) is not int or not 1 <= count <= MAX_TASKS:
        return _fail("bad-tasks", f"tasks must be 1 to {MAX_TASKS}.")
    declared = (
        document_state.find_family(family) if isinstance(family, str) else None
    )
    if declared is None and not document_state.is_whole:
        return _fail(
            DOCUMENT_UNREAD, "The document is not read yet; try again."
        )
    if declared is None:
        return _fail("unknown-family", "No section declares this family.")
    section, spec = declared
    faults = (check(document_state, spec, count) for check in JOB_CHECKS)
    fault = next(filter(None, faults), None)
    if fault is not None:
        return fault
    job = records.JobSubmitted(
        name,
        section.team,
        family,
        spec.priority,
        count,
        int(spec.processors * 1000),
        int(spec.memory_gb * 1000),
        spec.accelerators,
        int(spec.run_s * 1000),
        spec.exclusive,
        spec.urgent,
    )
    home = choose_home(document_state, name, spec)
    return outcomes.Ok(
        Submission(job, home, list_allowed_data_centres(document_state, spec))
    )


def choose_home(
    document_state: document.State, job: str, spec: document.FamilySpec
) -> str:
    """Returns the data centre whose stream takes a job.

    It does not depend on what is in service: the owner moves tasks on.
    """
    digest = hashlib.sha256(job.encode()).hexdigest()
    return ownership.rank_candidates(
        digest, list_allowed_data_centres(document_state, spec)
    )[0]


def is_same_request(job: records.JobSubmitted, content: bytes) -> bool:
    """Tells whether a job asks for the same as one already known.

    What the document says of the family may have changed in between; only
    what the caller gave is compared.
    """
    (earlier,), _ = records.decode_batch(content)
    return (job.family, job.tasks) == (
        earlier.family,
        earlier.tasks,
    )


class Jobs:
    """Carries out what callers ask of jobs.

    Args:
        service: The log.
        links: Connections to the schedulers.
        members: The instance list.
        wait: Waits between two questions, seconds.
    """

    def __init__(
        self,
        service: logservice.LogService,
        links: peers.Links,
        members: membership.State,
        wait: Callable[[float], object],
    ) -> None:
        self._service = service
        self._links = links
        self._members = members
        self._wait = wait

    def submit(self, submission: Submission) -> http_server.Response:
        """Takes a job: 202 once its record is in the log."""
        job, home = submission.job, submission.home
        before = self._ask_all(job.job)
        for seen in before:
            if seen.content:
                return _answer_known(job, seen)
        obstacle = self._find_obstacle(submission)
        if obstacle:
            return answers.refuse_input(_fail("never-fits", obstacle))
        payload = records.encode_batch((job,))
        answer = self._service.append(cells.name_stream(home), payload)
        appended = isinstance(answer, outcomes.Ok)
        if not appended and not answer.may_have_acted:
            return answers.answer_json(
                503,
                {
                    "error": "The log does not answer; the job was not taken.",
                    "reason": "log-down",
                    "job": job.job,
                },
            )
        seen = self._await_known(job.job, bool(before))
        if seen is not None:
            return _answer_known(job, seen, 202)
        if appended:
            body = {"job": job.job, "data_centre": home, "state": "in the log"}
            return answers.answer_json(202, body)
        return _answer_unknown(job.job)

    def _find_obstacle(self, submission: Submission) -> str:
        """Tells why no worker of the instance list can ever hold a job."""
        job = submission.job
        need = resources.Resources(
            job.millicores, job.memory_mb, job.accelerators
        )
        workers = [
            member
            for member in self._members.members.values()
            if member.role is reports.Role.WORKER
        ]
        obstacle = feasibility.find_obstacle(need, submission.allowed, workers)
        return f"The job can never run: a task {obstacle}." if obstacle else ""

    def show(self, job: str) -> http_server.Response:
        """Tells where a job is, and why."""
        answers_seen = self._ask_all(job)
        known_answers = [seen for seen in answers_seen if seen.content]
        if known_answers:
            seen = max(known_answers, key=lambda s: s.complete)
            return answers.answer_json(200, describe(job, seen))
        if any(seen.complete for seen in answers_seen):
            return answers.answer_json(
                404,
                {
                    "error": f"There is no job {job}.",
                    "reason": "unknown-job",
                },
            )
        return _answer_unknown(job)

    def cancel(self, job: str) -> http_server.Response:
        """Cancels a job wherever it is: 202 once that is in the log."""
        answers_seen = self._ask_all(job)
        places = {d for seen in answers_seen for d in seen.data_centres}
        if not places:
            return self.show(job)
        payload = records.encode_batch((records.JobCancelled(job),))
        sent = [
            self._service.append(cells.name_stream(place), payload)
            for place in sorted(places)
        ]
        if any(isinstance(answer, outcomes.Failed) for answer in sent):
            return _answer_unknown(job)
        return answers.answer_json(202, {"job": job, "state": "cancelling"})

    def _await_known(
        self, job: str, reachable: bool
    ) -> messages.JobSeen | None:
        """Asks the schedulers until one has read the job."""
        deadline = time.monotonic() + (SETTLE_S if reachable else 0)
        while True:
            for seen in self._ask_all(job):
                if seen.content:
                    return seen
            if time.monotonic() >= deadline:
                return None
            self._wait(POLL_S)

    def _ask_all(self, job: str) -> list[messages.JobSeen]:
        """Asks all schedulers at once; those that fail are left out."""
        addresses = membership.list_peers(self._members, reports.Role.SCHEDULER)
        if not addresses:
            return []
        question = messages.JobQuery(job)
        with concurrent.futures.ThreadPoolExecutor(len(addresses)) as pool:
            results = pool.map(
                lambda address: self._links.ask(address, question, ASK_S),
                addresses,
            )
            return [
                answer.value
                for answer in results
                if isinstance(answer, outcomes.Ok)
                and isinstance(answer.value, messages.JobSeen)
            ]


def describe(job: str, seen: messages.JobSeen) -> dict:
    """Describes a job for people and programs."""
    return {
        "job": job,
        "sentence": explain(job, seen),
        "tasks": seen.tasks,
        "phases": seen.phases,
        "data_centres": list(seen.data_centres),
        "open": [dataclasses.asdict(task) for task in seen.samples],
        "told_by": seen.incarnation,
    }


def explain(job: str, seen: messages.JobSeen) -> str:
    """Returns one plain sentence on where a job is."""
    phases = ", ".join(
        f"{count} {phase}" for phase, count in sorted(seen.phases.items())
    )
    text = f"Job {job} has {seen.tasks} tasks: {phases}"
    if not seen.samples:
        return f"{text}."
    first = seen.samples[0]
    place = first.worker or "no worker"
    why = f", because: {first.reason}" if first.reason else ""
    return (
        f"{text}; {first.task} is {first.phase} in {first.data_centre}"
        f" on {place}{why}."
    )


def _answer_known(job, seen, status: int = 200) -> http_server.Response:
    if is_same_request(job, seen.content):
        return answers.answer_json(status, describe(job.job, seen))
    return answers.answer_json(
        409,
        {
            "error": f"Job {job.job} was submitted before with other content.",
            "reason": "different-content",
        },
    )


def _answer_unknown(job: str) -> http_server.Response:
    return answers.answer_json(
        504,
        {
            "error": f"It can't be told now what became of job {job}. Ask"
            f" again by GET /v1/jobs/{job}, or send the same once more: the"
            " same id is the same job.",
            "reason": "unknown",
            "outcome": "unknown",
            "job": job,
        },
    )


def _fail(reason: str, detail: str) -> outcomes.Failed:
    return outcomes.Failed(outcomes.Step.PARSE, "", reason, detail)
