"""Finds best-effort jobs that wait although processors are free.

Load pattern: tail latencies stay near their targets for long, and the harm
predicted for a best-effort image keeps it from every worker. Its jobs would
wait to the end, whatever capacity is free. So while most of a pool is free, one
task of each such job starts where it does least harm; its pace is then planned
like that of any other run, and it uses what the swings of the load leave. In a
busy pool jobs wait for capacity, and such starts would only add harm.
"""

import collections
from collections.abc import Callable

from poplarspindle.fleet import fleet_state, job_store, worker_state

MAX_BUSY_SHARE = 0.5  # Of a pool's processors.
STARVED_AFTER_S = 2.5  # A waiting job that could run counts as lost after 3 s.
_Predictor = Callable[[worker_state.WorkerState], float]


def list_starved(
    fleet: fleet_state.FleetState,
) -> list[tuple[str, int, int]]:
    """Lists ready best-effort steps of jobs of which nothing runs.

    Returns:
        Job id, occurrence and step number of each. The step that has waited
        longest since it was last tried comes first.
    """
    if not fleet.mechanisms.start_starved:
        return []
    tried_at = fleet.starved_tried_at
    for key in tried_at.keys() - fleet.ready.keys():
        del tried_at[key]
    waiting = [
        (tried_at.get(key, since), key)
        for key, since in fleet.unplaceable_since.items()
        if key in fleet.ready and fleet.now - since >= STARVED_AFTER_S
    ]
    if not waiting:
        return []
    idle_pools = list_idle_pools(fleet)
    return [
        key
        for _, key in sorted(waiting)
        if _find_service(fleet, key) in idle_pools and _is_starved(fleet, key)
    ]


def list_idle_pools(fleet: fleet_state.FleetState) -> set[str]:
    """Lists the services of whose processors most are not in use."""
    capacity: collections.Counter = collections.Counter()
    in_use: collections.Counter = collections.Counter()
    for worker in fleet.workers.values():
        if not worker.listed:
            continue
        service = worker.info.service
        capacity[service] += worker.info.capacity.millicores
        in_use[service] += worker.reserved.millicores
        in_use[service] += worker.best_effort_millicores
    return {
        service
        for service in capacity
        if in_use[service] < MAX_BUSY_SHARE * capacity[service]
    }


def _find_service(
    fleet: fleet_state.FleetState, key: tuple[str, int, int]
) -> str:
    return fleet_state.find_queue(fleet, fleet.job_store.jobs[key[0]]).service


def _is_starved(
    fleet: fleet_state.FleetState, key: tuple[str, int, int]
) -> bool:
    job = fleet.job_store.jobs[key[0]]
    step = job.submission.steps[key[2]]
    return (
        step.best_effort
        and not step.gang
        and not any(
            task.phase is job_store.Phase.PLACED
            for tasks in job.occurrences[key[1]]
            for task in tasks
        )
    )


def admit_any_harm(predict_headroom_use: _Predictor) -> _Predictor:
    """Makes a predictor that rules out no worker and keeps their order."""

    def predict(worker: worker_state.WorkerState) -> float:
        headroom_use = predict_headroom_use(worker)
        return headroom_use / (1 + headroom_use)

    return predict
