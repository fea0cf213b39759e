"""Tests of the appender against the stand-in log and its faults."""

import threading
import time

import pytest

from poplarspindle import append_buffer, appender, metrics, records
from poplarspindle.clients import logservice
from poplarspindle.tools.fakes import direct, log

WAIT_S = 10.0
BOUNDS = append_buffer.CommitBounds(delay_s=0.001, rate=1000.0)


def make_appender(fake, bounds=BOUNDS):
    service = logservice.LogService("", direct.DirectTransport(fake.handle))
    counters = metrics.Metrics()
    made = appender.Appender(service, counters, bounds, {}, seed=1)
    made.start()
    return made, counters


def read_jobs(fake, stream):
    page = fake.read({stream: 0}, 10_000, 0)[stream]
    return [
        record.job
        for _, payload in page["records"]
        for record in records.decode_batch(payload)[0]
    ]


def wait_for(condition):
    deadline = time.monotonic() + WAIT_S
    while not condition():
        assert time.monotonic() < deadline
        threading.Event().wait(0.002)


@pytest.mark.parametrize(
    ("fault", "reason", "copies"),
    [
        ({}, None, 1),
        ({"lose_acks": 2}, "append-status-504", 3),
        ({"duplicate": 1}, None, 2),
        ({"hold_late": 1}, "append-status-504", 2),
        ({"garble": 1}, "append-malformed", 2),
        ({"most_bytes": 40}, "append-status-413", 1),
    ],
)
def test_fault_loses_nothing_and_keeps_order(fault, reason, copies):
    fake = log.FakeLog()
    for name, value in fault.items():
        setattr(fake, name, value)
    made, counters = make_appender(fake)
    names = [f"job-{i}" for i in range(4)]
    for name in names:
        made.add("cell/a", records.JobCancelled(name))
    assert made.close(WAIT_S) == {}
    fake.land_late()
    found = read_jobs(fake, "cell/a")
    assert list(dict.fromkeys(found)) == names
    assert max(map(found.count, names)) <= copies
    if reason:
        assert counters.get("poplarspindle_retries_total", reason) >= 1


def test_stuck_stream_holds_up_no_other():
    fake = log.FakeLog()
    fake.stuck.add("cell/a")
    made, counters = make_appender(fake)
    made.add("cell/a", records.JobCancelled("held"))
    wait_for(
        lambda: counters.get("poplarspindle_retries_total", "append-status-503")
    )
    made.add("cell/b", records.JobCancelled("free"))
    wait_for(lambda: read_jobs(fake, "cell/b") == ["free"])
    assert read_jobs(fake, "cell/a") == []
    fake.stuck.clear()
    assert made.close(WAIT_S) == {}
    assert read_jobs(fake, "cell/a") == ["held"]


def test_close_reports_what_was_not_confirmed():
    fake = log.FakeLog()
    fake.down = True
    made, counters = make_appender(fake)
    for index in range(3):
        made.add("cell/a", records.JobCancelled(f"job-{index}"))
    assert made.close(0.05) == {"cell/a": 3}
    unconfirmed = counters.get(
        "poplarspindle_refusals_total", "append-unconfirmed"
    )
    assert unconfirmed == 3


def test_rate_bound_spaces_appends():
    bound = appender.RateBound(10.0)
    assert [bound.reserve(5.0) for _ in range(3)] == pytest.approx(
        [0.0, 0.1, 0.2]
    )
    assert bound.reserve(9.0) == 0.0
