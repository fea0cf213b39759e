"""Faults on the way of one request; the minions' ledger decides."""

import collections
import concurrent.futures
import itertools
import signal
import threading
import time

import pytest

from poplarspindle import claims, entry

CHOSEN = itertools.count()
DEADLINE = {"Deadline_Ms": "400"}


def choose_id(age_s: int = 0) -> str:
    return f"{int(time.time()) - age_s}-trek-{next(CHOSEN)}"


def start_pair(site):
    names = ("first", "second")
    made = [site.start_entry(name, audit_bytes_s=0.0) for name in names]
    site.know_each_other(*made)
    return made


@pytest.fixture(scope="module")
def shared_pair(shared_site):
    return start_pair(shared_site)


@pytest.fixture
def own_pair(site):
    return start_pair(site)


@pytest.fixture
def faulty(shared_site, shared_pair, monkeypatch):
    monkeypatch.setattr(claims, "DOWN_S", 0.0)
    yield shared_site, shared_pair
    shared_site.fake.log.down = False
    shared_site.fake.members.down = False
    shared_site.fake.log.stuck = set()


def log_down(site, pair):
    site.fake.log.down = True


def ack_lost(site, pair):
    site.fake.log.lose_acks = 1


def append_refused(site, pair):
    site.fake.log.stuck = {f"claims/{n}" for n in range(4)}


def append_late(site, pair):
    site.fake.log.hold_late = 1


def stored_twice(site, pair):
    site.fake.log.duplicate = 1


@pytest.mark.parametrize(
    ("fault", "first_send", "outcome", "runs"),
    [
        (log_down, "true", "not-run", 0),
        (log_down, "false", "unknown", 0),
        (append_refused, "true", "not-run", 0),
        (append_refused, "false", "unknown", 0),
        (append_late, "true", "not-run", 0),
        (append_late, "false", "unknown", 0),
        (ack_lost, "true", "answered", 1),
        (stored_twice, "false", "answered", 1),
    ],
)
def test_chosen_id_under_log_faults(faulty, fault, first_send, outcome, runs):
    site, pair = faulty
    name = choose_id()
    fault(site, pair)
    told = site.send(
        pair[0].address, Request_Id=name, First_Send=first_send, **DEADLINE
    )
    assert (told.outcome, site.count_runs(name)) == (outcome, runs)
    site.fake.log.down = False
    site.fake.log.stuck = set()
    site.fake.log.land_late()
    again = site.send(pair[1].address, Request_Id=name, **DEADLINE)
    assert site.count_runs(name) <= 1
    if told.outcome == "not-run" and site.count_runs(name):
        assert again.outcome == "answered"


@pytest.mark.parametrize("age_s", [700, -60])
def test_chosen_id_outside_its_window_is_refused(faulty, age_s):
    site, pair = faulty
    name = choose_id(age_s)
    told = site.send(pair[0].address, Request_Id=name)
    assert (told.outcome, told.reason) == ("unknown", "outside-window")
    assert site.count_runs(name) == 0


def test_claims_lost_to_retention_are_not_taken_as_none(site, own_pair):
    pair = own_pair
    name = choose_id()
    site.send(pair[0].address, Request_Id=name)
    for shard in range(4):
        site.fake.log.trim(f"claims/{shard}", 10)
    told = site.send(pair[1].address, Request_Id=name, **DEADLINE)
    assert (told.outcome, told.reason) == ("unknown", "claims-forgotten")
    assert site.count_runs(name) == 1


@pytest.mark.parametrize("chosen", [True, False])
def test_many_sends_at_once_run_once(faulty, chosen):
    site, pair = faulty
    name = choose_id() if chosen else site.mint(pair[0].address)[0]
    with concurrent.futures.ThreadPoolExecutor(8) as pool:
        told = list(
            pool.map(
                lambda i: site.send(pair[i % 2].address, Request_Id=name),
                range(8),
            )
        )
    assert site.count_runs(name) == 1
    assert {a.outcome for a in told} == {"answered"}
    assert len({a.body for a in told}) == 1


def test_pause_between_claim_and_dispatch_runs_once(faulty, monkeypatch):
    site, pair = faulty
    held, go_on = threading.Event(), threading.Event()
    settle = pair[0].frontend._claims.settle

    def pause(*arguments):
        answer = settle(*arguments)
        held.set()
        go_on.wait(10)
        return answer

    monkeypatch.setattr(pair[0].frontend._claims, "settle", pause)
    name = choose_id()
    with concurrent.futures.ThreadPoolExecutor(1) as pool:
        first = pool.submit(
            site.send, pair[0].address, Request_Id=name, Deadline_Ms="5000"
        )
        held.wait(10)
        second = site.send(pair[1].address, Request_Id=name, **DEADLINE)
        go_on.set()
        assert (second.outcome, site.count_runs(name)) != ("not-run", 1)
        assert first.result().outcome == "answered"
    assert second.outcome == "unknown"
    assert site.count_runs(name) == 1


def dead(site, process):
    process.send_signal(signal.SIGKILL)
    process.wait()


def dead_and_gone(site, process):
    dead(site, process)
    site.drop("minter")


def paused(site, process):
    process.send_signal(signal.SIGSTOP)


def killed_while_it_runs(site, process):
    for minion in site.fake.minions:
        minion.silent = True
    address = site.find_address("minter")
    name = site.tickets[0]
    with concurrent.futures.ThreadPoolExecutor(1) as pool:
        sent = pool.submit(
            site.send, address, Request_Id=name, Deadline_Ms="5000"
        )
        site.wait_for(lambda: site.count_runs(name))
        dead(site, process)
        assert sent.exception() is not None


def sent_before(site, process):
    address = site.find_address("minter")
    assert site.send(address, Request_Id=site.tickets[0]).outcome == "answered"
    dead_and_gone(site, process)


@pytest.mark.parametrize(
    ("fault", "first_send", "outcome", "runs"),
    [
        (dead, "false", "unknown", 0),
        (dead, "true", "not-run", 0),
        (dead_and_gone, "false", "unknown", 0),
        (paused, "false", "unknown", 0),
        (paused, "true", "unknown", 0),
        (killed_while_it_runs, "false", "unknown", 1),
        (sent_before, "false", "unknown", 1),
    ],
)
def test_ticket_whose_minter_fails(site, fault, first_send, outcome, runs):
    process = site.start_process("minter")
    other = site.start_entry("other")
    site.wait_for(lambda: site.is_known("minter", other))
    site.tickets = site.mint(site.find_address("minter"), 1)
    fault(site, process)
    if "gone" in fault.__name__ or fault is sent_before:
        site.wait_for(lambda: not site.is_known("minter", other))
    name = site.tickets[0]
    told = site.send(
        other.address, Request_Id=name, First_Send=first_send, **DEADLINE
    )
    assert (told.outcome, site.count_runs(name)) == (outcome, runs)


def test_silent_peer_costs_only_its_own_request(site, own_pair):
    pair = own_pair
    held = threading.Event()
    pair[1]._peers._handlers = {
        kind: lambda *_: held.wait(10) and None
        for kind in pair[1]._peers._handlers
    }
    name = site.mint(pair[1].address)[0]
    told = site.send(pair[0].address, Request_Id=name, **DEADLINE)
    assert (told.outcome, told.reason) == ("unknown", "peer-timeout")
    assert site.send(pair[0].address).outcome == "answered"
    held.set()


def test_paused_minter_leaves_threads_for_others(site):
    process = site.start_process("minter")
    other = site.start_entry("other", threads=4, audit_bytes_s=0.0)
    site.wait_for(lambda: site.is_known("minter", other))
    names = site.mint(site.find_address("minter"), 8)
    paused(site, process)

    def ask(name):
        return site.send(other.address, Request_Id=name, Deadline_Ms="3000")

    with concurrent.futures.ThreadPoolExecutor(8) as pool:
        sent = [pool.submit(ask, name) for name in names]
        # The refused ones are answered at once, but not all at the same time.
        site.wait_for(lambda: sum(one.done() for one in sent) >= 6)
        told = site.send(other.address)
        waiting = [one for one in sent if not one.done()]
        process.send_signal(signal.SIGKILL)
        found = [one.result() for one in sent]
    assert told.outcome == "answered"
    assert len(waiting) == 2
    assert {answer.outcome for answer in found} == {"unknown"}
    reasons = collections.Counter(answer.reason for answer in found)
    assert reasons["too-many-waiting"] == 6


def test_minter_that_stopped_says_what_never_ran(site, own_pair):
    pair = own_pair
    used, unused = site.mint(pair[0].address, 2)
    site.send(pair[0].address, Request_Id=used)
    pair[0].stop()
    told = site.send(pair[1].address, Request_Id=unused, **DEADLINE)
    assert (told.outcome, told.reason) == ("not-run", "minter-left")
    told = site.send(pair[1].address, Request_Id=used, **DEADLINE)
    assert told.outcome == "unknown"


def test_idempotent_requests_need_neither_log_nor_list(faulty):
    site, pair = faulty
    site.fake.log.down = True
    site.fake.members.down = True
    told = site.send(pair[0].address, Idempotent="true", Request_Id="any")
    assert (told.outcome, told.request) == ("answered", "any")


def test_entry_refuses_a_malformed_incarnation(shared_site):
    with pytest.raises(ValueError, match="incarnation"):
        shared_site.start_entry("1-digit-first")
    assert entry.INCARNATION_PATTERN.fullmatch("e-0a")
