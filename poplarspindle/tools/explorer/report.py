"""Prints what an exploration found."""

import collections
from collections.abc import Iterator

from poplarspindle.tools.explorer import cases, exploring, moments, playing

ROWS = 40  # Of the table by pair.


def format_row(case: cases.Case) -> str:
    """Returns a case as a row of a parameterised table."""
    lines = [
        f'        ("{p.disruption}", "{p.kind}", "{p.worker}", {p.number}),'
        for p in case.placements
    ]
    return "\n".join(
        [f'    ("{case.work}", {case.workers}, [', *lines, "    ]),"]
    )


def parse_row(
    work: str, workers: int, placements: list[tuple[str, str, str, int]]
) -> cases.Case:
    """Returns the case of a row."""
    return cases.Case(
        work, workers, tuple(cases.Placement(*one) for one in placements)
    )


def format_steps(outcome: playing.Outcome) -> str:
    """Returns the steps of a course with their times, as a table."""
    lines = ["| time, s | what | worker | of what |", "|---|---|---|---|"]
    lines += [_format_step(moment) for moment in outcome.moments]
    return "\n".join(lines)


def _format_step(moment: moments.Moment) -> str:
    what = moment.kind.replace("-", " ")
    if moment.kind.startswith(moments.DISRUPTED):
        what = f"**{moment.kind.partition(' ')[2]}**"
    return f"| {moment.at:.2f} | {what} | {moment.worker} | {moment.subject} |"


def format_tally(tally: exploring.Tally) -> Iterator[str]:
    """Yields lines on the cases by pair of disruptions, and their sum."""
    groups: dict[tuple[str, ...], list[int]] = collections.defaultdict(
        lambda: [0, 0, 0]
    )
    counts = tally.played, tally.folded, tally.failed
    for place, counter in enumerate(counts):
        for names, count in counter.items():
            groups[tuple(map(_name_group, names))][place] += count
    yield "played folded failed  disruptions"
    for group, (played, folded, failed) in sorted(groups.items()):
        yield f"{played:6} {folded:6} {failed:6}  {' x '.join(group)}"
    played, folded, failed = (counter.total() for counter in counts)
    yield (
        f"{played} cases, {folded} with a sequence seen before, {failed} "
        f"failed ({len(tally.failures)} sequences), {len(tally.unplaced)} "
        f"missed a moment, {tally.left} courses not extended for want of time"
    )


def _name_group(name: str) -> str:
    return name.partition("-")[0]
