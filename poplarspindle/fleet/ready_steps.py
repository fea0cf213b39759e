"""Orders the steps with ready tasks, and counts their tasks."""

from collections.abc import Iterator

from poplarspindle.fleet import fleet_state, job_store, ranking

# Ranks change with time, but computing all of them each round is too slow.
MAX_RANK_AGE_S = 0.25
StepKey = tuple[str, int, int]  # Job id, occurrence and step number.


def sort(
    fleet: fleet_state.FleetState,
) -> list[StepKey]:
    """Sorts the ready steps by rank; a rank is at most MAX_RANK_AGE_S old."""
    ranks = fleet.ranks
    for key in ranks.keys() - fleet.ready.keys():
        del ranks[key]
    for key in fleet.ready:
        cached_rank = ranks.get(key)
        if cached_rank is None or fleet.now - cached_rank[1] >= MAX_RANK_AGE_S:
            ranks[key] = (*rank(fleet, key), key), fleet.now
    return sorted(fleet.ready, key=lambda key: ranks[key][0])


def rank(fleet: fleet_state.FleetState, key: StepKey) -> tuple:
    """Computes the rank of a ready step; the lowest is placed first."""
    job = fleet.job_store.jobs[key[0]]
    step = job.submission.steps[key[2]]

    def get_effort() -> ranking.RemainingWork:
        effort = fleet.remaining_work.get(key[:2])
        if effort is None:
            effort = fleet.remaining_work[key[:2]] = ranking.compute_effort(
                job, key[1]
            )
        return effort

    return ranking.rank_step(
        job,
        key[1],
        step,
        get_effort,
        fleet.queues,
        fleet.wall_ms,
        fleet.mean_sizes_core_s,
        fleet.mechanisms,
        fleet.away.turns.get(key),
    )


def count_best_effort_tasks(fleet: fleet_state.FleetState) -> int:
    """Counts the ready best-effort tasks."""
    return sum(
        len(indexes)
        for key, indexes in fleet.ready.items()
        if fleet.job_store.jobs[key[0]].submission.steps[key[2]].best_effort
    )


def list_ready_counts(
    fleet: fleet_state.FleetState,
) -> Iterator[tuple[int, int]]:
    """Lists priority and number of ready tasks of each step."""
    for key, indexes in fleet.ready.items():
        job = fleet.job_store.jobs[key[0]]
        yield fleet_state.find_queue(fleet, job).priority, len(indexes)


def list_later_counts(
    fleet: fleet_state.FleetState,
) -> Iterator[tuple[int, int]]:
    """Lists priority and number of tasks of steps that wait for others."""
    for name in fleet.open_jobs:
        job = fleet.job_store.jobs[name]
        later_tasks = sum(
            len(tasks)
            for occurrence, step_tasks in job.occurrences.items()
            for step, tasks in enumerate(step_tasks)
            if tasks
            and tasks[0].phase is job_store.Phase.QUEUED
            and (name, occurrence, step) not in fleet.ready
        )
        if later_tasks:
            yield fleet_state.find_queue(fleet, job).priority, later_tasks
