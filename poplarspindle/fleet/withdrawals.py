"""Takes placements back whose worker has too little room when they start.

A worker's capacity may shrink between the placement of a task and its start,
and not every worker refuses what exceeds its capacity.
"""

from poplarspindle import resources
from poplarspindle.fleet import (
    effects,
    fleet_state,
    job_store,
    worker_state,
)


def send_start(
    fleet: fleet_state.FleetState,
    worker: worker_state.WorkerState,
    run: worker_state.Run,
) -> list[effects.Effect]:
    """Orders a worker to start a run, unless that exceeds its capacity.

    A run whose start may have arrived is stopped instead, as repeating the
    start could begin it. A gang is taken back whole.
    """
    if run.confirmed or not is_over_capacity(worker):
        return fleet_state.send_start(fleet, worker, run)
    return _take_back(fleet, worker, run)


def withdraw_unanswered_starts(
    fleet: fleet_state.FleetState, worker: worker_state.WorkerState
) -> list[effects.Effect]:
    """Takes back what may not have begun on a worker that has shrunk.

    Starts may wait in this node, for their turn or for room in the bound of the
    leases.
    """
    if not is_over_capacity(worker):
        return []
    return [
        effect
        for run in list(worker.runs.values())
        if run.start_in_flight and not run.confirmed and not run.stopping
        for effect in _take_back(fleet, worker, run)
    ]


def _take_back(
    fleet: fleet_state.FleetState,
    worker: worker_state.WorkerState,
    run: worker_state.Run,
) -> list[effects.Effect]:
    return [
        fleet_state.make_log_note(
            "runs",
            "taken-back",
            run.name.job,
            task=fleet_state.format_task(run.name),
            attempt=run.attempt,
            worker=worker.info.name,
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
