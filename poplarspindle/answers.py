"""HTTP answers of an entry, as JSON with the outcome in headers."""

import json

from poplarspindle import http_server, messages, outcomes, requests

JSON_TYPE = "application/json"
RETRY_AFTER_S = "1"
STATUS_BY_OUTCOME = {
    requests.Outcome.NOT_RUN: 503,
    requests.Outcome.UNKNOWN: 504,
}
STATUS_BY_REASON = {
    "bad-request-id": 400,
    "never-minted": 400,
    "unknown-service": 404,
    "different-content": 409,
    "too-many-ids": 429,
}
SENTENCES = {
    "bad-request-id": "A request that is not idempotent needs no Request-Id,"
    " one from POST /v1/tickets, or one of the form <unix seconds>-<text>.",
    "never-minted": "This id was never handed out.",
    "unknown-service": "The document declares no such service.",
    "different-content": "This id was sent before with another service or"
    " body; that request may have run, this one did not.",
    "repeated-id": "This id was sent before and its result is kept no more.",
    "expired-id": "This id is too old to tell whether it ran.",
    "outside-window": "The time in this id is too long ago or ahead.",
    "incarnation-gone": "The entry that handed this id out is gone.",
    "minter-left": "The entry that handed this id out stopped before it ran;"
    " take a new id.",
    "still-running": "This id was sent before and has not ended yet.",
    "claims-forgotten": "The log may have forgotten who sent this id first.",
}


def answer_json(
    status: int, body: object, headers: tuple[tuple[str, str], ...] = ()
) -> http_server.Response:
    """Returns a JSON answer."""
    data = json.dumps(body).encode()
    return http_server.Response(status, data, headers, JSON_TYPE)


def refuse_input(failed: outcomes.Failed, status: int = 400):
    """Returns the answer to input that is not allowed."""
    wait = (("Retry-After", RETRY_AFTER_S),) if status == 429 else ()
    return answer_json(
        status, {"error": failed.detail, "reason": failed.reason}, wait
    )


def refuse_request(
    failed: outcomes.Failed, name: str, status: int = 400
) -> http_server.Response:
    """Returns the answer to a request refused before anything was sent."""
    return answer_json(
        status,
        {"error": failed.detail, "reason": failed.reason},
        _list_headers(
            name, requests.Outcome.NOT_RUN, failed.reason, failed.step
        ),
    )


def answer_result(name: str, result: messages.Result) -> http_server.Response:
    """Returns a request's result as its caller is told."""
    reason = result.reason or "minion-answered"
    headers = _list_headers(name, result.outcome, reason, result.step)
    if result.outcome == requests.Outcome.ANSWERED:
        return http_server.Response(
            result.status, result.body, headers, result.content_type
        )
    status = STATUS_BY_REASON.get(
        result.reason, STATUS_BY_OUTCOME[requests.Outcome(result.outcome)]
    )
    if status in (429, 503):
        headers = (*headers, ("Retry-After", RETRY_AFTER_S))
    text = SENTENCES.get(
        result.reason, f"The request ended as {result.outcome}: {reason}."
    )
    body = {"error": text, "reason": reason, "outcome": result.outcome}
    return answer_json(status, body, headers)


def _list_headers(name, outcome, reason, step):
    return (
        ("Request-Id", name),
        ("Outcome", str(outcome)),
        ("Reason", reason),
        ("Step", str(step)),
    )
