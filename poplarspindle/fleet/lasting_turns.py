"""Gives tasks that last their turn once they have been away for long.

Load pattern: work that ends by itself goes before work that lasts, and arrives
faster than it can run. Whatever room a run leaves is taken at once, so that
what lasts never gets any, although at each moment some worker has room for it.

Whoever handed it in expects it to run as soon as there is room for it. So a
step that has been away for a while goes first within its priority while workers
say that they have room for it. Where they have none, freed room is in pieces
that are too small. Then a few workers are kept free of other work until what
runs there has left enough room: for one step after the other, as some would
need a worker for longer than others should wait. Room that is kept stands empty
beside other lasting work, so what has waited beside room twice over for a
moment has its turn at once and may use it.
"""

from collections.abc import Iterator

from poplarspindle import resources
from poplarspindle.fleet import (
    away_history,
    fleet_state,
    job_failures,
    kept_gangs,
    late_turns,
    room_margin,
    work,
    worker_selection,
    worker_state,
)

REVIEW_INTERVAL_S = 0.5
# Others may wait beside room for three seconds, from six after their last run.
TURN_AFTER_S = 4.0
TURN_AFTER_ROOM_MS = 400  # Beside room twice over.
KEEP_S = 2.0  # Longer than most runs that end by themselves have left.
MAX_KEPT_WORKERS = 2  # Of each service.
StepKey = tuple[str, int, int]  # Job id, occurrence and step number.


def review(fleet: fleet_state.FleetState) -> None:
    """Chooses anew whose turn it is and which workers are kept free."""
    history = fleet.away
    _add_turns_beside_room(fleet)
    if fleet.now - history.turns_reviewed_at < REVIEW_INTERVAL_S:
        return
    history.turns_reviewed_at = fleet.now
    overdue = sorted(_list_overdue(fleet))
    kept_before = fleet.kept_room
    fleet.kept_room = _list_still_kept(fleet, {row[2] for row in overdue})
    pools = {
        service: _Pool(fleet, service)
        for service in {service for _, _, _, service in overdue}
    }
    history.turns = {
        key: since
        for since, _, key, service in overdue
        if is_beside_room(fleet, key) or pools[service].has_room(key)
    }
    late_turns.review(fleet)
    kept_at = history.kept_at = {
        key: history.kept_at[key]
        for _, _, key, _ in overdue
        if key in history.kept_at
    }
    never = float("-inf")
    for _, priority, key, service in sorted(
        overdue, key=lambda row: kept_at.get(row[2], never)
    ):
        priority = late_turns.find_priority(fleet, key, priority)
        pools[service].keep(key, priority)
    for name in kept_before.keys() | fleet.kept_room.keys():
        if kept_before.get(name) != fleet.kept_room.get(name):
            _try_again(fleet, name)


def _add_turns_beside_room(fleet: fleet_state.FleetState) -> None:
    """Gives a turn to steps that wait beside room, between two reviews."""
    turns = fleet.away.turns
    for key, (since, _) in fleet.away.room.overdue.items():
        if (
            key not in turns
            and key in fleet.ready
            and job_failures.is_due(fleet, key)
            and is_beside_room(fleet, key)
        ):
            turns[key] = since
            fleet.ranks.pop(key, None)
            # Room that was kept from it makes no worker change.
            fleet.unplaceable_needs.clear()
            fleet.placement_needed = True


def is_beside_room(fleet: fleet_state.FleetState, key: StepKey) -> bool:
    """Returns whether a step has waited for long beside room twice over."""
    return room_margin.get_room_ms(fleet, key) >= TURN_AFTER_ROOM_MS


def _list_overdue(
    fleet: fleet_state.FleetState,
) -> Iterator[tuple[float, int, StepKey, str]]:
    """Yields lasting steps that wait for long.

    Each with since when, its priority, its key and its service.
    """
    for key in fleet.ready:
        job = fleet.job_store.jobs[key[0]]
        if not job.submission.steps[
            key[2]
        ].until_cancelled or not job_failures.is_due(fleet, key):
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


def _list_still_kept(
    fleet: fleet_state.FleetState, waiting: set[StepKey]
) -> dict[str, away_history.KeptRoom]:
    """Lists the workers that are kept free as before.

    Those that were kept for long enough are given up, and their steps come
    after others from then on.
    """
    still_kept = {}
    incomplete = kept_gangs.find_incomplete(fleet, waiting)
    for name, kept in fleet.kept_room.items():
        if kept.key not in waiting or name not in fleet.workers:
            continue
        if kept.key in incomplete:
            continue
        keep_s = kept_gangs.KEEP_S if kept.members else KEEP_S
        if fleet.now - kept.since < keep_s:
            still_kept[name] = kept
        else:
            fleet.away.kept_at[kept.key] = fleet.now
    return still_kept


def has_turn(fleet: fleet_state.FleetState, service: str) -> bool:
    """Returns whether it is the turn of lasting tasks of a service."""
    jobs = fleet.job_store.jobs
    return any(
        key in fleet.ready
        and fleet_state.find_queue(fleet, jobs[key[0]]).service == service
        for key in fleet.away.turns
    )


def release(fleet: fleet_state.FleetState, name: str, key: StepKey) -> None:
    """Lets other work have the room that was kept for a step's task."""
    kept = fleet.kept_room.get(name)
    if kept is None or kept.key != key:
        return
    names = [name]
    if kept.members:  # A gang is placed whole, also on other workers.
        names = [n for n, other in fleet.kept_room.items() if other.key == key]
    for kept_name in names:
        del fleet.kept_room[kept_name]
        _try_again(fleet, kept_name)


def _try_again(fleet: fleet_state.FleetState, name: str) -> None:
    worker = fleet.workers.get(name)
    if worker is not None:
        worker.may_accept_more = fleet.placement_needed = True


class _Pool:
    """The workers of a service that accept tasks, at one moment.

    Load pattern: thousands of steps wait, and many need the same. What is found
    for one holds for the others.

    Args:
        fleet: State of the fleet's owner.
        service: Name of the service.
    """

    def __init__(self, fleet: fleet_state.FleetState, service: str) -> None:
        self._fleet = fleet
        self._workers = worker_selection.list_accepting(
            fleet.workers.values(),
            service,
            fleet.excluded_data_centres,
            fleet.now,
        )
        self._rooms = list(map(room_margin.find_reported_room, self._workers))
        self._later_rooms: list[resources.Resources] | None = None
        self._found_room: dict[tuple, bool] = {}
        self._without_candidates: set[tuple] = set()
        kept = sum(
            name in fleet.kept_room and not fleet.kept_room[name].members
            for name in (worker.info.name for worker in self._workers)
        )
        self._left = MAX_KEPT_WORKERS - kept
        self._gangs: kept_gangs.Keeper | None = None

    def has_room(self, key: StepKey) -> bool:
        """Returns whether a worker says that it has room for a step's task."""
        step = self._find_step(key)
        kind = _find_kind(step, key)
        found = self._found_room.get(kind)
        if found is None:
            need = worker_state.get_reserved(step)
            found = self._found_room[kind] = any(
                need.fits_in(room)
                and worker_selection.meets_constraints(worker, step, key)
                for worker, room in zip(self._workers, self._rooms, strict=True)
            )
        return found

    def keep(self, key: StepKey, priority: int) -> None:
        """Keeps the room of as many workers as a step has ready tasks.

        That of a gang is kept for all of its tasks or none. None is kept for
        what reserves no processors.
        """
        step = self._find_step(key)
        if step.best_effort:
            return
        if step.gang:
            if self._gangs is None:
                self._gangs = kept_gangs.Keeper(self._fleet, self._workers)
            self._gangs.keep(key, priority)
            return
        kind = _find_kind(step, key)
        if self._left <= 0 or kind in self._without_candidates:
            return
        fleet = self._fleet
        kept = sum(room.key == key for room in fleet.kept_room.values())
        wanted = min(len(fleet.ready[key]) - kept, self._left)
        candidates = sorted(self._list_candidates(step, key))
        if not candidates:
            self._without_candidates.add(kind)
        for _, name in candidates[:wanted]:
            fleet.kept_room[name] = away_history.KeptRoom(
                key, priority, worker_state.get_reserved(step), fleet.now
            )
            self._left -= 1

    def _list_candidates(
        self, step: work.Step, key: StepKey
    ) -> Iterator[tuple[int, str]]:
        """Yields workers to keep, with most room last; negative millicores."""
        if self._later_rooms is None:
            self._later_rooms = list(map(_find_later_room, self._workers))
        need = worker_state.get_reserved(step)
        for worker, room in zip(self._workers, self._later_rooms, strict=True):
            name = worker.info.name
            if (
                name not in self._fleet.kept_room
                and need.fits_in(room)
                and worker_selection.meets_constraints(worker, step, key)
            ):
                available = worker_state.get_available(worker)
                yield -available.millicores, name

    def _find_step(self, key: StepKey) -> work.Step:
        return self._fleet.job_store.jobs[key[0]].submission.steps[key[2]]


def _find_kind(step: work.Step, key: StepKey) -> tuple:
    """Returns what tells steps apart that other workers could take."""
    return (
        worker_state.get_reserved(step),
        step.label,
        key if step.max_per_worker else None,
    )


def _find_later_room(worker: worker_state.WorkerState) -> resources.Resources:
    """Returns a worker's room once all runs that end by themselves are over."""
    room = worker_state.get_available(worker)
    for run in worker.runs.values():
        if not run.step.until_cancelled:
            room += worker_state.get_reserved(run.step)
    return room


def is_kept_from(
    fleet: fleet_state.FleetState,
    worker: worker_state.WorkerState,
    key: StepKey,
    step: work.Step,
) -> bool:
    """Returns whether a task would use room that is kept for another step.

    Args:
        fleet: State of the fleet's owner.
        worker: The worker.
        key: Job id, occurrence and step number of the task.
        step: Its step. More urgent work, of a lower priority number, may use
            the room. So may what lasts and has waited for long beside room
            twice over, which may be all of the room that is kept.
    """
    kept = fleet.kept_room.get(worker.info.name)
    if kept is None or kept.key == key:
        return False
    queue = fleet_state.find_queue(fleet, fleet.job_store.jobs[key[0]])
    priority = late_turns.find_priority(fleet, key, queue.priority)
    if queue.priority < kept.priority or (
        priority <= kept.priority and is_beside_room(fleet, key)
    ):
        return False
    reserved = worker_state.get_reserved(step)
    room = worker_state.get_available(worker)
    return any(
        taken > 0 and free - taken < needed
        for taken, free, needed in (
            (reserved.millicores, room.millicores, kept.need.millicores),
            (reserved.memory_mb, room.memory_mb, kept.need.memory_mb),
            (reserved.accelerators, room.accelerators, kept.need.accelerators),
        )
    )


def is_kept_for(fleet: fleet_state.FleetState, key: StepKey) -> bool:
    """Returns whether a worker is kept free for a step."""
    return any(kept.key == key for kept in fleet.kept_room.values())
