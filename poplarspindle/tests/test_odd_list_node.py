"""A whole node whose list of workers has odd entries among good ones."""

import time

import msgpack
import pytest
from structlog import testing

from poplarspindle.tests import test_node, test_odd_entries

pytestmark = pytest.mark.usefixtures("fresh_logs")
DEFECT_LINES = {"raised", "state-failed"}
WORKERS = "keyed.servers"
SECOND_ID = "5c0e7a21d94b36f9"
house = test_node.house
await_that = test_node.await_that


@pytest.fixture
def add_minion():
    added = []

    def add(found, name):
        added.append(test_node.deployment.FakeMinion(name))
        found.minions.append(added[-1])
        return added[-1]

    yield add
    for minion in added:
        minion.stop()


def write_odd(found, prefix):
    """Writes one odd entry of each kind."""
    for row in test_odd_entries.ODD_VALUES:
        name = f"{prefix}-{row.id}"
        found.store.write(WORKERS, name, row.values[0])


def run_job(found, job):
    """Hands a job in and waits for its end."""
    assert found.call("POST", f"/q/{job}", test_node.JOB).status == 200
    await_that(lambda: found.get_state(job) == "completed")


def test_node_places_on_good_workers_beside_odd_entries(house, add_minion):
    """LOST: owner after owner ended at the first list with an odd entry."""
    with testing.capture_logs() as lines:
        found = house(0)
        write_odd(found, "before")
        node = found.add_node("n0")
        run_job(found, test_node.ID)
        epoch = node._ownership.epoch
        write_odd(found, "after")
        later = add_minion(found, "i-later")
        found.store.write(WORKERS, later.name, later.describe())
        await_that(lambda: later.leases)
        run_job(found, SECOND_ID)
        assert node._ownership.epoch == epoch
    assert [line for line in lines if line["event"] in DEFECT_LINES] == []


ODD_REPLACEMENTS = [
    row
    for row in test_odd_entries.ODD_VALUES
    if row.id in ("deep-list", "drain-huge", "cpu-beyond-64-bits", "port-0")
]


@pytest.mark.parametrize("value", ODD_REPLACEMENTS)
def test_runs_of_a_worker_whose_entry_turns_odd_end_where_they_are(
    house, add_minion, value
):
    """Nothing more is placed there, and what runs is not started again."""
    with testing.capture_logs() as lines:
        found = house()
        for minion in found.minions:
            minion._run_s = 3.0
        spare = add_minion(found, "i-spare")
        assert (
            found.call("POST", f"/q/{test_node.ID}", test_node.JOB).status
            == 200
        )
        await_that(lambda: any(m._running for m in found.minions))
        await_that(lambda: sum(len(m._running) for m in found.minions) == 3)
        busy = next(minion for minion in found.minions if minion._running)
        for minion in found.minions:
            found.store.write(WORKERS, minion.name, value)
        found.store.write(WORKERS, spare.name, spare.describe())
        await_that(lambda: spare.leases)
        changed_at = time.monotonic()
        await_that(lambda: found.get_state() == "completed")
    assert [line for line in lines if line["event"] in DEFECT_LINES] == []
    runs = [run for minion in found.minions for run in minion.ledger]
    assert {run[4] for run in runs} == {"done"}
    assert len({run[0] for run in runs}) == len(runs) == 5
    assert busy.ledger
    for minion in found.minions[:2]:
        assert all(run[2] < changed_at for run in minion.ledger)


SHARED = "keyed.poplarspindle"
INTAKE = "keyed.poplarspindle-jobs"
PROGRESS = "keyed.poplarspindle-progress"
ODD_RECORDS = [
    pytest.param(msgpack.packb([1, "x", [], 7]), id="other-types"),
    pytest.param(msgpack.packb([1, [7], {"a": 1}, None]), id="lists"),
    pytest.param(msgpack.packb([1, 1e300]), id="one-number"),
    pytest.param(msgpack.packb([1, ["q"], "x", ["s"], 0, 0, 0, 0]), id="job"),
    pytest.param(b"\x91" * 2000, id="deep"),
    pytest.param(b"\xff", id="no-msgpack"),
]
OWN_KEYS = {
    SHARED: ("t/odd", "read", "load", "dark", "fittest", "candidate", "owner"),
    INTAKE: ("j/odd", "c/odd", "odd"),
    PROGRESS: ("s/odd", "r/odd/0/0/0", "r/odd", "slowdown"),
}


@pytest.mark.parametrize("value", ODD_RECORDS)
def test_node_takes_over_from_logs_with_odd_records(house, value):
    """Owner after owner ended at the record that another version wrote."""
    with testing.capture_logs() as lines:
        found = house(0)
        for topic, keys in OWN_KEYS.items():
            for key in keys:
                found.store.write(topic, key, value)
        found.add_node("n0")
        # Refused with 503 until an owner has told of its hand-ins anew.
        path = f"/q/{test_node.ID}"
        await_that(
            lambda: found.call("POST", path, test_node.JOB).status == 200
        )
        await_that(lambda: found.get_state() == "completed")
    assert [line for line in lines if line["event"] in DEFECT_LINES] == []
