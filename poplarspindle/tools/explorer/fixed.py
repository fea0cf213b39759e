"""The fixed part of the exploration: the same cases and verdict each time."""

import dataclasses

from poplarspindle.tools.explorer import cases, exploring

GRANTS = (
    "start-late-7-from-arrival",
    "renewal-late-3-from-arrival",
    "renewal-late-7-from-arrival",
)


@dataclasses.dataclass(frozen=True, slots=True)
class Part:
    """Ordered pairs of some disruptions of one kind of work.

    Attributes:
        work: Name of the work.
        first: Names of the first disruptions.
        second: Names of the second ones.
    """

    work: str
    first: tuple[str, ...]
    second: tuple[str, ...]


PARTS = {
    "late-grants": Part(
        "two-jobs", GRANTS, ("cut-5", "cut-12", "owner-replaced")
    ),
    "unlisted": Part("task", GRANTS, ("cut-12-unlisted", "unlisted-8")),
    "owners": Part("two-jobs", ("owner-replaced",), (*GRANTS, "cut-5")),
    "next-lives": Part(
        "chain",
        ("start-late-0.5-from-arrival", "acknowledgement-late-3", "cut-2"),
        ("reborn", "owner-replaced"),
    ),
}


def explore_part(name: str) -> exploring.Tally:
    """Plays all pairs of one part, in this process."""
    part = PARTS[name]
    return exploring.explore(
        [cases.Case(part.work, 2)],
        [part.first, part.second],
        exploring.run_here,
    )
