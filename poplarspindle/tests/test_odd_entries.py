"""Entries by another writer: they name no worker, and the others hold."""

import dataclasses
import json
import random
import threading

import pytest
from structlog import testing

from poplarspindle import metrics, outcomes
from poplarspindle.fleet import events, records, work
from poplarspindle.node import listing, ownership, storage
from poplarspindle.platform import __main__ as program
from poplarspindle.platform import minions, settings

pytestmark = pytest.mark.usefixtures("fresh_logs")
PATIENCE_S = 30
SEEDS = range(1, 21)
MUTATIONS = 40
GOOD = {
    "service": "pool",
    "address": "10.0.0.1:80",
    "zone": "z",
    "slots": 8,
    "state": "ready",
    "capacity": {"cpu": 16000, "mem_mb": 32768, "gpu": 0},
    "labels": ["a", "r1-3"],
    "clock_ms": 5,
    "seq": 4,
    "born": 77,
}
SETTINGS = settings.read_settings("""
node_name=n
zone=z
listen_addrs.frontend=127.0.0.1:1
listen_addrs.readiness=127.0.0.1:2
platform.address=127.0.0.1:3
""")


def write_entry(**changes):
    return json.dumps(GOOD | changes).encode()


def write_capacity(**changes):
    return write_entry(capacity=GOOD["capacity"] | changes)


DEEP = b"[" * 100_000 + b"]" * 100_000
HUGE = 10**400
ODD_VALUES = [
    pytest.param(DEEP, id="deep-list"),
    pytest.param(b'{"a":' * 100_000 + b"1" + b"}" * 100_000, id="deep-object"),
    pytest.param(write_entry()[:-1] + b',"x":' + DEEP + b"}", id="deep-field"),
    pytest.param(
        write_entry()[:-1] + b',"born":' + DEEP + b"}", id="deep-born"
    ),
    pytest.param(write_entry(born=1 << 64), id="born-beyond-64-bits"),
    pytest.param(write_entry(born=HUGE), id="born-huge"),
    pytest.param(
        write_entry(state="draining", drain_remaining_ms=HUGE), id="drain-huge"
    ),
    pytest.param(
        write_entry(state="draining", drain_remaining_ms=1 << 64),
        id="drain-beyond-64-bits",
    ),
    pytest.param(write_capacity(cpu=1 << 64), id="cpu-beyond-64-bits"),
    pytest.param(write_capacity(cpu=(1 << 64) - 1), id="cpu-sum-too-large"),
    pytest.param(write_capacity(mem_mb=HUGE), id="memory-huge"),
    pytest.param(write_capacity(gpu=HUGE), id="gpu-huge"),
    pytest.param(write_capacity(cpu=float("inf")), id="cpu-infinite"),
    pytest.param(write_capacity(cpu=float("nan")), id="cpu-no-number"),
    pytest.param(
        write_entry()[:-1] + b',"born":' + b"9" * 5000 + b"}", id="digits"
    ),
    pytest.param(write_entry(address="10.0.0.1:0"), id="port-0"),
    pytest.param(write_entry(address="10.0.0.1:65536"), id="port-too-large"),
    pytest.param(write_entry(address="10.0.0.1:-1"), id="port-negative"),
    pytest.param(write_entry(address="10.0.0.1:+80"), id="port-sign"),
    pytest.param(write_entry(address="10.0.0.1: 80"), id="port-blank"),
    pytest.param(write_entry(address="10.0.0.1:8_0"), id="port-underscore"),
    pytest.param(write_entry(address="10.0.0.1:80\n"), id="port-newline"),
    pytest.param(
        write_entry(address="10.0.0.1:\u0668\u0660"), id="port-other-digits"
    ),
    pytest.param(write_entry(address="10.0.0.1:" + "9" * 5000), id="port-long"),
    pytest.param(write_entry(address="a b:80"), id="host-blank"),
    pytest.param(write_entry(address="a\r\nX: y:80"), id="host-newline"),
    pytest.param(write_entry(address="\u00e4:80"), id="host-not-ascii"),
    pytest.param(write_entry(address="a\x00b:80"), id="host-nul"),
    pytest.param(write_entry(address="u@h:80"), id="host-with-user"),
    pytest.param(write_entry(address="h/x?:80"), id="host-with-path"),
    pytest.param(write_entry(address="a" * 5000 + ":80"), id="host-long"),
    pytest.param(write_entry(address=["10.0.0.1:80"]), id="address-list"),
    pytest.param(write_entry(labels="abc"), id="labels-text"),
    pytest.param(write_entry(labels={"a": 1}), id="labels-object"),
    pytest.param(write_entry(labels=["a\ud800"]), id="labels-surrogate"),
    pytest.param(write_entry(labels=["a" * 100_000]), id="labels-long"),
    pytest.param(write_entry(labels=["a"] * 10_000), id="labels-many"),
    pytest.param(write_entry(service="\ud800"), id="service-surrogate"),
    pytest.param(write_entry(service="s" * 100_000), id="service-long"),
    pytest.param(write_entry(service=["pool"]), id="service-list"),
    pytest.param(write_entry(zone="\ud800"), id="zone-surrogate"),
    pytest.param(write_entry(zone={"z": 1}), id="zone-object"),
    pytest.param(write_entry(state=["ready"]), id="state-list"),
    pytest.param(write_entry(state={}), id="state-object"),
    pytest.param(write_entry(state="gone"), id="state-unknown"),
    pytest.param(
        write_entry(state="@").replace(b'"@"', b"[" * 800 + b"]" * 800),
        id="state-nested",
    ),
    pytest.param(b"\xff\xfe\x00", id="no-text"),
    pytest.param(b"null", id="null"),
    pytest.param(b"3", id="number"),
    pytest.param(b"{", id="cut-off"),
]


@pytest.mark.parametrize("value", ODD_VALUES)
def test_odd_entry_names_no_worker(value):
    found = minions.read_worker(records.Record("i-9", value))
    assert not isinstance(found, work.WorkerInfo)


@pytest.mark.parametrize(
    "name",
    [
        pytest.param("", id="empty"),
        pytest.param("i 9", id="blank"),
        pytest.param("i-9\r\nX: y", id="newline"),
        pytest.param("i-\u00e4", id="not-ascii"),
        pytest.param("i-\ud800", id="surrogate"),
        pytest.param("i-\x00", id="nul"),
        pytest.param("i" * 300, id="long"),
    ],
)
def test_id_that_no_header_can_carry_names_no_worker(name):
    """The owner sends it to the worker in each call."""
    found = minions.read_worker(records.Record(name, write_entry()))
    assert not isinstance(found, work.WorkerInfo)


ODD_PARTS = [
    None,
    True,
    -1,
    1.5,
    1 << 31,
    1 << 53,
    1 << 63,
    1 << 64,
    HUGE,
    float("inf"),
    float("nan"),
    "",
    "9",
    "\ud800",
    "\x00",
    "a" * 10_000,
    [],
    [[]],
    {},
    {"cpu": 1},
]


def change_part(fields, draw):
    """Returns fields with a part, at any depth, replaced or left out."""
    changed = json.loads(json.dumps(fields))
    place = changed
    while True:
        key = draw.choice(list(place) if isinstance(place, dict) else [0])
        if isinstance(place[key], dict | list) and draw.random() < 0.5:
            place = place[key]
            continue
        if draw.random() < 0.2:
            del place[key]
        else:
            place[key] = draw.choice(ODD_PARTS)
        return changed


@pytest.mark.parametrize("seed", SEEDS)
def test_what_an_entry_names_can_be_recorded_and_called(seed):
    draw = random.Random(seed)
    for _ in range(MUTATIONS):
        fields = change_part(GOOD, draw)
        value = json.dumps(fields).encode()
        if draw.random() < 0.2:
            cut = draw.randrange(len(value))
            value = value[:cut] + draw.randbytes(3) + value[cut + 1 :]
        found = minions.read_worker(records.Record("i-9", value))
        if not isinstance(found, work.WorkerInfo):
            continue
        numbers = [
            found.capacity.millicores,
            found.capacity.memory_mb,
            found.capacity.accelerators,
            found.leaves_ms,
            found.incarnation_ms,
        ]
        assert all(type(n) is int and 0 <= n < 1 << 53 for n in numbers), value
        texts = [found.service, found.data_centre, found.rack, *found.labels]
        assert all(len(text.encode()) < 1000 for text in texts), value
        assert found.address.isascii() and found.address.isprintable(), value


class Store:
    """Serves entries, first all, then page by page."""

    def __init__(self, newest, pages):
        self._newest = tuple(newest)
        self._pages = list(pages)
        self.idle = threading.Event()

    def read_newest(self, topic, after="", partition=0):
        """Returns all entries."""
        return outcomes.Ok(storage.Newest(self._newest, False, 0))

    def read(self, topic, offset, wait_ms, partition=0):
        """Returns the next page."""
        if self._pages:
            items = tuple(self._pages.pop(0))
            end = offset + len(items)
            return outcomes.Ok(storage.Page(items, end, end))
        self.idle.set()
        return outcomes.Ok(storage.Page((), offset, offset))


def follow(newest, pages=()):
    """Follows a list to its end; returns the names last told and the lines."""
    store, told = Store(newest, pages), []

    def post(event):
        if isinstance(event, events.WorkersListed):
            told.append([info.name for info in event.workers])

    platform = program.connect(SETTINGS)
    counters = metrics.Metrics()
    owner = ownership.Ownership(
        dataclasses.replace(platform, store=store),
        SETTINGS,
        counters,
        16,
        post,
        lambda: 0.0,
        lambda: 0,
        0.0,
    )
    with testing.capture_logs() as lines:
        owner.start()
        assert store.idle.wait(PATIENCE_S)
        owner.stop()
    return told[-1], lines, counters


def make_record(name, **changes):
    return records.Record(name, write_entry(**changes))


ODD = [
    records.Record(f"odd-{n}", row.values[0])
    for n, row in enumerate(ODD_VALUES)
]


def test_list_with_odd_entries_among_good_ones_is_told():
    """Owners learned of no worker: the reading ended at the first odd one."""
    first, second = make_record("i-1"), make_record("i-2")
    told, lines, _ = follow([first, *ODD, second])
    assert told == ["i-1", "i-2"]
    assert [line for line in lines if line["event"] == "raised"] == []


def test_page_with_an_odd_entry_is_read_to_its_end():
    deep = records.Record("odd", DEEP)
    pages = [[deep, make_record("i-2")], [deep, make_record("i-3")]]
    told, lines, _ = follow([make_record("i-1")], pages)
    assert told == ["i-1", "i-2", "i-3"]
    assert [line for line in lines if line["event"] == "raised"] == []


def test_odd_entry_that_is_removed_ends_no_reading():
    deep = records.Record("odd", DEEP)
    gone = records.Record("odd", b"")
    told, lines, _ = follow(
        [make_record("i-1")], [[deep], [gone, make_record("i-2")]]
    )
    assert told == ["i-1", "i-2"]
    assert [line for line in lines if line["event"] == "raised"] == []


def test_good_entry_replaced_by_an_odd_one_names_no_worker_until_it_returns():
    odd = records.Record("i-1", DEEP)
    first, second = make_record("i-1"), make_record("i-2")
    assert follow([first, second], [[odd]])[0] == ["i-2"]
    again = make_record("i-1", seq=9)
    told, lines, _ = follow([first, second], [[odd], [again]])
    assert sorted(told) == ["i-1", "i-2"]
    (line,) = find_odd_lines(lines)
    assert (line["worker"], line["named_worker"]) == ("i-1", True)


def find_odd_lines(lines):
    return [line for line in lines if line["event"] == "odd-entry"]


def count_odd(counters, reason):
    return counters.get("poplarspindle_entries_total", reason)


def test_odd_entry_that_is_written_again_is_logged_once_and_counted():
    """Its writer may write it anew with each heartbeat."""
    rewritten = [
        [records.Record("odd", write_entry(address="x", seq=seq))]
        for seq in range(5)
    ]
    deep = [records.Record("odd", DEEP)]
    _, lines, counters = follow([make_record("i-1")], [*rewritten, deep, deep])
    reasons = [line["why"] for line in find_odd_lines(lines)]
    assert reasons == ["bad-address", "too-deep"]
    assert count_odd(counters, "bad-address") == 5
    assert count_odd(counters, "too-deep") == 1


def test_many_odd_entries_are_counted_and_few_of_them_logged():
    odd = [records.Record(f"odd-{n}", b"{") for n in range(1000)]
    _, lines, counters = follow([make_record("i-1"), *odd])
    assert len(find_odd_lines(lines)) == listing.MAX_LOG_LINES
    assert count_odd(counters, "no-json") == 1000


def test_reading_that_raises_names_no_worker_and_holds_no_other_up(monkeypatch):
    read = minions.read_worker

    def fail_on_odd(record):
        if record.key == "odd":
            raise RuntimeError("defect")
        return read(record)

    monkeypatch.setattr(minions, "read_worker", fail_on_odd)
    odd = records.Record("odd", write_entry())
    told, _, counters = follow([make_record("i-1"), odd, make_record("i-2")])
    assert told == ["i-1", "i-2"]
    assert count_odd(counters, "raised") == 1
