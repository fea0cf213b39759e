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

BUCKET_COUNT = 16
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
        self._buckets: list[dict[str, None]] = [{} for _ in range(BUCKET_COUNT)]
        self._max_millicores = max(
            (w.member.capacity.millicores for w in cell.view.workers.values()),
            default=1,
        )
        self._compute_free()

    def _compute_free(self) -> None:
        """Fills `free`, `arriving` and the buckets from the cell's state."""
        pending_need: dict[str, resources.Resources] = {}
        for task, placement in self.cell.view.pending.items():
            earlier_need = pending_need.get(placement.worker, resources.ZERO)
            pending_need[placement.worker] = earlier_need + placement.need
            self.arriving.setdefault(placement.worker, []).append(task)
        reserved = self.cell.table.reserved
        for worker_name, worker in self.cell.view.workers.items():
            if not is_usable(self.cell, worker):
                continue
            available = worker.member.capacity
            if worker_name in reserved:
                available = available - reserved[worker_name]
            if worker_name in pending_need:
                available = available - pending_need[worker_name]
            self.free[worker_name] = available
            self._buckets[self._find_bucket(available)][worker_name] = None

    def _find_bucket(self, available: resources.Resources) -> int:
        """Returns the bucket index of an amount of free processors."""
        share = max(0, available.millicores) / max(1, self._max_millicores)
        return min(BUCKET_COUNT - 1, int(share * BUCKET_COUNT))

    def reserve(self, task: cells.Task, worker_name: str, need) -> None:
        """Reserves `need` on a worker for a task and updates its mix."""
        self.claim(worker_name, need)
        self.arriving.setdefault(worker_name, []).append(task.task)
        mix = self._mixes.get(worker_name)
        if mix is None:
            return
        service = records.name_service(task.job.job)
        if service:
            colocation.add_service(self.state, mix, service, 1)
        else:
            total_millicores = self.cell.view.workers[
                worker_name
            ].member.capacity.millicores
            share = need.millicores / max(1, total_millicores)
            colocation.add_share(self.state, mix, task.job.family, share)

    def claim(self, worker_name: str, need: resources.Resources) -> None:
        """Subtracts `need` from the free capacity of a worker."""
        del self._buckets[self._find_bucket(self.free[worker_name])][
            worker_name
        ]
        self.free[worker_name] = self.free[worker_name] - need
        self._buckets[self._find_bucket(self.free[worker_name])][
            worker_name
        ] = None

    def find_mix(self, worker_name: str) -> colocation.Mix:
        """Returns what runs on a worker, including tasks arriving there."""
        if worker_name not in self._mixes:
            self._mixes[worker_name] = colocation.describe_worker(
                self.state,
                self.cell,
                self.cell.view.workers[worker_name],
                colocation.list_tasks(self.cell, worker_name, self.arriving),
            )
        return self._mixes[worker_name]

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
        for bucket in reversed(self._buckets[self._find_bucket(need) :]):
            for worker_name in bucket:
                if (
                    need.fits_in(self.free[worker_name])
                    and (
                        lane.may_evict
                        or self.kept.get(worker_name, lane) == lane
                    )
                    and quarantine.is_allowed(histories, worker_name, self.at)
                ):
                    fitting.append(worker_name)
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


def compute_reserved_share(
    free_capacity: FreeCapacity, worker_name: str
) -> float:
    """Returns the reserved dominant share of a worker's capacity."""
    capacity = free_capacity.cell.view.workers[worker_name].member.capacity
    return (capacity - free_capacity.free[worker_name]).share_of(capacity)


# Arguments: free capacity, the task, resources it reserves, names of workers
# that can hold it, random generator. Returns the name of the worker.
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
        key=lambda worker_name: (
            compute_reserved_share(free_capacity, worker_name),
            worker_name,
        ),
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

        def compute_cost(worker_name: str) -> float:
            return _compute_service_cost(
                free_capacity, service, racks, worker_name
            )
    else:

        def compute_cost(worker_name: str) -> float:
            return _compute_batch_cost(free_capacity, task, need, worker_name)

    return min(
        fitting,
        key=lambda worker_name: (compute_cost(worker_name), worker_name),
    )


def _compute_batch_cost(
    free_capacity: FreeCapacity, task, need, worker_name: str
) -> float:
    """Returns the cost of placing batch work on a worker.

    Capacity on a worker without services has a cost too: batch work that
    slows no service leaves it to batch work that does.
    """
    total_millicores = free_capacity.cell.view.workers[
        worker_name
    ].member.capacity.millicores
    share = need.millicores / max(1, total_millicores)
    mix = free_capacity.find_mix(worker_name)
    harm = colocation.compute_family_cost(
        free_capacity.state, mix, task.job.family, share
    )
    unmeasured_cost = mix.unmeasured_replicas * share
    no_service_cost = 0.0 if mix.replicas else NO_SERVICE_COST * share
    balance_cost = BALANCE_WEIGHT * compute_reserved_share(
        free_capacity, worker_name
    )
    return harm + unmeasured_cost + no_service_cost + balance_cost


def is_harmful(
    free_capacity: FreeCapacity, family: str, need, worker_name: str
) -> bool:
    """Returns whether batch work would push a service over its target.

    Only service and family pairs with a trusted weight count.
    """
    total_millicores = free_capacity.cell.view.workers[
        worker_name
    ].member.capacity.millicores
    share = need.millicores / max(1, total_millicores)
    mix = free_capacity.find_mix(worker_name)
    return any(
        interference.is_trusted(
            free_capacity.state.slowdown, colocated.service, family
        )
        and colocation.compute_log_ratio_after(
            free_capacity.state, colocated, family, share
        )
        > 0
        for colocated in mix.services.values()
    )


def _compute_service_cost(
    free_capacity: FreeCapacity, service: str, racks, worker_name: str
) -> float:
    """Returns the cost of placing a replica of a service on a worker.

    `racks` holds the number of the service's replicas by rack.
    """
    mix = free_capacity.find_mix(worker_name)
    same_worker = mix.replicas.get(service, 0)
    rack = free_capacity.cell.view.workers[worker_name].member.rack
    is_first_service = not mix.replicas
    return (
        colocation.compute_service_cost(free_capacity.state, mix, service)
        + FIRST_SERVICE_COST * is_first_service
        + SAME_WORKER_COST * same_worker
        + SAME_RACK_COST * racks.get(rack, 0)
        + BALANCE_WEIGHT * compute_reserved_share(free_capacity, worker_name)
    )


def _count_racks(free_capacity: FreeCapacity, service: str) -> dict[str, int]:
    """Counts a service's replicas by rack."""
    counts: dict[str, int] = {}
    for worker_name in free_capacity.free:
        replicas = free_capacity.find_mix(worker_name).replicas.get(service, 0)
        if replicas:
            rack = free_capacity.cell.view.workers[worker_name].member.rack
            counts[rack] = counts.get(rack, 0) + replicas
    return counts


POLICIES: dict[str, Policy] = {
    "random": pick_random,
    "first_fit": pick_first_fit,
    "least_loaded": pick_least_loaded,
    "evict_first": pick_least_loaded,
    "chosen": pick_least_harm,
}
LEARNING_POLICIES = frozenset({"chosen"})
