"""Gives a few lasting tasks room before more urgent work, late.

Load pattern: urgent work arrives faster than it can run. What is less urgent
gets no room then, as operators want it. But whoever handed in a task that lasts
expects it to run as soon as there is room for it, whatever its priority. So
once it has nearly waited for too long beside room, a few tasks at a time go
first across priorities: those of the step that has waited longest, each step
in turn. All others keep to the priorities.
"""

from collections.abc import Iterator

from poplarspindle.fleet import (
    away_history,
    fleet_state,
    job_failures,
    room_margin,
    work,
)

LATE_AFTER_MS = 1000  # Beside room twice over; after 3,000 it is too late.
MIN_TASKS = 2  # Of a service, between two reviews.
WORKERS_PER_TASK = 50  # In a large service one more for so many.
PRIORITY = -1  # Before that of any queue.
StepKey = away_history.StepKey


def review(fleet: fleet_state.FleetState) -> None:
    """Chooses anew how many tasks of which steps go before urgent work."""
    history = fleet.away
    chosen_at = history.late_chosen_at = {
        key: history.late_chosen_at[key]
        for key in history.late_chosen_at.keys() & fleet.ready.keys()
    }
    history.late_turns = {}
    left: dict[str, int] = {}
    never = float("-inf")
    for _, since, key in sorted(
        (chosen_at.get(key, never), since, key)
        for key, (since, _) in history.room.overdue.items()
        if key in fleet.ready and job_failures.is_due(fleet, key)
    ):
        if not _nears_bound(fleet, key, since):
            continue
        job = fleet.job_store.jobs[key[0]]
        queue = fleet_state.find_queue(fleet, job)
        if queue.service not in left:
            left[queue.service] = _count_allowed(fleet, queue.service)
        allowed = left[queue.service]
        if allowed <= 0 or not _is_behind(fleet, queue):
            continue
        tasks = len(fleet.ready[key])
        if not job.submission.steps[key[2]].gang:
            tasks = min(tasks, allowed)
        left[queue.service] -= tasks
        history.late_turns[key] = tasks
        chosen_at[key] = fleet.now
        fleet.placement_needed = True


def _nears_bound(
    fleet: fleet_state.FleetState, key: StepKey, since: float
) -> bool:
    """Returns whether a step's tasks have waited beside room for long.

    The margin of a gang is that of room for all of its tasks twice over. Each
    of them expects room for itself, so one that waits as long gets its turn,
    too, where there is room for one of them at a time.

    Args:
        fleet: State of the fleet's owner.
        key: Job id, occurrence and step number.
        since: Since when the first of its tasks is away.
    """
    if room_margin.get_room_ms(fleet, key) >= LATE_AFTER_MS:
        return True
    step = fleet.job_store.jobs[key[0]].submission.steps[key[2]]
    late_at = since + room_margin.BOUND_S + LATE_AFTER_MS / 1000
    return step.gang and key in fleet.away.turns and fleet.now >= late_at


def _count_allowed(fleet: fleet_state.FleetState, service: str) -> int:
    """Counts the tasks of a service that may go first until the next review."""
    workers = sum(
        worker.info.service == service for worker in fleet.workers.values()
    )
    return max(MIN_TASKS, workers // WORKERS_PER_TASK)


def _is_behind(fleet: fleet_state.FleetState, queue: work.Queue) -> bool:
    """Returns whether more urgent work may take the same workers."""
    return any(
        other.service == queue.service and other.priority < queue.priority
        for other in fleet.queues.values()
    )


def list_due(
    fleet: fleet_state.FleetState,
) -> Iterator[tuple[StepKey, int]]:
    """Yields steps that go first and how many of their tasks do."""
    for key, tasks in list(fleet.away.late_turns.items()):
        if tasks and key in fleet.ready and job_failures.is_due(fleet, key):
            yield key, tasks


def record_placed(
    fleet: fleet_state.FleetState, key: StepKey, tasks: int
) -> None:
    """Notes that tasks of a step that goes first were placed."""
    fleet.away.late_turns[key] -= tasks


def find_priority(
    fleet: fleet_state.FleetState, key: StepKey, priority: int
) -> int:
    """Returns a step's priority, that before all others if it goes first.

    Args:
        fleet: State of the fleet's owner.
        key: Job id, occurrence and step number.
        priority: Priority of its queue.
    """
    return PRIORITY if key in fleet.away.late_turns else priority
