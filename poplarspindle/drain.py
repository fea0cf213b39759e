"""Drains the batch tasks of a data centre that is out of service.

Services are moved by the reconciliation of the document. Exclusive tasks are
evicted first, then by priority. A task that is not exclusive is evicted only
when another data centre has free capacity for it, so it keeps running while
the others are full. After the grace time all tasks are evicted and wait in
another data centre with a checkpoint.
"""

import dataclasses
import itertools
from collections.abc import Iterator

from poplarspindle import cells, eviction, scheduler_state, spill

MOVES_PER_TICK = 50
REASON = "drain"


@dataclasses.dataclass(frozen=True, slots=True)
class DrainPlan:
    """Planned move of one task when its data centre is drained.

    Attributes:
        task: Id of the task.
        target: Data centre it moves to, empty if it stays.
        reason: Why it stays, empty if it moves.
    """

    task: str
    target: str
    reason: str = ""


def drain_data_centre(
    state: scheduler_state.SchedulerState, cell: cells.Cell, at: float
) -> list:
    """Evicts running batch tasks and moves queued ones out of a data centre.

    Evictions are limited to `drain_rate` per second. Exclusive tasks do not
    wait for free capacity elsewhere, nor do any after `drain_grace_s`.
    """
    view = cell.view
    if view.out_since is None:
        view.out_since = at
        view.drained = 0
    targets = spill.MoveTargets(state, cell.table.data_centre)
    effect_list = _evict_placed(cell, at)
    effect_list += _move_queued(cell, targets, at)
    _subtract_departing(cell, targets)
    budget = int((at - view.out_since) * state.limits.drain_rate) - view.drained
    grace_expired = at - view.out_since >= state.limits.drain_grace_s
    for task in _list_running(cell):
        if budget <= 0:
            break
        if not targets.reserve(
            task, urgent=grace_expired or task.job.exclusive
        ):
            continue
        evictions = eviction.propose_eviction(cell, task, REASON, at)
        view.drained += len(evictions)
        budget -= len(evictions)
        effect_list += evictions
    return effect_list


def record_return(cell: cells.Cell, at: float) -> None:
    """Records that a data centre is in service again."""
    if cell.view.out_since is not None:
        cell.view.out_since = None
        cell.view.in_since = at


def _evict_placed(cell: cells.Cell, at: float) -> list:
    """Evicts placed tasks that have not started; no work is lost."""
    return [
        effect
        for task_id in list(cell.table.placed)
        if not eviction.is_stopping(cell, task := cell.table.tasks[task_id])
        for effect in eviction.propose_eviction(cell, task, REASON, at)
    ]


def _move_queued(
    cell: cells.Cell, targets: spill.MoveTargets, at: float
) -> list:
    """Moves at most MOVES_PER_TICK queued batch tasks to other data centres."""
    queued = (
        task
        for task_id in cell.table.queue
        if not (task := cell.table.tasks[task_id]).job.is_service
    )
    effect_list = []
    for task in itertools.islice(queued, MOVES_PER_TICK):
        target = targets.reserve(task, urgent=True)
        if target:
            effect_list += spill.propose_move(cell, task, target, at)
    return effect_list


def _subtract_departing(cell: cells.Cell, targets: spill.MoveTargets) -> None:
    """Subtracts tasks that are leaving already from the targets' capacity."""
    departing = itertools.chain(cell.table.stopping, cell.table.moving)
    for task_id in list(departing):
        targets.reserve(cell.table.tasks[task_id], urgent=True)


def _list_running(cell: cells.Cell) -> Iterator[cells.Task]:
    """Returns the running batch tasks that are not stopping.

    Exclusive tasks come first, then higher priorities.
    """
    running = [
        task
        for task_ids in cell.table.held.values()
        for task_id in task_ids
        if (task := cell.table.tasks[task_id]).phase is cells.Phase.RUNNING
        and not task.job.is_service
        and not eviction.is_stopping(cell, task)
    ]
    return iter(
        sorted(
            running,
            key=lambda t: (not t.job.exclusive, -t.job.priority, t.task),
        )
    )


def plan(
    state: scheduler_state.SchedulerState, data_centre: str
) -> list[DrainPlan]:
    """Returns the planned move of each batch task of a data centre.

    Valid before the data centre goes out of service and during the drain.
    """
    cell = state.cells[data_centre]
    targets = spill.MoveTargets(state, data_centre)
    queued = [cell.table.tasks[task_id] for task_id in cell.table.queue]
    tasks = itertools.chain(
        _list_running(cell), (t for t in queued if not t.job.is_service)
    )
    return [_plan_task(targets, task) for task in tasks]


def _plan_task(targets: spill.MoveTargets, task: cells.Task) -> DrainPlan:
    target = targets.reserve(task)
    if target:
        return DrainPlan(task.task, target)
    waiting_target = targets.reserve(task, urgent=True)
    if waiting_target:
        return DrainPlan(
            task.task, "", f"no room now; would wait at {waiting_target}"
        )
    return DrainPlan(
        task.task, "", "no allowed data centre in service can hold it"
    )
