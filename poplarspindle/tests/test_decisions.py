"""The owner's pure decisions, each against the load that it answers."""

import dataclasses

import pytest

from poplarspindle import resources
from poplarspindle.fleet import (
    admission,
    fleet_state,
    job_store,
    leases,
    model_persistence,
    pacing,
    ranking,
    records,
    takeover,
    work,
    worker_selection,
    worker_state,
)

QUEUE = work.Queue("q", "h", "/q/", "pool", 0, 3, 2.0, 1000)
CORE = resources.Resources(1000, 1000, 0)


def make_job(name, *steps, accepted_ms=0, queue=QUEUE, **options):
    job = job_store.Job(
        work.Submission(
            name, queue, "", steps, accepted_ms=accepted_ms, **options
        )
    )
    job_store.open_occurrence(job)
    return job


def make_step(tasks=1, estimate_ms=1000, **options):
    return work.Step(tasks, CORE, estimate_ms, **options)


def make_worker(name="w", millicores=16000, **options):
    info = work.WorkerInfo(
        name,
        "a:1",
        "pool",
        "dc",
        resources.Resources(millicores, 64000, 0),
        **options,
    )
    worker = worker_state.WorkerState(info)
    worker.last_report_at = 0.0
    return worker


def add(worker, step, name="j", index=0, at=0.0, usage=None):
    job = make_job(name, step)
    task = job_store.Task(job_store.Phase.PLACED, 1, 0, worker.info.name)
    run = worker_state.Run(
        work.TaskName(name, 0, 0, index), job, task, at, True
    )
    run.confirmed, run.usage, run.first_seen_at = True, usage, at
    worker_state.add_run(worker, run)
    return run


# Order: for half a minute more is handed in than can be done.

RANKS = [
    pytest.param(0, 1, id="in time before late"),
    pytest.param(1, 2, id="late before hopeless"),
]
AGES_MS = (500, 4000, 60_000)  # Objective 3 s, chain 1 s; lost after 9 s.


@pytest.mark.parametrize(("first", "second"), RANKS)
def test_rank_follows_what_can_still_be_met(first, second):
    now_ms = 100_000
    ranks = []
    for age_ms in (AGES_MS[first], AGES_MS[second]):
        job = make_job("j", make_step(), accepted_ms=now_ms - age_ms)
        effort = ranking.find_effort(job, 0)
        ranks.append(
            ranking.rank(ranking.find_standing(job, 0, effort, QUEUE, now_ms))
        )
    assert ranks[0] < ranks[1]


def test_least_work_for_its_worth_goes_first():
    small = make_job("a", make_step(4))
    large = make_job("b", make_step(400))
    standings = [
        ranking.find_standing(job, 0, ranking.find_effort(job, 0), QUEUE, 0)
        for job in (small, large)
    ]
    assert ranking.rank(standings[0]) < ranking.rank(standings[1])


def test_job_nearly_done_goes_before_a_new_one():
    begun = make_job("a", make_step(8), make_step(8, prerequisites=(0,)))
    for task in begun.occurrences[0][0]:
        task.phase = job_store.Phase.DONE
    new = make_job("b", make_step(8), make_step(8, prerequisites=(0,)))
    efforts = [ranking.find_effort(job, 0) for job in (begun, new)]
    assert efforts[0].work < efforts[1].work
    assert efforts[0].chain_s < efforts[1].chain_s


def test_short_work_goes_before_what_lasts():
    keys = [
        ranking.rank_step(
            job,
            0,
            job.submission.steps[0],
            lambda job=job: ranking.find_effort(job, 0),
            {},
            0,
        )
        for job in (
            make_job("a", make_step(), accepted_ms=9),
            make_job("b", make_step(until_cancelled=True), accepted_ms=1),
        )
    ]
    assert keys[0] < keys[1]


def test_overload_in_order_serves_more_in_time_than_first_come():
    """Twice the load for a while: more jobs meet their objective."""

    def count_in_time(rank):
        jobs = [
            make_job(f"{i:03}", make_step(1 + i % 3), accepted_ms=i * 500)
            for i in range(60)
        ]
        now_ms, in_time, waiting = 0, 0, []
        while jobs or waiting:
            waiting += [j for j in jobs if j.submission.accepted_ms <= now_ms]
            jobs = [j for j in jobs if j.submission.accepted_ms > now_ms]
            if not waiting:
                now_ms += 100
                continue
            job = min(waiting, key=lambda j: rank(j, now_ms))
            waiting.remove(job)
            now_ms += 500 * job.submission.steps[0].tasks
            late_ms = now_ms - job.submission.accepted_ms
            in_time += late_ms <= 3000
        return in_time

    def by_order(job, now_ms):
        effort = ranking.find_effort(job, 0)
        return ranking.rank(
            ranking.find_standing(job, 0, effort, QUEUE, now_ms)
        )

    first_come = count_in_time(lambda job, _: job.submission.accepted_ms)
    assert count_in_time(by_order) >= 2 * first_come


# Placing: half of the fleet is reserved by what serves.


def test_serving_tasks_are_packed_by_image():
    workers = [make_worker(f"w{i}") for i in range(3)]
    add(workers[1], make_step(until_cancelled=True, image="a", target_ms=50))
    add(workers[2], make_step(until_cancelled=True, image="b", target_ms=50))
    step = make_step(until_cancelled=True, image="b", target_ms=50)
    found = worker_selection.choose_worker(
        workers, step, ("n", 0, 0), "", lambda h: 0
    )
    assert found is workers[2]


def test_fill_goes_where_it_harms_least():
    workers = [make_worker("w0"), make_worker("w1")]
    for worker in workers:
        add(
            worker,
            make_step(
                until_cancelled=True, image=worker.info.name, target_ms=9
            ),
        )
    step = make_step(best_effort=True, image="f")
    harms = {"w0": 0.7, "w1": 0.2}
    found = worker_selection.choose_worker(
        workers, step, ("n", 0, 0), "", lambda h: harms[h.info.name]
    )
    assert found is workers[1]


def test_fill_waits_where_it_would_break_a_target():
    worker = make_worker()
    add(worker, make_step(until_cancelled=True, image="a", target_ms=9))
    step = make_step(best_effort=True, image="f")
    assert not worker_selection.choose_worker(
        [worker], step, ("n", 0, 0), "", lambda h: 1.2
    )


def test_fill_waits_for_processors_that_are_free():
    worker = make_worker(millicores=2000)
    add(worker, make_step(best_effort=True), "a")
    add(worker, make_step(best_effort=True), "b")
    step = make_step(best_effort=True)
    assert not worker_selection.choose_worker(
        [worker], step, ("n", 0, 0), "", lambda h: 0
    )


FITS = [
    ({"label": "gpu"}, {}, False),
    ({"label": "gpu"}, {"labels": frozenset({"gpu"})}, True),
    ({"max_per_worker": 1}, {}, False),
    ({"max_per_worker": 2}, {}, True),
]


@pytest.mark.parametrize(("step", "info", "expected"), FITS)
def test_fits_follows_label_and_spread(step, info, expected):
    worker = make_worker(**info)
    add(worker, make_step(), "j")
    assert (
        worker_selection.fits(worker, make_step(**step), ("j", 0, 0))
        is expected
    )


# Admission: tasks that last hold most of the fleet.

LOAD = admission.Load(1000, {"pool": 100_000}, {"pool": 70_000})
ADMISSIONS = [
    pytest.param(LOAD, make_step(15, until_cancelled=True), 2000, 0, id="room"),
    pytest.param(LOAD, make_step(16, until_cancelled=True), 2000, 8, id="full"),
    pytest.param(LOAD, make_step(60), 2000, 0, id="short work"),
    pytest.param(
        LOAD, make_step(16, until_cancelled=True), 9000, 0, id="old load"
    ),
    pytest.param(
        None, make_step(16, until_cancelled=True), 2000, 0, id="no load"
    ),
]


@pytest.mark.parametrize(("load", "step", "now_ms", "retry_s"), ADMISSIONS)
def test_admission(load, step, now_ms, retry_s):
    job = make_job("j", step).submission
    assert admission.find_retry_s(load, job, now_ms) == retry_s


def test_load_is_round():
    value = admission.encode_load(LOAD).value
    assert admission.decode_load(value) == LOAD


# Pacing: a tail nears its target because of what fills beside it.


def make_fleet():
    fleet = fleet_state.FleetState(job_store.JobStore())
    fleet.at = 100.0
    return fleet


PACES = [
    pytest.param(0.5, 40, False, 60, id="cool: up"),
    pytest.param(0.7, 40, False, 40, id="between: kept"),
    pytest.param(0.9, 40, False, 20, id="hot: down"),
    pytest.param(1.2, 15, False, 0, id="over and slow: paused"),
    pytest.param(1.2, 100, True, 0, id="over for long: paused"),
]


@pytest.mark.parametrize(("ratio", "percent", "pause", "expected"), PACES)
def test_pace_moves_one_step(ratio, percent, pause, expected):
    fleet, worker = make_fleet(), make_worker()
    serving = add(
        worker, make_step(image="s", target_ms=50, until_cancelled=True), "s"
    )
    fill = add(worker, make_step(image="f", best_effort=True), "f")
    fill.percent = percent
    found = pacing.choose_paces(fleet, [serving], [fill], ratio, pause)
    assert found.get(fill.key, percent) == expected


def test_worst_fill_gives_way_first():
    fleet, worker = make_fleet(), make_worker()
    serving = add(
        worker, make_step(image="s", target_ms=50, until_cancelled=True), "s"
    )
    light = add(worker, make_step(image="light", best_effort=True), "a")
    heavy = add(worker, make_step(image="heavy", best_effort=True), "b")
    for image, weight in (("light", 0.1), ("heavy", 9.0)):
        fleet.slowdown.touch_weight("s", image, 0.0).mean = weight
    found = pacing.choose_paces(fleet, [serving], [light, heavy], 0.9, False)
    assert set(found) == {heavy.key}


def test_harm_counts_fills_too_young_to_show():
    fleet, worker = make_fleet(), make_worker()
    step = make_step(image="s", target_ms=50, until_cancelled=True)
    add(worker, step, "s", usage=20.0)
    fill = make_step(image="f", best_effort=True)
    fleet.slowdown.touch_weight("s", "f", 0.0).mean = 6.0
    alone = pacing.predict_harm(fleet, worker, fill)
    add(worker, fill, "f", at=fleet.at)
    assert pacing.predict_harm(fleet, worker, fill) > alone > 0.4


# Leases: as long as is safe, none for who does not answer.

CLOCK = leases.Clock(1000, 10.0, True)
LEASES = [
    pytest.param(CLOCK, 11.0, 11.0, 2000 + leases.LEASE_MS, id="calm"),
    pytest.param(CLOCK, 11.0, 9.0, 2000 + 6000, id="store away: long"),
    pytest.param(CLOCK, 20.0, 9.0, 0, id="store away too long: none"),
    pytest.param(leases.Clock(), 11.0, 11.0, 0, id="clock unknown"),
    pytest.param(
        leases.Clock(1000, 10.0, False), 11.0, 11.0, 0, id="not allowed"
    ),
]


@pytest.mark.parametrize(("clock", "now", "confirmed", "until_ms"), LEASES)
def test_lease(clock, now, confirmed, until_ms):
    assert leases.choose_lease(clock, now, confirmed, 6000) == until_ms


def test_last_lease_of_an_owner_is_the_longest():
    until_ms = leases.choose_lease(CLOCK, 11.0, 11.0, 6000, last=True)
    assert until_ms == 2000 + 6000
    assert leases.choose_lease(CLOCK, 20.0, 9.0, 6000, last=True) == 0


# Records.


def test_submission_is_round():
    step = make_step(
        3, until_cancelled=True, image="i", target_ms=9, max_unavailable=1
    )
    job = make_job("a" * 16, step, make_step(prerequisites=(0,)), accepted_ms=5)
    record = records.encode_submission(job.submission)
    found = records.decode_submission("a" * 16, record.value)
    assert found == job.submission


def test_progress_is_round():
    job = make_job("a", make_step(20))
    tasks = job.occurrences[0][0]
    tasks[0].phase = job_store.Phase.DONE
    tasks[17] = job_store.Task(job_store.Phase.PLACED, 2, 1, "w", 77, "s")
    job.state = job_store.State.ACTIVE
    known = job_store.JobStore()
    other = job_store.add_job(known, job.submission)
    found = [records.encode_group(job, (0, 0, first)) for first in (0, 16)]
    found.append(records.encode_progress(job))
    stale = dataclasses.replace(found[0], key="r/a/7/0/0")
    stray = dataclasses.replace(found[-1], key="s/b")
    drops, malformed = takeover.load_progress(known, [stray, *found, stale])
    assert [record.key for record in drops] == ["s/b", "r/a/7/0/0"]
    assert malformed == []
    assert [
        (
            t.phase,
            t.attempt,
            t.failures,
            t.worker_name,
            t.incarnation_ms,
            t.checkpoint,
        )
        for t in other.occurrences[0][0]
    ] == [
        (
            t.phase,
            t.attempt,
            t.failures,
            t.worker_name,
            t.incarnation_ms,
            t.checkpoint,
        )
        for t in tasks
    ]
    assert other.state is job_store.State.ACTIVE
    assert other.recorded_groups == {(0, 0, 0), (0, 0, 16)}
    bad = [dataclasses.replace(found[0], value=b"x")]
    _, malformed = takeover.load_progress(known, [found[-1], *bad])
    assert malformed == ["r/a/0/0/0"]


def test_state_is_round():
    job = make_job("a", make_step(3))
    job.published_state = job_store.State.COMPLETED
    found = records.decode_state(records.encode_state(job).value)
    assert found == job_store.PublishedJob(job_store.State.COMPLETED, "q")
    offsets = (3, 0, 7)
    value = records.encode_intake_offsets(offsets).value
    assert records.decode_intake_offsets(value) == offsets


def test_hand_ins_make_the_book():
    job = make_job("a", make_step(3))
    found = [
        records.encode_submission(job.submission),
        records.encode_cancel("a"),
        records.encode_cancel("b"),
        records.Record("j/c", b"x"),
        records.Record("j/d", b""),
    ]
    known, malformed = takeover.load_intake(found)
    assert list(known.jobs) == ["a"]
    assert known.jobs["a"].cancelled
    assert known.early_cancels == {"b"}
    assert malformed == ["j/c"]


def test_memory_keeps_what_was_learned():
    fleet = make_fleet()
    for at in range(5):
        pacing.interference.learn(
            fleet.slowdown, "s", {"f": 0.5}, 0.5, 90.0, float(at)
        )
    known = fleet.slowdown.find_weight("s", "f")
    found = model_persistence.decode_model(
        model_persistence.encode_model(fleet.slowdown).value, 9.0
    ).find_weight("s", "f")
    assert found.mean == pytest.approx(known.mean, abs=0.01)
    assert found.variance >= known.variance


@pytest.mark.parametrize("value", [b"", b"\xc1", b"\x90", b"\x91\x63", b"x"])
def test_malformed_record_is_refused(value):
    with pytest.raises(ValueError):
        records.decode_submission("a", value)
