"""Decides which runs are blamed for a worker's crash. Pure functions.

A worker that crashes tells no cause. Any of the runs aboard may have crashed
it, and often none did. So a task's crashes are counted, and its job is given up
only where the evidence points to it, or where it goes on for too long:

- At a first crash all runs aboard become suspects.
- At a later one those with most crashes are counted, and those that came after
  them. What was at work before them did not crash the worker then.
- A start without an answer may never have been carried out, as the worker may
  have been down before. If there were several of these, such a crash makes a
  task a suspect, which is tried apart, and counts no further.
- Two crashes are enough for a task that had surely just started in both and was
  the only one to be counted in the second, if no other worker went silent then.
- Workers that go silent together may have another cause, as a rack without
  power, or a task each that crashes them. Such a crash counts only for tasks
  that had just started.
"""

import dataclasses
from collections.abc import Sequence

MAX_CRASHES = 3
MAX_CERTAIN_CRASHES = 2
# Of a task that lasts, while it is not known whether it crashed that many.
MAX_UNDECIDED_STARTS = 2
MIN_MASS_WORKERS = 3  # Beside the one that crashed.
# A task that lasts and crashes its workers does so soon after its start.
OUTLIVED_S = 10.0
JUST_STARTED_S = 1.0  # From a placement to the silence of its worker.


@dataclasses.dataclass(frozen=True, slots=True)
class Aboard:
    """A task, or a gang, that a worker may have run when it crashed.

    Times are on the owner's monotonic clock, infinity if unknown.

    Attributes:
        crashes: Crashes counted for it before.
        certain_crashes: Those that surely came soon after its start.
        certain: Whether this one did.
        until_cancelled: Whether it runs until its job is cancelled.
        placed_at: When it was placed.
        first_seen_at: When a report first listed it.
        silent_at: When the worker went silent.
        was_at_work: Whether it surely ran on the worker.
    """

    crashes: int
    certain_crashes: int
    certain: bool
    until_cancelled: bool
    placed_at: float
    first_seen_at: float
    silent_at: float
    was_at_work: bool


@dataclasses.dataclass(frozen=True, slots=True)
class Verdict:
    """What a crash means for a task.

    Attributes:
        counted: Whether the crash counts for the task.
        given_up: Whether the task is not to be started again.
    """

    counted: bool
    given_up: bool


def judge(aboard: Sequence[Aboard], silent_together: int) -> list[Verdict]:
    """Decides for which tasks a crash counts and which are given up.

    Args:
        aboard: All tasks that the worker may have run.
        silent_together: Number of other workers that went silent at about the
            same time.

    Returns:
        A verdict for each task, in their order.
    """
    blamed = [_is_blamed(entry, aboard, silent_together) for entry in aboard]
    in_doubt = sum(
        is_blamed and not entry.was_at_work
        for entry, is_blamed in zip(aboard, blamed, strict=True)
    )
    counted = [
        is_blamed and (entry.was_at_work or entry.crashes == 0 or in_doubt == 1)
        for entry, is_blamed in zip(aboard, blamed, strict=True)
    ]
    is_certain = sum(counted) == 1 and not silent_together
    return [
        Verdict(is_counted, is_counted and _is_given_up(entry, is_certain))
        for entry, is_counted in zip(aboard, counted, strict=True)
    ]


def awaits_verdict(crashes: int, undecided: int, lasts: bool) -> bool:
    """Returns whether a task is not started until a crash is decided.

    A worker that dies for good is shown to be replaced by nobody only by time.
    A task that lasts has to run beside room sooner than that, so it is tried
    apart meanwhile; work that ends by itself waits.

    Args:
        crashes: Crashes that are counted for the task.
        undecided: Its runs of whose workers it is not known if they crashed.
        lasts: Whether it runs until its job is cancelled.
    """
    starts = MAX_UNDECIDED_STARTS if lasts else 0
    return crashes + undecided >= MAX_CRASHES + starts


def _is_blamed(
    entry: Aboard, aboard: Sequence[Aboard], silent_together: int
) -> bool:
    candidates = [other for other in aboard if not _outlived_start(other)]
    if silent_together >= MIN_MASS_WORKERS:
        candidates = [other for other in candidates if _just_started(other)]
    if entry not in candidates:
        return False
    most = max(other.crashes for other in candidates)
    if most == 0:
        return True
    suspects_came_at = max(
        other.placed_at for other in candidates if other.crashes == most
    )
    return entry.crashes == most or entry.first_seen_at >= suspects_came_at


def _outlived_start(entry: Aboard) -> bool:
    at_work_s = entry.silent_at - entry.first_seen_at
    return entry.until_cancelled and at_work_s >= OUTLIVED_S


def _just_started(entry: Aboard) -> bool:
    placed_before_s = entry.silent_at - entry.placed_at
    return entry.certain or 0 <= placed_before_s <= JUST_STARTED_S


def _is_given_up(entry: Aboard, is_certain: bool) -> bool:
    if entry.crashes + 1 >= MAX_CRASHES:
        return True
    return (
        is_certain
        and not entry.until_cancelled
        and entry.certain_crashes + entry.certain >= MAX_CERTAIN_CRASHES
    )
