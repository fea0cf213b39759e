"""Orders the steps with ready tasks, and counts their tasks."""

from poplarspindle.fleet import fleet_state, ranking

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
    )


def count_best_effort_tasks(fleet: fleet_state.FleetState) -> int:
    """Counts the ready best-effort tasks."""
    return sum(
        len(indexes)
        for key, indexes in fleet.ready.items()
        if fleet.job_store.jobs[key[0]].submission.steps[key[2]].best_effort
    )
