"""No run counts as over, and no end as counted, without word of its worker."""

import dataclasses
import threading
import time
import types

import pytest

from poplarspindle import metrics, outcomes, resources
from poplarspindle.fleet import orders, records, work
from poplarspindle.node import (
    appending,
    claims,
    http_client,
    polling,
    storage,
)
from poplarspindle.platform import minions
from poplarspindle.tests import test_polling
from poplarspindle.tools.fakes import fleets, messages, network

CORE = resources.Resources(1000, 1000, 0)
JOB = "a" * 16
PAUSE_S = 0.2


def make_step(tasks=1, **options):
    return work.Step(tasks, CORE, 500, (), **options)


def list_runs(world):
    return [run for worker in world.workers.values() for run in worker.ledger]


def find_worker_of_an_unanswered_start(world):
    """Runs until a start is noted as unanswered; returns its worker."""
    while not world.notes["start-refused"]:
        world.run(fleets.TICK_S)
    (name,) = [n for n, w in world.fleet.workers.items() if w.runs]
    return world.workers[name]


def test_later_attempt_is_stopped_while_other_tasks_of_its_job_go_on():
    """Load: the owner is behind with a worker whose run was done.

    The job has not ended with that task, so nothing else stops the attempt.
    """
    world = fleets.World(1, workers=2)
    world.submit(JOB, make_step(), work.Step(1, CORE, 500, (0,)))
    while not world.starts:
        world.run(fleets.TICK_S)
    world.run(fleets.TICK_S)  # A start without an answer would be waited for.
    (name,) = [n for n, w in world.workers.items() if w.runs]
    world.hold_back(name)
    while world.starts < 2:
        world.run(fleets.TICK_S)
    world.catch_up(name)
    world.run(0.45)
    later = [r for r in list_runs(world) if r.attempt == 2]
    assert [r.how for r in later] == [work.EndReason.STOPPED]


def test_task_waits_while_no_stop_reaches_the_next_incarnation():
    """TWICE: a start is on its way to a worker that began anew.

    The stop that refuses it there gets no answer until it has arrived. The
    earlier incarnation answered a repeated start, which proves nothing now.
    """
    world = fleets.World(
        1,
        workers=2,
        run_s=lambda rng: 1.0,
        late=1.0,
        late_s=(3.0, 3.0),
        late_incarnations=True,
    )
    world.submit(JOB, make_step())
    worker = find_worker_of_an_unanswered_start(world)
    world.late = 0.0
    while not world.starts:
        world.run(fleets.TICK_S)
    stop = worker.stop
    worker.stop = lambda order: orders.Answer(orders.Refusal.NO_ANSWER)
    worker.crash()
    worker.description = dataclasses.replace(
        worker.description, presence=work.Presence.LEAVING, leaves_ms=9000
    )
    world.run(3.5)
    worker.stop = stop
    world.run(5)
    assert world.get_state(JOB) == "completed"
    assert world.list_violations() == []


def test_late_start_in_the_next_incarnation_of_a_worker_that_is_cut_off():
    """TWICE: a worker begins anew and is out of reach after one report.

    Its leases count as over since the new incarnation granted none, but a
    start of the earlier one is on its way and is carried out with a lease.
    """
    world = fleets.World(
        1,
        workers=2,
        run_s=lambda rng: 4.0,
        late=1.0,
        late_s=(5.0, 5.0),
        late_incarnations=True,
    )
    world.run(10)
    world.submit(JOB, make_step())
    worker = find_worker_of_an_unanswered_start(world)
    name = worker.description.name
    worker.reachable = False
    worker.crash()
    world.run(0.5)
    worker.reachable = True
    while world.fleet.workers[name].incarnation_ms != worker.incarnation_ms:
        world.run(fleets.TICK_S)
    worker.reachable = False
    world.late = 0.0
    world.run(12)
    assert world.list_violations() == []


def test_late_start_is_refused_by_a_worker_that_is_heard_again():
    """TWICE: a start is on its way to a worker whose leases are over.

    The worker answers again before the start arrives, whose lease counts
    from then. The run is still placed there, so it begins there only.
    """
    world = fleets.World(
        1,
        workers=2,
        run_s=lambda rng: 4.0,
        late=1.0,
        late_s=(8.0, 8.0),
        late_leases=True,
    )
    world.submit(JOB, make_step())
    worker = find_worker_of_an_unanswered_start(world)
    world.late = 0.0
    worker.reachable = False
    world.run(5)
    worker.reachable = True
    world.run(8)
    assert world.list_violations() == []


def test_adopted_run_keeps_its_lease_on_a_worker_that_is_cut_off():
    """TWICE: a start reaches the worker just after it began anew.

    It grants a lease there before the owner hears of the new incarnation;
    the owner adopts the run and takes the worker to hold no lease.
    """
    world = fleets.World(1, workers=2, run_s=lambda rng: 8.0)
    world.run(10)
    sent = []

    def keep_start(message):
        if message.kind is not messages.Kind.START:
            return messages.DELIVERED
        sent.append(message.order)
        return messages.Fate(None)

    world.choose_fate = keep_start
    world.submit(JOB, make_step())
    while not sent:
        world.run(network.NETWORK_S)
    (name,) = [n for n, w in world.fleet.workers.items() if w.runs]
    worker = world.workers[name]
    worker.crash()
    worker.reachable = False
    while not world.notes["unheard"]:
        world.run(fleets.TICK_S)
    worker.reachable = True
    world.carry_out_order(worker, sent[0])
    assert worker.runs
    while world.fleet.workers[name].incarnation_ms != worker.incarnation_ms:
        world.run(fleets.TICK_S)
    worker.reachable = False
    world.run(12)
    assert world.list_violations() == []


@pytest.mark.parametrize("status", [404, 500, 502, 504])
def test_start_answered_by_an_error_may_have_been_carried_out(status):
    """TWICE: a worker begins a run and then answers with an error.

    Any unknown status counted as proof that the run did not start.
    """
    answer = outcomes.Ok(http_client.Answer(status, b""))
    refusal = minions.read_answer(answer).refusal
    world = fleets.World(1, workers=2, run_s=lambda rng: 2.0)
    world.run(1)
    for worker in world.workers.values():

        def start(order, worker=worker, carry_out=worker.start):
            carry_out(order)
            worker.start = carry_out
            return orders.Answer(refusal, worker.clock_ms())

        worker.start = start
    world.submit(JOB, make_step())
    world.run(10)
    assert world.starts == 1
    assert world.list_violations() == []


def test_store_counts_as_heard_when_it_was_asked():
    """TWICE: an owner is paused between an append and reading its answer.

    It takes the store to have confirmed its ownership when it wakes, grants
    leases and sends starts, while the next owner takes all leases to be over.
    """
    stop_event = threading.Event()
    heard = threading.Event()
    asked_at = []

    def append(batch, sequence):
        asked_at.append(time.monotonic())
        time.sleep(PAUSE_S)
        return outcomes.Ok(0)

    appender = appending.Appender(
        "progress", append, 1000, stop_event, print, metrics.Metrics()
    )
    appender.start()
    appender.put([records.Record("key", b"")], lambda at: heard.set())
    assert heard.wait(10)
    stop_event.set()
    appender.stop()
    assert 0.0 <= asked_at[0] - appender.confirmed_at < PAUSE_S


# The store answers a repeat as it answered the first copy, which it took before
# another owner claimed; that does not confirm the ownership anew.


def test_repeated_append_confirms_the_ownership_from_its_first_sending():
    """TWICE: an owner that was replaced meanwhile grants leases and starts."""
    stop_event = threading.Event()
    heard = threading.Event()
    asked_at = []
    lost = outcomes.Failed(outcomes.Step.APPEND, "s", "timeout", "", True)

    def append(batch, sequence):
        asked_at.append((time.monotonic(), sequence))
        if len(asked_at) > 1:
            return outcomes.Ok(0)
        time.sleep(PAUSE_S)
        return lost

    appender = appending.Appender(
        "progress", append, 1000, stop_event, print, metrics.Metrics()
    )
    appender.start()
    appender.put([records.Record("key", b"")], lambda at: heard.set())
    assert heard.wait(10)
    stop_event.set()
    appender.stop()
    (first_at, sequence), (_, repeated) = asked_at
    assert sequence == repeated
    assert appender.confirmed_at - first_at < PAUSE_S


@pytest.mark.parametrize("fails", ["append", "read_newest"])
def test_repeated_claim_confirms_the_ownership_from_its_first_sending(fails):
    """TWICE: the same for an owner that reads the log again."""
    asked_at = []

    class Store:
        """Fails in one way at first."""

        failed = False

        def append(self, items, timeout_s, epoch, sequence, topic):
            """Takes the claim, with or without an answer."""
            asked_at.append(time.monotonic())
            return self._answer("append", outcomes.Ok(0))

        def read_newest(self, topic, after="", partition=0):
            """Tells that the log is empty."""
            newest = storage.Newest((), False, 0)
            return self._answer("read_newest", outcomes.Ok(newest))

        def _answer(self, call, answer):
            if self.failed or call != fails:
                return answer
            self.failed = True
            time.sleep(PAUSE_S)
            step = outcomes.Step.APPEND
            return outcomes.Failed(step, "s", "timeout", "", True)

    platform = types.SimpleNamespace(
        store=Store(), progress_topic="p", intake_topic="i", partitions=1
    )
    claim = records.Owner(16, "n", 0, 0.0)
    prepared = claims.prepare(platform, claim, lambda: True)
    assert len(asked_at) == 2
    assert prepared.confirmed_at - asked_at[0] < PAUSE_S


class _UnconfirmedOwnership(test_polling.FakeOwnership):
    """The store has not confirmed the ownership for a minute."""

    def store_confirmed_at(self):
        """Returns a time longer ago than any lease lasts."""
        return time.monotonic() - 60


def test_start_is_not_sent_once_the_ownership_is_unconfirmed():
    """TWICE: a start grants a lease as a look does, at any time.

    A later owner waits for leases granted up to 4 s after its claim.
    """
    client = test_polling.Slow([])
    poller = polling.WorkerPoller(
        _UnconfirmedOwnership(client), test_polling.WORKER
    )
    name = work.TaskName(JOB, 0, 0, 0)
    poller.send_order(orders.Start(name, 1, 16, "", 9000))
    assert len(client.sent) == 0
