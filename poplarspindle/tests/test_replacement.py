"""Entries as real processes: SIGTERM under load, rolling replacement."""

import concurrent.futures
import signal

import pytest

from poplarspindle.tools.benches import replacement
from poplarspindle.tools.fakes import minions

ENTRIES = 3
SLOW_FACTOR = 200.0


@pytest.fixture(scope="module")
def found():
    return replacement.measure(ENTRIES)


@pytest.mark.parametrize(
    "name",
    ["cut", "executed_twice", "not_run_but_ran", "wrong_answers", "not_ready"],
)
def test_nothing_is_lost_while_entries_are_replaced(found, name):
    assert found[name] == 0


def test_every_old_entry_ended_by_itself(found):
    assert found["exit_codes"] == [0] * ENTRIES


def test_load_went_on_all_the_time(found):
    assert found["requests"] > 100
    assert found["answered"] + found["not_run"] == found["requests"]


def test_readiness_failed_before_the_end(found):
    assert found["seen_leaving"] == ENTRIES


def test_request_longer_than_the_leave_is_finished(site, wait):
    process = site.start_process("slow", leave_s=0.05)
    address = site.find_address("slow")
    for minion in site.fake.minions:
        minion.slow_factor = SLOW_FACTOR
    with concurrent.futures.ThreadPoolExecutor(1) as pool:
        sent = pool.submit(site.send, address, Deadline_Ms="10000")
        wait(lambda: site.fake.executions)
        process.send_signal(signal.SIGTERM)
        told = sent.result()
    assert told.outcome == "answered"
    assert told.body == minions.compute_answer(told.request, b"trek")
    assert process.wait(10) == 0


def test_entry_is_not_ready_before_it_knows_the_minions(site, wait):
    site.fake.members.down = True
    made = site.start_entry("early")
    assert site.call(made.address, "/readyz", method="GET").status == 503
    site.fake.members.down = False
    wait(lambda: site.call(made.address, "/readyz", method="GET").status == 200)
    assert site.send(made.address).outcome == "answered"
