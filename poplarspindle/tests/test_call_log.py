"""The line that says each second what calls an owner makes."""

import structlog

from poplarspindle.node import call_log, order_window


def test_line_tells_calls_and_what_waits_for_its_turn():
    timers, clock = [], [10.0]
    window = order_window.OrderWindow()
    window.limit.orders = 1
    with structlog.testing.capture_logs() as lines:
        call_log.start(
            lambda delay_s, run: timers.append((delay_s, run)),
            window,
            lambda: clock[0],
        )
        window.calls["waiting-poll"] += 2
        assert window.try_begin(lambda: None, 0)
        assert not window.try_begin(lambda: None, 2)
        assert not window.try_begin(lambda: None, 0)
        assert not window.try_begin(lambda: None, 2)
        clock[0] = 11.25
        timers.pop()[1]()
        clock[0] = 12.25
        timers.pop()[1]()
    assert [line["late_ms"] for line in lines] == [250, 0]
    assert lines[0]["waiting_by_urgency"] == {2: 2, 0: 1}
    assert (lines[0]["limit"], lines[0]["in_flight"]) == (1, 1)
    assert [line.get("waiting_poll") for line in lines] == [2, None]
    assert len(timers) == 1
