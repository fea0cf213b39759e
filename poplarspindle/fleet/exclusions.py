"""Excludes workers on which runs of several jobs fail.

Load pattern: a worker on which every run fails is soon empty and attracts all
new tasks. Failures of a single job count against that job only, and those of a
job that fails wherever it runs against no worker; see `job_failures`. Whether
a job runs well elsewhere decides between the two; see `worker_failures`.

An exclusion ends by proof: a run that is done, or a lasting one that stays at
work, or a job that turns out to be at fault. Without proof a worker gets one
task when its exclusion is over, and is excluded for twice as long.

Work that finds no room elsewhere does not wait for that; see `probes`. A try
that fails leaves the exclusion as it is.
"""

from poplarspindle.fleet import (
    effects,
    failing_jobs,
    fleet_state,
    job_failures,
    job_store,
    work,
    worker_failures,
    worker_state,
)

FIRST_EXCLUSION_S = 6.0  # While no work waits for the worker.
MAX_EXCLUSION_S = 24.0
# From a failure on a worker to the next try there, and from a try to others.
# Work may wait for three seconds beside room, also that of an excluded worker.
PROBE_INTERVAL_S = 1.0
PROOF_S = 3.0  # At work for so long, a lasting run proves its worker.
StepKey = tuple[str, int, int]  # Job id, occurrence and step number.


def record_end(
    fleet: fleet_state.FleetState,
    worker: worker_state.WorkerState,
    run: worker_state.Run,
    end_reason: work.EndReason,
) -> list[effects.Effect]:
    """Excludes a worker from placement, or ends that, by how a run ended.

    Args:
        fleet: State of the fleet.
        worker: State of the worker.
        run: The run that ended.
        end_reason: The `work.EndReason` of the run.
    """
    if end_reason is work.EndReason.DONE:
        return _record_done(fleet, worker, run)
    if (
        end_reason is not work.EndReason.FAILED
        or run.job.state in job_store.ENDED
    ):
        return []
    failing_jobs.record(fleet.failing, run.name, worker.info.name)
    notes = job_failures.record_failure(fleet, worker, run)
    if notes:  # The job is blamed from now on.
        return notes + _discount(fleet, run.name.job)
    if job_failures.is_at_fault(fleet, run.name.job):
        return []
    # Nothing but probes is placed there while it is excluded.
    is_probe = worker.excluded_at < run.placed_at < worker.excluded_until
    had_failed = run.name.job in worker.failing_jobs
    if not worker_failures.add(fleet.failing, worker, run):
        return []
    worker.probe_failed_at = fleet.now
    if not (is_probe and had_failed):
        worker.failed_at = fleet.now
    worker.failed_after_s = max(
        worker.failed_after_s, fleet.now - run.placed_at
    )
    if (
        worker.exclusion_s
        or not fleet.mechanisms.exclude_failing
        or len(worker.failing_jobs) < worker_failures.MAX_FAILING_JOBS
    ):
        return []
    worker.exclusion_s = FIRST_EXCLUSION_S
    worker.excluded_at = fleet.now
    worker.excluded_until = fleet.now + worker.exclusion_s
    return [
        fleet_state.make_log_note(
            "workers",
            "closed",
            run.name.job,
            worker=worker.info.name,
            jobs=len(worker.failing_jobs),
            proven=len(worker.proven_jobs),
            for_s=worker.exclusion_s,
        ),
    ]


def _discount(fleet: fleet_state.FleetState, job: str) -> list[effects.Effect]:
    """Ends exclusions that rest on the failures of a job at fault."""
    reopened = worker_failures.discount(fleet.failing, fleet.workers, job)
    fleet.placement_needed |= bool(reopened)
    return worker_failures.make_reopened_notes(reopened, job)


def _record_done(
    fleet: fleet_state.FleetState,
    worker: worker_state.WorkerState,
    run: worker_state.Run,
) -> list[effects.Effect]:
    """Clears the job and the worker of a run that is done.

    A worker that fails jobs which run well elsewhere may go on with what it
    ran before, so there only a later run tells that it is sound.
    """
    job_failures.record_done(fleet, run)
    worker_failures.prove(fleet.failing, fleet.workers, run, worker.info.name)
    if worker_failures.is_proven(worker) and run.placed_at < worker.failed_at:
        return []
    if not worker.exclusion_s:
        worker_failures.reset(worker)
        return []
    # What refusals and polls excluded it for ends here too: the worker has
    # answered since and is free of a run.
    worker.no_placement_until = min(worker.no_placement_until, fleet.now)
    return _reopen(fleet, worker, run)


def _reopen(
    fleet: fleet_state.FleetState,
    worker: worker_state.WorkerState,
    run: worker_state.Run,
) -> list[effects.Effect]:
    """Ends the exclusion of a worker because of a sound run there."""
    worker_failures.reset(worker)
    fleet.placement_needed = True
    return [
        fleet_state.make_log_note(
            "workers",
            "reopened",
            run.name.job,
            worker=worker.info.name,
            task=fleet_state.format_task(run.name),
        )
    ]


def is_trial_due(worker: worker_state.WorkerState, now: float) -> bool:
    """Returns whether an excluded worker may be given one task unasked."""
    return bool(worker.exclusion_s) and now >= worker.excluded_until


def record_placed(
    fleet: fleet_state.FleetState,
    worker: worker_state.WorkerState,
    run: worker_state.Run,
) -> list[effects.Effect]:
    """Excludes a worker again once a task tries whether it is sound.

    Of a gang all members may be there; the first one counts.
    """
    if not is_trial_due(worker, fleet.now):
        return []
    worker.exclusion_s = min(MAX_EXCLUSION_S, 2 * worker.exclusion_s)
    worker.excluded_until = fleet.now + worker.exclusion_s
    fleet.failing.trials += 1
    return [
        fleet_state.make_log_note(
            "workers",
            "on-trial",
            run.name.job,
            worker=worker.info.name,
            task=fleet_state.format_task(run.name),
            for_s=worker.exclusion_s,
        )
    ]


def record_at_work(
    fleet: fleet_state.FleetState,
    worker: worker_state.WorkerState,
    run: worker_state.Run,
) -> list[effects.Effect]:
    """Ends the exclusion of a worker on which a lasting run stays at work.

    Clears its job, too, if other runs of it had failed, and tells against the
    workers on which these did.

    The run was placed after the last failure there, as a worker may go on with
    what it runs and fail all that it starts. A failed try of a job that had
    failed there tells nothing against it.
    """
    if not run.step.until_cancelled or fleet.now - run.first_seen_at < PROOF_S:
        return []
    job_failures.record_at_work(fleet, run)
    worker_failures.prove(fleet.failing, fleet.workers, run, worker.info.name)
    if not worker.exclusion_s or run.placed_at < worker.failed_at:
        return []
    return _reopen(fleet, worker, run)


def find_step(fleet: fleet_state.FleetState, key: StepKey) -> work.Step:
    """Returns the step of a key."""
    return fleet.job_store.jobs[key[0]].submission.steps[key[2]]


def find_service(fleet: fleet_state.FleetState, key: StepKey) -> str:
    """Returns the service of a step's queue."""
    return fleet_state.find_queue(fleet, fleet.job_store.jobs[key[0]]).service
