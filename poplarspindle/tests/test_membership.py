"""Tests of the instance list: lagging, down and wrong."""

import pytest

from poplarspindle import membership, reports

LIVE = reports.Presence.LIVE
LEAVING = reports.Presence.LEAVING


def make_member(name, role=reports.Role.ENTRY, presence=LIVE):
    return reports.Member(
        name, role, "ourthe", peer_address=f"{name}:1", presence=presence
    )


SELF = make_member("self")
PEER = make_member("peer")
MINION = make_member("minion", reports.Role.MINION)


@pytest.mark.parametrize(
    ("found", "presence", "reading", "taken", "announce"),
    [
        ((SELF, PEER, MINION), LIVE, "taken", True, False),
        ((SELF, MINION), LIVE, "taken", True, False),
        ((), LIVE, "empty", False, True),
        ((SELF, PEER), LIVE, "no-minions", False, False),
        ((PEER, MINION), LIVE, "self-missing", True, True),
        ((SELF, MINION), LEAVING, "taken", True, True),
        (
            (make_member("self", presence=LEAVING), MINION),
            LEAVING,
            "taken",
            True,
            False,
        ),
    ],
)
def test_take_list(found, presence, reading, taken, announce):
    state = membership.State("self", 0.0)
    membership.apply_list(state, (SELF, PEER, MINION), LIVE, 1.0)
    judgement = membership.apply_list(state, found, presence, 5.0)
    assert judgement == membership.ListDecision(reading, taken, announce)
    assert membership.compute_age(state, 6.0) == (1.0 if taken else 5.0)
    assert "minion" in state.members


def test_first_list_may_be_empty():
    state = membership.State("self", 0.0)
    assert membership.apply_list(state, (), LIVE, 1.0).taken


def test_peers_leave_out_self_and_other_roles():
    state = membership.State("self", 0.0)
    membership.apply_list(state, (SELF, PEER, MINION), LIVE, 1.0)
    assert membership.list_peers(state, reports.Role.ENTRY) == ("peer:1",)
    assert membership.find_peer(state, "peer") == "peer:1"
    assert membership.find_peer(state, "gone") == ""


@pytest.mark.parametrize("down", [True, False])
def test_entry_serves_on_without_a_list(site, wait, down):
    made = site.start_entry("only")
    wait(lambda: "minion-1" in made.members.members)
    if down:
        site.fake.members.down = True
        reading, name = "list-status-503", "platform_failures"
    else:
        for member in site.fake.members.fetch():
            site.drop(member.name)
        reading, name = "empty", "list"
    wait(lambda: made.metrics.get(f"poplarspindle_{name}_total", reading))
    assert site.send(made.address).outcome == "answered"
