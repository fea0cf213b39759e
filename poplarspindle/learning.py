"""Learns slowdown, real sizes and tail latencies from delayed samples."""

import math

from poplarspindle import (
    cells,
    colocation,
    events,
    interference,
    placement_policy,
    records,
    reports,
    resources,
    scheduler_state,
    sizes,
)

MAX_MIXES = 32
SMOOTHING = 0.5


def apply_measurements(
    state: scheduler_state.SchedulerState,
    cell: cells.Cell,
    event: events.WorkerSynced,
) -> list:
    """Updates all models from a worker's report.

    Returns:
        Effects that append records which raise reservations to actual use.
    """
    worker = cell.view.workers.get(event.worker)
    if worker is None or worker.report is not event.report:
        return []
    throttle_state = cell.view.ladders.setdefault(
        event.worker, cells.ThrottleState()
    )
    _record_running(cell, event)
    _record_mix(cell, worker, throttle_state, event)
    return [
        effect
        for sample in event.report.usage
        for effect in _apply_sample(
            state, cell, worker, throttle_state, event, sample
        )
    ]


def _record_running(cell: cells.Cell, event: events.WorkerSynced) -> None:
    """Records when resumed tasks began to run; removes ended tasks."""
    resumed_at = cell.view.resumed_at
    for running in event.report.running:
        if running.attempt > 0:
            resumed_at.setdefault(running.task, event.at)
    for ended in event.report.ended:
        resumed_at.pop(ended.task, None)
        cell.view.throttles.pop(ended.task, None)


def _record_mix(cell, worker, throttle_state, event) -> None:
    """Records which batch work runs now.

    A sample arrives after it was taken; it is matched with the mix then.
    """
    shares: dict[str, float] = {}
    running_ids = {running.task for running in event.report.running}
    for ended_id in throttle_state.signals.keys() - running_ids:
        del throttle_state.signals[ended_id]
    for running in event.report.running:
        task = cell.table.tasks.get(running.task)
        if task is None or records.name_service(task.job.job):
            continue
        family = task.job.family
        share = colocation.find_share(cell, worker, task)
        shares[family] = shares.get(family, 0.0) + share
    if not throttle_state.mixes or throttle_state.mixes[-1][1] != shares:
        throttle_state.mixes.append((event.at, shares))
        del throttle_state.mixes[:-MAX_MIXES]


def _apply_sample(state, cell, worker, throttle_state, event, sample) -> list:
    """Learns from one usage sample of a task's current attempt.

    Args:
        state: The instance's state.
        cell: The worker's data centre.
        worker: The worker that reported.
        throttle_state: Throttling state of the worker.
        event: The worker's report.
        sample: One sample of the report.
    """
    task = cell.table.tasks.get(sample.task)
    if task is None or task.attempt != sample.attempt:
        return []
    taken_at = event.sent_at - sample.age_ms / 1000
    service = records.name_service(task.job.job)
    if service:
        _apply_latency(state, throttle_state, service, sample, taken_at)
        return []
    if state.limits.policy not in placement_policy.LEARNING_POLICIES:
        return []
    if task.task not in cell.view.throttles:
        sizes.apply_sample(state.sizes, task.job.family, sample, task.need)
    return _raise_reservation(cell, worker, task, sample, event.at)


def _apply_latency(
    state: scheduler_state.SchedulerState,
    throttle_state: cells.ThrottleState,
    service: str,
    sample: reports.UsageSample,
    taken_at: float,
) -> None:
    """Learns slowdown from a latency sample and records the measured tail.

    The sample is attributed to the batch work that ran at `taken_at`. Tails
    measured since the last reaction step are smoothed.
    """
    if sample.latency_ms <= 0:
        return
    shares = next(
        (
            shares
            for at, shares in reversed(throttle_state.mixes)
            if at <= taken_at
        ),
        None,
    )
    if shares is not None:
        interference.learn(
            state.slowdown,
            service,
            shares,
            sample.load,
            sample.latency_ms,
            taken_at,
        )
    ratio = math.log(
        sample.latency_ms / colocation.find_target_ms(state, service)
    )
    previous = throttle_state.signals.get(sample.task)
    if previous is not None and previous.taken_at > throttle_state.stepped_at:
        ratio = SMOOTHING * ratio + (1 - SMOOTHING) * previous.log_ratio
    throttle_state.signals[sample.task] = cells.TailMeasurement(
        taken_at, ratio, sample.load
    )


def _raise_reservation(cell, worker, task, sample, at: float) -> list:
    """Raises a reservation below actual use, as far as capacity is free."""
    if task.phase is not cells.Phase.RUNNING:
        return []
    needed = sizes.find_growth(task.need, sample.millicores, sample.memory_mb)
    if needed is None:
        return []
    free = cells.compute_free(cell, worker)
    raised = resources.Resources(
        min(needed.millicores, task.need.millicores + free.millicores),
        min(needed.memory_mb, task.need.memory_mb + free.memory_mb),
        task.need.accelerators,
    )
    if raised == task.need:
        return []
    record = records.TaskResized(
        task.task,
        task.attempt,
        cell.table.term,
        raised.millicores,
        raised.memory_mb,
    )
    return cells.propose(cell, record, at)
