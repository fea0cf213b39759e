"""Cases: work and disruptions, enumerated without chance."""

import dataclasses
from collections.abc import Iterable, Mapping

from poplarspindle.tools.explorer import disruptions, moments

MAX_NUMBER = 2  # Moments of one kind at one worker after a disruption.


@dataclasses.dataclass(frozen=True, slots=True)
class Placement:
    """A disruption at a moment.

    Attributes:
        disruption: Name of the disruption.
        kind: Kind of the moment.
        worker: The worker of the moment, empty for none.
        number: How many of this kind at this worker come before it since the
            disruption before.
    """

    disruption: str
    kind: str
    worker: str
    number: int = 0


@dataclasses.dataclass(frozen=True, slots=True)
class Case:
    """One course to play.

    Attributes:
        work: Name of the work.
        workers: Number of workers.
        placements: The disruptions, in their order.
    """

    work: str
    workers: int
    placements: tuple[Placement, ...] = ()


def list_next(
    case: Case,
    course: Iterable[moments.Moment],
    table: Mapping[str, disruptions.Disruption],
) -> list[Case]:
    """Lists the cases with one disruption more.

    It is put at moments that the course reaches after its last disruption.
    What is done at one time to one worker is the same at each moment of that
    time, but for disruptions of messages.

    Args:
        case: The case so far.
        course: The moments that it reached.
        table: The disruptions by name.
    """
    found = []
    reached = [
        moment
        for moment in course
        if moment.disruptions == len(case.placements)
        and moment.number < MAX_NUMBER
    ]
    for name, disruption in table.items():
        taken = set()
        for moment in reached:
            if not disruption.may_be_put_at(moment.kind, moment.worker):
                continue
            target = moment.worker if disruption.needs_worker else ""
            if not disruption.message:
                if (moment.at, target) in taken:
                    continue
                taken.add((moment.at, target))
            placement = Placement(
                name, moment.kind, moment.worker, moment.number
            )
            placements = (*case.placements, placement)
            found.append(dataclasses.replace(case, placements=placements))
    return found
