"""What happened to each request, step by step.

A ring in memory keeps the latest requests of an entry. What a caller may
complain of is written to the audit stream too: every request that was not
answered, and every non-idempotent one. Writing is batched, bounded in bytes a
second, and dropped with a counter rather than waited for.
"""

import collections
import dataclasses
import datetime
import threading
from collections.abc import Callable

from poplarspindle import messages, outcomes, records, requests

MAX_STEPS = 32
RECORD_BYTES = 80
REASONS = {
    "timeout": "it was sent to a minion, and no whole answer came in time",
    "broken": "it was sent to a minion, and the connection broke",
    "minion-refused": "the minions tried refused it before running it",
    "no-minion": "no minion had room for it or serves it",
    "no-connection": "no connection could be made",
    "unknown-service": "the document declares no such service",
    "incarnation-gone": "the entry that handed its id out is gone",
    "minter-left": "the entry that handed its id out stopped before it ran",
    "peer-timeout": "the entry that handed its id out did not answer in time",
    "repeated-id": "the id was sent before and its result is kept no more",
    "expired-id": "the id is too old to tell whether it ran",
    "claim-timeout": "the claim on its id could not be read back in time",
    "log-down": "the log did not answer, so its id could not be claimed",
}


@dataclasses.dataclass(slots=True)
class Trace:
    """One request as an entry remembers it.

    Attributes:
        request: Request id.
        service: Service asked for.
        wall_ms: Wall clock at its first step, milliseconds since 1970.
        began: Monotonic clock at its first step, seconds.
        steps: One text per step.
        outcome: What the caller was told, empty before the end.
        reason: Short tag.
        once: Whether it must not run more than once.
    """

    request: str
    service: str
    wall_ms: int
    began: float
    once: bool = True
    steps: list[str] = dataclasses.field(default_factory=list)
    outcome: str = ""
    reason: str = ""


class Ring:
    """The latest traces of one entry, safe for use by several threads.

    Args:
        max_requests: Number of requests remembered.
        clock: Monotonic seconds.
        wall: Wall clock, seconds since 1970.
    """

    def __init__(
        self,
        max_requests: int,
        clock: Callable[[], float],
        wall: Callable[[], float],
    ) -> None:
        self._most = max_requests
        self._clock = clock
        self._wall = wall
        self._lock = threading.Lock()
        self._traces: collections.OrderedDict[str, Trace] = (
            collections.OrderedDict()
        )

    def begin(self, request: str, service: str, once: bool = True) -> None:
        """Begins a trace; a second send of an id goes on with the first."""
        with self._lock:
            if request in self._traces:
                return
            wall_ms = int(self._wall() * 1000)
            self._traces[request] = Trace(
                request, service, wall_ms, self._clock(), once
            )
            while len(self._traces) > self._most:
                self._traces.popitem(last=False)

    def note(
        self, request: str, step: outcomes.Step, peer: str, reason: str
    ) -> None:
        """Adds a step; steps past MAX_STEPS are left out."""
        with self._lock:
            trace = self._traces.get(request)
            if trace is None or len(trace.steps) >= MAX_STEPS:
                return
            took_ms = (self._clock() - trace.began) * 1000
            trace.steps.append(format_step(took_ms, step, peer, reason))

    def end(self, request: str, result: messages.Result) -> Trace | None:
        """Ends a trace; returns it where this is its first end."""
        self.note(
            request,
            outcomes.Step(result.step),
            result.peer,
            result.reason or result.outcome,
        )
        with self._lock:
            trace = self._traces.get(request)
            if trace is None or trace.outcome:
                return None
            trace.outcome = result.outcome
            trace.reason = result.reason
            return dataclasses.replace(trace, steps=list(trace.steps))

    def find(self, request: str) -> messages.TraceFound:
        """Returns what is remembered of a request."""
        with self._lock:
            trace = self._traces.get(request)
            if trace is None:
                return messages.TraceFound(known=False)
            return messages.TraceFound(
                True,
                bool(trace.outcome),
                trace.service,
                trace.outcome,
                trace.reason,
                tuple(trace.steps),
                trace.wall_ms,
            )


class Budget:
    """Bytes a second that may be written; unused ones are kept for a second.

    Args:
        rate: Bytes a second.
    """

    def __init__(self, rate: float) -> None:
        self._rate = rate
        self._left = rate
        self._at = float("-inf")

    def take(self, size: int, now: float) -> bool:
        """Takes bytes out, or returns False where they are not there."""
        gained = (now - self._at) * self._rate
        self._left = min(self._rate, self._left + gained)
        self._at = now
        if size > self._left:
            return False
        self._left -= size
        return True


def format_step(
    took_ms: float, step: outcomes.Step, peer: str, reason: str
) -> str:
    """Returns a step as text: time since the first step, step, peer, why."""
    return f"{took_ms:.1f} ms {step} {peer or '-'} {reason}"


def make_record(trace: Trace) -> records.RequestTraced:
    """Returns the record of a trace that ended."""
    return records.RequestTraced(
        trace.request,
        trace.service,
        trace.outcome,
        trace.reason,
        tuple(trace.steps),
        trace.wall_ms,
    )


def estimate_size(record: records.RequestTraced) -> int:
    """Returns about how many bytes a record takes in the log."""
    texts = (record.request, record.service, *record.steps)
    return RECORD_BYTES + sum(len(text) for text in texts)


def is_worth_keeping(trace: Trace) -> bool:
    """Tells whether a trace is written to the audit.

    A request that was answered at its first send, with an id that may run
    more than once, gives no cause for complaint that a trace could settle.
    """
    plain = trace.outcome == requests.Outcome.ANSWERED
    sends = [s for s in trace.steps if f" ms {outcomes.Step.SEND} " in s]
    return trace.once or not plain or len(sends) != 1


def read_record(record: records.RequestTraced) -> messages.TraceFound:
    """Returns a record of the audit stream as a trace."""
    return messages.TraceFound(
        True,
        True,
        record.service,
        record.outcome,
        record.reason,
        record.steps,
        record.wall_ms,
    )


def describe(request: str, found: messages.TraceFound, source: str) -> dict:
    """Describes a trace for people and programs."""
    return {
        "request": request,
        "sentence": explain(request, found),
        "outcome": found.outcome,
        "reason": found.reason,
        "service": found.service,
        "began": format_time(found.wall_ms),
        "steps": found.steps,
        "source": source,
    }


def format_time(wall_ms: int) -> str:
    """Returns a wall-clock time as text, empty for none."""
    if not wall_ms:
        return ""
    moment = datetime.datetime.fromtimestamp(wall_ms / 1000, datetime.UTC)
    return moment.isoformat(timespec="milliseconds")


def explain(request: str, found: messages.TraceFound) -> str:
    """Returns one plain sentence on what happened to a request."""
    if not found.known:
        return (
            f"Nothing is known of {request}: no entry that answered remembers"
            " it and no audit record names it; whether it ran can't be told"
            " from here."
        )
    if not found.ended:
        return f"{request} for {found.service} has not ended yet."
    because = REASONS.get(found.reason, found.reason)
    ended = {
        requests.Outcome.ANSWERED: "ran, and its whole answer was passed on",
        requests.Outcome.NOT_RUN: f"did not run, because {because}",
        requests.Outcome.UNKNOWN: (
            f"may or may not have run; it can't be known, because {because}"
        ),
    }
    return f"{request} for {found.service} {ended[found.outcome]}."
