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
MAX_MEASUREMENT_AGE_S = 10.0
MAX_HOLD_S = 8.0
MIN_EASE_INTERVAL_S = 2.0
EASE_DELAY_AFTER_STEP_S = 4.0
MIN_EVICT_INTERVAL_S = 15.0
MAX_THROTTLE_EFFECTS = 8  # two effects per throttled task
BREACH_LOG_RATIO = 0.0
AIM_LOG_RATIO = math.log(0.9)
EASE_BELOW_LOG_RATIO = math.log(0.95)
EVICT_ABOVE_LOG_RATIO = math.log(1.3)


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
    def log_ratio(self) -> float:
        """The greater of `predicted` and `measured`."""
        if self.measured is None:
            return self.predicted
        return max(self.predicted, self.measured)


def react_to_worker(
    state: scheduler_state.SchedulerState,
    cell: cells.Cell,
    worker_name: str,
    at: float,
) -> list[effects.Effect]:
    """Returns the effects of the policy on one worker after its report."""
    if worker_name not in cell.view.ladders:
        return []
    return _REACTIONS[state.limits.policy](state, cell, worker_name, at)


def _ignore(state, cell, worker_name, at) -> list:
    """Never reacts; used by the policies that only place."""
    return []


def _evict_first(state, cell, worker_name: str, at: float) -> list:
    """Evicts the largest batch task at every breach; a baseline policy."""
    throttle_state = cell.view.ladders[worker_name]
    newest = max(
        (
            s.taken_at
            for s in throttle_state.signals.values()
            if s.log_ratio > 0 and s.taken_at > throttle_state.evicted_at
        ),
        default=None,
    )
    batch = _list_batch(cell, worker_name)
    if newest is None or not batch:
        return []
    throttle_state.evicted_at = newest
    largest = max(batch, key=lambda t: (t.need.millicores, t.task))
    return eviction.propose_eviction(cell, largest, "slowdown", at)


def _react_stepwise(state, cell, worker_name: str, at: float) -> list:
    """Takes at most one step: throttle, evict or raise one limit."""
    throttle_state = cell.view.ladders[worker_name]
    batch = _list_batch(cell, worker_name)
    effect_list = _reset_inherited_limits(cell, batch, at)
    if not batch:
        return effect_list
    tails = _list_tails(state, cell, worker_name, batch, at)
    if not tails:
        return effect_list + _ease(state, cell, worker_name, batch, tails, at)
    worst = max(tails, key=lambda tail: tail.log_ratio)
    if worst.log_ratio <= BREACH_LOG_RATIO:
        return effect_list + _ease(state, cell, worker_name, batch, tails, at)
    if not _may_step(state, throttle_state, batch, worst, at):
        return effect_list
    step = _throttle_batch(state, cell, worker_name, batch, worst, at)
    if not step:
        step = _evict(state, cell, worker_name, batch, worst, at)
    if step:
        throttle_state.stepped_at = at
    return effect_list + step


def _list_batch(cell: cells.Cell, worker_name: str) -> list[cells.Task]:
    """Returns the batch tasks on a worker that are not stopping."""
    return [
        task
        for task in cells.list_worker_tasks(cell, worker_name)
        if task.phase in (cells.Phase.RUNNING, cells.Phase.PLACED)
        and not records.name_service(task.job.job)
        and not eviction.is_stopping(cell, task)
    ]


def _reset_inherited_limits(cell, batch, at: float) -> list:
    """Lifts limits that a former owner may have set on a task."""
    return [
        effect
        for task in batch
        if task.term != cell.table.term and task.task not in cell.view.throttles
        for effect in _throttle(cell, task, LEVELS_PER_MILLE[0], at)
    ]


def _list_tails(state, cell, worker_name, batch, at) -> list[ServiceTail]:
    """Returns the tail latency of each measured service on a worker."""
    throttle_state = cell.view.ladders[worker_name]
    worker = cell.view.workers[worker_name]
    shares = colocation.describe_worker(state, cell, worker, batch).shares
    settled_at = throttle_state.stepped_at + SETTLE_S
    measured: dict[str, float | None] = {}
    for task_id in sorted(cell.table.held.get(worker_name, ())):
        service = records.name_service(cell.table.tasks[task_id].job.job)
        if not service:
            continue
        measured.setdefault(service, None)
        signal = throttle_state.signals.get(task_id)
        if signal and signal.taken_at >= max(
            settled_at, at - MAX_MEASUREMENT_AGE_S
        ):
            previous = measured[service]
            ratio = signal.log_ratio
            measured[service] = (
                ratio if previous is None else max(previous, ratio)
            )
    return [
        tail
        for service, ratio in measured.items()
        if (tail := _compute_tail(state, service, shares, ratio)) is not None
    ]


def _compute_tail(state, service, shares, measured) -> ServiceTail | None:
    """Returns the tail of a service; None if it was never measured.

    Args:
        state: The instance's state.
        service: Name of the service.
        shares: Share of the worker's processors by batch family.
        measured: Logarithm of measured tail over target, or None.
    """
    terms = state.slowdown.services.get(service)
    if terms is None:
        return None
    latency = interference.predict(state.slowdown, service, shares, terms.load)
    predicted = math.log(latency / colocation.find_target_ms(state, service))
    return ServiceTail(service, predicted, measured, terms.load)


def _may_step(
    state, throttle_state, batch, worst: ServiceTail, at: float
) -> bool:
    """Returns whether the next step may follow now.

    It may if a breach was measured after the last step, or if a trusted
    prediction shows one and batch work has arrived since, or the last step
    was more than MAX_HOLD_S ago.
    """
    if worst.measured is not None and worst.measured > BREACH_LOG_RATIO:
        return True
    arrived = (
        throttle_state.mixes
        and throttle_state.mixes[-1][0] >= throttle_state.stepped_at
    )
    hold_expired = at - throttle_state.stepped_at > MAX_HOLD_S
    trusted = any(
        interference.is_trusted(state.slowdown, worst.service, t.job.family)
        for t in batch
    )
    return (
        worst.predicted > BREACH_LOG_RATIO
        and trusted
        and (arrived or hold_expired)
    )


def _throttle_batch(
    state, cell, worker_name, batch, worst: ServiceTail, at: float
) -> list:
    """Throttles the tasks with the highest weight until the target is met.

    As few tasks are throttled as the prediction requires. After a task whose
    weight is not trusted, no further one is throttled.
    """
    worker = cell.view.workers[worker_name]
    factor = interference.compute_load_factor(worst.load)
    missing = worst.log_ratio - AIM_LOG_RATIO
    effect_list = []

    def get_weight(task: cells.Task) -> float:
        model = state.slowdown
        return model.find_weight(worst.service, task.job.family).mean

    def compute_harm(task: cells.Task) -> float:
        return get_weight(task) * colocation.find_share(cell, worker, task)

    for task in sorted(
        batch, key=lambda t: (-get_weight(t), -compute_harm(t), t.task)
    ):
        current = _find_per_mille(cell, task)
        lower = [level for level in LEVELS_PER_MILLE if level < current]
        if not lower or compute_harm(task) <= 0:
            continue
        reductions = [
            factor * compute_harm(task) * (1 - per_mille / current)
            for per_mille in lower
        ]
        chosen = next(
            (
                per_mille
                for per_mille, reduction in zip(lower, reductions, strict=True)
                if reduction >= missing
            ),
            lower[-1],
        )
        missing -= factor * compute_harm(task) * (1 - chosen / current)
        effect_list += _throttle(cell, task, chosen, at)
        family = task.job.family
        trusted = interference.is_trusted(state.slowdown, worst.service, family)
        if (
            missing <= 0
            or not trusted
            or len(effect_list) >= MAX_THROTTLE_EFFECTS
        ):
            break
    return effect_list


def _find_per_mille(cell: cells.Cell, task: cells.Task) -> int:
    """Returns the current limit of a task's attempt, 1000 for none."""
    throttle = cell.view.throttles.get(task.task)
    if throttle is None or throttle.attempt != task.attempt:
        return LEVELS_PER_MILLE[0]
    return throttle.per_mille


def _throttle(cell, task: cells.Task, per_mille: int, at: float) -> list:
    """Records a task's limit and returns the effects that send and count it."""
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


def _evict(
    state, cell, worker_name, batch, worst: ServiceTail, at: float
) -> list:
    """Evicts the most harmful task if no task can be throttled further."""
    throttle_state = cell.view.ladders[worker_name]
    breached = (
        worst.measured is not None and worst.measured > EVICT_ABOVE_LOG_RATIO
    )
    if not breached or at - throttle_state.evicted_at < MIN_EVICT_INTERVAL_S:
        return []
    evictable = [
        task
        for task in batch
        if not task.job.urgent
        and not eviction.is_recently_resumed(
            cell, task, state.limits.protect_s, at
        )
    ]
    if not evictable:
        return []

    def rank(task: cells.Task) -> tuple:
        model = state.slowdown
        weight = model.find_weight(worst.service, task.job.family).mean
        millicores = task.need.millicores
        return (-task.job.priority, weight * millicores, task.task)

    throttle_state.evicted_at = at
    return eviction.propose_eviction(
        cell, max(evictable, key=rank), "slowdown", at
    )


def _ease(state, cell, worker_name, batch, tails, at: float) -> list:
    """Raises one limit by one level if the prediction allows it."""
    throttle_state = cell.view.ladders[worker_name]
    recent = (
        at - throttle_state.stepped_at < EASE_DELAY_AFTER_STEP_S
        or at - throttle_state.released_at < MIN_EASE_INTERVAL_S
    )
    throttled = [
        t for t in batch if _find_per_mille(cell, t) < LEVELS_PER_MILLE[0]
    ]
    if not throttled or (tails and recent):
        return []
    if any(tail.log_ratio > EASE_BELOW_LOG_RATIO for tail in tails):
        return []

    def sum_weights(task: cells.Task) -> float:
        family = task.job.family
        return sum(
            state.slowdown.find_weight(tail.service, family).mean
            for tail in tails
        )

    for task in sorted(throttled, key=lambda t: (sum_weights(t), t.task)):
        higher = _raise_level(state, cell, worker_name, task, tails)
        if higher is not None:
            throttle_state.released_at = at
            return _throttle(cell, task, higher, at)
    return []


def _raise_level(state, cell, worker_name, task, tails) -> int | None:
    """Returns the next higher level; None if it would slow a service."""
    current = _find_per_mille(cell, task)
    higher = min(n for n in LEVELS_PER_MILLE if n > current)
    share = colocation.find_share(cell, cell.view.workers[worker_name], task)
    added = share * (higher / current - 1)
    for tail in tails:
        weight = state.slowdown.find_weight(tail.service, task.job.family).mean
        increase = interference.compute_load_factor(tail.load) * weight * added
        if tail.log_ratio + increase > EASE_BELOW_LOG_RATIO:
            return None
    return higher


_REACTIONS: dict[str, Callable] = {
    "random": _ignore,
    "first_fit": _ignore,
    "least_loaded": _ignore,
    "evict_first": _evict_first,
    "chosen": _react_stepwise,
}
