"""Each fault at each step of a task's life, alone and in pairs."""

import itertools

import pytest

from poplarspindle import cells, records
from poplarspindle.tools import fuzz, world

CENTRE, OTHER = world.DATA_CENTRES
TASK = "job/0"
JOB = records.JobSubmitted(
    "job", "team", "family", 1, 1, 1000, 1000, run_ms=4000, exclusive=True
)
REACH_STEPS = 120
FAULT_STEPS = 32
PAUSE_S = 6.0


def find_owner(scene, centre=CENTRE):
    owners = (
        i
        for i in scene.instances
        if centre in i.state.cells
        and i.state.cells[centre].table.owner == i.name
    )
    return next(owners, None)


def find_task(scene, centre=CENTRE):
    owner = find_owner(scene, centre)
    return owner and owner.state.cells[centre].table.tasks.get(TASK)


def in_phase(phase, centre=CENTRE):
    def reached(scene):
        task = find_task(scene, centre)
        return task is not None and task.phase is phase

    return reached


def in_view(select):
    def reached(scene):
        owner = find_owner(scene)
        return owner is not None and select(owner.state.cells[CENTRE].view)

    return reached


def is_received(scene):
    return find_task(scene, OTHER) is not None


def evict(scene):
    table = find_owner(scene).state.cells[CENTRE].table
    record = records.TaskEvicted(TASK, 0, table.term, "room")
    scene.store(cells.name_stream(CENTRE), (record,))


def take_out(scene):
    scene.set_centre(CENTRE, False)


RUNNING = in_phase(cells.Phase.RUNNING)
# Step: what is done once the task runs, and when the step is reached.
STEPS = {
    "queued": (None, in_phase(cells.Phase.QUEUED)),
    "placed-unread": (None, in_view(lambda v: TASK in v.pending)),
    "placed": (None, in_phase(cells.Phase.PLACED)),
    "starting": (None, in_view(lambda v: TASK in v.starts)),
    "running": (None, RUNNING),
    "stopping": (evict, in_phase(cells.Phase.STOPPING)),
    "stopped-unread": (
        evict,
        in_view(lambda v: records.TaskStopped in v.proposed.get(TASK, ())),
    ),
    "moved": (take_out, in_phase(cells.Phase.MOVED)),
    "received": (take_out, is_received),
}


def crash_owner(scene):
    scene.crash(find_owner(scene) or scene.instances[0])
    scene.add_instance()


def crash_all(scene):
    for instance in list(scene.instances):
        scene.crash(instance)
        scene.add_instance()


def pause_owner(scene):
    owner = find_owner(scene) or scene.instances[0]
    owner.paused_until = scene.now + PAUSE_S


def cut_owner_from_log(scene):
    (find_owner(scene) or scene.instances[0]).cut_log = True


def cut_owner_from_workers(scene):
    owner = find_owner(scene) or scene.instances[0]
    owner.cut_workers = set(scene.fakes.workers)


def stop_log(scene):
    scene.log_down = True


def lose_answers(scene):
    scene.chances = world.Chances(lost_ack=0.7, twice=0.5)


def delay_calls(scene):
    scene.chances = world.Chances(late=0.5, lost=0.3)


def drop_records(scene):
    scene.chances = world.Chances(dropped=0.6)


def find_worker(scene):
    running = (r for r in reversed(scene.fakes.ledger) if r.ended is None)
    task = find_task(scene)
    name = next((r.worker for r in running), task and task.worker)
    return scene.fakes.workers[name or f"{CENTRE}-0"]


def cut_worker(scene):
    find_worker(scene).cut = True


def kill_worker(scene):
    find_worker(scene).kill(scene.now)


def cancel(scene):
    for centre in world.DATA_CENTRES:
        stream = cells.name_stream(centre)
        scene.store(stream, (records.JobCancelled("job"),))


def leave(scene):
    take_out(scene)


FAULTS = (
    crash_owner,
    pause_owner,
    stop_log,
    lose_answers,
    cut_worker,
    cut_owner_from_log,
    crash_all,
    delay_calls,
    cut_owner_from_workers,
    drop_records,
    kill_worker,
    cancel,
    leave,
)
SETS = (
    *((fault,) for fault in FAULTS),
    *itertools.pairwise((*FAULTS, FAULTS[0])),
)
# A worker that can't be asked may have finished: the lapse of its lease is
# all that is known, and the task runs again.
HIDES_FINISH = {
    lose_answers,
    delay_calls,
    cut_worker,
    kill_worker,
    cut_owner_from_workers,
}


@pytest.mark.parametrize(
    "faults", SETS, ids=lambda faults: "+".join(f.__name__ for f in faults)
)
@pytest.mark.parametrize("step", STEPS)
def test_promises_hold(step, faults):
    act, reached = STEPS[step]
    scene = world.World(7, instances=2, text=world.CENTRES_TEXT)
    scene.submit(CENTRE, JOB)
    run_until(scene, reached if act is None else RUNNING)
    if act is not None:
        act(scene)
        run_until(scene, reached)
    for fault in faults:
        fault(scene)
    for _ in range(FAULT_STEPS):
        scene.step()
    fuzz.end_faults(scene)
    assert fuzz.settle(scene) == []
    assert was_fair(scene, faults)


def run_until(scene, reached):
    for _ in range(REACH_STEPS):
        if reached(scene):
            return
        scene.step()
    raise AssertionError("the step was never reached")


def was_fair(scene, faults):
    """Tells whether the task finished, once where that could be known."""
    finishes = [r for r in scene.fakes.ledger if r.cause == "finished"]
    if not finishes:
        return cancel in faults
    return len(finishes) == 1 or bool(HIDES_FINISH.intersection(faults))
