"""Rebuilds a new owner's state from the log alone."""

from collections.abc import Iterable

from poplarspindle import resources
from poplarspindle.fleet import (
    crashes,
    events,
    fleet_state,
    job_states,
    job_store,
    late_starts,
    lease_bounds,
    leases,
    records,
    unreachable,
    work,
    worker_state,
)


def take_over(fleet: fleet_state.FleetState, event: events.Claimed) -> list:
    """Begins an ownership with the state that the log holds.

    Placed tasks count as running on their workers; all others become ready.
    A worker's leases count as held until the longest lease that an earlier
    owner can have granted is over, and any start that it can have sent as one
    without an answer, or as the log says of a worker recorded as unreachable.
    """
    fleet.epoch = event.epoch
    fleet.logged_unreachable_workers = set(event.unreachable_workers)
    fleet.unreachable_changed = bool(event.unreachable_workers)
    latest_lease_end_at = event.at + lease_bounds.find_next_wait_s(
        fleet.lease_most_ms
    )
    latest_late_run_end_at = (
        event.at + leases.TAKEOVER_GRANT_S + late_starts.MAX_LATE_RUN_S
    )
    fleet.intake_offsets = list(event.intake_offsets)
    for name, job in fleet.job_store.jobs.items():
        published = event.published_jobs.get(name)
        job_states.restore(job, published)
        if published is None or published.state is not job.published_state:
            fleet.unpublished[name] = (
                None  # The last owner may not have published it.
            )
        if job.state in job_store.ENDED:
            fleet.expiring_jobs[name] = None
            continue
        fleet.open_jobs[name] = None
        repair_gangs(fleet, job)
        crashes.restore_lost_runs(fleet, job)
        for occurrence in job.occurrences:
            fleet_state.queue_occurrence(fleet, job, occurrence)
        for task_name, task in job_store.list_placed(job):
            worker = fleet.workers.setdefault(
                task.worker_name,
                worker_state.WorkerState(
                    _make_unknown_worker_info(task.worker_name)
                ),
            )
            worker.listed = False
            worker.incarnation_ms = task.incarnation_ms
            run = worker_state.Run(task_name, job, task, event.at, True)
            run.start_sent = True
            run.percent = worker_state.UNKNOWN_PERCENT
            worker_state.add_run(worker, run)
            worker.leases_end_at = latest_lease_end_at
            worker.granted_end_at = float("inf")
            if not late_starts.is_recorded_as_answered(run):
                run.may_run_late_until = latest_late_run_end_at
            unreachable_worker = event.unreachable_workers.get(task.worker_name)
            if unreachable_worker is not None:
                worker.logged_unreachable = worker.poll_failed = True
                if unreachable_worker.incarnation_ms == task.incarnation_ms:
                    _apply_record(worker, run, unreachable_worker)
    effect_list = [
        fleet_state.make_log_note(
            "ownership",
            "took-over",
            epoch=event.epoch,
            jobs=len(fleet.job_store.jobs),
            open_jobs=len(fleet.open_jobs),
        )
    ]
    for name in list(fleet.open_jobs):
        job = fleet.job_store.jobs[name]
        if job.cancelled:
            effect_list += fleet_state.end_job(
                fleet, job, job_store.State.CANCELLED
            )
        else:
            fleet_state.open_due_occurrences(fleet, job)
    return effect_list


def _apply_record(
    worker: worker_state.WorkerState,
    run: worker_state.Run,
    record: unreachable.UnreachableWorker,
) -> None:
    """Sets the wait for a run by what the log says of its worker.

    The log also counts what orders without an answer may add to its leases,
    which is nothing if it is dead.
    """
    worker.leases_end_at = record.leases_end_at
    worker.granted_end_at = record.granted_end_at
    if record.late_runs is not None:
        run.may_run_late_until = min(
            run.may_run_late_until,
            record.late_runs.get(run.key, float("-inf")),
        )


def repair_gangs(fleet: fleet_state.FleetState, job: job_store.Job) -> None:
    """Repairs gangs of which only some records of an append were stored.

    An owner may have died between the calls of one append. If one member is
    done, all are; a partly recorded placement was not sent, so its members
    are queued again; a checkpoint of one member is valid for all.
    """
    for occurrence, step_tasks in job.occurrences.items():
        for step, tasks in enumerate(step_tasks):
            if not job.submission.steps[step].gang:
                continue
            state_before = [
                (task.phase, task.attempt, task.checkpoint) for task in tasks
            ]
            _repair_gang(tasks)
            if state_before != [
                (task.phase, task.attempt, task.checkpoint) for task in tasks
            ]:
                name = work.TaskName(job.submission.job, occurrence, step, 0)
                first_run = worker_state.Run(
                    name, job, tasks[0], fleet.now, True
                )
                fleet_state.mark_run_changed(fleet, first_run)


def _repair_gang(tasks: list[job_store.Task]) -> None:
    checkpoint = next(
        (task.checkpoint for task in tasks if task.checkpoint), ""
    )
    done = any(task.phase is job_store.Phase.DONE for task in tasks)
    partly_recorded = len({task.attempt for task in tasks}) > 1
    for task in tasks:
        task.checkpoint = checkpoint
        if done:
            task.phase = job_store.Phase.DONE
        elif partly_recorded and task.phase is job_store.Phase.PLACED:
            task.phase, task.worker_name = job_store.Phase.QUEUED, ""


def load_intake(
    newest_records: Iterable[records.Record],
) -> tuple[job_store.JobStore, list[str]]:
    """Builds the job store from the newest records of the intake log.

    Args:
        newest_records: Newest record of each key, submissions and cancels.

    Returns:
        The job store, and the keys of malformed records.
    """
    loaded_store = job_store.JobStore()
    malformed: list[str] = []
    for record in newest_records:
        kind, _, name = record.key.partition("/")
        if kind == records.SUBMITTED and record.value:
            try:
                submission = records.decode_submission(name, record.value)
            except records.DECODE_ERRORS:
                malformed.append(record.key)
                continue
            job_store.add_job(loaded_store, submission)
        elif kind == records.CANCELLED and record.value:
            if name in loaded_store.jobs:
                job_store.cancel_job(loaded_store.jobs[name])
            else:
                loaded_store.early_cancels.add(name)
    return loaded_store, malformed


def load_progress(
    loaded_store: job_store.JobStore, newest_records: Iterable[records.Record]
) -> tuple[list[records.Record], list[str]]:
    """Sets all jobs' progress from the newest records of the progress log.

    Args:
        loaded_store: The job store; its jobs are changed in place.
        newest_records: Newest record of each key of the progress log.

    Returns:
        Tombstones for records without a job or open occurrence, and the keys
        of malformed records.
    """
    newest = {record.key: record for record in newest_records if record.value}
    for job in loaded_store.jobs.values():
        job.state, job.opened_occurrences, job.occurrences = (
            job_store.State.QUEUED,
            0,
            {},
        )
        job.recorded_groups.clear()
    tombstones: list[records.Record] = []
    malformed: list[str] = []
    # Task groups need the open occurrences that the job's record lists.
    for prefix in (records.PROGRESS, records.TASKS):
        for key, record in newest.items():
            kind, _, rest = key.partition("/")
            if kind != prefix:
                continue
            job = loaded_store.jobs.get(rest.partition("/")[0])
            if job is None:
                tombstones.append(records.Record(key, b""))
                continue
            try:
                if kind == records.PROGRESS:
                    records.apply_progress(job, record.value)
                else:
                    _, group = records.parse_group(key)
                    if group[0] not in job.occurrences:
                        tombstones.append(records.Record(key, b""))
                        continue
                    records.apply_group(job, group, record.value)
            except records.DECODE_ERRORS:
                malformed.append(key)
    return tombstones, malformed


def _make_unknown_worker_info(name: str) -> work.WorkerInfo:
    """Describes a worker of which only the log holds the name."""
    return work.WorkerInfo(name, "", "", "", resources.ZERO)
