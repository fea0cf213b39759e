"""Plays cases that differ in their last disruption from where they part.

Up to its last disruption a case is the course of the case without it. That one
is played once; at each moment of a last disruption a child process goes on from
there, and tells its parent what became of it. Cases that part early are played
from the beginning.
"""

import collections
import gc
import os
import pickle
import traceback
from collections.abc import Mapping, Sequence

from poplarspindle.tools.explorer import (
    cases,
    disruptions,
    moments,
    playing,
)

MIN_SHARED_S = 5.0  # To play less again costs less than another process.


def play_branches(
    case: cases.Case,
    longer: Sequence[cases.Case],
    is_last: bool,
    table: Mapping[str, disruptions.Disruption] = disruptions.DISRUPTIONS,
) -> list[playing.Outcome]:
    """Plays cases that have one disruption more than another one.

    Args:
        case: The case without these disruptions.
        longer: The cases.
        is_last: Whether no disruption will be put at what follows.
        table: The disruptions by name.

    Returns:
        The outcome of each case, without its moments.

    Raises:
        RuntimeError: A child failed.
    """
    branches = _Branches(case, longer, is_last, table)
    try:
        outcome = playing.play_to_the_end(branches.player)
    except BaseException:
        if not branches.is_child:
            raise
        branches.send(traceback.format_exc())
    if branches.is_child:
        branches.send(outcome)
    return [
        branches.outcomes.get(one) or playing.play(one, is_last, table)
        for one in longer
    ]


class _Branches:
    """Lets child processes go on from the moments of a course.

    Attributes:
        player: Plays the course.
        outcomes: What became of each case.
        is_child: Whether this is a process that went on.
    """

    def __init__(
        self,
        case: cases.Case,
        longer: Sequence[cases.Case],
        is_last: bool,
        table: Mapping[str, disruptions.Disruption],
    ) -> None:
        self.player = playing.Player(case, False, table)
        self.player.choose_case = self._branch_off
        self.outcomes: dict[cases.Case, playing.Outcome] = {}
        self.is_child = False
        self._is_last = is_last
        self._result_fd = -1
        self._by_moment = collections.defaultdict(list)
        for one in longer:
            last = one.placements[-1]
            key = last.kind, last.worker, last.number
            self._by_moment[key].append(one)

    def _branch_off(self, moment: moments.Moment) -> None:
        if moment.at < MIN_SHARED_S:
            return
        key = moment.kind, moment.worker, moment.number
        for case in self._by_moment.pop(key, ()):
            result_fd, child_fd = os.pipe()
            child = os.fork()
            if not child:
                os.close(result_fd)
                self._go_on(case, child_fd)
                return
            os.close(child_fd)
            self.outcomes[case] = _read_outcome(case, child, result_fd)

    def _go_on(self, case: cases.Case, child_fd: int) -> None:
        gc.disable()  # Else it copies all pages that it shares.
        self.is_child, self._result_fd = True, child_fd
        self.player.case, self.player.is_last = case, self._is_last
        self.player.choose_case = lambda moment: None

    def send(self, found: playing.Outcome | str) -> None:
        """Tells the parent an outcome, or what failed, and ends the child."""
        if isinstance(found, playing.Outcome):
            found = (found.violations, found.fingerprint, found.placed)
        with os.fdopen(self._result_fd, "wb") as result:
            pickle.dump(found, result)
        os._exit(0)


def _read_outcome(
    case: cases.Case, child: int, result_fd: int
) -> playing.Outcome:
    with os.fdopen(result_fd, "rb") as result:
        data = result.read()
    os.waitpid(child, 0)
    found = pickle.loads(data) if data else "the child ended"
    if isinstance(found, str):
        raise RuntimeError(f"{case}: {found}")
    violations, fingerprint, placed = found
    return playing.Outcome(violations, (), fingerprint, placed)
