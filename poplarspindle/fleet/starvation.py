"""Finds best-effort jobs that wait although processors are free.

Load pattern: tail latencies stay near their targets for long, and the harm
predicted for a best-effort image keeps it from every worker. Its jobs would
wait to the end, whatever capacity is free. So one task of each such job starts
where it does least harm; its pace is then planned like that of any other run,
and it uses what the swings of the load leave.
"""

from collections.abc import Callable

from poplarspindle.fleet import fleet_state, job_store, worker_state

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
    return [key for _, key in sorted(waiting) if _is_starved(fleet, key)]


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
