"""The scheduler: follows the log, owns data centres, places tasks.

One thread owns the state: it takes events from a queue, reduces them and
hands the effects to the appender and to the threads that sync workers.
"""

import concurrent.futures
import dataclasses
import json
import queue
import random
import threading
import time
import urllib.parse
import uuid
from collections.abc import Callable

from poplarspindle import (
    append_buffer,
    appender,
    cells,
    effects,
    events,
    explain,
    follower,
    http_server,
    log,
    messages,
    metrics,
    operators,
    outcomes,
    ownership,
    peers,
    programs,
    queries,
    records,
    reducer,
    reports,
    scheduler_state,
    settings,
    snapshots,
)
from poplarspindle.clients import logservice, members, transport, workers

SYNC_THREADS = 8
HTTP_THREADS = 4
JOIN_S = 5.0
ASK_S = 2.0
SEED_BITS = 32

logger = log.get_logger("scheduler")


@dataclasses.dataclass(frozen=True, slots=True)
class _Question:
    """A question, answered by the thread that owns the state.

    Attributes:
        ask: Makes the answer of the state and the time.
        answers: Takes the answer.
    """

    ask: Callable[[scheduler_state.SchedulerState, float], object]
    answers: queue.SimpleQueue = dataclasses.field(
        default_factory=queue.SimpleQueue
    )


class Scheduler:
    """One scheduler process.

    Args:
        values: Checked settings.
    """

    def __init__(self, values: settings.Values) -> None:
        self.values = values
        self.incarnation = values.incarnation or f"s-{uuid.uuid4().hex[:12]}"
        self.metrics = metrics.Metrics()
        self.state = scheduler_state.SchedulerState(
            self.incarnation,
            scheduler_state.Limits(
                values.lease_s,
                values.task_lease_s,
                values.hold_s,
                values.fresh_s,
                values.policy,
                values.attempts,
                values.retry_s,
                standbys=values.standbys,
                starve_s=values.starve_s,
                protect_s=values.protect_s,
                patience_s=values.patience_s,
                fill_s=values.fill_s,
                drain_rate=values.drain_rate,
                drain_grace_s=values.drain_grace_s,
                snapshot_appends=values.snapshot_appends,
                snapshot_age_s=values.snapshot_age_s,
            ),
            values.team_secret,
        )
        self._rng = random.Random(self.incarnation)
        self._calls = transport.Transport(values.platform_timeout_s)
        self._workers = workers.Client(self._calls)
        service = logservice.LogService(values.log_url, self._calls)
        self._list = members.InstanceList(values.list_url, self._calls)
        self._events: queue.SimpleQueue = queue.SimpleQueue()
        self._outbox: dict[tuple[str, str], list] = {}
        self._syncing: set[tuple[str, str]] = set()
        self._synced_at: dict[tuple[str, str], float] = {}
        self._stopping = threading.Event()
        self.paused = threading.Event()
        seed = self._rng.getrandbits(SEED_BITS)
        self.appender = appender.Appender(
            service,
            self.metrics,
            appender.read_bounds(values),
            append_buffer.list_lifetimes(values.lease_s, values.lease_s),
            seed,
        )
        self._follower = follower.Follower(
            service,
            self._list_streams,
            self._events.put,
            self.metrics,
            seed,
            snapshots.make_opener(values.team_secret),
        )
        self._server = http_server.Server(
            values.address, self._handle, HTTP_THREADS
        )
        self._peers = peers.Server(
            values.peer_address,
            {messages.JobQuery: self._take_job_query},
            self.metrics,
            values.peer_threads,
        )
        self.peer_address = ""
        self._pool = concurrent.futures.ThreadPoolExecutor(SYNC_THREADS)
        self._threads = [
            threading.Thread(target=target, daemon=True)
            for target in (self._run_loop, self._run_clock, self._run_list)
        ]
        self.address = ""

    @property
    def document(self):
        """The operators' document as reduced so far."""
        return self.state.document

    def start(self) -> None:
        """Starts all threads and announces this instance."""
        self.address = self._server.start()
        self.peer_address = self._peers.start()
        self._announce(reports.Presence.LIVE)
        self.appender.start()
        self._follower.start()
        for thread in self._threads:
            thread.start()
        if not self.values.team_secret:
            logger.warning("No team secret is set: anybody may sign.")
        logger.info("Started.", incarnation=self.incarnation)

    def stop(self) -> None:
        """Stops gracefully: gives its data centres up first."""
        self._announce(reports.Presence.LEAVING)
        self._events.put(events.LeaveRequested(time.monotonic()))
        self._drain_events()
        self._wait_released()
        self.appender.close(JOIN_S)
        self.kill()
        logger.info("Stopped.")

    def kill(self) -> None:
        """Ends at once, as a crash does: nothing is handed back."""
        self._stopping.set()
        self._follower.stop()
        self._events.put(None)
        self._threads[0].join(JOIN_S)
        self._pool.shutdown(wait=False, cancel_futures=True)
        self._peers.stop()
        self._server.stop()

    def _drain_events(self) -> None:
        """Waits until the loop has reduced all that was queued before."""
        reached = threading.Event()
        self._events.put(reached)
        reached.wait(JOIN_S)

    def _wait_released(self) -> None:
        """Waits, at most a lease, until it owns nothing any more."""
        deadline = time.monotonic() + self.values.lease_s
        while self._owns_any() and time.monotonic() < deadline:
            self._stopping.wait(self.values.tick_s)

    def _owns_any(self) -> bool:
        return any(
            cell.table.owner == self.incarnation
            for cell in list(self.state.cells.values())
        )

    def _announce(self, presence: reports.Presence) -> None:
        member = reports.Member(
            self.incarnation,
            reports.Role.SCHEDULER,
            self.values.data_centre,
            address=self.address,
            peer_address=self.peer_address,
            presence=presence,
        )
        if isinstance(self._list.announce(member), outcomes.Failed):
            logger.warning("The instance list did not answer.")

    def _list_streams(self) -> list[str]:
        names = ownership.list_followed_data_centres(self.state)
        streams = [cells.name_stream(name) for name in names]
        return [records.DOCUMENT_STREAM, *streams]

    def _run_loop(self) -> None:
        while True:
            event = self._events.get()
            while self.paused.is_set() and not self._stopping.is_set():
                self._stopping.wait(0.01)
            if event is None or self._stopping.is_set():
                return
            if isinstance(event, threading.Event):
                event.set()
                continue
            if isinstance(event, _Question):
                event.answers.put(event.ask(self.state, time.monotonic()))
                continue
            for effect in reducer.reduce(self.state, event):
                self._carry_out(effect)
            if isinstance(event, events.Ticked):
                self._sync_due(event.at)

    def _take_job_query(
        self, query: messages.JobQuery, deadline: float
    ) -> messages.Message:
        """Has the loop answer a question on a job."""
        found = self._ask_loop(
            lambda state, at: queries.describe_job(state, query, at),
            max(0.0, deadline - time.monotonic()),
        )
        return found or messages.Refused("scheduler-busy")

    def _ask_loop(self, ask: Callable, wait_s: float) -> object | None:
        """Has the loop answer a question; None where it is too busy."""
        question = _Question(ask)
        self._events.put(question)
        try:
            return question.answers.get(timeout=wait_s)
        except queue.Empty:
            return None

    def _carry_out(self, effect: effects.Effect) -> None:
        match effect:
            case effects.Append():
                self.appender.add(effect.stream, effect.record)
            case effects.Count():
                self.metrics.add(effect.name, effect.reason, effect.amount)
            case effects.LogLine():
                log.get_logger(effect.part).info(
                    effect.text, subject=effect.subject
                )
            case _:
                key = (effect.data_centre, effect.worker)
                self._outbox.setdefault(key, []).append(effect)

    def _sync_due(self, now: float) -> None:
        """Syncs the workers that have commands waiting or are due."""
        for name, cell in self.state.cells.items():
            if cell.table.owner != self.incarnation:
                continue
            for worker in cell.view.workers.values():
                key = (name, worker.member.name)
                due = now - self._synced_at.get(key, 0) >= self.values.sync_s
                waiting = key in self._outbox
                if key not in self._syncing and (due or waiting):
                    self._synced_at[key] = now
                    self._syncing.add(key)
                    sync = workers.make_sync(
                        self._outbox.pop(key, []), cell.table.term
                    )
                    self._pool.submit(self._sync, name, worker.member, sync)

    def _sync(self, data_centre, member, sync) -> None:
        sent_at = time.monotonic()
        answer = self._workers.sync(member.address, member.name, sync)
        now = time.monotonic()
        self._syncing.discard((data_centre, member.name))
        match answer:
            case outcomes.Ok(report):
                event = events.WorkerSynced(
                    now, data_centre, member.name, sent_at, report
                )
            case outcomes.Failed():
                event = events.WorkerUnreachable(
                    now, data_centre, member.name, answer.reason
                )
        self._events.put(event)

    def _run_clock(self) -> None:
        while not self._stopping.wait(self.values.tick_s):
            seed = self._rng.getrandbits(SEED_BITS)
            self._events.put(events.Ticked(time.monotonic(), seed))

    def _run_list(self) -> None:
        while not self._stopping.is_set():
            match self._list.fetch():
                case outcomes.Ok(found):
                    self._events.put(
                        events.InstancesListed(time.monotonic(), found)
                    )
                case outcomes.Failed() as failed:
                    self.metrics.add(
                        "poplarspindle_platform_failures_total",
                        f"list-{failed.reason}",
                    )
            self._stopping.wait(self.values.list_s)

    def _handle(self, request: http_server.Request) -> http_server.Response:
        match request.path:
            case "/healthz":
                return http_server.Response(200, b"ok")
            case "/readyz":
                leaving = self.state.leaving
                return http_server.Response(503 if leaving else 200)
            case "/metrics":
                return http_server.Response(200, self.metrics.render())
            case "/v1/status":
                body = json.dumps(self._describe()).encode()
                return http_server.Response(
                    200, body, content_type="application/json"
                )
            case "/v1/explain":
                return self._explain(request)
        if request.path.startswith(operators.CHANGES_PATH):
            return self._serve_decision(
                request.path.removeprefix(operators.CHANGES_PATH)
            )
        return http_server.Response(404)

    def _explain(self, request: http_server.Request) -> http_server.Response:
        """Answers `?subject=NAME` with sentences."""
        query = urllib.parse.parse_qs(request.query)
        subject = query.get("subject", [""])[0]
        found = self._ask_loop(
            lambda state, at: explain.explain(state, subject, at), ASK_S
        )
        if found is None:
            return http_server.Response(503)
        body = json.dumps(dataclasses.asdict(found)).encode()
        return http_server.Response(
            200 if found.found else 404, body, content_type="application/json"
        )

    def _serve_decision(self, change_id: str) -> http_server.Response:
        """Serves the verdict on a change to operators without the secret."""
        found = self.state.document.find_decision(change_id)
        if found is None:
            return http_server.Response(404)
        return http_server.Response(
            200,
            operators.encode_decision(found),
            content_type="application/json",
        )

    def _describe(self) -> dict:
        """Describes the data centres for `ctl status`."""
        return {
            "incarnation": self.incarnation,
            "lost": sorted(self.state.lost_streams),
            "document_offset": self.state.document.offset,
            "data_centres": {
                name: {
                    "owner": cell.table.owner,
                    "term": cell.table.term,
                    "in_service": self.state.document.is_in_service(name),
                    "queued": len(cell.table.queue),
                    "held": sum(len(h) for h in cell.table.held.values()),
                    "workers": len(cell.view.workers),
                }
                for name, cell in list(self.state.cells.items())
            },
        }


def run(values: settings.Values) -> int:
    """Runs a scheduler until SIGTERM or SIGINT."""
    log.set_up(values.log_format, values.log_level)
    process = Scheduler(settings.name_incarnation(values, "scheduler"))
    return programs.run_until_stopped(process.start, process.stop)


def main() -> None:
    """Runs `poplarspindle-scheduler`."""
    settings.run_command(settings.SCHEDULER, "Places and watches tasks.", run)


if __name__ == "__main__":
    main()
