"""Contract between an entry and its minions, in features/minions.feature."""

import time

import pytest
import pytest_bdd

from poplarspindle import dispatch, metrics, reports
from poplarspindle.clients import minions
from poplarspindle.tools.fakes import rawpeer

OK = b"HTTP/1.1 200 OK\r\nRequest-Id: r1\r\n"
WHOLE = OK + b"Content-Length: 5\r\n\r\nhello"
FAULTS = {
    "refuses before running": rawpeer.say(
        b"HTTP/1.1 503 No\r\nRefused: slots\r\nContent-Length: 0\r\n\r\n"
    ),
    "resets the connection": rawpeer.reset,
    "ends its body early": rawpeer.say_and_close(WHOLE[:-1]),
    "answers without a length": rawpeer.say_and_close(OK + b"\r\nhello"),
    "answers another request": rawpeer.say(WHOLE.replace(b"r1", b"r2")),
    "stays silent": rawpeer.stay_silent,
}
DEADLINE_S = 0.5

pytest_bdd.scenarios("features/minions.feature")


@pytest.fixture
def peers():
    made = []
    yield made
    for peer in made:
        peer.close()


@pytest_bdd.given(
    pytest_bdd.parsers.re("two minions of which the first asked (?P<fault>.+)"),
    target_fixture="dispatcher",
)
def start_minions(fault, peers):
    def script(connection, request):
        asked = sum(len(peer.seen) for peer in peers)
        answer = FAULTS[fault] if asked == 1 else rawpeer.say(WHOLE)
        answer(connection, request)

    peers.extend(rawpeer.RawPeer(script) for _ in range(2))
    dispatcher = dispatch.Dispatcher(
        1,
        "least_expected",
        minions.Minions(),
        metrics.Metrics(),
        0,
        dispatch.Rules(retry_share=1.0),
    )
    dispatcher.apply_members(
        tuple(
            reports.Member(
                peer.address,
                reports.Role.MINION,
                "ourthe",
                address=peer.address,
                services=("quotes",),
                connections=64,
            )
            for peer in peers
        )
    )
    return dispatcher


@pytest_bdd.when(
    pytest_bdd.parsers.parse(
        "a caller sends a request whose idempotence is {idempotent}"
    ),
    target_fixture="told",
)
def send(idempotent, dispatcher):
    deadline = time.monotonic() + DEADLINE_S
    return dispatcher.dispatch(
        "quotes", "r1", b"x", idempotent == "true", deadline
    )


@pytest_bdd.then(pytest_bdd.parsers.parse("the caller is told {outcome}"))
def check_outcome(outcome, told):
    if outcome == "answered":
        assert told.body == b"hello"
    else:
        assert told.outcome == outcome


@pytest_bdd.then(
    pytest_bdd.parsers.parse("the minions were asked {times:d} times")
)
def check_times(times, peers):
    assert sum(len(peer.seen) for peer in peers) == times
