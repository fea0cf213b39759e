"""Homes: the one data centre where each exclusive replica may run.

A home is state of the document, so its moves have one order. It is moved
only by the owner of the data centre it is in, after that one's stream shows
that the replica is closed there and has ended.
"""

import dataclasses
from collections.abc import Mapping

from poplarspindle import records

FIRST_GENERATION = 1


@dataclasses.dataclass(frozen=True)
class Home:
    """Where an exclusive replica may run.

    Attributes:
        data_centre: Its data centre.
        generation: Raised by each move; one generation runs as one task.
    """

    data_centre: str
    generation: int = FIRST_GENERATION


def assign_homes(homes: dict[str, Home], wanted: Mapping[str, str]) -> None:
    """Gives each replica without a home its first one.

    A home that was ever given stays, also while its replica is not wanted.

    Args:
        homes: Home by replica, changed in place.
        wanted: Data centre by replica.
    """
    for replica, data_centre in wanted.items():
        homes.setdefault(replica, Home(data_centre))


def move_home(homes: dict[str, Home], move: records.HomeMoved) -> bool:
    """Moves a home and tells whether the move was accepted.

    Args:
        homes: Home by replica, changed in place.
        move: Accepted iff it names the present home and its generation.

    Returns:
        Whether the move was accepted.
    """
    present = Home(move.source, move.generation)
    if homes.get(move.task) != present:
        return False
    homes[move.task] = Home(move.target, move.generation + 1)
    return True
