"""Explores all pairs of disruptions, as far as the time goes all triples."""

import collections
import os
import sys
import time

import defopt

import poplarspindle
from poplarspindle.tools.explorer import (
    branching,
    cases,
    disruptions,
    exploring,
    playing,
    report,
    shrinking,
    works,
)

DEFAULT_MINUTES = 10.0
SHOWN = 10  # Failures that are shrunk and printed.


def run_explorer(
    *,
    depth: int = 2,
    minutes: float = DEFAULT_MINUTES,
    processes: int = 0,
    work: list[str] = (),
    workers: list[int] = (2,),
    disruption: list[str] = (),
    shown: int = SHOWN,
) -> int:
    """Plays all cases, and prints what failed.

    Args:
        depth: Most disruptions of a case.
        minutes: No course is extended after that.
        processes: Number of processes, 0 for all cores.
        work: Kinds of work; all if none is given.
        workers: Numbers of workers.
        disruption: Beginnings of the names of disruptions; all if none.
        shown: How many failures to shrink and print.
    """
    names = tuple(
        name
        for name in disruptions.DISRUPTIONS
        if not disruption or name.startswith(tuple(disruption))
    )
    begin = [
        cases.Case(kind, count)
        for kind in work or works.WORKS
        for count in workers
    ]
    until = time.monotonic() + minutes * 60
    run_all = exploring.run_in_processes(
        processes or os.cpu_count() or 1, until
    )
    began_at = time.monotonic()
    tally = exploring.explore(
        begin,
        [names] * depth,
        run_all,
        exploring.print_progress,
        play_branches=branching.play_branches,
    )
    print(f"explored for {time.monotonic() - began_at:.0f} s")
    exploring.silence_logs()
    print("\n".join(report.format_tally(tally)))
    _print_failures(tally, shown)
    return 1 if tally.failures else 0


def _print_failures(tally: exploring.Tally, shown: int) -> None:
    """Prints the smallest cases, one for each set of disruptions."""
    kinds = collections.Counter(
        violation.partition(":")[0]
        for _, violations in tally.failures
        for violation in violations
    )
    print("failures by kind:", dict(kinds))
    printed: set[cases.Case] = set()
    for case, violations in tally.failures:
        if len(printed) >= shown:
            return
        kind = violations[0].partition(":")[0]
        small = shrinking.shrink(case, lambda one, k=kind: _breaks(one, k))
        if small in printed:
            continue
        printed.add(small)
        outcome = playing.play(small)
        print(f"\n{'; '.join(outcome.violations)}\n")
        print(report.format_steps(outcome))
        print(report.format_row(small))


def _breaks(case: cases.Case, kind: str) -> bool:
    outcome = playing.play(case)
    return outcome.placed == len(case.placements) and any(
        violation.startswith(kind) for violation in outcome.violations
    )


def main() -> None:
    """Runs the explorer from the command line."""
    sys.exit(defopt.run(run_explorer, version=poplarspindle.__version__))
