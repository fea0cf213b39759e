"""A start without an answer is carried out late, at a worker out of reach.

Its lease counts from its arrival, so the leases that the owner knows of do not
bound it. Its task must run nowhere else meanwhile.
"""

import msgpack
import pytest

from poplarspindle import resources
from poplarspindle.fleet import job_store, records, unreachable, work
from poplarspindle.tools.fakes import fleets

CORE = resources.Resources(1000, 1000, 0)
JOB = "a" * 16
OTHER_JOB = "b" * 16
LATE_S = 10.0  # Longer than the leases that any owner knows of.
RUN_S = 4.0
PLACED_WITHIN_S = 6.0  # After the leases of a worker out of reach.
PLACED_IN_THE_END_S = 20.0  # The longest delay of a start, and its lease.

STEPS = [
    pytest.param({}, id="task"),
    pytest.param({"gang": True}, id="gang"),
    pytest.param({"until_cancelled": True}, id="lasting"),
]


def make_step(tasks, **options):
    return work.Step(tasks, CORE, 500, (), **options)


def make_world(workers=4, **options):
    return fleets.World(
        1,
        workers,
        run_s=lambda rng: RUN_S,
        late=1.0,
        late_s=(LATE_S, LATE_S),
        late_leases=True,
        **options,
    )


def list_unanswered(world):
    return [
        name
        for name, worker in world.fleet.workers.items()
        if any(run.unanswered_starts for run in worker.runs.values())
    ]


def cut_off_a_start(world, step):
    """Submits a job and cuts a worker off of which no start was answered.

    The others get each start again.
    """
    world.submit(JOB, step)
    while not list_unanswered(world):
        world.run(fleets.TICK_S)
    world.late = 0.0
    name = list_unanswered(world)[0]
    world.workers[name].reachable = False
    return world.workers[name]


def list_runs(world, job):
    return [
        run
        for worker in world.workers.values()
        for run in worker.ledger
        if run.name.job == job
    ]


@pytest.mark.parametrize("step", STEPS)
@pytest.mark.parametrize(
    "owners_s",
    [
        pytest.param([], id="same-owner"),
        pytest.param([0.05], id="owner-dies-at-once"),
        pytest.param([1.0], id="owner-dies-after-its-record"),
        pytest.param([1.0, 3.0, 3.0], id="owners-die-in-turn"),
    ],
)
def test_task_runs_nowhere_else_while_its_start_may_be_carried_out(
    step, owners_s
):
    """TWICE: the owner waited for the leases that it knew of only."""
    world = make_world()
    cut_off_a_start(world, make_step(3, **step))
    for after_s in owners_s:
        world.run(after_s)
        world.take_over()
    world.run(LATE_S + 2 * RUN_S)
    assert world.list_violations() == []
    assert any(run.began >= LATE_S for run in list_runs(world, JOB))


def test_only_tasks_with_such_a_start_wait():
    """Load: a worker dies; what ran there goes on elsewhere after its lease."""
    world = make_world()
    world.late = 0.0
    world.submit(OTHER_JOB, make_step(8, until_cancelled=True))
    world.run(0.5)
    world.late = 1.0
    worker = cut_off_a_start(world, make_step(1))
    lost = [run for run in worker.runs.values() if run.name.job == OTHER_JOB]
    assert lost
    world.run(PLACED_WITHIN_S)
    assert len(list_runs(world, OTHER_JOB)) == 8 + len(lost)
    assert list_runs(world, JOB) == []


def come_back(worker):
    worker.reachable = True


def begin_another_life(worker):
    worker.crash()
    worker.reachable = True


def be_replaced(worker):
    worker.crash()
    worker.up, worker.replaced = False, True


@pytest.mark.parametrize("new_owner", [False, True])
@pytest.mark.parametrize(
    "give_proof", [come_back, begin_another_life, be_replaced]
)
@pytest.mark.parametrize(
    "step",
    [pytest.param({}, id="task"), pytest.param({"gang": True}, id="gang")],
)
def test_proof_ends_the_wait(step, give_proof, new_owner):
    """Load: a task waits for its worker, which is heard of again."""
    world = make_world(late_incarnations=True)
    worker = cut_off_a_start(world, make_step(3, **step))
    world.run(PLACED_WITHIN_S)
    if new_owner:
        world.take_over()
        world.run(0.1)
    give_proof(worker)
    world.run(1.0)
    begun = {run.name.index for run in list_runs(world, JOB)}
    assert begun == {0, 1, 2}
    world.run(LATE_S)
    assert world.get_state(JOB) == "completed"
    assert world.list_violations() == []


@pytest.mark.parametrize("owners_s", [[], [1.0], [1.0, 5.0]])
def test_task_of_a_worker_that_is_gone_for_good_is_placed_in_the_end(owners_s):
    world = make_world()
    worker = cut_off_a_start(world, make_step(1))
    worker.crash()
    worker.up = False
    for after_s in owners_s:
        world.run(after_s)
        world.take_over()
    world.run(PLACED_IN_THE_END_S + RUN_S + 1.0 - sum(owners_s))
    assert world.get_state(JOB) == "completed"


def test_record_of_an_earlier_version_tells_of_no_late_runs():
    value = msgpack.packb([records.FORMAT_VERSION, {"w0": [1000, 2000]}])
    (worker,) = unreachable.decode_unreachable(value, 5.0).values()
    assert worker == unreachable.UnreachableWorker(1000, 7.0, None)


@pytest.mark.parametrize("answered", [0, 3])
@pytest.mark.parametrize("open_attempts", [(), (1, 2)])
@pytest.mark.parametrize("crashes", [0, 1])
def test_log_tells_if_the_starts_of_an_attempt_were_answered(
    crashes, open_attempts, answered
):
    submission = work.Submission(
        JOB,
        work.Queue("q", "h", "/q/", "pool", 0, 3, 1.5, 250),
        "s",
        (make_step(1),),
    )
    task = job_store.Task(
        job_store.Phase.PLACED,
        3,
        1,
        "w0",
        1000,
        "checkpoint",
        open_attempts,
        job_store.CrashRecord(crashes),
        (),
        answered,
    )
    written, read = job_store.Job(submission), job_store.Job(submission)
    written.occurrences[0] = [[task]]
    read.occurrences[0] = [[job_store.Task()]]
    record = records.encode_group(written, (0, 0, 0))
    records.apply_group(read, (0, 0, 0), record.value)
    assert all(
        getattr(task, field) == getattr(read.occurrences[0][0][0], field)
        for field in job_store.Task.__slots__
    )
