"""Checks that no task and no worker falls out of the owner's books."""

import typing
from collections.abc import Iterable, Iterator

from poplarspindle import resources
from poplarspindle.fleet import (
    fleet_state,
    job_store,
    work,
    worker_state,
)

if typing.TYPE_CHECKING:
    from poplarspindle.tools.fakes import fleets

LOOK_INTERVAL_S = 0.05  # Room that a run left is taken between two polls.
StepKey = tuple[str, int, int]  # Job id, occurrence and step number.


def list_lost_tasks(fleet: fleet_state.FleetState) -> list[str]:
    """Lists tasks of open jobs that nothing would ever start or end.

    A task is done, or its run is placed on a worker, or it is ready, or a
    prerequisite of its step is not done, or it is not known yet whether it
    crashed its workers.
    """
    found = [
        f"open job without an open occurrence: {name}"
        for name in fleet.open_jobs
        if not fleet.job_store.jobs[name].occurrences
        and not fleet.job_store.jobs[name].submission.occurrence_count
    ]
    for key, tasks, can_start in _list_steps(fleet):
        for index, task in enumerate(tasks):
            name = work.TaskName(*key, index)
            is_ready = index in fleet.ready.get(key, ())
            found += _list_lost_verdicts(fleet, name, task)
            if task.phase is job_store.Phase.QUEUED:
                step = fleet.job_store.jobs[key[0]].submission.steps[key[2]]
                awaits = job_store.awaits_verdict(task, step)
                if is_ready != (can_start and not awaits):
                    found.append(f"queued, ready {is_ready}: {name}")
            elif is_ready:
                found.append(f"ready, {task.phase.name.lower()}: {name}")
            elif task.phase is not job_store.Phase.DONE:
                worker = fleet.workers.get(task.worker_name)
                if worker is None or (name, task.attempt) not in worker.runs:
                    found.append(f"placed without a run: {name}")
    return found


def _list_lost_verdicts(
    fleet: fleet_state.FleetState, name: work.TaskName, task: job_store.Task
) -> list[str]:
    """Lists a task's lost runs of which nothing would ever be known."""
    lost_at = fleet.crash_history.lost_at
    return [
        f"lost run {lost.attempt} without a verdict: {name}"
        for lost in task.lost_runs
        if (name, lost.attempt) not in lost_at.get(lost.worker_name, {})
    ]


def _list_steps(
    fleet: fleet_state.FleetState,
) -> Iterator[tuple[StepKey, list[job_store.Task], bool]]:
    """Yields each open step's key, its tasks and whether it may start."""
    for name in fleet.open_jobs:
        job = fleet.job_store.jobs[name]
        for occurrence, steps in job.occurrences.items():
            for step, tasks in enumerate(steps):
                yield (
                    (name, occurrence, step),
                    tasks,
                    job_store.is_ready(job, steps, step),
                )


def list_idle(world: "fleets.World", looks: int = 1) -> list[str]:
    """Lists workers that get no work, and tasks that wait beside free room.

    The room is that of the workers that are up, listed and reachable, by what
    runs on them, without those excluded because runs of several jobs fail on
    them. Steps with constraints and best-effort steps are left out: they may
    wait beside room.

    Args:
        world: The fleet; time passes between the looks.
        looks: How often to look; what is found at each of them is listed.
    """
    rooms = _list_rooms(world)
    running = _list_running(world)
    startable = _list_startable(world.fleet)
    without_work = _list_workers_without_work(world)
    for _ in range(looks - 1):
        world.run(LOOK_INTERVAL_S)
        now = _list_rooms(world)
        rooms = {
            name: _take_least(rooms[name], now[name])
            for name in rooms.keys() & now.keys()
        }
        running |= _list_running(world)
        startable &= _list_startable(world.fleet)
        without_work &= _list_workers_without_work(world)
    found = [f"gets no work: {name}" for name in sorted(without_work)]
    for key, tasks, _ in _list_steps(world.fleet):
        step = world.submissions[key[0]].steps[key[2]]
        waiting = [
            name
            for index, task in enumerate(tasks)
            if task.phase is not job_store.Phase.DONE
            and (name := work.TaskName(*key, index)) not in running
        ]
        if key in startable and waiting and _can_place(step, rooms.values()):
            found += [f"does not run beside room: {name}" for name in waiting]
    return found


def _list_startable(fleet: fleet_state.FleetState) -> set[StepKey]:
    """Lists the steps of which all prerequisites are done."""
    return {key for key, _, can_start in _list_steps(fleet) if can_start}


def _list_usable(world: "fleets.World") -> list[str]:
    return [
        name
        for name, worker in world.workers.items()
        if worker.up and worker.reachable and name not in world.unlisted
    ]


def _list_workers_without_work(world: "fleets.World") -> set[str]:
    return {
        name
        for name in _list_usable(world)
        if not _gets_work(world.fleet, name)
    }


def _list_rooms(world: "fleets.World") -> dict[str, resources.Resources]:
    return {
        name: world.workers[name].description.capacity
        - _sum_reserved(world, world.workers[name])
        for name in _list_usable(world)
        if not _is_excluded(world.fleet, name)
    }


def _take_least(
    first: resources.Resources, second: resources.Resources
) -> resources.Resources:
    return resources.Resources(
        min(first.millicores, second.millicores),
        min(first.memory_mb, second.memory_mb),
        min(first.accelerators, second.accelerators),
    )


def _list_running(world: "fleets.World") -> set[work.TaskName]:
    return {
        name for worker in world.workers.values() for name, _ in worker.runs
    }


def _can_place(step: work.Step, rooms: Iterable[resources.Resources]) -> bool:
    if step.label or step.max_per_worker or step.best_effort:
        return False
    needed = worker_state.get_reserved(step)
    places = 0
    for room in rooms:
        while needed.fits_in(room):
            room -= needed
            places += 1
    return places >= (step.tasks if step.gang else 1)


def _gets_work(fleet: fleet_state.FleetState, name: str) -> bool:
    worker = fleet.workers.get(name)
    return (
        worker is not None
        and worker.has_reported
        and not worker.logged_unreachable
    )


def _is_excluded(fleet: fleet_state.FleetState, name: str) -> bool:
    worker = fleet.workers.get(name)
    return worker is not None and worker.exclusion_s > 0.0


def _sum_reserved(world: "fleets.World", worker) -> resources.Resources:
    reserved = resources.ZERO
    for name, _ in worker.runs:
        reserved += worker_state.get_reserved(world.find_step(name))
    return reserved
