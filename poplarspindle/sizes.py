"""Declared sizes corrected from use, by job family.

What is reserved follows the greatest use seen lately, with headroom. It is
learned only from tasks that nothing limits, and holds from the next
placement on: the worker enforces what a start names.
"""

import dataclasses

from poplarspindle import records, reports, resources

HEADROOM = 1.15
SAMPLES_LEAST = 20
TASKS_LEAST = 3
TASKS_COUNTED_MOST = 8
PEAK_DECAY = 0.999
MILLICORES_LEAST = 50
MEMORY_LEAST_MB = 64
GROWTH_LEAST = 1.05
CUT_SHARE = 0.98
RAISE = 1.3
SLOW_PER_MILLE = 900
RAISED_MOST = 2.0


@dataclasses.dataclass(slots=True)
class Use:
    """What tasks of a family used.

    Attributes:
        millicores: Greatest processor use, slowly forgotten.
        memory_mb: Greatest memory use, slowly forgotten.
        samples: Samples taken in.
        tasks: First tasks that were sampled.
    """

    millicores: float = 0.0
    memory_mb: float = 0.0
    samples: int = 0
    tasks: set[str] = dataclasses.field(default_factory=set)


Sizes = dict[str, Use]


def learn(
    sizes: Sizes,
    family: str,
    sample: reports.UsageSample,
    need: resources.Resources,
) -> None:
    """Takes in one sample of a task that is not throttled.

    Args:
        sizes: What was learned; changed in place.
        family: The task's family.
        sample: The sample.
        need: What the task reserves. Where it is slow and uses all of that,
            it may want more: the next reservation is raised to find out.
    """
    millicores = sample.millicores
    slow = sample.progress_per_mille < SLOW_PER_MILLE
    if slow and millicores >= need.millicores * CUT_SHARE:
        millicores = round(millicores * RAISE)
    use = sizes.setdefault(family, Use())
    use.samples += 1
    if len(use.tasks) < TASKS_COUNTED_MOST:
        use.tasks.add(sample.task)
    use.millicores = max(millicores, use.millicores * PEAK_DECAY)
    use.memory_mb = max(sample.memory_mb, use.memory_mb * PEAK_DECAY)


def correct(
    sizes: Sizes, job: records.JobSubmitted, declared: resources.Resources
) -> resources.Resources:
    """Returns what a task is to reserve at its next placement.

    Args:
        sizes: What was learned.
        job: The task's job.
        declared: Its declared sizes, kept until enough was seen.

    Returns:
        The sizes; processors at most RAISED_MOST times those declared.
    """
    use = sizes.get(job.family)
    if job.is_service or use is None or not is_trusted(use):
        return declared
    most = declared.millicores * RAISED_MOST
    return resources.Resources(
        _fit(use.millicores, declared.millicores, MILLICORES_LEAST, most),
        _fit(use.memory_mb, declared.memory_mb, MEMORY_LEAST_MB),
        declared.accelerators,
    )


def _fit(
    used: float, declared: int, least: int, most: float = float("inf")
) -> int:
    """Returns what to reserve for an amount used.

    Headroom ends at what was declared: a task that fills whatever it is
    given would otherwise grow without end.
    """
    fitted = max(used, min(declared, used * HEADROOM))
    return max(least, round(min(fitted, most)))


def is_trusted(use: Use) -> bool:
    """Tells whether enough tasks were seen for long enough."""
    return use.samples >= SAMPLES_LEAST and len(use.tasks) >= TASKS_LEAST


def find_growth(
    need: resources.Resources, millicores: int, memory_mb: int
) -> resources.Resources | None:
    """Returns what a running task must reserve, None where it has enough."""
    over = (
        millicores > need.millicores * GROWTH_LEAST
        or memory_mb > need.memory_mb * GROWTH_LEAST
    )
    if not over:
        return None
    return resources.Resources(
        max(need.millicores, millicores),
        max(need.memory_mb, memory_mb),
        need.accelerators,
    )
