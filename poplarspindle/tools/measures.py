"""What a replay measures, and the promises it checks."""

import dataclasses
import itertools
import math

from poplarspindle import cells, records, resources
from poplarspindle.tools import traces, virtual

GRACE_S = 3.0
WATCH_PERIOD_S = 1.0
EPSILON_S = 1e-6
PERCENTILES = (50.0, 99.0, 99.9)


@dataclasses.dataclass(frozen=True)
class Summary:
    """Figures of one policy on one trace.

    Attributes:
        latencies_ms: By service: p50, p99 and p99.9.
        p99_over_target: Mean over the services of p99 / target.
        batch_core_s: Batch work done, core-seconds.
        evictions: Evictions by reason.
        drain_done_core_s: Batch work done while a data centre was out.
        drain_allowed_core_s: What the remaining capacity allowed at most.
        urgent_p99_s: From submission to start of urgent work, p99.
        started: Attempts started.
        finished: Tasks finished.
        failed: Tasks failed.
        queued: Tasks queued at the end.
        violations: Broken promises, by name.
        decision_ms: Time for one placement, p50 and p99, wall clock.
        tick_ms: Time for one whole tick, p50 and p99, wall clock.
    """

    policy: str
    latencies_ms: dict[str, tuple[float, ...]]
    p99_over_target: float
    batch_core_s: float
    evictions: dict[str, int]
    drain_done_core_s: float
    drain_allowed_core_s: float
    urgent_p99_s: float
    started: int
    finished: int
    failed: int
    queued: int
    violations: dict[str, int]
    decision_ms: tuple[float, float]
    tick_ms: tuple[float, float]


def find_percentile(values: list[float], percent: float) -> float:
    """Returns a percentile by nearest rank; 0.0 of nothing."""
    if not values:
        return 0.0
    ordered = sorted(values)
    rank = math.ceil(percent / 100 * len(ordered)) - 1
    return ordered[max(0, rank)]


class Watch:
    """Takes measures during a replay.

    Args:
        trace: The trace that is replayed.
    """

    def __init__(self, trace: traces.Trace) -> None:
        self.over_capacity = 0
        self.drain_done = 0.0
        self.drain_allowed = 0.0
        self._outs = find_outs(trace)
        self._work_before = 0.0
        self._watched_at = 0.0

    def __call__(self, loop: virtual.Loop) -> None:
        """Looks at a replay after a tick."""
        passed = loop.now - self._watched_at
        if passed < WATCH_PERIOD_S - EPSILON_S:
            return
        self._watched_at = loop.now
        self.over_capacity += sum(
            _count_over_capacity(cell) for cell in loop.state.cells.values()
        )
        work = sum_work(loop)
        out = [
            centre
            for centre, began, ended in self._outs
            if began <= loop.now < ended
        ]
        if out:
            self.drain_done += work - self._work_before
            self.drain_allowed += passed * find_allowed(loop, out)
        self._work_before = work


def find_outs(trace: traces.Trace) -> list[tuple[str, float, float]]:
    """Returns for each time out: data centre, from when, until when."""
    found = []
    since: dict[str, float] = {}
    for line in trace.happenings:
        if not isinstance(line, traces.DataCentre):
            continue
        if not line.in_service:
            since.setdefault(line.data_centre, line.at_s)
        elif line.data_centre in since:
            began = since.pop(line.data_centre)
            found.append((line.data_centre, began, line.at_s))
    end = trace.head.duration_s
    return found + [(name, began, end) for name, began in since.items()]


def sum_work(loop: virtual.Loop) -> float:
    """Returns the batch work done so far, core-seconds."""
    return sum(m.batch_core_s for m in loop.machines.values())


def find_allowed(loop: virtual.Loop, out: list[str]) -> float:
    """Returns the processors that batch could use at most.

    That is what is asked for, or else what the services leave free in the
    data centres that stay, as if work could be cut to any size. Of what is
    reserved, batch uses only a part: more than that cannot be allowed.
    """
    free = wanted = reserved = 0
    for name, cell in loop.state.cells.items():
        for task in cell.table.tasks.values():
            if task.phase in cells.ENDED:
                continue
            if not records.name_service(task.job.job):
                wanted += loop.world.find_truth(task.task).millicores
                reserved += task.need.millicores
            elif task.phase in cells.HOLDING and name not in out:
                free -= task.need.millicores
    free += sum(
        m.member.capacity.millicores
        for m in loop.machines.values()
        if m.member.data_centre not in out and m.state != "dead"
    )
    used_share = min(1.0, wanted / max(1, reserved))
    return max(0, min(free * used_share, wanted)) / 1000


def _count_over_capacity(cell: cells.Cell) -> int:
    return sum(
        not cell.table.reserved.get(name, resources.ZERO).fits_in(
            worker.member.capacity
        )
        for name, worker in cell.view.workers.items()
    )


def list_intervals(loop: virtual.Loop) -> list[tuple]:
    """Returns task, attempt, start, end, cause, worker of each run."""
    return [
        (*interval, name)
        for name, machine in loop.machines.items()
        for interval in machine.intervals
    ]


def count_violations(loop: virtual.Loop, watch: Watch) -> dict[str, int]:
    """Counts broken promises; all must be 0."""
    runs = list_intervals(loop)
    centres = {n: m.member.data_centre for n, m in loop.machines.items()}
    outs = find_outs(loop.trace)
    return {
        "over_capacity": watch.over_capacity
        + sum(m.refused for m in loop.machines.values()),
        "starts_while_out": sum(
            centres[run[5]] == centre and began + GRACE_S < run[2] < ended
            for run in runs
            for centre, began, ended in outs
        ),
        "two_places": sum(
            a[3] is None or a[3] > b[2] + EPSILON_S for a, b in _pair_runs(runs)
        ),
        "attempt_run_twice": len(runs) - len({run[:2] for run in runs}),
        "run_after_finish": sum(
            a[4] == "finished" for a, _ in _pair_runs(runs)
        ),
    }


def _pair_runs(runs: list[tuple]):
    """Yields consecutive runs of the same task."""
    ordered = sorted(runs, key=lambda run: (run[0], run[2]))
    return ((a, b) for a, b in itertools.pairwise(ordered) if a[0] == b[0])


def _find_urgent_waits(loop: virtual.Loop) -> list[float]:
    """Returns from submission to first start, or the end, of urgent work."""
    started: dict[str, float] = {}
    for run in list_intervals(loop):
        started[run[0]] = min(run[2], started.get(run[0], run[2]))
    return [
        started.get(task.task, loop.now) - loop.submitted[task.job.job]
        for cell in loop.state.cells.values()
        for task in cell.table.tasks.values()
        if task.job.urgent and task.phase is not cells.Phase.MOVED
    ]


def summarize(policy: str, loop: virtual.Loop, watch: Watch) -> Summary:
    """Returns the figures of a finished replay."""
    latencies = {
        name: tuple(
            round(find_percentile(found, percent), 1) for percent in PERCENTILES
        )
        for name, found in sorted(loop.world.latencies.items())
    }
    ratios = [
        latencies[name][1] / loop.world.targets_ms[name] for name in latencies
    ]
    return Summary(
        policy,
        latencies,
        round(sum(ratios) / max(1, len(ratios)), 3),
        round(sum_work(loop), 1),
        dict(loop.evictions),
        round(watch.drain_done, 1),
        round(watch.drain_allowed, 1),
        round(find_percentile(_find_urgent_waits(loop), 99), 2),
        sum(len(m.intervals) for m in loop.machines.values()),
        loop.counts["finished"],
        loop.counts["failed"],
        sum(len(cell.table.queue) for cell in loop.state.cells.values()),
        count_violations(loop, watch),
        _find_spread_ms(loop.decision_s),
        _find_spread_ms(loop.tick_s),
    )


def _find_spread_ms(values: list[float]) -> tuple[float, float]:
    return tuple(
        round(find_percentile(values, percent) * 1000, 3)
        for percent in (50, 99)
    )
