"""Keeps room for all tasks of a gang that lasts, so that they begin together.

Load pattern: small work that ends by itself keeps arriving and takes whatever
room a run leaves. A gang needs room for all of its tasks at one moment, and
never gets it, although the service could hold it beside what lasts.

So workers are kept free of other work for all of its tasks at once, those that
are expected to have the room soonest, until it is placed or has not been for a
while. Only what its tasks reserve is kept, and only for gangs that need a small
share of the service: a wider one would have too much of it idle. A gang that
was kept room in vain comes after others.
"""

import heapq
import itertools
from collections.abc import Collection, Iterator

from poplarspindle import resources
from poplarspindle.fleet import (
    away_history,
    fleet_state,
    work,
    worker_selection,
    worker_state,
)

KEEP_S = 4.0  # All of its workers have to be free; runs take a second or two.
PAUSE_S = 4.0  # From room that was kept in vain to the next.
MAX_SHARE = 0.1  # Of a service, that gangs may be kept together.
MAX_WORKERS = 2  # Kept for one gang whatever share they are.
MAX_TRIES = 4  # Of gangs of a service, between two reviews.
StepKey = away_history.StepKey
# When a worker is expected to have room for one more task, its name, and how
# many tasks it has room for then.
_Place = tuple[float, str, int]


class Keeper:
    """Keeps room of a service for gangs, at one moment.

    Load pattern: thousands of gangs wait, and each would look at all runs of
    all workers. So few are tried at a time.

    Args:
        fleet: State of the fleet's owner.
        workers: Workers of the service that accept tasks.
    """

    def __init__(
        self,
        fleet: fleet_state.FleetState,
        workers: Collection[worker_state.WorkerState],
    ) -> None:
        self._fleet = fleet
        self._workers = workers
        self._tries_left = MAX_TRIES
        self._capacity = self._kept = resources.ZERO
        self._keys = {kept.key for kept in fleet.kept_room.values()}
        for worker in workers:
            self._capacity += worker.info.capacity
            kept = fleet.kept_room.get(worker.info.name)
            if kept is not None and kept.members:
                self._kept += kept.need

    def keep(self, key: StepKey, priority: int) -> None:
        """Keeps room for all tasks of a gang, unless it has some already.

        Args:
            key: Job id, occurrence and step number.
            priority: Work that is more urgent, of a lower number, may use the
                room.
        """
        fleet = self._fleet
        step = fleet.job_store.jobs[key[0]].submission.steps[key[2]]
        kept_at = fleet.away.kept_at.get(key, float("-inf"))
        if (
            key in self._keys
            or len(fleet.ready[key]) < step.tasks
            or self._tries_left <= 0
            or fleet.now - kept_at < PAUSE_S
        ):
            return
        need = worker_state.get_reserved(step)
        wanted = self._kept + _multiply(need, step.tasks)
        is_small = wanted.share_of(self._capacity) <= MAX_SHARE
        if not is_small and self._kept != resources.ZERO:
            return
        self._tries_left -= 1
        candidates = self._list_candidates(step, key)
        if not is_small:
            candidates = _choose_roomiest(candidates)
        members = _choose_places(candidates, step.tasks)
        if not members:
            fleet.away.kept_at[key] = fleet.now  # Others come first.
            return
        self._kept = wanted
        for name, tasks in members.items():
            fleet.kept_room[name] = away_history.KeptRoom(
                key, priority, _multiply(need, tasks), fleet.now, tasks
            )

    def _list_candidates(
        self, step: work.Step, key: StepKey
    ) -> list[list[_Place]]:
        """Lists the places of each worker that can hold some of a gang."""
        return [
            places
            for worker in self._workers
            if worker.info.name not in self._fleet.kept_room
            and worker_selection.meets_constraints(worker, step, key)
            and (places := list(_list_places(self._fleet, worker, step, key)))
        ]


def _choose_roomiest(candidates: list[list[_Place]]) -> list[list[_Place]]:
    """Chooses the few workers that will have room for most tasks, soonest."""
    return heapq.nsmallest(
        MAX_WORKERS, candidates, key=lambda places: (-len(places), places[-1])
    )


def _choose_places(
    candidates: list[list[_Place]], tasks: int
) -> dict[str, int]:
    """Chooses the places that are expected to be there first.

    Returns:
        How many tasks each worker has room for then, by name; empty if there
        are too few.
    """
    chosen = heapq.nsmallest(tasks, itertools.chain.from_iterable(candidates))
    if len(chosen) < tasks:
        return {}
    # A worker's places come in the order of time, so the last has them all.
    return {name: places for _, name, places in chosen}


def _list_places(
    fleet: fleet_state.FleetState,
    worker: worker_state.WorkerState,
    step: work.Step,
    key: StepKey,
) -> Iterator[_Place]:
    """Yields when a worker is expected to have room for each further task."""
    most = step.tasks
    if step.max_per_worker:
        most = min(most, step.max_per_worker - worker.runs_by_step[key])
    need = worker_state.get_reserved(step)
    room = worker_state.get_available(worker)
    ending = sorted(
        (
            (_estimate_left_s(run, fleet.now), number, run)
            for number, run in enumerate(worker.runs.values())
            if not run.step.until_cancelled
        ),
        reverse=True,
    )
    left_s, tasks = 0.0, 0
    while tasks < most:
        while not need.fits_in(room):
            if not ending:
                return
            left_s, _, run = ending.pop()
            room += worker_state.get_reserved(run.step)
        room -= need
        tasks += 1
        yield left_s, worker.info.name, tasks


def _estimate_left_s(run: worker_state.Run, now: float) -> float:
    """Estimates how long a run goes on; one that is late as long as it has."""
    lasted_s = now - run.placed_at
    left_s = run.step.estimate_ms / 1000 - lasted_s
    return left_s if left_s > 0 else lasted_s


def _multiply(need: resources.Resources, tasks: int) -> resources.Resources:
    return resources.Resources(
        need.millicores * tasks,
        need.memory_mb * tasks,
        need.accelerators * tasks,
    )


def find_incomplete(
    fleet: fleet_state.FleetState, waiting: Collection[StepKey]
) -> set[StepKey]:
    """Finds gangs that are kept room for only some of their tasks.

    A worker that was kept for one of them is gone or accepts no tasks.

    Args:
        fleet: State of the fleet's owner.
        waiting: Steps that still wait; others are not looked at.
    """
    jobs = fleet.job_store.jobs
    left: dict[StepKey, int] = {}
    for name, kept in fleet.kept_room.items():
        if not kept.members or kept.key not in waiting:
            continue
        service = fleet_state.find_queue(fleet, jobs[kept.key[0]]).service
        accepts = name in fleet.workers and worker_selection.accepts_tasks(
            fleet.workers[name],
            service,
            fleet.excluded_data_centres,
            fleet.now,
        )
        left.setdefault(kept.key, 0)
        left[kept.key] += kept.members if accepts else 0
    return {
        key
        for key, members in left.items()
        if members < jobs[key[0]].submission.steps[key[2]].tasks
    }
