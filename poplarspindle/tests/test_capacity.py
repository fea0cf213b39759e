"""A worker's capacity changes while it runs; no start brings it over."""

import dataclasses

import pytest

from poplarspindle import resources
from poplarspindle.fleet import work, worker_state
from poplarspindle.node import polling
from poplarspindle.tools.fakes import fleet_workers, fleets, messages

CORE = resources.Resources(1000, 1000, 0)
JOB = "a" * 16


def make_step(tasks=4, need=CORE, **options):
    return work.Step(tasks, need, 500, (), **options)


class UnguardedWorker(fleet_workers.FakeWorker):
    """A worker that starts whatever it is told to, and notes the excess."""

    over_capacity = 0

    def start(self, order):
        """Carries out a start, whatever room there is."""
        before = len(self.ledger)
        offered = self.description
        roomy = resources.Resources(10**9, 10**9, 10**9)
        self.description = dataclasses.replace(offered, capacity=roomy)
        answer = super().start(order)
        self.description = offered
        taken = resources.ZERO
        for run in self.runs.values():
            step = self.world.find_step(run.name)
            taken += worker_state.get_reserved(step)
        if len(self.ledger) > before and not taken.fits_in(offered.capacity):
            self.over_capacity += 1
        return answer


def make_world(workers=1, **options):
    options.setdefault("run_s", lambda rng: 2.0)
    return fleets.World(
        1, workers=workers, make_worker=UnguardedWorker, **options
    )


def set_capacity(world, cores, name="w0"):
    worker = world.workers[name]
    worker.description = dataclasses.replace(
        worker.description,
        capacity=resources.Resources(1000 * cores, 4000 * cores, 0),
    )


def count_over_capacity(world):
    return sum(worker.over_capacity for worker in world.workers.values())


@pytest.mark.parametrize(
    "step",
    [
        pytest.param(make_step(8), id="tasks"),
        pytest.param(make_step(8, gang=True), id="gang"),
        pytest.param(make_step(8, max_per_worker=4), id="limited"),
        pytest.param(make_step(8, until_cancelled=True), id="lasting"),
    ],
)
def test_placement_not_sent_yet_is_sent_to_a_worker_that_shrank(step):
    """LIMIT: the record is slow, and the capacity shrinks meanwhile."""
    world = make_world(workers=4)
    world.run(1)
    world.append_s = 0.5
    world.submit(JOB, step)
    for name in world.workers:
        set_capacity(world, 1, name)
    world.run(8)
    assert count_over_capacity(world) == 0
    for name in world.workers:
        set_capacity(world, 8, name)
    world.run(12)
    runs = [run for w in world.workers.values() for run in w.ledger]
    assert {run.name.index for run in runs} == set(range(8))
    if not step.until_cancelled:
        assert world.get_state(JOB) == "completed"
    assert world.list_violations() == []


def test_repeated_start_goes_to_a_worker_that_shrank():
    """LIMIT: starts without an answer are lost, and are sent again."""
    world = make_world()
    world.run(1)
    world.submit(JOB, make_step(6))
    world.workers["w0"].reachable = False
    world.run(0.6)
    set_capacity(world, 2)
    world.run(0.2)
    world.workers["w0"].reachable = True
    world.run(3)
    assert count_over_capacity(world) == 0
    set_capacity(world, 8)
    world.run(15)
    assert world.get_state(JOB) == "completed"
    assert world.list_violations() == []


def test_start_that_waits_is_sent_to_a_worker_that_shrank(monkeypatch):
    """LIMIT: starts wait in their poller for answers to others."""
    monkeypatch.setattr(polling, "MAX_ORDERS_IN_FLIGHT", 1)
    world = make_world()
    world.run(1)
    started = []

    def delay_start(message):
        if message.kind is not messages.Kind.START:
            return messages.DELIVERED
        started.append(message)
        return messages.Fate(0.2)

    world.choose_fate = delay_start
    world.submit(JOB, make_step(6))
    while not started:
        world.run(fleets.TICK_S)
    set_capacity(world, 2)
    world.run(3)
    assert count_over_capacity(world) == 0
    set_capacity(world, 8)
    world.run(15)
    assert world.get_state(JOB) == "completed"
    assert world.list_violations() == []


def test_next_owner_repeats_starts_to_a_worker_that_shrank():
    """LIMIT: the last owner recorded the starts and did not send them."""
    world = make_world()
    world.run(1)
    world.tear_append = len
    world.submit(JOB, make_step(6))
    while not world.append_torn:
        world.run(fleets.APPEND_S)
    assert world.starts == 0
    set_capacity(world, 2)
    world.list_workers()
    world.run(6)
    assert count_over_capacity(world) == 0
    set_capacity(world, 8)
    world.run(12)
    assert world.get_state(JOB) == "completed"


def test_runs_being_stopped_count_on_a_worker_that_shrank(monkeypatch):
    monkeypatch.setattr(fleet_workers, "STOP_DURATION_S", 2.0)
    world = make_world()
    world.submit("b" * 16, make_step(4, until_cancelled=True))
    world.run(1)
    set_capacity(world, 4)
    world.run(0.5)
    world.cancel("b" * 16)
    world.submit(JOB, make_step(4))
    world.run(1)
    assert (len(world.workers["w0"].ledger), world.starts) == (4, 4)
    world.run(8)
    assert world.get_state(JOB) == "completed"
    assert count_over_capacity(world) == 0


def test_capacity_that_grew_is_used_at_once():
    world = make_world(run_s=lambda rng: 5.0)
    set_capacity(world, 2)
    world.list_workers()
    world.submit(JOB, make_step(8))
    world.run(1)
    starts_before = world.starts
    set_capacity(world, 8)
    world.run(0.3)
    assert (starts_before, world.starts) == (2, 8)


# Capacity, what is reserved, what one more task needs, whether it fits.
ROOMS = [
    pytest.param((8000, 8000, 1), (4000, 0, 0), (4000, 1, 0), True, id="room"),
    pytest.param((2000, 8000, 1), (4000, 0, 0), (1000, 1, 0), False, id="cpu"),
    pytest.param((2000, 8000, 1), (4000, 0, 0), (0, 1, 0), False, id="no cpu"),
    pytest.param((8000, 2000, 1), (0, 4000, 0), (1000, 0, 0), False, id="mem"),
    pytest.param((8000, 8000, 0), (0, 0, 1), (1000, 0, 0), False, id="gpu"),
    pytest.param((0, 0, 0), (0, 0, 0), (1, 0, 0), False, id="none"),
]


@pytest.mark.parametrize(("capacity", "reserved", "need", "fits"), ROOMS)
def test_nothing_fits_on_a_worker_that_is_over_its_capacity(
    capacity, reserved, need, fits
):
    info = work.WorkerInfo(
        "w", "a:1", "pool", "dc", resources.Resources(*capacity)
    )
    worker = worker_state.WorkerState(info)
    worker.reserved = resources.Resources(*reserved)
    available = worker_state.get_available(worker)
    assert resources.Resources(*need).fits_in(available) is fits
