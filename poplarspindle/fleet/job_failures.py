"""Finds jobs that fail wherever they run.

Load pattern: jobs come that can never be done. Their tasks fail on one worker
after the other, so several of them have all workers excluded, and sound work
waits beside room.

A job is at fault if its runs have failed on several workers and none of them
was done or stays at work. Its failures tell nothing of the workers: they count
no more, and exclusions that rest on them are void. Work that ends by itself
runs out of attempts. What lasts would be started again for ever, so its tasks
are tried again at a bounded rate wherever there is room, and a run that stays
at work clears the job.
"""

from poplarspindle.fleet import (
    effects,
    failing_jobs,
    fleet_state,
    job_store,
    worker_selection,
    worker_state,
)

MIN_WORKERS = 3  # That fail a job at fault, or both if there are but two.
WATCH_S = 1.0  # A job may be at fault for so long before it is blamed.
# Between tries of a job at fault. Nothing of a lasting job may run for three
# seconds at most while there is room for it.
RETRY_INTERVAL_S = 2.0
PROOF_S = 3.0  # At work for so long, a run clears its job.
# Between two looks at a job's failures, which take in all workers.
REVIEW_INTERVAL_S = 0.2


def is_at_fault(fleet: fleet_state.FleetState, job: str) -> bool:
    """Returns whether the runs of a job fail wherever they are."""
    failures = fleet.failing.by_job.get(job)
    return failures is not None and failures.at_fault


def record_failure(
    fleet: fleet_state.FleetState,
    worker: worker_state.WorkerState,
    run: worker_state.Run,
) -> list[effects.Effect]:
    """Records where a run failed; blames its job if that is due.

    Returns:
        A note if the job is blamed from now on.
    """
    job, step = run.name.job, run.name.step
    failures = fleet.failing.by_job.setdefault(
        job, failing_jobs.Failures(fleet.now)
    )
    failed_on = failures.workers[step]
    failed_on.add(worker.info.name)
    if (
        failures.at_fault
        or fleet.now - failures.since < WATCH_S
        or fleet.now - failures.reviewed_at < REVIEW_INTERVAL_S
    ):
        return []
    failures.reviewed_at = fleet.now
    if (
        len(failed_on) < _count_needed(fleet, run)
        or _was_done(run)
        or _has_sound_run(fleet, run)
    ):
        return []
    failures.at_fault = True
    return [
        fleet_state.make_log_note(
            "jobs", "at-fault", job, step=step, failed_on=len(failed_on)
        )
    ]


def record_done(fleet: fleet_state.FleetState, run: worker_state.Run) -> None:
    """Ends the blame of a job if a run of a step that failed is done."""
    failures = fleet.failing.by_job.get(run.name.job)
    if failures is not None and run.name.step in failures.workers:
        failures.at_fault = False


def record_at_work(
    fleet: fleet_state.FleetState, run: worker_state.Run
) -> None:
    """Clears the job of a lasting run that stays at work."""
    failures = fleet.failing.by_job.get(run.name.job)
    if (
        failures is not None
        and run.step.until_cancelled
        and run.name.step in failures.workers
        and fleet.now - run.first_seen_at >= PROOF_S
    ):
        failing_jobs.clear(fleet.failing, run.name.job)


def is_due(fleet: fleet_state.FleetState, key: failing_jobs.StepKey) -> bool:
    """Returns whether tasks of a step may be placed now.

    Those of a job that is at fault have to wait only if they last.
    """
    if not is_at_fault(fleet, key[0]):
        return True
    steps = fleet.job_store.jobs[key[0]].submission.steps
    if not steps[key[2]].until_cancelled:
        return True
    tried_at = fleet.failing.tried_at.get(key, float("-inf"))
    return fleet.now - tried_at >= RETRY_INTERVAL_S


def record_try(
    fleet: fleet_state.FleetState, key: failing_jobs.StepKey
) -> None:
    """Records that tasks of a step were placed."""
    if is_at_fault(fleet, key[0]):
        fleet.failing.tried_at[key] = fleet.now


def _count_needed(fleet: fleet_state.FleetState, run: worker_state.Run) -> int:
    """Returns on how many workers a job fails that is at fault."""
    service = fleet_state.find_queue(fleet, run.job).service
    label = run.step.label
    usable = sum(
        worker_selection.may_be_given_work(
            worker, service, fleet.excluded_data_centres
        )
        and (not label or label in worker.info.labels)
        for worker in fleet.workers.values()
    )
    return max(2, min(MIN_WORKERS, usable))


def _was_done(run: worker_state.Run) -> bool:
    """Returns whether runs of a step that ends by itself were done."""
    job, step = run.job, run.name.step
    return not run.step.until_cancelled and (
        job.opened_occurrences > len(job.occurrences)
        or any(
            task.phase is job_store.Phase.DONE
            for tasks_by_step in job.occurrences.values()
            for task in tasks_by_step[step]
        )
    )


def _has_sound_run(
    fleet: fleet_state.FleetState, failed: worker_state.Run
) -> bool:
    """Returns whether a run of the same step stays at work.

    It has been there for longer than the failed run lasted.
    """
    sound_s = max(WATCH_S, 2 * (fleet.now - failed.placed_at))
    return any(
        run.name.job == failed.name.job
        and run.name.step == failed.name.step
        and run.confirmed
        and not run.stopping
        and not worker.poll_failed
        and fleet.now - run.first_seen_at >= sound_s
        for name in failed.job.runs_by_worker
        if (worker := fleet.workers.get(name)) is not None
        for run in worker.runs.values()
    )
