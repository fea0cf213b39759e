"""Tests of the placement policy on small simulated traces."""

import pytest

from poplarspindle import cells, drain, explain
from poplarspindle.tools import measures, traces, virtual

MAX_URGENT_START_S = 2.3


def make_lines(workers, families, quotas=(), duration_s=40.0, centres=("a",)):
    """Yields trace lines with 16-processor workers, round robin over centres.

    Args:
        workers: Number of workers.
        families: Team and body of each section that declares job families.
        quotas: Team and number of processors of each quota.
        duration_s: Length of the trace.
        centres: Names of the data centres.
    """
    text = "".join(f"[data_centres.{name}]\n" for name in centres)
    yield traces.Head("small", duration_s)
    for index in range(workers):
        centre = centres[index % len(centres)]
        yield traces.Worker(f"w{index}", centre, "r0", 16_000, 64_000)
    yield traces.Section("platform", "operations", text)
    for team, body in families:
        yield traces.Section(f"batch-{team}", team, body)
    for team, processors in quotas:
        body = f"[quota]\nprocessors = {processors}\nmemory_gb = 1000\n"
        yield traces.Section(f"quota-{team}", team, body)


def declare(name, processors, **more):
    extra = "".join(f"{key} = {value}\n" for key, value in more.items())
    return (
        f"[families.{name}]\nprocessors = {processors}\nmemory_gb = 1.0\n"
        + extra
    )


def run(lines, watch=lambda loop: None):
    """Runs a trace to its end and checks that no invariant was violated."""
    loop = virtual.Loop(traces.make_trace(lines), "chosen", 1)
    invariant_watch = measures.Watch(loop.trace)

    def observe(current_loop):
        invariant_watch(current_loop)
        watch(current_loop)

    loop.run(observe)
    assert not any(measures.count_violations(loop, invariant_watch).values())
    return loop


def list_running(loop, family):
    return [
        run
        for machine in loop.machines.values()
        for run in machine.runs.values()
        if run.family == family
    ]


def list_starts(loop, job):
    return sorted(
        interval[2]
        for machine in loop.machines.values()
        for interval in machine.intervals
        if interval[0].startswith(job)
    )


def test_quota_is_enforced_and_explained():
    running_counts = []
    lines = [
        *make_lines(2, [("t", declare("f", 2.0))], [("t", 6.0)]),
        traces.Job(8.0, "j", "f", 12, 60_000),
    ]
    loop = run(
        lines, lambda loop: running_counts.append(len(list_running(loop, "f")))
    )
    assert max(running_counts) == 3
    explanation = explain.explain(loop.state, "j/11", loop.now)
    assert "quota" in explanation.sentences[0]


def test_teams_get_equal_dominant_shares():
    lines = [
        *make_lines(2, [("t", declare("f", 1.0)), ("u", declare("g", 2.0))]),
        traces.Job(8.0, "many", "f", 200, 60_000),
        traces.Job(8.0, "few", "g", 20, 60_000),
    ]
    loop = run(lines)
    held = {
        team: need.millicores
        for team, need in loop.state.cells["a"].table.lanes.held.items()
    }
    assert abs(held["t"] - held["u"]) <= 2000


def test_small_tasks_do_not_starve_large_task():
    small = [
        traces.Job(8.0 + i / 5, f"s{i}", "small", 1, 5_000) for i in range(500)
    ]
    lines = [
        *make_lines(
            1,
            [("t", declare("small", 1.0)), ("u", declare("large", 16.0))],
            duration_s=70.0,
        ),
        *small,
        traces.Job(12.0, "large", "large", 1, 1_000),
    ]
    loop = run(lines)
    latest_start_s = (
        12.0 + loop.state.limits.starve_s + 5.0 + MAX_URGENT_START_S
    )
    assert list_starts(loop, "large")[0] <= latest_start_s


@pytest.mark.parametrize(
    ("processors", "evicted"), [(2.0, 1), (4.0, 2), (16.0, 8)]
)
def test_urgent_task_starts_in_time_with_fewest_evictions(processors, evicted):
    urgent = declare("now", processors, priority=50, urgent="true")
    lines = [
        *make_lines(2, [("t", declare("f", 2.0)), ("u", urgent)]),
        traces.Job(8.0, "full", "f", 16, 20_000),
        traces.Job(15.0, "now", "now", 1, 2_000),
    ]
    loop = run(lines)
    assert list_starts(loop, "now")[0] <= 15.0 + MAX_URGENT_START_S
    assert loop.evictions["urgent"] == evicted
    assert loop.counts["finished"] == 17


def test_infeasible_job_blocks_no_other_and_is_explained():
    lines = [
        *make_lines(1, [("t", declare("f", 1.0) + declare("giant", 64.0))]),
        traces.Job(8.0, "giant", "giant", 1, 1_000),
        traces.Job(9.0, "j", "f", 4, 1_000),
    ]
    loop = run(lines)
    assert loop.counts["finished"] == 4
    explanation = explain.explain(loop.state, "giant/0", loop.now)
    assert (
        "needs 64 processors, and no worker in a has more than 16"
        in (explanation.sentences[0])
    )


CENTRES = ("a", "b", "c")


@pytest.mark.parametrize(
    "switches",
    [
        [(15.0, "a", False)],
        [(15.0, "a", False), (15.5, "b", False)],
        [(15.0, "a", False), (17.0, "a", True), (19.0, "a", False)],
        [(15.0, "a", False), (16.0, "b", False), (20.0, "a", True)],
    ],
)
def test_all_tasks_finish_when_data_centres_leave_and_return(switches):
    body = declare("f", 2.0) + declare("once", 1.0, exclusive="true")
    lines = [
        *make_lines(6, [("t", body)], duration_s=60.0, centres=CENTRES),
        *(traces.Job(8.0, f"j{i}", "f", 1, 25_000) for i in range(20)),
        *(traces.Job(8.0, f"x{i}", "once", 1, 25_000) for i in range(5)),
        *(traces.DataCentre(*switch) for switch in switches),
    ]
    loop = run(lines)
    assert loop.counts["finished"] == 25


def test_drained_task_without_room_elsewhere_keeps_running():
    lines = [
        *make_lines(
            2,
            [("t", declare("f", 4.0))],
            duration_s=25.0,
            centres=("a", "b"),
        ),
        *(traces.Job(8.0, f"j{i}", "f", 1, 60_000) for i in range(8)),
        traces.DataCentre(15.0, "a", False),
    ]
    plans = []

    def plan(loop):
        if abs(loop.now - 14.0) < 0.01:
            plans.extend(drain.plan(loop.state, "a"))

    loop = run(lines, plan)
    assert plans
    assert all("no room now" in item.reason for item in plans)
    assert len(list_running(loop, "f")) == 8
    explanation = " ".join(explain.explain(loop.state, "a", loop.now).sentences)
    assert "is left behind: no room now; would wait at b" in explanation


def test_failing_worker_is_quarantined_and_probed():
    body = "".join(declare(f"f{i}", 1.0) for i in range(6))
    lines = [
        *make_lines(3, [("t", body)], duration_s=140.0),
        traces.WorkerFault(5.0, "w1", "failing"),
        *(
            traces.Job(8.0 + i / 4, f"j{i}", f"f{i % 6}", 1, 5_000)
            for i in range(500)
        ),
        traces.WorkerFault(45.0, "w1", "ok"),
    ]
    loop = run(lines)
    failed = [i for i in loop.machines["w1"].intervals if i[4] == "failed"]
    assert len(failed) <= 25
    assert loop.counts["failed"] == 0
    assert any(i[2] > 45.0 for i in loop.machines["w1"].intervals)
    assert not loop.state.failures.workers


def test_cancelling_all_jobs_empties_the_state():
    lines = [
        *make_lines(2, [("t", declare("f", 1.0))], duration_s=20.0),
        *(traces.Job(8.0, f"j{i}", "f", 1, 60_000) for i in range(600)),
        *(traces.Cancel(12.0, f"j{i}") for i in range(600)),
    ]
    loop = run(lines)
    table = loop.state.cells["a"].table
    assert not table.queue
    assert not table.held
    assert not cells.get_backlog(table).lanes


def test_task_too_large_for_its_data_centre_moves():
    lines = [
        *make_lines(1, [("t", declare("f", 8.0))], centres=("a",)),
        traces.Section("more", "operations", "[data_centres.b]\n"),
        traces.Worker("small", "b", "r0", 4_000, 64_000),
        *(traces.Job(8.0, f"j{i}", "f", 1, 1_000) for i in range(6)),
    ]
    loop = run(lines)
    moved = [t for t in loop.state.cells["b"].table.tasks.values() if t.target]
    assert moved
    assert loop.counts["finished"] == 6


def test_drain_plan_respects_data_centres_of_families():
    body = declare("free", 1.0) + declare("bound", 1.0, data_centres='["a"]')
    lines = [
        *make_lines(4, [("t", body)], duration_s=14.0, centres=("a", "b")),
        *(traces.Job(8.0, f"b{i}", "bound", 1, 60_000) for i in range(3)),
        *(traces.Job(8.0, f"f{i}", "free", 1, 60_000) for i in range(9)),
    ]
    loop = run(lines)
    plans = drain.plan(loop.state, "a")
    stays = {item.task for item in plans if not item.target}
    moves = {item.task for item in plans if item.target == "b"}
    assert stays == {"b0/0", "b1/0", "b2/0"}
    assert moves
    assert all("no allowed data centre" in i.reason for i in plans if i.reason)
