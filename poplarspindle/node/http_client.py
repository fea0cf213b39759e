"""Many HTTP calls at a time on one thread: libcurl on an asyncio loop.

The owner keeps a call open to each of hundreds of workers and sends them
hundreds of orders a second. With a thread a call, most of the processor goes
into switching between threads; here one thread carries all calls, and nothing
is decided on it, so a renewal of leases never waits for a decision.
"""

import asyncio
import collections
import dataclasses
import threading
import time
from collections.abc import Callable

import pycurl
import structlog

from poplarspindle import outcomes
from poplarspindle.node import call_deadlines, curl_handles, watched_sockets

MAX_IDLE_CONNECTIONS = 2500  # Idle connections kept; below the descriptors.
MAX_STARTS_PER_TURN = 16  # Calls begun before answers are looked at: a few ms.
MAX_TRIES = 3
LOOP_LAG_S = 0.1  # Timers on time fire within a few milliseconds.
LOG_INTERVAL_S = 1.0
# A kept connection turns out to be closed when a call is sent.
_SEND_FAILURES = frozenset({pycurl.E_SEND_ERROR, pycurl.E_SEND_FAIL_REWIND})
_EVENTS = {
    pycurl.POLL_IN: (True, False),
    pycurl.POLL_OUT: (False, True),
    pycurl.POLL_INOUT: (True, True),
}

_log = structlog.get_logger(part="exchange")


@dataclasses.dataclass(frozen=True, slots=True)
class Call:
    """One POST.

    Attributes:
        step: Step named in a failure.
        peer: Name of the peer, for a failure.
        url: Address and target.
        headers: Headers as `Name: value`.
        body: Body, at least one byte.
        timeout_s: Time for the answer.
    """

    step: outcomes.Step
    peer: str
    url: str
    headers: tuple[str, ...]
    body: bytes
    timeout_s: float


@dataclasses.dataclass(frozen=True, slots=True)
class Answer:
    """One HTTP answer, whatever its status."""

    status: int
    body: bytes


Outcome = outcomes.Ok[Answer] | outcomes.Failed
OutcomeCallback = Callable[[Outcome], None]


@dataclasses.dataclass(slots=True)
class _Transfer:
    """One call in flight.

    Attributes:
        call: The call.
        done: Takes its outcome.
        body_chunks: What came of the answer's body.
        started_at: When it began, monotonic seconds.
        tries: How often it began.
        deadline: Number of its entry among the deadlines.
    """

    call: Call
    done: OutcomeCallback
    body_chunks: list[bytes]
    started_at: float
    tries: int
    deadline: int


class HttpClient:
    """Calls peers over HTTP; all callbacks run on its one thread.

    Attributes:
        retries_after_lag: Calls begun anew since this thread let their time
            pass.
        retries_after_send_failure: Calls begun anew since their kept connection
            took no byte.
    """

    def __init__(self) -> None:
        self._loop = asyncio.new_event_loop()
        self._multi = pycurl.CurlMulti()
        self._multi.setopt(pycurl.M_SOCKETFUNCTION, self._watch_socket)
        self._multi.setopt(pycurl.M_TIMERFUNCTION, self._set_timer)
        self._multi.setopt(pycurl.M_MAXCONNECTS, MAX_IDLE_CONNECTIONS)
        self._libcurl_due_at = float("inf")
        self._deadlines = call_deadlines.CallDeadlines()
        # Wakes the loop at the earliest of these, or earlier.
        self._timer: asyncio.TimerHandle | None = None
        end_connection = watched_sockets.shut_down
        self._sockets = watched_sockets.WatchedSockets(end_connection)
        self._loop.add_reader(self._sockets.descriptor, self._read_answers)
        self._idle: list[pycurl.Curl] = []
        self._transfers: dict[pycurl.Curl, _Transfer] = {}
        self._pending: collections.deque[tuple[Call, OutcomeCallback, int]] = (
            collections.deque()
        )
        self._inbox: collections.deque[Callable[[], None]] = collections.deque()
        self._woken = False
        self._stopping = False
        self._logged_at = float("-inf")
        self.retries_after_lag = 0
        self.retries_after_send_failure = 0
        self._thread = threading.Thread(target=self._run, daemon=True)

    def start(self) -> None:
        """Starts the thread."""
        self._thread.start()

    def stop(self) -> None:
        """Ends the thread; calls in flight get no answer."""
        self.run_soon(self._close)

    def run_soon(self, work: Callable[[], None]) -> None:
        """Runs a function on the thread; may be called from any thread."""
        self._inbox.append(work)
        if not self._woken:
            self._woken = True
            try:
                self._loop.call_soon_threadsafe(self._run_inbox)
            except RuntimeError:  # The loop has ended.
                self._inbox.clear()

    def run_later(
        self, delay_s: float, work: Callable[[], None]
    ) -> asyncio.TimerHandle:
        """Runs a function later; may be called on the thread only."""
        return self._loop.call_later(delay_s, _guard, work)

    def send(self, call: Call, done: OutcomeCallback) -> None:
        """Makes a call; may be called on the thread only.

        Args:
            call: The call.
            done: Takes the answer, whatever its status, or the failure;
                `may_have_acted` is false only where nothing was sent.
        """
        self._enqueue(call, done, 1)

    def _enqueue(self, call: Call, done: OutcomeCallback, tries: int) -> None:
        self._pending.append((call, done, tries))
        if len(self._pending) == 1:
            self._loop.call_soon(self._start_pending)

    def _start_pending(self) -> None:
        """Begins some calls and sends them, then looks at answers again.

        Load pattern: hundreds of orders come at once; the first ones' answers
        are not to wait until all are begun.
        """
        if self._stopping:
            return
        # No call is sent where something waits that nobody asked for.
        self._sockets.poll(self._multi.socket_action)
        for _ in range(min(MAX_STARTS_PER_TURN, len(self._pending))):
            self._try_to_start(*self._pending.popleft())
        self._multi.socket_action(pycurl.SOCKET_TIMEOUT, 0)
        self._finish_transfers()
        self._move_timer()
        if self._pending:
            self._loop.call_soon(self._start_pending)

    def _try_to_start(
        self, call: Call, done: OutcomeCallback, tries: int
    ) -> None:
        """Begins a call; one that can't be made must not stop the others."""
        try:
            self._start_transfer(call, done, tries)
        except (ValueError, TypeError, OverflowError, pycurl.error) as error:
            _log.warning("not-made", peer=call.peer, why=repr(error)[:200])
            failure = _describe_failure(call, 0, repr(error)[:200], False)
            _guard(lambda: done(failure))

    def _start_transfer(
        self, call: Call, done: OutcomeCallback, tries: int
    ) -> None:
        handle = (
            self._idle.pop()
            if self._idle
            else curl_handles.make_handle(self._announce_socket)
        )
        body_chunks: list[bytes] = []
        curl_handles.prepare(
            handle,
            call.url,
            call.headers,
            call.body,
            call.timeout_s,
            body_chunks.append,
        )
        self._multi.add_handle(handle)
        now = time.monotonic()
        self._transfers[handle] = _Transfer(
            call,
            done,
            body_chunks,
            now,
            tries,
            self._deadlines.add(now + call.timeout_s, handle),
        )

    def _run(self) -> None:
        try:
            self._loop.run_forever()
        finally:
            self._loop.close()

    def _close(self) -> None:
        self._stopping = True
        for handle in self._transfers:
            self._multi.remove_handle(handle)
        self._transfers.clear()
        self._multi.close()
        self._loop.remove_reader(self._sockets.descriptor)
        self._sockets.close()
        self._loop.stop()

    def _run_inbox(self) -> None:
        self._woken = False
        while self._inbox:
            _guard(self._inbox.popleft())

    def _watch_socket(self, event: int, descriptor: int, *_: object) -> None:
        """Called by libcurl: which sockets it waits for."""
        if event in _EVENTS:
            self._sockets.watch(descriptor, *_EVENTS[event])
        else:
            self._sockets.stop_watching(descriptor)

    def _announce_socket(self, descriptor: int, _: int) -> int:
        """Called by libcurl for each new connection, before it connects."""
        self._sockets.announce(descriptor)
        return pycurl.SOCKOPT_OK

    def _set_timer(self, delay_ms: int) -> None:
        """Called by libcurl: when it wants to be called without an event."""
        self._libcurl_due_at = (
            time.monotonic() + delay_ms / 1000
            if delay_ms >= 0
            else float("inf")
        )

    def _move_timer(self) -> None:
        """Sets the loop's timer where it would run too late.

        One that runs too early costs less than one that is moved for each
        call, as most calls are over long before their time.
        """
        due_at = min(self._libcurl_due_at, self._deadlines.get_first())
        if self._timer is not None:
            if self._timer.when() <= due_at:
                return
            self._timer.cancel()
            self._timer = None
        if due_at < float("inf"):
            self._timer = self._loop.call_at(due_at, self._handle_timer)

    def _handle_timer(self) -> None:
        """Ends calls without an answer; what has arrived was read before.

        Load pattern: this thread is late, and answers that wait to be read
        would pass for silence of the peers.
        """
        self._timer = None
        if self._stopping:
            return
        now = time.monotonic()
        self._sockets.poll(self._multi.socket_action)
        if self._libcurl_due_at <= now:
            self._multi.socket_action(pycurl.SOCKET_TIMEOUT, 0)
        self._finish_transfers()
        for handle in self._deadlines.take_due(now):
            self._finish(handle, pycurl.E_OPERATION_TIMEDOUT, "no answer")
        self._move_timer()

    def _read_answers(self) -> None:
        """Lets libcurl read and write the sockets that are ready."""
        if self._stopping:
            return
        self._sockets.poll(self._multi.socket_action)
        self._finish_transfers()
        self._move_timer()

    def _finish_transfers(self) -> None:
        more = True
        while more:
            left, finished, failed = self._multi.info_read()
            more = left > 0
            for handle in finished:
                self._finish(handle, 0, "")
            for handle, code, text in failed:
                self._finish(handle, code, text)

    def _finish(self, handle: pycurl.Curl, code: int, text: str) -> None:
        transfer = self._transfers.pop(handle)
        self._deadlines.remove(transfer.deadline)
        self._multi.remove_handle(handle)
        sent = handle.getinfo(pycurl.REQUEST_SIZE) > 0
        status = handle.getinfo(pycurl.RESPONSE_CODE)
        self._idle.append(handle)
        call = transfer.call
        if not code:
            body = b"".join(transfer.body_chunks)
            outcome: Outcome = outcomes.Ok(Answer(status, body))
        elif not sent and self._may_begin_anew(transfer, code):
            self._enqueue(call, transfer.done, transfer.tries + 1)
            return
        else:
            outcome = _describe_failure(call, code, text, sent)
        _guard(lambda: transfer.done(outcome))

    def _may_begin_anew(self, transfer: _Transfer, code: int) -> bool:
        """Tells whether to begin a call anew of which nothing was sent."""
        if transfer.tries >= MAX_TRIES:
            return False
        if code not in _SEND_FAILURES:
            return self._loop_lagged(transfer, code)
        self.retries_after_send_failure += 1
        if self._may_log():
            _log.info(
                "not-sent",
                peer=transfer.call.peer,
                calls_begun_anew=self.retries_after_send_failure,
            )
        return True

    def _may_log(self) -> bool:
        """Tells whether the last line about calls begun anew is old enough."""
        now = time.monotonic()
        if now - self._logged_at < LOG_INTERVAL_S:
            return False
        self._logged_at = now
        return True

    def _loop_lagged(self, transfer: _Transfer, code: int) -> bool:
        """Tells whether this thread, not the peer, let a call's time pass.

        Load pattern: the machine turns slow, and calls run out of time before
        they are sent. Taken for workers out of reach, their tasks would be
        placed anew, which costs more of what is short.
        """
        if code != pycurl.E_OPERATION_TIMEDOUT:
            return False
        now = time.monotonic()
        # Nothing was sent, so the time to connect in may be what was over.
        allowed_s = min(transfer.call.timeout_s, curl_handles.CONNECT_MS / 1000)
        late_s = now - transfer.started_at - allowed_s
        if late_s < LOOP_LAG_S:
            return False
        self.retries_after_lag += 1
        if self._may_log():
            _log.warning(
                "late",
                late_s=round(late_s, 3),
                calls_begun_anew=self.retries_after_lag,
            )
        return True


def _describe_failure(
    call: Call, code: int, text: str, sent: bool
) -> outcomes.Failed:
    """Describes why a call got no answer."""
    if not sent:
        reason = "unreachable"
    elif code == pycurl.E_OPERATION_TIMEDOUT:
        reason = "timeout"
    else:
        reason = "broken"
    return outcomes.Failed(call.step, call.peer, reason, text, sent)


def _guard(work: Callable[[], None]) -> None:
    """Runs a callback; a defect in one must not end the others' thread."""
    try:
        work()
    except Exception as error:
        _log.exception("raised", why=repr(error))
