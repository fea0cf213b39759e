"""Makes a case that fails smaller for as long as it fails."""

import dataclasses
import itertools
from collections.abc import Callable, Iterator, Mapping

from poplarspindle.tools.explorer import cases, disruptions, works

MIN_WORKERS = 1


def shrink(
    case: cases.Case,
    fails: Callable[[cases.Case], bool],
    table: Mapping[str, disruptions.Disruption] = disruptions.DISRUPTIONS,
) -> cases.Case:
    """Returns a smallest case that fails: each step smaller does not.

    Args:
        case: A case that fails.
        fails: Whether a case fails in the same way.
        table: The disruptions by name, the shorter ones first.
    """
    while True:
        smaller = next(
            (found for found in list_smaller(case, table) if fails(found)),
            None,
        )
        if smaller is None:
            return case
        case = smaller


def list_smaller(
    case: cases.Case, table: Mapping[str, disruptions.Disruption]
) -> Iterator[cases.Case]:
    """Yields cases with fewer disruptions, fewer workers, simpler work.

    A disruption less lets the moments of the next one be counted from the one
    before, so these are tried with other numbers.
    """
    for dropped in range(len(case.placements)):
        kept = case.placements[:dropped] + case.placements[dropped + 1 :]
        yield from _renumber(dataclasses.replace(case, placements=kept))
    if case.workers > MIN_WORKERS:
        yield dataclasses.replace(case, workers=case.workers - 1)
    for name in itertools.takewhile(lambda n: n != case.work, works.WORKS):
        yield dataclasses.replace(case, work=name)
    for index, placement in enumerate(case.placements):
        for name in _list_shorter(placement.disruption, table):
            yield _replace(
                case, index, dataclasses.replace(placement, disruption=name)
            )
        if placement.number:
            yield _replace(
                case,
                index,
                dataclasses.replace(placement, number=placement.number - 1),
            )


def _renumber(case: cases.Case) -> Iterator[cases.Case]:
    yield case
    for index, placement in enumerate(case.placements):
        for number in range(cases.MAX_NUMBER + 1):
            if number != placement.number:
                changed = dataclasses.replace(placement, number=number)
                yield _replace(case, index, changed)


def _replace(
    case: cases.Case, index: int, placement: cases.Placement
) -> cases.Case:
    placements = list(case.placements)
    placements[index] = placement
    return dataclasses.replace(case, placements=tuple(placements))


def _list_shorter(
    name: str, table: Mapping[str, disruptions.Disruption]
) -> list[str]:
    """Lists disruptions of the same kind that last for less."""
    _, seconds, _ = disruptions.split_name(name)
    return [
        other
        for other in table
        if disruptions.find_kind(other) == disruptions.find_kind(name)
        and disruptions.split_name(other)[1] < seconds
    ]
