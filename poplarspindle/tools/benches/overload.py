"""Goodput at twice the minions' capacity, with parts as processes."""

import re
import urllib.request

from poplarspindle.tools import load
from poplarspindle.tools.benches import hop
from poplarspindle.tools.fakes import minions

SERVICE_MS = 200
MINIONS = 6
SLOTS = 8
MEAN_FACTOR = 1.133
SECONDS = 12.0
SENDS = re.compile(r'poplarspindle_sends_total\{reason="sent"\} (\d+)')


def read_sends(address: str) -> int:
    """Returns how many sends an entry counted."""
    with urllib.request.urlopen(f"http://{address}/metrics") as answer:
        found = SENDS.search(answer.read().decode())
    return int(found.group(1)) if found else 0


def run_rate(address: str, rate: float) -> dict:
    """Offers a rate and returns goodput, latencies and sends a request."""
    before = read_sends(address)
    figures = hop.read_load(
        hop.start_load([load.Target("entry", address)], rate, SECONDS, 256)
    )
    sends = read_sends(address) - before
    return {
        "offered_per_s": round(rate, 1),
        "goodput_per_s": figures["goodput_per_s"],
        "outcomes": figures["outcomes"],
        "answered_ms": figures.get("answered_ms", {}),
        "refused_ms": figures.get("refused_ms", {}),
        "sends_per_request": round(sends / figures["requests"], 3),
    }


def measure() -> dict:
    """Measures one entry at 0.9 and 2 times the minions' capacity.

    Returns:
        Rates in requests a second, latencies in milliseconds.
    """
    capacity = MINIONS * SLOTS / (SERVICE_MS / 1000 * MEAN_FACTOR)
    platform, address = (minions.find_free_address() for _ in range(2))
    url = f"http://{platform}"
    with (
        hop.run_process(
            "poplarspindle.tools.standin",
            *("--address", platform, "--service-ms", str(SERVICE_MS)),
        ),
        hop.run_process(
            "poplarspindle.entry",
            *("--log-url", url, "--list-url", url, "--address", address),
            *("--entries", "1", "--leave-s", "0", "--threads", "72"),
        ),
    ):
        hop.find_minions(url)
        hop.wait_ready(address)
        return {
            "capacity_per_s": round(capacity, 1),
            "at_0.9": run_rate(address, 0.9 * capacity),
            "at_2": run_rate(address, 2 * capacity),
        }
