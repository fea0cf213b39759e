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
    """Ordered sets of some disruptions of one kind of work.

    Attributes:
        work: Name of the work.
        names: Names of the first disruptions, of the second ones and so on.
    """

    work: str
    names: tuple[tuple[str, ...], ...]


PARTS = {
    "late-grants": Part(
        "two-jobs", (GRANTS, ("cut-5", "cut-12", "owner-replaced"))
    ),
    "unlisted": Part("task", (GRANTS, ("cut-12-unlisted", "unlisted-8"))),
    "owners-at-once": Part(
        "two-jobs",
        (("cut-from-nexts-16",), ("owner-cut-12", "owner-frozen-2")),
    ),
    "owners": Part("two-jobs", (("owner-replaced",), GRANTS)),
    "next-lives": Part(
        "chain",
        (
            ("start-late-0.5-from-arrival", "acknowledgement-late-3"),
            ("reborn", "owner-replaced"),
        ),
    ),
    "lasting-in-calm": Part(
        "lasting-in-calm",
        (
            ("start-lost",),
            ("cut-5", "owner-replaced", "owner-killed"),
        ),
    ),
    "forgotten-ends": Part(
        "chain", (("acknowledgement-late-3",), ("reborn",), ("cut-5",))
    ),
}


def explore_part(name: str) -> exploring.Tally:
    """Plays all cases of one part, in this process."""
    part = PARTS[name]
    return exploring.explore(
        [cases.Case(part.work, 2)], part.names, exploring.run_here
    )
