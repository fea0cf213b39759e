"""Many long-running jobs at all nodes at the same moment."""

import itertools

import pytest

from poplarspindle import resources
from poplarspindle.fleet import admission, work
from poplarspindle.node import admission_ledger

CAPACITY = 896_000
JOB_TASKS, TASK_MILLICORES = 6, 6400
NODES = 7
QUEUE = work.Queue("q", "h", "/q/", "pool")


def make_submission(job, until_cancelled=True, service="pool"):
    step = work.Step(
        JOB_TASKS,
        resources.Resources(TASK_MILLICORES, 1000, 0),
        until_cancelled=until_cancelled,
    )
    queue = work.Queue("q", "h", "/q/", service)
    return work.Submission(job, queue, "", (step,), accepted_ms=1000)


def make_load(held=0):
    return admission.Load(
        1000, {"pool": CAPACITY, "other": CAPACITY}, {"pool": held}
    )


def submit_everywhere(ledgers, load, loads_read, jobs):
    """Submits jobs at the nodes in turn; returns their retry delays."""
    nodes = itertools.cycle(ledgers)
    return [
        next(nodes).decide(load, loads_read, make_submission(f"{job}"), 1000)
        for job in range(jobs)
    ]


def test_jobs_at_all_nodes_at_once_leave_capacity_for_short_work():
    ledgers = [admission_ledger.AdmissionLedger() for _ in range(NODES)]
    delays = submit_everywhere(ledgers, make_load(), 1, 40)
    accepted = delays.count(0) * JOB_TASKS * TASK_MILLICORES
    assert accepted <= admission.MAX_LONG_RUNNING_SHARE * CAPACITY
    assert delays.count(0) >= NODES
    assert set(delays) == {0, admission.NEXT_LOAD_RETRY_S}


def test_callers_that_return_fill_the_capacity_as_loads_become_known():
    ledgers = [admission_ledger.AdmissionLedger() for _ in range(NODES)]
    job_millicores = JOB_TASKS * TASK_MILLICORES
    limit = admission.MAX_LONG_RUNNING_SHARE * CAPACITY
    held = 0
    for period in range(20):
        loads_read = 1 + period * admission_ledger.LOADS_UNTIL_SEEN
        delays = submit_everywhere(ledgers, make_load(held), loads_read, 40)
        held += delays.count(0) * job_millicores
    assert limit - NODES * job_millicores < held
    assert held <= limit + NODES * job_millicores
    assert set(delays) == {admission.LONG_RUNNING_RETRY_S}


@pytest.mark.parametrize(
    ("later", "loads_read", "retry_s"),
    [
        pytest.param({}, 1, admission.NEXT_LOAD_RETRY_S, id="unseen"),
        pytest.param({}, 2, admission.NEXT_LOAD_RETRY_S, id="one load"),
        pytest.param({}, 3, 0, id="seen"),
        pytest.param({"service": "other"}, 1, 0, id="other service"),
        pytest.param({"until_cancelled": False}, 1, 0, id="work that ends"),
    ],
)
def test_accepted_work_counts_until_a_load_includes_it(
    later, loads_read, retry_s
):
    ledger = admission_ledger.AdmissionLedger()
    while not ledger.decide(make_load(), 1, make_submission("a"), 1000):
        pass
    submission = make_submission("b", **later)
    assert ledger.decide(make_load(), loads_read, submission, 1000) == retry_s


def test_refused_work_does_not_count():
    ledger = admission_ledger.AdmissionLedger()
    full = make_load(CAPACITY)
    for _ in range(3):
        assert ledger.decide(full, 1, make_submission("a"), 1000)
    assert not ledger.decide(make_load(), 1, make_submission("b"), 1000)
