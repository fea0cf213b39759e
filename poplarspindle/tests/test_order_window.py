"""Limit of an owner's orders in flight, and the senders' turns."""

import pytest

from poplarspindle.node import order_window

FAST_S = 0.01
LATE_S = 0.2
SAMPLES = order_window.SAMPLE_ANSWERS
LIMIT_CASES = [
    pytest.param([FAST_S] * SAMPLES, True, 128 + 16, id="used up, grows"),
    pytest.param([FAST_S] * SAMPLES, False, 128, id="not used up, stays"),
    pytest.param([LATE_S] * SAMPLES, True, 89, id="late, shrinks"),
    pytest.param([LATE_S] * (SAMPLES - 1), True, 128, id="too few to tell"),
    pytest.param(
        [FAST_S] * (SAMPLES - 10) + [LATE_S] * 10,
        True,
        128 + 16,
        id="a few slow workers do not shrink it",
    ),
    pytest.param(
        [LATE_S] * 40 * SAMPLES, True, order_window.MIN_LIMIT, id="least"
    ),
    pytest.param(
        [FAST_S] * 40 * SAMPLES, True, order_window.MAX_LIMIT, id="most"
    ),
]


@pytest.mark.parametrize(("times_s", "reached", "expected"), LIMIT_CASES)
def test_limit_follows_how_long_half_of_the_answers_take(
    times_s, reached, expected
):
    limit = order_window.Limit()
    for took_s in times_s:
        limit.was_reached = reached
        order_window.record_answer(limit, took_s)
    assert limit.orders == expected


def test_senders_that_wait_get_their_turns_in_order():
    window = order_window.OrderWindow()
    window.limit.orders = 1
    turns = []

    def make_sender(name):
        def send():
            if window.try_begin(send):
                turns.append(name)

        return send

    for name in "abc":
        make_sender(name)()
    assert turns == ["a"]
    window.end(FAST_S)
    assert turns == ["a", "b"]
    window.end(FAST_S)
    assert (turns, window.in_flight) == (["a", "b", "c"], 1)


def test_sender_with_nothing_left_passes_its_turn_on():
    window = order_window.OrderWindow()
    window.limit.orders = 1
    assert window.try_begin(lambda: None)
    turns = []
    assert not window.try_begin(lambda: turns.append("nothing to send"))
    assert not window.try_begin(lambda: turns.append("next"))
    window.end(FAST_S)
    assert turns == ["nothing to send", "next"]


@pytest.mark.parametrize(
    ("waiting", "room"), [(0, 256), (100, 156), (256, 0), (300, 0)]
)
def test_room_for_orders_shrinks_with_those_that_wait(waiting, room):
    assert order_window.compute_room(order_window.Limit(), waiting) == room
