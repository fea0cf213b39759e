"""Tests request ids: at most one dispatch per id, bounded memory."""

import pytest

from poplarspindle import messages, outcomes, requests, tickets

DIGEST = tickets.compute_digest("quotes", b"trek")
ANSWERED = messages.Result("answered", "", "receive", status=200, body=b"ok")
LIMITS = tickets.Limits(
    life_s=10.0, windows=4, answer_life_s=5.0, answer_bytes=100
)


def make_state(count: int = 1) -> tickets.State:
    state = tickets.State("e-1", LIMITS)
    assert isinstance(tickets.mint_ids(state, count, 0.0), outcomes.Ok)
    return state


@pytest.mark.parametrize(
    ("name", "kind"),
    [
        ("e-1.0", tickets.MintedId("e-1", 0)),
        ("e-1.17", tickets.MintedId("e-1", 17)),
        ("e-1.017", None),
        ("1764824400-trek", tickets.CallerChosenId(1764824400)),
        ("1764824400-trek.5", tickets.CallerChosenId(1764824400)),
        ("176482440-trek", None),
        ("e-1.5x", None),
        (".5", None),
        ("trek", None),
    ],
)
def test_parse_id(name, kind):
    assert tickets.parse_id(name) == kind


def test_duplicate_waits_for_the_first_send_and_gets_its_result():
    state = make_state()
    assert (
        tickets.use_minted(state, 0, DIGEST, 0.0) == tickets.DispatchAllowed()
    )
    running = tickets.use_minted(state, 0, DIGEST, 0.1)
    assert running.result is None
    tickets.finish(state, "e-1.0", ANSWERED, 0.2)
    assert running.result is ANSWERED
    assert tickets.use_minted(state, 0, DIGEST, 0.3).result is ANSWERED


@pytest.mark.parametrize(
    ("number", "digest", "at", "outcome", "reason"),
    [
        (0, DIGEST, 6.0, "unknown", "repeated-id"),
        (0, b"other", 1.0, "unknown", "different-content"),
        (0, DIGEST, 10.0, "unknown", "expired-id"),
        (1, DIGEST, 10.0, "unknown", "expired-id"),
        (2, DIGEST, 1.0, "not-run", "never-minted"),
    ],
)
def test_refusals_after_a_run(number, digest, at, outcome, reason):
    state = make_state(2)
    tickets.use_minted(state, 0, DIGEST, 0.0)
    tickets.finish(state, "e-1.0", ANSWERED, 0.5)
    verdict = tickets.use_minted(state, number, digest, at)
    assert (verdict.outcome, verdict.reason) == (outcome, reason)


def test_not_run_is_final_for_an_id():
    """Guards against a duplicate that runs after a not-run result."""
    state = make_state()
    refused = messages.Result("not-run", "no-minion", "route")
    tickets.use_minted(state, 0, DIGEST, 0.0)
    tickets.finish(state, "e-1.0", refused, 0.1)
    assert tickets.use_minted(state, 0, DIGEST, 0.2).result is refused
    verdict = tickets.use_minted(state, 0, DIGEST, 9.0)
    assert verdict.outcome is requests.Outcome.UNKNOWN


def test_removed_window_is_never_created_again():
    """Guards against used ids that look unused after their window expired."""
    state = make_state(5)
    tickets.use_minted(state, 4, DIGEST, 0.0)
    tickets.finish(state, "e-1.4", ANSWERED, 1.0)
    (name,) = tickets.mint_ids(state, 1, 20.0).value
    assert name == f"e-1.{tickets.WINDOW_IDS}"
    assert tickets.use_minted(state, 4, DIGEST, 20.0).outcome == "unknown"


def test_memory_is_bounded():
    state = make_state(tickets.WINDOW_IDS * 4)
    refused = tickets.mint_ids(state, 1, 0.0)
    assert refused.reason == "too-many-ids"
    for number in range(30):
        tickets.use_minted(state, number, DIGEST, 1.0)
        result = messages.Result("answered", "", "receive", body=b"x" * 40)
        tickets.finish(state, f"e-1.{number}", result, 1.0)
    assert state.kept_bytes <= LIMITS.answer_bytes
    assert not state.running
    assert isinstance(tickets.mint_ids(state, 1, 11.0), outcomes.Ok)


def test_list_unused():
    state = make_state(6)
    for number in (0, 3):
        tickets.use_minted(state, number, DIGEST, 0.0)
    assert tickets.list_unused(state, 1.0) == ((1, 2), (4, 5))
    assert tickets.list_unused(state, 10.0) == ()


@pytest.mark.parametrize(
    ("at_s", "refused"),
    [(1000, False), (400, False), (399, True), (1030, False), (1031, True)],
)
def test_check_window(at_s, refused):
    chosen = tickets.CallerChosenId(at_s)
    verdict = tickets.check_window(chosen, 1000.0, 600.0, 30.0)
    assert (verdict is not None) == refused
    assert verdict is None or verdict.outcome == "unknown"
