"""Declared sizes corrected from use, by job family.

What is reserved follows the greatest use seen lately, with headroom. It is
learned only from tasks that nothing limits, and holds from the next
placement on: the worker enforces what a start names.
"""

import dataclasses

from poplarspindle import records, reports, resources

HEADROOM = 1.15
MIN_SAMPLES = 20
MIN_TASKS = 3
MAX_TASKS_COUNTED = 8
PEAK_DECAY = 0.999
MIN_MILLICORES = 50
MIN_MEMORY_MB = 64
MIN_GROWTH = 1.05
CUT_SHARE = 0.98
RAISE = 1.3
SLOW_PER_MILLE = 900
MAX_RAISE_FACTOR = 2.0


@dataclasses.dataclass(slots=True)
class FamilyUsage:
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


Sizes = dict[str, FamilyUsage]


def apply_sample(
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
    use = sizes.setdefault(family, FamilyUsage())
    use.samples += 1
    if len(use.tasks) < MAX_TASKS_COUNTED:
        use.tasks.add(sample.task)
    use.millicores = max(millicores, use.millicores * PEAK_DECAY)
    use.memory_mb = max(sample.memory_mb, use.memory_mb * PEAK_DECAY)


def correct_need(
    sizes: Sizes, job: records.JobSubmitted, declared: resources.Resources
) -> resources.Resources:
    """Returns what a task is to reserve at its next placement.

    Args:
        sizes: What was learned.
        job: The task's job.
        declared: Its declared sizes, kept until enough was seen.

    Returns:
        The sizes; processors at most MAX_RAISE_FACTOR times those declared.
    """
    use = sizes.get(job.family)
    if job.is_service or use is None or not is_trusted(use):
        return declared
    maximum = declared.millicores * MAX_RAISE_FACTOR
    return resources.Resources(
        _fit(use.millicores, declared.millicores, MIN_MILLICORES, maximum),
        _fit(use.memory_mb, declared.memory_mb, MIN_MEMORY_MB),
        declared.accelerators,
    )


def _fit(
    used: float, declared: int, minimum: int, maximum: float = float("inf")
) -> int:
    """Returns what to reserve for an amount used.

    Headroom ends at what was declared: a task that fills whatever it is
    given would otherwise grow without end.
    """
    fitted = max(used, min(declared, used * HEADROOM))
    return max(minimum, round(min(fitted, maximum)))


def is_trusted(use: FamilyUsage) -> bool:
    """Tells whether enough tasks were seen for long enough."""
    return use.samples >= MIN_SAMPLES and len(use.tasks) >= MIN_TASKS


def find_growth(
    need: resources.Resources, millicores: int, memory_mb: int
) -> resources.Resources | None:
    """Returns what a running task must reserve, None where it has enough."""
    over = (
        millicores > need.millicores * MIN_GROWTH
        or memory_mb > need.memory_mb * MIN_GROWTH
    )
    if not over:
        return None
    return resources.Resources(
        max(need.millicores, millicores),
        max(need.memory_mb, memory_mb),
        need.accelerators,
    )
