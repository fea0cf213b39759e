"""Contract of the worker interface, against the stand-in."""

import dataclasses

import msgpack
import pytest
from pytest_bdd import given, parsers, scenarios, then, when

from poplarspindle import effects, reports, resources
from poplarspindle.clients import transport, workers
from poplarspindle.tools.fakes import workers as fakes

scenarios("features/workers.feature")

CENTRE, NAME, TASK = "ourthe", "w0", "job/0"
LEASE_END_S = 20


@dataclasses.dataclass
class Bench:
    """A worker behind the codec, and its last report."""

    worker: fakes.FakeWorker
    ledger: list
    report: reports.WorkerReport | None = None

    def sync(self, commands, term, now):
        """Sends commands through the codec and keeps the report."""
        sync = workers.make_sync(commands, term)
        wire = msgpack.packb(transport.converter.unstructure(sync))
        read = transport.converter.structure(
            msgpack.unpackb(wire), workers.Sync
        )
        self.report = self.worker.sync(read, now)


@pytest.fixture
def bench():
    ledger = []
    member = reports.Member(
        NAME,
        reports.Role.WORKER,
        CENTRE,
        capacity=resources.Resources(4000, 8000, 0),
    )
    return Bench(fakes.FakeWorker(member, ledger), ledger)


@given("a worker that has seen term 3")
def raise_term(bench):
    bench.sync([], 3, 10.0)


@when(
    parsers.parse(
        "a start of attempt {attempt:d} comes in term {term:d}, due by"
        " {by:g} s, of {millicores:d} millicores, at {now:g} s"
    )
)
def start(bench, attempt, term, by, millicores, now):
    command = effects.StartTask(
        CENTRE,
        NAME,
        term,
        TASK,
        attempt,
        LEASE_END_S * 1000,
        int(by * 1000),
        0,
        60_000,
        millicores,
        100,
        0,
        "family",
    )
    bench.sync([command], term, now)


@when(parsers.parse("the task is stopped in term {term:d} at {now:g} s"))
def stop(bench, term, now):
    command = effects.StopTask(CENTRE, NAME, term, TASK, 0)
    bench.sync([command], term, now)


@when(
    parsers.parse(
        "a renewal until {until:g} s comes in term {term:d} at {now:g} s"
    )
)
def renew(bench, until, term, now):
    command = effects.RenewTasks(
        CENTRE, NAME, term, (TASK,), (0,), int(until * 1000)
    )
    bench.sync([command], term, now)


@when(parsers.parse("the worker is asked in term {term:d} at {now:g} s"))
def ask(bench, term, now):
    bench.sync([], term, now)


@when(parsers.parse("the end is acknowledged in term {term:d} at {now:g} s"))
def acknowledge(bench, term, now):
    command = effects.AcknowledgeEnd(CENTRE, NAME, term, TASK, 0)
    bench.sync([command], term, now)


@then(parsers.re(r'the worker runs attempts "(?P<attempts>\d*)"'))
def check_running(bench, attempts):
    running = [str(task.attempt) for task in bench.report.running]
    assert running == list(attempts)


@then(parsers.re(r'the refusals are "(?P<refusals>.*)"'))
def check_refusals(bench, refusals):
    assert list(bench.report.refusals) == refusals.split()


@then(parsers.parse("the ledger holds {count:d} run"))
def check_ledger(bench, count):
    assert len(bench.ledger) == count


@then(parsers.parse('the end is "{cause}" with {worked_ms:d} ms of work'))
def check_end(bench, cause, worked_ms):
    (end,) = bench.report.ended
    assert (end.cause, end.worked_ms) == (cause, worked_ms)


@then("no end is told")
def check_no_end(bench):
    assert not bench.report.ended
