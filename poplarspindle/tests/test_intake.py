"""Tests of the partitioned intake log.

Partitions take appends in parallel, and nodes look jobs up in the intake until
the owner has published their state.
"""

import dataclasses
import threading
import time

import pytest
from structlog import testing

from poplarspindle import metrics, outcomes, resources
from poplarspindle.fleet import job_store, records, work
from poplarspindle.node import (
    call_handlers,
    caller_calls,
    group_commit,
    node,
    shared_state,
    storage,
)
from poplarspindle.platform import __main__ as program
from poplarspindle.platform import settings

SETTINGS = settings.read_settings("""
node_name=n
zone=z
listen_addrs.frontend=127.0.0.1:1
listen_addrs.readiness=127.0.0.1:2
platform.address=127.0.0.1:3
""")
PARTITIONS = program.connect(SETTINGS).partitions
QUEUE = work.Queue("q", "h", "/q/", "pool")
STEP = work.Step(1, resources.Resources(1000, 1, 0))
TIMEOUT_CASES = [
    pytest.param(1.2, 0.01, True, 1.2, id="fast store"),
    pytest.param(1.2, 1.2, False, 2.4, id="no answer"),
    pytest.param(2.0, 2.0, False, 2.6, id="no answer, limited to the maximum"),
    pytest.param(2.6, 0.4, True, 2.4, id="slow answer"),
    pytest.param(2.6, 0.01, True, 1.2, id="fast again"),
]


@pytest.mark.parametrize(
    ("before_s", "took_s", "answered", "expected_s"), TIMEOUT_CASES
)
def test_append_timeout_follows_the_duration_of_the_last_append(
    before_s, took_s, answered, expected_s
):
    timeout_s = group_commit.choose_timeout(before_s, took_s, answered)
    assert timeout_s == pytest.approx(expected_s)


class FakeStore:
    """In-memory intake log.

    Attributes:
        partitions: Records by partition.
        first_offset: Oldest offset that can still be read.
        stuck_partitions: Partitions whose appends wait for `release_stuck`.
        release_stuck: Lets the waiting appends continue.
        is_down: Whether reads time out.
        page_records: How many records one read returns at most.
    """

    def __init__(self):
        self.partitions = {partition: [] for partition in range(PARTITIONS)}
        self.first_offset = 0
        self.stuck_partitions = set()
        self.release_stuck = threading.Event()
        self.is_down = False
        self.page_records = 1000

    def append(
        self, items, timeout_s, epoch=0, sequence=0, topic="", partition=0
    ):
        """Appends records; waits first if the partition is stuck."""
        if partition in self.stuck_partitions:
            self.release_stuck.wait(30)
        self.partitions[partition] += items
        return outcomes.Ok(0)

    def read(self, topic, offset, wait_ms, partition=0):
        """Reads a page of a partition from an offset on."""
        if self.is_down:
            return outcomes.Failed(outcomes.Step.READ, "s", "timeout")
        if offset < self.first_offset:
            return outcomes.Failed(outcomes.Step.READ, "s", "expired")
        items = self.partitions[partition][offset : offset + self.page_records]
        end = len(self.partitions[partition])
        return outcomes.Ok(storage.Page(tuple(items), offset + len(items), end))

    def read_newest(self, topic, after="", partition=0):
        """Reads all records of a partition."""
        items = tuple(self.partitions[partition])
        return outcomes.Ok(storage.Newest(items, False, len(items)))


def make_submission(job, queue=QUEUE):
    return work.Submission(job, queue, "", (STEP,))


def find_jobs_of_two_partitions():
    names = [f"{number:016x}" for number in range(100)]
    partitions = {
        records.choose_partition(name, PARTITIONS): name for name in names
    }
    return list(partitions.items())[:2]


def make_platform(store):
    return dataclasses.replace(program.connect(SETTINGS), store=store)


def test_unanswered_append_does_not_delay_other_partitions():
    """Load: partitions take one append at a time, and one append takes seconds.

    Commits to other partitions must not wait for it.
    """
    store = FakeStore()
    (stuck_partition, stuck_job), (_, other_job) = find_jobs_of_two_partitions()
    store.stuck_partitions = {stuck_partition}
    writer = group_commit.IntakeWriter(make_platform(store), lambda items: None)
    deadline = time.monotonic() + 60
    slow_commit = threading.Thread(
        target=writer.commit,
        args=(records.encode_submission(make_submission(stuck_job)), deadline),
    )
    slow_commit.start()
    record = records.encode_submission(make_submission(other_job))
    assert writer.commit(record, deadline).appended
    assert slow_commit.is_alive()
    store.release_stuck.set()
    slow_commit.join()


def make_call_handlers(store, owner_seen_ago_s=0.0):
    state = shared_state.SharedState()
    state.loaded = True
    platform = make_platform(store)
    handlers = call_handlers.CallHandlers(
        platform,
        metrics.Metrics(),
        state,
        group_commit.IntakeWriter(platform, lambda items: None),
        None,
        lambda: time.monotonic() - owner_seen_ago_s,
        lambda: 16,
    )
    return handlers, state


def add_to_intake(store, *jobs):
    for job in jobs:
        partition = records.choose_partition(job, PARTITIONS)
        record = records.encode_submission(make_submission(job))
        store.partitions[partition].append(record)


def ask(handlers, kind, job=""):
    call = caller_calls.Call(kind, QUEUE, job, 3.0)
    return call_handlers._ANSWERS[kind](handlers, call, time.monotonic() + 3)


JOB = "5c0e7a21d94b36f8"


def test_job_accepted_by_another_node_is_shown_before_it_is_published():
    store = FakeStore()
    handlers, state = make_call_handlers(store)
    assert ask(handlers, caller_calls.Kind.SHOW, JOB).status == 410
    add_to_intake(store, JOB)
    assert ask(handlers, caller_calls.Kind.SHOW, JOB).state == "queued"
    state.published_jobs[JOB] = job_store.PublishedJob(
        job_store.State.COMPLETED, "q"
    )
    assert ask(handlers, caller_calls.Kind.SHOW, JOB).state == "completed"


def test_job_is_not_reported_absent_while_the_store_does_not_answer():
    store = FakeStore()
    handlers, _ = make_call_handlers(store)
    store.is_down = True
    answer = ask(handlers, caller_calls.Kind.SHOW, JOB)
    assert (answer.status, answer.retry_s) == (503, call_handlers.RETRY_S)


@pytest.mark.parametrize(
    "kind", [caller_calls.Kind.SHOW, caller_calls.Kind.CANCEL]
)
@pytest.mark.parametrize("page_records", [1, 2, 3])
def test_job_behind_the_page_that_was_read_is_not_reported_absent(
    kind, page_records
):
    """LOST: a node that was behind looked for a job in one page of the log."""
    store = FakeStore()
    handlers, _ = make_call_handlers(store)
    store.page_records = page_records
    partition = records.choose_partition(JOB, PARTITIONS)
    others = [f"{number:016x}" for number in range(100)]
    same_partition = [
        name
        for name in others
        if records.choose_partition(name, PARTITIONS) == partition
    ]
    add_to_intake(store, *same_partition[:2], JOB)
    expected = 200 if page_records == 3 else 503
    assert ask(handlers, kind, JOB).status == expected


@pytest.mark.parametrize(
    "kind", [caller_calls.Kind.SHOW, caller_calls.Kind.CANCEL]
)
def test_job_is_not_reported_absent_once_states_are_read_anew(kind):
    """LOST: states were lost while a job was looked up behind their offsets."""
    store = FakeStore()
    handlers, state = make_call_handlers(store)
    read = store.read

    def lose_states_and_read(*args):
        state.loaded = False
        return read(*args)

    store.read = lose_states_and_read
    assert ask(handlers, kind, JOB).status == 503


def test_log_line_explains_why_a_job_was_reported_absent(monkeypatch):
    log = testing.CapturingLogger()  # Loggers used before may be cached.
    monkeypatch.setattr(call_handlers, "_log", log)
    store = FakeStore()
    handlers, state = make_call_handlers(store, owner_seen_ago_s=0.5)
    add_to_intake(store, JOB)
    partition = records.choose_partition(JOB, PARTITIONS)
    state.published_offsets = tuple(
        int(number == partition) for number in range(PARTITIONS)
    )
    assert ask(handlers, caller_calls.Kind.SHOW, JOB).status == 410
    (line,) = (call.kwargs for call in log.calls if call.args == ("absent",))
    assert (line["job"], line["hand_ins_part"]) == (JOB, partition)
    assert (line["first"], line["end"], line["records"]) == (1, 1, 0)
    assert line["epoch"] == 16
    assert line["parts"] == line["owner_parts"] == PARTITIONS
    assert line["heard_s"] >= 0.5


@pytest.mark.parametrize("partitions", [PARTITIONS // 3, 2 * PARTITIONS])
def test_job_is_not_reported_absent_if_partition_counts_differ(partitions):
    """Nodes of different versions may use different numbers of partitions.

    A node of another version then writes jobs to partitions in which this node
    does not look, so their absence here proves nothing.
    """
    store = FakeStore()
    handlers, state = make_call_handlers(store)
    state.published_offsets = (0,) * partitions
    assert ask(handlers, caller_calls.Kind.SHOW, JOB).status == 503
    assert ask(handlers, caller_calls.Kind.CANCEL, JOB).status == 503


def test_job_is_found_after_the_log_history_expired():
    """The owner published no state for longer than the store keeps history.

    Reading from the published offset then fails as expired, and the newest
    records of the partition are read instead.
    """
    store = FakeStore()
    handlers, _ = make_call_handlers(store)
    add_to_intake(store, JOB)
    store.first_offset = 1
    assert ask(handlers, caller_calls.Kind.SHOW, JOB).state == "queued"


def test_pending_jobs_are_counted_while_there_is_no_owner():
    store = FakeStore()
    handlers, state = make_call_handlers(store, owner_seen_ago_s=5.0)
    names = [f"{number:016x}" for number in range(20)]
    add_to_intake(store, *names)
    assert ask(handlers, caller_calls.Kind.COUNT).pending == 20
    published = records.encode_state(job_store.Job(make_submission(names[0])))
    shared_state.apply_record(state, published, 0.0)
    assert ask(handlers, caller_calls.Kind.COUNT).pending == 20


def test_published_state_replaces_the_locally_accepted_one():
    state = shared_state.SharedState()
    shared_state.record_accepted(
        state, records.encode_submission(make_submission(JOB))
    )
    assert shared_state.find_job(state, JOB).state is job_store.State.QUEUED
    shared_state.record_accepted(state, records.encode_cancel(JOB))
    assert shared_state.find_job(state, JOB).state is job_store.State.CANCELLED
    job = job_store.Job(make_submission(JOB))
    job.published_state = job_store.State.COMPLETED
    shared_state.apply_record(state, records.encode_state(job), 0.0)
    assert shared_state.find_job(state, JOB).state is job_store.State.COMPLETED
    assert state.unpublished_jobs == {}
    shared_state.apply_record(state, records.make_state_deletion(JOB), 0.0)
    assert shared_state.find_job(state, JOB) is None


def test_published_job_stays_known_while_the_log_is_read_again(monkeypatch):
    """Reloading must not remove a published job, even temporarily.

    The published offsets are past its submission: a concurrent lookup would
    find it neither in the shared state nor in the intake after the offsets.
    """
    own_node = node.Node(SETTINGS, program.connect(SETTINGS), metrics.Metrics())
    dropped_job = f"{7:016x}"
    names = [JOB, f"{8:016x}"]
    states = [
        records.encode_state(job_store.Job(make_submission(name)))
        for name in names
    ]
    # The store lists keys in order: `read`, the offsets, precedes the states.
    reloaded = (records.encode_intake_offsets([1] * PARTITIONS), *states)
    for name in (dropped_job, JOB):
        published = records.encode_state(job_store.Job(make_submission(name)))
        shared_state.apply_record(own_node._shared_state, published, 0.0)
    apply_record = shared_state.apply_record
    checks = []

    def apply_and_check(state, record, at):
        apply_record(state, record, at)
        absent = [n for n in names if shared_state.find_job(state, n) is None]
        checks.append((bool(state.published_offsets), absent))

    monkeypatch.setattr(shared_state, "apply_record", apply_and_check)
    own_node._reload_shared_state(node._SharedLogReloaded(reloaded))
    assert [absent for has_offsets, absent in checks if has_offsets] == [[]]
    assert not any(JOB in absent for _, absent in checks)
    assert shared_state.find_job(own_node._shared_state, dropped_job) is None


def test_connection_pool_holds_a_connection_for_each_waiting_reader():
    """The owner long-polls every partition at the same time.

    With a smaller pool, each of these reads opens a new connection.
    """
    platform = program.connect(SETTINGS)
    assert platform.store._calls._pool.pool.maxsize >= 2 * platform.partitions
