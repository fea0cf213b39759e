"""Chooses the workers for all tasks of one step. Used within a placement round.

Load pattern: steps of many tasks in a fleet of hundreds of workers. Placing a
task changes the rank of its own worker only, so workers are ranked once per
step and kept in a heap.
"""

import heapq
from collections.abc import Callable

from poplarspindle.fleet import (
    mechanisms,
    work,
    worker_selection,
    worker_state,
)

StepKey = tuple[str, int, int]  # Job id, occurrence and step number.


class WorkerChooser:
    """Chooses workers for the tasks of one step, one task at a time.

    Keeps the workers in a heap, and chooses the same ones as
    `worker_selection.choose_worker` would for each task.

    Args:
        workers: Workers that accept tasks.
        step: The step.
        key: Its job id, occurrence and step number.
        predict_headroom_use: Predicts which share of a worker's tail-latency
            headroom a best-effort task of the step would use; above 1 is
            too much.
        used: Mechanisms in use.
    """

    def __init__(
        self,
        workers: list[worker_state.WorkerState],
        step: work.Step,
        key: StepKey,
        predict_headroom_use: Callable[[worker_state.WorkerState], float],
        used: mechanisms.Mechanisms = mechanisms.ALL,
    ) -> None:
        self._workers = workers
        self._step = step
        self._key = key
        self._predict_headroom_use = predict_headroom_use
        self._used = used
        self._reserved = worker_state.get_reserved(step)
        self._min_free_millicores = (
            worker_selection.MIN_BEST_EFFORT_SHARE * step.need.millicores
        )
        self._rack = ""
        self._heap: list[tuple[float, str, worker_state.WorkerState]] | None = (
            None
        )

    def choose(
        self,
        failed_on: set[str] | None = None,
        is_suspect: bool = False,
        may_share: bool = True,
    ) -> worker_state.WorkerState | None:
        """Chooses the worker for the next task, None if no worker has room.

        Args:
            failed_on: Names of workers on which the task failed before.
            is_suspect: Whether the task may have crashed a worker.
            may_share: Whether a suspect may get a worker that has others.
        """
        if is_suspect:
            return self._choose_for_suspect(may_share)
        if failed_on and self._used.avoid_failed:
            worker = worker_selection.choose_worker(
                worker_selection.exclude_failing(self._workers, failed_on),
                self._step,
                self._key,
                self._rack,
                self._predict_headroom_use,
                self._used,
            )
            if worker is not None:
                return worker
        if self._heap is None:
            entries = (self._rank_worker(worker) for worker in self._workers)
            self._heap = [entry for entry in entries if entry is not None]
            heapq.heapify(self._heap)
        return self._heap[0][2] if self._heap else None

    def _choose_for_suspect(
        self, may_share: bool
    ) -> worker_state.WorkerState | None:
        groups = worker_selection.isolate_suspect(
            self._workers, self._step, self._key, may_share
        )
        found = (
            worker_selection.choose_worker(
                group,
                self._step,
                self._key,
                self._rack,
                self._predict_headroom_use,
                self._used,
            )
            for group in groups
        )
        return next((worker for worker in found if worker is not None), None)

    def update_rank(self, worker: worker_state.WorkerState) -> None:
        """Ranks a worker again after a task was placed on it."""
        if self._step.one_rack and not self._rack:
            self._rack = worker.info.rack
            self._heap = None
        if self._heap is None:
            return
        new_entry = self._rank_worker(worker)
        if self._heap and self._heap[0][2] is worker:
            if new_entry is None:
                heapq.heappop(self._heap)
            else:
                heapq.heapreplace(self._heap, new_entry)
            return
        self._heap = [entry for entry in self._heap if entry[2] is not worker]
        if new_entry is not None:
            self._heap.append(new_entry)
        heapq.heapify(self._heap)

    def _rank_worker(
        self, worker: worker_state.WorkerState
    ) -> tuple[float, str, worker_state.WorkerState] | None:
        """Returns a worker's heap entry, None if it can't take a task."""
        step = self._step
        if (
            step.best_effort
            and worker_selection.compute_free_millicores(worker)
            < self._min_free_millicores
        ):
            return None
        if not self._reserved.fits_in(worker_state.get_available(worker)):
            return None
        if not worker_selection.meets_constraints(worker, step, self._key):
            return None
        headroom_use = (
            self._predict_headroom_use(worker) if step.best_effort else 0.0
        )
        if headroom_use > worker_selection.MAX_HEADROOM_USE:
            return None
        rank = worker_selection.rank_worker(
            worker, step, self._rack, headroom_use, self._used
        )
        return rank, worker.info.name, worker
