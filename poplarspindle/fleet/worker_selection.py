"""Chooses the worker for a task by filtering and ranking. Pure functions.

Latency-critical tasks have a tail-latency target. Best-effort tasks use only
spare processors. Headroom is how far best-effort tasks may still raise the tail
latency of a worker's latency-critical tasks.
"""

import collections
from collections.abc import Callable, Collection, Iterable

from poplarspindle.fleet import mechanisms, work, worker_state

MIN_BEST_EFFORT_SHARE = 0.75  # Of a task's processors, must be free.
# Of reserved processors; the rest is reserved for load peaks.
LATENCY_CRITICAL_USED_SHARE = 0.5
# `rank_worker` adds costs to shares of a worker's processors.
OTHER_RACK_COST = 0.5
BEST_EFFORT_COST = 0.5
# Gain of packing beside another image, relative to beside the same image.
OTHER_IMAGE_PACKING_SHARE = 0.5
# Cost of a worker without latency-critical tasks, where any best-effort task
# runs at full speed.
NO_LATENCY_CRITICAL_COST = 1.0
HEADROOM_USE_COST = 1.2
MAX_HEADROOM_USE = 1.0  # The whole tail-latency headroom of a worker.
# Keeps other tasks off a worker that may crash soon, while others have room.
SUSPECT_COST = 4.0


def is_excluded(
    info: work.WorkerInfo, service: str, excluded_data_centres: frozenset[str]
) -> bool:
    """Returns whether a worker is to begin no more tasks of a service.

    It runs another service, is about to shut down, or is in a data centre that
    gets no new tasks. Not for a worker whose entry was never read.
    """
    return bool(info.address) and (
        info.service != service
        or info.presence is not work.Presence.READY
        or info.data_centre in excluded_data_centres
    )


def accepts_tasks(
    worker: worker_state.WorkerState,
    service: str,
    excluded_data_centres: frozenset[str],
    at: float,
) -> bool:
    """Returns whether a worker accepts tasks of a service.

    Args:
        worker: The worker.
        service: Name of the service.
        excluded_data_centres: Data centres that get no new tasks.
        at: Current time, local clock.
    """
    return (
        may_be_given_work(worker, service, excluded_data_centres)
        and at >= worker.no_placement_until
        and at >= worker.excluded_until
    )


def may_be_given_work(
    worker: worker_state.WorkerState,
    service: str,
    excluded_data_centres: frozenset[str],
) -> bool:
    """Returns whether a worker may get tasks of a service now or soon."""
    return (
        worker.listed
        and worker.has_reported
        and not worker.logged_unreachable
        and not is_excluded(worker.info, service, excluded_data_centres)
    )


def list_accepting(
    workers: Iterable[worker_state.WorkerState],
    service: str,
    excluded_data_centres: frozenset[str],
    at: float,
) -> list[worker_state.WorkerState]:
    """Lists the workers that accept tasks of a service.

    Load pattern: hundreds of workers are asked in each placement round. The
    checks are those of `accepts_tasks`, without a call for each worker.

    Args:
        workers: The workers.
        service: Name of the service.
        excluded_data_centres: Data centres that get no new tasks.
        at: Current time, local clock.
    """
    never = float("-inf")
    ready = work.Presence.READY
    return [
        worker
        for worker in workers
        if worker.listed
        and at >= worker.no_placement_until
        and at >= worker.excluded_until
        and worker.last_report_at > never
        and not worker.logged_unreachable
        and (info := worker.info).service == service
        and info.presence is ready
        and info.data_centre not in excluded_data_centres
    ]


def meets_constraints(
    worker: worker_state.WorkerState, step: work.Step, key: tuple
) -> bool:
    """Returns whether a step's label and per-worker limit allow a worker."""
    if step.label and step.label not in worker.info.labels:
        return False
    if not step.max_per_worker:
        return True
    return worker.runs_by_step[key] < step.max_per_worker


def fits(worker: worker_state.WorkerState, step: work.Step, key: tuple) -> bool:
    """Returns whether one more task of a step fits on a worker."""
    if not meets_constraints(worker, step, key):
        return False
    return worker_state.get_reserved(step).fits_in(
        worker_state.get_available(worker)
    )


def compute_free_millicores(worker: worker_state.WorkerState) -> float:
    """Returns the processors left for best-effort tasks, in thousandths.

    Only LATENCY_CRITICAL_USED_SHARE of what latency-critical tasks reserve
    counts as used.
    """
    used_millicores = (
        worker.reserved.millicores + worker.unknown_run_resources.millicores
    )
    critical_millicores = worker.latency_critical_millicores
    used_millicores -= (1 - LATENCY_CRITICAL_USED_SHARE) * critical_millicores
    return (
        worker.info.capacity.millicores
        - used_millicores
        - worker.best_effort_millicores
    )


def rank_worker(
    worker: worker_state.WorkerState,
    step: work.Step,
    rack: str,
    headroom_use: float,
    used: mechanisms.Mechanisms = mechanisms.ALL,
) -> float:
    """Returns the cost of a worker for one task of a step; lowest is best.

    Load pattern: latency-critical tasks reserve half of the fleet or more.
    Best-effort tasks use the rest; they slow down some images a lot and others
    hardly at all. Latency-critical tasks are packed by image, so that each
    best-effort image finds workers where it slows down no task. Best-effort
    tasks go where they use least headroom and most processors are free.
    Workers without latency-critical tasks are kept for best-effort images that
    slow down every image.

    Args:
        worker: The worker.
        step: The step.
        rack: Rack of the step's other tasks, empty for any.
        headroom_use: Share of the worker's tail-latency headroom that a
            best-effort task would use.
        used: Mechanisms in use.
    """
    capacity = max(1, worker.info.capacity.millicores)
    wanted_rack = step.rack or rack
    other_rack_cost = (
        OTHER_RACK_COST
        if wanted_rack and worker.info.rack != wanted_rack
        else 0.0
    )
    suspect_cost = SUSPECT_COST if worker.suspects else 0.0
    best_effort_share = worker.best_effort_millicores / capacity
    free_share = compute_free_millicores(worker) / capacity
    no_critical_cost = (
        NO_LATENCY_CRITICAL_COST
        if used.keep_workers_free and not worker.latency_critical_millicores
        else 0.0
    )
    if step.best_effort:
        return (
            suspect_cost
            + other_rack_cost
            + no_critical_cost
            + HEADROOM_USE_COST * headroom_use
            - free_share
        )
    if step.target_ms and used.pack_critical:
        same_image_share = (
            worker.latency_critical_by_image[step.image] / capacity
        )
        other_image_share = (
            worker.latency_critical_millicores / capacity - same_image_share
        )
        other_image_gain = (
            OTHER_IMAGE_PACKING_SHARE if used.pack_by_image else 1.0
        )
        packing_gain = same_image_share + other_image_gain * other_image_share
        return (
            suspect_cost
            + other_rack_cost
            + no_critical_cost
            + BEST_EFFORT_COST * best_effort_share
            - packing_gain
        )
    return suspect_cost + other_rack_cost + best_effort_share - free_share


def has_free_processors(
    worker: worker_state.WorkerState, step: work.Step
) -> bool:
    """Returns whether a worker has processors free for a best-effort task.

    With fewer the task would run too slowly. Other tasks reserve processors
    and always pass.
    """
    if not step.best_effort:
        return True
    min_free_millicores = MIN_BEST_EFFORT_SHARE * step.need.millicores
    return compute_free_millicores(worker) >= min_free_millicores


def exclude_failing(
    workers: list[worker_state.WorkerState], failed_on: Collection[str]
) -> list[worker_state.WorkerState]:
    """Returns the workers that may retry a task that failed before.

    Load pattern: a faulty worker fails every task it starts, and a task has
    only a few attempts. So a retry goes to a worker on which the task has not
    failed and no job's runs are failing.
    """
    if not failed_on:
        return workers
    return [
        worker
        for worker in workers
        if worker.info.name not in failed_on and not worker.failing_jobs
    ]


def isolate_suspect(
    workers: list[worker_state.WorkerState],
    step: work.Step,
    key: tuple,
    may_share: bool,
) -> list[list[worker_state.WorkerState]]:
    """Returns the workers for a task that may crash its worker.

    Load pattern: a worker crashes with a dozen tasks, one of which crashes the
    next worker too. On workers of their own the next crash singles it out, and
    does no harm to other tasks.

    Args:
        workers: Workers that accept the task.
        step: The task's step; members of a gang may share a worker.
        key: Its job id, occurrence and step number.
        may_share: Whether it may get a worker that has other suspects.

    Returns:
        Groups of workers, those to try first first.
    """
    by_suspects = collections.defaultdict(list)
    for worker in workers:
        others = sum(
            not step.gang or _get_step_key(name) != key
            for name, _ in worker.suspects
        )
        by_suspects[others].append(worker)
    without_suspects = by_suspects.pop(0, [])
    groups = [without_suspects]
    if not step.until_cancelled:
        idle = [worker for worker in without_suspects if not worker.runs]
        groups.insert(0, idle)
    if may_share:
        groups += [by_suspects[others] for others in sorted(by_suspects)]
    return groups


def _get_step_key(name: work.TaskName) -> tuple[str, int, int]:
    return name.job, name.occurrence, name.step


def choose_worker(
    workers: Iterable[worker_state.WorkerState],
    step: work.Step,
    key: tuple,
    rack: str,
    predict_headroom_use: Callable[[worker_state.WorkerState], float],
    used: mechanisms.Mechanisms = mechanisms.ALL,
) -> worker_state.WorkerState | None:
    """Chooses the worker for one task of a step, None if no worker has room.

    Args:
        workers: Workers that accept tasks.
        step: The step.
        key: Its job id, occurrence and step number.
        rack: Rack of its other tasks, empty for any.
        predict_headroom_use: Predicts which share of a worker's tail-latency
            headroom a best-effort task of the step would use; above 1 is
            too much.
        used: Mechanisms in use.
    """
    fitting = [
        worker
        for worker in workers
        if fits(worker, step, key) and has_free_processors(worker, step)
    ]
    headroom_uses = [
        predict_headroom_use(worker) if step.best_effort else 0.0
        for worker in fitting
    ]
    best_entry = min(
        (
            (
                rank_worker(worker, step, rack, headroom_use, used),
                worker.info.name,
                worker,
            )
            for worker, headroom_use in zip(fitting, headroom_uses, strict=True)
            if headroom_use <= MAX_HEADROOM_USE
        ),
        key=lambda entry: entry[:2],
        default=None,
    )
    return best_entry[2] if best_entry else None
