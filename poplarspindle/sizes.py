"""Corrects declared task sizes from measured use, by job family.

Reservations follow the recent peak use plus headroom. Only tasks that are not
throttled are sampled. A correction applies from the next placement on,
because the worker enforces the sizes given at the start.
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
    """Measured use of a family's tasks.

    Attributes:
        millicores: Peak processor use; decays with each sample.
        memory_mb: Peak memory use; decays with each sample.
        samples: Number of samples.
        tasks: Ids of the first MAX_TASKS_COUNTED tasks sampled.
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
    """Adds one sample of a task that is not throttled.

    Args:
        sizes: Measured use by family; changed in place.
        family: The task's family.
        sample: The sample.
        need: Resources the task reserves. If it is slow and uses all its
            processors, it may need more, so the next reservation is raised.
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
    """Returns the resources a task reserves at its next placement.

    Args:
        sizes: Measured use by family.
        job: The task's job.
        declared: Its declared sizes, used until enough samples exist.

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
    """Returns the amount to reserve for an amount used.

    Headroom does not exceed the declared amount: the reservation of a task
    that uses all it gets would otherwise grow without bound.
    """
    fitted = max(used, min(declared, used * HEADROOM))
    return max(minimum, round(min(fitted, maximum)))


def is_trusted(use: FamilyUsage) -> bool:
    """Returns whether there are enough samples from enough tasks."""
    return use.samples >= MIN_SAMPLES and len(use.tasks) >= MIN_TASKS


def find_growth(
    need: resources.Resources, millicores: int, memory_mb: int
) -> resources.Resources | None:
    """Returns the raised reservation of a running task, None if it suffices."""
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
