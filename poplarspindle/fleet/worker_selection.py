"""Which worker a task goes to. Pure functions."""

from collections.abc import Callable, Collection, Iterable

from poplarspindle.fleet import work, worker_state

MIN_BEST_EFFORT_SHARE = 0.75
LATENCY_CRITICAL_USED_SHARE = 0.5  # What serves reserves for its peak.
OTHER_RACK_COST = 0.5
BEST_EFFORT_COST = 0.5
OTHER_IMAGE_PACKING_SHARE = (
    0.5  # Of the worth of packing serving tasks by image.
)
NO_LATENCY_CRITICAL_COST = 1.0  # A worker on which no fill has to be held back.
HEADROOM_USE_COST = 1.2
MAX_HEADROOM_USE = 1.0  # All of what a worker's serving tasks may be pressed.


def is_open(
    worker: worker_state.WorkerState,
    service: str,
    excluded_data_centres: frozenset[str],
    at: float,
) -> bool:
    """Tells whether tasks may be placed on a worker at all."""
    return (
        worker.listed
        and worker.has_reported
        and not worker.logged_unreachable
        and worker.info.service == service
        and worker.info.presence is work.Presence.READY
        and worker.info.data_centre not in excluded_data_centres
        and at >= worker.no_placement_until
    )


def meets_constraints(
    worker: worker_state.WorkerState, step: work.Step, key: tuple
) -> bool:
    """Tells whether a step's label and limit allow a task on a worker."""
    if step.label and step.label not in worker.info.labels:
        return False
    if not step.max_per_worker:
        return True
    return worker.by_step[key] < step.max_per_worker


def fits(worker: worker_state.WorkerState, step: work.Step, key: tuple) -> bool:
    """Tells whether one more task of a step fits on a worker."""
    if not meets_constraints(worker, step, key):
        return False
    return worker_state.get_reserved(step).fits_in(
        worker_state.get_available(worker)
    )


def count_free_millicores(worker: worker_state.WorkerState) -> float:
    """Returns the processors that fills may still use, in thousandths."""
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
) -> float:
    """Prices a worker for one task of a step; the least goes first.

    Load pattern: half of the fleet or more is reserved by tasks that serve,
    the rest is filled by work that disturbs some of them, by image, and
    others hardly at all. What serves is packed by image, so that each fill
    finds workers where it disturbs nobody; fills go where they harm least
    and most processors are left; workers that serve nothing are kept for
    those that harm everywhere.

    Args:
        worker: The worker.
        step: The step.
        rack: Rack of its other tasks, empty for any.
        headroom_use: Part of what its serving tasks may be pressed that a fill
            would take up.
    """
    capacity = max(1, worker.info.capacity.millicores)
    wanted_rack = step.rack or rack
    other_rack_cost = (
        OTHER_RACK_COST
        if wanted_rack and worker.info.rack != wanted_rack
        else 0.0
    )
    best_effort_share = worker.best_effort_millicores / capacity
    free_share = count_free_millicores(worker) / capacity
    if step.best_effort:
        no_critical_cost = (
            NO_LATENCY_CRITICAL_COST
            if not worker.latency_critical_millicores
            else 0.0
        )
        return (
            other_rack_cost
            + no_critical_cost
            + HEADROOM_USE_COST * headroom_use
            - free_share
        )
    if step.target_ms:
        no_critical_cost = (
            NO_LATENCY_CRITICAL_COST
            if not worker.latency_critical_millicores
            else 0.0
        )
        same_image_share = (
            worker.latency_critical_by_image[step.image] / capacity
        )
        other_image_share = (
            worker.latency_critical_millicores / capacity - same_image_share
        )
        packing_gain = (
            same_image_share + OTHER_IMAGE_PACKING_SHARE * other_image_share
        )
        return (
            other_rack_cost
            + no_critical_cost
            + BEST_EFFORT_COST * best_effort_share
            - packing_gain
        )
    return other_rack_cost + best_effort_share - free_share


def has_free_processors(
    worker: worker_state.WorkerState, step: work.Step
) -> bool:
    """Tells whether a fill would work at a fair share of its speed."""
    if not step.best_effort:
        return True
    min_free_millicores = MIN_BEST_EFFORT_SHARE * step.need.millicores
    return count_free_millicores(worker) >= min_free_millicores


def exclude_failing(
    workers: list[worker_state.WorkerState], failed_on: Collection[str]
) -> list[worker_state.WorkerState]:
    """Returns the workers for a task that failed before.

    Load pattern: a worker fails all that it starts, and a task has only a
    few attempts; the next one goes where other work is being done.
    """
    if not failed_on:
        return workers
    return [
        worker
        for worker in workers
        if worker.info.name not in failed_on and not worker.failing_jobs
    ]


def choose_worker(
    workers: Iterable[worker_state.WorkerState],
    step: work.Step,
    key: tuple,
    rack: str,
    predict_headroom_use: Callable[[worker_state.WorkerState], float],
) -> worker_state.WorkerState | None:
    """Chooses the worker for one task of a step, None where none has room.

    Args:
        workers: Workers that are open.
        step: The step.
        key: Its job, time and number.
        rack: Rack of its other tasks, empty for any.
        predict_headroom_use: Predicts which share of a worker's tail-latency
            headroom a best-effort task of the step would use; above 1 is
            too much.
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
                rank_worker(worker, step, rack, headroom_use),
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
