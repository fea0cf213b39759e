"""Moves queued tasks to data centres that have free capacity for them."""

import itertools

from poplarspindle import backlog, cells, records, resources, scheduler_state

SPILL_AFTER_S = 5.0
MOVES_PER_TICK = 10
SPARE_SHARE = 0.05


def list_allowed(
    state: scheduler_state.SchedulerState, job: records.JobSubmitted
) -> tuple:
    """Returns the data centres where the document lets a job run."""
    declared = state.document.find_family(job.family)
    allowed = declared[1].data_centres if declared else ()
    return allowed or state.document.list_data_centres()


def compute_spare(cell: cells.Cell) -> resources.Resources:
    """Returns a data centre's capacity less reservations and queued needs."""
    spare = resources.ZERO
    for worker in cell.view.workers.values():
        spare = spare + worker.member.capacity
    for reserved in cell.table.reserved.values():
        spare = spare - reserved
    for lane, task_ids in cells.get_backlog(cell.table).lanes.items():
        spare = spare - _multiply(lane.need, len(task_ids))
    return spare


def _multiply(need: resources.Resources, count: int) -> resources.Resources:
    return resources.Resources(
        need.millicores * count,
        need.memory_mb * count,
        need.accelerators * count,
    )


class MoveTargets:
    """Data centres to which tasks can move, with their spare capacity.

    Args:
        state: The instance's state.
        source: Data centre from which tasks move.
    """

    def __init__(
        self, state: scheduler_state.SchedulerState, source: str
    ) -> None:
        self.state = state
        self.spare = {
            name: compute_spare(other)
            for name, other in sorted(state.cells.items())
            if name != source and state.document.is_in_service(name)
        }

    def reserve(self, task: cells.Task, urgent: bool = False) -> str:
        """Returns the allowed data centre with the most spare processors.

        The task's need is subtracted from its spare capacity.

        Args:
            task: The task.
            urgent: Whether a data centre without spare capacity, where the
                task would wait, is accepted.

        Returns:
            A data centre, empty for none.
        """
        allowed = list_allowed(self.state, task.job)
        eligible = [
            name
            for name in self.spare
            if name in allowed and self._can_hold(name, task)
        ]
        fitting = [n for n in eligible if task.need.fits_in(self.spare[n])]
        candidates = fitting or (eligible if urgent else [])
        if not candidates:
            return ""
        best = max(candidates, key=lambda n: (self.spare[n].millicores, n))
        self.spare[best] = self.spare[best] - task.need
        return best

    def _can_hold(self, name: str, task: cells.Task) -> bool:
        workers = self.state.cells[name].view.workers.values()
        return any(task.need.fits_in(w.member.capacity) for w in workers)


def propose_moves(
    state: scheduler_state.SchedulerState, cell: cells.Cell, at: float
) -> list:
    """Moves tasks of lanes that have been blocked for SPILL_AFTER_S.

    Lanes blocked by a quota or a family backoff stay: a move would not help.
    """
    blocked = [
        lane
        for lane, reason in cell.view.blocked.items()
        if reason
        and reason not in ("quota", "family-backs-off")
        and at - cell.view.waiting.get(lane, at) >= SPILL_AFTER_S
    ]
    if not blocked:
        return []
    targets = MoveTargets(state, cell.table.data_centre)
    effect_list = []
    for task in itertools.islice(_list_tasks(cell, blocked), MOVES_PER_TICK):
        target = targets.reserve(task)
        if target:
            effect_list += propose_move(cell, task, target, at)
    return effect_list


def _list_tasks(cell: cells.Cell, lanes: list[backlog.Lane]):
    """Yields queued batch tasks of the lanes without a pending placement."""
    queued_by_lane = cells.get_backlog(cell.table).lanes
    for lane in lanes:
        for task_id in itertools.islice(
            queued_by_lane.get(lane, ()), MOVES_PER_TICK
        ):
            task = cell.table.tasks[task_id]
            if task_id not in cell.view.pending and not task.job.is_service:
                yield task


def propose_move(
    cell: cells.Cell, task: cells.Task, target: str, at: float
) -> list:
    """Returns the effects that append the move of a queued task."""
    record = records.TaskMoved(task.task, task.attempt, cell.table.term, target)
    return cells.propose(cell, record, at)
