"""A grant of leases without an answer is carried out late.

Polls and starts renew all leases of their worker. Where the time of one that
comes late counts from its arrival, runs whose own starts were answered outlast
the leases that their owner knows of. TWICE: they go on, or their ends count,
after their tasks began elsewhere. LOST: a worker dies, and its tasks wait too
long for grants that can't come any more.
"""

import itertools

import pytest

from poplarspindle import resources
from poplarspindle.fleet import leases, work, worker_state
from poplarspindle.tools.fakes import fleets, losses, messages

CORE = resources.Resources(1000, 1000, 0)
ONE_TASK = work.Step(1, CORE, 500)
RUNNING = "a" * 16
LOST_JOBS = ["b" * 16, "c" * 16, "d" * 16, "e" * 16]
TASKS = 3
RUN_S = 25.0  # Longer than any grant here lasts.
CUT_S = 20.0
LEASE_S = leases.LEASE_MS / 1000 * worker_state.MAX_CLOCK_DRIFT
IN_LEASE_S = 3.5  # Comes before the leases end that the owner knows of.
IN_NEXT_LEASE_S = 7.0  # Comes before the leases end that such a grant began.
LEAST_DELAY_S = 2.0  # Orders that are carried out late are so at least.
LOSSES_S = 3.0  # For so long some orders or polls are lost, others not.
RENEWED_S = 1.5  # By then a poll renews after one without an answer.
ANSWERED_S = 1.0  # For so long all are answered after that.
NOTED_S = 1.8  # By then a worker out of reach is on the record.
TAKEN_NOTE_OF_S = 1.5  # From a worker's return to the note of its ends.
HEARTBEATS_S = 3.3  # After its last heartbeat an entry is dropped.
LEAST_HEARTBEATS_S = 2.2  # The same, one heartbeat later.
# What is allowed for at the end of leases, and a round with its polls.
LEASES_END_S = worker_state.LEASE_END_SLACK_S + 0.5
FINISH_S = 14.0  # The pages' `finish_s`; then a job must go on within 3 s.
IN_THE_END_S = FINISH_S + 3.0

STEPS = [
    pytest.param({}, id="task"),
    pytest.param({"gang": True}, id="gang"),
    pytest.param({"until_cancelled": True}, id="lasting"),
]
OWNERS = ["same-owner", "next-owner-before-record", "next-owner-after-record"]


def make_idle_world(delays_s, late_leases=True):
    """Makes a world where w0 alone is listed at first.

    Args:
        delays_s: How late the orders and polls that are late are, in turn.
        late_leases: Whether leases of late starts begin when they come.
    """
    world = fleets.World(
        1,
        workers=2,
        run_s=lambda rng: RUN_S,
        late_leases=late_leases,
        late_grants=True,
    )
    delays = itertools.cycle(delays_s)
    world.rng.uniform = lambda least, most: next(delays)
    world.unlisted.add("w1")
    world.run(0.5)
    return world


def make_world(step, delays_s, late_leases=True):
    """Makes such a world where a job runs on w0.

    Args:
        step: Options of the job's step.
        delays_s: As above.
        late_leases: As above.
    """
    world = make_idle_world(delays_s, late_leases)
    world.submit(RUNNING, work.Step(TASKS, CORE, 500, (), **step))
    world.run(1.0)
    assert count_at_work(world.workers["w0"], RUNNING) == TASKS
    return world


def count_at_work(worker, *jobs):
    return sum(name.job in jobs for name, _ in worker.runs)


def lose_nothing(world):
    """Lets all be answered."""


def lose_renewal(world, tries=1):
    """Loses the next poll that renews, and so many tries; others are heard."""
    losses.lose_polls(world, "w0", tries, [messages.Kind.RENEWAL])


def lose_poll(world):
    """Loses a poll that renews, and its repetition."""
    lose_renewal(world, 2)


def lose_two_polls(world):
    lose_poll(world)
    lose_poll(world)


def lose_first_try_of_poll(world):
    """Loses a poll whose repetition is answered."""
    lose_renewal(world)
    world.run(ANSWERED_S)


def lose_renewal_and_its_repetition(world):
    lose_renewal(world, 2)


def lose_renewals_among_answered_ones(world):
    """Loses the renewal of each second; what repeats it is answered."""
    until = world.now + LOSSES_S
    while world.now < until:
        lose_renewal(world)


def lose_renewals_for_long(world):
    lose_renewals_among_answered_ones(world)
    world.run(ANSWERED_S)


def lose_start(world, job=LOST_JOBS[0], step=ONE_TASK):
    """Loses the first start of each task of another job."""
    world.late = 1.0
    world.submit(job, step)
    world.run(0.1)
    world.late = 0.0


def lose_two_starts(world):
    lose_start(world, LOST_JOBS[0])
    lose_start(world, LOST_JOBS[1])


def lose_polls_among_answered_ones(world):
    """Loses polls that renew; the last one is answered, and renews."""
    until = world.now + LOSSES_S
    while world.now < until:
        lose_poll(world)
        world.run(RENEWED_S)


def lose_starts_among_answered_ones(world):
    """Loses the first start of each job; what repeats it is answered."""
    for job in LOST_JOBS:
        lose_start(world, job)
        world.run(LOSSES_S / len(LOST_JOBS) - 0.1)


def lose_polls_for_long(world):
    lose_polls_among_answered_ones(world)
    world.run(ANSWERED_S)


def lose_starts_for_long(world):
    lose_starts_among_answered_ones(world)
    world.run(ANSWERED_S)


def change_owner(world, owner):
    """Lets another owner begin, or none.

    Returns:
        Seconds that passed.
    """
    if owner == "same-owner":
        return 0.0
    wait_s = NOTED_S if owner == "next-owner-after-record" else 0.0
    world.run(wait_s)
    world.take_over()
    return wait_s


def cut_off(world, unlisted=False):
    """Cuts w0 off, alive; from now on tasks can be placed on w1."""
    world.workers["w0"].reachable = False
    world.unlisted.clear()
    if unlisted:
        world.call_later(HEARTBEATS_S, lambda: world.unlisted.add("w0"))


def mend(world):
    world.workers["w0"].reachable = True
    world.unlisted.clear()


def kill(world):
    """Ends w0 for good; its entry is dropped once its heartbeats are missed."""
    worker = world.workers["w0"]
    worker.crash()
    worker.up = False
    worker.listed_until = world.now + HEARTBEATS_S
    world.unlisted.clear()


GRANTS = [
    pytest.param(lose_poll, [IN_LEASE_S], id="poll"),
    pytest.param(lose_poll, [IN_LEASE_S, IN_NEXT_LEASE_S], id="both-tries"),
    pytest.param(lose_renewal, [IN_LEASE_S - 1.0], id="renewal"),
    pytest.param(
        lose_renewal_and_its_repetition,
        [IN_LEASE_S - 1.0, IN_NEXT_LEASE_S - 1.0],
        id="renewal-both-tries",
    ),
    pytest.param(lose_first_try_of_poll, [IN_LEASE_S], id="first-try"),
    pytest.param(lose_two_polls, [IN_LEASE_S], id="two-polls"),
    pytest.param(lose_start, [IN_LEASE_S], id="start"),
    pytest.param(
        lose_two_starts, [IN_LEASE_S, IN_NEXT_LEASE_S], id="two-starts"
    ),
]


@pytest.mark.parametrize("owner", OWNERS)
@pytest.mark.parametrize("step", STEPS)
@pytest.mark.parametrize(("lose", "delays_s"), GRANTS)
def test_late_grant_keeps_runs_at_work_after_they_were_given_up(
    lose, delays_s, step, owner
):
    """TWICE: the worker is cut off just after the grant."""
    world = make_world(step, delays_s)
    lose(world)
    cut_off(world)
    change_owner(world, owner)
    world.run(CUT_S)
    mend(world)
    world.run(2 * RUN_S)
    assert world.list_violations() == []


@pytest.mark.parametrize("owner", OWNERS)
@pytest.mark.parametrize("step", STEPS)
@pytest.mark.parametrize(
    "lose",
    [
        lose_polls_among_answered_ones,
        lose_renewals_among_answered_ones,
        lose_starts_among_answered_ones,
    ],
)
def test_late_grant_that_was_lost_before_answered_ones_keeps_runs_at_work(
    lose, step, owner
):
    """TWICE: later polls of the worker were answered before it was cut off."""
    world = make_world(step, [LOSSES_S + IN_LEASE_S])
    lose(world)
    cut_off(world)
    change_owner(world, owner)
    world.run(CUT_S)
    mend(world)
    world.run(2 * RUN_S)
    assert world.list_violations() == []


@pytest.mark.parametrize("owner", OWNERS)
@pytest.mark.parametrize("step", STEPS)
@pytest.mark.parametrize(
    "lose", [lose_poll, lose_renewal_and_its_repetition, lose_start]
)
def test_late_grant_keeps_runs_at_work_on_a_worker_that_is_not_listed(
    lose, step, owner
):
    """TWICE: cut off from store and owner, the worker is alive."""
    world = make_world(step, [IN_LEASE_S])
    lose(world)
    cut_off(world, unlisted=True)
    change_owner(world, owner)
    world.run(CUT_S)
    mend(world)
    world.run(2 * RUN_S)
    assert world.list_violations() == []


@pytest.mark.parametrize("owner", OWNERS)
@pytest.mark.parametrize("step", STEPS[:2])  # The others have no such end.
@pytest.mark.parametrize(
    "lose", [lose_poll, lose_renewal_and_its_repetition, lose_start]
)
def test_end_that_a_late_grant_lets_count_comes_after_the_task_began_again(
    lose, step, owner
):
    """TWICE: done while out of reach, and the leases last until it is heard."""
    world = make_world(step, [IN_LEASE_S])
    lose(world)
    cut_off(world)
    for worker_run in world.workers["w0"].runs.values():
        worker_run.ends = min(worker_run.ends, world.now + 1.0)
    spent_s = change_owner(world, owner)
    world.run(IN_LEASE_S + LEASE_S - TAKEN_NOTE_OF_S - spent_s)
    mend(world)
    world.run(2 * RUN_S)
    assert world.list_violations() == []


@pytest.mark.parametrize("owner", OWNERS)
@pytest.mark.parametrize("step", STEPS)
def test_grant_that_comes_after_the_lapse_renews_nothing(step, owner):
    """TWICE: what lapsed stays so, and runs elsewhere."""
    world = make_world(step, [LEASE_S + 2.0])
    lose_poll(world)
    cut_off(world)
    change_owner(world, owner)
    world.run(CUT_S)
    assert count_at_work(world.workers["w0"], RUNNING) == 0
    assert count_at_work(world.workers["w1"], RUNNING) == TASKS
    mend(world)
    world.run(2 * RUN_S)
    assert world.list_violations() == []


@pytest.mark.parametrize("owner", OWNERS)
@pytest.mark.parametrize("step", STEPS)
@pytest.mark.parametrize("unlisted", [False, True])
def test_start_that_comes_within_its_deadline_runs_once(unlisted, step, owner):
    """TWICE: a worker that is cut off begins it, to the deadline it names."""
    world = make_world({}, [LEAST_DELAY_S], late_leases=False)
    lose_start(world, LOST_JOBS[0], work.Step(TASKS, CORE, 500, (), **step))
    cut_off(world, unlisted)
    change_owner(world, owner)
    world.run(CUT_S)
    assert count_at_work(world.workers["w0"], LOST_JOBS[0]) == 0
    mend(world)
    world.run(2 * RUN_S)
    assert world.list_violations() == []


@pytest.mark.parametrize("owner", OWNERS)
@pytest.mark.parametrize("step", STEPS)
def test_late_start_runs_on_a_worker_that_is_taken_to_be_gone(step, owner):
    """TWICE: it comes within its deadline, but its lease counts from then.

    The worker missed a heartbeat before it was cut off from its owner.
    """
    world = make_idle_world([LEAST_DELAY_S])
    world.run(1.0)
    lose_start(world, LOST_JOBS[0], work.Step(TASKS, CORE, 500, (), **step))
    cut_off(world)
    world.call_later(LEAST_HEARTBEATS_S, lambda: world.unlisted.add("w0"))
    change_owner(world, owner)
    world.run(CUT_S)
    mend(world)
    world.run(2 * RUN_S)
    assert world.list_violations() == []


LOSSES_BEFORE_DEATH = [
    pytest.param(lose_nothing, 0, id="nothing"),
    pytest.param(lose_first_try_of_poll, 1, id="first-try"),
    pytest.param(lose_poll, 1, id="poll"),
    pytest.param(lose_renewal, 1, id="renewal"),
    pytest.param(lose_start, 1, id="start"),
    pytest.param(lose_renewals_for_long, 0, id="renewals-for-long"),
    pytest.param(lose_polls_for_long, 0, id="polls-for-long"),
    pytest.param(lose_starts_for_long, 0, id="starts-for-long"),
]


@pytest.mark.parametrize("owner", OWNERS)
@pytest.mark.parametrize("step", STEPS)
@pytest.mark.parametrize(("lose", "unanswered"), LOSSES_BEFORE_DEATH)
def test_tasks_of_a_dead_worker_wait_for_grants_too_long(
    lose, unanswered, step, owner
):
    """LOST: few orders were out without an answer when the worker died.

    Its answered runs wait for its leases and one more lease for each such
    order, two leases at least. A next owner that finds no record of the worker
    can't tell how many were out, so that it may take as long as for a start
    without an answer.
    """
    world = make_world(step, [IN_LEASE_S])
    lose(world)
    kill(world)
    spent_s = change_owner(world, owner)
    soon_s = (1 + max(1, unanswered)) * LEASE_S + LEASES_END_S
    if owner == "next-owner-before-record":
        soon_s = IN_THE_END_S
    world.run(soon_s - spent_s)
    assert count_at_work(world.workers["w1"], RUNNING) == TASKS
    world.run(IN_THE_END_S - soon_s)
    lost_jobs = [job for job in LOST_JOBS if job in world.submissions]
    assert count_at_work(world.workers["w1"], *lost_jobs) == len(lost_jobs)
    assert world.list_violations() == []
