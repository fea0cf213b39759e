"""Frees a worker of what serves, for fills that press on all of it.

Load pattern: workers were lost and came back, or tasks that last came and
went, and what serves is spread thinly over all workers. Fills of an image
that presses on most serving images then find no worker, though processors
are free everywhere. One worker at a time is freed: its serving tasks are
stopped one by one and go on beside others of their kind, each only while all
other tasks of its step are at work.
"""

import collections

from poplarspindle import resources
from poplarspindle.fleet import (
    effects,
    fleet_state,
    job_store,
    work,
    worker_selection,
    worker_state,
)

STUCK_S = 2.0  # Room where a fill disturbs nobody comes sooner by itself.
STUCK_SHARE = 0.5  # Of the worker's processors that has to be waited for.
TASKS_MOST = 8
FREEING_S = 12.0
STOP_EVERY_S = 0.5
CHOOSE_S = 0.5  # All workers are compared with all others.
TRIED_MOST = 32  # Of those with the fewest tasks; one is enough.
REST_S = 2.0  # After a worker was freed, before the next one.
SETTLED_S = 5.0  # A task counts as away for some time after it came back.


def review(fleet: fleet_state.FleetState) -> list[effects.Effect]:
    """Frees a worker, or goes on with the one that is being freed."""
    worker = fleet.workers.get(fleet.vacating_worker)
    if worker is None:
        fleet.vacating_worker = ""
        return _choose(fleet)
    if (
        fleet.at >= fleet.vacating_until
        or not worker.latency_critical_millicores
    ):
        fleet.vacating_worker = ""
        worker.changed = True
        fleet.vacated_at = fleet.at
        return [
            fleet_state.make_note(
                "placing",
                "freed",
                worker=worker.info.name,
                serving=worker.latency_critical_millicores,
            )
        ]
    if fleet.at - fleet.vacated_at < STOP_EVERY_S:
        return []
    return _stop_one(fleet, worker)


def _choose(fleet: fleet_state.FleetState) -> list[effects.Effect]:
    if (
        fleet.at - fleet.vacated_at < REST_S
        or fleet.at - fleet.vacate_chosen_at < CHOOSE_S
    ):
        return []
    fleet.vacate_chosen_at = fleet.at
    waiting = count_stuck(fleet)
    for service, millicores in waiting.items():
        workers = [
            worker
            for worker in fleet.workers.values()
            if worker_selection.is_open(
                worker, service, fleet.excluded_data_centres, fleet.at
            )
        ]
        if any(is_quiet(worker) for worker in workers):
            continue
        worker = choose_worker(workers, millicores)
        if worker is None:
            continue
        fleet.vacating_worker = worker.info.name
        fleet.vacating_until = fleet.at + FREEING_S
        return [
            fleet_state.make_note(
                "placing",
                "freeing",
                worker=worker.info.name,
                serving=worker.latency_critical_millicores,
                waiting=millicores,
            )
        ]
    return []


def count_stuck(fleet: fleet_state.FleetState) -> dict[str, int]:
    """Returns the processors that fills wait for too long, by service."""
    waiting: collections.Counter = collections.Counter()
    for key, since in list(fleet.unplaceable_since.items()):
        if key not in fleet.ready:
            del fleet.unplaceable_since[key]
            continue
        job = fleet.job_store.jobs[key[0]]
        step = job.submission.steps[key[2]]
        if step.best_effort and fleet.at - since >= STUCK_S:
            service = fleet_state.find_queue(fleet, job).service
            waiting[service] += len(fleet.ready[key]) * step.need.millicores
    return dict(waiting)


def is_quiet(worker: worker_state.WorkerState) -> bool:
    """Tells whether a worker that serves nothing has room for fills."""
    capacity = worker.info.capacity.millicores
    return (
        not worker.latency_critical_millicores
        and worker_selection.count_free_millicores(worker) > capacity / 4
    )


def choose_worker(
    workers: list[worker_state.WorkerState], waiting: int
) -> worker_state.WorkerState | None:
    """Chooses the worker that is freed by moving the fewest tasks.

    Args:
        workers: Workers that take work.
        waiting: Processors that fills wait for, in thousandths.

    Returns:
        A worker whose serving tasks all have room beside others that serve,
        None if there is none.
    """
    candidates = []
    for worker in workers:
        serving = [run for run in worker.runs.values() if run.step.target_ms]
        wanted = STUCK_SHARE * worker.info.capacity.millicores
        if 0 < len(serving) <= TASKS_MOST and waiting >= wanted:
            candidates.append((len(serving), worker.info.name, worker, serving))
    candidates.sort(key=lambda row: row[:2])
    for _, _, worker, serving in candidates[:TRIED_MOST]:
        others = [
            o
            for o in workers
            if o is not worker and o.latency_critical_millicores
        ]
        if has_room(others, [(run.step, _step_key(run)) for run in serving]):
            return worker
    return None


def has_room(
    workers: list[worker_state.WorkerState],
    tasks: list[tuple[work.Step, tuple]],
) -> bool:
    """Tells whether tasks have room on workers, the largest first."""
    room: dict[str, resources.Resources] = {}
    count: collections.Counter = collections.Counter()
    for step, key in sorted(tasks, key=lambda row: -row[0].need.millicores):
        for worker in workers:
            name = worker.info.name
            left = room.get(name, worker_state.get_available(worker))
            held = worker.by_step[key] + count[name, key]
            if (
                not (step.label and step.label not in worker.info.labels)
                and not (step.max_per_worker and held >= step.max_per_worker)
                and step.need.fits_in(left)
            ):
                room[name] = left - step.need
                count[name, key] += 1
                break
        else:
            return False
    return True


def _step_key(run: worker_state.Run) -> tuple[str, int, int]:
    return run.name.job, run.name.occurrence, run.name.step


def _stop_one(
    fleet: fleet_state.FleetState, worker: worker_state.WorkerState
) -> list[effects.Effect]:
    """Stops one serving task all others of whose step are at work.

    Room may have gone since the worker was chosen: a task without room
    beside others that serve would only come back.
    """
    others = [
        other
        for other in fleet.workers.values()
        if other is not worker
        and other.latency_critical_millicores
        and worker_selection.is_open(
            other, worker.info.service, fleet.excluded_data_centres, fleet.at
        )
    ]
    for run in list(worker.runs.values()):
        if (
            run.step.target_ms
            and not run.stopping
            and has_room(others, [(run.step, _step_key(run))])
            and is_spared(fleet, run)
        ):
            fleet.vacated_at = fleet.at
            effect_list: list[effects.Effect] = [
                fleet_state.make_note(
                    "placing",
                    "moved",
                    run.name.job,
                    task=fleet_state.format_task(run.name),
                    worker=worker.info.name,
                )
            ]
            return effect_list + fleet_state.stop_run(fleet, worker, run)
    return []


def is_spared(fleet: fleet_state.FleetState, run: worker_state.Run) -> bool:
    """Tells whether a task may be away: all others of its step are not."""
    members = run.job.occurrences[run.name.occurrence][run.name.step]
    at_work = {
        other.name.index
        for worker in fleet.workers.values()
        if not worker.poll_failed
        for other in worker.runs.values()
        if _step_key(other) == _step_key(run)
        and other.at_work
        and not other.stopping
        and fleet.at - other.first_seen_at >= SETTLED_S
    }
    return all(
        index in at_work
        for index, task in enumerate(members)
        if task.phase is not job_store.Phase.DONE
    )
