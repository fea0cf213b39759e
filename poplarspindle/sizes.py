"""Corrects declared task sizes from measured use, by job family.

Reservations follow the recent peak use plus headroom. Only tasks that are not
throttled are sampled. A correction applies from the next placement on,
because the worker enforces the sizes given at the start.
"""

import dataclasses

from poplarspindle import records, reports, resources

HEADROOM_FACTOR = 1.15
MIN_SAMPLES = 20
MIN_TASKS = 3
MAX_TASKS_COUNTED = 8
PEAK_DECAY_PER_SAMPLE = 0.999
MIN_MILLICORES = 50
MIN_MEMORY_MB = 64
MIN_GROWTH_FACTOR = 1.05
FULL_USE_SHARE = 0.98
RAISE_FACTOR = 1.3
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
    is_slow = sample.progress_per_mille < SLOW_PER_MILLE
    if is_slow and millicores >= need.millicores * FULL_USE_SHARE:
        millicores = round(millicores * RAISE_FACTOR)
    usage = sizes.setdefault(family, FamilyUsage())
    usage.samples += 1
    if len(usage.tasks) < MAX_TASKS_COUNTED:
        usage.tasks.add(sample.task)
    usage.millicores = max(millicores, usage.millicores * PEAK_DECAY_PER_SAMPLE)
    usage.memory_mb = max(
        sample.memory_mb, usage.memory_mb * PEAK_DECAY_PER_SAMPLE
    )


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
    usage = sizes.get(job.family)
    if job.is_service or usage is None or not is_trusted(usage):
        return declared
    maximum = declared.millicores * MAX_RAISE_FACTOR
    return resources.Resources(
        _compute_reservation(
            usage.millicores, declared.millicores, MIN_MILLICORES, maximum
        ),
        _compute_reservation(
            usage.memory_mb, declared.memory_mb, MIN_MEMORY_MB
        ),
        declared.accelerators,
    )


def _compute_reservation(
    used: float, declared: int, minimum: int, maximum: float = float("inf")
) -> int:
    """Returns the amount to reserve for an amount used.

    Headroom does not exceed the declared amount: the reservation of a task
    that uses all it gets would otherwise grow without bound.
    """
    with_headroom = max(used, min(declared, used * HEADROOM_FACTOR))
    return max(minimum, round(min(with_headroom, maximum)))


def is_trusted(usage: FamilyUsage) -> bool:
    """Returns whether there are enough samples from enough tasks."""
    return usage.samples >= MIN_SAMPLES and len(usage.tasks) >= MIN_TASKS


def find_growth(
    need: resources.Resources, millicores: int, memory_mb: int
) -> resources.Resources | None:
    """Returns the raised reservation of a running task, None if it suffices."""
    exceeds_need = (
        millicores > need.millicores * MIN_GROWTH_FACTOR
        or memory_mb > need.memory_mb * MIN_GROWTH_FACTOR
    )
    if not exceeds_need:
        return None
    return resources.Resources(
        max(need.millicores, millicores),
        max(need.memory_mb, memory_mb),
        need.accelerators,
    )
