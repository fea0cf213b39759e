"""What is valid in one life of a worker acts in its next under the same name.

A poll or an order gets no answer; its worker begins a new life, whose ends,
clock and fence begin anew, is heard and then cut off. Only then is the late
one carried out.
"""

import dataclasses
import itertools

import pytest

from poplarspindle import resources
from poplarspindle.fleet import work
from poplarspindle.node import polling
from poplarspindle.tests import test_polling
from poplarspindle.tools.fakes import (
    fleets,
    judging,
    late_strikes,
    losses,
    walks,
)

CORE = resources.Resources(1000, 1000, 0)
ACKNOWLEDGED, JOB, LOST = "a" * 16, "b" * 16, "c" * 16
LATE_POLL_S = 4.0  # The leases of the run last until then.
LATE_START_S = 8.0
SHORT_S, LONG_S = 1.0, 15.0  # How long runs take.
UPTIME_S = 10.0  # The life before; longer than leases, so its clock is ahead.
POLL_S = 0.25
NOTED_S = 0.5  # By then an end is recorded and acknowledged.
ENDS = 3  # Acknowledged in the life before.


def make_step(tasks=1, **options):
    return work.Step(tasks, CORE, 500, **options)


def list_faults(world):
    return (
        world.list_violations()
        + judging.list_wrong_states(world)
        + world.checker.violations
    )


def begin_lives(world, name, lives):
    """Lets a worker begin new lives, each of which is heard.

    What is sent to the last one after its first report has not come yet.
    """
    worker = world.workers[name]
    for _ in range(lives):
        world.run(2 * fleets.TICK_S)
        worker.crash()
        while world.fleet.workers[name].incarnation_ms != worker.incarnation_ms:
            world.run(fleets.TICK_S)


def lose_polls(world):
    losses.lose_polls(world)


def cut_off(world, worker, taken_over):
    """Cuts a worker off, maybe before another owner begins."""
    worker.reachable = False
    if taken_over:
        world.run(SHORT_S + NOTED_S)
        world.take_over()


def list_cases(list_faults_of, scene):
    """Lists what was broken, by whether the owner changed and by lives."""
    cases = itertools.product([False, True], [1, 2])
    found = {
        f"taken over {taken_over}, lives {lives}": list_faults_of(
            scene, taken_over, lives
        )
        for taken_over, lives in cases
    }
    return {case: faults for case, faults in found.items() if faults}


@dataclasses.dataclass(frozen=True)
class Ended:
    """A job whose runs ended, and how often it may fail."""

    steps: tuple[work.Step, ...]
    fails: bool = False
    attempts: int = 3


NEXT = make_step(prerequisites=(0,))
GANG = make_step(2, gang=True)
FORGOTTEN = {
    "done": Ended((make_step(),)),
    "done-next-step-waits": Ended((make_step(3), NEXT)),
    "done-gang": Ended((GANG,)),
    "done-gang-next-step-waits": Ended((GANG, NEXT)),
    "failed-last-attempt": Ended((make_step(),), True, 1),
    "failed-first-attempt": Ended((make_step(),), True, 2),
    "failed-gang": Ended((GANG,), True, 1),
    "failed-gang-first-attempt": Ended((GANG,), True, 2),
}


def make_world_with_a_late_poll(ended):
    """Makes a world where a late poll names the ends of a job that is done."""
    world = fleets.World(
        1,
        workers=1,
        run_s=lambda rng: SHORT_S,
        fail=lambda run: ended.fails and run.name.job == JOB,
        late_s=(LATE_POLL_S, LATE_POLL_S),
        late_incarnations=True,
    )
    world.allow_attempts(ended.attempts)
    world.submit(ACKNOWLEDGED, make_step(ENDS))
    world.run(SHORT_S + 2 * NOTED_S)
    assert world.get_state(ACKNOWLEDGED) == "completed"
    lose_polls(world)
    return world


def start_job(world, ended):
    world.submit(JOB, *ended.steps)
    while not world.workers["w0"].runs:
        world.run(fleets.TICK_S)


def list_faults_of_a_late_poll(ended, taken_over, lives):
    world = make_world_with_a_late_poll(ended)
    begin_lives(world, "w0", lives)
    start_job(world, ended)
    world.run(POLL_S)
    cut_off(world, world.workers["w0"], taken_over)
    world.run(LATE_POLL_S)
    world.workers["w0"].reachable = True
    world.run(2 * LONG_S)
    assert world.get_state(JOB) == ("failed" if ended.fails else "completed")
    return list_faults(world)


@pytest.mark.parametrize("ended", FORGOTTEN.values(), ids=FORGOTTEN.keys())
def test_end_is_forgotten_as_a_late_poll_of_the_life_before_names_it(ended):
    """TWICE after `done`, BUDGET after `failed`: the run is taken to be lost.

    The late poll acknowledges ends of the life before, and the next life's
    ends have the same numbers. No owner has heard of these.
    """
    assert list_cases(list_faults_of_a_late_poll, ended) == {}


@pytest.mark.parametrize(
    "ended",
    [FORGOTTEN["done"], FORGOTTEN["failed-last-attempt"]],
    ids=["done", "failed"],
)
def test_end_is_forgotten_before_the_log_has_it(ended):
    """TWICE, BUDGET: the owner that was told of the end dies too early.

    The worker is never cut off. A poll of its life before acknowledges the
    end while the append that records it is on its way.
    """
    world = make_world_with_a_late_poll(ended)
    begin_lives(world, "w0", 1)
    world.run(LATE_POLL_S - SHORT_S - 2.5 * NOTED_S)
    start_job(world, ended)
    world.append_s = 2 * LATE_POLL_S
    (run,) = world.workers["w0"].runs.values()
    while run.noted > world.now and world.now < 2 * LATE_POLL_S:
        world.run(fleets.TICK_S)
    assert run.reported
    world.take_over()
    world.append_s = fleets.APPEND_S
    world.run(2 * LONG_S)
    assert list_faults(world) == []


def test_late_poll_of_an_owner_before_is_refused_in_the_next_life():
    """The next owner's epoch is the fence of the life that it has heard."""
    ended = FORGOTTEN["done"]
    world = make_world_with_a_late_poll(ended)
    begin_lives(world, "w0", 1)
    world.take_over()
    world.run(NOTED_S)
    start_job(world, ended)
    cut_off(world, world.workers["w0"], taken_over=False)
    world.run(LATE_POLL_S)
    world.workers["w0"].reachable = True
    world.run(2 * LONG_S)
    assert world.get_state(JOB) == "completed"
    assert list_faults(world) == []


LATE_STARTS = {
    "done": Ended((make_step(),)),
    "done-gang": Ended((GANG,)),
    "done-next-step-runs": Ended((make_step(), NEXT)),
    "failed": Ended((make_step(),), True),
    "failed-last-attempt": Ended((make_step(),), True, 1),
    "failed-gang": Ended((GANG,), True),
    "failed-gang-last-attempt": Ended((GANG,), True, 1),
    "lasting-failed": Ended((make_step(until_cancelled=True),), True),
}


def end_a_run_whose_start_is_late(ended):
    """Makes a world where the repeat of a late start was carried out and ended.

    Later attempts run in the data centre where that worker is not.

    Returns:
        The world, and the name of a worker where the start may still come.
    """
    world = fleets.World(
        1,
        workers=4,
        run_s=lambda rng: LONG_S,
        fail=lambda run: ended.fails and run.attempt == 1,
        late_s=(LATE_START_S, LATE_START_S),
        late_incarnations=True,
    )
    world.allow_attempts(ended.attempts)
    world.run(UPTIME_S)
    world.late = 1.0
    world.submit(JOB, *ended.steps)
    while not world.notes["start-refused"]:
        world.run(fleets.TICK_S)
    world.late = 0.0
    name = next(n for n, w in world.fleet.workers.items() if w.runs)
    ledger = world.workers[name].ledger
    while not ledger:
        world.run(fleets.TICK_S)
    for worker in world.workers.values():
        for run in worker.runs.values():
            run.ends = world.now + SHORT_S
    world.evacuated = frozenset({world.workers[name].description.data_centre})
    world.allow_attempts(ended.attempts)
    world.run(SHORT_S + NOTED_S)
    assert [run.attempt for run in ledger if run.ended <= world.now] == [1]
    return world, name


def list_faults_of_a_late_start(ended, taken_over, lives):
    world, name = end_a_run_whose_start_is_late(ended)
    begin_lives(world, name, lives)
    cut_off(world, world.workers[name], taken_over)
    world.run(LATE_START_S + LONG_S)
    world.workers[name].reachable = True
    world.run(LONG_S)
    return list_faults(world)


@pytest.mark.parametrize("ended", LATE_STARTS.values(), ids=LATE_STARTS.keys())
def test_late_start_of_a_run_that_is_over_begins_in_the_next_life(ended):
    """TWICE or BUDGET: the stop that would refuse it there is lost.

    The next life was heard before it was cut off, so its fence is known.
    """
    assert list_cases(list_faults_of_a_late_start, ended) == {}


@pytest.mark.parametrize("heard_before", [False, True])
@pytest.mark.parametrize("ended", LATE_STARTS.values(), ids=LATE_STARTS.keys())
def test_late_start_of_an_owner_before_is_refused_in_the_next_life(
    ended, heard_before
):
    """The next owner's epoch is the worker's fence, in each life it heard."""
    world, name = end_a_run_whose_start_is_late(ended)
    if heard_before:
        world.take_over()
        world.run(NOTED_S)
    begin_lives(world, name, 1)
    if not heard_before:
        cut_off(world, world.workers[name], taken_over=True)
        world.workers[name].reachable = True
        world.run(NOTED_S)
    cut_off(world, world.workers[name], taken_over=False)
    world.run(LATE_START_S + LONG_S)
    assert list_faults(world) == []


def lose_start(world):
    world.late = 1.0
    world.submit(LOST, make_step())
    world.run(POLL_S)
    world.late = 0.0


def list_faults_of_a_late_deadline(lose, taken_over, lives):
    world = fleets.World(
        1,
        workers=2,
        run_s=lambda rng: LONG_S,
        late_s=(LATE_POLL_S, LATE_POLL_S),
        late_incarnations=True,
    )
    world.unlisted.add("w1")
    world.run(UPTIME_S)
    lose(world)
    begin_lives(world, "w0", lives)
    worker = world.workers["w0"]
    world.submit(JOB, make_step())
    while not any(run.name.job == JOB for run in worker.ledger):
        world.run(fleets.TICK_S)
    world.unlisted.clear()
    cut_off(world, worker, taken_over)
    world.run(2 * LONG_S)
    return list_faults(world)


@pytest.mark.parametrize("lose", [lose_polls, lose_start])
def test_deadline_of_the_life_before_renews_the_leases_of_the_next(lose):
    """TWICE: the late deadline is a time on the clock of the life before.

    The clock of the next life is behind, so the late order gives all its runs
    the longest leases, while its owner waits for those that it granted.
    """
    assert list_cases(list_faults_of_a_late_deadline, lose) == {}


class RecordingClient(test_polling.FakeClient):
    """Keeps the number of the end that each poll acknowledges."""

    def __init__(self, answers):
        super().__init__(answers)
        self.acknowledged = []

    def poll(self, order, timeout_s, done):
        """Answers the next poll of the script."""
        self.acknowledged.append(order.acknowledged_end)
        super().poll(order, timeout_s, done)


REPORT = test_polling.make_report(5)
UNANSWERED = {
    "answer-lost": [test_polling.LOST],
    "silent": [test_polling.LOST, test_polling.LOST],
    "refused": [test_polling.REFUSED],
    "refused-for-long": [test_polling.REFUSED] * 5,
}


def poll_after_acknowledging(answers):
    """Lets the first answers come, the ends of the life be recorded, and on."""
    client = RecordingClient([REPORT, *answers])
    own = test_polling.FakeOwnership(client)
    poller = polling.WorkerPoller(own, test_polling.WORKER)
    poller.poll()
    poller.acknowledge(REPORT.value.incarnation_ms, ENDS)
    own.pass_time()
    return client.acknowledged


@pytest.mark.parametrize("unanswered", UNANSWERED.values(), ids=UNANSWERED)
def test_poll_after_one_without_an_answer_acknowledges_no_end(unanswered):
    """TWICE: the worker may have begun a new life under its name by then.

    A start that came to that life first may have ended in it, and its end has
    a number that was acknowledged in the life before.
    """
    acknowledged = poll_after_acknowledging([REPORT, *unanswered])
    assert len(acknowledged) == 3 + len(unanswered)
    assert acknowledged[3:] == [0] * len(unanswered)


def test_poll_after_a_report_of_the_same_life_acknowledges_its_ends():
    """Ends stay listed for ever if their number is never named again."""
    acknowledged = poll_after_acknowledging([test_polling.REFUSED, REPORT])
    assert acknowledged[-1] == ENDS


STRIKES = (walks.crash_while_disconnected, late_strikes.delay_most)
LATE = walks.Plan(
    late=0.1,
    late_s=(2.0, 12.0),
    late_incarnations=True,
    strikes=(walks.disconnect_two, *STRIKES),
)
LATE_TOO = dataclasses.replace(LATE, late_polls=0.2)
DEADLY = dataclasses.replace(LATE_TOO, deadly=True)
CUTS = dataclasses.replace(
    LATE,
    late_polls=0.1,
    cut_late=0.3,
    run_s=(0.3, 8.0),
    strikes=(walks.unlist_while_disconnected, *STRIKES),
)
WALKS = {
    "starts": (LATE, (*range(18), 30, 32)),
    "polls": (LATE_TOO, (*range(11), 23, 32, 55, 81, 84, 91, 98, 113, 118)),
    "deadly": (
        DEADLY,
        (*range(9), 10, 11, 12, *range(14, 20), 45, 80, 96, 101, 110, 119),
    ),
    "cuts": (CUTS, (*range(18), 84, 102)),
}


@pytest.mark.parametrize(
    ("plan", "seed"),
    [
        pytest.param(plan, seed, id=f"{name}-{seed}")
        for name, (plan, seeds) in WALKS.items()
        for seed in seeds
    ],
)
def test_walk_with_what_is_late_from_the_lives_before(plan, seed):
    """TWICE, BUDGET: polls and starts of a life come late to the next ones."""
    assert walks.list_faults(seed, plan) == []
