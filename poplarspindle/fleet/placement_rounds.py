"""Rounds of placing: ready tasks onto workers, the most urgent step first.

Load pattern: hundreds of workers, hundreds of starts a second, and at the
worst moment more ready steps than room. All workers are ranked once a step,
not once a task, since placing a task changes the rank of its worker alone. A
kind of step that found no worker is tried again only on workers that changed
since, and once a round, so that steps that wait cost little, however many.
"""

import heapq
from collections.abc import Callable

from poplarspindle import resources
from poplarspindle.fleet import (
    effects,
    fleet_state,
    job_store,
    pacing,
    ranking,
    work,
    worker_selection,
    worker_state,
)

# What a step is worth moves with time; sorting anew each round is too dear.
RANK_S = 0.25
# What is learned elsewhere may open a worker on which nothing changed.
REFUSED_S = 0.5
Key = tuple[str, int, int]
Shape = tuple[str, bool, str, str]


def place_ready(fleet: fleet_state.FleetState) -> list[effects.Effect]:
    """Places ready tasks, the most urgent step first."""
    if (
        fleet.configuration is None
        or not fleet.ready
        or not fleet.placement_needed
    ):
        return []
    fleet.placement_needed = False
    if fleet.at - fleet.unplaceable_reset_at >= REFUSED_S:
        fleet.unplaceable_reset_at = fleet.at
        fleet.unplaceable_needs.clear()
    current = PlacementRound(fleet)
    effect_list: list[effects.Effect] = []
    for key in sort_ready(fleet):
        effect_list += current.place(key)
    current.close()
    return effect_list


def sort_ready(fleet: fleet_state.FleetState) -> list[Key]:
    """Sorts the ready steps by their rank, as of lately."""
    ranks = fleet.ranks
    for key in ranks.keys() - fleet.ready.keys():
        del ranks[key]
    for key in fleet.ready:
        ranked = ranks.get(key)
        if ranked is None or fleet.at - ranked[1] >= RANK_S:
            ranks[key] = (*rank_key(fleet, key), key), fleet.at
    return sorted(fleet.ready, key=lambda key: ranks[key][0])


def rank_key(fleet: fleet_state.FleetState, key: Key) -> tuple:
    """Ranks a ready step."""
    job = fleet.job_store.jobs[key[0]]
    step = job.submission.steps[key[2]]

    def find() -> ranking.Effort:
        effort = fleet.efforts.get(key[:2])
        if effort is None:
            effort = fleet.efforts[key[:2]] = ranking.find_effort(job, key[1])
        return effort

    return ranking.rank_step(
        job, key[1], step, find, fleet.queues, fleet.wall_ms
    )


class PlacementRound:
    """One round.

    Args:
        fleet: State of the owner.
    """

    def __init__(self, fleet: fleet_state.FleetState) -> None:
        self._fleet = fleet
        self._changed = [h for h in fleet.workers.values() if h.changed]
        self._open: dict[tuple[str, bool], list[worker_state.WorkerState]] = {}
        self._tried: set[Shape] = set()
        self._full: dict[Shape, resources.Resources] = {}
        self._weights: dict[str, dict[str, float]] = {}

    def close(self) -> None:
        """Ends the round; kinds of steps that none is of are forgotten."""
        for worker in self._changed:
            worker.changed = False
        for shape in self._fleet.unplaceable_needs.keys() - self._tried:
            del self._fleet.unplaceable_needs[shape]

    def place(self, key: Key) -> list[effects.Effect]:
        """Places as many tasks of one step as find a worker."""
        fleet = self._fleet
        job = fleet.job_store.jobs[key[0]]
        step = job.submission.steps[key[2]]
        service = fleet_state.find_queue(fleet, job).service
        plain = not step.max_per_worker and not step.gang
        shape = (service, step.best_effort, step.label, step.image)
        refused = fleet.unplaceable_needs.get(shape)
        known_unplaceable = (
            plain and refused is not None and refused.fits_in(step.need)
        )
        if plain:
            self._tried.add(shape)
            full = self._full.get(shape)
            if full is not None and full.fits_in(step.need):
                fleet.unplaceable_since.setdefault(key, fleet.at)
                return []
        workers = self._list_open(service, known_unplaceable)
        if step.target_ms and fleet.vacating_worker:
            workers = [
                h for h in workers if h.info.name != fleet.vacating_worker
            ]
        if not workers:
            effect_list: list[effects.Effect] = []
            fleet.unplaceable_since.setdefault(key, fleet.at)
        else:
            weights = self._weights.setdefault(step.image, {})
            choice = Choice(
                workers, step, key, pacing.make_predictor(fleet, step, weights)
            )
            effect_list = place_step(fleet, choice, job, step, key)
        if key in fleet.ready and plain:
            self._full[shape] = step.need
            if not known_unplaceable:
                fleet.unplaceable_needs[shape] = step.need
        return effect_list

    def _list_open(
        self, service: str, changed: bool
    ) -> list[worker_state.WorkerState]:
        """Lists workers that take tasks of a service."""
        fleet = self._fleet
        open_workers = self._open.get((service, changed))
        if open_workers is None:
            workers = self._changed if changed else fleet.workers.values()
            open_workers = self._open[service, changed] = [
                worker
                for worker in workers
                if worker_selection.is_open(
                    worker, service, fleet.excluded_data_centres, fleet.at
                )
            ]
        return open_workers


def place_step(
    fleet: fleet_state.FleetState,
    choice: "Choice",
    job: job_store.Job,
    step: work.Step,
    key: Key,
) -> list[effects.Effect]:
    """Places tasks of one step on workers, a gang whole or not at all."""
    tasks = job.occurrences[key[1]][key[2]]
    indexes = sorted(fleet.ready[key])
    if step.gang and len(indexes) < len(tasks):
        return []
    attempt = max(task.attempt for task in tasks) + 1 if step.gang else 0
    placed: list[tuple[worker_state.WorkerState, worker_state.Run]] = []
    for index in indexes:
        task = tasks[index]
        name = work.TaskName(key[0], key[1], key[2], index)
        worker = choice.choose(fleet.failed_on.get(name))
        if worker is None:
            fleet.unplaceable_since.setdefault(key, fleet.at)
            break
        task.phase = job_store.Phase.PLACED
        task.attempt = attempt or task.attempt + 1
        task.worker_name = worker.info.name
        task.incarnation_ms = worker.incarnation_ms
        run = worker_state.Run(name, job, task, fleet.at, False)
        worker_state.add_run(worker, run)
        choice.update_placed(worker)
        placed.append((worker, run))
    if step.gang and len(placed) < len(tasks):
        for worker, run in placed:
            worker_state.remove_run(worker, run)
            run.task.phase = job_store.Phase.QUEUED
            run.task.worker_name = ""
        return []
    return _record_placed(fleet, job, step, key, placed) if placed else []


def _record_placed(fleet, job, step, key, placed) -> list[effects.Effect]:
    fleet.ready[key] -= {run.name.index for _, run in placed}
    if not fleet.ready[key]:
        del fleet.ready[key]
        fleet.unplaceable_since.pop(key, None)
    extra = {}
    if job.state is job_store.State.QUEUED:
        job.state = job_store.State.ACTIVE
        fleet.changed_jobs[key[0]] = None
        if not job.submission.occurrence_count:
            extra["first_ms"] = fleet.wall_ms - job.submission.accepted_ms
            extra["queue"] = job.submission.queue.name
    for _, run in placed:
        fleet_state.mark_task_changed(fleet, run.name)
    fleet.runs_to_record += [run for _, run in placed]
    return [
        fleet_state.make_note(
            "placing",
            "placed",
            key[0],
            time=key[1],
            step=key[2],
            tasks=[
                (run.name.index, run.attempt, worker.info.name)
                for worker, run in placed
            ],
            left=len(fleet.ready.get(key, ())),
            **extra,
        )
    ]


class Choice:
    """Chooses workers for the tasks of one step, one after the other.

    The choices are those of `placing.choose_worker` for each task.

    Args:
        workers: Workers that are open.
        step: The step.
        key: Its job, time and number.
        find_harm: Predicts how much of what a worker's serving tasks may be
            pressed a fill would take up, more than 1 for too much.
    """

    def __init__(
        self,
        workers: list[worker_state.WorkerState],
        step: work.Step,
        key: Key,
        find_harm: Callable[[worker_state.WorkerState], float],
    ) -> None:
        self._hands = workers
        self._step = step
        self._key = key
        self._find_harm = find_harm
        self._reserved = worker_state.get_reserved(step)
        self._least = (
            worker_selection.MIN_BEST_EFFORT_SHARE * step.need.millicores
        )
        self._rack = ""
        self._heap: list[tuple[float, str, worker_state.WorkerState]] | None = (
            None
        )

    def choose(
        self, failed_on: set[str] | None = None
    ) -> worker_state.WorkerState | None:
        """Chooses the worker for the next task, None where none has room.

        Args:
            failed_on: Workers on which the task failed before.
        """
        if failed_on:
            worker = worker_selection.choose_worker(
                worker_selection.exclude_failing(self._hands, failed_on),
                self._step,
                self._key,
                self._rack,
                self._find_harm,
            )
            if worker is not None:
                return worker
        if self._heap is None:
            ranked = (self._rank(worker) for worker in self._hands)
            self._heap = [row for row in ranked if row is not None]
            heapq.heapify(self._heap)
        return self._heap[0][2] if self._heap else None

    def update_placed(self, worker: worker_state.WorkerState) -> None:
        """Ranks a worker anew that has got a task."""
        if self._step.one_rack and not self._rack:
            self._rack = worker.info.rack
            self._heap = None
        if self._heap is None:
            return
        ranked = self._rank(worker)
        if self._heap and self._heap[0][2] is worker:
            if ranked is None:
                heapq.heappop(self._heap)
            else:
                heapq.heapreplace(self._heap, ranked)
            return
        self._heap = [row for row in self._heap if row[2] is not worker]
        if ranked is not None:
            self._heap.append(ranked)
        heapq.heapify(self._heap)

    def _rank(
        self, worker: worker_state.WorkerState
    ) -> tuple[float, str, worker_state.WorkerState] | None:
        step = self._step
        if (
            step.best_effort
            and worker_selection.count_free_millicores(worker) < self._least
        ):
            return None
        if not self._reserved.fits_in(worker_state.get_available(worker)):
            return None
        if not worker_selection.meets_constraints(worker, step, self._key):
            return None
        harm = self._find_harm(worker) if step.best_effort else 0.0
        if harm > worker_selection.MAX_HARM:
            return None
        rank = worker_selection.rank_worker(worker, step, self._rack, harm)
        return rank, worker.info.name, worker


def count_ready_best_effort(fleet: fleet_state.FleetState) -> int:
    """Counts the ready tasks that use only what others leave."""
    return sum(
        len(indexes)
        for key, indexes in fleet.ready.items()
        if fleet.job_store.jobs[key[0]].submission.steps[key[2]].best_effort
    )
