"""Preemption: chooses the tasks that are evicted for a more urgent one.

The capacity is free only after the confirmed stop. Until then the urgent task
claims it again at every tick. No more tasks are evicted than needed.
"""

import dataclasses
import itertools

from poplarspindle import cells, placement_policy, records, resources


@dataclasses.dataclass(frozen=True, slots=True)
class EvictionPlan:
    """The tasks to evict on one worker.

    Attributes:
        cost: Sort key of plans: highest priority evicted, number of tasks,
            milliseconds of work lost.
        worker: The worker.
        victims: Tasks to evict; empty if enough are already stopping.
    """

    cost: tuple
    worker: str
    victims: tuple[cells.Task, ...]


def is_stopping(cell: cells.Cell, task: cells.Task) -> bool:
    """Returns whether the log, or a record sent to it, stops a task."""
    proposed = cell.view.proposed.get(task.task, {})
    stopping = task.phase is cells.Phase.STOPPING or task.cancelled
    return stopping or records.TaskEvicted in proposed


def is_recently_resumed(
    cell: cells.Cell, task: cells.Task, protect_s: float, at: float
) -> bool:
    """Returns whether a task resumed less than `protect_s` ago."""
    resumed_at = cell.view.resumed_at.get(task.task, float("-inf"))
    return task.attempt > 0 and at - resumed_at < protect_s


def make_room_for(
    free_capacity: placement_policy.FreeCapacity,
    task: cells.Task,
    need: resources.Resources,
    at: float,
) -> list:
    """Claims capacity that stopping tasks free, or evicts for an urgent task.

    Args:
        free_capacity: Free capacity; the claim is subtracted.
        task: The urgent task.
        need: Resources it reserves.
        at: Local monotonic time, seconds.

    Returns:
        Effects that append the eviction records; empty if no worker can hold
        the task.
    """
    plans = [
        plan
        for worker_name in free_capacity.free
        if (plan := _plan_worker(free_capacity, worker_name, task, need, at))
        is not None
    ]
    if not plans:
        return []
    best = min(plans, key=lambda plan: (plan.cost, plan.worker))
    free_capacity.claim(best.worker, need)
    reason = "service" if task.job.is_service else "urgent"
    return [
        effect
        for victim in best.victims
        for effect in propose_eviction(free_capacity.cell, victim, reason, at)
    ]


def propose_eviction(
    cell: cells.Cell, task: cells.Task, reason: str, at: float
) -> list:
    """Returns the effects that append the record of an eviction."""
    record = records.TaskEvicted(
        task.task, task.attempt, cell.table.term, reason
    )
    return cells.propose(cell, record, at)


def _plan_worker(
    free_capacity, worker_name, task, need, at
) -> EvictionPlan | None:
    """Plans evictions on one worker; None if they do not free enough."""
    cell = free_capacity.cell
    if not need.fits_in(cell.view.workers[worker_name].member.capacity):
        return None
    held = cells.list_worker_tasks(cell, worker_name)
    stopping_tasks = [
        held_task for held_task in held if is_stopping(cell, held_task)
    ]
    available = sum(
        (t.need for t in stopping_tasks), free_capacity.free[worker_name]
    )
    if need.fits_in(available):
        return EvictionPlan((-1, 0, 0), worker_name, ())
    protect_s = free_capacity.state.limits.protect_s
    eligible = sorted(
        (
            t
            for t in held
            if t not in stopping_tasks
            and not t.job.is_service
            and t.job.priority < task.job.priority
            and not is_recently_resumed(cell, t, protect_s, at)
        ),
        key=lambda t: (t.job.priority, compute_lost_work_ms(cell, t), t.task),
    )
    victims = _choose_victims(eligible, need, available)
    if victims is None:
        return None
    cost = (
        max(t.job.priority for t in victims),
        len(victims),
        sum(compute_lost_work_ms(cell, t) for t in victims),
    )
    return EvictionPlan(cost, worker_name, victims)


def _choose_victims(eligible, need, available) -> tuple[cells.Task, ...] | None:
    """Chooses victims in order until `need` fits into `available`.

    Victims whose capacity turns out not to be needed are spared. None if
    evicting all eligible tasks is not enough.
    """
    totals = itertools.accumulate(
        (t.need for t in eligible), lambda a, b: a + b, initial=available
    )
    count = next(
        (i for i, total in enumerate(totals) if need.fits_in(total)), None
    )
    if count is None:
        return None
    chosen = list(eligible[:count])
    total = sum((t.need for t in chosen), available)
    for victim in list(chosen):
        if need.fits_in(total - victim.need):
            chosen.remove(victim)
            total = total - victim.need
    return tuple(chosen)


def compute_lost_work_ms(cell: cells.Cell, task: cells.Task) -> int:
    """Returns the milliseconds of work done since the last checkpoint."""
    worker = cell.view.workers.get(task.worker)
    if worker is None or worker.report is None:
        return 0
    worked_ms = next(
        (
            running.worked_ms
            for running in worker.report.running
            if running.task == task.task and running.attempt == task.attempt
        ),
        task.checkpoint,
    )
    return max(0, worked_ms - task.checkpoint)
