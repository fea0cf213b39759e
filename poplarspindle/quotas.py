"""Team quotas per data centre, and fair ordering of lanes.

A quota holds over all data centres, but each data centre has its own owner.
A data centre's part of a quota equals its share of the processors in service
according to the document and the instance list. Every owner computes it
without the others, and the parts add up to the quota.
"""

import heapq
from collections.abc import Iterator

from poplarspindle import backlog, cells, resources, scheduler_state


def compute_capacity(cell: cells.Cell) -> resources.Resources:
    """Returns the total capacity of a data centre's workers."""
    return sum(
        (worker.member.capacity for worker in cell.view.workers.values()),
        resources.ZERO,
    )


def compute_capacity_share(
    state: scheduler_state.SchedulerState, cell: cells.Cell
) -> float:
    """Returns a data centre's share of the processors in service."""
    local_millicores = compute_capacity(cell).millicores
    total_millicores = sum(
        compute_capacity(other).millicores
        for name, other in state.cells.items()
        if state.document.is_in_service(name)
    )
    return local_millicores / total_millicores if total_millicores else 0.0


def list_allowances(
    state: scheduler_state.SchedulerState, cell: cells.Cell
) -> dict[str, resources.Resources]:
    """Returns by team the resources it may reserve in a data centre.

    A team without a quota in the document is not limited.
    """
    declared = {
        section.team: quota
        for section in state.document.sections.values()
        if (quota := section.spec.quota) is not None
    }
    if not declared:
        return {}
    share = compute_capacity_share(state, cell)
    return {
        team: resources.Resources(
            int(quota.processors * 1000 * share),
            int(quota.memory_gb * 1000 * share),
            int(quota.accelerators * share),
        )
        for team, quota in declared.items()
    }


def is_within_quota(
    allowance: resources.Resources | None,
    held: resources.Resources,
    need: resources.Resources,
) -> bool:
    """Returns whether a team may reserve resources for one more task.

    A team that holds nothing in a data centre may always place one task
    there; otherwise an allowance smaller than one task would starve it.

    Args:
        allowance: Resources the team may reserve, None without a quota.
        held: Resources that the team holds now.
        need: Resources of the task.
    """
    if allowance is None or held == resources.ZERO:
        return True
    return (held + need).fits_in(allowance)


class LaneOrder:
    """Priority queue of lanes that may place a task.

    Lanes that may evict go first, then higher priority; within a priority
    the team with the smallest dominant share goes first (dominant resource
    fairness).

    Args:
        lanes: The lanes with queued tasks.
        held: Resources that each team holds; `charge` updates it.
        total: Capacity relative to which shares are computed.
    """

    def __init__(
        self,
        lanes: Iterator[backlog.Lane],
        held: dict[str, resources.Resources],
        total: resources.Resources,
    ) -> None:
        self.held = held
        self._total = total
        self._heap = [
            (self._rank(lane), number, lane)
            for number, lane in enumerate(lanes)
        ]
        heapq.heapify(self._heap)

    def _rank(self, lane: backlog.Lane) -> tuple:
        held = self.held.get(lane.team, resources.ZERO)
        share = held.share_of(self._total)
        return (not lane.may_evict, -lane.priority, share)

    def pop(self) -> tuple[int, backlog.Lane] | None:
        """Removes and returns the next lane and its number; None if empty."""
        while self._heap:
            rank, number, lane = heapq.heappop(self._heap)
            current_rank = self._rank(lane)
            if current_rank == rank:
                return number, lane
            heapq.heappush(self._heap, (current_rank, number, lane))
        return None

    def push_back(self, number: int, lane: backlog.Lane) -> None:
        """Adds a lane again, with its number, for a further task."""
        heapq.heappush(self._heap, (self._rank(lane), number, lane))

    def charge(self, team: str, need: resources.Resources) -> None:
        """Adds a placement to what a team holds."""
        self.held[team] = self.held.get(team, resources.ZERO) + need
