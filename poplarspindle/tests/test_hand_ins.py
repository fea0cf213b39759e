"""Hand-ins by part: appended side by side, looked up before they are told."""

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
PATIENCES = [
    pytest.param(1.2, 0.01, True, 1.2, id="store is well"),
    pytest.param(1.2, 1.2, False, 2.4, id="no answer"),
    pytest.param(2.0, 2.0, False, 2.6, id="not longer than a caller waits"),
    pytest.param(2.6, 0.4, True, 2.4, id="slow, but answers"),
    pytest.param(2.6, 0.01, True, 1.2, id="well again"),
]


@pytest.mark.parametrize(
    ("before_s", "took_s", "answered", "expected"), PATIENCES
)
def test_patience_follows_the_store(before_s, took_s, answered, expected):
    found = group_commit.choose_timeout(before_s, took_s, answered)
    assert found == pytest.approx(expected)


class Store:
    """Parts of the hand-ins; some of them do not answer."""

    def __init__(self):
        self.partitions = {partition: [] for partition in range(PARTITIONS)}
        self.first = 0
        self.stuck = set()
        self.go_on = threading.Event()
        self.down = False

    def append(
        self, found, timeout_s, epoch=0, sequence=0, topic="", partition=0
    ):
        """Appends, unless the part is stuck."""
        if partition in self.stuck:
            self.go_on.wait(30)
        self.partitions[partition] += found
        return outcomes.Ok(0)

    def read(self, topic, offset, wait_ms, partition=0):
        """Reads a part to its end."""
        if self.down:
            return outcomes.Failed(outcomes.Step.READ, "s", "timeout")
        if offset < self.first:
            return outcomes.Failed(outcomes.Step.READ, "s", "expired")
        rows = self.partitions[partition][offset:]
        end = len(self.partitions[partition])
        return outcomes.Ok(storage.Page(tuple(rows), end, end))

    def read_newest(self, topic, after="", partition=0):
        """Reads all of a part."""
        rows = tuple(self.partitions[partition])
        return outcomes.Ok(storage.Newest(rows, False, len(rows)))


def make_submission(job, queue=QUEUE):
    return work.Submission(job, queue, "", (STEP,))


def find_jobs_of_two_parts():
    names = [f"{number:016x}" for number in range(100)]
    partitions = {
        records.choose_partition(name, PARTITIONS): name for name in names
    }
    return list(partitions.items())[:2]


def make_platform(store):
    return dataclasses.replace(program.connect(SETTINGS), store=store)


def test_part_that_does_not_answer_holds_up_no_other():
    """Load: each part takes one append at a time, and one takes seconds."""
    store = Store()
    (stuck, first), (_, second) = find_jobs_of_two_parts()
    store.stuck = {stuck}
    own = group_commit.IntakeWriter(make_platform(store), lambda found: None)
    deadline = time.monotonic() + 60
    slow = threading.Thread(
        target=own.commit,
        args=(records.encode_submission(make_submission(first)), deadline),
    )
    slow.start()
    record = records.encode_submission(make_submission(second))
    assert own.commit(record, deadline).appended
    assert slow.is_alive()
    store.go_on.set()
    slow.join()


def make_call_handlers(store, heard_ago_s=0.0):
    state = shared_state.SharedState()
    state.loaded = True
    platform = make_platform(store)
    found = call_handlers.CallHandlers(
        platform,
        metrics.Metrics(),
        state,
        group_commit.IntakeWriter(platform, lambda rows: None),
        None,
        lambda: time.monotonic() - heard_ago_s,
        lambda: 16,
    )
    return found, state


def hand_in(store, *jobs):
    for job in jobs:
        partition = records.choose_partition(job, PARTITIONS)
        record = records.encode_submission(make_submission(job))
        store.partitions[partition].append(record)


def ask(own, kind, job=""):
    call = caller_calls.Call(kind, QUEUE, job, 3.0)
    return call_handlers._ANSWERS[kind](own, call, time.monotonic() + 3)


JOB = "5c0e7a21d94b36f8"


def test_job_taken_elsewhere_is_shown_before_the_owner_tells_of_it():
    store = Store()
    own, state = make_call_handlers(store)
    assert ask(own, caller_calls.Kind.SHOW, JOB).status == 410
    hand_in(store, JOB)
    assert ask(own, caller_calls.Kind.SHOW, JOB).state == "queued"
    state.published_jobs[JOB] = job_store.PublishedJob(
        job_store.State.COMPLETED, "q"
    )
    assert ask(own, caller_calls.Kind.SHOW, JOB).state == "completed"


def test_job_is_not_said_to_be_absent_while_the_log_is_silent():
    store = Store()
    own, _ = make_call_handlers(store)
    store.down = True
    answer = ask(own, caller_calls.Kind.SHOW, JOB)
    assert (answer.status, answer.retry_s) == (503, call_handlers.RETRY_S)


def test_log_tells_what_a_job_was_said_to_be_absent_by(monkeypatch):
    log = testing.CapturingLogger()  # Loggers used before may be cached.
    monkeypatch.setattr(call_handlers, "_log", log)
    store = Store()
    own, state = make_call_handlers(store, heard_ago_s=0.5)
    hand_in(store, JOB)
    partition = records.choose_partition(JOB, PARTITIONS)
    state.published_offsets = tuple(
        int(number == partition) for number in range(PARTITIONS)
    )
    assert ask(own, caller_calls.Kind.SHOW, JOB).status == 410
    (line,) = (call.kwargs for call in log.calls if call.args == ("absent",))
    assert (line["job"], line["hand_ins_part"]) == (JOB, partition)
    assert (line["first"], line["end"], line["records"]) == (1, 1, 0)
    assert line["epoch"] == 16
    assert line["parts"] == line["owner_parts"] == PARTITIONS
    assert line["heard_s"] >= 0.5


@pytest.mark.parametrize("partitions", [PARTITIONS // 3, 2 * PARTITIONS])
def test_job_is_not_said_to_be_absent_where_parts_differ(partitions):
    """Nodes of another version hand jobs in where this one does not look."""
    store = Store()
    own, state = make_call_handlers(store)
    state.published_offsets = (0,) * partitions
    assert ask(own, caller_calls.Kind.SHOW, JOB).status == 503
    assert ask(own, caller_calls.Kind.CANCEL, JOB).status == 503


def test_job_is_found_though_the_history_is_gone():
    """No owner has told of hand-ins for longer than the store keeps them."""
    store = Store()
    own, _ = make_call_handlers(store)
    hand_in(store, JOB)
    store.first = 1
    assert ask(own, caller_calls.Kind.SHOW, JOB).state == "queued"


def test_waiting_jobs_are_counted_though_no_owner_tells_of_them():
    store = Store()
    own, state = make_call_handlers(store, heard_ago_s=5.0)
    names = [f"{number:016x}" for number in range(20)]
    hand_in(store, *names)
    assert ask(own, caller_calls.Kind.COUNT).pending == 20
    told = records.encode_state(job_store.Job(make_submission(names[0])))
    shared_state.apply_record(state, told, 0.0)
    assert ask(own, caller_calls.Kind.COUNT).pending == 20


def test_what_the_owner_tells_replaces_what_was_taken_here():
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
    shared_state.apply_record(state, records.drop_state(JOB), 0.0)
    assert shared_state.find_job(state, JOB) is None


def test_job_told_of_stays_known_while_the_log_is_read_anew(monkeypatch):
    """A look-up that began before would find it neither here nor behind."""
    own = node.Node(SETTINGS, program.connect(SETTINGS), metrics.Metrics())
    ended = f"{7:016x}"
    names = [JOB, f"{8:016x}"]
    states = [
        records.encode_state(job_store.Job(make_submission(name)))
        for name in names
    ]
    # The store lists keys in their order: `read` is before the states.
    rows = (records.encode_intake_offsets([1] * PARTITIONS), *states)
    for name in (ended, JOB):
        told = records.encode_state(job_store.Job(make_submission(name)))
        shared_state.apply_record(own._shared_state, told, 0.0)
    apply = shared_state.apply_record
    seen = []

    def look(state, record, at):
        apply(state, record, at)
        absent = [n for n in names if shared_state.find_job(state, n) is None]
        seen.append((bool(state.published_offsets), absent))

    monkeypatch.setattr(shared_state, "apply_record", look)
    own._reload_shared_state(node._SharedLogReloaded(rows))
    assert [absent for covered, absent in seen if covered] == [[]]
    assert not any(JOB in absent for _, absent in seen)
    assert shared_state.find_job(own._shared_state, ended) is None


def test_connections_to_the_store_are_kept_for_all_that_wait():
    """An owner waits at every part; else each wait is a new connection."""
    found = program.connect(SETTINGS)
    assert found.store._calls._pool.pool.maxsize >= 2 * found.partitions
