"""Runs the whole path in one process and checks the promises.

The stand-ins do the checking: their ledgers say what really ran.
"""

import collections
import concurrent.futures
import dataclasses
import json
import sys
import threading
import time
import uuid

import defopt
import hdrh.histogram
import urllib3

import poplarspindle
from poplarspindle import (
    document,
    entry,
    log,
    records,
    reports,
    scheduler,
    settings,
)
from poplarspindle.platform import logservice, transport
from poplarspindle.tools.fakes import minions, platform, workers

SECRET = "demo"
REQUESTS = 600
CALLERS = 12
JOBS = 120
DEADLINE_MS = 1500
WAIT_S = 20.0
GRACE_S = 3.0

SECTIONS = (
    (
        "platform",
        "operations",
        "[data_centres.ourthe]\n[data_centres.semois]\n[data_centres.lesse]\n",
    ),
    (
        "quotes",
        "treks",
        "[services.quotes]\nreplicas = 3\nprocessors = 2\n"
        "[services.bookings]\nreplicas = 1\nexclusive = true\n",
    ),
    (
        "batch",
        "rosters",
        "[families.rosters]\nprocessors = 2\nmemory_gb = 4\nrun_s = 1.0\n"
        "[families.impossible]\nprocessors = 500\n",
    ),
)


@dataclasses.dataclass(frozen=True)
class Told:
    """What one caller was told."""

    request: str
    idempotent: bool
    outcome: str
    right: bool
    took_ms: float


class Demo:
    """One run of the demonstration.

    Args:
        executes_twice: Plants a break: a minion runs every request twice.
        quiet: Whether to print no progress.
    """

    def __init__(self, executes_twice: bool, quiet: bool) -> None:
        self.quiet = quiet
        self.fake = platform.Platform(platform.Plan())
        self.url = self.fake.start()
        self.fake.minions[0].executes_twice = executes_twice
        self.told: list[Told] = []
        self.went_out_at = 0.0
        self.came_in_at = 0.0
        self._calls = transport.Transport(2.0)
        self._log = logservice.LogService(self.url, self._calls)
        self._http = urllib3.PoolManager(maxsize=CALLERS, retries=False)

    def say(self, text: str) -> None:
        """Prints progress."""
        if not self.quiet:
            print(text, flush=True)

    def run(self) -> dict:
        """Runs all parts and returns the figures."""
        self.say("Starting two schedulers and two entries.")
        self.schedulers = [self._make_scheduler(i) for i in range(2)]
        self.entries = [self._make_entry(i) for i in range(2)]
        for process in (*self.schedulers, *self.entries):
            process.start()
        self.say("Publishing three sections.")
        for section, team, text in SECTIONS:
            self._publish(section, team, text)
        self._wait("owners", self._all_owned)
        self._wait(
            "document", lambda: len(self.entries[0].document.sections) == 3
        )
        self.say(f"Submitting {JOBS} jobs and {REQUESTS} requests.")
        self._submit_jobs()
        caller = threading.Thread(target=self._call_all)
        caller.start()
        self._wait("starts", lambda: len(self.fake.workers.ledger) > 10)
        self.say("Taking lesse out, killing the owner of ourthe.")
        self._set_centre("lesse", False, 0)
        self.went_out_at = time.monotonic()
        self._kill_owner("ourthe")
        self._wait("drain", self._is_drained)
        self._wait("grace", self._grace_passed)
        self.came_in_at = time.monotonic()
        self._set_centre("lesse", True, 1)
        self.say("Lesse is back. Waiting for the batch work.")
        self._wait("batch", self._batch_done)
        caller.join()
        for process in (*self.entries, *self.schedulers):
            if process is not self.killed:
                process.stop()
        self.fake.stop()
        return self._report()

    def _make_scheduler(self, index: int) -> scheduler.Scheduler:
        return scheduler.Scheduler(
            settings.make_values(
                settings.SCHEDULER,
                log_url=self.url,
                list_url=self.url,
                incarnation=f"scheduler-{index}",
                team_secret=SECRET,
                lease_s=2.0,
                task_lease_s=2.0,
                sync_s=0.3,
                list_s=0.3,
                hold_s=3.0,
            )
        )

    def _make_entry(self, index: int) -> entry.Entry:
        return entry.Entry(
            settings.make_values(
                settings.ENTRY,
                log_url=self.url,
                list_url=self.url,
                incarnation=f"entry-{index}",
                team_secret=SECRET,
                list_s=0.3,
                entries=2,
                leave_s=0.2,
            )
        )

    def _append(self, change, team: str) -> None:
        signed = document.sign_change(change, document.derive_key(SECRET, team))
        self._log.append(
            records.DOCUMENT_STREAM, records.encode_batch((signed,))
        )

    def _publish(self, section: str, team: str, text: str) -> None:
        self._append(
            records.SectionPublished(
                uuid.uuid4().hex, section, 0, team, "demo", text
            ),
            team,
        )

    def _set_centre(self, name: str, in_service: bool, base: int) -> None:
        self._append(
            records.DataCentreSet(
                uuid.uuid4().hex, name, in_service, base, "operations", "demo"
            ),
            "operations",
        )

    def _wait(self, what: str, condition) -> None:
        deadline = time.monotonic() + WAIT_S
        while not condition():
            if time.monotonic() > deadline:
                self.say(f"Gave up waiting for {what}.")
                return
            time.sleep(0.05)

    def _all_owned(self) -> bool:
        table = self.schedulers[0].state.cells
        return len(table) == 3 and all(c.table.owner for c in table.values())

    def _kill_owner(self, name: str) -> None:
        owner = self.schedulers[0].state.cells[name].table.owner
        self.killed = next(s for s in self.schedulers if s.incarnation == owner)
        self.killed.kill()

    def _survivor(self) -> scheduler.Scheduler:
        return next(s for s in self.schedulers if s is not self.killed)

    def _is_drained(self) -> bool:
        cell = self._survivor().state.cells["lesse"]
        return not cell.table.held and not cell.table.queue

    def _grace_passed(self) -> bool:
        return time.monotonic() > self.went_out_at + GRACE_S + 1.0

    def _submit_jobs(self) -> None:
        for index in range(JOBS):
            family = "impossible" if index % 40 == 39 else "rosters"
            body = {"job": f"job-{index}", "family": family, "tasks": 1}
            address = self.entries[index % 2].address
            self._http.request(
                "POST", f"http://{address}/v1/jobs", body=json.dumps(body)
            )

    def _batch_done(self) -> bool:
        done = {
            r.task for r in self.fake.workers.ledger if r.cause == "finished"
        }
        return len(done) >= JOBS - JOBS // 40

    def _call_all(self) -> None:
        with concurrent.futures.ThreadPoolExecutor(CALLERS) as pool:
            for index in range(REQUESTS):
                pool.submit(self._call, index)
                if index == REQUESTS // 4:
                    self.fake.minions[1].failing = True
                    self.fake.minions[2].silent = True
                    self.fake.set_presence("minion-3", reports.Presence.LEAVING)

    def _call(self, index: int) -> None:
        idempotent = index % 3 != 0
        address = self.entries[index % 2].address
        body = f"trek {index}".encode()
        began = time.monotonic()
        answer = self._http.request(
            "POST",
            f"http://{address}/v1/services/quotes/requests",
            body=body,
            headers={
                "Idempotent": "true" if idempotent else "false",
                "Deadline-Ms": str(DEADLINE_MS),
            },
        )
        name = answer.headers.get("Request-Id", "")
        self.told.append(
            Told(
                name,
                idempotent,
                answer.headers.get("Outcome", ""),
                answer.data == minions.compute_answer(name, body),
                (time.monotonic() - began) * 1000,
            )
        )

    def _report(self) -> dict:
        ledger = self.fake.workers.ledger
        ran = collections.Counter(e.request for e in self.fake.executions)
        outcomes = collections.Counter(t.outcome for t in self.told)
        histogram = hdrh.histogram.HdrHistogram(1, 60_000_000, 3)
        for told in self.told:
            histogram.record_value(int(told.took_ms * 1000))
        out = (self.went_out_at + GRACE_S, self.came_in_at)
        return {
            "requests": len(self.told),
            "answered": outcomes["answered"],
            "not_run": outcomes["not-run"],
            "unknown": outcomes["unknown"],
            "executed_twice": sum(
                ran[t.request] > 1 for t in self.told if not t.idempotent
            ),
            "not_run_but_ran": sum(
                ran[t.request] > 0 for t in self.told if t.outcome == "not-run"
            ),
            "wrong_answers": sum(
                not t.right for t in self.told if t.outcome == "answered"
            ),
            "overcommits": len(workers.find_overcommits(self.fake.workers)),
            "tasks_in_two_places": len(workers.find_overlaps(ledger)),
            "repeated_attempts": len(workers.find_repeats(ledger)),
            "starts_while_out": sum(
                r.data_centre == "lesse" and out[0] < r.began < out[1]
                for r in ledger
            ),
            "evicted": sum(r.cause == "stopped" for r in ledger),
            "resumed": sum(r.attempt > 0 for r in ledger),
            "batch_done": len(
                {r.task for r in ledger if r.cause == "finished"}
            ),
            "p50_ms": histogram.get_value_at_percentile(50) / 1000,
            "p99_ms": histogram.get_value_at_percentile(99) / 1000,
            "p999_ms": histogram.get_value_at_percentile(99.9) / 1000,
        }


VIOLATIONS = (
    "executed_twice",
    "not_run_but_ran",
    "wrong_answers",
    "overcommits",
    "tasks_in_two_places",
    "repeated_attempts",
    "starts_while_out",
)


def run_demo(*, as_json: bool = False, executes_twice: bool = False) -> int:
    """Runs the whole path in one process and checks the promises.

    Args:
        as_json: Print the figures as one JSON object.
        executes_twice: Plant a break: a minion runs every request twice.
    """
    log.set_up("text", "warning")
    figures = Demo(executes_twice, quiet=as_json).run()
    if as_json:
        print(json.dumps(figures))
    else:
        for name, value in figures.items():
            print(f"{name:>22}  {value}")
    broken = [name for name in VIOLATIONS if figures[name]]
    complete = figures["batch_done"] >= JOBS - JOBS // 40
    return 0 if not broken and complete else 1


def main() -> None:
    """Runs the demo."""
    argv = ["--as-json" if a == "--json" else a for a in sys.argv[1:]]
    sys.exit(defopt.run(run_demo, argv=argv, version=poplarspindle.__version__))


if __name__ == "__main__":
    main()
