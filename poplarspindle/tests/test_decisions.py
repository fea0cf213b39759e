"""Pure decision functions of the fleet's owner, by load pattern."""

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
    """Adds a confirmed run of a new job to a worker.

    Args:
        worker: The worker.
        step: The job's only step.
        name: The job's id.
        index: Index of the task.
        at: When the run was placed and first seen.
        usage: Its tail latency or processors in use, None if unknown.
    """
    job = make_job(name, step)
    task = job_store.Task(job_store.Phase.PLACED, 1, 0, worker.info.name)
    run = worker_state.Run(
        work.TaskName(name, 0, 0, index), job, task, at, True
    )
    run.confirmed, run.usage, run.first_seen_at = True, usage, at
    worker_state.add_run(worker, run)
    return run


# Ranking: for half a minute callers submit more work than the fleet can do.

MEAN_SIZE = 60.0  # Core-seconds of a job of average size.
RANKS = [
    pytest.param(0, 1, id="in time before late"),
    pytest.param(1, 2, id="late before too late"),
]
JOB_AGES_MS = (
    500,
    4000,
    60_000,
)  # Objective 3 s, chain 1 s; too late after 9 s.


@pytest.mark.parametrize(("first", "second"), RANKS)
def test_rank_prefers_jobs_that_can_still_meet_their_objective(first, second):
    now_ms = 100_000
    ranks = []
    for age_ms in (JOB_AGES_MS[first], JOB_AGES_MS[second]):
        job = make_job("j", make_step(), accepted_ms=now_ms - age_ms)
        effort = ranking.compute_effort(job, 0)
        ranks.append(
            ranking.rank(
                ranking.compute_timing(job, 0, effort, QUEUE, now_ms), MEAN_SIZE
            )
        )
    assert ranks[0] < ranks[1]


def test_job_with_less_work_per_worth_ranks_first():
    small = make_job("a", make_step(4))
    large = make_job("b", make_step(400))
    timings = [
        ranking.compute_timing(job, 0, ranking.compute_effort(job, 0), QUEUE, 0)
        for job in (small, large)
    ]
    assert ranking.rank(timings[0], MEAN_SIZE) < ranking.rank(
        timings[1], MEAN_SIZE
    )


def test_size_of_a_queue_is_learned_from_its_jobs():
    """Load: the jobs of a queue become ten times smaller."""
    large, small = (
        make_job("a", make_step(tasks)).submission for tasks in (40, 4)
    )
    queue, sizes = large.queue.name, {}
    ranking.learn_size(sizes, large)
    large_core_s = sizes[queue]
    for _ in range(200):
        ranking.learn_size(sizes, small)
    assert sizes[queue] == pytest.approx(large_core_s / 10, rel=0.01)


@pytest.mark.parametrize("scale", [0.1, 1.0, 10.0])
def test_rank_does_not_depend_on_the_unit_of_a_queue(scale):
    """The order of jobs is the same where all of them are ten times larger."""
    ranks = []
    for size_core_s, left_core_s in (
        (30.0, 15.0),
        (60.0, 60.0),
        (150.0, 90.0),
    ):
        effort = ranking.RemainingWork(
            1.0, 1.0, scale * left_core_s, scale * size_core_s
        )
        timing = ranking.ObjectiveTiming(effort, 3.0, 0.0)
        ranks.append(ranking.rank(timing, scale * MEAN_SIZE)[1] / scale)
    assert ranks == pytest.approx([15 / 0.65, 60.0, 90 / 2.05])


def test_nearly_done_job_has_less_remaining_work_than_a_new_one():
    begun = make_job("a", make_step(8), make_step(8, prerequisites=(0,)))
    for task in begun.occurrences[0][0]:
        task.phase = job_store.Phase.DONE
    new = make_job("b", make_step(8), make_step(8, prerequisites=(0,)))
    efforts = [ranking.compute_effort(job, 0) for job in (begun, new)]
    assert efforts[0].remaining_core_s < efforts[1].remaining_core_s
    assert efforts[0].remaining_chain_s < efforts[1].remaining_chain_s


def test_short_steps_rank_before_steps_that_run_until_cancelled():
    ranks = [
        ranking.rank_step(
            job,
            0,
            job.submission.steps[0],
            lambda job=job: ranking.compute_effort(job, 0),
            {},
            0,
            {},
        )
        for job in (
            make_job("a", make_step(), accepted_ms=9),
            make_job("b", make_step(until_cancelled=True), accepted_ms=1),
        )
    ]
    assert ranks[0] < ranks[1]


def test_ranking_meets_more_objectives_than_first_come_under_overload():
    """Load: jobs arrive at twice the rate at which they can run."""

    def count_in_time(rank):
        jobs = [
            make_job(f"{i:03}", make_step(1 + i % 3), accepted_ms=i * 500)
            for i in range(60)
        ]
        now_ms, in_time, waiting = 0, 0, []
        while jobs or waiting:
            waiting += [
                candidate
                for candidate in jobs
                if candidate.submission.accepted_ms <= now_ms
            ]
            jobs = [
                candidate
                for candidate in jobs
                if candidate.submission.accepted_ms > now_ms
            ]
            if not waiting:
                now_ms += 100
                continue
            job = min(waiting, key=lambda candidate: rank(candidate, now_ms))
            waiting.remove(job)
            now_ms += 500 * job.submission.steps[0].tasks
            late_ms = now_ms - job.submission.accepted_ms
            in_time += late_ms <= 3000
        return in_time

    def rank_by_objective(job, now_ms):
        effort = ranking.compute_effort(job, 0)
        return ranking.rank(
            ranking.compute_timing(job, 0, effort, QUEUE, now_ms), MEAN_SIZE
        )

    first_come_count = count_in_time(lambda job, _: job.submission.accepted_ms)
    assert count_in_time(rank_by_objective) >= 2 * first_come_count


# Worker selection: latency-critical tasks reserve half of the fleet.


def test_latency_critical_tasks_are_packed_by_image():
    workers = [make_worker(f"w{i}") for i in range(3)]
    add(workers[1], make_step(until_cancelled=True, image="a", target_ms=50))
    add(workers[2], make_step(until_cancelled=True, image="b", target_ms=50))
    step = make_step(until_cancelled=True, image="b", target_ms=50)
    chosen_worker = worker_selection.choose_worker(
        workers, step, ("n", 0, 0), "", lambda worker: 0
    )
    assert chosen_worker is workers[2]


def test_best_effort_task_goes_where_it_uses_least_headroom():
    workers = [make_worker("w0"), make_worker("w1")]
    for worker in workers:
        add(
            worker,
            make_step(
                until_cancelled=True, image=worker.info.name, target_ms=9
            ),
        )
    step = make_step(best_effort=True, image="f")
    headroom_uses = {"w0": 0.7, "w1": 0.2}
    chosen_worker = worker_selection.choose_worker(
        workers,
        step,
        ("n", 0, 0),
        "",
        lambda worker: headroom_uses[worker.info.name],
    )
    assert chosen_worker is workers[1]


def test_best_effort_task_waits_when_it_would_break_a_target():
    worker = make_worker()
    add(worker, make_step(until_cancelled=True, image="a", target_ms=9))
    step = make_step(best_effort=True, image="f")
    assert not worker_selection.choose_worker(
        [worker], step, ("n", 0, 0), "", lambda worker: 1.2
    )


def test_best_effort_task_waits_for_free_processors():
    worker = make_worker(millicores=2000)
    add(worker, make_step(best_effort=True), "a")
    add(worker, make_step(best_effort=True), "b")
    step = make_step(best_effort=True)
    assert not worker_selection.choose_worker(
        [worker], step, ("n", 0, 0), "", lambda worker: 0
    )


FITS = [
    ({"label": "gpu"}, {}, False),
    ({"label": "gpu"}, {"labels": frozenset({"gpu"})}, True),
    ({"max_per_worker": 1}, {}, False),
    ({"max_per_worker": 2}, {}, True),
]


@pytest.mark.parametrize(("step", "info", "expected"), FITS)
def test_fits_checks_label_and_max_per_worker(step, info, expected):
    worker = make_worker(**info)
    add(worker, make_step(), "j")
    assert (
        worker_selection.fits(worker, make_step(**step), ("j", 0, 0))
        is expected
    )


# Admission: tasks that run until cancelled use most of the fleet.

LOAD = admission.Load(1000, {"pool": 100_000}, {"pool": 70_000})
ADMISSIONS = [
    pytest.param(LOAD, make_step(5, until_cancelled=True), 2000, 0, id="room"),
    pytest.param(LOAD, make_step(6, until_cancelled=True), 2000, 8, id="full"),
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


def test_load_round_trips_through_its_record():
    value = admission.encode_load(LOAD).value
    assert admission.decode_load(value) == LOAD


# Pacing: best-effort runs raise a tail latency towards its target.


def make_fleet():
    fleet = fleet_state.FleetState(job_store.JobStore())
    fleet.now = 100.0
    return fleet


PACES = [
    pytest.param(0.5, 40, False, 60, id="low: faster"),
    pytest.param(0.7, 40, False, 40, id="between: unchanged"),
    pytest.param(0.9, 40, False, 20, id="high: slower"),
    pytest.param(1.2, 15, False, 0, id="over and slow: paused"),
    pytest.param(1.2, 100, True, 0, id="over for long: paused"),
]


@pytest.mark.parametrize(("ratio", "percent", "pause", "expected"), PACES)
def test_pace_changes_by_one_step(ratio, percent, pause, expected):
    fleet, worker = make_fleet(), make_worker()
    critical_run = add(
        worker, make_step(image="s", target_ms=50, until_cancelled=True), "s"
    )
    best_effort_run = add(worker, make_step(image="f", best_effort=True), "f")
    best_effort_run.percent = percent
    new_paces = pacing.choose_paces(
        fleet, [critical_run], [best_effort_run], ratio, pause
    )
    assert new_paces.get(best_effort_run.key, percent) == expected


def test_strongest_interferer_is_slowed_down_first():
    fleet, worker = make_fleet(), make_worker()
    critical_run = add(
        worker, make_step(image="s", target_ms=50, until_cancelled=True), "s"
    )
    light_run = add(worker, make_step(image="light", best_effort=True), "a")
    heavy_run = add(worker, make_step(image="heavy", best_effort=True), "b")
    for image, weight in (("light", 0.1), ("heavy", 9.0)):
        fleet.interference_weights.touch_weight("s", image, 0.0).mean = weight
    new_paces = pacing.choose_paces(
        fleet, [critical_run], [light_run, heavy_run], 0.9, False
    )
    assert set(new_paces) == {heavy_run.key}


def test_headroom_use_counts_best_effort_runs_not_yet_measured():
    fleet, worker = make_fleet(), make_worker()
    critical_step = make_step(image="s", target_ms=50, until_cancelled=True)
    add(worker, critical_step, "s", usage=20.0)
    best_effort_step = make_step(image="f", best_effort=True)
    fleet.interference_weights.touch_weight("s", "f", 0.0).mean = 6.0
    alone = pacing.predict_headroom_use(fleet, worker, best_effort_step)
    add(worker, best_effort_step, "f", at=fleet.now)
    assert (
        pacing.predict_headroom_use(fleet, worker, best_effort_step)
        > alone
        > 0.4
    )


# Leases: as long as is safe, none for a worker that does not answer.

CLOCK = leases.Clock(1000, 10.0, True)
# A second after its reading the clock is at least there, as it may be slow.
LATER_MS = CLOCK.ms + int(1000 / worker_state.MAX_CLOCK_DRIFT)
LEASES = [
    pytest.param(
        CLOCK, 11.0, 11.0, LATER_MS + leases.LEASE_MS, id="store reachable"
    ),
    pytest.param(
        CLOCK, 11.0, 9.0, LATER_MS + 6000, id="store unreachable: longest lease"
    ),
    pytest.param(
        CLOCK, 20.0, 9.0, 0, id="store unreachable too long: no lease"
    ),
    pytest.param(leases.Clock(), 11.0, 11.0, 0, id="clock unknown"),
    pytest.param(
        leases.Clock(1000, 10.0, False), 11.0, 11.0, 0, id="not allowed"
    ),
]


@pytest.mark.parametrize(("clock", "now", "confirmed", "until_ms"), LEASES)
def test_lease_end(clock, now, confirmed, until_ms):
    assert leases.choose_lease(clock, now, confirmed, 6000) == until_ms


def test_last_lease_of_an_owner_has_the_maximum_length():
    until_ms = leases.choose_lease(CLOCK, 11.0, 11.0, 6000, last=True)
    assert until_ms == LATER_MS + 6000
    assert leases.choose_lease(CLOCK, 20.0, 9.0, 6000, last=True) == 0


# Records.


def test_submission_round_trips_through_its_record():
    step = make_step(
        3, until_cancelled=True, image="i", target_ms=9, max_unavailable=1
    )
    job = make_job("a" * 16, step, make_step(prerequisites=(0,)), accepted_ms=5)
    record = records.encode_submission(job.submission)
    decoded = records.decode_submission("a" * 16, record.value)
    assert decoded == job.submission


def test_progress_round_trips_through_its_records():
    job = make_job("a", make_step(20))
    tasks = job.occurrences[0][0]
    tasks[0].phase = job_store.Phase.DONE
    tasks[17] = job_store.Task(job_store.Phase.PLACED, 2, 1, "w", 77, "s")
    job.state = job_store.State.ACTIVE
    store = job_store.JobStore()
    loaded_job = job_store.add_job(store, job.submission)
    recorded = [records.encode_group(job, (0, 0, first)) for first in (0, 16)]
    recorded.append(records.encode_progress(job))
    stale = dataclasses.replace(recorded[0], key="r/a/7/0/0")
    stray = dataclasses.replace(recorded[-1], key="s/b")
    records_to_delete, malformed = takeover.load_progress(
        store, [stray, *recorded, stale]
    )
    assert [record.key for record in records_to_delete] == ["s/b", "r/a/7/0/0"]
    assert malformed == []
    assert [
        (
            task.phase,
            task.attempt,
            task.failures,
            task.worker_name,
            task.incarnation_ms,
            task.checkpoint,
        )
        for task in loaded_job.occurrences[0][0]
    ] == [
        (
            task.phase,
            task.attempt,
            task.failures,
            task.worker_name,
            task.incarnation_ms,
            task.checkpoint,
        )
        for task in tasks
    ]
    assert loaded_job.state is job_store.State.ACTIVE
    assert loaded_job.recorded_groups == {(0, 0, 0), (0, 0, 16)}
    malformed_records = [dataclasses.replace(recorded[0], value=b"x")]
    _, malformed = takeover.load_progress(
        store, [recorded[-1], *malformed_records]
    )
    assert malformed == ["r/a/0/0/0"]


def test_job_state_and_intake_offsets_round_trip():
    job = make_job("a", make_step(3))
    job.published_state = job_store.State.COMPLETED
    decoded = records.decode_state(records.encode_state(job).value)
    assert decoded == job_store.PublishedJob(job_store.State.COMPLETED, "q")
    offsets = (3, 0, 7)
    value = records.encode_intake_offsets(offsets).value
    assert records.decode_intake_offsets(value) == offsets


def test_intake_records_build_the_job_store():
    job = make_job("a", make_step(3))
    intake_records = [
        records.encode_submission(job.submission),
        records.encode_cancel("a"),
        records.encode_cancel("b"),
        records.Record("j/c", b"x"),
        records.Record("j/d", b""),
    ]
    store, malformed = takeover.load_intake(intake_records)
    assert list(store.jobs) == ["a"]
    assert store.jobs["a"].cancelled
    assert store.early_cancels == {"b"}
    assert malformed == ["j/c"]


def test_saved_model_keeps_learned_weights():
    fleet = make_fleet()
    for at in range(5):
        pacing.interference.learn(
            fleet.interference_weights, "s", {"f": 0.5}, 0.5, 90.0, float(at)
        )
    original = fleet.interference_weights.find_weight("s", "f")
    decoded = model_persistence.decode_model(
        model_persistence.encode_model(fleet.interference_weights).value, 9.0
    ).find_weight("s", "f")
    assert decoded.mean == pytest.approx(original.mean, abs=0.01)
    assert decoded.variance >= original.variance


@pytest.mark.parametrize("value", [b"", b"\xc1", b"\x90", b"\x91\x63", b"x"])
def test_malformed_record_is_refused(value):
    with pytest.raises(ValueError):
        records.decode_submission("a", value)
