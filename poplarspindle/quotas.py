"""Quotas of teams: each data centre's part, and whose turn it is.

A quota holds over all data centres, but each has its own owner. Its part of
a quota is its part of the capacity in service, by the document and the
instance list: every owner reckons it alone, and the parts add up.
"""

import heapq
from collections.abc import Iterator

from poplarspindle import backlog, cells, resources, scheduler_state


def compute_capacity(cell: cells.Cell) -> resources.Resources:
    """Returns what all workers of a data centre offer."""
    return sum(
        (worker.member.capacity for worker in cell.view.workers.values()),
        resources.ZERO,
    )


def compute_capacity_share(
    state: scheduler_state.SchedulerState, cell: cells.Cell
) -> float:
    """Returns a data centre's part of the processors in service."""
    here = compute_capacity(cell).millicores
    total = sum(
        compute_capacity(other).millicores
        for name, other in state.cells.items()
        if state.document.is_in_service(name)
    )
    return here / total if total else 0.0


def list_allowances(
    state: scheduler_state.SchedulerState, cell: cells.Cell
) -> dict[str, resources.Resources]:
    """Returns by team what it may reserve in a data centre.

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
    """Tells whether a team may reserve one more task.

    A team that holds nothing in a data centre may always have one task
    there: a part too small for one task would starve it.
    """
    if allowance is None or held == resources.ZERO:
        return True
    return (held + need).fits_in(allowance)


class LaneOrder:
    """Lanes in the order in which they may place their first task.

    Pressing lanes go first, then higher priority; within a priority the
    team with the least dominant share goes first.

    Args:
        lanes: The lanes with queued tasks.
        held: What each team holds; kept up to date by `charge`.
        total: Capacity that counts as a whole share.
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
        """Returns the lane whose turn it is, with its number."""
        while self._heap:
            rank, number, lane = heapq.heappop(self._heap)
            present = self._rank(lane)
            if present == rank:
                return number, lane
            heapq.heappush(self._heap, (present, number, lane))
        return None

    def push_back(self, number: int, lane: backlog.Lane) -> None:
        """Lets a lane have further turns."""
        heapq.heappush(self._heap, (self._rank(lane), number, lane))

    def charge(self, team: str, need: resources.Resources) -> None:
        """Counts a placement for a team."""
        self.held[team] = self.held.get(team, resources.ZERO) + need
