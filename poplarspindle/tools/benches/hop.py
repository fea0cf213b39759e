"""Latency that an entry adds, with every part in a process of its own.

One stand-in stands behind the entry and its twin is called straight, at the
same time and rate, by a load process each: nothing of the measuring is
shared with what is measured.
"""

import contextlib
import json
import signal
import subprocess
import sys
import time

from poplarspindle import outcomes, reports
from poplarspindle.clients import members, transport
from poplarspindle.tools import load
from poplarspindle.tools.fakes import minions

RATE = 500.0
SECONDS = 6.0
WARM_SECONDS = 1.0
FULL_RATE = 1400.0
READY_S = 15.0
POLL_S = 0.05
STOP_S = 15.0
SEED = 1
CALLERS = 48
LOAD_S = 60.0


@contextlib.contextmanager
def run_process(module: str, *arguments: str):
    """Runs a module as a process and ends it."""
    process = subprocess.Popen(
        [sys.executable, "-m", module, *arguments, "--log-level", "warning"]
    )
    try:
        yield process
    finally:
        process.send_signal(signal.SIGTERM)
        process.wait(STOP_S)


def find_minions(url: str) -> list[load.Target]:
    """Waits for the stand-in's minions.

    Raises:
        TimeoutError: The stand-in did not come up.
    """
    instances = members.InstanceList(url, transport.Transport(1.0))
    ends = time.monotonic() + READY_S
    while time.monotonic() < ends:
        answer = instances.fetch()
        found = [
            load.Target("minion", member.address)
            for member in (answer.value if is_ok(answer) else ())
            if member.role is reports.Role.MINION
        ]
        if found:
            return found
        time.sleep(POLL_S)
    raise TimeoutError("the stand-in did not come up")


def is_ok(answer) -> bool:
    """Tells whether a call worked."""
    return isinstance(answer, outcomes.Ok)


def wait_ready(address: str) -> None:
    """Waits for an entry to answer a request.

    Raises:
        TimeoutError: It did not.
    """
    target = load.Target("entry", address)
    plan = load.Plan({"target": (target,)}, 20.0, 0.2, {"quotes": 1})
    ends = time.monotonic() + READY_S
    while time.monotonic() < ends:
        tally = load.Run(plan).run()["target"]
        if tally.outcomes["answered"]:
            return
        time.sleep(POLL_S)
    raise TimeoutError("the entry did not come up")


def start_load(
    targets: list[load.Target],
    rate: float,
    seconds: float,
    callers: int = CALLERS,
):
    """Starts a load process; its figures come on its standard output."""
    return subprocess.Popen(
        [
            *(sys.executable, "-m", "poplarspindle.tools.load"),
            *("--target", *(f"{t.kind}:{t.address}" for t in targets)),
            *("--rate", str(rate), "--seconds", str(seconds)),
            *("--callers", str(callers), "--seed", str(SEED)),
            *("--json", "--quiet"),
        ],
        stdout=subprocess.PIPE,
    )


def read_load(process) -> dict:
    """Waits for a load process and returns its figures."""
    written, _ = process.communicate(timeout=LOAD_S)
    return json.loads(written)["target"]


def measure() -> dict:
    """Measures the hop against calling minions straight, in one run.

    Returns:
        Latencies in milliseconds, rates in requests a second.
    """
    platform, twin, address = (minions.find_free_address() for _ in range(3))
    url = f"http://{platform}"
    with (
        run_process("poplarspindle.tools.standin", "--address", platform),
        run_process("poplarspindle.tools.standin", "--address", twin),
        run_process(
            "poplarspindle.entry",
            *("--log-url", url, "--list-url", url, "--address", address),
            *("--entries", "1", "--leave-s", "0"),
        ),
    ):
        find_minions(url)
        straight = find_minions(f"http://{twin}")
        wait_ready(address)
        entry = [load.Target("entry", address)]
        read_load(start_load(entry, RATE, WARM_SECONDS))
        running = [
            start_load(group, RATE, SECONDS) for group in (entry, straight)
        ]
        hop, direct = map(read_load, running)
        full = read_load(start_load(entry, FULL_RATE, SECONDS))
    return {
        "rate_per_s": RATE,
        "entry_ms": hop["answered_ms"],
        "straight_ms": direct["answered_ms"],
        "added_p50_ms": subtract(hop, direct, "p50"),
        "added_p99_ms": subtract(hop, direct, "p99"),
        "outcomes": hop["outcomes"],
        "full_rate_per_s": FULL_RATE,
        "full_goodput_per_s": full["goodput_per_s"],
        "full_outcomes": full["outcomes"],
        "full_ms": full.get("answered_ms", {}),
    }


def subtract(hop: dict, direct: dict, percentile: str) -> float:
    """Returns how much later the hop's percentile is."""
    pair = (figures["answered_ms"][percentile] for figures in (hop, direct))
    return round(next(pair) - next(pair), 3)
