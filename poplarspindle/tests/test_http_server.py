"""Contract of the HTTP interface towards callers, at the level of bytes."""

import collections
import socket
import threading
import time

import pytest

from poplarspindle import http_server

WAIT_S = 5.0
START = b"POST /a HTTP/1.1\r\nHost: x\r\n"
NEXT = b"GET /smuggled HTTP/1.1\r\nHost: x\r\n\r\n"


@pytest.fixture(scope="module")
def running():
    seen = []
    counted = collections.Counter()

    def handle(request):
        seen.append(request)
        return http_server.Response(200, request.body)

    server = http_server.Server(
        "127.0.0.1:0",
        handle,
        4,
        caller_s=1.0,
        count=lambda reason: counted.update([reason]),
    )
    server.seen, server.counted, server.address = seen, counted, server.start()
    yield server
    server.stop()


@pytest.fixture
def server(running):
    running.seen.clear()
    running.counted.clear()
    return running


def call(server, data: bytes, ends=True) -> bytes:
    host, _, port = server.address.rpartition(":")
    with socket.create_connection((host, int(port)), WAIT_S) as client_socket:
        client_socket.sendall(data)
        if ends:
            client_socket.shutdown(socket.SHUT_WR)
        found = b""
        while more := client_socket.recv(65536):
            found += more
        return found


@pytest.mark.parametrize(
    ("data", "status"),
    [
        (START + b"Content-Length: 5\r\nContent-Length: 5\r\n\r\nhello", 400),
        (START + b"Content-Length: 0\r\nContent-Length: 5\r\n\r\nhello", 400),
        (
            START + b"Content-Length: 5\r\nTransfer-Encoding: chunked\r\n\r\n"
            b"0\r\n\r\n" + NEXT,
            400,
        ),
        (START + b"Transfer-Encoding: xchunked\r\n\r\n0\r\n\r\n", 400),
        (
            START + b"Transfer-Encoding: chunked\r\n"
            b"Transfer-Encoding: identity\r\n\r\n0\r\n\r\n",
            400,
        ),
        (START + b"Content-Length : 5\r\n\r\nhello", 400),
        (START + b"Content_Length: 5\r\n\r\n", 400),
        (START + b"Request_Id: a\r\n\r\n", 400),
        (START + b"Content-Length: +5\r\n\r\nhello", 400),
        (START + b"Content-Length: -1\r\n\r\n", 400),
        (START + b"Content-Length: 1_0\r\n\r\n0123456789", 400),
        (START + b"Request-Id: a\r\nRequest-Id: b\r\n\r\n", 400),
        (START + b"Request-Id: a\rX: y\r\n\r\n", 400),
        (START + b"Request-Id: a\nX: y\r\n\r\n", 400),
        (START + b"X: a\x00b\r\n\r\n", 400),
        (START + b"no colon\r\n\r\n", 400),
        (b"HELLO\r\n\r\n", 400),
        (START + b"Content-Length: 9\r\n\r\nhello", 400),
        (START + b"Transfer-Encoding: chunked\r\n\r\nzz\r\n", 400),
        (START + b"Transfer-Encoding: chunked\r\n\r\n5\r\nhel", 400),
        (START + b"Content-Length: 99999999999\r\n\r\n", 413),
        (START + b"X: " + b"x" * 70000 + b"\r\n\r\n", 413),
    ],
    ids=[
        "two-equal-lengths",
        "two-lengths",
        "length-and-chunked",
        "odd-coding",
        "two-codings",
        "blank-before-colon",
        "underscore-length",
        "underscore-id",
        "signed-length",
        "negative-length",
        "underscored-digits",
        "two-ids",
        "bare-return",
        "bare-newline",
        "nul",
        "no-colon",
        "no-http",
        "short-body",
        "bad-chunk",
        "cut-chunk",
        "large-body",
        "large-head",
    ],
)
def test_malformed_request_never_reaches_the_handler(data, status, server):
    answer = call(server, data)
    assert answer.startswith(f"HTTP/1.1 {status} ".encode())
    assert answer.count(b"HTTP/1.1 ") == 1
    assert not server.seen
    assert server.counted == {f"http-{status}": 1}


@pytest.mark.parametrize(
    "data",
    [
        START + b"Content-Length: 5\r\n\r\nhello",
        START + b"Transfer-Encoding: chunked\r\n\r\n"
        b"2\r\nhe\r\n3\r\nllo\r\n0\r\n\r\n",
        START + b"Expect: 100-continue\r\nContent-Length: 5\r\n\r\nhello",
    ],
    ids=["length", "chunked", "expect"],
)
def test_whole_request_reaches_the_handler(data, server):
    answer = call(server, data)
    assert answer.endswith(b"\r\n\r\nhello")
    assert [r.body for r in server.seen] == [b"hello"]


def test_requests_behind_one_another_are_answered_in_order(server):
    first = START + b"Content-Length: 1\r\n\r\n1"
    answer = call(server, first + first.replace(b"\r\n\r\n1", b"\r\n\r\n2"))
    assert answer.count(b"200 OK") == 2
    assert [r.body for r in server.seen] == [b"1", b"2"]


@pytest.mark.parametrize(
    "data", [START, START + b"Content-Length: 5\r\n\r\nhel"]
)
def test_slow_caller_is_given_up(data, server):
    """The connection ends though the caller keeps it open."""
    assert call(server, data, ends=False).startswith(b"HTTP/1.1 408 ")
    assert not server.seen
    assert server.counted == {"http-408": 1}


def test_wait_for_a_thread_is_seen():
    seen, release = [], threading.Event()

    def handle(request):
        seen.append(request)
        if len(seen) == 1:
            release.wait(WAIT_S)
        return http_server.Response(200)

    server = http_server.Server("127.0.0.1:0", handle, 1)
    server.address = server.start()
    calls = [
        threading.Thread(target=call, args=(server, START + b"\r\n"))
        for _ in range(2)
    ]
    ends = time.monotonic() + WAIT_S
    calls[0].start()
    while not seen and time.monotonic() < ends:
        time.sleep(0)
    calls[1].start()
    while server._server.requests._queue.empty() and time.monotonic() < ends:
        time.sleep(0)
    queued = time.monotonic()
    release.set()
    for thread in calls:
        thread.join()
    server.stop()
    assert seen[1].waited_s > 0
    assert seen[1].arrived_at <= queued
    assert seen[1].arrived_at + seen[1].waited_s >= queued
