"""Describes what runs together on a worker and its effect on tail latency."""

import dataclasses
import math

from poplarspindle import cells, interference, records, scheduler_state

FULL_PER_MILLE = 1000
DEFAULT_TARGET_MS = 200.0
COMFORTABLE_RATIO = 0.7
EXCESS_WEIGHT = 8.0
MAX_RATIO = 50.0


@dataclasses.dataclass(slots=True)
class ColocatedService:
    """One service on a worker.

    Attributes:
        service: Its name.
        replicas: Number of its tasks on the worker.
        factor: How strongly batch work slows it at its load.
        log_ms: Logarithm of its predicted tail latency now, milliseconds.
        log_target: Logarithm of its target, milliseconds.
    """

    service: str
    replicas: int
    factor: float
    log_ms: float
    log_target: float


@dataclasses.dataclass(slots=True)
class Mix:
    """What runs on one worker.

    Attributes:
        shares: Share of the worker's processors by batch family.
        services: Measured services there, by name.
        replicas: Number of replicas by service, measured or not.
    """

    shares: dict[str, float]
    services: dict[str, ColocatedService]
    replicas: dict[str, int] = dataclasses.field(default_factory=dict)

    @property
    def unmeasured_replicas(self) -> int:
        """Replicas of services that were never measured."""
        return sum(
            count
            for name, count in self.replicas.items()
            if name not in self.services
        )


def find_share(cell: cells.Cell, worker: cells.Worker, task: cells.Task):
    """Returns a batch task's share of its worker's processors, throttled."""
    throttle = cell.view.throttles.get(task.task)
    is_throttled = throttle is not None and throttle.attempt == task.attempt
    per_mille = throttle.per_mille if is_throttled else FULL_PER_MILLE
    total_millicores = max(1, worker.member.capacity.millicores)
    return task.need.millicores / total_millicores * per_mille / FULL_PER_MILLE


def list_tasks(
    cell: cells.Cell, worker_name: str, arriving: dict[str, list[str]]
) -> list[cells.Task]:
    """Returns the tasks that hold a worker or are arriving there."""
    held = cell.table.held.get(worker_name, ())
    return [
        cell.table.tasks[task_id]
        for task_id in sorted({*held, *arriving.get(worker_name, ())})
        if task_id in cell.table.tasks
    ]


def describe_worker(
    state: scheduler_state.SchedulerState,
    cell: cells.Cell,
    worker: cells.Worker,
    tasks: list[cells.Task],
) -> Mix:
    """Returns the mix of the given tasks on one worker."""
    mix = Mix({}, {})
    replicas: dict[str, int] = {}
    for task in tasks:
        name = records.name_service(task.job.job)
        if name:
            replicas[name] = replicas.get(name, 0) + 1
            continue
        share = find_share(cell, worker, task)
        family = task.job.family
        mix.shares[family] = mix.shares.get(family, 0.0) + share
    for name, count in replicas.items():
        add_service(state, mix, name, count)
    return mix


def add_service(
    state: scheduler_state.SchedulerState, mix: Mix, name: str, count: int
) -> None:
    """Adds replicas of a service to a mix."""
    mix.replicas[name] = mix.replicas.get(name, 0) + count
    terms = state.slowdown.services.get(name)
    if terms is None:
        return
    service_state = mix.services.get(name)
    if service_state is not None:
        service_state.replicas += count
        return
    load = max(terms.load, terms.peak)
    latency = interference.predict(state.slowdown, name, mix.shares, load)
    mix.services[name] = ColocatedService(
        name,
        count,
        interference.compute_load_factor(load),
        math.log(latency),
        math.log(find_target_ms(state, name)),
    )


def add_share(
    state: scheduler_state.SchedulerState, mix: Mix, family: str, share: float
) -> None:
    """Adds batch work of a family to a mix."""
    mix.shares[family] = mix.shares.get(family, 0.0) + share
    for colocated in mix.services.values():
        weight = state.slowdown.find_weight(colocated.service, family).mean
        colocated.log_ms += colocated.factor * weight * share


def find_target_ms(
    state: scheduler_state.SchedulerState, service: str
) -> float:
    """Returns a service's target in the document, or the default."""
    declared = state.document.find_service(service)
    return declared[1].target_ms if declared else DEFAULT_TARGET_MS


def compute_tail_cost(log_ratio: float) -> float:
    """Returns the cost of a tail latency.

    It grows with the ratio, and quadratically above COMFORTABLE_RATIO.

    Args:
        log_ratio: Logarithm of tail latency over target.
    """
    ratio = min(math.exp(min(log_ratio, 10.0)), MAX_RATIO)
    excess = max(0.0, ratio - COMFORTABLE_RATIO)
    return ratio + EXCESS_WEIGHT * excess * excess


def compute_family_cost(
    state: scheduler_state.SchedulerState, mix: Mix, family: str, share: float
) -> float:
    """Returns the cost that a family's batch work adds to the services."""
    cost = 0.0
    for colocated in mix.services.values():
        log_ratio_before = colocated.log_ms - colocated.log_target
        log_ratio_after = compute_log_ratio_after(
            state, colocated, family, share
        )
        cost += colocated.replicas * (
            compute_tail_cost(log_ratio_after)
            - compute_tail_cost(log_ratio_before)
        )
    return cost


def compute_log_ratio_after(
    state: scheduler_state.SchedulerState,
    colocated: ColocatedService,
    family: str,
    share: float,
) -> float:
    """Returns log(tail / target) of a service after batch work is added."""
    weight = state.slowdown.find_weight(colocated.service, family).mean
    log_ratio = colocated.log_ms - colocated.log_target
    return log_ratio + colocated.factor * weight * share


def compute_service_cost(
    state: scheduler_state.SchedulerState, mix: Mix, name: str
) -> float:
    """Returns the cost of the tail that a new replica would have in a mix."""
    terms = state.slowdown.services.get(name)
    if terms is None:
        return sum(mix.shares.values())
    load = max(terms.load, terms.peak)
    latency = interference.predict(state.slowdown, name, mix.shares, load)
    return compute_tail_cost(math.log(latency / find_target_ms(state, name)))
