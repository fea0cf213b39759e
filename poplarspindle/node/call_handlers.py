"""Answers callers from what the node knows, and hands their work in."""

import dataclasses
from collections.abc import Callable

import structlog

from poplarspindle import http_server, metrics, outcomes
from poplarspindle.fleet import (
    admission,
    job_store,
    records,
    start_delay,
    work,
)
from poplarspindle.node import (
    admission_ledger,
    caller_calls,
    clocks,
    followers,
    group_commit,
    ports,
    shared_state,
    storage,
)

READY_MAX_STALE_S = 3.0
OWNER_TIMEOUT_S = 1.2  # The owner tells of hand-ins within that time.
ANSWER_MARGIN_S = 0.15
RETRY_S = 1
UNKNOWN_ERROR = "It is not known whether it was stored."

_log = structlog.get_logger(part="desk")


@dataclasses.dataclass(frozen=True, slots=True)
class _UnpublishedIntake:
    """Hand-ins of a part of which the owner has not told.

    Attributes:
        items: The records.
        first: Offset that they were read from, -1 where its history is gone
            and all newest records of the part were read.
        end: Offset that the part's next append will get.
    """

    items: tuple[records.Record, ...]
    first: int
    end: int


class CallHandlers:
    """Answers callers.

    Args:
        platform: What the node runs on.
        counters: The node's figures.
        state: What the node knows.
        intake_writer: Appends what callers hand in.
        shared: Follows the shared log.
        owner_seen_at: Returns when the owner was last heard, steady seconds.
        epoch: Returns the epoch of the newest owner that was read, 0 for none.
    """

    def __init__(
        self,
        platform: ports.Platform,
        counters: metrics.Metrics,
        state: shared_state.SharedState,
        intake_writer: group_commit.IntakeWriter,
        shared: followers.Follower,
        owner_seen_at: Callable[[], float],
        epoch: Callable[[], int],
    ) -> None:
        self._platform = platform
        self._counters = counters
        self._shared_state = state
        self._intake_writer = intake_writer
        self._shared = shared
        self._owner_seen_at = owner_seen_at
        self._epoch = epoch
        self._admission_ledger = admission_ledger.AdmissionLedger()

    def is_ready(self) -> bool:
        """Tells whether this node can take callers' work."""
        stale_s = clocks.get_steady_s() - self._shared.tail_reached_at
        return (
            not self._shared_state.leaving
            and self._shared_state.loaded
            and self._shared_state.configuration is not None
            and stale_s < READY_MAX_STALE_S
        )

    def handle_readiness(
        self, request: http_server.Request
    ) -> http_server.Response:
        """Answers the platform's question, and shows the figures."""
        if request.path == self._platform.readiness_path:
            return http_server.Response(200 if self.is_ready() else 503)
        if request.path == "/metrics":
            return http_server.Response(200, self._counters.render())
        return http_server.Response(404)

    def count_refused(self, reason: str) -> None:
        """Counts a request that was refused before it was read."""
        self._counters.add("poplarspindle_refusals_total", reason)

    def handle(self, request: http_server.Request) -> http_server.Response:
        """Answers one request of a caller."""
        began = clocks.get_steady_s()
        answer, call = self._answer(request, began)
        reason = call.kind.value if call else "malformed"
        self._counters.add(
            "poplarspindle_requests_total", f"{reason}-{answer.status}"
        )
        took_s = clocks.get_steady_s() - began
        self._counters.observe("poplarspindle_call_seconds", reason, took_s)
        if (
            call is None
            or call.kind is not caller_calls.Kind.SHOW
            or answer.error
        ):
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
                version=self._shared_state.configuration.version
                if self._shared_state.configuration
                else 0,
            )
        response = self._platform.write_answer(answer)
        if self._shared_state.leaving:
            response = dataclasses.replace(
                response, headers=(*response.headers, ("Connection", "close"))
            )
        return response

    def _answer(
        self, request: http_server.Request, began: float
    ) -> tuple[caller_calls.Answer, caller_calls.Call | None]:
        configuration = self._shared_state.configuration
        if configuration is None:
            return _refuse(503, "No configuration was read yet."), None
        parsed = self._platform.read_call(request, configuration)
        if isinstance(parsed, outcomes.Failed):
            status = self._platform.refuse_call(parsed.reason)
            return caller_calls.Answer(status, error=parsed.detail), None
        call = parsed.value
        deadline = began + max(0.1, call.deadline_s - ANSWER_MARGIN_S)
        return _ANSWERS[call.kind](self, call, deadline), call

    def _submit(
        self, call: caller_calls.Call, deadline: float
    ) -> caller_calls.Answer:
        if shared_state.find_job(self._shared_state, call.job) is not None:
            return caller_calls.Answer(200)
        if not self._shared_state.loaded:
            return _refuse(503, "The log is not read yet.")
        job = dataclasses.replace(
            call.submission, accepted_ms=clocks.get_wall_ms()
        )
        refusal = self._find_refusal(call.queue, job)
        if refusal is not None:
            return self._refuse_unless_stored(job.job, refusal)
        return self._append_intake(
            records.encode_submission(job), job.job, deadline
        )

    def _find_refusal(
        self, queue: work.Queue, job: work.Submission
    ) -> caller_calls.Answer | None:
        """Returns the answer to a job for which there is no room."""
        retry_s = start_delay.find_retry_s(
            self._shared_state.start_delays,
            queue.priority,
            clocks.get_steady_s(),
        )
        if retry_s:
            return _refuse(429, "Work waits too long to be started.", retry_s)
        retry_s = self._admission_ledger.decide(
            self._shared_state.load,
            self._shared_state.loads_read,
            job,
            job.accepted_ms,
        )
        return _refuse(429, _REFUSALS[retry_s], retry_s) if retry_s else None

    def _refuse_unless_stored(
        self, job: str, refusal: caller_calls.Answer
    ) -> caller_calls.Answer:
        """Refuses a job, unless another node has stored it already.

        Its caller may have got no answer there; a refusal would say that the
        job never runs.
        """
        partition = records.choose_partition(job, self._platform.partitions)
        intake = self._read_unpublished(partition)
        if isinstance(intake, outcomes.Failed):
            return caller_calls.Answer(504, error=UNKNOWN_ERROR)
        if self._is_stored(job, intake):
            return caller_calls.Answer(200)
        return refusal

    def _is_stored(self, job: str, intake: _UnpublishedIntake) -> bool:
        key = f"{records.SUBMITTED}/{job}"
        return shared_state.find_job(
            self._shared_state, job
        ) is not None or any(
            record.key == key and record.value for record in intake.items
        )

    def _cancel(
        self, call: caller_calls.Call, deadline: float
    ) -> caller_calls.Answer:
        published_job = shared_state.find_job(self._shared_state, call.job)
        if published_job is None:
            absent = self._confirm_absent(call.job)
            if absent is not None:
                return absent
        elif published_job.state is job_store.State.CANCELLED:
            return caller_calls.Answer(200)
        record = records.encode_cancel(call.job)
        return self._append_intake(record, call.job, deadline)

    def _append_intake(
        self, record: records.Record, job: str, deadline: float
    ) -> caller_calls.Answer:
        published_offsets = self._shared_state.published_offsets
        if published_offsets and records.choose_partition(
            job, self._platform.partitions
        ) >= len(published_offsets):
            return _refuse(503, "The owner's version does not follow the part.")
        return _answer_entry(self._intake_writer.commit(record, deadline))

    def _show(
        self, call: caller_calls.Call, deadline: float
    ) -> caller_calls.Answer:
        published_job = shared_state.find_job(self._shared_state, call.job)
        if published_job is None:
            absent = self._confirm_absent(call.job)
            if absent is not None:
                return absent
            published_job = shared_state.find_job(self._shared_state, call.job)
        state = published_job.state if published_job else job_store.State.QUEUED
        return caller_calls.Answer(200, state=state.value)

    def _confirm_absent(self, job: str) -> caller_calls.Answer | None:
        """Reads on from where the owner told of hand-ins.

        Returns:
            The answer if a job surely isn't there or can't be looked for,
            None where it is there.
        """
        if not self._shared_state.loaded:
            return _refuse(503, "The log is not read yet.")
        partition = records.choose_partition(job, self._platform.partitions)
        intake = self._read_unpublished(partition)
        if isinstance(intake, outcomes.Failed):
            return _refuse(503, f"The log does not answer: {intake.reason}.")
        if self._is_stored(job, intake):
            return None
        if not self._shared_state.loaded:
            # States behind the offsets may have been lost meanwhile.
            return _refuse(503, "The log is not read yet.")
        _log.info(
            "absent",
            about="callers",
            job=job,
            hand_ins_part=partition,
            parts=self._platform.partitions,
            first=intake.first,
            end=intake.end,
            records=len(intake.items),
            owner_parts=len(self._shared_state.published_offsets),
            epoch=self._epoch(),
            heard_s=round(clocks.get_steady_s() - self._owner_seen_at(), 3),
            jobs=len(self._shared_state.published_jobs),
        )
        return caller_calls.Answer(410, error="There is no such job.")

    def _read_unpublished(
        self, partition: int
    ) -> _UnpublishedIntake | outcomes.Failed:
        """Reads the hand-ins of which the owner has not told, to the end."""
        store, topic = self._platform.store, self._platform.intake_topic
        published_offsets = self._shared_state.published_offsets
        if (
            published_offsets
            and len(published_offsets) != self._platform.partitions
        ):
            # Another version hands jobs in where this one does not look.
            return outcomes.Failed(outcomes.Step.READ, topic, "parts-differ")
        offset = published_offsets[partition] if published_offsets else 0
        page = store.read(topic, offset, 0, partition)
        if isinstance(page, outcomes.Failed):
            if page.reason != "expired":
                return page
            newest = storage.load_newest(store, topic, partition)
            if isinstance(newest, outcomes.Failed):
                return newest
            return _UnpublishedIntake(newest.value.items, -1, newest.value.end)
        if page.value.next < page.value.end:
            return outcomes.Failed(
                outcomes.Step.READ, topic, "not-read-to-its-end"
            )
        return _UnpublishedIntake(page.value.items, offset, page.value.end)

    def _count(
        self, call: caller_calls.Call, deadline: float
    ) -> caller_calls.Answer:
        if not self._shared_state.loaded:
            return _refuse(503, "The log is not read yet.")
        pending = shared_state.count_pending(
            self._shared_state, call.queue.name
        )
        if clocks.get_steady_s() - self._owner_seen_at() >= OWNER_TIMEOUT_S:
            unpublished = self._count_unpublished(call.queue.name)
            if isinstance(unpublished, outcomes.Failed):
                reason = f"The log does not answer: {unpublished.reason}."
                return _refuse(503, reason)
            pending += unpublished
        return caller_calls.Answer(200, pending=pending)

    def _count_unpublished(self, queue: str) -> int | outcomes.Failed:
        """Counts jobs that no owner has told of, while none is heard."""
        count = 0
        for partition in range(self._platform.partitions):
            intake = self._read_unpublished(partition)
            if isinstance(intake, outcomes.Failed):
                return intake
            for record in intake.items:
                kind, _, job = record.key.partition("/")
                if (
                    kind == records.SUBMITTED
                    and record.value
                    and shared_state.find_job(self._shared_state, job) is None
                ):
                    submission = records.decode_submission(job, record.value)
                    count += submission.queue.name == queue
        return count


_REFUSALS = {
    admission.LONG_RUNNING_RETRY_S: "No room for more that lasts.",
    admission.NEXT_LOAD_RETRY_S: "Room for more that lasts is not known yet.",
}
_ANSWERS = {
    caller_calls.Kind.SUBMIT: CallHandlers._submit,
    caller_calls.Kind.CANCEL: CallHandlers._cancel,
    caller_calls.Kind.SHOW: CallHandlers._show,
    caller_calls.Kind.COUNT: CallHandlers._count,
}


def _answer_entry(entry: group_commit.PendingRecord) -> caller_calls.Answer:
    if entry.appended:
        return caller_calls.Answer(200)
    if entry.may_have_acted or not entry.reason:
        return caller_calls.Answer(504, error=UNKNOWN_ERROR)
    return _refuse(503, f"The log refused: {entry.reason}.")


def _refuse(
    status: int, error: str, retry_s: int = RETRY_S
) -> caller_calls.Answer:
    return caller_calls.Answer(status, error=error, retry_s=retry_s)
