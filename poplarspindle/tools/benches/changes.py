"""Time until a change of the document is in force on nine followers."""

import statistics
import threading
import time

from poplarspindle import (
    document,
    events,
    follower,
    http_server,
    metrics,
    records,
    replica,
    snapshots,
)
from poplarspindle.clients import logservice, transport
from poplarspindle.tools.fakes import log

FOLLOWERS = 9
CHANGES = 40
THREADS = 24
WAIT_S = 10.0
GAP_S = 0.05
SECRET = "bench"


class Follower:
    """A replica that notes when each version came into force."""

    def __init__(self, service: logservice.LogService, seed: int) -> None:
        self.replica = replica.Replica(document.State(SECRET))
        self.seen: dict[int, float] = {}
        self.reader = follower.Follower(
            service,
            lambda: (records.DOCUMENT_STREAM,),
            self.take,
            metrics.Metrics(),
            seed,
            snapshots.make_opener(SECRET),
        )

    def take(self, event: events.Event) -> None:
        """Reduces an event."""
        self.replica.take(event)
        found = self.replica.state.sections.get("section")
        if found is not None:
            self.seen.setdefault(found.version, time.monotonic())


def _publish(service: logservice.LogService, base: int) -> None:
    change = records.SectionPublished(
        f"change-{base}", "section", base, "team", "bench", f"# {base}"
    )
    key = document.derive_key(SECRET, "team")
    signed = document.sign_change(change, key)
    service.append(records.DOCUMENT_STREAM, records.encode_batch((signed,)))


def measure() -> dict:
    """Measures changes over loopback, all parts in one process.

    Returns:
        Milliseconds from the append to the last of nine followers.
    """
    server = http_server.Server("127.0.0.1:0", log.FakeLog().handle, THREADS)
    url = f"http://{server.start()}"
    service = logservice.LogService(url, transport.Transport(2.0))
    found = [Follower(service, seed) for seed in range(FOLLOWERS)]
    for one in found:
        one.reader.start()
    pause = threading.Event()
    sent = {}
    for base in range(CHANGES):
        sent[base + 1] = time.monotonic()
        _publish(service, base)
        pause.wait(GAP_S)
    ends = time.monotonic() + WAIT_S
    while time.monotonic() < ends and not all(
        CHANGES in one.seen for one in found
    ):
        pause.wait(GAP_S)
    for one in found:
        one.reader.stop()
    lags_ms = [
        (max(one.seen[version] for one in found) - at) * 1000
        for version, at in sent.items()
        if all(version in one.seen for one in found)
    ]
    server.stop()
    return {
        "followers": FOLLOWERS,
        "changes": CHANGES,
        "seen_by_all": len(lags_ms),
        "median_ms": round(statistics.median(lags_ms), 1),
        "most_ms": round(max(lags_ms), 1),
    }
