"""Stand-in of the platform's workers, with a ledger of all runs."""

import dataclasses
import hashlib
import itertools
import threading
import time
import urllib.parse

import msgpack

from poplarspindle import http_server, reports, resources
from poplarspindle.clients import transport, workers

USAGE_PERIOD_S = 5.0


@dataclasses.dataclass
class Run:
    """One line of the ledger: an attempt that really ran.

    Attributes:
        began: When it began, seconds on the stand-in's clock.
        until: When its lease runs out.
        ended: When it ended, None while it runs.
        cause: Why it ended.
    """

    task: str
    attempt: int
    worker: str
    data_centre: str
    term: int
    family: str
    need: resources.Resources
    began: float
    until: float
    worked_before_ms: int
    run_ms: int
    ended: float | None = None
    cause: str = ""
    speed: float = 1.0

    def worked_ms(self, now: float) -> int:
        """Returns the work done by a time, earlier attempts included."""
        end = now if self.ended is None else self.ended
        done = (end - self.began) * 1000 * self.speed
        return min(self.run_ms, self.worked_before_ms + int(done))


class FakeWorker:
    """One worker.

    Attributes:
        dead: Whether it answers nobody and runs nothing.
        cut: Whether it answers nobody but runs on.
        fails_all: Whether every task fails at once.
    """

    def __init__(self, member: reports.Member, ledger: list[Run]) -> None:
        self.member = member
        self.dead = False
        self.cut = False
        self.fails_all = False
        self._ledger = ledger
        self._highest_term = 0
        self._running: dict[tuple[str, int], Run] = {}
        self._ended: dict[tuple[str, int], reports.EndedTask] = {}
        self._seen: set[tuple[str, int]] = set()
        self._lock = threading.Lock()

    def kill(self, now: float | None = None) -> None:
        """Ends the worker and all that runs there, by default now."""
        now = time.monotonic() if now is None else now
        with self._lock:
            self.dead = True
            for run in list(self._running.values()):
                self._end(run, now, "killed")

    def advance(self, now: float) -> None:
        """Ends what finished or lapsed by `now`."""
        with self._lock:
            self._advance(now)

    def sync(self, sync: workers.Sync, now: float) -> reports.WorkerReport:
        """Carries out commands and reports."""
        with self._lock:
            self._advance(now)
            refusals = self._carry_out(sync, now)
            return self._report(now, refusals)

    def _advance(self, now: float) -> None:
        for run in list(self._running.values()):
            left = (run.run_ms - run.worked_before_ms) / 1000 / run.speed
            finish = run.began + max(0.0, left)
            if min(finish, run.until) > now:
                continue
            if finish <= run.until:
                self._end(run, finish, "finished")
            else:
                self._end(run, run.until, "lapsed")

    def _end(self, run: Run, at: float, cause: str) -> None:
        run.ended = at
        run.cause = cause
        del self._running[(run.task, run.attempt)]
        self._ended[(run.task, run.attempt)] = reports.EndedTask(
            run.task, run.attempt, cause, run.worked_ms(at)
        )

    def _carry_out(self, sync: workers.Sync, now: float) -> list[str]:
        if sync.term < self._highest_term:
            return ["stale-term"]
        self._highest_term = sync.term
        for acknowledged in sync.acknowledgements:
            key = (acknowledged.task, acknowledged.attempt)
            self._ended.pop(key, None)
        for renewal in sync.renewals:
            for key in zip(renewal.tasks, renewal.attempts, strict=True):
                if key in self._running:
                    run = self._running[key]
                    run.until = max(run.until, renewal.until_ms / 1000)
        for stop in sync.stops:
            run = self._running.get((stop.task, stop.attempt))
            if run is not None:
                self._end(run, now, "stopped")
        return [r for start in sync.starts for r in self._start(start, now)]

    def _start(self, start, now: float) -> list[str]:
        key = (start.task, start.attempt)
        if key in self._seen:
            return []
        self._seen.add(key)
        need = resources.Resources(
            start.millicores, start.memory_mb, start.accelerators
        )
        room = self.member.capacity
        for other in self._running.values():
            room = room - other.need
        reason = ""
        if now * 1000 > start.start_by_ms:
            reason = "late"
        elif not need.fits_in(room):
            reason = "no-room"
        if reason:
            self._ended[key] = reports.EndedTask(
                *key, "refused", start.checkpoint, reason
            )
            return [reason]
        run = Run(
            start.task,
            start.attempt,
            self.member.name,
            self.member.data_centre,
            start.term,
            start.family,
            need,
            now,
            start.until_ms / 1000,
            start.checkpoint,
            start.run_ms or 10**12,
        )
        self._ledger.append(run)
        self._running[key] = run
        if self.fails_all:
            self._end(run, now, "failed")
        return []

    def _report(self, now: float, refusals: list) -> reports.WorkerReport:
        return reports.WorkerReport(
            int(now * 1000),
            self._highest_term,
            tuple(
                reports.RunningTask(
                    r.task, r.attempt, r.term, r.worked_ms(now), r.family
                )
                for r in self._running.values()
            ),
            tuple(self._ended.values()),
            tuple(
                reports.UsageSample(
                    r.task,
                    r.attempt,
                    0,
                    r.need.millicores,
                    r.need.memory_mb,
                )
                for r in self._running.values()
            ),
            tuple(refusals),
        )


class FakeWorkers:
    """All workers behind one address.

    Attributes:
        ledger: Every attempt that really ran.
    """

    def __init__(self) -> None:
        self.ledger: list[Run] = []
        self.workers: dict[str, FakeWorker] = {}
        self._measured_at: dict[str, float] = {}

    def add(self, member: reports.Member) -> FakeWorker:
        """Adds a worker."""
        worker = FakeWorker(member, self.ledger)
        self.workers[member.name] = worker
        return worker

    def handle(self, request: http_server.Request) -> http_server.Response:
        """Serves `/sync`."""
        query = urllib.parse.parse_qs(request.query)
        worker = self.workers.get(query.get("worker", [""])[0])
        if request.path != "/sync" or worker is None:
            return http_server.Response(404)
        if worker.dead or worker.cut:
            return http_server.Response(503)
        answer = self._answer(worker, msgpack.unpackb(request.body))
        return http_server.Response(200, msgpack.packb(answer))

    def _answer(self, worker: FakeWorker, body: dict) -> dict:
        """Returns a report, short where the asker knows what runs."""
        sync = transport.converter.structure(body["sync"], workers.Sync)
        now = time.monotonic()
        report = transport.converter.unstructure(worker.sync(sync, now))
        version = _find_version(report["running"])
        name = worker.member.name
        if now - self._measured_at.get(name, 0) >= USAGE_PERIOD_S:
            self._measured_at[name] = now
        else:
            report["usage"] = []
        if version == body["known"]:
            report["running"] = None
        return {"version": version, "report": report}

    def advance(self) -> None:
        """Ends at all workers what finished or lapsed by now."""
        now = time.monotonic()
        for worker in self.workers.values():
            worker.advance(now)


def _find_version(running: list) -> str:
    """Returns a name of the set of running attempts and their terms."""
    keys = sorted((r["task"], r["attempt"], r["term"]) for r in running)
    return hashlib.blake2b(repr(keys).encode(), digest_size=8).hexdigest()


def find_overlaps(ledger: list[Run]) -> list[tuple[Run, Run]]:
    """Returns pairs of runs of one task that overlapped in time."""
    by_task: dict[str, list[Run]] = {}
    for run in ledger:
        by_task.setdefault(run.task, []).append(run)
    found = []
    for runs in by_task.values():
        runs.sort(key=lambda r: r.began)
        found += [
            (a, b)
            for a, b in itertools.pairwise(runs)
            if a.ended is None or a.ended > b.began
        ]
    return found


def find_repeats(ledger: list[Run]) -> list[Run]:
    """Returns runs of an attempt that ran before, or after a finish."""
    seen: set[tuple[str, int]] = set()
    finished: set[str] = set()
    found = []
    for run in sorted(ledger, key=lambda r: r.began):
        if (run.task, run.attempt) in seen or run.task in finished:
            found.append(run)
        seen.add((run.task, run.attempt))
        if run.cause == "finished":
            finished.add(run.task)
    return found


def find_overcommits(fakes: FakeWorkers) -> list[str]:
    """Returns workers that ever carried more than they offer."""
    found = []
    for name, worker in fakes.workers.items():
        runs = [r for r in fakes.ledger if r.worker == name]
        for run in runs:
            held = resources.ZERO
            for other in runs:
                ended = other.ended
                began = other.began <= run.began
                if began and (ended is None or ended > run.began):
                    held = held + other.need
            if not held.fits_in(worker.member.capacity):
                found.append(name)
                break
    return found
