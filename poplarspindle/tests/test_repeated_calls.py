"""TWICE: no library below an order repeats it, or answers for another one."""

import threading

import pytest

from poplarspindle import outcomes
from poplarspindle.node import http_client
from poplarspindle.platform import transport
from poplarspindle.tools.fakes import rawpeer

PATIENCE_S = 30
SHORT_S = 0.2


class OrderCalls:
    """Sends a body as orders to workers are sent."""

    def __init__(self, address):
        self._address = address
        self._client = http_client.HttpClient()
        self._client.start()
        self.close = self._client.stop

    def call(self, body, timeout_s=PATIENCE_S):
        """Returns the outcome of one call."""
        call = http_client.Call(
            outcomes.Step.START,
            "w",
            f"http://{self._address}/api/run-start",
            ("Content-Type: application/json",),
            body,
            timeout_s,
        )
        ended, found = threading.Event(), []

        def take(outcome):
            found.append(outcome)
            ended.set()

        self._client.run_soon(lambda: self._client.send(call, take))
        assert ended.wait(PATIENCE_S)
        return found[0]


class StoreCalls:
    """Sends a body as appends to the store are sent."""

    def __init__(self, address):
        self._transport = transport.Transport(address)
        self.close = self._transport.close

    def call(self, body, timeout_s=PATIENCE_S):
        """Returns the outcome of one call."""
        return self._transport.call(
            outcomes.Step.APPEND, "POST", "/api/log-append", body, timeout_s
        )


CLIENTS = pytest.mark.parametrize("make_client", [OrderCalls, StoreCalls])


def make_answer(status, body=b"", *headers):
    """Makes the bytes of an answer."""
    lines = [b"HTTP/1.1 " + status, b"Content-Length: %d" % len(body), *headers]
    return b"\r\n".join([*lines, b"", body])


def read_body(request):
    """Returns the body of a request's bytes."""
    return request.partition(b"\r\n\r\n")[2]


def echo(connection, request):
    """Answers with the body of the request."""
    connection.sendall(make_answer(b"200 OK", read_body(request)))


def exchange(make_client, first_answer, calls):
    """Makes calls to a peer that answers the first one by a script.

    Returns the peer's requests, by body, and the outcomes.
    """

    def script(connection, request):
        answer = first_answer if len(peer.seen) == 1 else echo
        answer(connection, request)

    peer = rawpeer.RawPeer(script)
    client = make_client(peer.address)
    try:
        found = [client.call(*call) for call in calls]
    finally:
        client.close()
        peer.close()
    return [read_body(request) for request in peer.seen], found


@CLIENTS
@pytest.mark.parametrize(
    ("status", "headers"),
    [
        (b"301 Moved", [b"Location: /other"]),
        (b"302 Found", [b"Location: /other"]),
        (b"307 Temporary Redirect", [b"Location: /other"]),
        (b"308 Permanent Redirect", [b"Location: /other"]),
        (b"401 Unauthorized", [b'WWW-Authenticate: Basic realm="r"']),
        (
            b"401 Unauthorized",
            [b'WWW-Authenticate: Digest realm="r",nonce="n"'],
        ),
        (b"407 Proxy", [b'Proxy-Authenticate: Basic realm="r"']),
        (b"408 Request Timeout", [b"Connection: close"]),
        (b"413 Too Large", [b"Retry-After: 0"]),
        (b"417 Expectation Failed", []),
        (b"421 Misdirected Request", []),
        (b"425 Too Early", []),
        (b"426 Upgrade Required", [b"Upgrade: h2c", b"Connection: Upgrade"]),
        (b"429 Too Many Requests", [b"Retry-After: 0"]),
        (b"503 Busy", [b"Retry-After: 0"]),
        (b"503 Busy", [b"Retry-After: 0", b"Connection: close"]),
        (b"504 Timeout", []),
    ],
)
def test_answer_that_invites_a_repeat_is_told_and_nothing_is_sent_again(
    make_client, status, headers
):
    """TWICE: a start is carried out once more, and only one is accounted for.

    A redirect, an authentication or a hint when to retry is answered for.
    """
    answer = rawpeer.say(make_answer(status, b"", *headers))
    seen, (refused, following) = exchange(
        make_client, answer, [(b"start",), (b"next",)]
    )
    assert seen == [b"start", b"next"]
    assert refused.value.status == int(status[:3])
    assert following.value.body == b"next"


INTERIM = [
    b"HTTP/1.1 100 Continue\r\n\r\n",
    b"HTTP/1.1 102 Processing\r\n\r\n",
    b"HTTP/1.1 103 Early Hints\r\nLink: </x>\r\n\r\n",
]


@pytest.mark.parametrize(
    ("make_client", "interim"),
    [
        *((OrderCalls, interim) for interim in INTERIM),
        (StoreCalls, INTERIM[0]),
    ],
)
def test_interim_answer_is_not_taken_for_that_of_the_call(make_client, interim):
    """TWICE: the answer that follows would be read as the next call's."""

    def answer(connection, request):
        connection.sendall(interim + make_answer(b"409 Conflict", b"refused"))

    seen, (refused, following) = exchange(
        make_client, answer, [(b"start",), (b"next",)]
    )
    assert seen == [b"start", b"next"]
    assert refused.value.body == b"refused"
    assert following.value.body == b"next"


@pytest.mark.parametrize("interim", INTERIM[1:])
def test_append_that_is_told_by_an_interim_answer_leaves_none_to_the_next(
    interim,
):
    """TWICE: a start is sent for an append that was not stored.

    The final answer to the call before comes when the next call was sent.
    """

    def answer(connection, request):
        connection.sendall(interim)
        if rawpeer.read_request(connection):
            connection.sendall(make_answer(b"200 OK", b"of the call before"))

    _, (told, following) = exchange(
        StoreCalls, answer, [(b"append",), (b"next",)]
    )
    assert (told.reason, told.may_have_acted) == ("broken", True)
    assert following.value.body == b"next"


@CLIENTS
@pytest.mark.parametrize("at_once", [False, True])
def test_second_answer_to_a_call_is_not_taken_for_that_of_the_next(
    make_client, at_once
):
    """TWICE: the next start would count as carried out, or as refused.

    The second answer is there before the next call is made.
    """
    mine = make_answer(b"200 OK", b"mine")
    second = make_answer(b"503 Busy", b"not yours")
    go_on, sent = threading.Event(), threading.Event()

    def answer(connection, request):
        if read_body(request) != b"start":
            echo(connection, request)
        elif at_once:
            connection.sendall(mine + second)
            sent.set()
        else:
            connection.sendall(mine)
            go_on.wait(PATIENCE_S)
            connection.sendall(second)
            sent.set()

    peer = rawpeer.RawPeer(answer)
    client = make_client(peer.address)
    try:
        first = client.call(b"start")
        go_on.set()
        assert sent.wait(PATIENCE_S)
        following = client.call(b"next")
    finally:
        client.close()
        peer.close()
    assert first.value.body == b"mine"
    assert following.value.body == b"next"


@CLIENTS
@pytest.mark.parametrize(
    "begun",
    [
        b"",
        b"HTTP/1.1 20",
        b"HTTP/1.1 200 OK\r\nContent-Le",
        b"HTTP/1.1 200 OK\r\nContent-Length: 4\r\n\r\nla",
        b"HTTP/1.1 100 Continue\r\n\r\n",
    ],
)
def test_connection_of_a_call_that_timed_out_is_not_used_again(
    make_client, begun
):
    """TWICE: its late answer would be read as the next call's."""
    peer_connections = []

    def answer(connection, request):
        peer_connections.append(connection)
        connection.sendall(begun)

    def script(connection, request):
        if read_body(request) == b"late":
            answer(connection, request)
        else:
            used.append(connection)
            echo(connection, request)

    used = []
    peer = rawpeer.RawPeer(script)
    client = make_client(peer.address)
    try:
        before = client.call(b"before")
        late = client.call(b"late", SHORT_S)
        following = [client.call(body) for body in (b"next", b"last")]
    finally:
        client.close()
        peer.close()
    assert before.value.body == b"before"
    assert (late.reason, late.may_have_acted) == ("timeout", True)
    assert [outcome.value.body for outcome in following] == [b"next", b"last"]
    assert [read_body(request) for request in peer.seen] == [
        b"before",
        b"late",
        b"next",
        b"last",
    ]
    assert peer_connections[0] not in used[1:]


@CLIENTS
@pytest.mark.parametrize(
    "script",
    [rawpeer.reset, rawpeer.say_and_close(b"")],
    ids=["reset", "close"],
)
@pytest.mark.parametrize("kept", [False, True])
def test_call_whose_connection_breaks_without_an_answer_is_sent_once(
    make_client, script, kept
):
    """TWICE: the second copy is refused, and the first one runs."""

    def answer(connection, request):
        chosen = script if read_body(request) == b"start" else echo
        chosen(connection, request)

    peer = rawpeer.RawPeer(answer)
    client = make_client(peer.address)
    bodies = [b"before"] * kept + [b"start", b"next"]
    try:
        *_, broken, following = [client.call(body) for body in bodies]
    finally:
        client.close()
        peer.close()
    assert (broken.reason, broken.may_have_acted) == ("broken", True)
    assert following.value.body == b"next"
    assert [read_body(request) for request in peer.seen] == bodies
