"""TWICE: a suspended owner takes what lapsed meanwhile to be fresh.

The monotonic clock stands still while a machine is suspended.
"""

import dataclasses
import pathlib
import time

import pytest

from poplarspindle import metrics
from poplarspindle.fleet import effects, leases, orders, worker_state
from poplarspindle.node import ownership
from poplarspindle.platform import __main__ as program
from poplarspindle.tests import (
    test_fencing,
    test_node_ownership,
    test_polling,
)

SETTINGS = test_node_ownership.SETTINGS
SUSPENDED_S = leases.TAKEOVER_GRANT_S + 1


class Clocks:
    """The machine's clocks; only one of them counts suspensions."""

    def __init__(self, monkeypatch):
        self._monotonic = self._boot = 1000.0
        monkeypatch.setattr(time, "monotonic", lambda: self._monotonic)
        monkeypatch.setattr(time, "clock_gettime", self._read)

    def _read(self, clock):
        counts_all = clock == time.CLOCK_BOOTTIME
        return self._boot if counts_all else self._monotonic

    def run(self, seconds):
        """Lets time pass while the machine is at work."""
        self._monotonic += seconds
        self._boot += seconds

    def suspend(self, seconds):
        """Lets time pass while the machine is suspended."""
        self._boot += seconds


def make_owner(link):
    """Makes an owner that claimed the fleet now, with a poller."""
    platform = program.connect(SETTINGS)
    owner = ownership.Ownership(
        dataclasses.replace(platform, connect=lambda client, info: link),
        SETTINGS,
        metrics.Metrics(),
        test_fencing.EPOCH,
        lambda event: None,
        lambda: 0.0,
        lambda: 0,
        1000.0,
    )
    run_at_once(owner)
    worker = worker_state.WorkerState(test_polling.WORKER)
    owner.update_pollers({worker.info.name: worker})
    return owner


def run_at_once(owner):
    """Lets all of an ownership run on this thread."""
    owner._http_client.run_soon = lambda job: job()
    owner._http_client.run_later = lambda delay_s, job: test_polling.Timer(job)
    owner._pollers._run_soon = owner._http_client.run_soon


@pytest.mark.parametrize(
    ("pass_time", "is_sent"),
    [
        pytest.param("run", False, id="paused"),
        pytest.param("suspend", False, id="suspended"),
        pytest.param(None, True, id="none"),
    ],
)
def test_owner_that_woke_sends_no_start_and_renews_no_lease(
    monkeypatch, pass_time, is_sent
):
    clocks = Clocks(monkeypatch)
    link = test_fencing.Link()
    owner = make_owner(link)
    name = test_polling.WORKER.name
    link.polls[0][1](test_polling.make_report(8600))
    owner.execute(effects.AllowLeases(name, 0))
    if pass_time:
        getattr(clocks, pass_time)(SUSPENDED_S)
    owner.execute(effects.Order(name, test_fencing.START))
    owner.flush()
    owner._pollers.get(name).poll()
    starts = [
        order for order, _ in link.sent if isinstance(order, orders.Start)
    ]
    assert bool(starts) is is_sent
    assert bool(link.polls[-1][0].until_ms) is is_sent


def test_node_compares_no_times_of_different_clocks():
    """Only the HTTP client's own time-outs run on the monotonic clock."""
    modules = pathlib.Path(ownership.__file__).parent.glob("*.py")
    assert [
        module.stem
        for module in modules
        if "time.monotonic" in module.read_text("utf-8")
    ] == ["http_client"]
