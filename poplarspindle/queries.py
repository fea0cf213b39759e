"""What a scheduler answers when it is asked about a job."""

import collections
import itertools

from poplarspindle import cells, messages, records, scheduler_state

MAX_SAMPLES = 20


def describe_job(
    state: scheduler_state.SchedulerState, query: messages.JobQuery, now: float
) -> messages.JobSeen:
    """Describes a job as far as this instance has read.

    Args:
        state: The instance's state.
        query: The question.
        now: Monotonic seconds.

    Returns:
        The description; it has no data centres where the job is not known.
    """
    fresh = now - state.limits.fresh_s
    complete = state.document_tail_at >= fresh and all(
        cell.view.tail_at >= fresh for cell in state.cells.values()
    )
    seen = {
        name: _list_tasks(cell, query.job) for name, cell in state.cells.items()
    }
    tasks_by_centre = {name: tasks for name, tasks in seen.items() if tasks}
    everything = [t for tasks in tasks_by_centre.values() for t in tasks]
    phases = collections.Counter(
        str(task.phase)
        for task in everything
        if task.phase is not cells.Phase.MOVED
    )
    open_tasks = (
        _describe_task(name, task)
        for name, tasks in tasks_by_centre.items()
        for task in tasks
        if task.phase not in cells.ENDED
    )
    return messages.JobSeen(
        state.incarnation,
        complete,
        tuple(tasks_by_centre),
        records.encode_batch((everything[0].job,)) if everything else b"",
        everything[0].job.tasks if everything else 0,
        dict(phases),
        tuple(itertools.islice(open_tasks, MAX_SAMPLES)),
    )


def _list_tasks(cell: cells.Cell, job: str) -> list[cells.Task]:
    """Returns the tasks of a job in one data centre, received ones too."""
    names = (f"{job}/{i}" for i in range(cell.table.jobs.get(job, 0)))
    return [cell.table.tasks[n] for n in names if n in cell.table.tasks]


def _describe_task(data_centre: str, task: cells.Task) -> messages.TaskSeen:
    return messages.TaskSeen(
        task.task,
        data_centre,
        str(task.phase),
        task.attempt,
        task.worker,
        task.reason,
    )
