"""Which worker a task goes to. Policies are plain functions."""

import random
from collections.abc import Callable

from poplarspindle import cells

Policy = Callable[
    [cells.Cell, cells.Task, list[cells.Worker], random.Random],
    cells.Worker | None,
]


def list_fitting(cell: cells.Cell, task: cells.Task) -> list[cells.Worker]:
    """Returns the reachable workers with room for a task, in name order."""
    return [
        worker
        for _, worker in sorted(cell.view.workers.items())
        if worker.reached
        and worker.fenced_term == cell.table.term
        and task.need.fits_in(cells.compute_room(cell, worker))
    ]


def pick_random(cell, task, fitting, rng):
    """Picks any worker with room."""
    return rng.choice(fitting) if fitting else None


def pick_first_fit(cell, task, fitting, rng):
    """Picks the first worker with room."""
    return fitting[0] if fitting else None


def pick_least_loaded(cell, task, fitting, rng):
    """Picks the worker with the least share reserved."""

    def weigh(worker: cells.Worker) -> float:
        capacity = worker.member.capacity
        return (capacity - cells.compute_room(cell, worker)).share_of(capacity)

    return min(fitting, key=weigh, default=None)


POLICIES: dict[str, Policy] = {
    "random": pick_random,
    "first_fit": pick_first_fit,
    "least_loaded": pick_least_loaded,
    "chosen": pick_least_loaded,
}
