"""Which state of a job callers are shown: it waits until a task has begun.

The owner places tasks and records that before it sends their starts. A start
may reach no worker, and the next owner may not know of it. So a job is told as
active only once a worker accepted a start, listed a run or reported its end.
"""

from poplarspindle.fleet import fleet_state, job_store


def find_shown_state(job: job_store.Job) -> job_store.State:
    """Returns the state of a job that callers are to be shown."""
    if job.state is job_store.State.ACTIVE and not job.begun:
        return job_store.State.QUEUED
    return job.state


def restore(
    job: job_store.Job, published: job_store.PublishedJob | None
) -> None:
    """Restores what a new owner knows of a job's begin and is to show.

    Args:
        job: The job, with its progress as the log has it.
        published: What the owners before published of it, None for nothing.
    """
    job.begun = _is_recorded_as_begun(job) or (
        published is not None and published.state is job_store.State.ACTIVE
    )
    if job.state in job_store.ENDED or not job.cancelled:
        job.published_state = find_shown_state(job)


def _is_recorded_as_begun(job: job_store.Job) -> bool:
    return len(job.occurrences) < job.opened_occurrences or any(
        task.phase is job_store.Phase.DONE
        or task.failures
        or task.answered_attempt
        for tasks_by_step in job.occurrences.values()
        for tasks in tasks_by_step
        for task in tasks
    )


def record_begun(fleet: fleet_state.FleetState, job: job_store.Job) -> None:
    """Records that a task of a job has begun, and has its state published.

    The placement was recorded before that; where an owner died between the
    calls of its append, the log may lack the job's state.
    """
    if job.begun:
        return
    job.begun = True
    name = job.submission.job
    if job.state is job_store.State.QUEUED:
        job.state = job_store.State.ACTIVE
        fleet.changed_jobs[name] = None
    elif job.state is job_store.State.ACTIVE and not job.cancelled:
        job.published_state = job_store.State.ACTIVE
        fleet.unpublished[name] = None
