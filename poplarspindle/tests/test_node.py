"""Whole nodes against the stand-in of the users' platform, over HTTP."""

import contextlib
import dataclasses
import json
import socket
import threading
import time

import pytest
import urllib3

from poplarspindle import metrics
from poplarspindle.fleet import admission, fencing, leases, records
from poplarspindle.node import claims, election, handover, node, shared_state
from poplarspindle.platform import __main__ as program
from poplarspindle.platform import settings
from poplarspindle.platform import store as platform_store
from poplarspindle.tools.fakes import deployment

PATIENCE_S = 60.0
ID = "5c0e7a21d94b36f8"
JOB = {
    "spec": "x",
    "pipeline": [
        {"count": 3, "cpu": 500, "mem_mb": 10, "estimated_ms": 100},
        {"count": 2, "cpu": 500, "mem_mb": 10, "depends_on": [0]},
    ],
}


def find_port():
    with socket.socket() as found:
        found.bind(("127.0.0.1", 0))
        return found.getsockname()[1]


def await_that(condition):
    deadline = time.monotonic() + PATIENCE_S
    while not condition():
        assert time.monotonic() < deadline
        time.sleep(0.02)


class House:
    """A store, two minions and nodes."""

    def __init__(self, nodes=1):
        self.store = deployment.FakeStore()
        self.minions = [deployment.FakeMinion(f"i-{n}") for n in range(2)]
        for minion in self.minions:
            self.store.write("keyed.servers", minion.name, minion.describe())
        deployment.write_configuration(self.store)
        self.http = urllib3.PoolManager(retries=False)
        self.nodes = []
        for number in range(nodes):
            self.add_node(f"n{number}")

    def add_node(self, name, **changes):
        """Starts a node and waits until it is ready."""
        ports = find_port(), find_port()
        text = deployment.write_settings(self.store, name, ports)
        own = settings.read_settings(text)
        platform = dataclasses.replace(program.connect(own), **changes)
        found = node.Node(own, platform, metrics.Metrics())
        found.start()
        self.nodes.append(found)
        await_that(found.call_handlers.is_ready)
        return found

    def call(self, method, path, fields=None, number=0):
        """Calls a node as a caller does."""
        address = self.nodes[number]._settings.callers_address
        return self.http.request(
            method,
            f"http://{address}{path}",
            body=json.dumps(fields).encode() if fields else None,
            headers={"Host": "desk", "Deadline-Ms": "3000"},
        )

    def get_state(self, job=ID, number=0):
        """Returns a job's state as a node shows it."""
        return self.call("GET", f"/q/{job}", number=number).json().get("state")


@pytest.fixture
def house():
    with contextlib.ExitStack() as stack:

        def make(nodes=1):
            found = House(nodes)
            stack.callback(lambda: found.store.stop())
            for minion in found.minions:
                stack.callback(minion.stop)
            stack.callback(lambda: [n.stop() for n in found.nodes])
            return found

        yield make


def list_handed_in(store):
    """Lists the keys of all hand-ins, whichever topic has their part."""
    return [
        key
        for number in range(program.INTAKE_TOPICS)
        for key in store.read_keys(
            platform_store.INTAKE_TOPIC + (f"-{number}" if number else "")
        )
    ]


def list_runs(found):
    return [run for minion in found.minions for run in minion.ledger]


def test_job_goes_the_whole_way(house):
    found = house()
    assert found.call("POST", f"/q/{ID}", JOB).status == 200
    await_that(lambda: found.get_state() == "completed")
    runs = list_runs(found)
    assert sorted(run[0] for run in runs) == sorted(
        f"{ID}.0.{step}.{index}"
        for step, count in ((0, 3), (1, 2))
        for index in range(count)
    )
    first_done = max(run[3] for run in runs if ".0.0." in run[0])
    assert all(run[2] >= first_done for run in runs if ".0.1." in run[0])


def test_job_sent_to_two_nodes_is_one_job(house):
    found = house(2)
    answers = [found.call("POST", f"/q/{ID}", JOB, n).status for n in (0, 1)]
    assert answers == [200, 200]
    await_that(lambda: found.get_state(number=0) == "completed")
    await_that(lambda: found.get_state(number=1) == "completed")
    assert len(list_runs(found)) == 5


def test_job_that_the_owner_does_not_follow_is_not_accepted(house):
    """Load: an update adds parts, old and new versions run side by side."""
    found = house(0)
    owner = found.add_node("n0", partitions=8)
    await_that(
        lambda: (
            owner._election.is_owner and owner._shared_state.published_offsets
        )
    )
    found.add_node("n1")
    await_that(lambda: found.nodes[1]._shared_state.published_offsets)
    names = [f"{number:016x}" for number in range(24)]
    accepted = [
        name
        for name in names
        if found.call("POST", f"/q/{name}", JOB, 1).status == 200
    ]
    assert 0 < len(accepted) < len(names)
    assert None not in [found.get_state(name) for name in accepted]
    refused = next(name for name in names if name not in accepted)
    assert found.call("POST", f"/q/{refused}", JOB).status == 200
    await_that(lambda: found.get_state(refused, 1) is not None)
    assert found.call("DELETE", f"/q/{refused}", number=1).status == 503
    await_that(
        lambda: {found.get_state(name) for name in accepted} == {"completed"}
    )


ANSWERS = [
    ("GET", f"/q/{ID}", None, 410),
    ("DELETE", f"/q/{ID}", None, 410),
    ("GET", "/q/", None, 200),
    ("GET", "/none/", None, 404),
    ("POST", f"/q/{ID}", {"pipeline": []}, 400),
    ("POST", "/q/short", JOB, 400),
]


def test_calls_are_answered_truly(house):
    found = house()
    for method, path, fields, status in ANSWERS:
        assert found.call(method, path, fields).status == status
    assert not any(key.startswith("j/") for key in list_handed_in(found.store))


def test_cancelled_job_is_shown_so_everywhere(house):
    found = house(2)
    await_that(lambda: found.nodes[0]._shared_state.load is not None)
    # No worker has that many processors: it is taken and never starts.
    waiting = {"pipeline": [{"count": 2, "cpu": 9000, "mem_mb": 1}]}
    assert found.call("POST", f"/q/{ID}", waiting).status == 200
    assert found.call("DELETE", f"/q/{ID}", number=1).status == 200
    await_that(lambda: found.get_state(number=0) == "cancelled")
    assert list_runs(found) == []


def test_store_that_refuses_means_not_taken(house):
    found = house()
    found.store.up = False
    answer = found.call("POST", f"/q/{ID}", JOB)
    assert answer.status == 503
    assert int(answer.headers["Retry-After"]) >= 1
    found.store.up = True
    await_that(lambda: found.call("GET", f"/q/{ID}").status == 410)


def test_next_owner_goes_on_from_the_store_alone(house):
    found = house()
    assert found.call("POST", f"/q/{ID}", JOB).status == 200
    await_that(lambda: list_runs(found))
    found.nodes[0].stop()
    found.nodes.clear()
    found.add_node("later")
    await_that(lambda: found.get_state() == "completed")
    tasks = [run[0] for run in list_runs(found) if run[4] == "done"]
    assert len(tasks) == len(set(tasks)) == 5


def test_changed_settings_are_taken_over(house):
    found = house()
    own = found.nodes[0]._settings
    changed = node.dataclasses.replace(own, keep_ended_s=7.0)
    found.nodes[0].reload(lambda: changed)
    assert found.nodes[0]._settings.keep_ended_s == 7.0

    def refuse():
        raise ValueError("bad")

    found.nodes[0].reload(refuse)
    assert found.nodes[0]._settings.keep_ended_s == 7.0
    second = deployment.FakeStore()
    for topic in ("keyed.op", "keyed.servers"):
        for key, value in found.store.read_keys(topic).items():
            second.write(topic, key, value)
    found.nodes[0].reload(
        lambda: node.dataclasses.replace(changed, store_address=second.address)
    )
    assert found.call("POST", f"/q/{ID}", JOB).status == 200
    assert f"j/{ID}" in list_handed_in(second)
    found.store.stop()
    found.store = second


def test_change_of_configuration_comes_into_force(house):
    found = house()
    assert found.nodes[0]._shared_state.configuration.version == 1
    deployment.write_configuration(found.store, 9)
    await_that(lambda: found.nodes[0]._shared_state.configuration.version == 9)
    deployment.write_configuration(found.store, 4)
    found.store.write("keyed.op", "config", b"{")
    found.store.write("keyed.op", "evacuate/dc", b"{}")
    await_that(lambda: found.nodes[0]._shared_state.evacuated == {"dc"})
    assert found.nodes[0]._shared_state.configuration.version == 9


def list_leases(found):
    return [left_ms for m in found.minions for _, left_ms in m.leases]


def test_stopped_owner_leaves_the_longest_leases_behind(house):
    found = house()
    # At first what earlier owners may have granted leaves less room.
    await_that(lambda: all(len(m.leases) >= 3 for m in found.minions))
    assert max(list_leases(found)) <= leases.LEASE_MS
    found.nodes.pop().stop()
    longest = [max(left_ms for _, left_ms in m.leases) for m in found.minions]
    assert min(longest) > leases.LEASE_MS


def test_owner_asked_to_stop_holds_on_while_the_store_is_away(house):
    """Nobody could take over: its runs would end for nothing."""
    found = house()
    await_that(lambda: all(minion.leases for minion in found.minions))
    stopped = found.nodes.pop()
    stopped._settings = dataclasses.replace(stopped._settings, leave_s=120)
    found.store.up = False
    heard_at = stopped._ownership.store_heard_at
    await_that(
        lambda: time.monotonic() - heard_at() > handover.STORE_UNREACHABLE_S
    )
    until = time.monotonic() + PATIENCE_S
    thread = threading.Thread(target=stopped._hand_over, args=(until,))
    stopped._shared_state.leaving = True
    thread.start()
    before = len(list_leases(found))
    await_that(lambda: len(list_leases(found)) > before)
    assert stopped._election.is_owner
    found.store.up = True
    await_that(lambda: not stopped._election.is_owner)
    thread.join()
    stopped._settings = dataclasses.replace(stopped._settings, leave_s=0)
    stopped.stop()


def test_member_chosen_while_the_owner_is_well_takes_nothing_over(house):
    """The group deals everything anew whenever a node joins."""
    found = house()
    first = found.nodes[0]
    await_that(lambda: first._election.is_owner)
    epoch = first._ownership.epoch
    second = found.add_node("n1")
    found.store.choose(second.incarnation)
    await_that(lambda: found.store.joins[second.incarnation] > 8)
    assert first._election.is_owner
    assert first._ownership.epoch == epoch


def test_chosen_member_takes_over_from_a_silent_owner(house):
    found = house(2)
    first, second = found.nodes
    await_that(lambda: any(n._election.is_owner for n in found.nodes))
    if second._election.is_owner:
        first, second = second, first
    epoch = first._ownership.epoch
    found.store.choose(second.incarnation)
    first._ownership.stop()
    await_that(lambda: second._ownership is not None)
    assert second._ownership.epoch > epoch


def test_resigned_owner_is_followed_at_once(house):
    found = house(2)
    await_that(lambda: any(n._election.is_owner for n in found.nodes))
    owner = next(n for n in found.nodes if n._election.is_owner)
    other = next(n for n in found.nodes if n is not owner)
    epoch = owner._ownership.epoch
    found.nodes.remove(owner)
    owner.stop()
    await_that(lambda: other._election.is_owner)
    assert other._election.resigned_epoch == epoch


VACANCIES = [
    pytest.param(None, 0, 9.0, True, id="no owner"),
    pytest.param(records.Owner(32, "a", 0), 0, 9.0, False, id="owner is well"),
    pytest.param(records.Owner(32, "a", 0), 16, 9.0, False, id="old one left"),
    pytest.param(records.Owner(32, "a", 0), 32, 9.0, True, id="owner left"),
    pytest.param(records.Owner(32, "a", 0), 0, 8.0, True, id="owner silent"),
    pytest.param(records.Owner(32, "m", 0), 0, 9.0, True, id="gave up itself"),
]


@pytest.mark.parametrize(
    ("owner", "resigned", "owner_seen_at", "vacant"), VACANCIES
)
def test_vacancy(owner, resigned, owner_seen_at, vacant):
    assert (
        election.is_vacant(owner, "m", resigned, owner_seen_at, 9.5) is vacant
    )


BEGINNINGS = [
    pytest.param(9.0, False, id="has just claimed"),
    pytest.param(7.0, False, id="reads from a slow store"),
    pytest.param(6.4, True, id="never began"),
]


@pytest.mark.parametrize(("owner_seen_at", "vacant"), BEGINNINGS)
def test_claimant_is_given_time_to_begin(owner_seen_at, vacant):
    owner = records.Owner(32, "a", 0)
    found = election.is_vacant(
        owner, "m", 0, owner_seen_at, 9.5, owner_active=False
    )
    assert found is vacant


def test_claimant_that_reads_for_long_does_not_claim_anew(house, monkeypatch):
    """Load: a slow store, pages take seconds; each claim begins anew."""
    prepare = claims.prepare

    def prepare_late(*args):
        time.sleep(2 * election.CLAIM_TIMEOUT_S)
        return prepare(*args)

    monkeypatch.setattr(claims, "prepare", prepare_late)
    found = house()
    await_that(lambda: found.nodes[0]._ownership is not None)
    assert found.nodes[0]._ownership.epoch < 2 * fencing.EPOCH_STEP


HEARD = [
    pytest.param(None, None, (float("-inf"), False), id="nobody"),
    pytest.param(9_000, None, (99.0, False), id="claimed, not begun"),
    pytest.param(5_000, 9_500, (99.5, True), id="at work"),
    pytest.param(9_000, 4_000, (99.0, False), id="load of the one before"),
    pytest.param(20_000, None, (100.0, False), id="clocks differ"),
]


@pytest.mark.parametrize(("claimed_ms", "load_ms", "expected"), HEARD)
def test_node_that_starts_hears_a_claim_too(claimed_ms, load_ms, expected):
    """Load: nodes start just when another one has claimed the fleet."""
    state = shared_state.SharedState()
    owner = claimed_ms and records.Owner(16, "a", claimed_ms)
    state.load = load_ms and admission.Load(load_ms, {}, {})
    assert (
        shared_state.find_owner_seen_at(state, owner, 100.0, 10_000) == expected
    )
