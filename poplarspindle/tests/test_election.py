"""Claims of the fleet that are carried out late."""

import pytest

from poplarspindle import outcomes
from poplarspindle.fleet import records
from poplarspindle.node import election, storage
from poplarspindle.platform import store as platform_store
from poplarspindle.tools.fakes import deployment


class LateStore:
    """Leaves appends unanswered and carries them out when it is told to.

    Args:
        store: The store.
    """

    def __init__(self, store):
        self._store = store
        self._late = []

    def join(self, member, ttl_ms, generation):
        """Chooses the member."""
        return outcomes.Ok(storage.Membership(1, True))

    def append(self, items, *given, **options):
        """Keeps the call."""
        self._late.append((tuple(items), given, options))
        return outcomes.Failed(outcomes.Step.APPEND, "s", "timeout", "", True)

    def carry_out(self):
        """Carries out what is late; returns the answers."""
        return [
            self._store.append(items, *given, **options)
            for items, given, options in self._late
        ]


class ChoosingStore(platform_store.Store):
    """Chooses whoever joins."""

    def join(self, member, ttl_ms, generation):
        """Chooses the member."""
        return outcomes.Ok(storage.Membership(1, True))


@pytest.fixture
def service():
    found = deployment.FakeStore()
    yield found
    found.stop()


def make_election(store, member, log_end=0):
    found = election.Election(store, member, 1000, lambda: 0)
    found.eligible = True
    found.log_end = log_end
    return found


def read_owner(service):
    log = service.read_keys(platform_store.FLEET_TOPIC)
    value = log.get(records.OWNER_KEY)
    return records.decode_owner(value).instance if value else None


def test_claim_that_comes_late_ends_no_later_owner(service):
    """LOST: nobody owns the fleet until the claimant has read the log."""
    store = ChoosingStore(service.address)
    members = sorted(
        "abcdefgh", key=lambda member: election.choose_epoch(0, member)
    )
    late_store = LateStore(store)
    make_election(late_store, members[-1])._join()
    make_election(store, members[0])._join()
    assert read_owner(service) == members[0]
    (answer,) = late_store.carry_out()
    assert answer.reason == storage.OTHER_END
    assert read_owner(service) == members[0]


def test_claim_that_comes_late_to_an_unchanged_log_counts(service):
    """LOST: the store loses answers, and nobody else claims."""
    late_store = LateStore(ChoosingStore(service.address))
    make_election(late_store, "a")._join()
    late_store.carry_out()
    assert read_owner(service) == "a"


def test_claim_behind_what_was_read_is_repeated_once_more_is_read(service):
    """LOST: each second of a vacancy counts."""
    store = ChoosingStore(service.address)
    store.append([records.encode_resignation(1)], 1.0)
    found = make_election(store, "a")
    found._join()
    assert read_owner(service) is None
    found.log_end = 1
    found._join()
    assert read_owner(service) == "a"


@pytest.mark.parametrize("is_read_before_the_answer", [False, True])
def test_claim_behind_what_was_read_is_repeated_at_once(
    service, is_read_before_the_answer
):
    """LOST: 36 nodes note their fitness, and each note costs the claim 0.3 s.

    Reading what moved the log's end is the proof that nobody else claimed.
    """
    store = ChoosingStore(service.address)
    store.append([records.encode_resignation(1)], 1.0)
    found = make_election(store, "a")
    found._woken.clear()
    append = store.append

    def read_meanwhile(*given, **options):
        answer = append(*given, **options)
        found.log_end = 1
        return answer

    if is_read_before_the_answer:
        store.append = read_meanwhile
    found._join()
    assert read_owner(service) is None
    if not is_read_before_the_answer:
        assert not found._woken.is_set()
        found.log_end = 1
    assert found._woken.is_set()
