"""Calls run out of time in order, by one timer that moves."""

import contextlib
import socket
import threading

import pytest

from poplarspindle.node import call_deadlines, http_client
from poplarspindle.tests import test_http_client, test_watched_sockets

PATIENCE_S = test_http_client.PATIENCE_S
SHORT_S = 0.1
calls = test_http_client.calls
peer = test_http_client.peer


@pytest.fixture
def silent_address():
    """Address of a peer that takes connections and answers nothing."""
    with socket.create_server(("127.0.0.1", 0), backlog=64) as listening:
        yield f"127.0.0.1:{listening.getsockname()[1]}"


@pytest.mark.parametrize(
    ("due_at", "over", "now", "expected", "first"),
    [
        pytest.param([], [], 9, "", float("inf"), id="none"),
        pytest.param([5, 5, 5], [], 5, "abc", float("inf"), id="equal"),
        pytest.param([7, 6, 5], [], 6, "cb", 7, id="earliest first"),
        pytest.param([5, 6, 7], [], 4, "", 5, id="none is due"),
        pytest.param([5, 6, 7], [0], 4, "", 6, id="the earliest is over"),
        pytest.param([5, 6, 7], [1], 6, "a", 7, id="another is over"),
        pytest.param([5, 6], [0, 1], 9, "", float("inf"), id="all are over"),
    ],
)
def test_calls_whose_time_is_over_are_taken_in_order(
    due_at, over, now, expected, first
):
    deadlines = call_deadlines.CallDeadlines()
    numbers = [
        deadlines.add(at, name) for at, name in zip(due_at, "abc", strict=False)
    ]
    for index in over:
        deadlines.remove(numbers[index])
    assert "".join(deadlines.take_due(now)) == expected
    assert deadlines.get_first() == first


def record_ends(calls, made):
    """Sends calls, each in a turn of its own; returns reasons as they end."""
    ends, ended = [], threading.Semaphore(0)

    def take(index, outcome):
        ends.append((index, getattr(outcome, "reason", "answered")))
        ended.release()

    for index, call in enumerate(made):
        calls.run_soon(
            lambda index=index, call=call: calls.send(
                call, lambda outcome: take(index, outcome)
            )
        )
    for _ in made:
        assert ended.acquire(timeout=PATIENCE_S)
    return ends


def test_calls_with_equal_timeouts_end_in_the_order_they_were_sent(
    calls, silent_address
):
    call = test_http_client.make_call(silent_address, timeout_s=SHORT_S)
    ends = record_ends(calls, [call] * 10)
    assert ends == [(index, "timeout") for index in range(10)]


def test_call_sent_later_with_less_time_ends_first(calls, silent_address):
    """The timer is set for the first call, and has to move for each."""
    made = [
        test_http_client.make_call(silent_address, timeout_s=timeout_s)
        for timeout_s in (10 * SHORT_S, 5 * SHORT_S, SHORT_S)
    ]
    ends = record_ends(calls, made)
    assert ends == [(2, "timeout"), (1, "timeout"), (0, "timeout")]


def test_call_runs_out_of_time_after_others_were_answered(
    calls, peer, silent_address
):
    """The timer runs for an answered call, and has to be set anew."""
    made = [
        test_http_client.make_call(peer.address, timeout_s=10 * SHORT_S),
        test_http_client.make_call(silent_address, timeout_s=12 * SHORT_S),
    ]
    ends = record_ends(calls, made)
    assert ends == [(0, "answered"), (1, "timeout")]


def test_connection_that_is_not_made_fails_long_before_the_call(calls):
    """A poll has seconds, a connection has not: the timer of libcurl."""
    with contextlib.ExitStack() as stack:
        listening = stack.enter_context(
            socket.create_server(("127.0.0.1", 0), backlog=0)
        )
        for _ in range(4):  # More than wait to be accepted.
            waiting = stack.enter_context(socket.socket())
            waiting.setblocking(False)
            waiting.connect_ex(listening.getsockname())
        address = f"127.0.0.1:{listening.getsockname()[1]}"
        call = test_http_client.make_call(address, timeout_s=2 * PATIENCE_S)
        (found,) = test_http_client.send_all(calls, [call])
    assert (found.reason, found.may_have_acted) == ("unreachable", False)


def test_no_call_in_flight_leaves_no_deadline(calls, peer):
    made = [test_http_client.make_call(peer.address, timeout_s=PATIENCE_S)] * 20
    record_ends(calls, made)
    assert calls._deadlines.get_first() == float("inf")
    assert not calls._deadlines._handles


def test_stopped_client_ends_no_call(silent_address):
    calls = http_client.HttpClient()
    calls.start()
    call = test_http_client.make_call(silent_address, timeout_s=SHORT_S)
    ends = []
    calls.run_soon(lambda: calls.send(call, ends.append))
    calls.run_soon(lambda: calls.run_later(0, calls.stop))
    calls._thread.join(PATIENCE_S)
    assert not calls._thread.is_alive()
    assert ends == []


def test_timer_moves_to_a_deadline_that_is_earlier(calls, silent_address):
    """A call would end with the timer of another one, however late."""
    for timeout_s in (PATIENCE_S, SHORT_S):
        call = test_http_client.make_call(silent_address, timeout_s=timeout_s)
        calls.run_soon(lambda call=call: calls.send(call, lambda _: None))
        for _ in range(2):  # The call is begun a turn after it was made.
            test_watched_sockets.run_on_thread(calls, lambda: None)
        timer_at, first = test_watched_sockets.run_on_thread(
            calls,
            lambda: (calls._timer.when(), calls._deadlines.get_first()),
        )
        assert timer_at <= first
