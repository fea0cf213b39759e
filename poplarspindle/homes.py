"""Homes: the one data centre where each exclusive replica may run.

Homes are part of the document's state, so their moves are totally ordered.
Only the owner of the present home moves it, after the stream of that data
centre shows that the replica is closed there and has ended.
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
        generation: Incremented by each move; each generation is one task.
    """

    data_centre: str
    generation: int = FIRST_GENERATION


def assign_homes(homes: dict[str, Home], wanted: Mapping[str, str]) -> None:
    """Assigns a first home to each replica that has none.

    An assigned home is kept, also while its replica is not wanted.

    Args:
        homes: Home by replica, changed in place.
        wanted: Data centre by wanted replica.
    """
    for replica, data_centre in wanted.items():
        homes.setdefault(replica, Home(data_centre))


def move_home(homes: dict[str, Home], move: records.HomeMoved) -> bool:
    """Applies the move of a home.

    Args:
        homes: Home by replica, changed in place.
        move: Accepted if it names the present home and its generation.

    Returns:
        Whether the move was accepted.
    """
    expected_home = Home(move.source, move.generation)
    if homes.get(move.task) != expected_home:
        return False
    homes[move.task] = Home(move.target, move.generation + 1)
    return True
