"""Appends and bytes of group commit against one append per record."""

import itertools
import threading
import time

from poplarspindle import append_buffer, appender, metrics, records
from poplarspindle.clients import logservice
from poplarspindle.tools.fakes import direct, log

STARTS_PER_S = 140
DATA_CENTRES = 11
SECONDS = 4.0
SINGLY = append_buffer.CommitBounds(delay_s=0.0, records=1, rate=100_000.0)
WAIT_S = 10.0


def list_records(index: int) -> tuple[records.Record, ...]:
    """Returns what one task writes in its life: placed, running, ended."""
    task = f"job-{index:06x}/0"
    return (
        records.TaskPlaced(task, 0, f"ourthe-w{index % 40}", 7),
        records.TaskRunning(task, 0, 7),
        records.TaskEnded(task, 0, 7, True),
    )


def _run(bounds: append_buffer.CommitBounds) -> dict:
    """Appends for some seconds; returns figures per second."""
    fake = log.FakeLog()
    service = logservice.LogService("", direct.DirectTransport(fake.handle))
    writer = appender.Appender(service, metrics.Metrics(), bounds, {}, seed=1)
    writer.start()
    pause = threading.Event()
    began = time.monotonic()
    for index in itertools.count():
        due = began + index / STARTS_PER_S
        if due >= began + SECONDS:
            break
        pause.wait(max(0.0, due - time.monotonic()))
        stream = f"cell/{index % DATA_CENTRES}"
        for record in list_records(index):
            writer.add(stream, record)
    unconfirmed = sum(writer.close(WAIT_S).values())
    return {
        "records_per_s": round(index * 3 / SECONDS, 1),
        "appends_per_s": round(fake.appends / SECONDS, 1),
        "bytes_per_s": round(fake.bytes / SECONDS, 1),
        "unconfirmed": unconfirmed,
    }


def measure() -> dict:
    """Measures 140 starts a second over 11 streams, both ways in one run.

    Returns:
        Figures of both, and appends singly for each one grouped.
    """
    grouped = _run(append_buffer.CommitBounds())
    singly = _run(SINGLY)
    ratio = singly["appends_per_s"] / grouped["appends_per_s"]
    return {
        "grouped": grouped,
        "singly": singly,
        "appends_ratio": round(ratio, 1),
    }
