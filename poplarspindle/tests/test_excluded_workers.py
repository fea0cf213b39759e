"""Starts that reach a worker after it was excluded from new work.

Its data centre was evacuated, it is about to shut down, or its service no
longer runs the queue. What was placed there before may have no start yet, or
one without an answer, which is repeated.
"""

import dataclasses
import random

import pytest

from poplarspindle import resources
from poplarspindle.fleet import events, work
from poplarspindle.node import polling
from poplarspindle.tools.fakes import fleets, messages

CORE = resources.Resources(1000, 1000, 0)
JOB = "a" * 16
TASKS = 16  # All eight processors of two workers.
LEAVES_MS = 60_000
HEARD_S = 0.2  # An exclusion is known at the next reading of the list.
POLL_LOST_S = 1.5  # The poll fails while the first start is in flight.
MAX_WAIT_S = 10.0
DONE_S = 30.0

STEPS = [
    pytest.param({}, id="task"),
    pytest.param({"gang": True}, id="gang"),
    pytest.param({"until_cancelled": True}, id="lasting"),
]


def configure(world, evacuated=frozenset(), service="pool"):
    queue = dataclasses.replace(world.queue, service=service)
    world.queue, world.evacuated = queue, evacuated
    world.configuration = work.Configuration(2, {"q": queue})
    world._reduce(events.Configured(world.now, world.configuration, evacuated))


def evacuate(world):
    configure(world, evacuated=frozenset({"dc0"}))


def let_leave(world):
    for name in ("w0", "w2"):
        worker = world.workers[name]
        worker.description = dataclasses.replace(
            worker.description,
            presence=work.Presence.LEAVING,
            leaves_ms=LEAVES_MS,
        )
    world.list_workers()


def move_queue(world):
    configure(world, service="others")


EXCLUSIONS = [
    pytest.param(evacuate, id="evacuated"),
    pytest.param(let_leave, id="leaving"),
    pytest.param(move_queue, id="rerouted"),
]


def make_world(**options):
    """Makes a fleet: w0 and w2 will be excluded, w1, w3 and others not."""
    options.setdefault("run_s", lambda rng: 2.0)
    world = fleets.World(1, **options)
    for number in (8, 10):
        info = world.workers["w1"].description
        world.add_worker(
            dataclasses.replace(
                info,
                name=f"w{number}",
                address=f"10.0.0.{number}:80",
                service="others",
                incarnation_ms=1000 + number,
            )
        )
    world.run(1)
    return world


def make_step(**options):
    return work.Step(TASKS, CORE, 500, (), **options)


def list_excluded(world, exclude):
    if exclude is move_queue:
        return [
            w for w in world.workers.values() if w.description.service == "pool"
        ]
    return [world.workers[name] for name in ("w0", "w2")]


def judge(world, exclude, excluded_at, step):
    """Lists the starts after the exclusion, and what else is broken."""
    world.run(DONE_S)
    found = [
        f"{run.name} began {run.began - excluded_at:.3f} s after it"
        for worker in list_excluded(world, exclude)
        for run in worker.ledger
        if run.began > excluded_at + HEARD_S
    ]
    runs = [run for w in world.workers.values() for run in w.ledger]
    if {run.name.index for run in runs} != set(range(TASKS)):
        found.append("not all were started")
    if step.until_cancelled:
        found += [] if is_at_work(world) else ["not all are at work"]
    elif world.get_state(JOB) != "completed":
        found.append(f"the job is {world.get_state(JOB)}")
    return found + world.list_violations()


def run_until(world, condition, step_s=fleets.TICK_S):
    until = world.now + MAX_WAIT_S
    while not condition():
        assert world.now < until
        world.run(step_s)


def list_unanswered(world, names):
    return [
        run
        for name in sorted(names)
        for run in world.fleet.workers[name].runs.values()
        if run.unanswered_starts
        and not (run.stopping or run.start_in_flight)
        and world.fleet.workers[name].poll_failed
    ]


def is_at_work(world):
    return sum(len(worker.runs) for worker in world.workers.values()) == TASKS


@pytest.mark.parametrize("exclude", EXCLUSIONS)
@pytest.mark.parametrize("options", STEPS)
def test_start_without_an_answer_is_repeated_to_an_excluded_worker(
    options, exclude
):
    """EVAC, DRAIN, ROUTE: nothing reaches it for a while."""
    world = make_world()
    lost = {"w0", "w2"}
    world.choose_fate = lambda message: (
        messages.Fate(None, answered=False)
        if message.worker in lost
        else messages.DELIVERED
    )
    step = make_step(**options)
    world.run(POLL_LOST_S)
    world.submit(JOB, step)
    run_until(world, lambda: list_unanswered(world, lost))
    exclude(world)
    excluded_at = world.now
    world.run(2.0)
    lost.clear()
    assert judge(world, exclude, excluded_at, step) == []


@pytest.mark.parametrize("exclude", EXCLUSIONS)
@pytest.mark.parametrize("options", STEPS)
def test_placement_not_recorded_yet_is_sent_to_an_excluded_worker(
    options, exclude
):
    """EVAC, DRAIN, ROUTE: the append is slow."""
    world = make_world()
    world.append_s = 3.0
    step = make_step(**options)
    world.submit(JOB, step)
    run_until(world, lambda: any(w.runs for w in world.fleet.workers.values()))
    exclude(world)
    excluded_at = world.now
    world.run(4.0)
    world.append_s = fleets.APPEND_S
    assert judge(world, exclude, excluded_at, step) == []


@pytest.mark.parametrize("exclude", EXCLUSIONS)
@pytest.mark.parametrize("options", STEPS)
def test_next_owner_repeats_starts_to_an_excluded_worker(options, exclude):
    """EVAC, DRAIN, ROUTE: the last owner recorded them and sent none."""
    world = make_world()
    step = make_step(**options)
    world.tear_append = len
    world.submit(JOB, step)
    run_until(world, lambda: world.append_torn, fleets.APPEND_S)
    assert world.starts == 0
    exclude(world)
    world.list_workers()
    excluded_at = world.now - HEARD_S
    assert judge(world, exclude, excluded_at, step) == []


@pytest.mark.parametrize("exclude", EXCLUSIONS)
@pytest.mark.parametrize("options", STEPS)
def test_start_that_waits_in_line_is_sent_to_an_excluded_worker(
    options, exclude, monkeypatch
):
    """EVAC, DRAIN, ROUTE: it waits for the answers to others."""
    monkeypatch.setattr(polling, "MAX_ORDERS_IN_FLIGHT", 1)
    world = make_world()
    started = []

    def delay_start(message):
        if message.kind is not messages.Kind.START:
            return messages.DELIVERED
        started.append(message)
        return messages.Fate(HEARD_S)

    world.choose_fate = delay_start
    step = make_step(**options)
    world.submit(JOB, step)
    run_until(world, lambda: started)
    exclude(world)
    excluded_at = world.now
    world.run(4.0)
    world.choose_fate = lambda message: messages.DELIVERED
    assert judge(world, exclude, excluded_at, step) == []


class Watch:
    """Watches the starts that are sent to excluded workers.

    Attributes:
        found: Those sent too late, to workers that don't have the run.
    """

    def __init__(self, world):
        self.found = []
        self._world = world
        self._excluded_at = {}
        self._choose_fate = world.choose_fate
        world.choose_fate = self.choose_fate

    def look(self):
        """Notes which workers are excluded."""
        for name, worker in self._world.workers.items():
            info = worker.description
            if info.data_centre in self._world.evacuated or (
                info.presence is work.Presence.LEAVING
            ):
                self._excluded_at.setdefault(name, self._world.now)
            else:
                self._excluded_at.pop(name, None)

    def choose_fate(self, message):
        """Judges a message that is sent, and returns what becomes of it."""
        at = self._excluded_at.get(message.worker, float("inf"))
        worker = self._world.workers[message.worker]
        order = message.order
        if (
            message.kind is messages.Kind.START
            and self._world.now > at + HEARD_S
            and message.owner == self._world.fleet.epoch
            and worker.highest.get(order.task, 0) < order.attempt
        ):
            self.found.append(
                f"{self._world.now:.3f} {message.worker}, excluded at {at:.3f}:"
                f" {order.task} run {order.attempt}"
            )
        return self._choose_fate(message)


def strike(world, rng):
    """Cuts a worker off, excludes some, or lets another owner begin."""
    kind = rng.random()
    worker = world.workers[rng.choice(sorted(world.workers))]
    if kind < 0.25:
        configure(world, frozenset(rng.sample(["dc0", "dc1"], 1)))
    elif kind < 0.4:
        configure(world)
    elif kind < 0.6:
        presence = rng.choice([work.Presence.LEAVING, work.Presence.READY])
        worker.description = dataclasses.replace(
            worker.description, presence=presence, leaves_ms=LEAVES_MS
        )
    elif kind < 0.9:
        worker.reachable = not worker.reachable
    else:
        world.take_over()


@pytest.mark.parametrize("seed", range(20))
def test_walk_sends_no_start_to_an_excluded_worker(seed):
    """EVAC and DRAIN by what is sent: exclusions, cuts and late orders."""
    rng = random.Random(seed)
    world = fleets.World(
        seed,
        workers=6,
        run_s=lambda chance: chance.uniform(0.2, 2.0),
        late=0.2,
        late_s=(2.0, 12.0),
        late_leases=True,
    )
    watch = Watch(world)
    jobs = [f"{number:016x}" for number in range(30)]
    for job in jobs:
        options = rng.choice([{}, {"gang": True}])
        world.submit(
            job, work.Step(rng.randint(1, 8), CORE, 500, (), **options)
        )
        for _ in range(4):
            if rng.random() < 0.3:
                strike(world, rng)
            watch.look()
            world.run(0.1)
    configure(world)
    for worker in world.workers.values():
        worker.reachable = True
        worker.description = dataclasses.replace(
            worker.description, presence=work.Presence.READY, leaves_ms=0
        )
    watch.look()
    world.late = 0.0
    world.run(60.0)
    assert watch.found == []
    assert {world.get_state(job) for job in jobs} == {"completed"}
    assert world.list_violations() == []
