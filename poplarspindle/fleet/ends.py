"""Handles ends of runs; an end is recorded before it is acknowledged."""

import dataclasses

from poplarspindle import resources
from poplarspindle.fleet import (
    effects,
    exclusions,
    fleet_state,
    job_states,
    job_store,
    late_starts,
    tail_model,
    unknown_ends,
    work,
    worker_state,
)


def handle_ends(
    fleet: fleet_state.FleetState,
    worker: worker_state.WorkerState,
    report: work.Report,
) -> list:
    """Applies the new ends in a report and queues their acknowledgement."""
    effect_list = []
    new_ends = [
        end for end in report.ended if end.number > worker.last_end_handled
    ]
    for end in sorted(new_ends, key=lambda end: end.number):
        worker.last_end_handled = end.number
        run = worker.runs.get((end.task, end.attempt))
        if run is not None:
            effect_list += end_run(
                fleet, worker, run, end.end_reason, end.checkpoint
            )
        else:
            effect_list.append(_make_stale_end_note(fleet, worker, end))
            effect_list += _handle_late_end(fleet, worker, end)
    if worker.last_end_handled > worker.last_end_recorded:
        worker.last_end_recorded = worker.last_end_handled
        fleet.deferred_effects.append(
            effects.Acknowledge(
                worker.info.name, worker.incarnation_ms, worker.last_end_handled
            )
        )
    return effect_list


def _make_stale_end_note(
    fleet: fleet_state.FleetState,
    worker: worker_state.WorkerState,
    end: work.Ended,
) -> effects.Note:
    """Makes a log note on the end of a run no longer placed on this worker."""
    task = job_store.find_task(fleet.job_store, end.task)
    job = fleet.job_store.jobs.get(end.task.job)
    return fleet_state.make_log_note(
        "runs",
        "stale-end",
        end.task.job,
        task=fleet_state.format_task(end.task),
        attempt=end.attempt,
        worker=worker.info.name,
        how=end.end_reason.value,
        number=end.number,
        job_state=job.state.value if job else "unknown",
        phase=task.phase.name.lower() if task else "unknown",
        last_attempt=task.attempt if task else 0,
        placed_on=task.worker_name if task else "",
    )


def _handle_late_end(
    fleet: fleet_state.FleetState, worker: worker_state.WorkerState, end
) -> list:
    """Applies the end of a run whose task was requeued or placed again.

    The worker drops an end once it is acknowledged. If the end were ignored,
    a finished task would run again, or a failed one get an extra attempt.
    """
    task = job_store.find_task(fleet.job_store, end.task)
    job = fleet.job_store.jobs.get(end.task.job)
    if job is None:
        unknown_ends.keep(fleet.unknown_ends, end)
        return []
    if end.end_reason is not work.EndReason.STOPPED:
        job_states.record_begun(fleet, job)
    if (
        task is None
        or task.phase is job_store.Phase.DONE
        or job.state in job_store.ENDED
        or job.submission.steps[end.task.step].until_cancelled
    ):
        return []
    run = worker_state.Run(end.task, job, task, fleet.now, True)
    run.attempt = end.attempt  # The task may be in a later one.
    if end.end_reason is work.EndReason.DONE:
        fleet.placement_needed = True
        fleet_state.mark_run_changed(fleet, run)
        effect_list = exclusions.record_end(
            fleet, worker, run, end.end_reason
        ) + _stop_later_attempts(fleet, run)
        return effect_list + _finish_task(fleet, run)
    if end.attempt not in task.open_attempts:
        return []  # A failure was already counted, maybe by an earlier owner.
    remaining_attempts = tuple(
        attempt for attempt in task.open_attempts if attempt != end.attempt
    )
    task.open_attempts = remaining_attempts
    fleet_state.mark_task_changed(fleet, end.task)
    if end.end_reason is not work.EndReason.FAILED:
        return []
    return exclusions.record_end(
        fleet, worker, run, end.end_reason
    ) + _record_failure(fleet, run)


def apply_unknown_ends(fleet: fleet_state.FleetState, job: str) -> list:
    """Applies the ends that were kept until their job is known."""
    effect_list = []
    for end in unknown_ends.take(fleet.unknown_ends, job):
        key = (end.task, end.attempt)
        worker = next(
            (found for found in fleet.workers.values() if key in found.runs),
            None,
        )
        if worker is None:
            nobody = worker_state.WorkerState(
                work.WorkerInfo("", "", "", "", resources.ZERO)
            )
            effect_list += _handle_late_end(fleet, nobody, end)
        else:
            effect_list += end_run(
                fleet, worker, worker.runs[key], end.end_reason, ""
            )
    return effect_list


def _record_failure(
    fleet: fleet_state.FleetState, run: worker_state.Run
) -> list:
    """Counts a failed run; fails the job when no attempt is left."""
    if run.attempt not in run.task.failed_attempts:
        run.task.failed_attempts += (run.attempt,)
    if (
        _count_failed_attempts(run)
        < fleet_state.find_queue(fleet, run.job).attempts
    ):
        return []
    return fleet_state.end_job(fleet, run.job, job_store.State.FAILED)


def _stop_later_attempts(
    fleet: fleet_state.FleetState, done_run: worker_state.Run
) -> list:
    """Stops later attempts of a task that an earlier attempt finished.

    For a gang, stops those of all members. A run whose start was not sent is
    only removed.
    """
    effect_list = []
    name = done_run.name
    tasks = done_run.job.occurrences[name.occurrence][name.step]
    members = range(len(tasks)) if done_run.step.gang else [name.index]
    for index in members:
        member = dataclasses.replace(name, index=index)
        other_worker = fleet.workers.get(tasks[index].worker_name)
        later_run = other_worker and other_worker.runs.get(
            (member, tasks[index].attempt)
        )
        if later_run is not None:
            effect_list += fleet_state.stop_run(fleet, other_worker, later_run)
    return effect_list


def end_run(
    fleet: fleet_state.FleetState,
    worker: worker_state.WorkerState,
    run: worker_state.Run,
    end_reason: work.EndReason,
    checkpoint: str,
) -> list:
    """Applies the end of a run that is placed on a worker.

    Args:
        fleet: State of the fleet.
        worker: State of the worker.
        run: The run; it is removed from the worker.
        end_reason: How it ended.
        checkpoint: Its last checkpoint, empty for none.
    """
    if end_reason is not work.EndReason.STOPPED:
        job_states.record_begun(fleet, run.job)
    worker_state.remove_run(worker, run)
    late_starts.record_possible_late_start(fleet, worker, run)
    fleet.placement_needed = True
    tail_model.record_end(worker, run, fleet.now)
    effect_list = [
        fleet_state.make_log_note(
            "runs",
            "ended",
            run.name.job,
            task=fleet_state.format_task(run.name),
            attempt=run.attempt,
            worker=worker.info.name,
            how=end_reason.value,
            took_ms=int((fleet.now - run.placed_at) * 1000),
        )
    ]
    effect_list += exclusions.record_end(fleet, worker, run, end_reason)
    task = run.task
    if task.attempt != run.attempt or run.job.state in job_store.ENDED:
        return effect_list
    if task.phase is job_store.Phase.DONE:
        return effect_list
    fleet_state.mark_run_changed(fleet, run)
    if checkpoint:
        _store_checkpoint(run, checkpoint)
    if end_reason is work.EndReason.DONE and not run.step.until_cancelled:
        return effect_list + _finish_task(fleet, run)
    if end_reason is work.EndReason.FAILED and not run.step.until_cancelled:
        effect_list += _record_failure(fleet, run)
    fleet_state.requeue(fleet, run)
    return effect_list


def _store_checkpoint(run: worker_state.Run, checkpoint: str) -> None:
    """Stores a checkpoint; one member's is valid for its whole gang."""
    members = [run.task]
    if run.step.gang:
        members = run.job.occurrences[run.name.occurrence][run.name.step]
    for task in members:
        task.checkpoint = checkpoint


def _count_failed_attempts(run: worker_state.Run) -> int:
    """Counts the failed runs of a task or, for a member, of its whole gang.

    All members run in the same attempt, and several of them may fail in it.
    """
    members = [run.task]
    if run.step.gang:
        members = run.job.occurrences[run.name.occurrence][run.name.step]
    return len(set().union(*(task.failed_attempts for task in members)))


def _finish_task(fleet: fleet_state.FleetState, run: worker_state.Run) -> list:
    job, occurrence, step = run.job, run.name.occurrence, run.name.step
    fleet.remaining_work.pop((run.name.job, occurrence), None)
    tasks = job.occurrences[occurrence][step]
    # Gang members lost just before the end were queued again; they are done.
    members = range(len(tasks)) if run.step.gang else [run.name.index]
    for index in members:
        tasks[index].phase = job_store.Phase.DONE
    fleet_state.unqueue(fleet, run, members)
    if not job_store.is_step_done(tasks):
        return []
    if all(map(job_store.is_step_done, job.occurrences[occurrence])):
        del job.occurrences[occurrence]
        fleet.changed_jobs[run.name.job] = None
    else:
        for later_step, spec in enumerate(job.submission.steps):
            if step in spec.prerequisites:
                fleet_state.queue_step(fleet, job, occurrence, later_step)
    if not job.occurrences and job.opened_occurrences >= max(
        1, job.submission.occurrence_count
    ):
        return fleet_state.end_job(fleet, job, job_store.State.COMPLETED)
    return []
