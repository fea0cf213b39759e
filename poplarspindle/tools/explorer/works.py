"""Kinds of work that a course hands in."""

import dataclasses

from poplarspindle import resources
from poplarspindle.fleet import work

CORE = resources.Resources(1000, 1000, 0)
SHORT_S = 0.6
LONG_S = 30.0  # Longer than any lease that an owner may reckon with.
CALM_S = 20.0  # Two disturbances and the calm in which work has to run.
FIRST_JOB, SECOND_JOB = "a" * 16, "b" * 16


@dataclasses.dataclass(frozen=True, slots=True)
class Work:
    """What is handed in, and how it runs.

    Attributes:
        steps: The steps of the job.
        run_s: How long a task takes, seconds.
        fails_first: Whether the first run of each task fails.
        second_at_s: When a second job of the same steps is handed in, on the
            worker that the first one is on; infinite for never.
        cancelled_at_s: When the job is cancelled; infinite for never.
    """

    steps: tuple[work.Step, ...]
    run_s: float
    fails_first: bool = False
    second_at_s: float = float("inf")
    cancelled_at_s: float = float("inf")


def _make_step(tasks: int = 1, after: tuple[int, ...] = (), **options):
    return work.Step(tasks, CORE, 500, after, **options)


WORKS = {
    "task": Work((_make_step(),), LONG_S),
    "short": Work((_make_step(),), SHORT_S),
    "chain": Work((_make_step(), _make_step(after=(0,))), SHORT_S),
    "gang": Work((_make_step(2, gang=True),), LONG_S),
    "lasting": Work(
        (_make_step(until_cancelled=True),), LONG_S, cancelled_at_s=LONG_S / 2
    ),
    "lasting-in-calm": Work(
        (_make_step(until_cancelled=True),), LONG_S, cancelled_at_s=CALM_S
    ),
    "failing": Work((_make_step(),), SHORT_S, fails_first=True),
    "two-jobs": Work((_make_step(),), LONG_S, second_at_s=0.8),
}
