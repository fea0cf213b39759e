"""Gives tasks that last their turn once they have been away for long.

Load pattern: work that ends by itself goes before work that lasts, and arrives
faster than it can run. Whatever room a run leaves is taken at once, so that
what lasts never gets any, although at each moment some worker has room for it.

Whoever handed it in expects it to run as soon as there is room for it. So a
step that has been away for a while goes first within its priority while workers
say that they have room for it. Where they have none, freed room is in pieces
that are too small. Then a few workers are kept free of other work, for the step
that has been away longest, until what runs there has left enough room.
"""

from collections.abc import Iterator

from poplarspindle import resources
from poplarspindle.fleet import (
    away_history,
    fleet_state,
    work,
    worker_selection,
    worker_state,
)

TURN_AFTER_S = 4.0
MAX_HELD_WORKERS = 2  # Of each service.
StepKey = tuple[str, int, int]  # Job id, occurrence and step number.


def review(fleet: fleet_state.FleetState) -> None:
    """Chooses anew whose turn it is and which workers are kept free."""
    overdue = sorted(_list_overdue(fleet))
    pools: dict[str, _Pool] = {}
    fleet.away.turns = {}
    held_before, fleet.held_room = fleet.held_room, {}
    for since, priority, key, service in overdue:
        pool = pools.get(service)
        if pool is None:
            pool = pools[service] = _Pool(fleet, service, held_before)
        if pool.has_room(key):
            fleet.away.turns[key] = since
        pool.hold(key, priority)
    for name in held_before.keys() | fleet.held_room.keys():
        if held_before.get(name) != fleet.held_room.get(name):
            _try_again(fleet, name)


def _list_overdue(
    fleet: fleet_state.FleetState,
) -> Iterator[tuple[float, int, StepKey, str]]:
    """Yields lasting steps that wait for long.

    Each with since when, its priority, its key and its service.
    """
    for key in fleet.ready:
        job = fleet.job_store.jobs[key[0]]
        if not job.submission.steps[key[2]].until_cancelled:
            continue
        since = _find_since(fleet, key)
        if fleet.now - since >= TURN_AFTER_S:
            queue = fleet_state.find_queue(fleet, job)
            yield since, queue.priority, key, queue.service


def _find_since(fleet: fleet_state.FleetState, key: StepKey) -> float:
    """Returns since when the first of a step's ready tasks is away."""
    since = fleet.away.since
    return min(
        since.get(work.TaskName(*key, index), fleet.now)
        for index in fleet.ready[key]
    )


def has_waiting(fleet: fleet_state.FleetState, service: str) -> bool:
    """Returns whether lasting tasks wait for room on workers of a service.

    Tasks that no worker could ever take do not count.
    """
    workers = [
        worker
        for worker in fleet.workers.values()
        if worker.listed and worker.info.service == service
    ]
    return any(
        worker_state.get_reserved(step).fits_in(worker.info.capacity)
        and worker_selection.meets_constraints(worker, step, key)
        for key, step in _list_lasting(fleet, service)
        for worker in workers
    )


def _list_lasting(
    fleet: fleet_state.FleetState, service: str
) -> Iterator[tuple[StepKey, work.Step]]:
    """Yields the ready steps of a service that last."""
    for key in fleet.ready:
        job = fleet.job_store.jobs[key[0]]
        step = job.submission.steps[key[2]]
        if (
            step.until_cancelled
            and fleet_state.find_queue(fleet, job).service == service
        ):
            yield key, step


def release(fleet: fleet_state.FleetState, name: str, key: StepKey) -> None:
    """Lets other work have the room that was kept for a step's task."""
    held = fleet.held_room.get(name)
    if held is not None and held.key == key:
        del fleet.held_room[name]
        _try_again(fleet, name)


def _try_again(fleet: fleet_state.FleetState, name: str) -> None:
    worker = fleet.workers.get(name)
    if worker is not None:
        worker.may_accept_more = fleet.placement_needed = True


class _Pool:
    """The workers of a service that accept tasks.

    Args:
        fleet: State of the fleet's owner.
        service: Name of the service.
        held_before: Room that was kept until now; the same workers are taken
            again, as their room has grown since.
    """

    def __init__(
        self,
        fleet: fleet_state.FleetState,
        service: str,
        held_before: dict[str, away_history.HeldRoom],
    ) -> None:
        self._fleet = fleet
        self._held_before = held_before
        self._workers = worker_selection.list_accepting(
            fleet.workers.values(),
            service,
            fleet.excluded_data_centres,
            fleet.now,
        )
        self._rooms = [
            (worker, find_reported_room(worker)) for worker in self._workers
        ]
        self._left = MAX_HELD_WORKERS

    def has_room(self, key: StepKey) -> bool:
        """Returns whether a worker says that it has room for a step's task."""
        step = self._find_step(key)
        need = worker_state.get_reserved(step)
        return any(
            need.fits_in(room)
            and worker_selection.meets_constraints(worker, step, key)
            for worker, room in self._rooms
        )

    def hold(self, key: StepKey, priority: int) -> None:
        """Keeps the room of as many workers as a step has ready tasks."""
        wanted = min(len(self._fleet.ready[key]), self._left)
        if not wanted:
            return
        step = self._find_step(key)
        need = worker_state.get_reserved(step)
        candidates = sorted(
            (
                worker.info.name not in self._held_before,
                -worker_state.get_available(worker).millicores,
                worker.info.name,
            )
            for worker in self._workers
            if worker.info.name not in self._fleet.held_room
            and worker_selection.meets_constraints(worker, step, key)
            and need.fits_in(_find_later_room(worker))
        )
        for _, _, name in candidates[:wanted]:
            held = away_history.HeldRoom(key, priority, need)
            self._fleet.held_room[name] = held
            self._left -= 1

    def _find_step(self, key: StepKey) -> work.Step:
        return self._fleet.job_store.jobs[key[0]].submission.steps[key[2]]


def find_reported_room(
    worker: worker_state.WorkerState,
) -> resources.Resources:
    """Returns a worker's room beside what it says that it runs.

    Tasks that are placed there and not yet begun do not count.
    """
    room = worker_state.get_available(worker)
    for run in worker.runs.values():
        if not run.confirmed:
            room += worker_state.get_reserved(run.step)
    return room


def count_places(
    room: resources.Resources, need: resources.Resources, most: int
) -> int:
    """Counts how often a need fits in some room, up to a number."""
    places = 0
    while places < most and need.fits_in(room):
        room -= need
        places += 1
    return places


def _find_later_room(worker: worker_state.WorkerState) -> resources.Resources:
    """Returns a worker's room once all runs that end by themselves are over."""
    room = worker_state.get_available(worker)
    for run in worker.runs.values():
        if not run.step.until_cancelled:
            room += worker_state.get_reserved(run.step)
    return room


def leave_out_held(
    fleet: fleet_state.FleetState,
    workers: list[worker_state.WorkerState],
    key: StepKey,
    step: work.Step,
    priority: int,
) -> list[worker_state.WorkerState]:
    """Returns the workers whose room is not kept for others than a step.

    Args:
        fleet: State of the fleet's owner.
        workers: Workers that accept tasks of the step.
        key: Its job id, occurrence and step number.
        step: The step.
        priority: Priority of its queue; more urgent work may use the room.
    """
    reserved = worker_state.get_reserved(step)
    return [
        worker
        for worker in workers
        if (held := fleet.held_room.get(worker.info.name)) is None
        or held.key == key
        or priority < held.priority
        or not _takes_from(worker, reserved, held.need)
    ]


def is_held_for(fleet: fleet_state.FleetState, key: StepKey) -> bool:
    """Returns whether a worker is kept free for a step."""
    return any(held.key == key for held in fleet.held_room.values())


def _takes_from(
    worker: worker_state.WorkerState,
    reserved: resources.Resources,
    held: resources.Resources,
) -> bool:
    """Returns whether a task would use what is kept free on a worker."""
    room = worker_state.get_available(worker)
    return any(
        taken > 0 and free - taken < kept
        for taken, free, kept in (
            (reserved.millicores, room.millicores, held.millicores),
            (reserved.memory_mb, room.memory_mb, held.memory_mb),
            (reserved.accelerators, room.accelerators, held.accelerators),
        )
    )
