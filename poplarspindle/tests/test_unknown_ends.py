"""An owner is told the end of a run whose job it does not know.

TWICE: the end is acknowledged and forgotten; once the job is known, its task
runs again. BUDGET: the same with an end that failed.
"""

import msgpack
import pytest

from poplarspindle import resources
from poplarspindle.fleet import (
    effects,
    events,
    job_store,
    orders,
    records,
    reducer,
    work,
)
from poplarspindle.node import claims
from poplarspindle.tests import test_node_ownership

JOB = "a" * 16
QUEUE = work.Queue("q", "h", "/q/", "pool", attempts=1)
CAPACITY = resources.Resources(8000, 32000, 0)
WORKER = work.WorkerInfo(
    "w0", "10.0.0.1:80", "pool", "dc", CAPACITY, incarnation_ms=1000
)
WALL_MS = 1_700_000_000_000
UNREADABLE = {99: 1}  # A field of a step that this version does not have.


class Log:
    """The logs, and owners of them one after the other."""

    def __init__(self, step=None):
        step = step or work.Step(2, resources.Resources(1000, 1000, 0), 500)
        self.submission = work.Submission(JOB, QUEUE, "", (step,))
        self.readable = records.encode_submission(self.submission)
        fields = msgpack.unpackb(self.readable.value, strict_map_key=False)
        fields[3][0] |= UNREADABLE
        self.unreadable = records.Record(
            self.readable.key, msgpack.packb(fields)
        )
        self.progress = {}
        self.epoch = 0
        self.now = 0.0
        self.started = []
        self.acknowledged = 0

    def take_over(self, *hand_ins):
        """Lets another owner begin, which reads these hand-ins."""
        self.epoch += 16
        self.now += 1.0
        self.acknowledged = 0
        prepared = claims.PreparedClaim(
            self.epoch, tuple(self.progress.values()), hand_ins, (0,)
        )
        self.fleet, drops, _ = claims.make_fleet(
            prepared, test_node_ownership.SETTINGS, self.now
        )
        self.store(drops)
        self.reduce(events.Claimed(self.now, WALL_MS, self.epoch, {}, {}, (0,)))
        configuration = work.Configuration(1, {"q": QUEUE})
        self.reduce(events.Configured(self.now, configuration, frozenset()))
        self.reduce(events.WorkersListed(self.now, (WORKER,)))
        self.settle()

    def report(self, running=(), ended=()):
        """Lets the worker report; all that follows is recorded."""
        self.now += 0.1
        report = work.Report(
            int(self.now * 1000) + 1, 1000, tuple(running), tuple(ended)
        )
        self.reduce(
            events.Reported(
                self.now, WALL_MS, "w0", self.now, 0, report, 0, self.epoch
            )
        )
        self.reduce(events.Ticked(self.now, WALL_MS))
        self.settle()

    def settle(self):
        """Lets what is decided be recorded, until nothing is."""
        while appends := self.run(reducer.settle(self.fleet)):
            for append in appends:
                self.store(append.records)
                self.reduce(events.Appended(self.now, append.number))

    def reduce(self, event):
        """Lets the owner handle an event."""
        self.run(reducer.reduce(self.fleet, event))

    def run(self, effect_list):
        """Takes effects; returns the appends among them."""
        for effect in effect_list:
            if isinstance(effect, effects.Acknowledge):
                self.acknowledged = effect.number
            elif isinstance(effect, effects.Order) and isinstance(
                effect.order, orders.Start
            ):
                self.started.append((effect.order.task, effect.order.attempt))
        return [e for e in effect_list if isinstance(e, effects.Append)]

    def store(self, found):
        """Stores records of the progress log."""
        for record in found:
            self.progress[record.key] = record
            if not record.value:
                del self.progress[record.key]

    def hand_in(self):
        """Lets the owner read the hand-in now."""
        job_store.add_job(self.fleet.job_store, self.submission)
        self.reduce(events.JobRead(self.now, JOB))
        self.settle()

    def get_state(self):
        """Returns the job's state."""
        return self.fleet.job_store.jobs[JOB].published_state.value


def make_log(step=None):
    """Makes a log where both tasks of a job run on w0."""
    log = Log(step)
    log.take_over(log.readable)
    log.report()
    log.settle()
    assert len(log.started) == 2
    log.report(running=[work.Running(*key, "", 100) for key in log.started])
    return log


def make_ends(log, *reasons):
    """Makes ends of the runs that were started, in their order."""
    return [
        work.Ended(number, *key, reason, "")
        for number, (key, reason) in enumerate(
            zip(log.started, reasons, strict=True), 1
        )
    ]


STEPS = [
    pytest.param({}, id="task"),
    pytest.param({"gang": True}, id="gang"),
]


@pytest.mark.parametrize("options", STEPS)
def test_task_that_was_done_under_an_owner_that_can_not_read_its_job_runs_once(
    options,
):
    """TWICE: an owner of an earlier version between two of a later one."""
    need = resources.Resources(1000, 1000, 0)
    log = make_log(work.Step(2, need, 500, (), **options))
    ends = make_ends(log, work.EndReason.DONE, work.EndReason.DONE)
    log.take_over(log.unreadable)
    log.report(ended=ends)
    assert log.acknowledged == 2
    log.take_over(log.readable)
    log.report()
    assert len(log.started) == 2
    assert log.get_state() == "completed"


def test_task_whose_end_came_before_its_job_was_read_runs_once():
    """TWICE: the hand-in is read later than the worker's report."""
    log = make_log()
    ends = make_ends(log, work.EndReason.DONE, work.EndReason.DONE)
    log.take_over()
    log.report(ended=ends)
    log.hand_in()
    log.report()
    assert len(log.started) == 2
    assert log.get_state() == "completed"


def test_end_counts_under_the_owner_after_the_one_that_kept_it():
    """TWICE: two owners in turn can't read the job."""
    log = make_log()
    ends = make_ends(log, work.EndReason.DONE, work.EndReason.DONE)
    log.take_over(log.unreadable)
    log.report(ended=ends)
    log.take_over(log.unreadable)
    log.report()
    log.take_over(log.readable)
    log.report()
    assert len(log.started) == 2
    assert log.get_state() == "completed"


def test_task_that_failed_under_an_owner_that_can_not_read_its_job_has_failed():
    """BUDGET: one failed run is allowed, and it does not count."""
    log = make_log()
    ends = make_ends(log, work.EndReason.FAILED, work.EndReason.DONE)
    log.take_over(log.unreadable)
    log.report(ended=ends)
    log.take_over(log.readable)
    log.report()
    assert len(log.started) == 2
    assert log.get_state() == "failed"


def test_task_that_goes_on_under_an_owner_that_can_not_read_its_job_runs_on():
    """TWICE: its progress is dropped, and the next owner begins it anew."""
    log = make_log()
    log.take_over(log.unreadable)
    log.take_over(log.readable)
    log.report(running=[work.Running(*key, "", 100) for key in log.started])
    assert len(log.started) == 2


def test_ends_of_a_job_that_is_gone_are_acknowledged_and_not_kept():
    """Acks: workers would list them for ever, the log hold them for ever."""
    log = make_log()
    ends = make_ends(log, work.EndReason.DONE, work.EndReason.DONE)
    log.take_over()
    log.report(ended=ends)
    assert log.acknowledged == 2
    log.take_over()
    log.settle()
    assert log.progress == {}


def test_ends_that_were_applied_are_not_kept():
    """Load: the log would hold them for ever."""
    log = make_log()
    ends = make_ends(log, work.EndReason.DONE, work.EndReason.DONE)
    log.take_over(log.unreadable)
    log.report(ended=ends)
    log.take_over(log.readable)
    log.settle()
    kinds = {key.partition("/")[0] for key in log.progress}
    assert kinds == {records.PROGRESS}
