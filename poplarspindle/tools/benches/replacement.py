"""Replaces entries one after another under load, as real processes.

Callers stand in for the balancer: they ask each entry's /readyz, send to ready
ones only, and reuse connections. The minions' ledger says what really ran.
"""

import collections
import dataclasses
import itertools
import signal
import subprocess
import sys
import threading
import time

import urllib3

from poplarspindle import reports
from poplarspindle.tools.fakes import minions, platform

ENTRIES = 9
CALLERS = 6
WAIT_S = 20.0
POLL_S = 0.02
READY_S = 0.05
LEAVE_S = 0.6
DEADLINE_MS = 3000
GAP_S = 0.005


@dataclasses.dataclass(frozen=True)
class Told:
    """What one caller was told.

    Attributes:
        request: Request id, empty where the connection was cut.
        outcome: The outcome, `cut` where there was no whole answer.
        right: Whether the body is the right one.
    """

    request: str
    outcome: str
    right: bool


class Balancer:
    """Knows which entries are ready, by asking them."""

    def __init__(self, fake: platform.Platform) -> None:
        self.ready: tuple[str, ...] = ()
        self.left: set[str] = set()
        self._fake = fake
        self._pool = urllib3.PoolManager(
            retries=False, timeout=1.0, num_pools=64
        )
        self.stopping = threading.Event()

    def run(self) -> None:
        """Asks all entries again and again."""
        while not self.stopping.wait(READY_S):
            listed = [
                member.address
                for member in self._fake.members.fetch()
                if member.role is reports.Role.ENTRY
            ]
            self.ready = tuple(a for a in listed if self._is_ready(a))

    def _is_ready(self, address: str) -> bool:
        try:
            answer = self._pool.request("GET", f"http://{address}/readyz")
        except urllib3.exceptions.HTTPError:
            return False
        if answer.status == 503:
            self.left.add(address)
        return answer.status == 200


class Load:
    """Callers that send without pause and note what they are told."""

    def __init__(self, balancer: Balancer) -> None:
        self.told: list[Told] = []
        self.unserved = 0
        self._balancer = balancer
        self._pool = urllib3.PoolManager(
            maxsize=CALLERS, num_pools=64, retries=False
        )
        self._threads = [
            threading.Thread(target=self._call, args=(i,))
            for i in range(CALLERS)
        ]
        self._stopping = threading.Event()

    def start(self) -> None:
        """Starts all callers."""
        for thread in self._threads:
            thread.start()

    def stop(self) -> None:
        """Ends all callers after their present request."""
        self._stopping.set()
        for thread in self._threads:
            thread.join()

    def _call(self, caller: int) -> None:
        for number in itertools.count():
            if self._stopping.wait(GAP_S):
                return
            ready = self._balancer.ready
            if not ready:
                self.unserved += 1
                continue
            address = ready[(number + caller) % len(ready)]
            self.told.append(self._send(address, f"{caller}/{number}".encode()))

    def _send(self, address: str, body: bytes) -> Told:
        url = f"http://{address}/v1/services/bookings/requests"
        headers = {"Deadline-Ms": str(DEADLINE_MS)}
        try:
            answer = self._pool.request(
                "POST", url, body=body, headers=headers, timeout=WAIT_S
            )
        except urllib3.exceptions.HTTPError:
            return Told("", "cut", False)
        name = answer.headers.get("Request-Id", "")
        right = answer.data == minions.compute_answer(name, body)
        return Told(name, answer.headers.get("Outcome", "cut"), right)


def start_entry(name: str, url: str, entries: int) -> subprocess.Popen:
    """Starts an entry as a process."""
    flags = {
        "log-url": url,
        "list-url": url,
        "incarnation": name,
        "data-centre": "ourthe",
        "list-s": "0.1",
        "leave-s": str(LEAVE_S),
        "entries": str(entries + 1),
        "log-level": "error",
    }
    pairs = ((f"--{key}", value) for key, value in flags.items())
    return subprocess.Popen(
        [
            sys.executable,
            "-m",
            "poplarspindle.entry",
            *itertools.chain.from_iterable(pairs),
        ]
    )


def measure(entries: int = ENTRIES) -> dict:
    """Replaces all entries once and returns the figures.

    Args:
        entries: Number of entries.

    Returns:
        Counts of what callers were told against what ran, and exit codes.
    """
    plan = platform.Plan(data_centres=("ourthe",), workers=0, minions=4)
    fake = platform.Platform(plan)
    url = fake.start()
    balancer = Balancer(fake)
    watcher = threading.Thread(target=balancer.run)
    watcher.start()
    load = Load(balancer)
    processes: list[subprocess.Popen] = []
    try:
        old = [start_entry(f"old-{i}", url, entries) for i in range(entries)]
        processes += old
        _wait(lambda: len(balancer.ready) == entries)
        load.start()
        began = time.monotonic()
        for index, leaving in enumerate(old):
            processes.append(start_entry(f"new-{index}", url, entries))
            _wait(lambda: len(balancer.ready) == entries + 1)
            leaving.send_signal(signal.SIGTERM)
            leaving.wait(WAIT_S)
            _drop_member(fake, f"old-{index}-")
        took_s = time.monotonic() - began
        load.stop()
        return _report(fake, load, balancer, old, took_s)
    finally:
        load._stopping.set()
        balancer.stopping.set()
        watcher.join()
        for process in processes:
            process.kill()
            process.wait()
        fake.stop()


def _drop_member(fake: platform.Platform, prefix: str) -> None:
    """Removes the entry whose id starts with a prefix from the list."""
    for member in fake.members.fetch():
        if member.name.startswith(prefix):
            fake.members.remove(member.name)


def _wait(condition) -> None:
    deadline = time.monotonic() + WAIT_S
    while not condition():
        if time.monotonic() > deadline:
            raise TimeoutError("an entry did not become ready")
        time.sleep(POLL_S)


def _report(fake, load: Load, balancer: Balancer, old, took_s) -> dict:
    ran = collections.Counter(e.request for e in fake.executions)
    told = load.told
    outcomes = collections.Counter(t.outcome for t in told)
    return {
        "requests": len(told),
        "answered": outcomes["answered"],
        "not_run": outcomes["not-run"],
        "unknown": outcomes["unknown"],
        "cut": outcomes["cut"],
        "not_ready": load.unserved,
        "executed_twice": sum(ran[t.request] > 1 for t in told if t.request),
        "not_run_but_ran": sum(
            ran[t.request] > 0 for t in told if t.outcome == "not-run"
        ),
        "wrong_answers": sum(
            not t.right for t in told if t.outcome == "answered"
        ),
        "exit_codes": [process.returncode for process in old],
        "seen_leaving": len(balancer.left),
        "seconds": round(took_s, 1),
    }
