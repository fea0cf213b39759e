"""Which node should own the fleet, by what its machine can do. Pure functions.

Load pattern: machines are uneven. Everything that the owner does grows with
the fleet, and one with a quarter of the processors of another is overrun by a
load that the other carries with ease; an owner that is overrun but heard is
not replaced. So nodes whose machine is about the best own the fleet; a lesser
one does only while no owner has been heard for some time. A better one that
comes back is given the fleet by the owner itself.
"""

import dataclasses

import msgpack

from poplarspindle.fleet import records

MARK_KEY = "fittest"
CANDIDATE_KEY = "candidate"
NEAR = 0.8  # Smaller differences are not worth a change of hands.
LESSER_WAIT_S = 3.0  # A better one takes over within two.
# What an owner that keeps one processor busy sends and holds.
LINK_MBPS = 40.0
MEMORY_MB = 150.0
LATE_MOST_S = 1.0  # Leases are renewed about that long before they end.
OVERRUN_S = 1.0
SETTLE_S = 5.0  # An owner that begins has a backlog.


@dataclasses.dataclass(frozen=True, slots=True)
class Candidate:
    """A node that could own the fleet better than its owner.

    Attributes:
        instance: Its incarnation.
        fitness: Its fitness.
    """

    instance: str
    fitness: float


def rate(processors: float, link_mbps: float, memory_mb: float) -> float:
    """Rates a machine in processors that an owner could keep busy on it."""
    return min(processors, link_mbps / LINK_MBPS, memory_mb / MEMORY_MB)


def may_own(own_fitness: float, best: float, silent_s: float) -> bool:
    """Tells whether a node may be chosen as owner.

    Args:
        own_fitness: Its fitness.
        best: The best fitness that any node ever noted.
        silent_s: For how long no owner has been heard.
    """
    return own_fitness >= NEAR * best or silent_s >= LESSER_WAIT_S


def is_better(candidate: float, owner: float) -> bool:
    """Tells whether the owner should give the fleet to a candidate."""
    return owner < NEAR * candidate


class Lateness:
    """How late an owner takes in what its workers and callers say.

    Load pattern: a machine turns several times slower for seconds. Its owner
    is heard, but looks at workers and starts come ever later.

    Args:
        began_at: When the ownership began, own clock.
    """

    def __init__(self, began_at: float) -> None:
        self._began_at = began_at
        self._late_since = float("inf")

    def note(self, late_s: float, at: float) -> bool:
        """Notes by how much an event was taken in late.

        Returns:
            Whether the owner should give the fleet up.
        """
        if late_s < LATE_MOST_S:
            self._late_since = float("inf")
            return False
        self._late_since = min(self._late_since, at)
        settled = at - self._began_at >= SETTLE_S
        return settled and at - self._late_since >= OVERRUN_S


def encode_mark(best: float) -> records.Record:
    """Encodes the best fitness of any node."""
    return records.Record(
        MARK_KEY, msgpack.packb([records.FORMAT_VERSION, best])
    )


def decode_mark(value: bytes) -> float:
    """Decodes the best fitness; raises ValueError where malformed."""
    _, best = records.unpack(value)
    return float(best)


def encode_candidate(candidate: Candidate) -> records.Record:
    """Encodes a candidate."""
    value = [records.FORMAT_VERSION, candidate.instance, candidate.fitness]
    return records.Record(CANDIDATE_KEY, msgpack.packb(value))


def decode_candidate(value: bytes) -> Candidate:
    """Decodes a candidate; raises ValueError where it is malformed."""
    _, instance, own_fitness = records.unpack(value)
    return Candidate(instance, float(own_fitness))
