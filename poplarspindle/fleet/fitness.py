"""Chooses which node should own the fleet, by the capacity of its machine.

Load pattern: machines differ. The owner's work grows with the fleet, and a
machine with a quarter of the processors of another is overloaded by a load
that the other carries with ease. An overloaded owner that still answers is not
replaced by election. So only nodes with about the best machine may own the
fleet; a weaker one may after no owner has been seen for some time. The owner
resigns by itself when a better node returns.
"""

import dataclasses

import msgpack

from poplarspindle.fleet import records

BEST_FITNESS_KEY = "fittest"
CANDIDATE_KEY = "candidate"
MIN_FITNESS_RATIO = 0.8  # Smaller differences do not justify a new owner.
WEAKER_NODE_WAIT_S = 3.0  # A better node takes over within two.
# Traffic and memory of an owner that keeps one processor busy.
LINK_MBPS_PER_PROCESSOR = 40.0
MEMORY_MB_PER_PROCESSOR = 150.0
MAX_LATE_S = 1.0  # Leases are renewed about that long before they end.
MAX_OVERRUN_S = 1.0  # Time of late handling after which an owner resigns.
STARTUP_GRACE_S = 5.0  # A new owner starts with a backlog.


@dataclasses.dataclass(frozen=True, slots=True)
class Candidate:
    """A node that is fitter than the present owner.

    Attributes:
        instance: The node's incarnation.
        fitness: The node's fitness, as `rate_machine` gives it.
    """

    instance: str
    fitness: float


def rate_machine(
    processors: float, link_mbps: float, memory_mb: float
) -> float:
    """Returns a machine's fitness: processors that an owner can keep busy."""
    return min(
        processors,
        link_mbps / LINK_MBPS_PER_PROCESSOR,
        memory_mb / MEMORY_MB_PER_PROCESSOR,
    )


def may_own(node_fitness: float, best_fitness: float, silent_s: float) -> bool:
    """Tells whether a node may be elected as owner.

    Args:
        node_fitness: The node's fitness.
        best_fitness: The best fitness that any node ever recorded, 0 for none.
        silent_s: Time since an owner was last seen, seconds.
    """
    return (
        node_fitness >= MIN_FITNESS_RATIO * best_fitness
        or silent_s >= WEAKER_NODE_WAIT_S
    )


def is_better(candidate_fitness: float, owner_fitness: float) -> bool:
    """Tells whether the owner should resign in favour of a candidate."""
    return owner_fitness < MIN_FITNESS_RATIO * candidate_fitness


class Lateness:
    """Detects an owner that handles its events too late.

    Load pattern: a machine becomes several times slower for seconds. Its owner
    still answers, but polls and starts are sent ever later.

    Args:
        began_at: When the ownership began, on this node's clock.
    """

    def __init__(self, began_at: float) -> None:
        self._began_at = began_at
        self._late_since = float("inf")

    def record(self, late_s: float, at: float) -> bool:
        """Records how late an event was handled.

        Args:
            late_s: Delay of the event, seconds.
            at: Present time on this node's clock.

        Returns:
            Whether the owner should resign.
        """
        if late_s < MAX_LATE_S:
            self._late_since = float("inf")
            return False
        self._late_since = min(self._late_since, at)
        settled = at - self._began_at >= STARTUP_GRACE_S
        return settled and at - self._late_since >= MAX_OVERRUN_S


def encode_best_fitness(best_fitness: float) -> records.Record:
    """Encodes the best fitness of any node as a log record."""
    return records.Record(
        BEST_FITNESS_KEY, msgpack.packb([records.FORMAT_VERSION, best_fitness])
    )


def decode_best_fitness(value: bytes) -> float:
    """Decodes the best fitness; raises ValueError if malformed."""
    _, best_fitness = records.unpack(value)
    return float(best_fitness)


def encode_candidate(candidate: Candidate) -> records.Record:
    """Encodes a candidate as a log record."""
    value = [records.FORMAT_VERSION, candidate.instance, candidate.fitness]
    return records.Record(CANDIDATE_KEY, msgpack.packb(value))


def decode_candidate(value: bytes) -> Candidate:
    """Decodes a candidate; raises ValueError if malformed."""
    _, instance, node_fitness = records.unpack(value)
    return Candidate(instance, float(node_fitness))
