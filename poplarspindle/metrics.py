"""Counters of every refusal, retry and outcome."""

import collections
import threading

import aioprometheus

COUNTERS = {
    "poplarspindle_requests_total": "Requests by outcome.",
    "poplarspindle_refusals_total": "Refusals by reason.",
    "poplarspindle_retries_total": "Retries by reason.",
    "poplarspindle_records_total": "Log records by verdict.",
    "poplarspindle_platform_failures_total": "Failed platform calls.",
    "poplarspindle_snapshots_total": "Snapshots by what became of them.",
    "poplarspindle_tasks_total": "Task transitions.",
    "poplarspindle_reactions_total": "Steps against slow services.",
    "poplarspindle_ownership_total": "Ownership transitions.",
    "poplarspindle_sends_total": "Requests sent to minions, retries included.",
    "poplarspindle_hedges_total": "Second sends of late requests.",
    "poplarspindle_ejections_total": "Minions ejected by reason, and probes.",
    "poplarspindle_connections_total": "Connections closed by reason.",
    "poplarspindle_peers_total": "Streams of our own processes, by event.",
    "poplarspindle_traces_total": "Traces written or dropped, by reason.",
    "poplarspindle_list_total": "Reads of the instance list, by verdict.",
    "poplarspindle_entries_total": "Entries that name no worker, by reason.",
    "poplarspindle_fleet_total": "Decisions of the fleet's owner.",
}


HISTOGRAMS = {
    "poplarspindle_call_seconds": "Time to answer a caller, by kind.",
    "poplarspindle_first_start_seconds": "Hand-in to first start, by queue.",
    "poplarspindle_append_seconds": "Time of appends, by who appends.",
    "poplarspindle_order_seconds": "Time of orders to workers, by kind.",
}
GAUGES = {
    "poplarspindle_room_margin_seconds": "How long a lasting task that may not"
    " be away has been away beside room for it twice over, by reports: longest"
    " `now`, and the `worst` since this node owns the fleet.",
    "poplarspindle_excluded_cores": "Free processors that new work doesn't get,"
    " as runs were `failing` on their workers.",
}
BUCKETS_S = (0.005, 0.01, 0.025, 0.05, 0.1, 0.25, 0.5, 1.0, 2.5, 5.0, 10.0)


class Metrics:
    """The figures of one process; safe for use by several threads."""

    def __init__(self) -> None:
        self._registry = aioprometheus.Registry()
        self._lock = threading.Lock()
        self._values: collections.Counter[tuple[str, str]] = (
            collections.Counter()
        )
        self._counters = {
            name: aioprometheus.Counter(name, doc, registry=self._registry)
            for name, doc in COUNTERS.items()
        }
        self._gauges = {
            name: aioprometheus.Gauge(name, doc, registry=self._registry)
            for name, doc in GAUGES.items()
        }
        self._histograms = {
            name: aioprometheus.Histogram(
                name, doc, registry=self._registry, buckets=list(BUCKETS_S)
            )
            for name, doc in HISTOGRAMS.items()
        }

    def set(self, name: str, reason: str, value: float) -> None:
        """Sets a gauge.

        Args:
            name: A key of GAUGES.
            reason: Value of the label `reason`.
            value: The value.

        Raises:
            KeyError: The name is not in GAUGES.
        """
        with self._lock:
            self._gauges[name].set({"reason": reason}, value)

    def observe(self, name: str, reason: str, seconds: float) -> None:
        """Adds a duration to a histogram.

        Args:
            name: A key of HISTOGRAMS.
            reason: Value of the label `reason`.
            seconds: The duration.

        Raises:
            KeyError: The name is not in HISTOGRAMS.
        """
        with self._lock:
            self._histograms[name].observe({"reason": reason}, seconds)

    def add(self, name: str, reason: str, amount: int = 1) -> None:
        """Adds to a counter.

        Args:
            name: A key of COUNTERS.
            reason: Value of the label `reason`.
            amount: What to add.

        Raises:
            KeyError: The name is not in COUNTERS.
        """
        if name not in self._counters:
            raise KeyError(name)
        with self._lock:
            self._values[name, reason] += amount

    def get(self, name: str, reason: str) -> int:
        """Returns a counter's value, 0 where it was never added to."""
        with self._lock:
            return self._values[name, reason]

    def render(self) -> bytes:
        """Returns all counters in the Prometheus text form."""
        with self._lock:
            for (name, reason), value in self._values.items():
                self._counters[name].set({"reason": reason}, value)
            content, _ = aioprometheus.render(
                self._registry, ["text/plain; version=0.0.4"]
            )
        return content
