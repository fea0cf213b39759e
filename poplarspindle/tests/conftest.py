"""Fixtures: a stand-in platform with entries around it."""

import concurrent.futures
import dataclasses
import json
import signal
import subprocess
import sys
import time

import pytest
import structlog
import urllib3

from poplarspindle import entry, settings
from poplarspindle.tools.fakes import platform

WAIT_S = 10.0
POLL_S = 0.01


@dataclasses.dataclass(frozen=True)
class Answer:
    """An HTTP answer as a caller sees it."""

    status: int
    body: bytes
    outcome: str
    reason: str
    request: str


class Site:
    """A platform without workers, and entries as threads or processes."""

    def __init__(self) -> None:
        plan = platform.Plan(
            data_centres=("ourthe",), workers=0, minions=2, list_lag_s=0.0
        )
        self.fake = platform.Platform(plan)
        self.url = self.fake.start()
        self.wait_for = wait_for
        self._http = urllib3.PoolManager(maxsize=32, retries=False)
        self._entries: list[entry.Entry] = []
        self._processes: list[subprocess.Popen] = []

    def start_entry(self, name: str, **changes) -> entry.Entry:
        """Starts an entry as threads of this process."""
        values = {**self._make_values(name), **changes}
        made = entry.Entry(settings.make_values(settings.ENTRY, **values))
        made.start()
        self._entries.append(made)
        return made

    def start_process(self, name: str, **changes) -> subprocess.Popen:
        """Starts an entry as a process of its own."""
        values = {**self._make_values(name), **changes}
        flags = (
            part
            for key, value in values.items()
            for part in (f"--{key.replace('_', '-')}", str(value))
        )
        made = subprocess.Popen(
            [sys.executable, "-m", "poplarspindle.entry", *flags],
            stderr=subprocess.DEVNULL,
        )
        self._processes.append(made)
        wait_for(lambda: self.find_address(name))
        return made

    def _make_values(self, name: str) -> dict:
        return {
            "log_url": self.url,
            "list_url": self.url,
            "incarnation": name,
            "data_centre": "ourthe",
            "list_s": 0.05,
            "leave_s": 0.0,
            "entries": 3,
            "audit_delay_ms": 1,
        }

    def find_address(self, name: str) -> str:
        """Returns a listed entry's address, empty for none."""
        listed = self.fake.members.fetch()
        named = (m for m in listed if is_named(m.name, name))
        return next((member.address for member in named), "")

    def is_known(self, name: str, other: entry.Entry) -> bool:
        """Tells whether another entry lists an entry."""
        return any(is_named(known, name) for known in other.members.members)

    def call(self, address, path, body=b"", method="POST", **headers) -> Answer:
        """Makes one HTTP call."""
        named = {k.replace("_", "-"): v for k, v in headers.items()}
        answer = self._http.request(
            method,
            f"http://{address}{path}",
            body=body,
            headers=named,
            timeout=WAIT_S,
        )
        return Answer(
            answer.status,
            answer.data,
            answer.headers.get("Outcome", ""),
            answer.headers.get("Reason", ""),
            answer.headers.get("Request-Id", ""),
        )

    def send(self, address, body=b"trek", **headers) -> Answer:
        """Sends one request for the service quotes."""
        path = "/v1/services/quotes/requests"
        return self.call(address, path, body, **headers)

    def mint(self, address: str, count: int = 1) -> list[str]:
        """Takes a block of ids."""
        answer = self.call(address, "/v1/tickets", str(count).encode())
        return json.loads(answer.body)["ids"]

    def count_runs(self, request: str) -> int:
        """Returns how often the minions ran a request."""
        return sum(e.request == request for e in self.fake.executions)

    def know_each_other(self, *entries: entry.Entry) -> None:
        """Waits until all entries list each other."""
        names = {made.incarnation for made in entries}
        wait_for(lambda: all(names <= {*e.members.members} for e in entries))

    def drop(self, name: str) -> None:
        """Removes an instance from the list."""
        for member in self.fake.members.fetch():
            if is_named(member.name, name):
                self.fake.members.remove(member.name)

    def stop(self) -> None:
        """Ends all processes and threads."""
        for process in self._processes:
            if process.poll() is None:
                process.send_signal(signal.SIGKILL)
            process.wait()
        for minion in self.fake.minions:
            minion.release()
        self.fake.log.down = False
        self._http.clear()
        live = [made for made in self._entries if made.is_live()]
        ends = [self.fake.stop, *(made.stop for made in live)]
        with concurrent.futures.ThreadPoolExecutor(len(ends)) as pool:
            list(pool.map(lambda end: end(), ends))


def is_named(incarnation: str, name: str) -> bool:
    """Tells whether an incarnation is one of a name."""
    return f"{incarnation}-".startswith(f"{name}-")


def wait_for(condition) -> None:
    """Waits until a condition holds, or fails the test."""
    deadline = time.monotonic() + WAIT_S
    while not condition():
        assert time.monotonic() < deadline, "waited in vain"
        time.sleep(POLL_S)


@pytest.fixture
def site():
    made = Site()
    yield made
    made.stop()


@pytest.fixture(scope="module")
def shared_site():
    made = Site()
    yield made
    made.stop()


@pytest.fixture
def wait():
    return wait_for


@pytest.fixture
def fresh_logs(monkeypatch):
    """Makes all loggers anew.

    Programs that earlier tests ran in this process leave loggers behind that
    write to files closed since, and whose lines can't be captured.
    """
    before = structlog.get_config()
    structlog.reset_defaults()
    for name, module in list(sys.modules.items()):
        if name.startswith("poplarspindle.") and hasattr(module, "_log"):
            monkeypatch.setattr(module, "_log", structlog.get_logger())
    yield
    structlog.configure(**before)
