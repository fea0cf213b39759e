"""Queued tasks in lanes, and what each team holds; kept task by task.

A lane holds tasks that are equal for placement, so one look at its first
task settles all of them: a blocked lane costs the same at any length.
"""

import dataclasses

from poplarspindle import resources


@dataclasses.dataclass(frozen=True, slots=True)
class Lane:
    """What the tasks of a lane have in common.

    Attributes:
        may_evict: Whether they may evict others: services and urgent work.
        priority: Higher goes first.
        team: Team whose quota they count against.
        family: Their family.
        need: Declared sizes.
    """

    may_evict: bool
    priority: int
    team: str
    family: str
    need: resources.Resources


class Backlog:
    """Lanes of queued tasks, and reservations by team.

    Attributes:
        lanes: Ids of queued tasks by lane, in order of arrival.
        held: Reserved by the batch work of a team.
        counted: Need by id of each task counted in `held`, with its team.
    """

    def __init__(self) -> None:
        self.lanes: dict[Lane, dict[str, None]] = {}
        self.held: dict[str, resources.Resources] = {}
        self.counted: dict[str, tuple[str, resources.Resources]] = {}
        self._lane_of: dict[str, Lane] = {}

    @property
    def queued(self) -> int:
        """Number of queued tasks."""
        return len(self._lane_of)

    def set_queued(self, task, queued: bool) -> None:
        """Files a task in its lane, or takes it out."""
        lane = self._lane_of.pop(task.task, None)
        if lane is not None and not queued:
            members = self.lanes[lane]
            del members[task.task]
            if not members:
                del self.lanes[lane]
        elif queued:
            lane = lane or find_lane(task)
            self._lane_of[task.task] = lane
            self.lanes.setdefault(lane, {}).setdefault(task.task)

    def set_held(self, task, held: bool) -> None:
        """Counts what a task reserves for its team, or ends counting it."""
        before = self.counted.pop(task.task, None)
        if before is not None:
            team, need = before
            self.held[team] -= need
        if held:
            team = task.job.team
            counts = not task.job.is_service
            need = task.need if counts else resources.ZERO
            self.held[team] = self.held.get(team, resources.ZERO) + need
            self.counted[task.task] = (team, need)


def find_lane(task) -> Lane:
    """Returns the lane that a task belongs to."""
    job = task.job
    return Lane(
        job.urgent or job.is_service,
        job.priority,
        job.team,
        job.family,
        resources.Resources(job.millicores, job.memory_mb, job.accelerators),
    )
