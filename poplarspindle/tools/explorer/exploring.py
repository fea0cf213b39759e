"""Plays singles, then ordered pairs, then triples, on several processes."""

import collections
import concurrent.futures
import dataclasses
import functools
import logging
import sys
import time
from collections.abc import Callable, Iterable, Sequence

import structlog

from poplarspindle.tools.explorer import cases, disruptions, playing
from poplarspindle.tools.fakes import invariants, messages

PROGRESS_S = 5.0
PlayBranches = Callable[
    [cases.Case, Sequence[cases.Case], bool], list[playing.Outcome]
]
WAITING = 8  # Results are taken in order; so many may wait for the first.


@dataclasses.dataclass(slots=True)
class Tally:
    """What was played.

    Attributes:
        played: Number of cases by the names of their disruptions.
        folded: Of these, how many had the sequence of one before.
        failed: Of these, how many broke a promise.
        failures: Cases that broke a promise, and what they broke; of cases
            with one sequence the first one.
        unplaced: Cases of which a disruption did not find its moment.
        left: Number of cases, with one disruption less, whose next
            disruptions were not played for want of time.
    """

    played: collections.Counter = dataclasses.field(
        default_factory=collections.Counter
    )
    folded: collections.Counter = dataclasses.field(
        default_factory=collections.Counter
    )
    failed: collections.Counter = dataclasses.field(
        default_factory=collections.Counter
    )
    failures: list[tuple[cases.Case, tuple[str, ...]]] = dataclasses.field(
        default_factory=list
    )
    unplaced: list[cases.Case] = dataclasses.field(default_factory=list)
    left: int = 0


@dataclasses.dataclass(frozen=True, slots=True)
class Played:
    """One case that was played, without its moments.

    Attributes:
        case: The case.
        violations: What it broke.
        fingerprint: Of its sequence.
        is_placed: Whether all disruptions found their moment.
    """

    case: cases.Case
    violations: tuple[str, ...]
    fingerprint: int
    is_placed: bool


def play_next(
    case: cases.Case,
    names: tuple[str, ...],
    is_last: bool = False,
    play: Callable[[cases.Case, bool], playing.Outcome] = playing.play,
    play_branches: PlayBranches | None = None,
) -> list[Played]:
    """Plays a case with each disruption more.

    Args:
        case: The case.
        names: Names of the disruptions.
        is_last: Whether no disruption will be put at what follows these.
        play: Plays a case.
        play_branches: Plays cases that part from one; None to play each.
    """
    table = {name: disruptions.DISRUPTIONS[name] for name in names}
    longer = cases.list_next(case, play(case, False).moments, table)
    if play_branches is None:
        outcomes = [play(one, is_last) for one in longer]
    else:
        outcomes = play_branches(case, longer, is_last)
    return [
        Played(
            one,
            outcome.violations,
            outcome.fingerprint,
            outcome.placed == len(one.placements),
        )
        for one, outcome in zip(longer, outcomes, strict=True)
    ]


class Exploration:
    """Which courses were seen, and what became of the cases.

    Attributes:
        tally: What was played.
    """

    def __init__(self) -> None:
        self.tally = Tally()
        self._seen: set[tuple] = set()
        self._extended: set[tuple] = set()

    def take_in(self, played: Iterable[Played]) -> list[cases.Case]:
        """Counts cases that were played.

        Returns:
            Those to play with one disruption more: of cases with the same
            sequence, and with disruptions that differ in nothing but time, the
            first one; none that broke a promise. Where an invariant is broken,
            one disruption more may break a promise.
        """
        longer = []
        for one in played:
            case = one.case
            names = tuple(p.disruption for p in case.placements)
            self.tally.played[names] += 1
            self.tally.failed[names] += bool(one.violations)
            if not one.is_placed:
                self.tally.unplaced.append(case)
            sequence = case.work, case.workers, one.fingerprint
            is_new = sequence not in self._seen
            self._seen.add(sequence)
            self.tally.folded[names] += not is_new
            if one.violations:
                if is_new:
                    self.tally.failures.append((case, one.violations))
                if not all(map(invariants.is_line, one.violations)):
                    continue
            extended = tuple(map(_name_fold, names)), sequence
            if extended not in self._extended:
                self._extended.add(extended)
                longer.append(case)
        return longer


def _name_fold(name: str) -> str:
    """Returns what names of disruptions that may be folded share.

    How late an order is that counts from its arrival, or names ends, tells
    only once something else happens.
    """
    if name.endswith(disruptions.FROM_ARRIVAL) or name.startswith(
        messages.Kind.ACKNOWLEDGEMENT.value
    ):
        return name
    return disruptions.find_kind(name)


def explore(
    begin: list[cases.Case],
    names: Sequence[tuple[str, ...]],
    run_all: Callable[[Callable, list[cases.Case]], Iterable[list[Played]]],
    report: Callable[[str], None] = lambda line: None,
    play: Callable[[cases.Case, bool], playing.Outcome] = playing.play,
    play_branches: PlayBranches | None = None,
) -> Tally:
    """Plays cases with ever more disruptions.

    Args:
        begin: Cases without disruptions.
        names: Names of the first disruptions, of the second ones and so on,
            in the order of their worth.
        run_all: Applies a function to cases, in processes or not; may stop
            early.
        report: Takes lines on the progress.
        play: Plays a case.
        play_branches: Plays cases that part from one; None to play each.
    """
    exploration = Exploration()
    level = begin
    for number, level_names in enumerate(names, 1):
        extend = functools.partial(
            play_next,
            names=level_names,
            is_last=number == len(names),
            play=play,
            play_branches=play_branches,
        )
        done, longer = 0, []
        told_at = time.monotonic()
        for played in run_all(extend, level):
            known = len(exploration.tally.failures)
            longer += exploration.take_in(played)
            done += 1
            for case, violations in exploration.tally.failures[known:]:
                report(f"{violations[0]}: {case}")
            if time.monotonic() > told_at + PROGRESS_S:
                told_at = time.monotonic()
                report(_describe_progress(exploration, number, done, level))
        report(_describe_progress(exploration, number, done, level))
        exploration.tally.left = len(level) - done
        if done < len(level):
            break
        level = _sort_by_worth(longer)
    return exploration.tally


def _describe_progress(exploration, number, done, level) -> str:
    tally = exploration.tally
    return (
        f"disruptions {number}: {done} of {len(level)} courses extended, "
        f"{tally.played.total()} cases, {tally.folded.total()} folded, "
        f"{tally.failed.total()} failed"
    )


def _sort_by_worth(found: list[cases.Case]) -> list[cases.Case]:
    """Sorts cases by their disruptions, all works of one at a time."""
    rank = {name: place for place, name in enumerate(disruptions.DISRUPTIONS)}
    return sorted(
        found,
        key=lambda case: [rank[p.disruption] for p in case.placements],
    )


def run_here(
    extend: Callable, level: list[cases.Case]
) -> Iterable[list[Played]]:
    """Applies a function to cases in this process."""
    return map(extend, level)


def run_in_processes(
    processes: int, until: float
) -> Callable[[Callable, list[cases.Case]], Iterable[list[Played]]]:
    """Returns what applies a function to cases in processes.

    Args:
        processes: Number of processes.
        until: When to stop, on the monotonic clock.
    """

    def run_all(extend, level):
        pool = concurrent.futures.ProcessPoolExecutor(
            processes, initializer=silence_logs
        )
        waiting = collections.deque(level)
        running = collections.deque()
        with pool:
            while waiting or running:
                while (
                    waiting
                    and len(running) < WAITING * processes
                    and time.monotonic() < until
                ):
                    running.append(pool.submit(extend, waiting.popleft()))
                if time.monotonic() >= until:
                    begun = [one for one in running if not one.cancel()]
                    running = collections.deque(begun)
                if not running:
                    return
                yield running.popleft().result()

    return run_all


def print_progress(line: str) -> None:
    """Prints a line on standard error."""
    print(line, file=sys.stderr, flush=True)


def silence_logs() -> None:
    """Keeps what the owners of the courses log from being printed."""
    structlog.configure(
        wrapper_class=structlog.make_filtering_bound_logger(logging.CRITICAL)
    )
