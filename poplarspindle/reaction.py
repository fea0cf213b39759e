"""Reacts to slow services on a worker: throttles batch work, then evicts.

After one step, the next waits for a measurement that was taken after it. A
step may also follow a prediction, once per arrival of batch work, if the
weights of the pairs are trusted. Limits are raised slowly, and only while the
prediction stays below the target by a margin, so that they do not oscillate.
"""

import dataclasses
import math
from collections.abc import Callable

from poplarspindle import (
    cells,
    colocation,
    effects,
    eviction,
    interference,
    records,
    scheduler_state,
)

LEVELS_PER_MILLE = (1000, 700, 450, 250, 100)
FLOOR_PER_MILLE = LEVELS_PER_MILLE[-1]
SETTLE_S = 0.5
FRESH_S = 10.0
MAX_HOLD_S = 8.0
EASE_GAP_S = 2.0
EASE_AFTER_S = 4.0
EVICT_GAP_S = 15.0
MAX_THROTTLED_TASKS = 8
OVER = 0.0
AIM = math.log(0.9)
EASE_BELOW = math.log(0.95)
EVICT_ABOVE = math.log(1.3)


@dataclasses.dataclass(frozen=True, slots=True)
class ServiceTail:
    """Tail latency of a service on a worker, relative to its target.

    Attributes:
        service: Its name.
        predicted: Logarithm of predicted tail over target.
        measured: Logarithm of the tail measured after the last step over
            target; None without a measurement.
        load: Its load, as a share of nominal.
    """

    service: str
    predicted: float
    measured: float | None
    load: float

    @property
    def worst(self) -> float:
        """The greater of `predicted` and `measured`."""
        if self.measured is None:
            return self.predicted
        return max(self.predicted, self.measured)


def react_to_worker(
    state: scheduler_state.SchedulerState,
    cell: cells.Cell,
    name: str,
    at: float,
) -> list[effects.Effect]:
    """Returns the effects of the policy on one worker after its report."""
    if name not in cell.view.ladders:
        return []
    return _REACTIONS[state.limits.policy](state, cell, name, at)


def _ignore(state, cell, name, at) -> list:
    return []


def _evict_first(state, cell, name: str, at: float) -> list:
    """Evicts the largest batch task at every breach; a baseline policy."""
    throttle_state = cell.view.ladders[name]
    newest = max(
        (
            s.taken_at
            for s in throttle_state.signals.values()
            if s.log_ratio > 0 and s.taken_at > throttle_state.evicted_at
        ),
        default=None,
    )
    batch = _list_batch(cell, name)
    if newest is None or not batch:
        return []
    throttle_state.evicted_at = newest
    largest = max(batch, key=lambda t: (t.need.millicores, t.task))
    return eviction.propose_eviction(cell, largest, "slowdown", at)


def _climb(state, cell, name: str, at: float) -> list:
    """Takes at most one step: throttle, evict or raise one limit."""
    throttle_state = cell.view.ladders[name]
    batch = _list_batch(cell, name)
    effect_list = _reset_strange(cell, batch, at)
    if not batch:
        return effect_list
    levels = _list_levels(state, cell, name, batch, at)
    if not levels:
        return effect_list + _ease(state, cell, name, batch, levels, at)
    worst = max(levels, key=lambda level: level.worst)
    if worst.worst <= OVER:
        return effect_list + _ease(state, cell, name, batch, levels, at)
    if not _may_step(state, throttle_state, batch, worst, at):
        return effect_list
    step = _limit(state, cell, name, batch, worst, at)
    if not step:
        step = _evict(state, cell, name, batch, worst, at)
    if step:
        throttle_state.stepped_at = at
    return effect_list + step


def _list_batch(cell: cells.Cell, name: str) -> list[cells.Task]:
    """Returns the batch tasks on a worker that are not stopping."""
    return [
        task
        for task in cells.list_worker_tasks(cell, name)
        if task.phase in (cells.Phase.RUNNING, cells.Phase.PLACED)
        and not records.name_service(task.job.job)
        and not eviction.is_stopping(cell, task)
    ]


def _reset_strange(cell, batch, at: float) -> list:
    """Lifts limits that a former owner may have set on a task."""
    return [
        effect
        for task in batch
        if task.term != cell.table.term and task.task not in cell.view.throttles
        for effect in _throttle(cell, task, LEVELS_PER_MILLE[0], at)
    ]


def _list_levels(state, cell, name, batch, at) -> list[ServiceTail]:
    """Returns the tail latency of each measured service on a worker."""
    throttle_state = cell.view.ladders[name]
    worker = cell.view.workers[name]
    shares = colocation.describe_worker(state, cell, worker, batch).shares
    after = throttle_state.stepped_at + SETTLE_S
    measured: dict[str, float | None] = {}
    for task in sorted(cell.table.held.get(name, ())):
        service = records.name_service(cell.table.tasks[task].job.job)
        if not service:
            continue
        measured.setdefault(service, None)
        signal = throttle_state.signals.get(task)
        if signal and signal.taken_at >= max(after, at - FRESH_S):
            before = measured[service]
            ratio = signal.log_ratio
            measured[service] = ratio if before is None else max(before, ratio)
    return [
        level
        for service, ratio in measured.items()
        if (level := _find_level(state, service, shares, ratio)) is not None
    ]


def _find_level(state, service, shares, measured) -> ServiceTail | None:
    known = state.slowdown.services.get(service)
    if known is None:
        return None
    latency = interference.predict(state.slowdown, service, shares, known.load)
    predicted = math.log(latency / colocation.find_target_ms(state, service))
    return ServiceTail(service, predicted, measured, known.load)


def _may_step(
    state, throttle_state, batch, worst: ServiceTail, at: float
) -> bool:
    """Returns whether the next step may follow now.

    It may if a breach was measured after the last step, or if a trusted
    prediction shows one and batch work has arrived since, or the last step
    was more than MAX_HOLD_S ago.
    """
    if worst.measured is not None and worst.measured > OVER:
        return True
    arrived = (
        throttle_state.mixes
        and throttle_state.mixes[-1][0] >= throttle_state.stepped_at
    )
    waited = at - throttle_state.stepped_at > MAX_HOLD_S
    trusted = any(
        interference.is_trusted(state.slowdown, worst.service, t.job.family)
        for t in batch
    )
    return worst.predicted > OVER and trusted and (arrived or waited)


def _limit(state, cell, name, batch, worst: ServiceTail, at: float) -> list:
    """Throttles the tasks with the highest weight until the target is met.

    As few tasks are throttled as the prediction requires. After a task whose
    weight is not trusted, no further one is throttled.
    """
    worker = cell.view.workers[name]
    factor = interference.weigh_load(worst.load)
    missing = worst.worst - AIM
    effect_list = []

    def blame(task: cells.Task) -> float:
        model = state.slowdown
        return model.find_weight(worst.service, task.job.family).mean

    def harm(task: cells.Task) -> float:
        return blame(task) * colocation.find_share(cell, worker, task)

    for task in sorted(batch, key=lambda t: (-blame(t), -harm(t), t.task)):
        present = _find_per_mille(cell, task)
        lower = [level for level in LEVELS_PER_MILLE if level < present]
        if not lower or harm(task) <= 0:
            continue
        eased = [factor * harm(task) * (1 - n / present) for n in lower]
        chosen = next(
            (
                n
                for n, drop in zip(lower, eased, strict=True)
                if drop >= missing
            ),
            lower[-1],
        )
        missing -= factor * harm(task) * (1 - chosen / present)
        effect_list += _throttle(cell, task, chosen, at)
        family = task.job.family
        trusted = interference.is_trusted(state.slowdown, worst.service, family)
        if (
            missing <= 0
            or not trusted
            or len(effect_list) >= MAX_THROTTLED_TASKS
        ):
            break
    return effect_list


def _find_per_mille(cell: cells.Cell, task: cells.Task) -> int:
    throttle = cell.view.throttles.get(task.task)
    if throttle is None or throttle.attempt != task.attempt:
        return LEVELS_PER_MILLE[0]
    return throttle.per_mille


def _throttle(cell, task: cells.Task, per_mille: int, at: float) -> list:
    cell.view.throttles[task.task] = cells.SentThrottle(
        task.attempt, per_mille, at
    )
    return [
        effects.ThrottleTask(
            cell.table.data_centre,
            task.worker,
            cell.table.term,
            task.task,
            task.attempt,
            per_mille,
        ),
        effects.Count(
            "poplarspindle_reactions_total",
            "eased" if per_mille == LEVELS_PER_MILLE[0] else "throttled",
        ),
    ]


def _evict(state, cell, name, batch, worst: ServiceTail, at: float) -> list:
    """Evicts the most harmful task if no task can be throttled further."""
    throttle_state = cell.view.ladders[name]
    breached = worst.measured is not None and worst.measured > EVICT_ABOVE
    if not breached or at - throttle_state.evicted_at < EVICT_GAP_S:
        return []
    able = [
        task
        for task in batch
        if not task.job.urgent
        and not eviction.is_recently_resumed(
            cell, task, state.limits.protect_s, at
        )
    ]
    if not able:
        return []

    def blame(task: cells.Task) -> tuple:
        model = state.slowdown
        weight = model.find_weight(worst.service, task.job.family).mean
        share = task.need.millicores
        return (-task.job.priority, weight * share, task.task)

    throttle_state.evicted_at = at
    return eviction.propose_eviction(cell, max(able, key=blame), "slowdown", at)


def _ease(state, cell, name, batch, levels, at: float) -> list:
    """Raises one limit by one level if the prediction allows it."""
    throttle_state = cell.view.ladders[name]
    recent = (
        at - throttle_state.stepped_at < EASE_AFTER_S
        or at - throttle_state.released_at < EASE_GAP_S
    )
    limited = [
        t for t in batch if _find_per_mille(cell, t) < LEVELS_PER_MILLE[0]
    ]
    if not limited or (levels and recent):
        return []
    if any(level.worst > EASE_BELOW for level in levels):
        return []

    def blame(task: cells.Task) -> float:
        family = task.job.family
        return sum(
            state.slowdown.find_weight(level.service, family).mean
            for level in levels
        )

    for task in sorted(limited, key=lambda t: (blame(t), t.task)):
        higher = _raise_level(state, cell, name, task, levels)
        if higher is not None:
            throttle_state.released_at = at
            return _throttle(cell, task, higher, at)
    return []


def _raise_level(state, cell, name, task, levels) -> int | None:
    """Returns the next higher level; None if it would slow a service."""
    present = _find_per_mille(cell, task)
    higher = min(n for n in LEVELS_PER_MILLE if n > present)
    share = colocation.find_share(cell, cell.view.workers[name], task)
    added = share * (higher / present - 1)
    for level in levels:
        weight = state.slowdown.find_weight(level.service, task.job.family).mean
        push = interference.weigh_load(level.load) * weight * added
        if level.worst + push > EASE_BELOW:
            return None
    return higher


_REACTIONS: dict[str, Callable] = {
    "random": _ignore,
    "first_fit": _ignore,
    "least_loaded": _ignore,
    "evict_first": _evict_first,
    "chosen": _climb,
}
