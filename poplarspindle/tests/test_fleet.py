"""Runs the fleet's owner against fake workers that record their own runs."""

import dataclasses

import pytest

from poplarspindle import resources
from poplarspindle.fleet import (
    admission,
    effects,
    events,
    fleet_state,
    job_store,
    lasting_turns,
    orders,
    pacing,
    records,
    reducer,
    takeover,
    work,
    worker_state,
)
from poplarspindle.tools.fakes import fleets

CORE = resources.Resources(1000, 1000, 0)


def make_step(tasks=4, prerequisites=(), **options):
    return work.Step(tasks, CORE, 500, prerequisites, **options)


STEP_GRAPHS = [
    pytest.param((make_step(),), id="one step"),
    pytest.param((make_step(), make_step(6, (0,))), id="two steps"),
    pytest.param(
        (make_step(2), make_step(3), make_step(4, (0, 1))), id="joined"
    ),
    pytest.param((make_step(40), make_step(2, (0,))), id="more than capacity"),
]


@pytest.mark.parametrize("steps", STEP_GRAPHS)
def test_job_completes_once(steps):
    world = fleets.World(1)
    world.submit("a" * 16, *steps)
    world.run(6)
    assert world.get_state("a" * 16) == "completed"
    assert world.starts == sum(step.tasks for step in steps)
    assert world.room_refusals == 0
    assert world.list_violations() == []


def test_failing_job_fails_after_its_attempts():
    world = fleets.World(1, fail=lambda run: run.name.index == 0)
    world.submit("a" * 16, make_step(3))
    world.run(6)
    assert world.get_state("a" * 16) == "failed"
    runs = [r for w in world.workers.values() for r in w.ledger]
    assert sum(run.name.index == 0 for run in runs) == world.queue.attempts


def test_worker_that_fails_every_run_fails_no_job():
    """Load: a worker fails each run at once, so it is always the emptiest."""
    world = fleets.World(1, workers=6)
    broken = world.workers["w0"]
    world.fail_on = {"w0"}
    world.allow_attempts(2)
    names = [f"{number:016x}" for number in range(20)]
    for name in names:
        world.submit(name, make_step(4))
        world.run(0.3)
    world.run(8)
    assert {world.get_state(name) for name in names} == {"completed"}
    assert 0 < len(broken.ledger) <= 12


def test_failing_job_excludes_no_worker():
    world = fleets.World(1, fail=lambda run: run.name.job[0] == "b")
    world.submit("b" * 16, make_step(8))
    world.run(3)
    assert world.get_state("b" * 16) == "failed"
    assert world.notes["closed"] == 0


def test_gang_starts_whole_with_one_attempt():
    world = fleets.World(1)
    world.submit("a" * 16, make_step(8, gang=True))
    world.run(4)
    runs = [r for w in world.workers.values() for r in w.ledger]
    assert world.get_state("a" * 16) == "completed"
    assert {run.attempt for run in runs} == {1}


def test_gang_in_one_of_several_occurrences_ends_it_once():
    """Fault: the end of the second member made the owner fail."""
    world = fleets.World(1)
    schedule = {
        "occurrence_count": 2,
        "first_ms": world.wall_ms(),
        "every_ms": 2000,
    }
    world.submit("a" * 16, make_step(4, gang=True), **schedule)
    world.run(4)
    assert world.get_state("a" * 16) == "completed"
    assert world.starts == 8


def test_gang_is_done_although_the_worker_of_a_member_is_lost():
    """Fault: the lost member stayed queued after its occurrence had ended."""
    world = fleets.World(1, workers=5)
    schedule = {
        "occurrence_count": 2,
        "first_ms": world.wall_ms(),
        "every_ms": 2000,
    }
    world.submit("a" * 16, make_step(4, gang=True), **schedule)
    while not any(run.how for w in world.workers.values() for run in w.ledger):
        world.run(fleets.TICK_S)
    next(w for w in world.workers.values() if w.ledger).crash()
    world.run(1)
    assert world.fleet.ready == {}
    world.run(3)
    assert world.get_state("a" * 16) == "completed"
    assert world.starts == 8


def test_refused_start_of_a_gang_member_stops_the_other_members():
    """Load: one worker is busy and refuses the start of its member."""
    world = fleets.World(1)
    world.order_s = fleets.TICK_S
    world.submit("a" * 16, make_step(8, gang=True))
    while not any(
        run.start_in_flight
        for worker in world.fleet.workers.values()
        for run in worker.runs.values()
    ):
        world.run(fleets.TICK_S)
    worker = next(w for w in world.fleet.workers.values() if w.runs)
    refused = next(iter(worker.runs.values()))
    order = orders.Start(
        refused.name, refused.attempt, world.fleet.epoch, "spec", 1
    )
    answer = orders.Answer(orders.Refusal.BUSY)
    name = worker.info.name
    event = events.OrderAnswered(world.now, name, world.now, order, answer)
    reducer.reduce(world.fleet, event)
    others = [
        run
        for worker in world.fleet.workers.values()
        for run in worker.runs.values()
    ]
    assert len(others) == 7
    assert all(run.stopping for run in others)
    world.run(6)
    assert world.get_state("a" * 16) == "completed"


def test_gang_waits_for_capacity_for_all_members():
    world = fleets.World(1, workers=1)
    world.submit("a" * 16, make_step(6))
    world.submit("b" * 16, make_step(8, gang=True))
    world.run(0.5)
    assert world.starts == 6
    world.run(4)
    assert world.get_state("b" * 16) == "completed"


def test_long_running_task_restarts_after_its_worker_crashed():
    world = fleets.World(1)
    world.submit("a" * 16, make_step(4, until_cancelled=True))
    world.run(2)
    worker = next(w for w in world.workers.values() if w.runs)
    lost_count = len(worker.runs)
    worker.crash()
    world.run(1)
    running = sum(len(w.runs) for w in world.workers.values())
    assert (lost_count > 0, running) == (True, 4)
    assert world.list_violations() == []


def test_cancelled_job_is_stopped():
    world = fleets.World(1)
    world.submit("a" * 16, make_step(4, until_cancelled=True))
    world.run(1)
    world.cancel("a" * 16)
    assert world.get_state("a" * 16) == "cancelled"
    world.run(1)
    assert sum(len(w.runs) for w in world.workers.values()) == 0


def test_cancelled_before_its_start_is_recorded_never_starts():
    world = fleets.World(1)
    world.submit("a" * 16, make_step(4))
    world.cancel("a" * 16)
    world.run(2)
    assert world.starts == 0


def test_scheduled_job_runs_at_each_due_time():
    world = fleets.World(1)
    first_ms = world.wall_ms() + 1000
    world.submit(
        "a" * 16,
        make_step(2),
        occurrence_count=3,
        first_ms=first_ms,
        every_ms=700,
    )
    world.run(5)
    runs = [r for w in world.workers.values() for r in w.ledger]
    began_s = [
        min(r.began for r in runs if r.name.occurrence == occurrence)
        for occurrence in range(3)
    ]
    assert world.get_state("a" * 16) == "completed"
    assert all(
        at_s >= 1.0 + 0.7 * occurrence
        for occurrence, at_s in enumerate(began_s)
    )


def test_leaving_worker_gets_no_task_and_is_drained_in_time():
    world = fleets.World(1)
    world.submit("a" * 16, make_step(8, until_cancelled=True))
    world.run(1)
    leaving = world.workers["w0"]
    leaving.description = fleets.dataclasses.replace(
        leaving.description, presence=work.Presence.LEAVING, leaves_ms=3000
    )
    world.run(0.1)
    run_count = len(leaving.ledger)
    world.submit("b" * 16, make_step(8))
    world.run(2.0)
    assert len(leaving.ledger) == run_count
    assert not leaving.runs
    assert sum(len(w.runs) for w in world.workers.values()) == 8


def test_owner_publishes_no_load_before_its_workers_are_listed():
    """Fault: a fleet whose workers were not yet listed looked full.

    Long-running jobs were refused.
    """
    world = fleets.World(1)
    fleet = fleet_state.FleetState(job_store.JobStore())
    for event in (
        events.Claimed(0.0, world.wall_ms(), 16, {}),
        events.Configured(0.0, world.configuration, frozenset()),
        events.Ticked(1.0, world.wall_ms()),
    ):
        reducer.reduce(fleet, event)
    keys = [
        record.key
        for effect in reducer.settle(fleet)
        if isinstance(effect, effects.Append)
        for record in effect.records
    ]
    assert admission.LOAD_KEY not in keys


def test_excluded_data_centre_gets_no_task():
    world = fleets.World(1)
    world.evacuated = frozenset({"dc0"})
    world.take_over()
    world.submit("a" * 16, make_step(8))
    world.run(3)
    used = {
        w.description.data_centre for w in world.workers.values() if w.ledger
    }
    assert used == {"dc1"}
    assert world.get_state("a" * 16) == "completed"


@pytest.mark.parametrize("takeover_s", [0.005, 0.06, 0.2, 0.4, 0.55, 0.6, 0.9])
def test_takeover_runs_nothing_twice(takeover_s):
    world = fleets.World(1)
    world.submit("a" * 16, make_step(8), make_step(8, (0,)))
    world.run(takeover_s)
    world.take_over()
    world.run(6)
    assert world.get_state("a" * 16) == "completed"
    assert world.list_violations() == []


@pytest.mark.parametrize("stored_count", [1, 2, 3])
def test_owner_that_dies_between_calls_of_a_jobs_end_runs_nothing_again(
    stored_count,
):
    """TWICE: its task groups were dropped before its end was recorded."""
    world = fleets.World(1, workers=5, run_s=lambda rng: rng.uniform(0.1, 3))
    world.submit("a" * 16, make_step(20), make_step(18))
    world.tear_append = lambda append_records: (
        stored_count
        if any(not record.value for record in append_records)
        else None
    )
    world.run(9)
    assert world.append_torn
    assert world.get_state("a" * 16) == "completed"
    assert world.starts == 38
    assert world.list_violations() == []


MULTI_GROUP_TASKS = records.GROUP_TASKS + 1


def store_first_record(append_records):
    """Returns how many records are stored: the owner dies after the first."""
    return 1 if len(append_records) > 1 else None


def test_gang_whose_placement_is_partly_recorded_is_placed_whole():
    """Fault: the first group was started and waited for a missing member."""
    world = fleets.World(1)
    world.submit("a" * 16, make_step(MULTI_GROUP_TASKS, gang=True))
    world.run(0.2)
    world.tear_append = store_first_record
    world.run(6)
    runs = [r for w in world.workers.values() for r in w.ledger]
    assert world.append_torn
    assert {run.how for run in runs} == {work.EndReason.DONE}
    assert world.get_state("a" * 16) == "completed"


def test_gang_whose_end_is_partly_recorded_is_done():
    """Fault: a crashed member, placed again alone, would wait for ever."""
    world = fleets.World(1)
    step = make_step(MULTI_GROUP_TASKS, gang=True)
    world.submit("a" * 16, step, make_step(1, (0,)))
    while world.starts < MULTI_GROUP_TASKS:
        world.run(fleets.TICK_S)
    tasks = world.fleet.job_store.jobs["a" * 16].occurrences[0][0]
    while not tasks[-1].answered_attempt:
        world.run(fleets.TICK_S)
    world.run(fleets.TICK_S)  # Until the log holds that starts were answered.
    world.tear_append = store_first_record
    while not world.append_torn:
        world.run(fleets.TICK_S)
    last_worker = next(
        worker
        for worker in world.workers.values()
        for run in worker.ledger
        if run.name.index == MULTI_GROUP_TASKS - 1
    )
    last_worker.crash()
    world.run(6)
    assert world.get_state("a" * 16) == "completed"
    assert world.starts == MULTI_GROUP_TASKS + 1


def test_gang_recorded_with_two_checkpoints_resumes_from_one():
    world = fleets.World(1)
    world.submit("a" * 16, make_step(MULTI_GROUP_TASKS, gang=True))
    job = world.fleet.job_store.jobs["a" * 16]
    tasks = job.occurrences[0][0]
    tasks[-1].checkpoint = "newer"
    takeover.repair_gangs(world.fleet, job)
    assert {task.checkpoint for task in tasks} == {"newer"}
    assert len(world.fleet.changed_groups) == 2


def test_takeover_waits_for_a_worker_that_may_still_run():
    world = fleets.World(1, run_s=lambda rng: 30.0)
    world.submit("a" * 16, make_step(8))
    world.run(1)
    unreachable_worker = next(w for w in world.workers.values() if w.runs)
    unreachable_worker.reachable = False
    world.take_over()
    world.run(12)
    assert world.list_violations() == []
    running = sum(len(w.runs) for w in world.workers.values())
    assert running == 8


def test_tasks_of_an_unreachable_worker_restart_after_their_lease():
    world = fleets.World(1)
    world.submit("a" * 16, make_step(8, until_cancelled=True))
    world.run(1)
    unreachable_worker = next(w for w in world.workers.values() if w.runs)
    unreachable_worker.crash()
    unreachable_worker.up = False
    world.run(5.0)
    assert sum(len(w.runs) for w in world.workers.values() if w.up) == 8


def test_takeovers_do_not_prolong_the_wait_for_an_unreachable_worker():
    """Load: a new owner every 3 s, while the worker's leases run out."""
    world = fleets.World(1)
    world.submit("a" * 16, make_step(8, until_cancelled=True))
    world.run(1)
    unreachable_worker = next(w for w in world.workers.values() if w.runs)
    unreachable_worker.crash()
    unreachable_worker.up = False
    for _ in range(5):
        world.run(3)
        world.take_over()
    world.run(1)
    assert sum(len(w.runs) for w in world.workers.values() if w.up) == 8


def test_worker_replaced_at_its_address_frees_its_tasks_at_once():
    world = fleets.World(1)
    world.submit("a" * 16, make_step(8, until_cancelled=True))
    world.run(1)
    replaced_worker = next(w for w in world.workers.values() if w.runs)
    replaced_worker.crash()
    replaced_worker.up = False
    replaced_worker.replaced = True
    world.run(1.2)
    assert sum(len(w.runs) for w in world.workers.values() if w.up) == 8


def test_store_outage_keeps_leases_and_records_ends_later():
    world = fleets.World(1, run_s=lambda rng: 3.0)
    world.submit("a" * 16, make_step(4), make_step(4, (0,)))
    world.run(1)
    world.store_up = False
    world.run(8)
    assert world.starts == 4
    world.store_up = True
    world.run(5)
    assert world.get_state("a" * 16) == "completed"
    assert world.starts == 8


WALK_SEEDS = range(40)


@pytest.mark.parametrize("seed", WALK_SEEDS)
def test_random_walk_keeps_the_guarantees(seed):
    world = fleets.World(
        seed,
        run_s=lambda rng: rng.uniform(0.1, 2.5),
        fail=lambda run: run.attempt == 1 and run.name.index == 3,
        late=(0.0, 0.06)[seed % 2],
    )
    for number in range(14):
        name = f"{number:016x}"
        width = world.rng.randint(1, 8)
        steps = [make_step(width)]
        if world.rng.random() < 0.5:
            steps.append(make_step(world.rng.randint(1, 6), (0,)))
        if world.rng.random() < 0.2:
            steps = [make_step(width, until_cancelled=True)]
        world.submit(name, *steps)
        world.run(world.rng.uniform(0.05, 0.8))
        _inject_fault(world)
    for worker in world.workers.values():
        worker.reachable = True
    world.store_up = True
    world.run(12)
    # Long-running tasks may fill the fleet; the others must end without them.
    for job in list(world.fleet.job_store.jobs.values()):
        if job.submission.steps[0].until_cancelled:
            world.cancel(job.submission.job)
    world.run(25)
    assert world.list_violations() == []
    open_jobs = [
        job
        for job in world.fleet.job_store.jobs.values()
        if not job.submission.steps[0].until_cancelled
    ]
    assert {job.state for job in open_jobs} <= job_store.ENDED


def _inject_fault(world):
    worker = world.rng.choice(list(world.workers.values()))
    draw = world.rng.random()
    if draw < 0.15:
        worker.crash()
    elif draw < 0.3:
        worker.reachable = not worker.reachable
    elif draw < 0.45:
        world.take_over()
    elif draw < 0.55:
        world.store_up = not world.store_up
    elif draw < 0.62:
        world.cancel(world.rng.choice(list(world.fleet.job_store.jobs)))


def spread_latency_critical(world):
    """Puts one latency-critical task on each worker, as after a crash."""
    world.submit("b" * 16, make_step(28))
    world.run(0.3)
    world.submit(
        "a" * 16, make_step(4, until_cancelled=True, image="s", target_ms=9)
    )
    world.run(12)


def count_latency_critical(world):
    counts = [
        sum(world.find_step(run.name).target_ms > 0 for run in w.runs.values())
        for w in world.workers.values()
    ]
    return sorted(counts)


def test_worker_is_vacated_for_best_effort_tasks_that_interfere_everywhere():
    world = fleets.World(1, run_s=lambda rng: 2.0)
    spread_latency_critical(world)
    assert count_latency_critical(world) == [1, 1, 1, 1]
    world.submit("c" * 16, make_step(6, best_effort=True, image="f"))
    world.run(16)
    assert count_latency_critical(world)[0] == 0
    assert world.get_state("c" * 16) == "completed"
    assert world.list_violations() == []


def test_no_worker_is_vacated_while_a_task_of_the_step_is_unreachable():
    world = fleets.World(1, run_s=lambda rng: 2.0)
    spread_latency_critical(world)
    unreachable_worker = next(w for w in world.workers.values() if w.runs)
    unreachable_worker.reachable = False
    world.submit("c" * 16, make_step(6, best_effort=True, image="f"))
    world.run(3.5)
    assert world.notes["moved"] == 0


@pytest.mark.parametrize("is_their_turn", [False, True])
def test_lasting_task_is_stopped_while_it_is_the_turn_of_others(
    is_their_turn, monkeypatch
):
    """LOST: what is stopped for fills takes the room that others wait for."""
    world = fleets.World(1, run_s=lambda rng: 2.0)
    spread_latency_critical(world)
    step = make_step(1, until_cancelled=True, image="s", target_ms=9)
    need = resources.Resources(9000, 1000, 0)
    world.submit("d" * 16, dataclasses.replace(step, need=need))
    world.submit("c" * 16, make_step(6, best_effort=True, image="f"))
    if is_their_turn:
        monkeypatch.setattr(lasting_turns, "has_turn", lambda *row: True)
    world.run(16)
    assert bool(world.notes["moved"]) != is_their_turn


def test_turn_of_lasting_tasks_is_that_of_their_service():
    world = fleets.World(1)
    world.submit("d" * 16, make_step(40, until_cancelled=True))
    world.run(1)
    fleet = world.fleet
    fleet.away.turns = {("d" * 16, 0, 0): 0.0}
    assert lasting_turns.has_turn(fleet, world.queue.service)
    assert not lasting_turns.has_turn(fleet, "other")
    fleet.ready.clear()
    assert not lasting_turns.has_turn(fleet, world.queue.service)


def test_task_without_capacity_elsewhere_is_not_moved():
    """Load: capacity elsewhere is taken after the worker to vacate was chosen.

    Fault: the moved task would be placed on the same worker again.
    """
    world = fleets.World(1, run_s=lambda rng: 2.0)
    spread_latency_critical(world)
    workers = world.fleet.workers
    world.fleet.vacating_worker = next(iter(workers))
    world.fleet.vacating_until = world.now + 12
    world.submit("d" * 16, make_step(28))
    world.run(0.6)
    assert {
        worker_state.get_available(worker).millicores
        for worker in workers.values()
    } == {0}
    world.run(0.6)
    assert world.notes["moved"] == 0


def test_unanswered_pace_is_sent_again():
    world = fleets.World(1, run_s=lambda rng: 30.0)
    world.submit("a" * 16, make_step(1, best_effort=True))
    world.run(1)
    worker = next(w for w in world.fleet.workers.values() if w.runs)
    run = next(iter(worker.runs.values()))
    run.percent = 40
    order = orders.Pace(run.name, run.attempt, world.fleet.epoch, 40)
    answer = orders.Answer(orders.Refusal.NO_ANSWER)
    name = worker.info.name
    event = events.OrderAnswered(world.now, name, world.now, order, answer)
    reducer.reduce(world.fleet, event)
    assert run.percent == worker_state.UNKNOWN_PERCENT
    paces = pacing.plan_paces(world.fleet, worker, [run])
    assert paces == {run.key: 100}
