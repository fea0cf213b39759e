"""Sound work beside jobs that fail wherever they run, and sick workers.

LOST: the ends of two jobs that could not be done had all workers excluded for
24 s, and sound work that ends by itself waited beside idle room.
"""

import dataclasses
import itertools

import pytest

from poplarspindle import metrics, resources
from poplarspindle.fleet import (
    exclusions,
    job_failures,
    waiting,
    work,
    worker_failures,
)
from poplarspindle.node import decision_log
from poplarspindle.tools.fakes import fleets, idle_waits

CAPACITY = resources.Resources(32000, 64000, 0)
CORE = resources.Resources(1000, 256, 0)
WIDE = resources.Resources(3500, 256, 0)
MAX_WAIT_S = 1.5  # Of sound work beside idle room, for failures of others.
RUN_S = 0.3
CALM_S = 4.0  # From the end of a disturbance until work may not wait.
SICK_AFTER_S = 0.05
MAX_STARTS_ON_SICK = 16  # Of some 350 sound tasks in 44 s.
HOPELESS, SOUND = "f", "a"  # First digits of the jobs' ids.


@dataclasses.dataclass(frozen=True)
class Hopeless:
    """Jobs that fail wherever they run.

    Attributes:
        tasks: Tasks of each.
        every_s: Time between two of them, 0 where all come at once.
        jobs: How many come.
        after_s: How long their runs last.
        odd_only: Whether only every other task of them fails.
        options: Options of their steps.
    """

    tasks: int = 32
    every_s: float = 0.0
    jobs: int = 2
    after_s: float = 0.1
    odd_only: bool = False
    options: dict = dataclasses.field(default_factory=dict)


def make_world(workers=8, hopeless=None, run_s=RUN_S, attempts=3, seed=1):
    """Makes a fleet, and a watch on its sound jobs."""
    hopeless = hopeless or Hopeless()

    def is_bad(name):
        return name.job[0] == HOPELESS and not (
            hopeless.odd_only and name.index % 2 == 0
        )

    world = fleets.World(
        seed,
        workers,
        CAPACITY,
        run_s=lambda rng: run_s,
        fail=lambda run: is_bad(run.name),
    )
    choose_time = world.choose_time

    def choose(name):
        if is_on_sick_worker(world, name):
            return SICK_AFTER_S
        return hopeless.after_s if is_bad(name) else choose_time(name)

    world.choose_time = choose
    world.allow_attempts(attempts)
    world.run(0.5)
    return world, idle_waits.Watch(world)


def is_on_sick_worker(world, name):
    job = world.fleet.job_store.jobs[name.job]
    steps = job.occurrences.get(name.occurrence)
    return steps and steps[name.step][name.index].worker_name in world.fail_on


def make_id(kind, number):
    return f"{kind}{number:015x}"


def submit_sound(world, watch, tasks=4, need=CORE, **options):
    job = make_id(SOUND, len(watch.jobs))
    watch.jobs.append(job)
    world.submit(job, work.Step(tasks, need, 300, (), **options))
    return job


def submit_hopeless(world, hopeless, number):
    step = work.Step(hopeless.tasks, WIDE, 300, (), **hopeless.options)
    world.submit(make_id(HOPELESS, number), step)


def run_beside(world, watch, hopeless, sound, for_s, sound_every_s=0.5):
    """Lets hopeless jobs come while sound ones do."""
    began_at, sent, next_sound_at = world.now, 0, world.now
    while world.now < began_at + for_s:
        while (
            sent < hopeless.jobs
            and world.now >= began_at + sent * hopeless.every_s
        ):
            submit_hopeless(world, hopeless, sent)
            sent += 1
        if world.now >= next_sound_at:
            submit_sound(world, watch, **sound)
            next_sound_at += sound_every_s
        world.run(fleets.TICK_S)


def list_failed(world, watch):
    return [job for job in watch.jobs if world.get_state(job) == "failed"]


def list_starts(world, worker, since=0.0):
    return [run for run in world.workers[worker].ledger if run.began >= since]


def test_two_hopeless_jobs_exclude_all_workers_for_long():
    """LOST (review/9): idle workers got no work for 24 s."""
    world, watch = make_world()
    for _ in range(10):
        submit_sound(world, watch)
        world.run(0.4)
    world.run(2.0)
    for number in range(2):
        submit_hopeless(world, Hopeless(), number)
    world.run(1.5)
    job = submit_sound(world, watch)
    world.run(MAX_WAIT_S + RUN_S)
    assert world.get_state(job) == "completed"
    assert idle_waits.find_longest_s(watch) < MAX_WAIT_S


RELATIVES = {
    "at-once": (Hopeless(), {}, {}),
    "in-turn": (Hopeless(every_s=1.0, jobs=12), {}, {}),
    "one-task-in-turn": (Hopeless(1, 0.25, jobs=48), {}, {}),
    "one-attempt": (Hopeless(1, 0.25, jobs=48), {}, {"attempts": 1}),
    "many": (Hopeless(8, 0.1, jobs=120), {}, {}),
    "late": (Hopeless(every_s=1.0, jobs=12, after_s=5.0, tasks=8), {}, {}),
    "some-tasks": (Hopeless(every_s=0.5, jobs=24, odd_only=True), {}, {}),
    "hopeless-gangs": (
        Hopeless(8, 0.5, jobs=24, options={"gang": True}),
        {},
        {},
    ),
    "hopeless-lasts": (
        Hopeless(2, jobs=3, options={"until_cancelled": True}),
        {},
        {},
    ),
    "sound-gangs": (
        Hopeless(every_s=1.0, jobs=12),
        {"gang": True, "tasks": 16},
        {},
    ),
    "sound-lasts": (
        Hopeless(every_s=1.0, jobs=12),
        {"until_cancelled": True, "tasks": 1},
        {},
    ),
    "label": (
        Hopeless(8, 0.5, jobs=24, options={"label": "r1"}),
        {"label": "r1"},
        {"workers": 3},
    ),
    "one-worker": (Hopeless(4, 1.0, jobs=12), {}, {"workers": 1}),
    "two-workers": (Hopeless(4, 1.0, jobs=12), {}, {"workers": 2}),
    "one-worker-one-attempt": (
        Hopeless(1, 0.5, jobs=24),
        {},
        {"workers": 1, "attempts": 1},
    ),
    "long-runs": (Hopeless(every_s=1.0, jobs=12), {}, {"run_s": 2.7}),
}


@pytest.mark.parametrize("sound_first", [True, False], ids=["warm", "cold"])
@pytest.mark.parametrize(
    ("hopeless", "sound", "options"), RELATIVES.values(), ids=RELATIVES
)
def test_sound_work_waits_for_the_failures_of_others(
    hopeless, sound, options, sound_first
):
    """LOST: failures of jobs that can't be done were held against workers."""
    world, watch = make_world(hopeless=hopeless, **options)
    if sound_first:
        submit_sound(world, watch, **sound)
        world.run(4.0)
    else:
        run_beside(world, watch, hopeless, sound, 0.0)
        for number in range(2):
            submit_hopeless(world, hopeless, 1000 + number)
        world.run(1.0)
    run_beside(world, watch, hopeless, sound, 14.0, sound_every_s=1.5)
    world.run(10.0)
    assert idle_waits.find_longest_s(watch) < MAX_WAIT_S
    assert list_failed(world, watch) == []
    assert world.list_violations() == []


@pytest.mark.parametrize("poison", [0, 24], ids=["alone", "beside-hopeless"])
@pytest.mark.parametrize("run_s", [RUN_S, 2.7])
def test_sick_worker_attracts_sound_work(run_s, poison):
    """Load: it fails all that it starts, so it is always the emptiest."""
    hopeless = Hopeless(8, 0.5, jobs=poison)
    world, watch = make_world(hopeless=hopeless, run_s=run_s)
    world.fail_on = {"w0"}
    run_beside(world, watch, hopeless, {}, 44.0)
    world.run(10.0)
    sound = [
        run for run in list_starts(world, "w0") if run.name.job[0] == SOUND
    ]
    assert len(sound) <= MAX_STARTS_ON_SICK
    assert list_failed(world, watch) == []
    assert idle_waits.find_longest_s(watch) < MAX_WAIT_S
    assert world.fleet.workers["w0"].exclusion_s
    assert world.list_violations() == []


def test_one_batch_of_failures_excludes_a_worker_for_ever_longer():
    """LOST: each end of a run that was started before doubled the exclusion."""
    world, watch = make_world(workers=1, attempts=1)
    notes = []
    world.on_note = notes.append
    world.fail_on = {"w0"}
    for _ in range(2):
        submit_sound(world, watch, tasks=16)
    world.run(0.5)
    closed = [dict(note.fields) for note in notes if note.event == "closed"]
    assert [fields["for_s"] for fields in closed] == [
        exclusions.FIRST_EXCLUSION_S
    ]


def test_worker_gets_all_work_when_its_exclusion_is_over():
    """Load: a sick worker failed a whole load of tasks each time."""
    world, watch = make_world()
    world.fail_on = {"w0"}
    while not world.fleet.workers["w0"].exclusion_s:
        submit_sound(world, watch)
        world.run(0.2)
    for _ in range(3):
        due_at = world.fleet.workers["w0"].excluded_until
        world.run(due_at - world.now + fleets.TICK_S)
        submit_sound(world, watch, tasks=64)
        world.run(4 * fleets.TICK_S)
        assert len(list_starts(world, "w0", due_at)) == 1
    assert list_failed(world, watch) == []


@pytest.mark.parametrize("poison", [0, 12], ids=["alone", "beside-hopeless"])
def test_workers_that_are_sound_again_wait_for_their_exclusion(poison):
    """LOST: work waited up to 24 s for workers that had been sick."""
    hopeless = Hopeless(8, 1.0, jobs=poison)
    world, watch = make_world(hopeless=hopeless, run_s=1.0)
    world.fail_on = {"w0", "w1", "w2", "w3", "w4"}
    sound = {"tasks": 10, "need": WIDE}
    run_beside(world, watch, hopeless, sound, 8.0, sound_every_s=0.25)
    world.fail_on = set()
    run_beside(world, watch, Hopeless(jobs=0), sound, CALM_S, 0.25)
    watch.longest_s.clear()
    run_beside(world, watch, Hopeless(jobs=0), sound, 8.0, sound_every_s=0.25)
    assert idle_waits.find_longest_s(watch) < MAX_WAIT_S
    assert list_failed(world, watch) == []


@pytest.mark.parametrize("sick", [set(), {"w0"}], ids=["sound", "sick"])
def test_next_owner_excludes_all_workers_for_hopeless_jobs(sick):
    """LOST: what failures tell of workers is learned again by each owner."""
    hopeless = Hopeless(every_s=0.5, jobs=24)
    world, watch = make_world(hopeless=hopeless)
    world.fail_on = sick
    for second in (2.0, 5.0, 8.0):
        world.call_later(second, world.take_over)
    run_beside(world, watch, hopeless, {}, 12.0)
    world.run(5.0)
    assert idle_waits.find_longest_s(watch) < MAX_WAIT_S
    assert list_failed(world, watch) == []
    for name in sick:
        assert world.fleet.workers[name].exclusion_s
    assert world.list_violations() == []


def test_failures_of_ended_jobs_are_kept_for_ever():
    """Memory: each worker kept the id of every job that had failed there."""
    hopeless = Hopeless(4, 0.1, jobs=100)
    world, watch = make_world(workers=2, hopeless=hopeless, attempts=1)
    run_beside(world, watch, hopeless, {}, 11.0, sound_every_s=60.0)
    world.run(5.0)
    failing = world.fleet.failing
    assert (failing.by_job, failing.failed_on, failing.tasks) == ({}, {}, {})
    for worker in world.fleet.workers.values():
        assert len(worker.failing_jobs) <= worker_failures.MAX_ENDED_JOBS
        assert worker.proven_jobs <= worker.failing_jobs


def test_each_failed_run_has_all_workers_looked_at(monkeypatch):
    """Load: a job with thousands of failing tasks; a look takes all workers."""
    hopeless = Hopeless(1000, jobs=1, after_s=0.5)
    world, _ = make_world(hopeless=hopeless, attempts=20)
    looks = []
    count_needed = job_failures._count_needed
    monkeypatch.setattr(
        job_failures,
        "_count_needed",
        lambda *args: looks.append(world.now) or count_needed(*args),
    )
    submit_hopeless(world, hopeless, 0)
    world.run(5.0)
    gaps = [later - look for look, later in itertools.pairwise(looks)]
    assert len(looks) >= 1
    assert min(gaps, default=1.0) >= job_failures.REVIEW_INTERVAL_S


def test_operator_cannot_tell_how_much_room_is_excluded():
    """Logs: the line `waits`, the line `load` and a gauge name it."""
    world, watch = make_world(workers=2)
    notes = {}
    world.on_note = lambda note: notes.update({note.event: dict(note.fields)})
    worker = world.fleet.workers["w1"]
    worker.exclusion_s = worker.excluded_until = float("inf")
    worker.proven_jobs = worker.failing_jobs = {"b", "c"}
    worker.failed_at = float("inf")
    submit_sound(world, watch, label="r1")
    world.run(waiting.WAIT_LOGGED_S + 2.0)
    for event in ("waits", "load"):
        assert notes[event]["failing_workers"] == 1
        assert notes[event]["failing_room"] == CAPACITY.millicores
    counters = metrics.Metrics()
    decision_log.set_gauges(
        counters,
        world.fleet.away.room,
        world.fleet.failing.excluded_millicores,
    )
    line = 'poplarspindle_excluded_cores{reason="failing"} 32'
    assert line in counters.render().decode()
