"""Which node owns the fleet when machines differ in capacity."""

import pytest

from poplarspindle import outcomes
from poplarspindle.fleet import fitness, records
from poplarspindle.node import election, storage

RATE_CASES = [
    pytest.param((2.15, 200.0, 552.0), 2.15, id="processors bind"),
    pytest.param((2.15, 10.0, 552.0), 0.25, id="link binds"),
    pytest.param((2.15, 200.0, 75.0), 0.5, id="memory binds"),
]


@pytest.mark.parametrize(("machine", "expected"), RATE_CASES)
def test_rate(machine, expected):
    assert fitness.rate_machine(*machine) == pytest.approx(expected)


MAY_OWN_CASES = [
    pytest.param(2.15, 2.15, 0.0, True, id="the best"),
    pytest.param(1.9, 2.15, 0.0, True, id="about the best"),
    pytest.param(0.5, 2.15, 1.0, False, id="a better one may join"),
    pytest.param(0.5, 2.15, 3.5, True, id="no better one joined"),
    pytest.param(0.5, 0.0, 0.0, True, id="none recorded"),
]


@pytest.mark.parametrize(
    ("node_fitness", "best_fitness", "silent_s", "expected"), MAY_OWN_CASES
)
def test_may_own(node_fitness, best_fitness, silent_s, expected):
    assert fitness.may_own(node_fitness, best_fitness, silent_s) is expected


LATENESS_CASES = [
    pytest.param([(6, 0.2), (8, 0.2)], False, id="in time"),
    pytest.param([(6, 1.5), (6.5, 1.5)], False, id="not for long"),
    pytest.param([(6, 1.5), (7.2, 1.5)], True, id="for a second"),
    pytest.param([(6, 1.5), (6.5, 0.1), (7.2, 1.5)], False, id="caught up"),
    pytest.param([(1, 1.5), (2.5, 1.5)], False, id="ownership has just begun"),
]


@pytest.mark.parametrize(("delays", "expected"), LATENESS_CASES)
def test_owner_that_is_late_for_long_steps_down(delays, expected):
    lateness = fitness.Lateness(0.0)
    assert [lateness.record(late_s, at) for at, late_s in delays][
        -1
    ] is expected


def test_records_survive_a_round_trip():
    candidate = fitness.Candidate("n", 2.5)
    value = fitness.encode_candidate(candidate).value
    assert fitness.decode_candidate(value) == candidate
    assert (
        fitness.decode_best_fitness(fitness.encode_best_fitness(1.5).value)
        == 1.5
    )
    with pytest.raises(ValueError):
        fitness.decode_best_fitness(b"x")


class FakeStore:
    """Elects whoever joins; records the calls."""

    def __init__(self):
        self.calls = []

    def join(self, member, ttl_ms, generation):
        """Elects the member."""
        self.calls.append("join")
        return outcomes.Ok(storage.Membership(1, True))

    def append(
        self,
        new_records,
        timeout_s,
        epoch=0,
        sequence=0,
        topic="",
        expected_end=storage.ANY_END,
    ):
        """Accepts records."""
        self.calls += [record.key for record in new_records]
        return outcomes.Ok(0)


def make_election(node_fitness, best_fitness, owner=None, owner_seen_at=100.0):
    tested_election = election.Election(
        FakeStore(), "m", 1000, lambda: 0, node_fitness
    )
    (
        tested_election.best_fitness,
        tested_election.owner,
        tested_election.owner_seen_at,
    ) = (
        best_fitness,
        owner,
        owner_seen_at,
    )
    return tested_election


WEAKER_OWNER = records.Owner(16, "weak", 0, 0.5)
ELECTION_CASES = [
    pytest.param(0.5, 2.15, None, 100.0, False, [], id="weaker"),
    pytest.param(0.5, 2.15, None, 96.0, True, [], id="weaker, no owner"),
    pytest.param(
        2.15,
        0.0,
        None,
        100.0,
        True,
        [fitness.BEST_FITNESS_KEY],
        id="first node",
    ),
    pytest.param(
        2.15,
        2.15,
        WEAKER_OWNER,
        100.0,
        True,
        [fitness.CANDIDATE_KEY],
        id="weaker owner",
    ),
    pytest.param(2.15, 2.15, WEAKER_OWNER, 90.0, True, [], id="owner is gone"),
    pytest.param(0.5, 0.5, WEAKER_OWNER, 100.0, True, [], id="all alike"),
]


@pytest.mark.parametrize(
    (
        "node_fitness",
        "best_fitness",
        "owner",
        "owner_seen_at",
        "owns",
        "published",
    ),
    ELECTION_CASES,
)
def test_election_follows_fitness(
    node_fitness, best_fitness, owner, owner_seen_at, owns, published
):
    tested_election = make_election(
        node_fitness, best_fitness, owner, owner_seen_at
    )
    tested_election._began_at = 0.0
    assert tested_election._may_own(100.0) is owns
    tested_election._publish_fitness(100.0)
    assert tested_election._store.calls == published


def test_owner_that_stepped_down_lets_another_be_elected():
    tested_election = make_election(2.15, 2.15)
    tested_election.withdraw()
    assert not tested_election._may_own(tested_election._withdrawn_until - 0.1)
    assert tested_election._may_own(tested_election._withdrawn_until + 0.1)
