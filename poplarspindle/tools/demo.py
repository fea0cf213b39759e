"""Runs the whole path in one process and checks the promises.

Stand-ins of the platform, two schedulers and two entries run as threads on
loopback. While callers and jobs arrive, minions fail, a data centre leaves
and returns, its owner is killed, and an entry is replaced.
"""

import collections
import concurrent.futures
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
from poplarspindle.clients import logservice, transport
from poplarspindle.tools import promises
from poplarspindle.tools.fakes import minions, platform

SECRET = "demo"
REQUESTS = 1200
CALLERS = 8
JOBS = 120
IMPOSSIBLE_EVERY = 40
POSSIBLE_JOBS = JOBS - JOBS // IMPOSSIBLE_EVERY
DEADLINE_MS = 1000
WAIT_S = 20.0
POLL_S = 0.02
OUT_S = 5.0
STARTS_BEFORE_OUT = 10
CALL_GAP_S = 0.04

SECTIONS = (
    (
        "platform",
        "operations",
        "[data_centres.ourthe]\n[data_centres.semois]\n[data_centres.lesse]\n",
    ),
    (
        "treks",
        "bookings",
        "[services.quotes]\nreplicas = 3\nprocessors = 2\n"
        "[services.bookings]\nreplicas = 1\nexclusive = true\n",
    ),
    (
        "rosters",
        "rosters",
        "[families.rosters]\nprocessors = 2\nmemory_gb = 4\nrun_s = 4.0\n"
        "[families.crews]\nprocessors = 2\nrun_s = 4.0\nexclusive = true\n"
        "[families.impossible]\nprocessors = 500\n",
    ),
)


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
        self.told: list[promises.Told] = []
        self.outages: list[promises.Outage] = []
        self.changes: list[promises.Change] = []
        self.leaving_since: dict[str, float] = {}
        self.missed: list[str] = []
        self.schedulers: list[scheduler.Scheduler] = []
        self.entries: list[entry.Entry] = []
        self.ready: list[entry.Entry] = []
        self._log = logservice.LogService(
            self.url, transport.Transport(timeout_s=2.0)
        )
        self._http = urllib3.PoolManager(maxsize=CALLERS, retries=False)

    def say(self, text: str) -> None:
        """Prints progress."""
        if not self.quiet:
            print(f"- {text}", flush=True)

    def run(self) -> dict:
        """Runs all parts and returns the figures."""
        self.say("Starting two schedulers and two entries.")
        self._start_instances()
        self.say("Publishing three sections by different teams.")
        for section, team, text in SECTIONS:
            self._publish(section, team, text)
        self._wait("owners of three data centres", self._all_owned)
        self.say(f"Sending {REQUESTS} requests and {JOBS} jobs.")
        callers = threading.Thread(target=self._call_all)
        callers.start()
        self._submit_jobs()
        self._wait("tasks in every data centre", self._all_working)
        self._break_minions()
        self._take_centre_out_and_back()
        self._replace_entry()
        self._wait("all batch work", self._batch_done)
        callers.join()
        evidence = self._collect()
        self.say("Stopping.")
        for process in (*self.entries, *self.schedulers):
            process.stop()
        self.fake.stop()
        return self._report(evidence)

    def _start_instances(self) -> None:
        self.schedulers = [self._make_scheduler(i) for i in range(2)]
        self.entries = [self._make_entry(i) for i in range(2)]
        for process in (*self.schedulers, *self.entries):
            process.start()
        self.ready = list(self.entries)

    def _make_scheduler(self, index: int) -> scheduler.Scheduler:
        values = settings.make_values(
            settings.SCHEDULER,
            log_url=self.url,
            list_url=self.url,
            incarnation=f"scheduler-{index}",
            team_secret=SECRET,
            lease_s=1.5,
            task_lease_s=5.0,
            sync_s=0.3,
            list_s=0.3,
            hold_s=3.0,
        )
        return scheduler.Scheduler(values)

    def _make_entry(self, index: int) -> entry.Entry:
        values = settings.make_values(
            settings.ENTRY,
            log_url=self.url,
            list_url=self.url,
            incarnation=f"entry-{index}",
            team_secret=SECRET,
            list_s=0.3,
            entries=3,
            leave_s=0.5,
        )
        return entry.Entry(values)

    def _append(self, change, team: str) -> None:
        key = document.derive_key(SECRET, team)
        signed = document.sign_change(change, key)
        payload = records.encode_batch((signed,))
        self._log.append(records.DOCUMENT_STREAM, payload)

    def _publish(self, section: str, team: str, text: str) -> None:
        """Publishes the next version and notes when it is in force."""
        base = self._version(self.schedulers[0], section)
        change_id = uuid.uuid4().hex
        change = records.SectionPublished(
            change_id, section, base, team, "demo", text
        )
        began = time.monotonic()
        self._append(change, team)
        lags = []
        for process in self._list_live():
            self._wait(
                f"{section} at {process.incarnation}",
                lambda p=process: self._version(p, section) > base,
            )
            lags.append(time.monotonic() - began)
        self.changes.append(promises.Change(section, base + 1, tuple(lags), ()))

    def _list_live(self) -> list:
        return [*self.schedulers, *self.entries]

    def _version(self, process, section: str) -> int:
        found = process.document.sections.get(section)
        return found.version if found else 0

    def _set_centre(self, name: str, in_service: bool, base: int) -> None:
        change = records.DataCentreSet(
            uuid.uuid4().hex, name, in_service, base, "operations", "demo"
        )
        self._append(change, "operations")

    def _wait(self, what: str, condition) -> None:
        deadline = time.monotonic() + WAIT_S
        while not condition():
            if time.monotonic() > deadline:
                self.missed.append(what)
                self.say(f"Gave up waiting for {what}.")
                return
            time.sleep(POLL_S)

    def _all_owned(self) -> bool:
        table = self.schedulers[0].state.cells
        return len(table) == 3 and all(c.table.owner for c in table.values())

    def _all_working(self) -> bool:
        ledger = self.fake.workers.ledger
        busy = collections.Counter(run.data_centre for run in ledger)
        centres = self.fake.plan.data_centres
        return all(busy[name] >= STARTS_BEFORE_OUT for name in centres)

    def _finished(self) -> set[str]:
        ledger = self.fake.workers.ledger
        return {run.task for run in ledger if run.cause == "finished"}

    def _batch_done(self) -> bool:
        return len(self._finished()) >= POSSIBLE_JOBS

    def _break_minions(self) -> None:
        self.say("One minion fails, one goes silent, one leaves.")
        self.fake.minions[1].failing = True
        self.fake.minions[2].silent = True
        self.fake.set_presence("minion-3", reports.Presence.LEAVING)
        self.leaving_since["minion-3"] = time.monotonic()

    def _take_centre_out_and_back(self) -> None:
        self.say("Taking lesse out and killing its owner.")
        self._set_centre("lesse", False, 0)
        began = time.monotonic()
        self._kill_owner("lesse")
        self._wait("lesse to be empty", self._is_drained)
        self._wait("the time out", lambda: time.monotonic() > began + OUT_S)
        self.outages.append(promises.Outage("lesse", began, time.monotonic()))
        self.say("Taking lesse back in.")
        self._set_centre("lesse", True, 1)
        self._publish("rosters", "rosters", SECTIONS[2][2] + "# longer\n")

    def _kill_owner(self, name: str) -> None:
        owner = self.schedulers[0].state.cells[name].table.owner
        for process in self.schedulers:
            if process.incarnation == owner:
                process.kill()
                self.fake.members.remove(owner)
        self.schedulers = [s for s in self.schedulers if s.incarnation != owner]

    def _is_drained(self) -> bool:
        table = self.schedulers[0].state.cells["lesse"].table
        return not table.held and not table.queue

    def _replace_entry(self) -> None:
        self.say("Replacing an entry while callers use it.")
        fresh = self._make_entry(2)
        fresh.start()
        old = self.entries[0]
        self.entries = [*self.entries[1:], fresh]
        self.ready = list(self.entries)
        old.stop()

    def _submit_jobs(self) -> None:
        for index in range(JOBS):
            body = {
                "job": f"job-{index}",
                "family": self._pick_family(index),
                "tasks": 1,
            }
            address = self.ready[index % 2].address
            self._http.request(
                "POST", f"http://{address}/v1/jobs", body=json.dumps(body)
            )

    def _pick_family(self, index: int) -> str:
        if index % IMPOSSIBLE_EVERY == IMPOSSIBLE_EVERY - 1:
            return "impossible"
        return "crews" if index % 4 == 0 else "rosters"

    def _call_all(self) -> None:
        with concurrent.futures.ThreadPoolExecutor(CALLERS) as pool:
            for index in range(REQUESTS):
                pool.submit(self._call, index)

    def _call(self, index: int) -> None:
        idempotent = index % 3 != 0
        target = self.ready[index % 2]
        body = f"trek {index}".encode()
        began = time.monotonic()
        headers = {
            "Idempotent": "true" if idempotent else "false",
            "Deadline-Ms": str(DEADLINE_MS),
        }
        url = f"http://{target.address}/v1/services/quotes/requests"
        try:
            answer = self._http.request("POST", url, body=body, headers=headers)
            name = answer.headers.get("Request-Id", "")
            outcome = answer.headers.get("Outcome", "")
            right = answer.data == minions.compute_answer(name, body)
        except urllib3.exceptions.HTTPError:
            name, outcome, right = "", "cut", False
        took_ms = (time.monotonic() - began) * 1000
        self.told.append(
            promises.Told(
                name, idempotent, outcome, right, took_ms, target.incarnation
            )
        )
        time.sleep(CALL_GAP_S)

    def _collect(self) -> promises.Evidence:
        live = self._list_live()
        changes = tuple(
            promises.Change(
                change.section,
                change.version,
                change.lags_s,
                tuple(self._version(p, change.section) for p in live),
            )
            for change in self.changes
        )
        return promises.Evidence(
            self.fake,
            tuple(self.told),
            tuple(self.outages),
            self.leaving_since,
            changes,
        )

    def _report(self, evidence: promises.Evidence) -> dict:
        ledger = self.fake.workers.ledger
        outcomes = collections.Counter(t.outcome for t in self.told)
        histogram = hdrh.histogram.HdrHistogram(1, 60_000_000, 3)
        for told in self.told:
            histogram.record_value(int(told.took_ms * 1000))

        def find_ms(percentile: float) -> float:
            return histogram.get_value_at_percentile(percentile) / 1000

        self.findings = promises.check_all(evidence)
        return {
            "requests": len(self.told),
            "answered": outcomes["answered"],
            "not_run": outcomes["not-run"],
            "unknown": outcomes["unknown"],
            **{f.name: f.violations for f in self.findings},
            "evicted": sum(run.cause == "stopped" for run in ledger),
            "resumed": sum(run.attempt > 0 for run in ledger),
            "batch_done": len(self._finished()),
            "p50_ms": find_ms(50),
            "p99_ms": find_ms(99),
            "p999_ms": find_ms(99.9),
            "missed": self.missed,
        }


def print_report(findings: tuple[promises.Finding, ...], figures: dict) -> None:
    """Prints the promises as a table, then the figures."""
    print(f"\n{'checked':>8} {'broken':>7}  promise")
    for finding in findings:
        print(
            f"{finding.checked:>8} {finding.violations:>7}  {finding.promise}"
        )
    print()
    names = {finding.name for finding in findings}
    for name, value in figures.items():
        if name not in names:
            print(f"{name:>12}  {value}")


def run_demo(*, as_json: bool = False, executes_twice: bool = False) -> int:
    """Runs the whole path in one process and checks the promises.

    Args:
        as_json: Print the figures as one JSON object.
        executes_twice: Plant a break: a minion runs every request twice.
    """
    log.set_up("text", "error")
    demo = Demo(executes_twice, quiet=as_json)
    figures = demo.run()
    if as_json:
        print(json.dumps(figures))
    else:
        print_report(demo.findings, figures)
    broken = sum(finding.violations for finding in demo.findings)
    complete = figures["batch_done"] >= POSSIBLE_JOBS and not demo.missed
    return 0 if complete and not broken else 1


def main() -> None:
    """Runs the demo."""
    argv = ["--as-json" if a == "--json" else a for a in sys.argv[1:]]
    sys.exit(defopt.run(run_demo, argv=argv, version=poplarspindle.__version__))


if __name__ == "__main__":
    main()
