"""Vacates workers: moves latency-critical tasks away to fit best-effort tasks.

Load pattern: after workers failed and returned, or long-lived tasks came and
went, latency-critical tasks are spread thinly over all workers. Best-effort
tasks of an image that slows down most latency-critical images then find no
worker, although every worker has free processors. One worker at a time is
vacated: its latency-critical tasks are stopped one by one and placed again
beside other latency-critical tasks, each only while all other tasks of its step
are running. None is vacated while it is the turn of lasting tasks that wait, as
what is stopped would take their room.
"""

import collections

from poplarspindle import resources
from poplarspindle.fleet import (
    effects,
    fleet_state,
    job_store,
    lasting_turns,
    work,
    worker_selection,
    worker_state,
)

# Capacity without interference usually becomes free sooner than that.
MIN_WAIT_S = 2.0
# Processors that waiting tasks need, as a share of the worker's.
MIN_WAITING_SHARE = 0.5
MAX_TASKS = 8  # Latency-critical tasks moved from one worker.
MAX_VACATE_S = 12.0
STOP_INTERVAL_S = 0.5
CHOOSE_INTERVAL_S = 0.5  # Choosing compares all pairs of workers.
MAX_CANDIDATES = 32  # Workers with the fewest tasks to move.
VACATE_PAUSE_S = 2.0  # Between two vacated workers.
MIN_RUNNING_S = 5.0  # A restarted task counts as unavailable until then.


def review_consolidation(fleet: fleet_state.FleetState) -> list[effects.Effect]:
    """Continues to vacate the current worker, or chooses the next one."""
    if not fleet.mechanisms.vacate_workers:
        return []
    worker = fleet.workers.get(fleet.vacating_worker)
    if worker is None:
        fleet.vacating_worker = ""
        return _start_vacating(fleet)
    if (
        fleet.now >= fleet.vacating_until
        or not worker.latency_critical_millicores
        or lasting_turns.has_turn(fleet, worker.info.service)
    ):
        fleet.vacating_worker = ""
        worker.may_accept_more = True
        fleet.vacated_at = fleet.now
        return [
            fleet_state.make_log_note(
                "placing",
                "freed",
                worker=worker.info.name,
                serving=worker.latency_critical_millicores,
            )
        ]
    if fleet.now - fleet.vacated_at < STOP_INTERVAL_S:
        return []
    return _stop_one_run(fleet, worker)


def _start_vacating(fleet: fleet_state.FleetState) -> list[effects.Effect]:
    """Starts to vacate a worker if best-effort tasks wait for too long."""
    if (
        fleet.now - fleet.vacated_at < VACATE_PAUSE_S
        or fleet.now - fleet.vacate_chosen_at < CHOOSE_INTERVAL_S
    ):
        return []
    fleet.vacate_chosen_at = fleet.now
    waiting_by_service = count_waiting_millicores(fleet)
    for service, waiting_millicores in waiting_by_service.items():
        if lasting_turns.has_turn(fleet, service):
            continue
        workers = [
            worker
            for worker in fleet.workers.values()
            if worker_selection.accepts_tasks(
                worker, service, fleet.excluded_data_centres, fleet.now
            )
        ]
        if any(is_free_for_best_effort(worker) for worker in workers):
            continue
        worker = choose_worker_to_vacate(workers, waiting_millicores)
        if worker is None:
            continue
        fleet.vacating_worker = worker.info.name
        fleet.vacating_until = fleet.now + MAX_VACATE_S
        return [
            fleet_state.make_log_note(
                "placing",
                "freeing",
                worker=worker.info.name,
                serving=worker.latency_critical_millicores,
                waiting=waiting_millicores,
            )
        ]
    return []


def count_waiting_millicores(fleet: fleet_state.FleetState) -> dict[str, int]:
    """Returns processors needed by long-waiting best-effort tasks, by service.

    The unit is thousandths of a processor. Tasks count after MIN_WAIT_S.
    """
    waiting_by_service: collections.Counter = collections.Counter()
    for key, since in list(fleet.unplaceable_since.items()):
        if key not in fleet.ready:
            del fleet.unplaceable_since[key]
            continue
        job = fleet.job_store.jobs[key[0]]
        step = job.submission.steps[key[2]]
        if step.best_effort and fleet.now - since >= MIN_WAIT_S:
            service = fleet_state.find_queue(fleet, job).service
            waiting_by_service[service] += (
                len(fleet.ready[key]) * step.need.millicores
            )
    return dict(waiting_by_service)


def is_free_for_best_effort(worker: worker_state.WorkerState) -> bool:
    """Returns whether a worker is free for any best-effort task.

    It runs no latency-critical task and over a quarter of its processors are
    free.
    """
    capacity = worker.info.capacity.millicores
    return (
        not worker.latency_critical_millicores
        and worker_selection.compute_free_millicores(worker) > capacity / 4
    )


def choose_worker_to_vacate(
    workers: list[worker_state.WorkerState], waiting_millicores: int
) -> worker_state.WorkerState | None:
    """Chooses the worker that is vacated by moving the fewest tasks.

    Args:
        workers: Workers that accept tasks.
        waiting_millicores: Processors that waiting best-effort tasks need, in
            thousandths.

    Returns:
        A worker whose latency-critical tasks all fit on other workers with
        latency-critical tasks, None if there is none.
    """
    candidates = []
    for worker in workers:
        critical_runs = [
            run for run in worker.runs.values() if run.step.target_ms
        ]
        min_waiting_millicores = (
            MIN_WAITING_SHARE * worker.info.capacity.millicores
        )
        if (
            0 < len(critical_runs) <= MAX_TASKS
            and waiting_millicores >= min_waiting_millicores
        ):
            candidates.append(
                (len(critical_runs), worker.info.name, worker, critical_runs)
            )
    candidates.sort(key=lambda entry: entry[:2])
    for _, _, worker, critical_runs in candidates[:MAX_CANDIDATES]:
        others = [
            other
            for other in workers
            if other is not worker and other.latency_critical_millicores
        ]
        if can_place_all(
            others, [(run.step, _step_key(run)) for run in critical_runs]
        ):
            return worker
    return None


def can_place_all(
    workers: list[worker_state.WorkerState],
    tasks: list[tuple[work.Step, tuple]],
) -> bool:
    """Returns whether all tasks fit on workers together, placed largest first.

    Args:
        workers: Workers to place the tasks on.
        tasks: Pairs of the step and its key (job id, occurrence, step number).
    """
    remaining: dict[str, resources.Resources] = {}
    added: collections.Counter = collections.Counter()
    for step, key in sorted(tasks, key=lambda entry: -entry[0].need.millicores):
        for worker in workers:
            worker_name = worker.info.name
            available = remaining.get(
                worker_name, worker_state.get_available(worker)
            )
            step_runs = worker.runs_by_step[key] + added[worker_name, key]
            if (
                not (step.label and step.label not in worker.info.labels)
                and not (
                    step.max_per_worker and step_runs >= step.max_per_worker
                )
                and step.need.fits_in(available)
            ):
                remaining[worker_name] = available - step.need
                added[worker_name, key] += 1
                break
        else:
            return False
    return True


def _step_key(run: worker_state.Run) -> tuple[str, int, int]:
    return run.name.job, run.name.occurrence, run.name.step


def _stop_one_run(
    fleet: fleet_state.FleetState, worker: worker_state.WorkerState
) -> list[effects.Effect]:
    """Stops one latency-critical run if all other tasks of its step run.

    Capacity may have been used since the worker was chosen. A task that fits
    on no other worker with latency-critical tasks is not stopped, as it would
    only return to this one.
    """
    others = [
        other
        for other in fleet.workers.values()
        if other is not worker
        and other.latency_critical_millicores
        and worker_selection.accepts_tasks(
            other, worker.info.service, fleet.excluded_data_centres, fleet.now
        )
    ]
    for run in list(worker.runs.values()):
        if (
            run.step.target_ms
            and not run.stopping
            and can_place_all(others, [(run.step, _step_key(run))])
            and can_stop(fleet, run)
        ):
            fleet.vacated_at = fleet.now
            effect_list: list[effects.Effect] = [
                fleet_state.make_log_note(
                    "placing",
                    "moved",
                    run.name.job,
                    task=fleet_state.format_task(run.name),
                    worker=worker.info.name,
                )
            ]
            return effect_list + fleet_state.stop_run(fleet, worker, run)
    return []


def can_stop(fleet: fleet_state.FleetState, run: worker_state.Run) -> bool:
    """Returns whether all other unfinished tasks of a run's step are running.

    They must have been running for at least MIN_RUNNING_S.
    """
    tasks = run.job.occurrences[run.name.occurrence][run.name.step]
    settled_indexes = {
        other.name.index
        for worker in fleet.workers.values()
        if not worker.poll_failed
        for other in worker.runs.values()
        if _step_key(other) == _step_key(run)
        and other.at_full_speed
        and not other.stopping
        and fleet.now - other.first_seen_at >= MIN_RUNNING_S
    }
    return all(
        index in settled_indexes
        for index, task in enumerate(tasks)
        if task.phase is not job_store.Phase.DONE
    )
