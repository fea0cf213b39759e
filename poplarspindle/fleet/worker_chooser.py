"""Chooses the workers for all tasks of one step. Used within a placement round.

Load pattern: steps of many tasks in a fleet of hundreds of workers, of which
few change between two steps. So a worker's cost for a kind of step is kept
until the worker changes, and workers are taken from a heap. What a best-effort
task would harm changes with all that is learned of tail latencies; it only
raises a cost, so it is predicted for the workers at the top of the heap alone.
"""

import heapq
import itertools
from collections.abc import Callable

from poplarspindle.fleet import (
    mechanisms,
    work,
    worker_selection,
    worker_state,
)

MAX_COST_KINDS = 1000
StepKey = tuple[str, int, int]  # Job id, occurrence and step number.
# A cost, the worker's name, the worker, and whether the cost has the harm.
_Entry = tuple[float, str, worker_state.WorkerState, bool]
_UNKNOWN = ()


class CostKinds:
    """Numbers the kinds of steps for which a worker's cost is the same.

    Workers keep their costs by these numbers. No number is used twice.
    """

    def __init__(self) -> None:
        self._numbers: dict[tuple, int] = {}
        self._next = itertools.count()

    def find(self, step: work.Step, rack: str) -> int:
        """Returns the number of a step's kind.

        Args:
            step: The step.
            rack: Rack of its other tasks, empty for any.
        """
        kind = (
            step.need.millicores,
            step.need.memory_mb,
            step.need.accelerators,
            step.best_effort,
            step.label,
            step.rack or rack,
            bool(step.target_ms),
            step.image if step.target_ms else "",
        )
        number = self._numbers.get(kind)
        if number is None:
            if len(self._numbers) >= MAX_COST_KINDS:
                self._numbers.clear()
            number = self._numbers[kind] = next(self._next)
        return number


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
            too much, and no less than 0.
        used: Mechanisms in use.
        cost_kinds: Numbers of the costs that the workers keep; always the same
            one, and with the same mechanisms.
    """

    def __init__(
        self,
        workers: list[worker_state.WorkerState],
        step: work.Step,
        key: StepKey,
        predict_headroom_use: Callable[[worker_state.WorkerState], float],
        used: mechanisms.Mechanisms,
        cost_kinds: CostKinds,
    ) -> None:
        self._workers = workers
        self._step = step
        self._key = key
        self._predict_headroom_use = predict_headroom_use
        self._used = used
        self._cost_kinds = cost_kinds
        self._reserved = worker_state.get_reserved(step)
        self._min_free_millicores = (
            worker_selection.MIN_BEST_EFFORT_SHARE * step.need.millicores
        )
        self._rack = ""
        self._heap: list[_Entry] | None = None

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
            self._heap = self._list_entries(self._workers)
            heapq.heapify(self._heap)
        return self._choose_first(self._heap)

    def _choose_first(
        self, heap: list[_Entry]
    ) -> worker_state.WorkerState | None:
        """Adds the harm to costs at the top, until the lowest one has it."""
        while heap:
            _, name, worker, has_harm = heap[0]
            if has_harm:
                return worker
            headroom_use = self._predict_headroom_use(worker)
            if headroom_use > worker_selection.MAX_HEADROOM_USE:
                heapq.heappop(heap)
                continue
            cost = worker_selection.rank_worker(
                worker, self._step, self._rack, headroom_use, self._used
            )
            heapq.heapreplace(heap, (cost, name, worker, True))
        return None

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

    def leave_out(self, worker: worker_state.WorkerState) -> None:
        """Chooses a worker no more."""
        self._workers = [
            other for other in self._workers if other is not worker
        ]
        if self._heap is not None:
            self._heap = [
                entry for entry in self._heap if entry[2] is not worker
            ]
            heapq.heapify(self._heap)

    def update_rank(self, worker: worker_state.WorkerState) -> None:
        """Ranks a worker again after a task was placed on it."""
        if self._step.one_rack and not self._rack:
            self._rack = worker.info.rack
            self._heap = None
        if self._heap is None:
            return
        new_entries = self._list_entries([worker])
        if self._heap and self._heap[0][2] is worker:
            if new_entries:
                heapq.heapreplace(self._heap, new_entries[0])
            else:
                heapq.heappop(self._heap)
            return
        self._heap = [entry for entry in self._heap if entry[2] is not worker]
        self._heap += new_entries
        heapq.heapify(self._heap)

    def _list_entries(
        self, workers: list[worker_state.WorkerState]
    ) -> list[_Entry]:
        """Lists the entries of those workers that can take a task.

        The costs of best-effort tasks are without their harm.
        """
        kind = self._cost_kinds.find(self._step, self._rack)
        entries = []
        best_effort = self._step.best_effort
        for worker in workers:
            entry = worker.costs.get(kind, _UNKNOWN)
            if entry is _UNKNOWN:
                entry = worker.costs[kind] = self._make_entry(worker)
            if entry is None:
                continue
            entries.append(entry)
            if best_effort and worker.headroom_by_image is None:
                # Keeps the headroom as it is now, however late it is needed.
                self._predict_headroom_use(worker)
        if not self._step.max_per_worker:
            return entries
        return [
            entry
            for entry in entries
            if worker_selection.meets_constraints(
                entry[2], self._step, self._key
            )
        ]

    def _make_entry(self, worker: worker_state.WorkerState) -> _Entry | None:
        """Makes a worker's entry without harm, None if it can't take a task.

        Whether it has too many tasks of the step already is not looked at.
        """
        step = self._step
        if (
            step.best_effort
            and worker_selection.compute_free_millicores(worker)
            < self._min_free_millicores
        ):
            return None
        if not self._reserved.fits_in(worker_state.get_available(worker)):
            return None
        if step.label and step.label not in worker.info.labels:
            return None
        cost = worker_selection.rank_worker(
            worker, step, self._rack, 0.0, self._used
        )
        return cost, worker.info.name, worker, not step.best_effort
