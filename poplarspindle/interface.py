"""The HTTP interface of an entry, for callers and operators."""

import dataclasses
import re
import time
from collections.abc import Callable

from poplarspindle import (
    answers,
    bulkheads,
    document,
    frontend,
    http_server,
    jobs,
    lookups,
    membership,
    metrics,
    outcomes,
    requests,
    settings,
    traces,
)

MAX_TICKETS = 1000
INQUIRY_SHARE = 4
ALLOWED_METHODS = (
    (re.compile(r"/v1/services/[^/]+/requests"), "POST"),
    (re.compile(r"/v1/tickets"), "POST"),
    (re.compile(r"/v1/requests/[^/]+"), "GET"),
    (re.compile(r"/v1/jobs"), "POST"),
    (re.compile(r"/v1/jobs/[^/]+"), "GET, DELETE"),
    (re.compile(r"/(healthz|readyz|metrics)"), "GET"),
)


class Interface:
    """Checks what callers send and answers them.

    Args:
        values: Checked settings.
        counters: Where outcomes are counted.
        members: The instance list.
        is_live: Tells whether the entry was not told to stop.
        read_document: Calls a function with the document, locked.
        served: Carries requests.
        lookup: Finds traces.
        batch: Carries out what callers ask of jobs.
    """

    def __init__(
        self,
        values: settings.Values,
        counters: metrics.Metrics,
        members: membership.State,
        is_live: Callable[[], bool],
        read_document: Callable[[Callable], object],
        served: frontend.Frontend,
        lookup: lookups.Lookup,
        batch: jobs.Jobs,
    ) -> None:
        self._values = values
        self._counters = counters
        self._members = members
        self._is_live = is_live
        self._read_document = read_document
        self._frontend = served
        self._lookup = lookup
        self._jobs = batch
        self._inquiries = bulkheads.Bulkhead(values.threads // INQUIRY_SHARE)

    def handle(self, request: http_server.Request) -> http_server.Response:
        """Answers one request."""
        answer = self._route(request)
        if self._is_live():
            return answer
        headers = (*answer.headers, ("Connection", "close"))
        return dataclasses.replace(answer, headers=headers)

    def _route(self, request: http_server.Request) -> http_server.Response:
        parts = request.path.strip("/").split("/")
        match (request.method, *parts):
            case ("POST", "v1", "services", service, "requests"):
                return self._serve_request(request, service)
            case ("POST", "v1", "tickets"):
                return self._serve_tickets(request)
            case ("GET", "v1", "requests", name):
                return self._bound(self._serve_trace, name)
            case ("POST", "v1", "jobs"):
                return self._bound(self._submit_job, request.body)
            case ("GET", "v1", "jobs", name):
                return self._bound(self._jobs.show, name)
            case ("DELETE", "v1", "jobs", name):
                return self._bound(self._jobs.cancel, name)
            case ("GET", "healthz"):
                return http_server.Response(200, b"ok")
            case ("GET", "readyz"):
                return self._serve_readiness()
            case ("GET", "metrics"):
                return http_server.Response(200, self._counters.render())
        return _refuse_path(request)

    def _bound(
        self, serve: Callable[..., http_server.Response], argument: str | bytes
    ) -> http_server.Response:
        """Serves what asks other processes, a few at a time."""
        with self._inquiries.enter() as taken:
            if taken:
                return serve(argument)
        self._counters.add("poplarspindle_refusals_total", "too-many-asking")
        failed = outcomes.Failed(
            outcomes.Step.ADMIT,
            "",
            "too-many-asking",
            "Too many look-ups and jobs at once; nothing was done.",
        )
        return answers.refuse_input(failed, 429)

    def _submit_job(self, body: bytes) -> http_server.Response:
        checked = self._read_document(
            lambda known: jobs.read_submission(body, known)
        )
        if isinstance(checked, outcomes.Failed):
            status = 503 if checked.reason == jobs.DOCUMENT_UNREAD else 400
            return answers.refuse_input(checked, status)
        return self._jobs.submit(checked.value)

    def _serve_readiness(self) -> http_server.Response:
        live = self._is_live() and self._members.ready
        age_s = membership.compute_age(self._members, time.monotonic())
        body = {"ready": live, "list_age_s": round(age_s, 1)}
        return answers.answer_json(200 if live else 503, body)

    def _serve_tickets(
        self, request: http_server.Request
    ) -> http_server.Response:
        text = request.body.decode("ascii", "replace") or "1"
        plain = text.isascii() and text.isdigit() and len(text) <= 4
        if not plain or not 1 <= int(text) <= MAX_TICKETS:
            detail = f"Give a count from 1 to {MAX_TICKETS}."
            return answers.refuse_input(
                outcomes.Failed(outcomes.Step.PARSE, "", "bad-count", detail)
            )
        match self._frontend.mint(int(text)):
            case outcomes.Failed() as failed:
                return answers.refuse_input(failed, 429)
            case outcomes.Ok(ids):
                life_s = self._values.ticket_life_s
                return answers.answer_json(200, {"ids": ids, "life_s": life_s})

    def _serve_trace(self, name: str) -> http_server.Response:
        if not requests.ID_PATTERN.fullmatch(name):
            return answers.refuse_input(
                outcomes.Failed(
                    outcomes.Step.PARSE, "", "bad-request-id", "Malformed id."
                )
            )
        declared = self._read_document(document.State.list_data_centres)
        listed = (m.data_centre for m in self._members.members.values())
        found, source = self._lookup.find(name, {*declared, *listed})
        body = traces.describe(name, found, source)
        return answers.answer_json(200 if found.known else 404, body)

    def _serve_request(
        self, request: http_server.Request, service: str
    ) -> http_server.Response:
        name = request.headers.get("request-id", "")
        idempotent = request.headers.get("idempotent", "").lower() == "true"
        # A resent id may have run before: only its owner can say.
        is_first = not name or idempotent
        if is_first and request.waited_s * 1000 > self._values.queue_ms:
            return self._refuse(name, "queued")
        checked = requests.read_request(
            service,
            request.headers,
            request.body,
            self._values.deadline_ms,
            self._values.deadline_most_ms,
        )
        if isinstance(checked, outcomes.Failed):
            self._count(requests.Outcome.NOT_RUN, checked.reason)
            shown = name if requests.ID_PATTERN.fullmatch(name) else ""
            return answers.refuse_request(checked, shown)
        if not self._is_declared(service):
            return self._refuse(name, "unknown-service")
        waited_s = time.monotonic() - (request.arrived_at or time.monotonic())
        left_ms = checked.value.deadline_ms - round(waited_s * 1000)
        name, result = self._frontend.serve(
            dataclasses.replace(checked.value, deadline_ms=left_ms)
        )
        self._count(result.outcome, result.reason)
        return answers.answer_result(name, result)

    def _refuse(self, name: str, reason: str) -> http_server.Response:
        """Answers a request that nothing was done for."""
        self._count(requests.Outcome.NOT_RUN, reason)
        shown = name if requests.ID_PATTERN.fullmatch(name) else ""
        result = frontend.refuse(
            reason, outcomes.Step.ADMIT, requests.Outcome.NOT_RUN
        )
        return answers.answer_result(shown, result)

    def _is_declared(self, service: str) -> bool:
        """Tells whether a service is known; all are until a document is."""
        return self._read_document(
            lambda known: (
                not known.sections or known.find_service(service) is not None
            )
        )

    def _count(self, outcome: str, reason: str) -> None:
        self._counters.add("poplarspindle_requests_total", outcome)
        if reason:
            self._counters.add("poplarspindle_refusals_total", reason)


def _refuse_path(request: http_server.Request) -> http_server.Response:
    """Returns 405 for a known path with another method, else 404."""
    allowed = next(
        (m for p, m in ALLOWED_METHODS if p.fullmatch(request.path)), ""
    )
    if not allowed:
        failed = outcomes.Failed(
            outcomes.Step.PARSE, "", "unknown-path", "There is no such path."
        )
        return answers.refuse_input(failed, 404)
    failed = outcomes.Failed(
        outcomes.Step.PARSE, "", "bad-method", f"Allowed here: {allowed}."
    )
    answer = answers.refuse_input(failed, 405)
    return dataclasses.replace(answer, headers=(("Allow", allowed),))
