"""Gives tasks that last their turn once they have been away for long.

Load pattern: work that ends by itself goes before work that lasts, and arrives
faster than it can run. Then what lasts never gets room, and freed room is in
pieces that are too small for it. So a lasting task that has been away for a
while goes first within its priority, and room on a worker is kept free for it
until runs that end by themselves have left enough. Only a share of a pool is
kept so, as other work waits meanwhile.
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
MAX_HELD_SHARE = 0.25  # Of a pool's workers.
StepKey = tuple[str, int, int]  # Job id, occurrence and step number.


def find_overdue_since(
    fleet: fleet_state.FleetState, key: StepKey
) -> float | None:
    """Returns since when a ready lasting step waits, None if not for long."""
    since = fleet.away.since
    if not since:
        return None
    waiting_since = min(
        (
            since.get(work.TaskName(*key, index), fleet.now)
            for index in fleet.ready[key]
        ),
        default=fleet.now,
    )
    if fleet.now - waiting_since < TURN_AFTER_S:
        return None
    return waiting_since


def has_waiting(fleet: fleet_state.FleetState, service: str) -> bool:
    """Returns whether lasting tasks of a service wait for room."""
    return any(
        step_service == service for _, step_service, _ in _list_ready(fleet)
    )


def _list_ready(
    fleet: fleet_state.FleetState,
) -> Iterator[tuple[StepKey, str, int]]:
    """Yields key, service and priority of each ready step that lasts."""
    for key in fleet.ready:
        job = fleet.job_store.jobs[key[0]]
        if job.submission.steps[key[2]].until_cancelled:
            queue = fleet_state.find_queue(fleet, job)
            yield key, queue.service, queue.priority


def hold_room(fleet: fleet_state.FleetState) -> None:
    """Chooses anew the workers whose room is kept for overdue tasks."""
    overdue = sorted(
        (priority, since, key, service)
        for key, service, priority in _list_ready(fleet)
        if (since := find_overdue_since(fleet, key)) is not None
    )
    held_before, fleet.held_room = fleet.held_room, {}
    room_by_service: dict[str, _Pool] = {}
    for priority, _, key, service in overdue:
        pool = room_by_service.get(service)
        if pool is None:
            pool = room_by_service[service] = _Pool(fleet, service, held_before)
        pool.hold(key, priority)
    for name in held_before.keys() - fleet.held_room.keys():
        release(fleet, name)


def release(fleet: fleet_state.FleetState, name: str) -> None:
    """Lets other work have a worker's room again."""
    fleet.held_room.pop(name, None)
    worker = fleet.workers.get(name)
    if worker is not None:
        worker.may_accept_more = fleet.placement_needed = True


class _Pool:
    """The workers of a service, those with most room first.

    Args:
        fleet: State of the fleet's owner.
        service: Name of the service.
        held_before: Workers that were held until now; they are kept, as their
            room has grown since.
    """

    def __init__(
        self,
        fleet: fleet_state.FleetState,
        service: str,
        held_before: dict[str, away_history.HeldRoom],
    ) -> None:
        self._fleet = fleet
        workers = worker_selection.list_accepting(
            fleet.workers.values(),
            service,
            fleet.excluded_data_centres,
            fleet.now,
        )
        workers.sort(
            key=lambda worker: (
                worker.info.name not in held_before,
                -worker_state.get_available(worker).millicores,
                worker.info.name,
            )
        )
        self._left = max(1, int(len(workers) * MAX_HELD_SHARE))
        self._rooms = [(worker, _find_later_room(worker)) for worker in workers]

    def hold(self, key: StepKey, priority: int) -> None:
        """Holds the room of as many workers as a step has ready tasks."""
        fleet = self._fleet
        step = fleet.job_store.jobs[key[0]].submission.steps[key[2]]
        wanted = min(len(fleet.ready[key]), self._left)
        need = worker_state.get_reserved(step)
        for worker, room in self._rooms:
            if not wanted:
                return
            name = worker.info.name
            if (
                name not in fleet.held_room
                and need.fits_in(room)
                and worker_selection.meets_constraints(worker, step, key)
            ):
                fleet.held_room[name] = away_history.HeldRoom(priority, need)
                wanted -= 1
                self._left -= 1


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
    step: work.Step,
    priority: int,
) -> list[worker_state.WorkerState]:
    """Returns the workers whose room is not kept for others than a step.

    Args:
        fleet: State of the fleet's owner.
        workers: Workers that accept tasks of the step.
        step: A step that is not overdue itself.
        priority: Priority of its queue.
    """
    reserved = worker_state.get_reserved(step)
    return [
        worker
        for worker in workers
        if (held := fleet.held_room.get(worker.info.name)) is None
        or priority < held.priority
        or not _takes_from(worker, reserved, held.need)
    ]


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
