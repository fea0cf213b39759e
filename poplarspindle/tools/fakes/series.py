"""Seeded walks of a virtual fleet: series of disturbances, then calm.

Load pattern: a few disturbances within seconds, each of which begins waits of
its own, and then nothing for longer than any wait may last. Work that lasts
fills half of the room; beside it, work that ends by itself comes and goes.
"""

import dataclasses
import random
from collections.abc import Callable

from poplarspindle import resources
from poplarspindle.fleet import work
from poplarspindle.tools.fakes import (
    bookkeeping,
    crashing,
    fleet_workers,
    fleets,
    judging,
    series_strikes,
)

SETTLED_S = 2.0  # All that lasts is at work then.
SERIES_S = 3.0
STRIKES = (2, 4)  # Of a series, at least and at most.
CALM_S = 12.0
LAST_CALM_S = 18.0  # Jobs that end are judged 14 s after the last one.
PATIENCE_S = 60.0  # What is late is carried out by then.
CORES = 8  # Of each worker.
LASTING_SHARE = 0.5  # Of the room.
LASTING_CORES = 3  # Of a task, at most.
ENDING_TASKS = 4  # Of a job.
# Of jobs that last; each has workers in plenty that meet it.
LASTING_OPTIONS = (
    {},
    {},
    {"image": "s", "target_ms": 9},
    {"max_per_worker": 2},
    {"label": "r0"},
    {"max_unavailable": 1},
)

Strike = Callable[[fleets.World], None]


@dataclasses.dataclass(frozen=True, slots=True)
class Plan:
    """What befalls a fleet on a walk, and what it has to do.

    Attributes:
        strikes: Disturbances to choose from.
        workers: Number of workers.
        ending_share: Processors that work that ends by itself would use, as a
            share of all; over 1 it arrives faster than it can run.
        run_s: How long such a task takes, at least and at most.
        append_s: How long the store takes for an append.
        order_s: How long an order waits in the owner, and then its answer.
        late_s: How late orders are, at least and at most.
        series: Number of series.
        deadly: Whether some jobs crash the workers that start them.
        down_s: For how long such a worker is down.
        best_effort: Share of the jobs that end whose tasks are best-effort.
        unending: Whether such work arrives up to the end of the walk; always
            where it arrives faster than all workers could run it.
        ending_cores: Processors of a task of it, at most.
        lasting_share: Share of the room that work that lasts fills.
        lasting_cores: Processors of a task of it, at most.
        lasting_options: Options of its steps to choose from.
    """

    strikes: tuple[Strike, ...]
    workers: int = 4
    ending_share: float = 0.2
    run_s: tuple[float, float] = (0.3, 2.5)
    append_s: float = fleets.APPEND_S
    order_s: float = fleets.ORDER_S
    late_s: tuple[float, float] = (0.5, 9.0)
    series: int = 2
    deadly: bool = False
    down_s: float = 1.0
    best_effort: float = 0.0
    unending: bool = False
    ending_cores: int = 1
    lasting_share: float = LASTING_SHARE
    lasting_cores: int = LASTING_CORES
    lasting_options: tuple[dict, ...] = LASTING_OPTIONS


@dataclasses.dataclass(frozen=True, slots=True)
class Blow:
    """A disturbance of a series.

    Attributes:
        at_s: When it begins, seconds after the series does.
        strike: What it is.
    """

    at_s: float
    strike: Strike


Script = tuple[tuple[Blow, ...], ...]  # The series of a walk.


def draw_script(rng: random.Random, plan: Plan) -> Script:
    """Draws the disturbances of a walk."""
    return tuple(
        tuple(
            Blow(at_s, rng.choice(plan.strikes))
            for at_s in sorted(
                rng.uniform(0.0, SERIES_S) for _ in range(rng.randint(*STRIKES))
            )
        )
        for _ in range(plan.series)
    )


def draw_for_seed(seed: int, plan: Plan) -> Script:
    """Draws the disturbances of the walk of a seed."""
    rng = random.Random(seed)
    _draw_lasting(rng, plan)
    return draw_script(rng, plan)


def list_faults(seed: int, plan: Plan) -> list[str]:
    """Walks, and lists what was broken."""
    return list_faults_of(walk(seed, plan))


def list_faults_of(world: fleets.World) -> list[str]:
    """Lists what was broken on a walk."""
    return (
        world.list_violations()
        + world.checker.violations
        + judging.list_wrong_states(world)
        + bookkeeping.list_lost_tasks(world.fleet)
        + crashing.list_started_too_often(world)
    )


def walk(seed: int, plan: Plan, script: Script | None = None) -> fleets.World:
    """Walks; returns the world at the end.

    Args:
        seed: Seed of all chance.
        plan: The plan.
        script: The disturbances, None to draw them.
    """
    world = fleets.World(
        seed,
        plan.workers,
        run_s=lambda rng: rng.uniform(*plan.run_s),
        late_s=plan.late_s,
        late_incarnations=True,
        make_worker=_make_workers(plan),
    )
    world.append_s, world.order_s = plan.append_s, plan.order_s
    # Another source of chance: what arrives does not change the strikes.
    rng = random.Random(seed)
    arrivals = _Arrivals(world, plan, random.Random(seed))
    world.run(SETTLED_S)
    for number, step in enumerate(_draw_lasting(rng, plan)):
        world.submit(f"f{number:015x}", step)
    if script is None:
        script = draw_script(rng, plan)
    world.run(SETTLED_S)
    arrivals.begin()
    for number, blows in enumerate(script):
        for blow in blows:
            world.call_later(blow.at_s, lambda blow=blow: blow.strike(world))
        world.run(SERIES_S)
        is_last = number == len(script) - 1
        if is_last and plan.ending_share < 1 and not plan.unending:
            arrivals.end()
        _run_until_calm(world, LAST_CALM_S if arrivals.is_over else CALM_S)
    return world


def _make_workers(plan: Plan) -> Callable:
    if not plan.deadly:
        return fleet_workers.FakeWorker
    return crashing.make_worker(
        crashing.Crashes(
            lambda name: name.job.startswith(series_strikes.DEADLY),
            down_s=plan.down_s,
            renamed=False,
            delay_s=0.3,
        )
    )


def _run_until_calm(world: fleets.World, calm_s: float) -> None:
    """Lets time pass until all has been calm for a while."""
    until = world.now + PATIENCE_S
    while world.now < world.calm.disturbed_at + calm_s and world.now < until:
        world.run(fleets.TICK_S)


def _draw_lasting(rng: random.Random, plan: Plan) -> list[work.Step]:
    """Draws steps that last, until they fill their share of the room."""
    steps = []
    left = int(plan.lasting_share * plan.workers * CORES)
    while left:
        cores = rng.randint(1, min(plan.lasting_cores, left))
        tasks = rng.randint(1, min(ENDING_TASKS, left // cores))
        need = resources.Resources(1000 * cores, 1000 * cores, 0)
        options = rng.choice(plan.lasting_options)
        steps.append(
            work.Step(tasks, need, 500, until_cancelled=True, **options)
        )
        left -= tasks * cores
    return steps


class _Arrivals:
    """Hands in jobs that end by themselves, at a steady rate.

    Args:
        world: The world.
        plan: The plan of the walk.
        rng: Source of chance.

    Attributes:
        is_over: Whether it hands in no more.
    """

    def __init__(
        self, world: fleets.World, plan: Plan, rng: random.Random
    ) -> None:
        self._world = world
        run_s = sum(plan.run_s) / 2
        cores = plan.ending_share * plan.workers * CORES
        mean_cores = (1 + plan.ending_cores) / 2
        self._interval_s = ENDING_TASKS * run_s * mean_cores / cores
        self._most_cores = plan.ending_cores
        self._estimate_ms = int(1000 * run_s)
        self._best_effort = plan.best_effort
        self._rng = rng
        self._number = 0
        self.is_over = False

    def begin(self) -> None:
        """Begins."""
        if self.is_over:
            return
        cores = 1
        if self._most_cores > 1:
            cores = self._rng.randint(1, self._most_cores)
        need = resources.Resources(1000 * cores, 1000 * cores, 0)
        step = work.Step(ENDING_TASKS, need, self._estimate_ms)
        if self._rng.random() < self._best_effort:
            step = dataclasses.replace(step, best_effort=True, image="f")
        self._world.submit(f"{self._number:016x}", step)
        self._number += 1
        self._world.call_later(self._interval_s, self.begin)

    def end(self) -> None:
        """Hands in no more."""
        self.is_over = True
