"""Tests of the streams between our own processes."""

import contextlib
import socket
import threading

import msgpack
import pytest

from poplarspindle import messages, metrics, outcomes, peers

QUESTION = messages.TraceQuery("e-1.0")
LONG_S = 10.0


class Peer:
    """A server that can be held, and links to it."""

    def __init__(self) -> None:
        self.counters = metrics.Metrics()
        self.held = threading.Event()
        self.held.set()
        self.server = self.start("127.0.0.1:0")
        self.links = peers.Links(self.counters)

    def start(self, address: str) -> peers.Server:
        """Starts a server."""
        handlers = {messages.TraceQuery: self.answer}
        server = peers.Server(address, handlers, self.counters, 2)
        self.address = server.start()
        return server

    def answer(self, question, deadline):
        """Answers when it is not held."""
        if question.request == "broken":
            raise ValueError(question.request)
        self.held.wait(LONG_S)
        return messages.TraceFound(True, service=question.request)

    def ask(self, question=QUESTION, left_s=LONG_S):
        """Asks the server."""
        return self.links.ask(self.address, question, left_s)

    def count(self, reason: str) -> int:
        """Returns a counter."""
        return self.counters.get(peers.COUNTER, reason)


@pytest.fixture
def peer():
    made = Peer()
    yield made
    made.held.set()
    made.links.close()
    made.server.stop()


def test_answers_are_tied_to_their_questions(peer):
    threads_found = {}

    def ask(name):
        answer = peer.ask(messages.TraceQuery(name))
        threads_found[name] = answer.value.service

    threads = [threading.Thread(target=ask, args=(f"r{i}",)) for i in range(20)]
    for thread in threads:
        thread.start()
    for thread in threads:
        thread.join(LONG_S)
    assert threads_found == {f"r{i}": f"r{i}" for i in range(20)}


@pytest.mark.parametrize(
    "data",
    [
        b"GET / HTTP/1.1\r\n\r\n",
        msgpack.packb([1, 1000, "NoSuchKind", {}]),
        msgpack.packb([1, 1000, "TraceQuery", {"surplus": 1}]),
        msgpack.packb([1, 1000, "TraceFound", {"known": True}]),
        msgpack.packb([1, -5, "TraceQuery", {"request": "a"}]),
        b"\xc1",
        b"\x91" * 5000,
        msgpack.packb([0] * 200) + b"\xc6\xff\xff\xff\xff",
    ],
)
def test_malformed_input_closes_its_stream_only(peer, data, wait):
    host, _, port = peer.address.rpartition(":")
    with socket.create_connection((host, int(port)), LONG_S) as raw:
        raw.sendall(data)
        with contextlib.suppress(ConnectionResetError):
            assert raw.recv(1) == b""
    wait(lambda: peer.count("malformed") == 1)
    assert isinstance(peer.ask(), outcomes.Ok)


def test_oversized_frame_closes_its_stream(peer, monkeypatch, wait):
    monkeypatch.setattr(peers, "MAX_FRAME_BYTES", 1000)
    answer = peer.ask(messages.TraceQuery("x" * 2000))
    assert (answer.reason, answer.may_have_acted) in (
        ("peer-closed", True),
        ("peer-broken", True),
    )
    wait(lambda: peer.count("malformed") == 1)


def test_silent_peer_is_found_by_deadline_and_left():
    counters = metrics.Metrics()
    links = peers.Links(counters)
    with socket.create_server(("127.0.0.1", 0)) as listener:
        address = "{}:{}".format(*listener.getsockname())
        first = links.ask(address, QUESTION, 0.05)
        second = links.ask(address, QUESTION, 0.05)
        for _ in range(2):
            listener.accept()[0].close()
    assert (first.reason, first.may_have_acted) == ("peer-timeout", True)
    assert second.reason == "peer-timeout"
    assert counters.get(peers.COUNTER, "peer-silent") == 2


def test_nobody_listens_is_sure_not_to_have_acted(peer):
    peer.server.stop()
    answer = peer.ask()
    assert answer.reason in ("no-connection", "peer-closed")
    assert not answer.may_have_acted
    peer.server = peer.start(peer.address)


def test_reconnects_after_a_restart(peer, wait):
    assert isinstance(peer.ask(), outcomes.Ok)
    peer.server.stop()
    peer.server = peer.start(peer.address)
    wait(lambda: isinstance(peer.ask(), outcomes.Ok))


def test_failing_handler_closes_the_stream(peer):
    answer = peer.ask(messages.TraceQuery("broken"))
    assert (answer.reason, answer.may_have_acted) == ("peer-closed", True)
    assert peer.count("handler-failed") == 1


def test_queue_is_bounded_and_refuses_surely(peer, monkeypatch):
    monkeypatch.setattr(peers, "MAX_PENDING", 0)
    answer = peer.ask()
    assert answer.reason == "peer-queue-full"
    assert not answer.may_have_acted


def test_stop_answers_what_was_taken_up(peer, wait):
    peer.held.clear()
    found = []
    asker = threading.Thread(target=lambda: found.append(peer.ask()))
    asker.start()
    wait(lambda: peer.server._room._value < peers.MAX_PENDING)
    stopper = threading.Thread(target=peer.server.stop)
    stopper.start()
    peer.held.set()
    asker.join(LONG_S)
    stopper.join(LONG_S)
    assert found == [outcomes.Ok(messages.TraceFound(True, service="e-1.0"))]
    peer.server = peer.start("127.0.0.1:0")
