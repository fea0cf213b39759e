"""Latency that an entry adds, with every part in a process of its own."""

import contextlib
import signal
import subprocess
import sys
import time

from poplarspindle import outcomes, reports
from poplarspindle.platform import members, transport
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


def compare(groups: dict, rate: float, seconds: float) -> dict:
    """Returns the figures of one run over several groups of targets."""
    plan = load.Plan(groups, rate, seconds, {"quotes": 1}, seed=SEED)
    tallies = load.Run(plan).run()
    return {name: load.make_report(plan, tallies[name]) for name in tallies}


def measure() -> dict:
    """Measures the hop against calling minions straight, in one run.

    Returns:
        Latencies in milliseconds, rates in requests a second.
    """
    platform, address = (minions.find_free_address() for _ in range(2))
    url = f"http://{platform}"
    with (
        run_process("poplarspindle.tools.standin", "--address", platform),
        run_process(
            "poplarspindle.entry",
            *("--log-url", url, "--list-url", url, "--address", address),
            *("--entries", "1", "--leave-s", "0"),
        ),
    ):
        straight = tuple(find_minions(url))
        wait_ready(address)
        entry = (load.Target("entry", address),)
        compare({"entry": entry}, RATE, WARM_SECONDS)
        both = compare({"entry": entry, "minion": straight}, RATE, SECONDS)
        full = compare({"entry": entry}, FULL_RATE, SECONDS)["entry"]
    hop, direct = (both[n]["answered_ms"] for n in ("entry", "minion"))
    return {
        "rate_per_s": RATE,
        "entry_ms": hop,
        "straight_ms": direct,
        "added_p50_ms": round(hop["p50"] - direct["p50"], 3),
        "added_p99_ms": round(hop["p99"] - direct["p99"], 3),
        "outcomes": both["entry"]["outcomes"],
        "full_rate_per_s": FULL_RATE,
        "full_goodput_per_s": full["goodput_per_s"],
        "full_outcomes": full["outcomes"],
        "full_ms": full.get("answered_ms", {}),
    }
