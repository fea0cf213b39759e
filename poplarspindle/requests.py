"""Callers' requests: what they may carry, and what callers are told."""

import dataclasses
import enum
import re
from collections.abc import Mapping

from poplarspindle import outcomes

SERVICE_PATTERN = re.compile(r"[a-z0-9][a-z0-9_-]{0,62}")
ID_PATTERN = re.compile(r"[A-Za-z0-9][A-Za-z0-9._:~-]{0,127}")
MAX_DIGITS = 9
FLAGS = {"true": True, "false": False}


class Outcome(enum.StrEnum):
    """What a caller is told of its request."""

    ANSWERED = "answered"
    NOT_RUN = "not-run"
    UNKNOWN = "unknown"


@dataclasses.dataclass(frozen=True, slots=True)
class Verdict:
    """The end of a request.

    Attributes:
        outcome: What the caller is told.
        reason: Short tag.
        step: Step at which it ended.
        peer: Peer of that step.
    """

    outcome: Outcome
    reason: str
    step: outcomes.Step
    peer: str = ""


@dataclasses.dataclass(frozen=True, slots=True)
class Request:
    """A checked request.

    Attributes:
        service: Service asked for.
        name: The caller's request id, empty where it gave none.
        body: The request's body.
        idempotent: Whether it may run more than once.
        first_send: Whether the caller says that it never sent the id before.
        deadline_ms: Time that the caller waits.
    """

    service: str
    name: str
    body: bytes
    idempotent: bool
    first_send: bool
    deadline_ms: int


def read_request(
    service: str,
    headers: Mapping[str, str],
    body: bytes,
    default_deadline_ms: int,
    max_deadline_ms: int,
) -> outcomes.Ok[Request] | outcomes.Failed:
    """Checks what a caller sent.

    Args:
        service: Service named in the path.
        headers: Header by name in lower case.
        body: The whole body.
        default_deadline_ms: Deadline of a request that names none.
        max_deadline_ms: Longest deadline allowed.

    Returns:
        The request, or the first fault.
    """
    if not SERVICE_PATTERN.fullmatch(service):
        return _fail("bad-service", "The service's name is malformed.")
    name = headers.get("request-id", "")
    if name and not ID_PATTERN.fullmatch(name):
        return _fail(
            "bad-request-id",
            "Request-Id must be 1 to 128 of A-Z a-z 0-9 . _ : ~ -",
        )
    deadline_ms = _read_deadline(headers, default_deadline_ms)
    if not 1 <= deadline_ms <= max_deadline_ms:
        return _fail(
            "bad-deadline",
            f"Deadline-Ms must be a whole number from 1 to {max_deadline_ms}.",
        )
    flags = {}
    for header in ("idempotent", "first-send"):
        flags[header] = FLAGS.get(headers.get(header, "false").lower())
        if flags[header] is None:
            title = header.title()
            return _fail(f"bad-{header}", f"{title} must be true or false.")
    return outcomes.Ok(
        Request(
            service,
            name,
            body,
            flags["idempotent"],
            flags["first-send"],
            deadline_ms,
        )
    )


def _read_deadline(headers: Mapping[str, str], default_deadline_ms: int) -> int:
    """Returns the deadline asked for, 0 for a malformed one."""
    text = headers.get("deadline-ms")
    if text is None:
        return default_deadline_ms
    plain = text.isascii() and text.isdigit() and len(text) <= MAX_DIGITS
    return int(text) if plain else 0


def _fail(reason: str, detail: str) -> outcomes.Failed:
    return outcomes.Failed(outcomes.Step.PARSE, "", reason, detail)
