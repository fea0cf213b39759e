"""The inventory: which workers are alive, by the platform's machines."""

import json
import threading
import time

import pytest

from poplarspindle import outcomes
from poplarspindle.node import inventory
from poplarspindle.platform import machines, settings, transport

SETTINGS = """
node_name=n
zone=z
listen_addrs.frontend=127.0.0.1:1
listen_addrs.readiness=127.0.0.1:2
platform.address=127.0.0.1:3
"""


def make_row(name, state="up"):
    return {"machine": f"m-{name}", "state": state, "id": name}


class FakeCalls:
    """Answers by a script; keeps what was asked for."""

    def __init__(self, answers):
        self._answers = list(answers)
        self.targets = []

    def call(self, step, method, target, body, timeout_s):
        """Returns the next answer."""
        self.targets.append((method, target))
        status, fields = self._answers.pop(0)
        body = json.dumps(fields).encode()
        return outcomes.Ok(transport.Answer(status, body))


def read(*answers):
    found = machines.Machines("a:1")
    found._calls = FakeCalls(answers)
    return found.read_alive(), found._calls.targets


def make_page(*rows, token=None):
    return 200, {"machines": list(rows), "next_token": token}


@pytest.mark.parametrize(
    ("row", "is_alive"),
    [
        pytest.param(make_row("w"), True, id="up"),
        pytest.param(make_row("w", "down"), False, id="down"),
        pytest.param(make_row("w", "moving"), False, id="moving"),
        pytest.param(make_row("w", "upkeep"), False, id="upkeep"),
        pytest.param(make_row("w", "new"), True, id="state-not-known"),
        pytest.param({"machine": "m", "state": "down"}, False, id="no-worker"),
        pytest.param(make_row("x"), False, id="another-life"),
    ],
)
def test_worker_is_alive_while_its_machine_is_up(row, is_alive):
    answer, _ = read(make_page(make_row("v"), row))
    assert ("w" in answer.value) == is_alive


def test_all_pages_are_read():
    answer, targets = read(
        make_page(make_row("v"), token="t 2"), make_page(make_row("w"))
    )
    assert answer == outcomes.Ok(frozenset({"v", "w"}))
    assert targets == [
        ("GET", "/api/machines"),
        ("GET", "/api/machines?page_token=t+2"),
    ]


@pytest.mark.parametrize(
    ("answers", "reason"),
    [
        pytest.param([(404, {})], "status-404", id="none"),
        pytest.param([(429, {})], "status-429", id="refused"),
        pytest.param([(200, {})], "malformed", id="no-machines"),
        pytest.param([make_page("w")], "malformed", id="odd-row"),
        pytest.param([make_page({"id": 5})], "malformed", id="odd-id"),
        pytest.param(
            [make_page(token="t"), (503, {})], "status-503", id="second-page"
        ),
    ],
)
def test_reading_that_lacks_a_row_tells_nothing(answers, reason):
    """TWICE: a worker in the row that is lacking would count as dead."""
    answer, _ = read(*answers)
    assert answer.reason == reason


def test_platform_without_machines_tells_nothing():
    assert machines.Machines("").read_alive().reason == "no-address"


@pytest.mark.parametrize("address", ["", "10.0.0.9:8169"])
def test_address_is_read_from_the_settings(address):
    text = SETTINGS + f"cloud.address={address}\n"
    assert settings.read_settings(text).inventory_address == address


class FakeInventory:
    """Answers when it is told to."""

    def __init__(self, answer):
        self.answer = answer
        self.asked = 0
        self.go_on = threading.Event()

    def read_alive(self):
        """Returns the answer."""
        self.asked += 1
        self.go_on.wait(10)
        return self.answer


def wait_until(condition):
    until = time.monotonic() + 10
    while not condition():
        assert time.monotonic() < until
        time.sleep(0.01)


def test_one_reading_at_a_time_is_posted():
    found = FakeInventory(outcomes.Ok(frozenset({"w"})))
    posted = []
    reader = inventory.InventoryReader(found, posted.append, threading.Event())
    reader.ask()
    reader.ask()
    found.go_on.set()
    wait_until(lambda: posted)
    assert found.asked == 1
    assert posted[0].alive == frozenset({"w"})
    assert posted[0].asked_at <= posted[0].at
    reader.ask()
    wait_until(lambda: len(posted) == 2)


def test_failed_reading_posts_nothing_and_another_one_may_follow():
    failure = outcomes.Failed(outcomes.Step.LIST, "a:1", "timeout")
    found = FakeInventory(failure)
    found.go_on.set()
    posted = []
    reader = inventory.InventoryReader(found, posted.append, threading.Event())
    wait_until(lambda: reader.ask() or found.asked >= 2)
    assert posted == []


def test_platform_without_inventory_is_not_asked():
    posted = []
    reader = inventory.InventoryReader(None, posted.append, threading.Event())
    reader.ask()
    assert posted == []
