"""Checks whether any worker could ever hold a job's tasks."""

from collections.abc import Iterable

from poplarspindle import reports, resources


def find_obstacle(
    need: resources.Resources,
    allowed: tuple[str, ...],
    workers: Iterable[reports.Member],
) -> str:
    """Returns the reason why no worker can ever hold a task.

    Args:
        need: Resources the task reserves.
        allowed: Data centres where it may run.
        workers: All workers of the instance list.

    Returns:
        One sentence; empty if some worker could hold the task, or if the
        list has no worker in the allowed data centres.
    """
    if not allowed:
        return "no data centre is allowed"
    capacities = {w.capacity for w in workers if w.data_centre in allowed}
    if not capacities or any(need.fits_in(c) for c in capacities):
        return ""
    requirements = (
        (
            "processors",
            need.millicores / 1000,
            _find_largest(capacities, "millicores"),
        ),
        (
            "MB of memory",
            need.memory_mb,
            _find_largest(capacities, "memory_mb"),
        ),
        (
            "accelerators",
            need.accelerators,
            _find_largest(capacities, "accelerators"),
        ),
    )
    for resource_name, needed, largest in requirements:
        largest = largest / 1000 if resource_name == "processors" else largest
        if needed > largest:
            return (
                f"needs {needed:g} {resource_name}, and no worker in"
                f" {', '.join(sorted(allowed))} has more than {largest:g}"
            )
    return "no single worker has all the resources it needs together"


def _find_largest(capacities: set[resources.Resources], name: str) -> int:
    return max(getattr(capacity, name) for capacity in capacities)
