"""Sockets of idle connections stay registered, and closed ones harm nobody."""

import contextlib
import os
import select
import socket
import threading

import pycurl
import pytest

from poplarspindle import outcomes
from poplarspindle.node import http_client, watched_sockets
from poplarspindle.tests import test_http_client

READS, WRITES = pycurl.CSELECT_IN, pycurl.CSELECT_OUT
calls = test_http_client.calls
peer = test_http_client.peer


@pytest.fixture
def sockets():
    found = watched_sockets.WatchedSockets()
    yield found
    found.close()


@pytest.fixture
def pair():
    own, peer = socket.socketpair()
    yield own, peer
    own.close()
    peer.close()


def poll(sockets):
    found = []
    sockets.poll(lambda *ready: found.append(ready))
    return found


def is_ready(sockets):
    return bool(select.select([sockets.descriptor], [], [], 0)[0])


def keep_idle(sockets, descriptor):
    sockets.announce(descriptor)
    sockets.watch(descriptor, True, False)
    sockets.stop_watching(descriptor)


def replace(descriptor):
    """Closes a socket and gives its number to a new one; returns the peer."""
    own, peer = socket.socketpair()
    os.dup2(own.fileno(), descriptor)
    own.close()
    return peer


@pytest.mark.parametrize("announced", [True, False])
@pytest.mark.parametrize(
    ("reads", "writes"), [(True, False), (False, True), (True, True)]
)
def test_socket_is_told_while_it_is_waited_for(
    sockets, pair, announced, reads, writes
):
    own, peer = pair
    if announced:
        sockets.announce(own.fileno())
    for _ in range(2):
        peer.send(b"x")
        sockets.watch(own.fileno(), reads, writes)
        assert is_ready(sockets)
        assert poll(sockets) == [
            (own.fileno(), (READS if reads else 0) | (WRITES if writes else 0))
        ]
        sockets.stop_watching(own.fileno())
        assert poll(sockets) == []
        assert not is_ready(sockets)
        own.recv(1)


def test_idle_connection_is_told_when_it_is_used_again(sockets, pair):
    own, peer = pair
    keep_idle(sockets, own.fileno())
    sockets.watch(own.fileno(), True, False)
    assert poll(sockets) == []
    peer.send(b"x")
    assert poll(sockets) == [(own.fileno(), READS)]
    sockets.watch(own.fileno(), False, True)
    assert poll(sockets) == [(own.fileno(), WRITES)]


def test_idle_connection_that_the_peer_closes_does_not_spin(sockets, pair):
    own, peer = pair
    keep_idle(sockets, own.fileno())
    peer.close()
    assert is_ready(sockets)
    assert poll(sockets) == []
    assert not is_ready(sockets)
    sockets.watch(own.fileno(), True, False)
    assert [found for found, *_ in poll(sockets)] == [own.fileno()]


@pytest.mark.parametrize(
    ("reads", "writes"), [(True, False), (False, True), (True, True)]
)
def test_idle_connection_on_which_something_waits_is_ended(pair, reads, writes):
    """TWICE: the next call would read it as its answer."""
    own, peer = pair
    ended = []
    sockets = watched_sockets.WatchedSockets(ended.append)
    sockets.announce(own.fileno())
    sockets.watch(own.fileno(), reads, writes)
    sockets.stop_watching(own.fileno())
    assert poll(sockets) == ended == []
    peer.send(b"x")
    assert poll(sockets) == []
    assert ended == [own.fileno()]
    assert not is_ready(sockets)
    sockets.close()


def test_connection_that_is_shut_down_takes_no_byte(pair):
    """TWICE: a call that is sent may have been carried out."""
    own, _ = pair
    watched_sockets.shut_down(own.fileno())
    with pytest.raises(BrokenPipeError):
        own.send(b"x")


@pytest.mark.parametrize("peer_closed_first", [True, False])
def test_new_connection_with_the_number_of_a_closed_one_is_told(
    sockets, pair, peer_closed_first
):
    own, peer = pair
    keep_idle(sockets, own.fileno())
    if peer_closed_first:
        peer.close()
        poll(sockets)
    with replace(own.fileno()) as new_peer:
        keep_idle(sockets, own.fileno())
        sockets.watch(own.fileno(), True, False)
        assert poll(sockets) == []
        new_peer.send(b"x")
        assert poll(sockets) == [(own.fileno(), READS)]


def test_connection_closed_while_waited_for_leaves_nothing_to_the_next(
    sockets, pair
):
    """Libcurl stops waiting for a socket of a call that failed, and closes."""
    own, _ = pair
    sockets.announce(own.fileno())
    sockets.watch(own.fileno(), True, True)
    sockets.stop_watching(own.fileno())
    with replace(own.fileno()) as new_peer:
        sockets.watch(own.fileno(), True, False)
        assert poll(sockets) == []
        new_peer.send(b"x")
        assert poll(sockets) == [(own.fileno(), READS)]


def test_socket_that_is_closed_first_is_forgotten(sockets, pair):
    own, _ = pair
    descriptor = own.fileno()
    sockets.watch(descriptor, True, False)
    own.close()
    sockets.stop_watching(descriptor)
    assert poll(sockets) == []


def answer_one_call(connection, header=b""):
    """Answers one call with its body, then closes the connection."""
    with connection:
        body = test_http_client.read_call(connection)
        length = b"Content-Length: %d\r\n" % len(body)
        head = b"HTTP/1.1 200 OK\r\n" + header + length + b"\r\n"
        connection.sendall(head + body)


def run_on_thread(calls, work):
    """Runs a function on the client's thread; returns what it returns."""
    found, ended = [], threading.Event()

    def run():
        found.append(work())
        ended.set()

    calls.run_soon(run)
    assert ended.wait(test_http_client.PATIENCE_S)
    return found[0]


def test_idle_connection_that_its_peer_closes_does_not_spin(calls, peer):
    """Its socket stays readable for good; the loop would never wait again."""
    with socket.create_server(("127.0.0.1", 0)) as listening:
        address = f"127.0.0.1:{listening.getsockname()[1]}"
        thread = threading.Thread(
            target=lambda: answer_one_call(listening.accept()[0])
        )
        thread.start()
        test_http_client.send_all(calls, [test_http_client.make_call(address)])
        thread.join()
    test_http_client.send_all(
        calls, [test_http_client.make_call(peer.address)]
    )  # A turn after the close.
    descriptor = calls._sockets.descriptor
    assert run_on_thread(
        calls, lambda: select.select([descriptor], [], [], 0)[0] == []
    )


def test_connection_gets_its_answer_on_a_reused_descriptor(calls):
    """Connections are closed, and the numbers of their sockets come again.

    A socket that counts as registered though the kernel let go of the one
    before it would never be read.
    """
    opened, announce = [], calls._sockets.announce

    def record(descriptor):
        opened.append(descriptor)
        announce(descriptor)

    calls._sockets.announce = record

    def accept():
        with contextlib.suppress(OSError):
            while True:
                connection, _ = listening.accept()
                answer_one_call(connection, b"Connection: close\r\n")

    with socket.create_server(("127.0.0.1", 0)) as listening:
        thread = threading.Thread(target=accept, daemon=True)
        thread.start()
        port = listening.getsockname()[1]
        for number in range(20):
            # Names are looked up on threads that wake the client up.
            host = "localhost" if number % 2 else "127.0.0.1"
            body = b"%d" % number
            (found,) = test_http_client.send_all(
                calls, [test_http_client.make_call(f"{host}:{port}", body=body)]
            )
            assert found == outcomes.Ok(http_client.Answer(200, body))
        listening.shutdown(socket.SHUT_RDWR)
        thread.join()
    assert len(set(opened)) < len(opened)


def test_all_sockets_that_are_ready_are_told_at_once(sockets):
    """Load: an owner was paused, and calls run out of time after this.

    A thousand workers have a poll each in flight, and hundreds an order.
    """
    descriptors = [os.eventfd(1) for _ in range(1500)]
    try:
        for descriptor in descriptors:
            sockets.announce(descriptor)
            sockets.watch(descriptor, True, False)
        assert {found for found, _ in poll(sockets)} == set(descriptors)
    finally:
        for descriptor in descriptors:
            os.close(descriptor)
