"""Seeded walks of a virtual fleet: series of disturbances, then calm.

Load pattern: a few disturbances within seconds, each of which begins waits of
its own, and then nothing for longer than any wait may last. Work that lasts
fills half of the room; beside it, work that ends by itself comes and goes.
"""

import collections
import dataclasses
import random
from collections.abc import Callable

from poplarspindle import resources
from poplarspindle.fleet import work
from poplarspindle.tools.fakes import (
    bookkeeping,
    crashing,
    disruptions,
    fleet_workers,
    fleets,
    judging,
    messages,
    virtual_store,
)

SETTLED_S = 2.0  # All that lasts is at work then.
SERIES_S = 3.0
STRIKES = (2, 4)  # Of a series, at least and at most.
CALM_S = 12.0
LOSSES_S = 3.0
LAST_CALM_S = 18.0  # Jobs that end are judged 14 s after the last one.
PATIENCE_S = 60.0  # What is late is carried out by then.
LASTING_SHARE = 0.5  # Of the room.
LASTING_CORES = 3  # Of a task, at most.
ENDING_TASKS = 4  # Of a job.
DEADLY = "d"  # Names of jobs that crash their workers begin so.

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
        late_s: How late orders are, at least and at most.
        series: Number of series.
        deadly: Whether some jobs crash the workers that start them.
        best_effort: Share of the jobs that end whose tasks are best-effort.
    """

    strikes: tuple[Strike, ...]
    workers: int = 4
    ending_share: float = 0.2
    run_s: tuple[float, float] = (0.3, 2.5)
    append_s: float = fleets.APPEND_S
    late_s: tuple[float, float] = (0.5, 9.0)
    series: int = 2
    deadly: bool = False
    best_effort: float = 0.0


def list_faults(seed: int, plan: Plan) -> list[str]:
    """Walks, and lists what was broken."""
    world = walk(seed, plan)
    return (
        world.list_violations()
        + world.checker.violations
        + judging.list_wrong_states(world)
        + bookkeeping.list_lost_tasks(world.fleet)
    )


def walk(seed: int, plan: Plan) -> fleets.World:
    """Walks; returns the world at the end."""
    world = fleets.World(
        seed,
        plan.workers,
        run_s=lambda rng: rng.uniform(*plan.run_s),
        late_s=plan.late_s,
        late_incarnations=True,
        make_worker=_make_workers(plan),
    )
    world.append_s = plan.append_s
    # Another source of chance: what arrives does not change the strikes.
    rng = random.Random(seed)
    arrivals = _Arrivals(world, plan, random.Random(seed))
    world.run(SETTLED_S)
    _submit_lasting(world, rng)
    world.run(SETTLED_S)
    arrivals.begin()
    for number in range(plan.series):
        for at_s in sorted(
            rng.uniform(0.0, SERIES_S) for _ in range(rng.randint(*STRIKES))
        ):
            strike = rng.choice(plan.strikes)
            world.call_later(at_s, lambda strike=strike: strike(world))
        world.run(SERIES_S)
        is_last = number == plan.series - 1
        if is_last and plan.ending_share < 1:
            arrivals.end()
        _run_until_calm(world, LAST_CALM_S if arrivals.is_over else CALM_S)
    return world


def _make_workers(plan: Plan) -> Callable:
    if not plan.deadly:
        return fleet_workers.FakeWorker
    return crashing.make_worker(
        crashing.Crashes(
            lambda name: name.job.startswith(DEADLY),
            down_s=1.0,
            renamed=False,
            delay_s=0.3,
        )
    )


def _run_until_calm(world: fleets.World, calm_s: float) -> None:
    """Lets time pass until all has been calm for a while."""
    until = world.now + PATIENCE_S
    while world.now < world.calm.disturbed_at + calm_s and world.now < until:
        world.run(fleets.TICK_S)


def _submit_lasting(world: fleets.World, rng: random.Random) -> None:
    """Hands in jobs that last, until they fill their share of the room."""
    capacity = collections.Counter()
    for worker in world.workers.values():
        capacity["cores"] += worker.description.capacity.millicores // 1000
    left = int(LASTING_SHARE * capacity["cores"])
    number = 0
    while left:
        cores = rng.randint(1, min(LASTING_CORES, left))
        tasks = rng.randint(1, min(ENDING_TASKS, left // cores))
        options = {}
        if rng.random() < 0.3:
            options = {"image": "s", "target_ms": 9}
        need = resources.Resources(1000 * cores, 1000 * cores, 0)
        step = work.Step(tasks, need, 500, until_cancelled=True, **options)
        world.submit(f"f{number:015x}", step)
        left -= tasks * cores
        number += 1


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
        cores = plan.ending_share * plan.workers * 8
        self._interval_s = ENDING_TASKS * run_s / cores
        self._estimate_ms = int(1000 * run_s)
        self._best_effort = plan.best_effort
        self._rng = rng
        self._number = 0
        self.is_over = False

    def begin(self) -> None:
        """Begins."""
        if self.is_over:
            return
        need = resources.Resources(1000, 1000, 0)
        step = work.Step(ENDING_TASKS, need, self._estimate_ms)
        if self._rng.random() < self._best_effort:
            step = dataclasses.replace(step, best_effort=True, image="f")
        self._world.submit(f"{self._number:016x}", step)
        self._number += 1
        self._world.call_later(self._interval_s, self.begin)

    def end(self) -> None:
        """Hands in no more."""
        self.is_over = True


# Strikes. Chance is the world's, as each comes when it does.


def _choose(world: fleets.World) -> str:
    """Chooses a worker that is up."""
    return world.rng.choice(
        sorted(name for name, worker in world.workers.items() if worker.up)
    )


def crash(world: fleets.World) -> None:
    """Lets another life of a worker begin under its name."""
    world.disruptions.restart_worker(_choose(world), same_id=True)


def replace_worker(world: fleets.World) -> None:
    """Lets another life of a worker begin under another name."""
    world.disruptions.restart_worker(_choose(world), same_id=False)


def crash_for_good(world: fleets.World) -> None:
    """Ends a worker, as long as three in four are left."""
    up = [name for name, worker in world.workers.items() if worker.up]
    if len(up) <= 0.75 * len(world.workers):
        return
    worker = world.workers[_choose(world)]
    worker.crash()
    worker.up = False
    worker.listed_until = world.now + disruptions.HEARTBEATS_S


def cut(world: fleets.World) -> None:
    """Cuts a worker off, from the store too at times."""
    world.disruptions.cut_worker(
        _choose(world),
        world.rng.uniform(0.3, 6.0),
        from_store=world.rng.random() < 0.5,
    )


def unlist(world: fleets.World) -> None:
    """Lets a worker be missing from the list."""
    seconds = world.rng.uniform(0.2, 5.0)
    world.disruptions.unlist_worker(_choose(world), seconds)


def pause(world: fleets.World) -> None:
    """Lets a worker take in nothing for a while."""
    seconds = world.rng.uniform(0.3, 5.0)
    world.disruptions.pause_worker(_choose(world), seconds)


def drain(world: fleets.World) -> None:
    """Lets a worker say that it will shut down, and stay after all."""
    worker = world.workers[_choose(world)]

    def announce(presence: work.Presence, leaves_ms: int) -> None:
        worker.description = dataclasses.replace(
            worker.description, presence=presence, leaves_ms=leaves_ms
        )

    announce(work.Presence.LEAVING, 3000)
    world.call_later(
        world.rng.uniform(0.2, 5.0), lambda: announce(work.Presence.READY, 0)
    )


def fail_runs(world: fleets.World) -> None:
    """Lets all runs of a worker fail, and those that begin for a while."""
    name = _choose(world)
    worker = world.workers[name]
    world.fail_on.add(name)
    until = world.now + world.rng.uniform(0.1, 2.0)

    def fail() -> None:
        for run in list(worker.runs.values()):
            worker.end(run, work.EndReason.FAILED)
        if world.now < until:
            world.call_later(0.5, fail)
        else:
            world.fail_on.discard(name)

    fail()


def replace_owner(world: fleets.World) -> None:
    """Lets another owner begin at once."""
    world.take_over()


def freeze_owner(world: fleets.World) -> None:
    """Lets the owner stand still."""
    world.disruptions.freeze_owner(world.rng.uniform(0.5, 6.0))


def delay_owner(world: fleets.World) -> None:
    """Lets one of the owner's threads stand still."""
    which = world.rng.choice(["decisions", "calls"])
    world.disruptions.delay_thread(which, world.rng.uniform(0.3, 4.0))


def kill_owner(world: fleets.World) -> None:
    """Ends the owner; another node claims the fleet."""
    world.disruptions.kill_owner()


def terminate_owner(world: fleets.World) -> None:
    """Lets the owner resign."""
    world.disruptions.terminate_owner()


def restart_nodes(world: fleets.World) -> None:
    """Ends all nodes at once."""
    world.disruptions.restart_all_nodes()


def cut_owner_from_store(world: fleets.World) -> None:
    """Cuts the owner off from the store."""
    world.disruptions.cut_owner_from_store(world.rng.uniform(0.5, 6.0))


def stop_store(world: fleets.World) -> None:
    """Lets the store answer nobody."""
    world.disruptions.stop_store(world.rng.uniform(0.3, 4.0))


def lose_append(world: fleets.World) -> None:
    """Lets the next append go wrong."""
    outcomes = virtual_store.AppendOutcome
    outcome = world.rng.choice(
        [outcomes.UNANSWERED, outcomes.LATE, outcomes.LOST, outcomes.BUSY]
    )
    late_s = world.rng.uniform(0.3, 3.0) if outcome is outcomes.LATE else 0.0
    choose = world.store.choose_append_fate
    is_over = False

    def choose_once(
        found: virtual_store.AppendTry,
    ) -> virtual_store.AppendFate:
        nonlocal is_over
        if is_over:
            return choose(found)
        is_over = True
        return virtual_store.AppendFate(outcome, late_s)

    world.store.choose_append_fate = choose_once


def lapse_entries(world: fleets.World) -> None:
    """Lets the entries of all workers be gone for a while."""
    world.disruptions.lapse_entries(world.rng.uniform(0.3, 2.0))


def delay_orders(world: fleets.World) -> None:
    """Lets many orders and polls be late for a moment."""
    more = world.rng.uniform(0.2, 0.9)
    more_polls = world.rng.uniform(0.0, 0.5)
    world.late += more
    world.late_polls += more_polls

    def mend() -> None:
        world.late = max(0.0, world.late - more)
        world.late_polls = max(0.0, world.late_polls - more_polls)

    world.call_later(world.rng.uniform(0.2, 1.5), mend)


def lose_messages(world: fleets.World) -> None:
    """Lets many messages get lost, or only their answers, for a moment."""
    share = world.rng.uniform(0.2, 0.9)
    until = world.now + world.rng.uniform(0.2, LOSSES_S)
    choose = world.choose_fate

    def lose(message: messages.Message) -> messages.Fate:
        if world.now >= until or world.rng.random() >= share:
            return choose(message)
        is_lost = world.rng.random() < 0.5
        return messages.Fate(None if is_lost else 0.0, answered=False)

    world.choose_fate = lose


def crash_in_cut(world: fleets.World) -> None:
    """Lets another life of a worker begin while it is cut off."""
    name, cut_s = _choose(world), world.rng.uniform(0.5, 6.0)
    world.disruptions.cut_worker(name, cut_s)
    world.call_later(
        world.rng.uniform(0.0, cut_s),
        lambda: world.disruptions.restart_worker(name, same_id=True),
    )


def crash_some(world: fleets.World) -> None:
    """Lets another life begin on several workers at once."""
    names = sorted(name for name, one in world.workers.items() if one.up)
    for name in world.rng.sample(names, world.rng.randint(1, len(names))):
        world.disruptions.restart_worker(name, same_id=True)


def submit_deadly(world: fleets.World) -> None:
    """Hands in a job that crashes its workers."""
    step = work.Step(1, resources.Resources(1000, 1000, 0), 500)
    world.submit(f"{DEADLY}{len(world.submissions):015x}", step)


WORKERS = (
    crash,
    crash_some,
    crash_in_cut,
    replace_worker,
    cut,
    unlist,
    pause,
    drain,
)
OWNERS = (
    replace_owner,
    freeze_owner,
    delay_owner,
    kill_owner,
    terminate_owner,
    restart_nodes,
)
STORE = (cut_owner_from_store, stop_store, lose_append, lapse_entries)
ALL = (*WORKERS, *OWNERS, *STORE, delay_orders, lose_messages)
