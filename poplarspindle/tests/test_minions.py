"""Contract of the minions' client: what each fault is taken for."""

import threading

import pytest

from poplarspindle import outcomes
from poplarspindle.clients import minions
from poplarspindle.tools.fakes import minions as fakes
from poplarspindle.tools.fakes import rawpeer

OK = b"HTTP/1.1 200 OK\r\nRequest-Id: r1\r\n"
WHOLE = OK + b"Content-Length: 5\r\n\r\nhello"
LARGE = str(minions.MAX_ANSWER_BYTES + 1).encode()
SHORT_S = 0.3
WAIT_S = 5.0


@pytest.fixture
def make_peer():
    made = []

    def make(script):
        made.append(rawpeer.RawPeer(script))
        return made[-1]

    yield make
    for peer in made:
        peer.close()


def send(client, peer, request="r1", left_s=WAIT_S, service="quotes"):
    return client.send(peer.address, service, request, b"body", left_s)


@pytest.mark.parametrize(
    ("script", "reason", "acted", "left_s"),
    [
        (rawpeer.reset, "reset", True, WAIT_S),
        (rawpeer.say_and_close(b""), "closed", True, WAIT_S),
        (rawpeer.stay_silent, "timeout", True, SHORT_S),
        (rawpeer.say(OK), "timeout", True, SHORT_S),
        (rawpeer.trickle(OK + b"X-Slow: "), "timeout", True, SHORT_S),
        (
            rawpeer.trickle(OK + b"Content-Length: 9999\r\n\r\n"),
            "timeout",
            True,
            SHORT_S,
        ),
        (rawpeer.say_and_close(WHOLE[:-1]), "short-body", True, WAIT_S),
        (rawpeer.say_and_close(OK + b"\r\nhello"), "no-length", True, WAIT_S),
        (
            rawpeer.say(OK + b"Content-Length: 5\r\n" + WHOLE[len(OK) :]),
            "ambiguous-length",
            True,
            WAIT_S,
        ),
        (
            rawpeer.say(
                OK + b"Transfer-Encoding: chunked\r\n" + WHOLE[len(OK) :]
            ),
            "ambiguous-length",
            True,
            WAIT_S,
        ),
        (
            rawpeer.say(OK + b"Content-Length: +5\r\n\r\nhello"),
            "ambiguous-length",
            True,
            WAIT_S,
        ),
        (
            rawpeer.say(OK + b"Transfer-Encoding: gzip, chunked\r\n\r\n"),
            "ambiguous-length",
            True,
            WAIT_S,
        ),
        (
            rawpeer.say_and_close(
                OK + b"Transfer-Encoding: chunked\r\n\r\n5\r\nhello\r\n"
            ),
            "short-body",
            True,
            WAIT_S,
        ),
        (
            rawpeer.say(OK + b"Content-Length: " + LARGE + b"\r\n\r\n"),
            "answer-too-large",
            True,
            WAIT_S,
        ),
        (
            rawpeer.say(OK + b"X: " + b"x" * 70000 + b"\r\n\r\n"),
            "malformed",
            True,
            WAIT_S,
        ),
        (rawpeer.say(OK + b"X: y\r\n" * 200), "malformed", True, WAIT_S),
        (rawpeer.say(b"SMTP hello\r\n\r\n"), "malformed", True, WAIT_S),
        (
            rawpeer.say(b"HTTP/1.1 103 Early\r\n\r\n" + WHOLE),
            "interim-status",
            True,
            WAIT_S,
        ),
        (
            rawpeer.say(WHOLE.replace(b"r1", b"r2")),
            "crossed-answer",
            True,
            WAIT_S,
        ),
        (
            rawpeer.say(
                OK + b"Content-Type: a\r\n b\x07\r\nContent-Length: 0\r\n\r\n"
            ),
            "malformed",
            True,
            WAIT_S,
        ),
        (
            rawpeer.say(
                b"HTTP/1.1 503 No\r\nRefused: slots\r\n"
                b"Content-Length: 0\r\n\r\n"
            ),
            "minion-refused",
            False,
            WAIT_S,
        ),
    ],
    ids=[
        "reset",
        "closed",
        "silent",
        "head-without-end",
        "slow-head",
        "slow-body",
        "short-body",
        "close-delimited",
        "two-lengths",
        "length-and-chunked",
        "signed-length",
        "odd-coding",
        "chunks-without-end",
        "large-body",
        "large-header",
        "many-headers",
        "no-http",
        "interim",
        "crossed",
        "injected-header",
        "refused",
    ],
)
def test_fault(script, reason, acted, left_s, make_peer):
    peer = make_peer(script)
    client = minions.Minions()
    found = send(client, peer, left_s=left_s)
    assert isinstance(found, outcomes.Failed)
    assert (found.reason, found.may_have_acted) == (reason, acted)
    assert found.peer == peer.address
    kept = reason == "minion-refused"
    assert client.count_idle(peer.address) == kept


@pytest.mark.parametrize(
    ("data", "body", "extra"),
    [
        (WHOLE, b"hello", False),
        (WHOLE + WHOLE, b"hello", True),
        (b"HTTP/1.1 100 Continue\r\n\r\n" + WHOLE, b"hello", False),
        (b"HTTP/1.1 204 None\r\n\r\n", b"", False),
        (
            OK + b"Transfer-Encoding: chunked\r\n\r\n5\r\nhello\r\n0\r\n\r\n",
            b"hello",
            False,
        ),
    ],
    ids=["whole", "extra-bytes", "continue", "no-content", "chunked"],
)
def test_whole_answer(data, body, extra, make_peer):
    peer = make_peer(rawpeer.say(data))
    client = minions.Minions()
    found = send(client, peer)
    assert (found.value.body, found.value.extra) == (body, extra)
    assert client.count_idle(peer.address) == (not extra)


def test_nothing_listens():
    client = minions.Minions()
    found = client.send(fakes.find_free_address(), "quotes", "r1", b"", WAIT_S)
    assert (found.step, found.reason) == ("connect", "no-connection")
    assert not found.may_have_acted


@pytest.mark.parametrize(
    ("request_id", "service"),
    [("r\r\nX: y", "quotes"), ("r1", "a b\r\n"), ("\u20ac", "quotes")],
)
def test_injection_is_never_sent(request_id, service, make_peer):
    peer = make_peer(rawpeer.say(WHOLE))
    found = send(minions.Minions(), peer, request_id, service=service)
    assert (found.reason, found.may_have_acted) == ("bad-header", False)
    assert not peer.seen


def test_late_answer_reaches_nobody(make_peer):
    """The answer to r1 comes after its deadline, while r2 waits for its own."""
    late = threading.Event()

    def script(connection, request):
        name = rawpeer.find_header(request, b"request-id")
        if name == b"r1":
            late.wait(WAIT_S)
        connection.sendall(WHOLE.replace(b"r1", name))

    peer = make_peer(script)
    client = minions.Minions()
    assert send(client, peer, left_s=SHORT_S).reason == "timeout"
    late.set()
    found = send(client, peer, "r2")
    assert found.value.body == b"hello"
    assert peer.accepted == 2


@pytest.mark.parametrize("cause", ["closed", "data", "old"])
def test_stale_connection_is_not_used(cause, make_peer):
    """What can't be trusted is left before a byte is sent on it."""
    closing = threading.Event()

    def script(connection, request):
        connection.sendall(WHOLE)
        if cause != "old" and len(peer.seen) == 1:
            closing.wait(WAIT_S)
            if cause == "closed":
                raise ConnectionError
            connection.sendall(WHOLE)

    peer = make_peer(script)
    client = minions.Minions(idle_s=0.0 if cause == "old" else WAIT_S)
    assert send(client, peer).value.body == b"hello"
    (idle,) = client._idle[peer.address]
    closing.set()
    if cause != "old":
        idle.connection.sock.settimeout(WAIT_S)
        idle.connection.sock.recv(1, minions.socket.MSG_PEEK)
    assert send(client, peer).value.body == b"hello"
    assert len(peer.seen) == peer.accepted == 2


def test_aborted_call_ends_at_once(make_peer):
    peer = make_peer(rawpeer.stay_silent)
    client = minions.Minions()
    call = minions.Call()
    threading.Timer(0.05, call.abort).start()
    found = client.send(peer.address, "quotes", "r1", b"", 60.0, call)
    assert (found.reason, found.may_have_acted) == ("aborted", True)
    assert client.count_idle(peer.address) == 0
