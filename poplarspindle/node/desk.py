"""Answers callers from what the node knows, and hands their work in."""

import dataclasses
import time
from collections.abc import Callable

import structlog

from poplarspindle import metrics, outcomes, serving
from poplarspindle.fleet import admission, job_store, records
from poplarspindle.node import (
    calls,
    clocks,
    commits,
    followers,
    known,
    ports,
    storage,
)

READY_FRESH_S = 3.0
OWNER_SILENT_S = 1.2  # The owner tells of hand-ins within that time.
ANSWER_MARGIN_S = 0.15
RETRY_S = 1

_log = structlog.get_logger(part="desk")


@dataclasses.dataclass(frozen=True, slots=True)
class _Untold:
    """Hand-ins of a part of which the owner has not told.

    Attributes:
        found: The records.
        first: Offset that they were read from, -1 where its history is gone
            and all newest records of the part were read.
        end: Offset that the part's next append will get.
    """

    found: tuple[records.Record, ...]
    first: int
    end: int


class Desk:
    """Answers callers.

    Args:
        platform: What the node runs on.
        counters: The node's figures.
        what: What the node knows.
        hand_ins: Appends what callers hand in.
        shared: Follows the shared log.
        heard_at: Returns when the owner was last heard, monotonic seconds.
        epoch: Returns the epoch of the newest owner that was read, 0 for none.
    """

    def __init__(
        self,
        platform: ports.Platform,
        counters: metrics.Metrics,
        what: known.Known,
        hand_ins: commits.HandIns,
        shared: followers.Follower,
        heard_at: Callable[[], float],
        epoch: Callable[[], int],
    ) -> None:
        self._platform = platform
        self._counters = counters
        self._known = what
        self._commits = hand_ins
        self._shared = shared
        self._heard_at = heard_at
        self._epoch = epoch

    def is_ready(self) -> bool:
        """Tells whether this node can take callers' work."""
        stale_s = time.monotonic() - self._shared.fresh_at
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
        if known.find_job(self._known, call.job) is not None:
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
        return self._hand_in(records.encode_submission(job), job.job, deadline)

    def _cancel(self, call: calls.Call, deadline: float) -> calls.Answer:
        found = known.find_job(self._known, call.job)
        if found is None:
            absent = self._confirm_absent(call.job)
            if absent is not None:
                return absent
        elif found.state is job_store.State.CANCELLED:
            return calls.Answer(200)
        record = records.encode_cancel(call.job)
        return self._hand_in(record, call.job, deadline)

    def _hand_in(
        self, record: records.Record, job: str, deadline: float
    ) -> calls.Answer:
        told = self._known.read
        if told and records.choose_partition(job, self._platform.parts) >= len(
            told
        ):
            return _refuse(503, "The owner's version does not follow the part.")
        return _answer_entry(self._commits.commit(record, deadline))

    def _show(self, call: calls.Call, deadline: float) -> calls.Answer:
        found = known.find_job(self._known, call.job)
        if found is None:
            absent = self._confirm_absent(call.job)
            if absent is not None:
                return absent
            found = known.find_job(self._known, call.job)
        state = found.state if found else job_store.State.QUEUED
        return calls.Answer(200, state=state.value)

    def _confirm_absent(self, job: str) -> calls.Answer | None:
        """Reads on from where the owner told of hand-ins.

        Returns:
            The answer if a job surely isn't there or can't be looked for,
            None where it is there.
        """
        if not self._known.loaded:
            return _refuse(503, "The log is not read yet.")
        part = records.choose_partition(job, self._platform.parts)
        found = self._read_untold(part)
        if isinstance(found, outcomes.Failed):
            return _refuse(503, f"The log does not answer: {found.reason}.")
        key = f"{records.SUBMITTED}/{job}"
        if known.find_job(self._known, job) is not None or any(
            record.key == key and record.value for record in found.found
        ):
            return None
        _log.info(
            "absent",
            about="callers",
            job=job,
            hand_ins_part=part,
            parts=self._platform.parts,
            first=found.first,
            end=found.end,
            records=len(found.found),
            owner_parts=len(self._known.read),
            epoch=self._epoch(),
            heard_s=round(time.monotonic() - self._heard_at(), 3),
            jobs=len(self._known.shown),
        )
        return calls.Answer(410, error="There is no such job.")

    def _read_untold(self, part: int) -> _Untold | outcomes.Failed:
        """Reads the hand-ins of which the owner has not told, to the end."""
        store, topic = self._platform.store, self._platform.hand_ins_topic
        told = self._known.read
        if told and len(told) != self._platform.parts:
            # Another version hands jobs in where this one does not look.
            return outcomes.Failed(outcomes.Step.READ, topic, "parts-differ")
        offset = told[part] if told else 0
        page = store.read(topic, offset, 0, part)
        if isinstance(page, outcomes.Failed):
            if page.reason != "expired":
                return page
            newest = storage.load_newest(store, topic, part)
            if isinstance(newest, outcomes.Failed):
                return newest
            return _Untold(newest.value.found, -1, newest.value.end)
        if page.value.next < page.value.end:
            return outcomes.Failed(
                outcomes.Step.READ, topic, "not-read-to-its-end"
            )
        return _Untold(page.value.found, offset, page.value.end)

    def _count(self, call: calls.Call, deadline: float) -> calls.Answer:
        if not self._known.loaded:
            return _refuse(503, "The log is not read yet.")
        pending = known.count_pending(self._known, call.queue.name)
        if time.monotonic() - self._heard_at() >= OWNER_SILENT_S:
            untold = self._count_untold(call.queue.name)
            if isinstance(untold, outcomes.Failed):
                reason = f"The log does not answer: {untold.reason}."
                return _refuse(503, reason)
            pending += untold
        return calls.Answer(200, pending=pending)

    def _count_untold(self, queue: str) -> int | outcomes.Failed:
        """Counts jobs that no owner has told of, while none is heard."""
        count = 0
        for part in range(self._platform.parts):
            found = self._read_untold(part)
            if isinstance(found, outcomes.Failed):
                return found
            for record in found.found:
                kind, _, job = record.key.partition("/")
                if (
                    kind == records.SUBMITTED
                    and record.value
                    and known.find_job(self._known, job) is None
                ):
                    submission = records.decode_submission(job, record.value)
                    count += submission.queue.name == queue
        return count


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
