"""An overloaded owner may be late, but its decisions stay correct."""

import dataclasses
import threading
import time

import pytest
from structlog import testing

from poplarspindle import metrics, outcomes, resources
from poplarspindle.fleet import (
    effects,
    events,
    fitness,
    fleet_state,
    job_store,
    orders,
    placement_rounds,
    records,
    work,
    worker_state,
)
from poplarspindle.node import claims, intake, node, ownership
from poplarspindle.platform import __main__ as program
from poplarspindle.platform import settings

SETTINGS = settings.read_settings("""
node_name=n
zone=z
listen_addrs.frontend=127.0.0.1:0
listen_addrs.readiness=127.0.0.1:0
platform.address=127.0.0.1:3
""")
QUEUE = work.Queue("q", "h", "/q/", "pool")
UNTIMED_EVENTS = [
    pytest.param(node._SharedLogRead((), True), id="records of the shared log"),
    pytest.param(intake.IntakeBatch(16, 0, (), 1), id="intake"),
]


class FakeOwnership:
    """Stands in for the node's ownership; executes no effects."""

    epoch = 16

    def update_pollers(self, workers):
        """Starts no pollers."""

    def execute(self, effect):
        """Does nothing."""

    def flush(self):
        """Sends nothing."""

    def compute_order_room(self):
        """Returns that all orders can be sent."""
        return float("inf")


def make_owner(now):
    """Makes a node that owns a fleet of one worker with one run."""
    owner_node = node.Node(
        SETTINGS, program.connect(SETTINGS), metrics.Metrics()
    )
    fleet = owner_node._fleet = fleet_state.FleetState(job_store.JobStore())
    owner_node._ownership = FakeOwnership()
    owner_node._lateness = fitness.Lateness(now)
    owner_node._ticked_at = owner_node._settled_at = owner_node._place_after = (
        now - 10
    )
    step = work.Step(1, resources.Resources(1000, 1, 0))
    job = job_store.add_job(
        fleet.job_store, work.Submission("a" * 16, QUEUE, "", (step,))
    )
    job_store.open_occurrence(job)
    fleet.open_jobs["a" * 16] = None
    info = work.WorkerInfo("w", "a:1", "pool", "dc", resources.ZERO)
    worker = fleet.workers["w"] = worker_state.WorkerState(info)
    task = job.occurrences[0][0][0]
    task.phase, task.attempt, task.worker_name = job_store.Phase.PLACED, 1, "w"
    name = work.TaskName("a" * 16, 0, 0, 0)
    run = worker_state.Run(name, job, task, now - 3, True)
    worker_state.add_run(worker, run)
    worker.last_report_at = worker.clock_at = now - 3
    worker.clock_ms = 1000
    worker_state.record_lease(worker, 1000 + 2000)
    return owner_node, worker


def handle_events(owner_node, queued_events):
    """Queues events at a node and lets it handle one batch."""
    for event in queued_events:
        owner_node._events.put(event)
    owner_node._handle_batch(owner_node._next_events())


def test_renewals_not_yet_handled_let_no_lease_lapse():
    """Load: events arrive faster than they are handled.

    The recorded lease is over; its renewal waits in the queue behind 200
    other events.
    """
    now = time.monotonic()
    owner_node, worker = make_owner(now)
    assert worker.leases_end_at < now
    queued_events = [
        events.LeaseGranted(now - 2.0, "other", 1)
        for _ in range(node.BATCH_EVENTS)
    ]
    handle_events(owner_node, queued_events)
    assert len(worker.runs) == 1
    handle_events(
        owner_node, [events.LeaseGranted(now - 1.9, "w", 1000 + 60_000)]
    )
    assert len(worker.runs) == 1


@pytest.mark.parametrize("last_event", UNTIMED_EVENTS)
def test_full_batch_that_ends_in_an_untimed_event_lets_no_lease_lapse(
    last_event,
):
    """Load: the batch ends in an event without a time; renewals wait behind."""
    now = time.monotonic()
    owner_node, worker = make_owner(now)
    queued_events = [events.LeaseGranted(now - 2.0, "other", 1)] * (
        node.BATCH_EVENTS - 1
    )
    handle_events(owner_node, [*queued_events, last_event])
    assert len(worker.runs) == 1
    handle_events(
        owner_node, [events.LeaseGranted(now - 1.9, "w", 1000 + 60_000)]
    )
    assert len(worker.runs) == 1


def test_renewal_posted_while_a_batch_is_handled_lets_no_lease_lapse():
    """Load: handling a batch takes longer than the rest of a lease."""
    now = time.monotonic()
    owner_node, worker = make_owner(now)
    owner_node._events.put(events.LeaseGranted(now, "other", 1))
    batch = owner_node._next_events()
    # Between the time when the queue was last empty and the next tick.
    worker.leases_end_at = owner_node._queue_emptied_at + 1e-6
    owner_node._events.put(events.LeaseGranted(now, "w", 1000 + 60_000))
    owner_node._handle_batch(batch)
    assert len(worker.runs) == 1
    owner_node._handle_batch(owner_node._next_events())
    assert len(worker.runs) == 1


def test_node_that_fails_to_begin_as_owner_is_not_loaded(monkeypatch):
    """Load: thousands of connections; the system refuses another socket.

    A node that can't begin its ownership has to reload its state.
    """
    owner_node = node.Node(
        SETTINGS, program.connect(SETTINGS), metrics.Metrics()
    )
    owner_node._shared_state.configuration = work.Configuration(1, {})
    claim = records.Owner(16, owner_node.incarnation, 0)
    owner_node._election.owner = claim

    def refuse_socket(*_):
        raise OSError(24, "too many open files")

    monkeypatch.setattr(node.ownership, "Ownership", refuse_socket)
    owner_node._handle_batch([node._SharedLogRead((), True)])
    prepared_claim = claims.PreparedClaim(claim.epoch, (), (), (0,))
    state_record = records.Record("t/a", b"")
    with testing.capture_logs():
        owner_node._handle_or_reload(
            [prepared_claim, node._SharedLogRead((state_record,), True)]
        )
    assert not owner_node._shared_state.loaded
    assert owner_node._fleet is None
    assert not owner_node._election.is_owner


def test_lease_that_was_not_renewed_lapses():
    now = time.monotonic()
    owner_node, worker = make_owner(now)
    handle_events(owner_node, [events.LeaseGranted(now - 1.9, "other", 1)])
    assert worker.runs == {}


def test_owner_that_stays_late_steps_down(monkeypatch):
    now = time.monotonic()
    owner_node, _ = make_owner(now)
    step_down_reasons = []
    monkeypatch.setattr(owner_node, "_step_down", step_down_reasons.append)
    monkeypatch.setattr(fitness, "STARTUP_GRACE_S", 0.0)
    monkeypatch.setattr(fitness, "MAX_OVERRUN_S", 0.0)
    owner_node._handle_batch([events.LeaseGranted(now - 0.2, "w", 1)])
    assert step_down_reasons == []
    owner_node._handle_batch([events.LeaseGranted(now - 1.5, "w", 1)])
    assert step_down_reasons == ["overrun"]


@pytest.mark.parametrize("first_event", UNTIMED_EVENTS)
def test_untimed_event_before_late_events_does_not_reset_the_lateness(
    monkeypatch, first_event
):
    """Fault: events without a time hid that the owner was overloaded."""
    now = time.monotonic()
    owner_node, _ = make_owner(now)
    step_down_reasons = []
    monkeypatch.setattr(owner_node, "_step_down", step_down_reasons.append)
    monkeypatch.setattr(fitness, "STARTUP_GRACE_S", 0.0)
    owner_node._handle_batch([events.LeaseGranted(now - 1.5, "w", 1)])
    assert step_down_reasons == []
    monkeypatch.setattr(fitness, "MAX_OVERRUN_S", 0.0)
    owner_node._handle_batch(
        [first_event, events.LeaseGranted(now - 1.5, "w", 1)]
    )
    assert step_down_reasons == ["overrun"]


def test_batch_without_a_time_does_not_reset_the_lateness(monkeypatch):
    """Fault: hand-ins that came alone hid that the owner was overloaded."""
    now = time.monotonic()
    owner_node, _ = make_owner(now)
    step_down_reasons = []
    monkeypatch.setattr(owner_node, "_step_down", step_down_reasons.append)
    monkeypatch.setattr(fitness, "STARTUP_GRACE_S", 0.0)
    owner_node._handle_batch([events.LeaseGranted(now - 1.5, "w", 1)])
    owner_node._handle_batch([intake.IntakeBatch(16, 0, (), 1)])
    monkeypatch.setattr(fitness, "MAX_OVERRUN_S", 1e-9)
    owner_node._handle_batch([events.LeaseGranted(now - 1.5, "w", 1)])
    assert step_down_reasons == ["overrun"]


def test_events_behind_a_failed_batch_do_not_make_a_node_loaded():
    """Fault: a lost part of a batch made the node report its jobs as absent."""
    owner_node = node.Node(
        SETTINGS, program.connect(SETTINGS), metrics.Metrics()
    )
    owner_node._shared_state.configuration = work.Configuration(1, {})
    owner_node._handle_batch([node._SharedLogRead((), True)])
    assert owner_node._shared_state.loaded
    with testing.capture_logs():
        owner_node._handle_or_reload([node._SharedLogReloaded(None)])
    assert not owner_node._shared_state.loaded
    owner_node._handle_batch([node._SharedLogRead((), True)])
    assert not owner_node._shared_state.loaded
    owner_node._handle_batch(
        [node._SharedLogReloaded(()), node._SharedLogRead((), True)]
    )
    assert owner_node._shared_state.loaded


MAX_ORDERS_TOGETHER = 256
PATIENCE_S = 30


class SlowClient:
    """Keeps the answers to all orders back.

    Args:
        polls: How many polls it answers, all of an incarnation without runs.
    """

    def __init__(self, polls=0):
        self.sent = []
        self._polls = polls

    def poll(self, order, timeout_s, done):
        """Answers the first polls."""
        if self._polls:
            self._polls -= 1
            done(outcomes.Ok(work.Report(5, 7, (), ())))

    def send(self, order, done):
        """Keeps an order and its callback."""
        self.sent.append((order, done))


def make_ownership(client):
    """Makes an ownership whose orders all go to one client."""
    platform = dataclasses.replace(
        program.connect(SETTINGS), connect=lambda calls, info: client
    )
    return ownership.Ownership(
        platform,
        SETTINGS,
        metrics.Metrics(),
        16,
        lambda event: None,
        time.monotonic,
        lambda: 0,
        time.monotonic(),
    )


def run_on_calls_thread(own, function):
    """Runs a function on the thread that sends orders; returns its result."""
    results, ended = [], threading.Event()

    def call():
        results.append(function())
        ended.set()

    own._http_client.run_soon(call)
    assert ended.wait(PATIENCE_S)
    return results[0]


def test_retries_of_late_orders_do_not_add_to_the_load_that_delays_them():
    """Load: the owner's machine is too slow for its fleet.

    With hundreds of orders in flight none is answered in time. Each is sent
    again over a new connection, and its task is placed anew elsewhere.
    """
    client = SlowClient(polls=200)
    own = make_ownership(client)
    own._http_client.start()
    infos = [
        work.WorkerInfo(f"w{n}", f"a:{n + 1}", "pool", "dc", resources.ZERO)
        for n in range(200)
    ]
    own.update_pollers(
        {info.name: worker_state.WorkerState(info) for info in infos}
    )
    for info in infos:
        for index in range(4):
            name = work.TaskName("j", 0, 0, index)
            start = orders.Start(name, 1, 16, "", 9000)
            own.execute(effects.Order(info.name, start))
    own.flush()

    def answer_all():
        sent, client.sent = client.sent, []
        for _, done in sent:
            done(orders.Answer(None))
        return [order for order, _ in sent]

    sent_together = []
    while answered := run_on_calls_thread(own, answer_all):
        sent_together.append(len(answered))
    own.stop()
    assert sum(sent_together) == 4 * len(infos)
    assert max(sent_together) <= MAX_ORDERS_TOGETHER


def make_waiting_fleet(jobs, tasks, gang=False):
    """Makes a fleet with one worker and ready tasks that all fit on it."""
    fleet = fleet_state.FleetState(job_store.JobStore())
    queue = dataclasses.replace(QUEUE, attempts=3)
    fleet.configuration = work.Configuration(1, {"q": queue})
    room = resources.Resources(10**6, 10**6, 0)
    info = work.WorkerInfo("w", "a:1", "pool", "dc", room)
    worker = fleet.workers["w"] = worker_state.WorkerState(info)
    worker.last_report_at = 0.0
    need = resources.Resources(1000, 1, 0)
    step = work.Step(tasks, need, gang=gang)
    for number in range(jobs):
        submission = work.Submission(f"{number:016x}", queue, "", (step,))
        job = job_store.add_job(fleet.job_store, submission)
        fleet.open_jobs[submission.job] = None
        fleet_state.open_due_occurrences(fleet, job)
    return fleet, worker


def test_no_more_is_placed_than_the_owner_can_start():
    """Load: tasks are placed faster than their starts are sent.

    The starts would wait in line while their leases and ranks grow old.
    """
    fleet, worker = make_waiting_fleet(jobs=50, tasks=4)
    fleet.order_room = 20
    placement_rounds.place_ready(fleet)
    assert len(worker.runs) == 20
    fleet.now += 1
    fleet.placement_needed = True
    placement_rounds.place_ready(fleet)
    assert len(worker.runs) == 20


def test_kind_of_step_that_was_cut_short_is_not_taken_to_fit_on_no_worker():
    """Load: starts wait; a later round places the rest without a change."""
    fleet, worker = make_waiting_fleet(jobs=2, tasks=4)
    fleet.order_room = 3
    placement_rounds.place_ready(fleet)
    assert len(worker.runs) == 3
    assert not fleet.unplaceable_needs
    fleet.runs_to_record.clear()
    fleet.order_room = 100
    placement_rounds.place_ready(fleet)
    assert len(worker.runs) == 8


def test_gang_is_placed_whole_although_fewer_orders_can_be_sent():
    fleet, worker = make_waiting_fleet(jobs=1, tasks=4, gang=True)
    fleet.order_room = 3
    placement_rounds.place_ready(fleet)
    assert len(worker.runs) == 4
