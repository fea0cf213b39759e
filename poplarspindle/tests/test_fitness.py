"""Which node owns the fleet when machines differ in capacity."""

import pytest

from poplarspindle import outcomes
from poplarspindle.fleet import fitness, records
from poplarspindle.node import election, storage

RATES = [
    pytest.param((2.15, 200.0, 552.0), 2.15, id="processors bind"),
    pytest.param((2.15, 10.0, 552.0), 0.25, id="link binds"),
    pytest.param((2.15, 200.0, 75.0), 0.5, id="memory binds"),
]


@pytest.mark.parametrize(("machine", "expected"), RATES)
def test_rate(machine, expected):
    assert fitness.rate(*machine) == pytest.approx(expected)


MAY_OWN = [
    pytest.param(2.15, 2.15, 0.0, True, id="the best"),
    pytest.param(1.9, 2.15, 0.0, True, id="about the best"),
    pytest.param(0.5, 2.15, 1.0, False, id="a better one may join"),
    pytest.param(0.5, 2.15, 3.5, True, id="no better one joined"),
    pytest.param(0.5, 0.0, 0.0, True, id="none recorded"),
]


@pytest.mark.parametrize(("own", "best", "silent_s", "expected"), MAY_OWN)
def test_may_own(own, best, silent_s, expected):
    assert fitness.may_own(own, best, silent_s) is expected


LATE = [
    pytest.param([(6, 0.2), (8, 0.2)], False, id="in time"),
    pytest.param([(6, 1.5), (6.5, 1.5)], False, id="not for long"),
    pytest.param([(6, 1.5), (7.2, 1.5)], True, id="for a second"),
    pytest.param([(6, 1.5), (6.5, 0.1), (7.2, 1.5)], False, id="caught up"),
    pytest.param([(1, 1.5), (2.5, 1.5)], False, id="ownership has just begun"),
]


@pytest.mark.parametrize(("noted", "expected"), LATE)
def test_owner_that_is_late_for_long_gives_up(noted, expected):
    own = fitness.Lateness(0.0)
    assert [own.note(late_s, at) for at, late_s in noted][-1] is expected


def test_records_are_round():
    found = fitness.Candidate("n", 2.5)
    value = fitness.encode_candidate(found).value
    assert fitness.decode_candidate(value) == found
    assert fitness.decode_mark(fitness.encode_mark(1.5).value) == 1.5
    with pytest.raises(ValueError):
        fitness.decode_mark(b"x")


class Store:
    """Elects whoever joins; records the calls."""

    def __init__(self):
        self.asked = []

    def join(self, member, ttl_ms, generation):
        """Elects the member."""
        self.asked.append("join")
        return outcomes.Ok(storage.Membership(1, True))

    def append(self, found, timeout_s, epoch=0, sequence=0, topic=""):
        """Accepts records."""
        self.asked += [record.key for record in found]
        return outcomes.Ok(0)


def make_election(node_fitness, best, owner=None, owner_seen_at=100.0):
    found = election.Election(Store(), "m", 1000, lambda: 0, node_fitness)
    found.best_fitness, found.owner, found.owner_seen_at = (
        best,
        owner,
        owner_seen_at,
    )
    return found


LESSER = records.Owner(16, "weak", 0, 0.5)
STANDS = [
    pytest.param(0.5, 2.15, None, 100.0, False, [], id="weaker"),
    pytest.param(0.5, 2.15, None, 96.0, True, [], id="weaker, no owner"),
    pytest.param(
        2.15, 0.0, None, 100.0, True, [fitness.MARK_KEY], id="first node"
    ),
    pytest.param(
        2.15,
        2.15,
        LESSER,
        100.0,
        True,
        [fitness.CANDIDATE_KEY],
        id="weaker owner",
    ),
    pytest.param(2.15, 2.15, LESSER, 90.0, True, [], id="owner is gone"),
    pytest.param(0.5, 0.5, LESSER, 100.0, True, [], id="all alike"),
]


@pytest.mark.parametrize(
    ("own", "best", "owner", "owner_seen_at", "owns", "published"), STANDS
)
def test_standing_follows_fitness(
    own, best, owner, owner_seen_at, owns, published
):
    found = make_election(own, best, owner, owner_seen_at)
    found._began_at = 0.0
    assert found._may_own(100.0) is owns
    found._publish_fitness(100.0)
    assert found._store.asked == published


def test_owner_that_stepped_down_lets_another_be_chosen():
    found = make_election(2.15, 2.15)
    found.withdraw()
    assert not found._may_own(found._withdrawn_until - 0.1)
    assert found._may_own(found._withdrawn_until + 0.1)
