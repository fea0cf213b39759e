"""Finds best-effort jobs that wait although processors are free.

Load pattern: tail latencies stay near their targets for long, and the harm
predicted for a best-effort image keeps it from every worker. Its jobs would
wait to the end, whatever capacity is free. So while most of a pool is not
reserved, one task of each such job starts where it does least harm; its pace is
then planned like that of any other run, and it uses what the swings of the load
leave. In a busy pool jobs wait for capacity, and such starts would only add
harm.

Best-effort runs reserve no processors. What they use keeps no job waiting: it
may go on for as long as their paces are low, and paused runs use nothing. They
share what is left with the task that starts. A worker gets one such task at a
time, and the next one once the last shows in the tail latencies.
"""

import collections
from collections.abc import Callable, Collection, Iterable

from poplarspindle.fleet import (
    fleet_state,
    job_store,
    mechanisms,
    work,
    worker_selection,
    worker_state,
)

MAX_BUSY_SHARE = 0.5  # Of a pool's processors.
STARVED_AFTER_S = 2.5  # A waiting job that could run counts as lost after 3 s.
SETTLED_AFTER_S = 0.5  # Tail latencies are measured over that.
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
    """Lists the services of whose processors most are not reserved."""
    capacity: collections.Counter = collections.Counter()
    in_use: collections.Counter = collections.Counter()
    for worker in fleet.workers.values():
        if not worker.listed:
            continue
        service = worker.info.service
        capacity[service] += worker.info.capacity.millicores
        in_use[service] += worker.reserved.millicores
        in_use[service] += worker.unknown_run_resources.millicores
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


class Chooser:
    """Chooses the worker where one task of a starved step does least harm.

    Args:
        workers: Workers that accept tasks.
        step: The best-effort step.
        key: Its job id, occurrence and step number.
        predict_headroom_use: Predicts which share of a worker's tail-latency
            headroom a task of the step would use; no less than 0.
        used: Mechanisms in use.
        now: Current time, local clock.
    """

    def __init__(
        self,
        workers: list[worker_state.WorkerState],
        step: work.Step,
        key: tuple[str, int, int],
        predict_headroom_use: _Predictor,
        used: mechanisms.Mechanisms,
        now: float,
    ) -> None:
        self._workers = workers
        self._step = step
        self._key = key
        self._predict_harm = admit_any_harm(predict_headroom_use)
        self._used = used
        self._now = now

    def choose(
        self,
        failed_on: Collection[str] | None = None,
        is_suspect: bool = False,
        may_share: bool = True,
    ) -> worker_state.WorkerState | None:
        """Chooses the worker for a task, None if no worker can take it.

        Args:
            failed_on: Names of workers on which the task failed before.
            is_suspect: Whether the task may have crashed a worker.
            may_share: Whether a suspect may get a worker that has others.
        """
        able = [worker for worker in self._workers if self._can_take(worker)]
        if is_suspect:
            groups = worker_selection.isolate_suspect(
                able, self._step, self._key, may_share
            )
        else:
            fresh = worker_selection.exclude_failing(able, failed_on or ())
            groups = [fresh, able]
        return next(
            (self._choose_best(group) for group in groups if group), None
        )

    def leave_out(self, worker: worker_state.WorkerState) -> None:
        """Chooses a worker no more."""
        self._workers = [
            other for other in self._workers if other is not worker
        ]

    def update_rank(self, worker: worker_state.WorkerState) -> None:
        """Records that a starved task was placed on a worker."""
        worker.starved_started_at = self._now

    def _can_take(self, worker: worker_state.WorkerState) -> bool:
        """Returns whether a worker has room beside what reserves it."""
        unreserved_millicores = (
            worker_selection.compute_free_millicores(worker)
            + worker.best_effort_millicores
        )
        return (
            worker_selection.fits(worker, self._step, self._key)
            and unreserved_millicores
            >= worker_selection.MIN_BEST_EFFORT_SHARE
            * self._step.need.millicores
            and self._now - worker.starved_started_at >= SETTLED_AFTER_S
        )

    def _choose_best(
        self, workers: Iterable[worker_state.WorkerState]
    ) -> worker_state.WorkerState:
        return min(
            workers,
            key=lambda worker: (
                worker_selection.rank_worker(
                    worker,
                    self._step,
                    "",
                    self._predict_harm(worker),
                    self._used,
                ),
                worker.info.name,
            ),
        )


def admit_any_harm(predict_headroom_use: _Predictor) -> _Predictor:
    """Makes a predictor that rules out no worker and keeps their order."""

    def predict(worker: worker_state.WorkerState) -> float:
        headroom_use = predict_headroom_use(worker)
        return headroom_use / (1 + headroom_use)

    return predict
