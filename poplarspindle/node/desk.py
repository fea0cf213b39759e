"""Answers callers from what the node knows, and hands their work in."""

import dataclasses
import time

import structlog

from poplarspindle import metrics, outcomes, serving
from poplarspindle.fleet import admission, book, records
from poplarspindle.node import calls, clocks, commits, followers, known, ports

READY_FRESH_S = 3.0
ANSWER_MARGIN_S = 0.15
RETRY_S = 1

_log = structlog.get_logger(part="desk")


class Desk:
    """Answers callers.

    Args:
        platform: What the node runs on.
        counters: The node's figures.
        what: What the node knows.
        hand_ins: Appends what callers hand in.
        jobs: Follows the log.
    """

    def __init__(
        self,
        platform: ports.Platform,
        counters: metrics.Metrics,
        what: known.Known,
        hand_ins: commits.Commits,
        jobs: followers.Follower,
    ) -> None:
        self._platform = platform
        self._counters = counters
        self._known = what
        self._commits = hand_ins
        self._jobs = jobs

    def is_ready(self) -> bool:
        """Tells whether this node can take callers' work."""
        stale_s = time.monotonic() - self._jobs.fresh_at
        return (
            not self._known.leaving
            and self._known.loaded
            and self._known.configuration is not None
            and stale_s < READY_FRESH_S
        )

    def tell_readiness(self, request: serving.Request) -> serving.Response:
        """Answers the platform's question, and shows the figures."""
        if request.path == self._platform.readiness_path:
            return serving.Response(200 if self.is_ready() else 503)
        if request.path == "/metrics":
            return serving.Response(200, self._counters.render())
        return serving.Response(404)

    def count_refused(self, reason: str) -> None:
        """Counts a request that was refused before it was read."""
        self._counters.add("poplarspindle_refusals_total", reason)

    def handle(self, request: serving.Request) -> serving.Response:
        """Answers one request of a caller."""
        began = time.monotonic()
        answer, call = self._answer(request, began)
        reason = call.kind.value if call else "malformed"
        self._counters.add(
            "poplarspindle_requests_total", f"{reason}-{answer.status}"
        )
        took_s = time.monotonic() - began
        self._counters.observe("poplarspindle_call_seconds", reason, took_s)
        if call is None or call.kind is not calls.Kind.SHOW or answer.error:
            _log.info(
                "answered",
                about="callers",
                kind=reason,
                job=call.job if call else "",
                path="" if call else request.path[:80],
                status=answer.status,
                state=answer.state,
                why=answer.error,
                took_ms=int(took_s * 1000),
                version=self._known.configuration.version
                if self._known.configuration
                else 0,
            )
        response = self._platform.write_answer(answer)
        if self._known.leaving:
            response = dataclasses.replace(
                response, headers=(*response.headers, ("Connection", "close"))
            )
        return response

    def _answer(
        self, request: serving.Request, began: float
    ) -> tuple[calls.Answer, calls.Call | None]:
        configuration = self._known.configuration
        if configuration is None:
            return _refuse(503, "No configuration was read yet."), None
        found = self._platform.read_call(request, configuration)
        if isinstance(found, outcomes.Failed):
            status = self._platform.refuse_call(found.reason)
            return calls.Answer(status, error=found.detail), None
        call = found.value
        deadline = began + max(0.1, call.deadline_s - ANSWER_MARGIN_S)
        return _ANSWERS[call.kind](self, call, deadline), call

    def _submit(self, call: calls.Call, deadline: float) -> calls.Answer:
        if call.job in self._known.book.jobs:
            return calls.Answer(200)
        if not self._known.loaded:
            return _refuse(503, "The log is not read yet.")
        job = dataclasses.replace(
            call.submission, accepted_ms=clocks.tell_wall_ms()
        )
        retry_s = admission.find_retry_s(self._known.load, job, job.accepted_ms)
        if retry_s:
            return calls.Answer(
                429, error="No room for more that lasts.", retry_s=retry_s
            )
        entry = self._commits.commit(records.encode_submission(job), deadline)
        return _answer_entry(entry)

    def _cancel(self, call: calls.Call, deadline: float) -> calls.Answer:
        known = self._known.book.jobs.get(call.job)
        if known is None:
            absent = self._confirm_absent(call.job)
            if absent is not None:
                return absent
        if known is not None and known.cancelled:
            return calls.Answer(200)
        entry = self._commits.commit(records.encode_cancel(call.job), deadline)
        return _answer_entry(entry)

    def _show(self, call: calls.Call, deadline: float) -> calls.Answer:
        known = self._known.book.jobs.get(call.job)
        if known is None:
            absent = self._confirm_absent(call.job)
            if absent is not None:
                return absent
            known = self._known.book.jobs.get(call.job)
        state = known.shown if known else book.State.QUEUED
        return calls.Answer(200, state=state.value)

    def _confirm_absent(self, job: str) -> calls.Answer | None:
        """Reads to the log's tail; returns the answer if a job isn't there."""
        offset = self._known.applied
        if not self._known.loaded or offset < 0:
            return _refuse(503, "The log is not read yet.")
        topic = self._platform.fleet_topic
        page = self._platform.store.read(topic, offset, 0)
        if isinstance(page, outcomes.Failed):
            return _refuse(503, "The log does not answer.")
        key = f"{records.SUBMITTED}/{job}"
        if job in self._known.book.jobs or any(
            record.key == key for record in page.value.found
        ):
            return None
        if page.value.next < page.value.end:
            return _refuse(503, "The log is not read to its end.")
        return calls.Answer(410, error="There is no such job.")

    def _count(self, call: calls.Call, deadline: float) -> calls.Answer:
        if not self._known.loaded:
            return _refuse(503, "The log is not read yet.")
        pending = book.count_pending(self._known.book, call.queue.name)
        return calls.Answer(200, pending=pending)


_ANSWERS = {
    calls.Kind.SUBMIT: Desk._submit,
    calls.Kind.CANCEL: Desk._cancel,
    calls.Kind.SHOW: Desk._show,
    calls.Kind.COUNT: Desk._count,
}


def _answer_entry(entry: commits.Entry) -> calls.Answer:
    if entry.appended:
        return calls.Answer(200)
    if entry.may_have_acted or not entry.reason:
        return calls.Answer(504, error="It is not known whether it was stored.")
    return _refuse(503, f"The log refused: {entry.reason}.")


def _refuse(status: int, error: str) -> calls.Answer:
    return calls.Answer(status, error=error, retry_s=RETRY_S)
