"""Places the tasks of one step, and queues the placements for the log."""

from poplarspindle.fleet import (
    effects,
    exclusions,
    fleet_state,
    job_failures,
    job_store,
    lasting_turns,
    starvation,
    usage,
    work,
    worker_chooser,
    worker_state,
)

SUSPECT_WAIT_S = 1.0  # For a worker without other suspects.


def count_start_room(fleet: fleet_state.FleetState) -> float:
    """Counts the tasks that may be placed now, so that starts do not pile up.

    Load pattern: tasks are placed faster than the owner sends orders. Starts
    that wait in line outlive their leases and keep the resources of others.
    """
    unrecorded = len(fleet.runs_to_record) + sum(
        len(runs) for _, runs, _ in fleet.appends_in_flight.values()
    )
    return fleet.order_room - unrecorded


def place_step(
    fleet: fleet_state.FleetState,
    chooser: worker_chooser.WorkerChooser | starvation.Chooser,
    job: job_store.Job,
    step: work.Step,
    key: worker_chooser.StepKey,
    max_tasks: int | None = None,
) -> list[effects.Effect]:
    """Places tasks of one step on workers; a gang is placed whole or not.

    Args:
        fleet: State of the fleet's owner.
        chooser: Chooses the worker of each task.
        job: The job.
        step: The step.
        key: Its job id, occurrence and step number.
        max_tasks: How many tasks to place at most, None for all.
    """
    tasks = job.occurrences[key[1]][key[2]]
    if max_tasks is None or step.gang:
        indexes = sorted(fleet.ready[key])
    else:
        indexes = job_store.list_least_tried(tasks, fleet.ready[key], max_tasks)
    if step.gang and len(indexes) < len(tasks):
        return []
    if not step.gang:
        start_room = max(0, count_start_room(fleet))
        indexes = indexes[: int(min(len(indexes), start_room))]
    attempt = max(task.attempt for task in tasks) + 1 if step.gang else 0
    placements: list[tuple[worker_state.WorkerState, worker_state.Run]] = []
    expected_millicores = usage.expect_millicores(fleet.usage_model, step)
    waited_s = fleet.now - fleet.unplaceable_since.get(key, fleet.now)
    for index in indexes:
        task = tasks[index]
        name = work.TaskName(key[0], key[1], key[2], index)
        worker = _choose_worker(
            fleet, chooser, name, task, step, waited_s >= SUSPECT_WAIT_S
        )
        if worker is None:
            fleet.unplaceable_since.setdefault(key, fleet.now)
            if task.is_suspect and not step.gang:
                continue  # Others need no worker without suspects.
            break
        task.phase = job_store.Phase.PLACED
        task.attempt = attempt or task.attempt + 1
        task.worker_name = worker.info.name
        task.incarnation_ms = worker.incarnation_ms
        run = worker_state.Run(name, job, task, fleet.now, False)
        if fleet.mechanisms.measured_use:
            run.expected_millicores = expected_millicores
        worker_state.add_run(worker, run)
        chooser.update_rank(worker)
        if not step.gang and exclusions.is_trial_due(worker, fleet.now):
            chooser.leave_out(worker)
        placements.append((worker, run))
    if step.gang and len(placements) < len(tasks):
        for worker, run in placements:
            worker_state.remove_run(worker, run)
            run.task.phase = job_store.Phase.QUEUED
            run.task.worker_name = ""
        return []
    return (
        _record_placements(fleet, job, step, key, placements)
        if placements
        else []
    )


def _choose_worker(
    fleet: fleet_state.FleetState,
    chooser: worker_chooser.WorkerChooser | starvation.Chooser,
    name: work.TaskName,
    task: job_store.Task,
    step: work.Step,
    may_share: bool,
) -> worker_state.WorkerState | None:
    """Chooses a worker whose room is not kept for other tasks."""
    key = name.job, name.occurrence, name.step
    failed_on = fleet.failing.failed_on.get(name)
    while True:
        worker = chooser.choose(failed_on, task.is_suspect, may_share)
        if worker is None or not lasting_turns.is_kept_from(
            fleet, worker, key, step
        ):
            return worker
        chooser.leave_out(worker)


def _record_placements(
    fleet, job, step, key, placements
) -> list[effects.Effect]:
    """Updates the job after placements and queues them for the log.

    Args:
        fleet: State of the fleet's owner.
        job: The job.
        step: The step.
        key: Its job id, occurrence and step number.
        placements: Pairs of worker and run.
    """
    fleet.ready[key] -= {run.name.index for _, run in placements}
    if not fleet.ready[key]:
        del fleet.ready[key]
        fleet.unplaceable_since.pop(key, None)
    job_failures.record_try(fleet, key)
    first_start_fields = {}
    if job.state is job_store.State.QUEUED:
        job.state = job_store.State.ACTIVE
        fleet.changed_jobs[key[0]] = None
        if not job.submission.occurrence_count:
            first_start_fields["first_ms"] = (
                fleet.wall_ms - job.submission.accepted_ms
            )
            first_start_fields["queue"] = job.submission.queue.name
    trial_notes: list[effects.Effect] = []
    for worker, run in placements:
        fleet_state.mark_task_changed(fleet, run.name)
        lasting_turns.release(fleet, worker.info.name, key)
        trial_notes += exclusions.record_placed(fleet, worker, run)
    fleet.runs_to_record += [run for _, run in placements]
    return [
        *trial_notes,
        fleet_state.make_log_note(
            "placing",
            "placed",
            key[0],
            time=key[1],
            step=key[2],
            tasks=[
                (run.name.index, run.attempt, worker.info.name)
                for worker, run in placements
            ],
            left=len(fleet.ready.get(key, ())),
            **first_start_fields,
        ),
    ]
