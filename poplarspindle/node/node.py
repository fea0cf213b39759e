"""The node: one thread owns its state, threads around it do input, output."""

import dataclasses
import queue
import time
import uuid
from collections.abc import Callable

import structlog

from poplarspindle import metrics, outcomes, serving
from poplarspindle.fleet import (
    admission,
    book,
    effects,
    events,
    fleet,
    memory,
    owner,
    records,
    work,
)
from poplarspindle.node import (
    calls,
    commits,
    followers,
    owning,
    settings,
    standing,
    storage,
    threads,
    wishes,
)

CALLER_THREADS = 24
TICK_S = 0.05
BATCH_EVENTS = 200
FOLLOW_PAUSE_S = 0.15  # Each read is priced; states may be shown as late.
FRESH_S = 2.0
READY_FRESH_S = 3.0
LEAVE_ROTATION_S = 2.5
ANSWER_MARGIN_S = 0.15
RETRY_S = 1

_log = structlog.get_logger(part="node")


@dataclasses.dataclass(frozen=True)
class Platform:
    """What a node needs of the platform that it runs on.

    Attributes:
        store: The store.
        fleet_topic: Topic of the node's own records.
        operators_topic: Topic that operators write.
        workers_topic: Topic of the workers' entries.
        read_wish: Reads what operators write.
        read_worker: Reads a worker's entry.
        connect: Makes a client of a worker.
        read_call: Reads a caller's request.
        refuse_call: Returns the status of a request that is malformed.
        write_answer: Writes an answer to a caller.
        readiness_path: Path at which readiness is asked.
    """

    store: storage.Store
    fleet_topic: str
    operators_topic: str
    workers_topic: str
    read_wish: Callable[[records.Record], wishes.Wish | None]
    read_worker: Callable[[records.Record], work.Worker | None]
    connect: Callable
    read_call: Callable
    refuse_call: Callable[[str], int]
    write_answer: Callable[[calls.Answer], serving.Response]
    readiness_path: str


@dataclasses.dataclass(frozen=True, slots=True)
class _Reset:
    found: tuple[records.Record, ...]


@dataclasses.dataclass(frozen=True, slots=True)
class _Read:
    found: tuple[records.Record, ...]
    at_tail: bool
    mine: bool = False


class Node:
    """One node.

    Args:
        own_settings: Its settings.
        platform: What it runs on.
        counters: Its counters.
    """

    def __init__(
        self,
        own_settings: settings.Settings,
        platform: Platform,
        counters: metrics.Metrics,
    ) -> None:
        self._settings = own_settings
        self._platform = platform
        self._counters = counters
        self.incarnation = f"{own_settings.node}-{uuid.uuid4().hex[:8]}"
        self._events: queue.SimpleQueue = queue.SimpleQueue()
        self._book = book.Book()
        self._fleet: fleet.Fleet | None = None
        self._owning: owning.Owning | None = None
        self._loaded = False
        self._leaving = False
        self._load: admission.Load | None = None
        self._memory = b""
        self.configuration: work.Configuration | None = None
        self._out: frozenset[str] = frozenset()
        self._standing = standing.Standing(
            platform.store,
            self.incarnation,
            max(1000, own_settings.member_ttl_least_ms),
            _tell_wall_ms,
        )
        self._commits = commits.Commits(platform.store, self._take_committed)
        self._jobs = followers.Follower(
            platform.store,
            platform.fleet_topic,
            lambda found: self._events.put(_Reset(found)),
            lambda found, tail: self._events.put(_Read(found, tail)),
            lambda: 0.0 if self._standing.owning else FOLLOW_PAUSE_S,
        )
        self._operators = followers.Follower(
            platform.store,
            platform.operators_topic,
            self._reset_wishes,
            lambda found, _: self._take_wishes(found),
            lambda: 0.0,
        )
        self._servers = [
            serving.Server(
                own_settings.callers_address,
                self._handle,
                CALLER_THREADS,
                count=self._count_refused,
            ),
            serving.Server(
                own_settings.readiness_address, self._tell_readiness, 2
            ),
        ]

    def start(self) -> None:
        """Starts all threads and servers."""
        threads.start(self._run)
        self._commits.start()
        self._jobs.start()
        self._operators.start()
        self._standing.start()
        for server in self._servers:
            server.start()
        _log.info("started", incarnation=self.incarnation)

    def reload(self, read: Callable[[], settings.Settings]) -> None:
        """Takes changed settings over; bad ones are logged and not taken.

        Args:
            read: Reads the settings; raises OSError or ValueError.
        """
        try:
            found = read()
        except (OSError, ValueError) as error:
            _log.warning("settings-refused", why=str(error))
            return
        before, self._settings = self._settings, found
        if found == before:
            return
        changed = [
            field.name
            for field in dataclasses.fields(found)
            if getattr(found, field.name) != getattr(before, field.name)
        ]
        _log.info("reloaded", changed=changed)
        if found.store_address != before.store_address:
            self._platform.store.move(found.store_address)

    def stop(self) -> None:
        """Leaves rotation, hands ownership over, finishes what is answered."""
        _log.info("stopping", owning=self._standing.owning)
        self._leaving = True
        self._events.put(owning.Lost(0, "leaving"))
        self._standing.leave()
        time.sleep(min(LEAVE_ROTATION_S, self._settings.leave_s / 2))
        for server in self._servers:
            server.stop()
        _log.info("stopped")

    # State thread.

    def _run(self) -> None:
        while True:
            batch = self._next_events()
            try:
                self._take_batch(batch)
            except Exception:
                # Part of the batch is lost: the book is read anew.
                _log.exception("state-failed", events=len(batch))
                self._give_up_ownership("state-failed")
                self._loaded = self._standing.able = False
                self._jobs.reload()

    def _next_events(self) -> list:
        found = []
        try:
            timeout = TICK_S if self._fleet else None
            found.append(self._events.get(timeout=timeout))
            while len(found) < BATCH_EVENTS:
                found.append(self._events.get_nowait())
        except queue.Empty:
            pass
        return found

    def _take_batch(self, batch: list) -> None:
        for event in batch:
            self._take(event)
        if self._fleet is None:
            return
        if self._standing.resigned.is_set():
            self._give_up_ownership("not-chosen")
            return
        now, wall_ms = time.monotonic(), _tell_wall_ms()
        if now - self._ticked_at >= TICK_S:
            self._ticked_at = now
            self._reduce(events.Ticked(now, wall_ms))
            self._owning.keep_watches(self._fleet.hands)
        self._fleet.at, self._fleet.wall_ms = now, wall_ms
        self._carry_out(owner.settle(self._fleet))

    def _take(self, event: object) -> None:
        if isinstance(event, events.Ordered):
            self._counters.observe(
                "poplarspindle_order_seconds",
                type(event.order).__name__.lower(),
                event.at - event.sent_at,
            )
        if isinstance(event, _Reset):
            self._reset_book(event.found)
        elif isinstance(event, _Read):
            self._read_records(event)
        elif isinstance(event, owning.Lost):
            if self._fleet and event.epoch in (0, self._fleet.epoch):
                self._give_up_ownership(event.why)
        elif self._fleet is not None:
            self._reduce(event)
            if isinstance(event, events.WorkersListed):
                self._owning.keep_watches(self._fleet.hands)

    def _reduce(self, event: events.Event) -> None:
        self._carry_out(owner.reduce(self._fleet, event))

    def _carry_out(self, found: list) -> None:
        for effect in found:
            if isinstance(effect, effects.Note):
                self._counters.add(
                    "poplarspindle_fleet_total", f"{effect.part}-{effect.event}"
                )
                fields = dict(effect.fields)
                if effect.event == "placed" and "first_ms" in fields:
                    self._counters.observe(
                        "poplarspindle_first_start_seconds",
                        fields["queue"],
                        fields["first_ms"] / 1000,
                    )
                if effect.job:
                    fields["job"] = effect.job
                _log.info(effect.event, about=effect.part, **fields)
            else:
                self._owning.carry_out(effect)

    def _reset_book(self, found: tuple[records.Record, ...]) -> None:
        if self._fleet is not None:
            self._give_up_ownership("log-expired")
        self._loaded = False
        self._standing.able = False
        self._book = book.Book()
        # A job's other records need the job: it comes first.
        for kind in (records.SUBMITTED, records.CANCELLED, records.PROGRESS):
            for record in found:
                if record.key.startswith(f"{kind}/"):
                    self._apply(record)
        for record in found:
            if "/" not in record.key:
                self._apply(record)
        _log.info("loaded", records=len(found), jobs=len(self._book.jobs))

    def _read_records(self, event: _Read) -> None:
        for record in event.found:
            self._apply(record)
        if event.at_tail and not event.mine:
            self._loaded = True
            self._standing.able = self.configuration is not None

    def _apply(self, record: records.Record) -> None:
        kind, _, job = record.key.partition("/")
        try:
            if kind == records.SUBMITTED:
                self._apply_submission(job, record.value)
            elif kind == records.OWNER_KEY:
                self._read_owner(record)
            elif kind == admission.LOAD_KEY:
                self._load = admission.decode_load(record.value)
            elif kind == memory.MEMORY_KEY:
                self._memory = record.value
            elif kind == records.CANCELLED and record.value:
                self._apply_cancel(job)
            elif kind == records.PROGRESS and self._fleet is None:
                known = self._book.jobs.get(job)
                if known is not None and record.value:
                    records.apply_progress(known, record.value)
        except (ValueError, TypeError, KeyError, IndexError) as error:
            self._counters.add("poplarspindle_records_total", "malformed")
            _log.warning("malformed", key=record.key, why=repr(error))

    def _apply_submission(self, job: str, value: bytes) -> None:
        if not value:
            if self._fleet is None:
                self._book.jobs.pop(job, None)
            return
        if job in self._book.jobs:
            return
        submission = records.decode_submission(job, value)
        book.add_job(self._book, submission)
        if self._fleet is not None:
            self._reduce(events.JobRead(time.monotonic(), job))

    def _apply_cancel(self, job: str) -> None:
        known = self._book.jobs.get(job)
        if known is None:
            self._book.early_cancels.add(job)
            return
        if known.cancelled:
            return
        book.cancel_job(known)
        if self._fleet is not None:
            now = time.monotonic()
            self._reduce(events.CancelRead(now, _tell_wall_ms(), job))

    def _read_owner(self, record: records.Record) -> None:
        if not record.value:
            return
        found = records.decode_owner(record.value)
        if self._standing.owner and found.epoch < self._standing.owner.epoch:
            return
        self._standing.owner = found
        if found.instance == self.incarnation:
            if self._fleet is None and self._loaded and not self._leaving:
                self._become_owner(found)
        elif self._fleet is not None:
            self._give_up_ownership("other-owner")

    def _become_owner(self, found: records.Owner) -> None:
        now = time.monotonic()
        self._fleet = fleet.Fleet(
            self._book,
            self._settings.lease_most_ms,
            self._settings.early_ms,
            self._settings.keep_ended_s,
            self._settings.harm_ms,
        )
        self._ticked_at = now
        if self._memory:
            self._fleet.slowdown = memory.decode_memory(self._memory, now)
        self._standing.resigned.clear()
        self._standing.owning = True
        platform = self._platform
        self._owning = owning.Owning(
            platform.store,
            self._counters,
            platform.workers_topic,
            platform.read_worker,
            platform.connect,
            found.epoch,
            self._events.put,
            lambda: self._standing.store_ok_at,
            _tell_wall_ms,
            self._settings.lease_most_ms,
        )
        self._reduce(events.Claimed(now, _tell_wall_ms(), found.epoch))
        if self.configuration is not None:
            self._reduce(events.Configured(now, self.configuration, self._out))

    def _give_up_ownership(self, why: str) -> None:
        if self._fleet is None:
            return
        _log.info(
            "gave-up", about="ownership", why=why, epoch=self._fleet.epoch
        )
        self._fleet = None
        self._owning.stop()
        self._owning = None
        self._standing.owning = False
        self._standing.resigned.clear()
        self._standing.able = False
        self._loaded = False
        self._jobs.reload()

    # What operators write.

    def _reset_wishes(self, found: tuple[records.Record, ...]) -> None:
        self._out = frozenset()
        self._take_wishes(found)

    def _take_wishes(self, found: tuple[records.Record, ...]) -> None:
        for record in found:
            try:
                wish = self._platform.read_wish(record)
            except ValueError as error:
                _log.warning("malformed", key=record.key, why=str(error))
                continue
            if isinstance(wish, wishes.Configured):
                self._take_configuration(wish.configuration)
            elif isinstance(wish, wishes.DataCentreOut):
                change = {wish.data_centre}
                self._out = (
                    self._out | change if wish.out else self._out - change
                )
                _log.info("data-centre", name=wish.data_centre, out=wish.out)
        if found and self.configuration is not None:
            self._events.put(
                events.Configured(
                    time.monotonic(), self.configuration, self._out
                )
            )

    def _take_configuration(self, found: work.Configuration) -> None:
        if self.configuration and found.version <= self.configuration.version:
            return
        self.configuration = found
        self._standing.able = self._loaded
        _log.info("configured", version=found.version, queues=len(found.queues))

    # Callers.

    def _take_committed(self, found: list[records.Record]) -> None:
        self._events.put(_Read(tuple(found), False, True))

    def is_ready(self) -> bool:
        """Tells whether this node can take callers' work."""
        stale_s = time.monotonic() - self._jobs.fresh_at
        return (
            not self._leaving
            and self._loaded
            and self.configuration is not None
            and stale_s < READY_FRESH_S
        )

    def _tell_readiness(self, request: serving.Request) -> serving.Response:
        if request.path == self._platform.readiness_path:
            return serving.Response(200 if self.is_ready() else 503)
        if request.path == "/metrics":
            return serving.Response(200, self._counters.render())
        return serving.Response(404)

    def _count_refused(self, reason: str) -> None:
        self._counters.add("poplarspindle_refusals_total", reason)

    def _handle(self, request: serving.Request) -> serving.Response:
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
                version=self.configuration.version if self.configuration else 0,
            )
        response = self._platform.write_answer(answer)
        if self._leaving:
            response = dataclasses.replace(
                response, headers=(*response.headers, ("Connection", "close"))
            )
        return response

    def _answer(
        self, request: serving.Request, began: float
    ) -> tuple[calls.Answer, calls.Call | None]:
        configuration = self.configuration
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
        if call.job in self._book.jobs:
            return calls.Answer(200)
        if not self._loaded:
            return _refuse(503, "The log is not read yet.")
        job = dataclasses.replace(call.submission, accepted_ms=_tell_wall_ms())
        retry_s = admission.find_retry_s(self._load, job, job.accepted_ms)
        if retry_s:
            return calls.Answer(
                429, error="No room for more that lasts.", retry_s=retry_s
            )
        entry = self._commits.commit(records.encode_submission(job), deadline)
        return _answer_entry(entry)

    def _cancel(self, call: calls.Call, deadline: float) -> calls.Answer:
        known = self._book.jobs.get(call.job)
        if known is None:
            absent = self._confirm_absent(call.job)
            if absent is not None:
                return absent
        if known is not None and known.cancelled:
            return calls.Answer(200)
        entry = self._commits.commit(records.encode_cancel(call.job), deadline)
        return _answer_entry(entry)

    def _show(self, call: calls.Call, deadline: float) -> calls.Answer:
        known = self._book.jobs.get(call.job)
        if known is None:
            absent = self._confirm_absent(call.job)
            if absent is not None:
                return absent
            known = self._book.jobs.get(call.job)
        state = known.shown if known else book.State.QUEUED
        return calls.Answer(200, state=state.value)

    def _confirm_absent(self, job: str) -> calls.Answer | None:
        """Reads to the log's tail; returns the answer if a job isn't there."""
        if not self._loaded or self._jobs.next < 0:
            return _refuse(503, "The log is not read yet.")
        topic = self._platform.fleet_topic
        page = self._platform.store.read(topic, self._jobs.next, 0)
        if isinstance(page, outcomes.Failed):
            return _refuse(503, "The log does not answer.")
        key = f"{records.SUBMITTED}/{job}"
        if job in self._book.jobs or any(
            record.key == key for record in page.value.found
        ):
            return None
        return calls.Answer(410, error="There is no such job.")

    def _count(self, call: calls.Call, deadline: float) -> calls.Answer:
        if not self._loaded:
            return _refuse(503, "The log is not read yet.")
        jobs = list(self._book.jobs.values())
        pending = sum(
            job.shown is book.State.QUEUED
            and job.submission.queue.name == call.queue.name
            for job in jobs
        )
        return calls.Answer(200, pending=pending)


_ANSWERS = {
    calls.Kind.SUBMIT: Node._submit,
    calls.Kind.CANCEL: Node._cancel,
    calls.Kind.SHOW: Node._show,
    calls.Kind.COUNT: Node._count,
}


def _answer_entry(entry: commits.Entry) -> calls.Answer:
    if entry.appended:
        return calls.Answer(200)
    if entry.may_have_acted or not entry.reason:
        return calls.Answer(504, error="It is not known whether it was stored.")
    return _refuse(503, f"The log refused: {entry.reason}.")


def _refuse(status: int, error: str) -> calls.Answer:
    return calls.Answer(status, error=error, retry_s=RETRY_S)


def _tell_wall_ms() -> int:
    return int(time.time() * 1000)
