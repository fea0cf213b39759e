"""Takes placements back whose worker may not start them any more.

Between the placement of a task and its start, or the repeat of one without an
answer, a worker's capacity may shrink, and not every worker refuses what is
beyond it. Its data centre may be evacuated, it may be about to shut down, and
its service may no longer run the queue.
"""

from poplarspindle import resources
from poplarspindle.fleet import (
    effects,
    fleet_state,
    job_store,
    late_starts,
    worker_selection,
    worker_state,
)


def send_start(
    fleet: fleet_state.FleetState,
    worker: worker_state.WorkerState,
    run: worker_state.Run,
) -> list[effects.Effect]:
    """Orders a worker to start a run, unless it may not begin it any more.

    A run whose start may have arrived is stopped instead, as repeating the
    start could begin it. A gang is taken back whole. The start of a confirmed
    run is repeated for its answer alone.
    """
    why = _find_hindrance(fleet, worker, run)
    if run.confirmed or not why:
        return fleet_state.send_start(fleet, worker, run)
    return _take_back(fleet, worker, run, why)


def repeat_held_starts(
    fleet: fleet_state.FleetState, worker: worker_state.WorkerState
) -> list[effects.Effect]:
    """Repeats the starts that waited for an answer of their worker."""
    return [
        effect
        for run in list(worker.runs.values())
        if run.unanswered_starts and late_starts.needs_repeat(run)
        for effect in send_start(fleet, worker, run)
    ]


def withdraw_unanswered_starts(
    fleet: fleet_state.FleetState, worker: worker_state.WorkerState
) -> list[effects.Effect]:
    """Takes back what may not have begun and must not begin any more.

    Starts may wait in this node, for their turn or for room in the bound of the
    leases.
    """
    effect_list: list[effects.Effect] = []
    for run in list(worker.runs.values()):
        if not run.start_in_flight or run.confirmed or run.stopping:
            continue
        why = _find_hindrance(fleet, worker, run)
        if why:
            effect_list += _take_back(fleet, worker, run, why)
    return effect_list


def _find_hindrance(
    fleet: fleet_state.FleetState,
    worker: worker_state.WorkerState,
    run: worker_state.Run,
) -> str:
    """Returns why a worker may not begin a run, empty if it may."""
    service = fleet_state.find_queue(fleet, run.job).service
    if worker_selection.is_excluded(
        worker.info, service, fleet.excluded_data_centres
    ):
        return "excluded"
    return "capacity" if is_over_capacity(worker) else ""


def _take_back(
    fleet: fleet_state.FleetState,
    worker: worker_state.WorkerState,
    run: worker_state.Run,
    why: str,
) -> list[effects.Effect]:
    return [
        fleet_state.make_log_note(
            "runs",
            "taken-back",
            run.name.job,
            task=fleet_state.format_task(run.name),
            attempt=run.attempt,
            worker=worker.info.name,
            why=why,
            asked=run.start_sent,
        ),
        *fleet_state.stop_run(fleet, worker, run),
        *stop_other_members(fleet, run),
    ]


def is_over_capacity(worker: worker_state.WorkerState) -> bool:
    """Returns whether a worker's runs exceed its capacity.

    Runs that are being stopped count. The capacity of a worker that was not
    listed yet is unknown.
    """
    available = worker_state.get_available(worker)
    return worker.listed and not resources.ZERO.fits_in(available)


def stop_other_members(
    fleet: fleet_state.FleetState, run: worker_state.Run
) -> list[effects.Effect]:
    """Stops the other members of a run's gang, which runs only as a whole."""
    members = run.job.occurrences.get(run.name.occurrence, [])
    if not run.step.gang or not members:
        return []
    effect_list: list[effects.Effect] = []
    for task in members[run.name.step]:
        worker = fleet.workers.get(task.worker_name)
        if worker is None or task.phase is not job_store.Phase.PLACED:
            continue
        for other_run in list(worker.runs.values()):
            if other_run.task is task and other_run is not run:
                effect_list += fleet_state.stop_run(fleet, worker, other_run)
    return effect_list
