"""Seeded random walks of a virtual fleet: jobs of all kinds, and faults."""

import dataclasses
import random
from collections.abc import Callable

from poplarspindle import resources
from poplarspindle.fleet import job_store, work
from poplarspindle.tools.fakes import (
    bookkeeping,
    crashing,
    fleet_workers,
    fleets,
    judging,
    late_strikes,
)

CORE = resources.Resources(1000, 1000, 0)
JOBS = 14
CHECK_TICKS = 10
IDLE_LOOKS = 60  # Over 3 s.
CALM_S = 4.0  # Without a crash, before the looks.
MAX_CRASHES_S = 60.0  # Deadly tasks are given up long before.
FAILING_SHARE = 0.25  # Of the runs of jobs that may fail.


@dataclasses.dataclass(frozen=True, slots=True)
class Plan:
    """What befalls a fleet on a walk, beside the strikes of each walk.

    Attributes:
        behind_s: For how long the owner falls behind with workers at most.
        sure: Whether that is too short to make it wrongly sure of a lapse.
        late: Share of orders that are carried out late.
        late_s: How late, at least and at most.
        late_incarnations: Whether a worker's next life carries them out too.
        late_leases: Whether leases of late starts begin when they come.
        late_polls: Share of polls that are late in the same way.
        late_grants: Whether leases of late polls begin when they come.
        cut_late: Share of late orders after which their worker is cut off.
        strikes: Further strikes.
        widest: Most tasks of a step.
        serving: Share of steps that last, with a tail-latency target.
        best_effort: Share of steps that are best-effort.
        run_s: How long a task takes, at least and at most.
        deadly: Whether the tasks of some jobs crash their workers.
    """

    behind_s: float = 0.0
    sure: bool = True
    late: float = 0.0
    late_s: tuple[float, float] = (2.0, 12.0)
    late_incarnations: bool = False
    late_leases: bool = False
    late_polls: float = 0.0
    late_grants: bool = False
    cut_late: float = 0.0
    strikes: tuple[Callable[[fleets.World], None], ...] = ()
    widest: int = 8
    serving: float = 0.0
    best_effort: float = 0.0
    run_s: tuple[float, float] = (0.1, 2.5)
    deadly: bool = False


def disconnect_two(world: fleets.World) -> None:
    """Cuts two workers off at once, for a while."""
    names = world.rng.sample(sorted(world.workers), 2)
    _disconnect(world, names, world.rng.uniform(0.5, 9.0))


def crash_while_disconnected(world: fleets.World) -> None:
    """Lets a worker begin another life while it is cut off."""
    (name,) = world.rng.sample(sorted(world.workers), 1)
    cut_s = world.rng.uniform(0.5, 9.0)
    _disconnect(world, [name], cut_s)
    crash_s = world.rng.uniform(0.0, cut_s)
    world.call_later(crash_s, world.workers[name].crash)


def unlist(world: fleets.World) -> None:
    """Lets a worker that is up be missing from the list for a while."""
    (name,) = world.rng.sample(sorted(world.workers), 1)
    world.unlisted.add(name)
    unlisted_s = world.rng.uniform(0.2, 6.0)
    world.call_later(unlisted_s, lambda: world.unlisted.discard(name))


def unlist_while_disconnected(world: fleets.World) -> None:
    """Cuts workers off for longer than their leases; the list drops them."""
    names = world.rng.sample(sorted(world.workers), world.rng.randint(1, 4))
    cut_s = world.rng.uniform(7.0, 14.0)
    _disconnect(world, names, cut_s)
    world.unlisted.update(names)
    world.call_later(cut_s, lambda: world.unlisted.difference_update(names))


def drain(world: fleets.World) -> None:
    """Lets a worker say that it will shut down, and stay after all."""
    (name,) = world.rng.sample(sorted(world.workers), 1)
    _set_presence(world.workers[name], work.Presence.LEAVING, 3000)
    world.call_later(
        world.rng.uniform(0.2, 6.0),
        lambda: _set_presence(world.workers[name], work.Presence.READY, 0),
    )


def _set_presence(worker, presence: work.Presence, leaves_ms: int) -> None:
    worker.description = dataclasses.replace(
        worker.description, presence=presence, leaves_ms=leaves_ms
    )


def delay_orders(world: fleets.World) -> None:
    """Lets orders arrive after their leases, and polls fail meanwhile."""
    world.order_s = world.rng.uniform(1.0, 8.0)
    slow_s = world.rng.uniform(2.0, 10.0)

    def mend() -> None:
        world.order_s = fleets.ORDER_S

    world.call_later(slow_s, mend)
    for name in sorted(world.workers):
        for _ in range(world.rng.randint(0, 3)):
            at_s = world.rng.uniform(0.0, slow_s + 8.0)
            cut_s = world.rng.uniform(0.3, 2.0)
            world.call_later(
                at_s,
                lambda name=name, cut_s=cut_s: _disconnect(
                    world, [name], cut_s
                ),
            )


def crash_in_append(world: fleets.World) -> None:
    """Lets the owner die between the calls of its next wide append."""
    calls = world.rng.choice([1, 1, 2, 3])
    world.tear_append = lambda found: calls if calls < len(found) else None


def _disconnect(world: fleets.World, names: list[str], seconds: float) -> None:
    def mend() -> None:
        for name in names:
            world.workers[name].reachable = True

    for name in names:
        world.workers[name].reachable = False
    world.call_later(seconds, mend)


def list_faults(seed: int, plan: Plan) -> list[str]:
    """Walks, and lists what was broken.

    An owner that is wrongly sure of a lapse can't help two runs at once, nor
    a start after an end that it has not read. Such walks are judged by what
    it knows: no start of a task once an end `done`, or its last failed one,
    was taken in; order, states and the end of all jobs as in all walks.
    """
    world, lost_tasks = _walk(seed, plan)
    found = judging.list_out_of_order(world)
    if plan.sure:
        found = world.list_violations()
    else:
        found += world.at_work.list_violations()
    found += lost_tasks + crashing.list_started_too_often(world)
    found += world.checker.violations + judging.list_wrong_states(world)
    jobs = world.fleet.job_store.jobs
    found += [
        f"not ended: {name}"
        for name, job in jobs.items()
        if job.state not in job_store.ENDED
    ]
    found += [
        f"still runs: {name}"
        for worker in world.workers.values()
        for name, _ in worker.runs
    ]
    return found


def _walk(seed: int, plan: Plan) -> tuple[fleets.World, list[str]]:
    """Returns the world, and the tasks that the owner's books had lost."""
    chance = random.Random(seed)

    def fail(run) -> bool:
        return _may_fail(run.name) and chance.random() < FAILING_SHARE

    world = fleets.World(
        seed,
        run_s=lambda rng: rng.uniform(*plan.run_s),
        fail=fail,
        late=plan.late,
        late_s=plan.late_s,
        late_incarnations=plan.late_incarnations,
        late_leases=plan.late_leases,
        late_polls=plan.late_polls,
        late_grants=plan.late_grants,
        make_worker=_make_workers(plan),
    )
    if plan.cut_late:
        late_strikes.make_cuts(world, plan.cut_late)
    lost_tasks: dict[str, None] = {}

    def check_books() -> None:
        if round(world.now / fleets.TICK_S) % CHECK_TICKS == 0:
            found = bookkeeping.list_lost_tasks(world.fleet)
            lost_tasks.update(dict.fromkeys(found))

    world.after_tick = check_books
    for number in range(JOBS):
        _submit(world, f"{number:016x}", plan)
        world.run(world.rng.uniform(0.05, 0.8))
        _inject_fault(world)
        if plan.behind_s and world.rng.random() < 0.3:
            _fall_behind(world, plan.behind_s)
        if plan.strikes and world.rng.random() < 0.3:
            world.rng.choice(plan.strikes)(world)
    if plan.cut_late:
        late_strikes.end_cuts(world)
    _recover(world)
    lost_tasks.update(dict.fromkeys(_list_idle_in_calm(world)))
    _end_lasting_jobs(world)
    return world, list(lost_tasks)


def _make_workers(plan: Plan) -> Callable:
    if not plan.deadly:
        return fleet_workers.FakeWorker
    return crashing.make_worker(
        crashing.Crashes(
            lambda name: int(name.job, 16) % 5 == 4, renamed=False, delay_s=0.3
        )
    )


def _may_fail(name: work.TaskName) -> bool:
    return int(name.job, 16) % 3 == 0


def _submit(world: fleets.World, name: str, plan: Plan) -> None:
    rng, widest = world.rng, plan.widest
    steps = [_make_step(rng.randint(1, widest), (), rng.random() < 0.3)]
    if rng.random() < 0.5:
        gang = rng.random() < 0.3
        steps.append(_make_step(rng.randint(1, 6), (0,), gang))
    options = {}
    kind = rng.random()
    if kind < 0.15:
        steps = [
            dataclasses.replace(steps[0], gang=False, until_cancelled=True)
        ]
    elif kind < 0.35:
        first_ms = world.wall_ms() + rng.randint(0, 2000)
        every_ms = rng.randint(300, 1500)
        options = {
            "occurrence_count": 3,
            "first_ms": first_ms,
            "every_ms": every_ms,
        }
    if plan.serving and rng.random() < plan.serving:
        step = _make_step(rng.randint(1, 4), (), False)
        steps = [
            dataclasses.replace(
                step, until_cancelled=True, image="s", target_ms=9
            )
        ]
        options = {}
    elif plan.best_effort and rng.random() < plan.best_effort:
        step = _make_step(rng.randint(1, widest), (), False)
        steps = [dataclasses.replace(step, best_effort=True, image="f")]
        options = {}
    world.submit(name, *steps, **options)


def _make_step(tasks: int, after: tuple[int, ...], gang: bool) -> work.Step:
    return work.Step(tasks, CORE, 500, after, gang=gang)


def _inject_fault(world: fleets.World) -> None:
    worker = world.rng.choice(list(world.workers.values()))
    chance = world.rng.random()
    if chance < 0.15:
        worker.crash()
    elif chance < 0.3:
        worker.reachable = not worker.reachable
    elif chance < 0.45:
        world.take_over()
    elif chance < 0.55:
        world.store_up = not world.store_up
    elif chance < 0.62:
        world.cancel(world.rng.choice(list(world.fleet.job_store.jobs)))


def _fall_behind(world: fleets.World, most_s: float) -> None:
    count = world.rng.randint(1, len(world.workers))
    for name in world.rng.sample(sorted(world.workers), count):
        # One is caught up with while others are not.
        behind_s = world.rng.uniform(0.1, most_s)
        world.hold_back(name)
        world.call_later(behind_s, lambda name=name: world.catch_up(name))


def _recover(world: fleets.World) -> None:
    for name, worker in world.workers.items():
        worker.reachable = True
        world.catch_up(name)
    world.store_up = True
    world.run(20)


def _list_idle_in_calm(world: fleets.World) -> list[str]:
    """Looks for work that waits, in the first stretch without a crash.

    Deadly tasks go on to crash workers until they are given up. What a worker
    ran waits for its next life or its leases meanwhile, beside room on others.
    """
    until = world.now + MAX_CRASHES_S
    while world.now < until:
        crashed_at = _find_last_crash(world)
        if world.now < crashed_at + CALM_S:
            world.run(bookkeeping.LOOK_INTERVAL_S)
            continue
        found = bookkeeping.list_idle(world, IDLE_LOOKS)
        if _find_last_crash(world) == crashed_at:
            return found
    return ["workers crash without end"]


def _find_last_crash(world: fleets.World) -> float:
    """Returns when a worker last crashed or came back after that."""
    return max(worker.born_at for worker in world.workers.values())


def _end_lasting_jobs(world: fleets.World) -> None:
    # Tasks that last may hold all room; the rest has to end without them.
    for job in list(world.fleet.job_store.jobs.values()):
        if job.submission.steps[0].until_cancelled:
            world.cancel(job.submission.job)
    world.run(40)
