"""Chooses which queued tasks are placed at a tick, and in which order."""

import itertools
import random
from collections.abc import Iterator

from poplarspindle import (
    backlog,
    cells,
    effects,
    events,
    eviction,
    feasibility,
    placement_policy,
    quarantine,
    quotas,
    records,
    resources,
    scheduler_state,
    sizes,
    spill,
)

PLACEMENTS_PER_TICK = 50
MAX_LANE_TASKS_TRIED = 200


class PlacementRound:
    """The placements of one tick in one data centre.

    Attributes:
        effect_list: Effects produced so far.
        blocked: By lane, the reason why it places no further tasks.
        placed: Number of placements so far.
        free_capacity: Free capacity of the workers.
        learns: Whether the policy uses learned sizes and slowdown.
        allowances: By team, the resources it may reserve here.
        turns: Order in which lanes place their tasks.
    """

    def __init__(
        self,
        state: scheduler_state.SchedulerState,
        cell: cells.Cell,
        event: events.Ticked,
    ) -> None:
        self.state = state
        self.cell = cell
        self.at = event.at
        self.effect_list: list[effects.Effect] = []
        self.blocked: dict[backlog.Lane, str] = {}
        self.placed = 0
        self.free_capacity = placement_policy.FreeCapacity(
            state, cell, event.at
        )
        self.rng = random.Random(event.seed)
        self.learns = state.limits.policy in placement_policy.LEARNING_POLICIES
        self.allowances = quotas.list_allowances(state, cell)
        self.backlog = cells.get_backlog(cell.table)
        self.turns = quotas.LaneOrder(
            self.backlog.lanes,
            _count_held(cell, self.backlog),
            quotas.compute_capacity(cell),
        )
        self._queues: dict[backlog.Lane, Iterator[cells.Task]] = {}

    def run(self, max_count: int) -> None:
        """Places tasks in lane order, at most `max_count`."""
        self._release_kept_workers()
        while self.placed < max_count:
            turn = self.turns.pop()
            if turn is None:
                return
            number, lane = turn
            task = self._next_task(lane)
            if task is not None and self._try_task(lane, task):
                self.turns.push_back(number, lane)

    def _release_kept_workers(self) -> None:
        """Releases workers kept for a lane that has no queued task any more."""
        kept = self.cell.view.kept
        for worker_name, lane in list(kept.items()):
            is_obsolete = (
                lane not in self.backlog.lanes
                or worker_name not in self.free_capacity.free
            )
            if is_obsolete:
                del kept[worker_name]
                self.free_capacity.kept.pop(worker_name, None)

    def _next_task(self, lane: backlog.Lane) -> cells.Task | None:
        """Returns a lane's next task that is neither placed nor backing off."""
        queue = self._queues.get(lane)
        if queue is None:
            task_ids = itertools.islice(
                self.backlog.lanes[lane], MAX_LANE_TASKS_TRIED
            )
            queue = (
                self.cell.table.tasks[task_id]
                for task_id in list(task_ids)
                if task_id not in self.cell.view.pending
            )
            self._queues[lane] = queue
        return next(
            (
                task
                for task in queue
                if cells.is_ready(self.cell, task, self.at)
            ),
            None,
        )

    def _try_task(self, lane: backlog.Lane, task: cells.Task) -> bool:
        """Places a task; returns whether its lane may place further tasks."""
        need = compute_need(self.state, task)
        obstacle = self._find_obstacle(lane, task, need)
        if obstacle:
            self._block(lane, obstacle)
            return False
        max_count = placement_policy.MAX_CANDIDATES if self.learns else None
        fitting = self.free_capacity.list_fitting(need, lane, max_count)
        if not fitting:
            return self._handle_unplaceable(lane, task, need)
        pick_worker = placement_policy.POLICIES[self.state.limits.policy]
        worker_name = pick_worker(
            self.free_capacity, task, need, fitting, self.rng
        )
        if self._should_wait(lane, need, worker_name):
            self._block(lane, "disturbs-services")
            return False
        self._place(lane, task, need, worker_name)
        return True

    def _should_wait(self, lane: backlog.Lane, need, worker_name: str) -> bool:
        """Returns whether batch work waits for a less harmful worker.

        If the best worker would have to throttle the task at once, the task
        would hold capacity for long and make little progress. The wait is
        bounded by `patience_s`.
        """
        if lane.may_evict or not self.learns:
            return False
        waiting_since = self.cell.view.waiting.get(lane, self.at)
        if self.at - waiting_since >= self.state.limits.patience_s:
            return False
        return placement_policy.is_harmful(
            self.free_capacity, lane.family, need, worker_name
        )

    def _find_obstacle(self, lane, task, need) -> str:
        """Returns why a lane may not place its next task now, or ''."""
        held = self.turns.held.get(lane.team, resources.ZERO)
        allowance = self.allowances.get(lane.team)
        if not lane.may_evict and not quotas.is_within_quota(
            allowance, held, need
        ):
            return "quota"
        families = self.state.failures.families
        if self.learns and not quarantine.is_allowed(
            families, lane.family, self.at
        ):
            return "family-backs-off"
        if lane in self.blocked:
            return self.blocked[lane]
        return ""

    def _handle_unplaceable(self, lane, task, need) -> bool:
        """Handles a task that fits on no worker now.

        The lane is blocked if no worker can ever hold the task or if it may
        not evict. Returns whether the lane may place further tasks.
        """
        members = [worker.member for worker in self.cell.view.workers.values()]
        allowed = (self.cell.table.data_centre,)
        obstacle = feasibility.find_obstacle(need, allowed, members)
        if obstacle:
            self._block(lane, obstacle)
            return False
        if lane.may_evict:
            self.effect_list += eviction.make_room_for(
                self.free_capacity, task, need, self.at
            )
            self._block(lane, "", keep_turn=True)
            return True
        self._block(lane, "no-room")
        self._keep_worker_for_lane(lane, need)
        return False

    def _block(
        self, lane: backlog.Lane, reason: str, keep_turn: bool = False
    ) -> None:
        """Records that a lane waits, and blocks it unless `keep_turn`."""
        self.cell.view.waiting.setdefault(lane, self.at)
        if not keep_turn:
            self.blocked[lane] = reason

    def _keep_worker_for_lane(self, lane: backlog.Lane, need) -> None:
        """Keeps a worker's free capacity for a lane that waited `starve_s`."""
        view = self.cell.view
        waited = self.at - view.waiting[lane]
        if waited < self.state.limits.starve_s or lane in view.kept.values():
            return
        eligible = [
            worker_name
            for worker_name in self.free_capacity.free
            if worker_name not in view.kept
            and need.fits_in(view.workers[worker_name].member.capacity)
        ]
        if eligible:
            best = min(
                eligible,
                key=lambda candidate: placement_policy.compute_reserved_share(
                    self.free_capacity, candidate
                ),
            )
            view.kept[best] = lane
            self.free_capacity.kept[best] = lane

    def _place(self, lane, task, need, worker_name: str) -> None:
        """Reserves `need` for a task on a worker and sends the placement."""
        view = self.cell.view
        view.waiting.pop(lane, None)
        if view.kept.get(worker_name) == lane:
            del view.kept[worker_name]
            self.free_capacity.kept.pop(worker_name, None)
        self.free_capacity.reserve(task, worker_name, need)
        self.placed += 1
        if not task.job.is_service:
            self.turns.charge(lane.team, need)
        quarantine.record_placed(
            self.state.failures, worker_name, lane.family, task.task, self.at
        )
        self.effect_list.append(
            _send_placement(self.cell, task, need, worker_name, self.at)
        )


def compute_need(
    state: scheduler_state.SchedulerState, task: cells.Task
) -> resources.Resources:
    """Returns the resources a task reserves if it is placed now."""
    job = task.job
    declared = resources.Resources(
        job.millicores, job.memory_mb, job.accelerators
    )
    if state.limits.policy not in placement_policy.LEARNING_POLICIES:
        return declared
    return sizes.correct_need(state.sizes, job, declared)


def place_queued(
    state: scheduler_state.SchedulerState,
    cell: cells.Cell,
    event: events.Ticked,
) -> list:
    """Places queued tasks on workers with free capacity, in lane order."""
    effect_list = _resend_lost_placements(cell, event.at)
    if not cell.table.queue:
        cell.view.blocked = {}
        cell.view.waiting = {}
        return effect_list
    placement_round = PlacementRound(state, cell, event)
    placement_round.run(_compute_max_placements(state, cell, event.at))
    cell.view.blocked = placement_round.blocked
    cell.view.waiting = {
        lane: since
        for lane, since in cell.view.waiting.items()
        if lane in placement_round.backlog.lanes
    }
    effect_list += placement_round.effect_list
    if placement_round.learns:
        effect_list += spill.propose_moves(state, cell, event.at)
    return effect_list


def _compute_max_placements(
    state: scheduler_state.SchedulerState, cell: cells.Cell, at: float
) -> int:
    """Returns how many tasks may be placed at this tick.

    For `fill_s` after the data centre returns to service, a tenth.
    """
    if at - cell.view.in_since >= state.limits.fill_s:
        return PLACEMENTS_PER_TICK
    return max(1, PLACEMENTS_PER_TICK // 10)


def _count_held(
    cell: cells.Cell, team_backlog: backlog.Backlog
) -> dict[str, resources.Resources]:
    """Returns what each team holds, including placements not read back yet."""
    held = dict(team_backlog.held)
    for task_id, placement in cell.view.pending.items():
        task = cell.table.tasks.get(task_id)
        if task is not None and not task.job.is_service:
            team = task.job.team
            held[team] = held.get(team, resources.ZERO) + placement.need
    return held


def _resend_lost_placements(cell: cells.Cell, at: float) -> list:
    """Sends placements again that are missing from the log.

    A placement was lost if the log has been read up to a time `RESEND_S`
    after it was sent and the task is still queued.
    """
    return [
        _send_placement(
            cell,
            cell.table.tasks[task_id],
            placement.need,
            placement.worker,
            at,
        )
        for task_id, placement in list(cell.view.pending.items())
        if cell.view.tail_at - placement.sent_at >= cells.RESEND_S
        and task_id in cell.table.queue
    ]


def _send_placement(
    cell: cells.Cell,
    task: cells.Task,
    need: resources.Resources,
    worker_name: str,
    at: float,
) -> effects.Append:
    """Returns the append of a placement and records it as pending."""
    cell.view.pending[task.task] = cells.PendingPlacement(
        task.attempt, worker_name, need, at
    )
    record = records.TaskPlaced(
        task.task,
        task.attempt,
        worker_name,
        cell.table.term,
        need.millicores,
        need.memory_mb,
    )
    return cells.append_record(cell, record)
