"""Placement policies: functions that choose the worker for a task."""

import random
from collections.abc import Callable

from poplarspindle import (
    cells,
    colocation,
    interference,
    quarantine,
    records,
    reports,
    resources,
    scheduler_state,
)

BUCKETS = 16
MAX_CANDIDATES = 32
BALANCE_WEIGHT = 0.1
SAME_WORKER_COST = 1.0
SAME_RACK_COST = 0.2
FIRST_SERVICE_COST = 0.6
NO_SERVICE_COST = 2.0


class FreeCapacity:
    """Free capacity of a data centre's workers, computed once per tick.

    Reservations and placements not yet read back from the log are
    subtracted. Workers are grouped into buckets by free processors.

    Attributes:
        free: Free capacity by worker.
        kept: By worker, the lane for which its capacity is kept.
        arriving: By worker, ids of tasks placed but not read back.
    """

    def __init__(
        self, state: scheduler_state.SchedulerState, cell: cells.Cell, at: float
    ) -> None:
        self.state = state
        self.cell = cell
        self.at = at
        self.free: dict[str, resources.Resources] = {}
        self.kept = dict(cell.view.kept)
        self.arriving: dict[str, list[str]] = {}
        self._mixes: dict[str, colocation.Mix] = {}
        self._buckets: list[dict[str, None]] = [{} for _ in range(BUCKETS)]
        self._most = max(
            (w.member.capacity.millicores for w in cell.view.workers.values()),
            default=1,
        )
        self._find_rooms()

    def _find_rooms(self) -> None:
        pending_need: dict[str, resources.Resources] = {}
        for task, sent in self.cell.view.pending.items():
            before = pending_need.get(sent.worker, resources.ZERO)
            pending_need[sent.worker] = before + sent.need
            self.arriving.setdefault(sent.worker, []).append(task)
        reserved = self.cell.table.reserved
        for name, worker in self.cell.view.workers.items():
            if not is_usable(self.cell, worker):
                continue
            room = worker.member.capacity
            if name in reserved:
                room = room - reserved[name]
            if name in pending_need:
                room = room - pending_need[name]
            self.free[name] = room
            self._buckets[self._bucket(room)][name] = None

    def _bucket(self, room: resources.Resources) -> int:
        share = max(0, room.millicores) / max(1, self._most)
        return min(BUCKETS - 1, int(share * BUCKETS))

    def take(self, task: cells.Task, name: str, need) -> None:
        """Reserves `need` on worker `name` for a task and updates its mix."""
        self.claim(name, need)
        self.arriving.setdefault(name, []).append(task.task)
        mix = self._mixes.get(name)
        if mix is None:
            return
        service = records.name_service(task.job.job)
        if service:
            colocation.add_service(self.state, mix, service, 1)
        else:
            whole = self.cell.view.workers[name].member.capacity.millicores
            share = need.millicores / max(1, whole)
            colocation.add_share(self.state, mix, task.job.family, share)

    def claim(self, name: str, need: resources.Resources) -> None:
        """Subtracts `need` from the free capacity of worker `name`."""
        del self._buckets[self._bucket(self.free[name])][name]
        self.free[name] = self.free[name] - need
        self._buckets[self._bucket(self.free[name])][name] = None

    def find_mix(self, name: str) -> colocation.Mix:
        """Returns what runs on a worker, including tasks arriving there."""
        if name not in self._mixes:
            self._mixes[name] = colocation.describe_worker(
                self.state,
                self.cell,
                self.cell.view.workers[name],
                colocation.list_tasks(self.cell, name, self.arriving),
            )
        return self._mixes[name]

    def list_fitting(
        self, need, lane, max_count: int | None = None
    ) -> list[str]:
        """Returns workers that can hold a task, most free processors first.

        Args:
            need: Resources to reserve.
            lane: The task's lane; workers kept for another lane are skipped
                unless this lane may evict.
            max_count: Maximum number of workers returned; None for all.
        """
        fitting = []
        histories = self.state.failures.workers
        for bucket in reversed(self._buckets[self._bucket(need) :]):
            for name in bucket:
                if (
                    need.fits_in(self.free[name])
                    and (lane.may_evict or self.kept.get(name, lane) == lane)
                    and quarantine.is_allowed(histories, name, self.at)
                ):
                    fitting.append(name)
                    if len(fitting) == max_count:
                        return fitting
        return fitting


def is_usable(cell: cells.Cell, worker: cells.Worker) -> bool:
    """Returns whether tasks may be placed on a worker at all."""
    return (
        worker.reached
        and not worker.has_unknown_runs
        and worker.fenced_term == cell.table.term
        and worker.member.presence is reports.Presence.LIVE
    )


def compute_reserved_share(free_capacity: FreeCapacity, name: str) -> float:
    """Returns the reserved dominant share of a worker's capacity."""
    capacity = free_capacity.cell.view.workers[name].member.capacity
    return (capacity - free_capacity.free[name]).share_of(capacity)


Policy = Callable[
    [FreeCapacity, cells.Task, resources.Resources, list[str], random.Random],
    str,
]


def pick_random(free_capacity, task, need, fitting, rng):
    """Picks a random worker among those that fit."""
    return rng.choice(sorted(fitting))


def pick_first_fit(free_capacity, task, need, fitting, rng):
    """Picks the first worker by name among those that fit."""
    return min(fitting)


def pick_least_loaded(free_capacity, task, need, fitting, rng):
    """Picks the worker with the smallest reserved share."""
    return min(
        fitting,
        key=lambda name: (compute_reserved_share(free_capacity, name), name),
    )


def pick_least_harm(free_capacity, task, need, fitting, rng):
    """Picks the worker where services' tail latency grows least.

    Replicas of one service are spread over workers and racks. Different
    services are packed together, so that more workers run no service and
    batch work there slows none.
    """
    service = records.name_service(task.job.job)
    if service:
        racks = _count_racks(free_capacity, service)

        def weigh(name: str) -> float:
            return _compute_service_cost(free_capacity, service, racks, name)
    else:

        def weigh(name: str) -> float:
            return _compute_batch_cost(free_capacity, task, need, name)

    return min(fitting, key=lambda name: (weigh(name), name))


def _compute_batch_cost(
    free_capacity: FreeCapacity, task, need, name: str
) -> float:
    """Returns the cost of placing batch work on a worker.

    Capacity on a worker without services has a cost too: batch work that
    slows no service leaves it to batch work that does.
    """
    whole = free_capacity.cell.view.workers[name].member.capacity.millicores
    share = need.millicores / max(1, whole)
    mix = free_capacity.find_mix(name)
    harm = colocation.compute_family_cost(
        free_capacity.state, mix, task.job.family, share
    )
    unknown = mix.unknown * share
    clean = 0.0 if mix.replicas else NO_SERVICE_COST * share
    balance = BALANCE_WEIGHT * compute_reserved_share(free_capacity, name)
    return harm + unknown + clean + balance


def is_harmful(
    free_capacity: FreeCapacity, family: str, need, name: str
) -> bool:
    """Returns whether batch work would push a service over its target.

    Only service and family pairs with a trusted weight count.
    """
    whole = free_capacity.cell.view.workers[name].member.capacity.millicores
    share = need.millicores / max(1, whole)
    mix = free_capacity.find_mix(name)
    return any(
        interference.is_trusted(
            free_capacity.state.slowdown, beside.service, family
        )
        and colocation.find_ratio_after(
            free_capacity.state, beside, family, share
        )
        > 0
        for beside in mix.services.values()
    )


def _compute_service_cost(
    free_capacity: FreeCapacity, service: str, racks, name: str
) -> float:
    mix = free_capacity.find_mix(name)
    same = mix.replicas.get(service, 0)
    rack = free_capacity.cell.view.workers[name].member.rack
    first = not mix.replicas
    return (
        colocation.compute_service_cost(free_capacity.state, mix, service)
        + FIRST_SERVICE_COST * first
        + SAME_WORKER_COST * same
        + SAME_RACK_COST * racks.get(rack, 0)
        + BALANCE_WEIGHT * compute_reserved_share(free_capacity, name)
    )


def _count_racks(free_capacity: FreeCapacity, service: str) -> dict[str, int]:
    """Counts a service's replicas by rack."""
    counts: dict[str, int] = {}
    for name in free_capacity.free:
        replicas = free_capacity.find_mix(name).replicas.get(service, 0)
        if replicas:
            rack = free_capacity.cell.view.workers[name].member.rack
            counts[rack] = counts.get(rack, 0) + replicas
    return counts


POLICIES: dict[str, Policy] = {
    "random": pick_random,
    "first_fit": pick_first_fit,
    "least_loaded": pick_least_loaded,
    "evict_first": pick_least_loaded,
    "chosen": pick_least_harm,
}
LEARNING = frozenset({"chosen"})
