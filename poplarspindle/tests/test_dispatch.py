"""Tests dispatch: where requests run, verdicts for callers, extra sends."""

import threading
import time

import pytest

from poplarspindle import (
    dispatch,
    health,
    http_server,
    metrics,
    reports,
    requests,
)
from poplarspindle.clients import minions
from poplarspindle.tools.fakes import minions as fakes

WAIT_S = 5.0


class MinionGroup:
    """Fake minions behind one dispatcher."""

    def __init__(self, count: int, **rules) -> None:
        self.ledger = []
        self.fakes = [
            fakes.FakeMinion(f"m{i}", self.ledger, service_s=0.0, seed=i)
            for i in range(count)
        ]
        self.servers = [
            http_server.Server("127.0.0.1:0", fake.handle, 8)
            for fake in self.fakes
        ]
        self.members = tuple(
            reports.Member(
                fake.name,
                reports.Role.MINION,
                "ourthe",
                address=server.start(),
                services=("quotes",),
                slots=8,
                connections=64,
            )
            for fake, server in zip(self.fakes, self.servers, strict=True)
        )
        self.metrics = metrics.Metrics()
        self.dispatcher = dispatch.Dispatcher(
            1,
            "least_local",
            minions.Minions(),
            self.metrics,
            0,
            dispatch.Rules(**rules),
        )
        self.dispatcher.apply_members(self.members)

    def send(self, name="r", idempotent=True, timeout_s=WAIT_S):
        """Sends one request."""
        return self.dispatcher.dispatch(
            "quotes", name, b"x", idempotent, time.monotonic() + timeout_s
        )

    def count(self, name, reason):
        """Returns the value of a counter."""
        return self.metrics.get(f"poplarspindle_{name}_total", reason)

    def stop(self):
        """Stops all minions."""
        for fake in self.fakes:
            fake.release()
        for server in self.servers:
            server.stop()


@pytest.fixture
def make_group():
    groups = []

    def make(count=3, **rules):
        groups.append(MinionGroup(count, **rules))
        return groups[-1]

    yield make
    for group in groups:
        group.stop()


def test_refused_request_is_tried_elsewhere_and_runs_once(make_group):
    group = make_group(hedge_factor=0.0, retry_share=1.0)
    group.fakes[0].failing = True
    for index in range(20):
        answer = group.send(f"r{index}", idempotent=False)
        assert isinstance(answer, minions.Answer)
    ran = [line.request for line in group.ledger]
    assert sorted(ran) == sorted({f"r{i}" for i in range(20)})
    assert group.count("retries", "minion-refused") >= 1


def test_silent_minion_leaves_non_idempotent_unknown_at_deadline(make_group):
    group = make_group(count=1)
    group.fakes[0].silent = True
    answer = group.send("r", idempotent=False, timeout_s=0.2)
    assert answer.outcome is requests.Outcome.UNKNOWN
    assert answer.reason == "timeout"
    assert [line.request for line in group.ledger] == ["r"]
    assert group.send("s", timeout_s=-1.0).reason == "late"


def test_silent_minion_is_ejected_before_the_deadline(make_group):
    """Requests that hang at a silent minion cause its early ejection.

    Other requests must not be sent there afterwards.
    """
    group = make_group(
        hedge_factor=0.0,
        ejection=health.Rules(silent_s=0.05, first_ejection_s=60.0),
    )
    group.fakes[0].silent = True
    stuck = [
        threading.Thread(target=group.send, args=(f"s{i}", False, 2.0))
        for i in range(3)
    ]
    for thread in stuck:
        thread.start()
    deadline = time.monotonic() + WAIT_S
    while (
        not group.count("ejections", "silent") and time.monotonic() < deadline
    ):
        group.send("probe", timeout_s=0.5)
    assert group.count("ejections", "silent") == 1
    runs_before = len([e for e in group.ledger if e.minion == "m0"])
    for index in range(20):
        group.send(f"a{index}", idempotent=False)
    assert len([e for e in group.ledger if e.minion == "m0"]) == runs_before
    for thread in stuck:
        thread.join()


def test_retries_stay_in_budget_when_all_refuse(make_group):
    group = make_group()
    for fake in group.fakes:
        fake.failing = True
    for index in range(200):
        answer = group.send(f"r{index}")
        assert answer.outcome is requests.Outcome.NOT_RUN
    assert group.count("sends", "sent") <= 1.1 * 200
    assert not group.ledger


def test_late_answer_of_a_hedged_send_is_discarded(make_group):
    group = make_group(count=2, hedge_factor=1.0, retry_share=1.0)
    for index in range(4):
        group.send(f"w{index}")
    group.fakes[0].silent = True
    answers = [group.send(f"r{i}", timeout_s=3.0) for i in range(12)]
    for index, answer in enumerate(answers):
        assert answer.body == fakes.compute_answer(f"r{index}", b"x")
    assert group.count("hedges", "won") >= 1
    group.fakes[0].release()
    group.fakes[0].silent = False
    for index in range(8):
        answer = group.send(f"t{index}")
        assert answer.body == fakes.compute_answer(f"t{index}", b"x")


def test_leaving_minion_gets_no_new_requests(make_group):
    group = make_group(count=2)
    leaving = group.members[0]
    group.dispatcher.apply_members(
        (
            reports.Member(
                leaving.name,
                leaving.role,
                leaving.data_centre,
                address=leaving.address,
                services=leaving.services,
                connections=64,
                presence=reports.Presence.LEAVING,
            ),
            group.members[1],
        )
    )
    for index in range(10):
        group.send(f"r{index}")
    assert {line.minion for line in group.ledger} == {"m1"}


def test_dead_minions_are_no_black_hole(make_group):
    """Two of three minions refuse connections; the third serves all requests.

    Fast failures must not make dead minions look idle and preferable.
    """
    group = make_group(retry_share=1.0)
    for server in group.servers[:2]:
        server.stop()
    answers = [group.send(f"r{i}", idempotent=False) for i in range(30)]
    assert all(isinstance(a, minions.Answer) for a in answers[-10:])
    assert group.count("ejections", "no-connection") == 2
    assert group.count("sends", "sent") <= 30 + 2 * 3 + 2
