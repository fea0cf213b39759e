"""Many calls on one thread, against peers that fail in each way."""

import contextlib
import os
import socket
import struct
import threading
import time

import pytest
from structlog import testing

from poplarspindle import http_server, outcomes
from poplarspindle.node import http_client

PATIENCE_S = 30


class Peer:
    """Answers each target in its own way."""

    def __init__(self):
        self.go_on = threading.Event()
        self.server = http_server.Server("127.0.0.1:0", self.handle, 16)
        self.address = self.server.start()

    def handle(self, request):
        """Answers one request."""
        if request.path == "/slow":
            self.go_on.wait(PATIENCE_S)
        if request.path == "/refuse":
            return http_server.Response(409, b'{"reason":"room"}')
        return http_server.Response(200, request.body)

    def stop(self):
        """Stops serving."""
        self.go_on.set()
        self.server.stop()


@pytest.fixture
def peer():
    found = Peer()
    yield found
    found.stop()


@pytest.fixture
def calls():
    found = http_client.HttpClient()
    found.start()
    yield found
    found.stop()


def make_call(address, target="/", body=b"x", timeout_s=PATIENCE_S):
    return http_client.Call(
        outcomes.Step.HOLD,
        "w",
        f"http://{address}{target}",
        ("Content-Type: text/plain",),
        body,
        timeout_s,
    )


def send_all(calls, made):
    """Sends calls at once; returns their outcomes in the calls' order."""
    found, ended = {}, threading.Semaphore(0)

    def take(index, outcome):
        found[index] = outcome
        ended.release()

    def send():
        for index, call in enumerate(made):
            calls.send(call, lambda outcome, i=index: take(i, outcome))

    calls.run_soon(send)
    for _ in made:
        assert ended.acquire(timeout=PATIENCE_S)
    return [found[index] for index in range(len(made))]


def test_each_call_gets_its_own_answer(calls, peer):
    bodies = [b"%d" % number for number in range(50)]
    found = send_all(calls, [make_call(peer.address, "/", b) for b in bodies])
    assert [outcome.value.body for outcome in found] == bodies
    (refused,) = send_all(calls, [make_call(peer.address, "/refuse")])
    assert refused.value.status == 409


def find_closed_address():
    with socket.socket() as found:
        found.bind(("127.0.0.1", 0))
        return f"127.0.0.1:{found.getsockname()[1]}"


def test_refused_connection_surely_did_nothing(calls):
    (found,) = send_all(calls, [make_call(find_closed_address())])
    assert (found.reason, found.may_have_acted) == ("unreachable", False)


def test_silent_peer_may_have_acted_and_holds_nobody_up(calls, peer):
    made = [make_call(peer.address, "/slow", timeout_s=0.2)]
    made += [make_call(peer.address) for _ in range(20)]
    slow, *others = send_all(calls, made)
    assert (slow.reason, slow.may_have_acted) == ("timeout", True)
    assert all(isinstance(outcome, outcomes.Ok) for outcome in others)


def test_own_delay_does_not_pass_for_a_peer_out_of_reach(calls, peer):
    """Load: this machine turns slow just as a connection is made."""
    found = []
    ended = threading.Event()

    def take(outcome):
        found.append(outcome)
        ended.set()

    def send():
        calls.send(make_call(peer.address, timeout_s=0.5), take)
        calls._loop.call_soon(time.sleep, 1.0)

    calls.run_soon(send)
    assert ended.wait(PATIENCE_S)
    assert isinstance(found[0], outcomes.Ok)
    assert calls.retries_after_lag == 1


def test_own_delay_beyond_the_connect_timeout_is_not_a_peer_out_of_reach(
    calls, peer
):
    """Load: this machine turns slow while a long poll makes its connection.

    The connection is there, but its own timeout is over before that is seen.
    """
    found = []
    ended = threading.Event()

    def take(outcome):
        found.append(outcome)
        ended.set()

    def send():
        calls.send(make_call(peer.address, timeout_s=PATIENCE_S), take)
        calls._loop.call_soon(time.sleep, 1.0)

    calls.run_soon(send)
    assert ended.wait(PATIENCE_S)
    assert isinstance(found[0], outcomes.Ok)


def test_answer_that_waits_to_be_read_does_not_pass_for_silence(calls):
    """Load: this machine turns slow while answers come in."""
    asked, answered = threading.Event(), threading.Event()
    found, ended = [], threading.Event()

    def answer():
        connection, _ = listening.accept()
        connection.recv(1000)
        asked.set()
        blocked.wait(PATIENCE_S)
        connection.sendall(b"HTTP/1.1 200 OK\r\nContent-Length: 0\r\n\r\n")
        answered.set()
        ended.wait(PATIENCE_S)
        connection.close()

    def take(outcome):
        found.append(outcome)
        ended.set()

    def block():
        blocked.set()
        answered.wait(PATIENCE_S)
        calls._loop.call_soon(time.sleep, 1.5)

    blocked = threading.Event()
    with socket.create_server(("127.0.0.1", 0)) as listening:
        address = f"127.0.0.1:{listening.getsockname()[1]}"
        thread = threading.Thread(target=answer)
        thread.start()
        call = make_call(address, timeout_s=1.0)
        calls.run_soon(lambda: calls.send(call, take))
        assert asked.wait(PATIENCE_S)
        calls.run_soon(block)
        assert ended.wait(PATIENCE_S)
        thread.join()
    assert isinstance(found[0], outcomes.Ok)


def test_broken_connection_may_have_acted(calls):
    """A worker that dies with an order on its way may have carried it out."""
    with socket.create_server(("127.0.0.1", 0)) as listening:
        address = f"127.0.0.1:{listening.getsockname()[1]}"

        def close_after_reading():
            connection, _ = listening.accept()
            connection.recv(1000)
            connection.close()

        thread = threading.Thread(target=close_after_reading)
        thread.start()
        (found,) = send_all(calls, [make_call(address)])
        thread.join()
    assert (found.reason, found.may_have_acted) == ("broken", True)


def read_call(connection):
    """Reads one whole call; returns its body."""
    received = b""
    while b"\r\n\r\n" not in received:
        received += connection.recv(65536)
    head, _, body = received.partition(b"\r\n\r\n")
    (length,) = (
        int(line.partition(b":")[2])
        for line in head.split(b"\r\n")
        if line.lower().startswith(b"content-length:")
    )
    while len(body) < length:
        body += connection.recv(65536)
    return body


@pytest.mark.parametrize("resets", [False, True])
def test_call_whose_kept_connection_breaks_is_not_sent_again(calls, resets):
    """A worker may carry out both copies, and only the second is answered."""
    ok = b"HTTP/1.1 200 OK\r\nContent-Length: 0\r\n\r\n"
    busy = b"HTTP/1.1 503 Busy\r\nContent-Length: 0\r\n\r\n"
    received = []

    def answer_once_then_break():
        connection, _ = listening.accept()
        received.append(read_call(connection))
        connection.sendall(ok)
        received.append(read_call(connection))
        if resets:
            linger = struct.pack("ii", 1, 0)
            connection.setsockopt(socket.SOL_SOCKET, socket.SO_LINGER, linger)
        connection.close()
        with contextlib.suppress(OSError):  # Nobody connects again.
            connection, _ = listening.accept()
            received.append(read_call(connection))
            connection.sendall(busy)
            connection.close()

    with socket.create_server(("127.0.0.1", 0)) as listening:
        address = f"127.0.0.1:{listening.getsockname()[1]}"
        thread = threading.Thread(target=answer_once_then_break)
        thread.start()
        send_all(calls, [make_call(address, body=b"first")])
        (found,) = send_all(calls, [make_call(address, body=b"start")])
        listening.shutdown(socket.SHUT_RDWR)
        thread.join()
    assert received == [b"first", b"start"]
    assert isinstance(found, outcomes.Failed)
    assert (found.reason, found.may_have_acted) == ("broken", True)


def test_late_answer_is_not_taken_for_that_of_the_next_call(calls):
    """TWICE: a start would count as refused, or as carried out."""
    received = []
    go_on = threading.Event()

    def answer(connection):
        with connection, contextlib.suppress(OSError, ValueError):
            while True:
                body = read_call(connection)
                received.append(body)
                if body == b"late":
                    go_on.wait(PATIENCE_S)
                head = b"HTTP/1.1 200 OK\r\nContent-Length: %d\r\n\r\n"
                connection.sendall(head % len(body) + body)

    def accept():
        with contextlib.suppress(OSError):
            while True:
                connection, _ = listening.accept()
                threading.Thread(target=answer, args=(connection,)).start()

    with socket.create_server(("127.0.0.1", 0)) as listening:
        address = f"127.0.0.1:{listening.getsockname()[1]}"
        threading.Thread(target=accept, daemon=True).start()
        send_all(calls, [make_call(address, body=b"first")])
        late = make_call(address, body=b"late", timeout_s=0.2)
        (timed_out,) = send_all(calls, [late])
        go_on.set()
        found = send_all(calls, [make_call(address, body=b"next")])
        found += send_all(calls, [make_call(address, body=b"last")])
        listening.shutdown(socket.SHUT_RDWR)
    assert (timed_out.reason, timed_out.may_have_acted) == ("timeout", True)
    assert [outcome.value.body for outcome in found] == [b"next", b"last"]
    assert received == [b"first", b"late", b"next", b"last"]


def close_for_writing(address):
    """Lets the next write to a peer fail, on all connections to it."""
    port = int(address.rpartition(":")[2])
    for entry in os.listdir("/proc/self/fd"):
        with contextlib.suppress(OSError):
            found = socket.socket(fileno=os.dup(int(entry)))
            with found:
                if found.getpeername()[1:] == (port,):
                    found.shutdown(socket.SHUT_WR)


def test_call_of_which_nothing_was_sent_goes_by_another_connection(calls, peer):
    """Its kept connection takes no byte; a worker passes for out of reach."""
    send_all(calls, [make_call(peer.address, body=b"first")])
    close_for_writing(peer.address)
    (found,) = send_all(calls, [make_call(peer.address, body=b"second")])
    assert found == outcomes.Ok(http_client.Answer(200, b"second"))
    assert calls.retries_after_send_failure == 1


def test_callback_that_raises_ends_nothing(calls, peer):
    raised = threading.Event()

    def fail(outcome):
        raised.set()
        raise ValueError("defect")

    with testing.capture_logs() as lines:
        calls.run_soon(lambda: 1 / 0)
        calls.run_soon(lambda: calls.send(make_call(peer.address), fail))
        assert raised.wait(PATIENCE_S)
        (found,) = send_all(calls, [make_call(peer.address)])
    assert isinstance(found, outcomes.Ok)
    assert [line["event"] for line in lines] == ["raised", "raised"]


def test_stopped_exchange_makes_no_more_calls(peer):
    calls = http_client.HttpClient()
    calls.start()
    calls.stop()
    calls._thread.join(PATIENCE_S)
    calls.run_soon(lambda: 1 / 0)
    assert not calls._thread.is_alive()
