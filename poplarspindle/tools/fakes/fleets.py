"""A virtual fleet: the owner's reducer and pollers against fake workers.

Time is virtual; all chance comes from one seed. Faults are chosen by the
caller. The ledger of each worker, not the owner's state, is judged.
"""

import collections
import dataclasses
import random
from collections.abc import Callable, Iterable

from poplarspindle import resources
from poplarspindle.fleet import (
    effects,
    events,
    fleet_state,
    job_store,
    mechanisms,
    orders,
    records,
    work,
)
from poplarspindle.tools.fakes import (
    at_work,
    calm,
    disruptions,
    elections,
    fleet_workers,
    gangs,
    invariants,
    judging,
    late_orders,
    messages,
    network,
    owners,
    virtual_store,
    virtual_time,
    worker_list,
)

TICK_S = 0.05
APPEND_S = 0.01
ORDER_S = 0.0
WALL_MS = 1_700_000_000_000


def _store_whole_append(found: tuple[records.Record, ...]) -> None:
    """Lets all records of an append be stored."""


class World:
    """Workers, a log and one owner at a time, in virtual time.

    Args:
        seed: Seed of all chance.
        workers: Number of workers.
        run_s: Returns the time that a task takes, seconds.
        fail: Tells whether a run fails by itself.
        late: Share of orders that get no answer and are carried out late.
        late_s: How much later that is, at least and at most.
        late_incarnations: Whether the worker's next life carries them out too.
        late_leases: Whether the leases of late starts begin when they come.
        late_polls: Share of polls that are late in the same way.
        late_grants: Whether the leases of late polls begin when they come.
        make_worker: Makes a fake worker from the world and its entry.
        used_mechanisms: Mechanisms by which the owner decides.

    Attributes:
        tear_append: Tells of how many records of an append are stored before
            the owner dies, None where it lives; it dies so once.
        append_torn: Whether it did.
        unlisted: Workers that are up and missing from the list.
        after_tick: Called after each step of virtual time.
        after_deferred: Takes the name of the worker of each late order.
        order_s: How long an order waits in the owner, and then its answer.
        owners: All owners, the newest one last; several may act.
        elections: Lets other nodes claim the fleet.
        store: The log, and the owners' appends to it.
        disruptions: What may befall the fleet.
        cuts: Workers that are cut off from nodes, None for all nodes.
        list_lag_s: How old the list is that owners read.
        late_orders: Draws which messages are late.
        invariants: Judges the invariants at each step.
        calm: Keeps when the world was last disturbed.
        at_work: Judges that in calm what may run is at work.
        choose_fate: Chooses what becomes of a message to a worker.
        on_moment: Called at each moment that tells what happens.
        on_note: Called with each line that an owner logs.
    """

    def __init__(
        self,
        seed: int,
        workers: int = 4,
        capacity: resources.Resources | None = None,
        run_s: Callable[[random.Random], float] = lambda rng: 0.5,
        fail: Callable[[fleet_workers.FakeRun], bool] = lambda run: False,
        late: float = 0.0,
        late_s: tuple[float, float] = (2.0, 12.0),
        late_incarnations: bool = False,
        late_leases: bool = False,
        late_polls: float = 0.0,
        late_grants: bool = False,
        make_worker: Callable = fleet_workers.FakeWorker,
        used_mechanisms: mechanisms.Mechanisms = mechanisms.ALL,
    ) -> None:
        self.rng = random.Random(seed)
        self._time = virtual_time.VirtualTime()
        self.call_later = self._time.call_later
        self._next_tick_at = TICK_S
        self.lease_most_ms = 6000
        self.late = late
        self.late_polls = late_polls
        self.append_s = APPEND_S
        self.order_s = ORDER_S
        self.used_mechanisms = used_mechanisms
        self.tear_append: Callable[[tuple[records.Record, ...]], int | None] = (
            _store_whole_append
        )
        self.append_torn = False
        self.unlisted: set[str] = set()
        self.late_orders = late_orders.LateOrders(
            late_orders.Lateness(
                late_s, late_incarnations, late_leases, late_grants
            ),
            self.rng,
            lambda name: self.after_deferred(name),
        )
        self.choose_fate: Callable[[messages.Message], messages.Fate] = (
            self._draw_fate
        )
        self.on_moment: Callable[[messages.Moment], None] = lambda moment: None
        self.on_note: Callable[[effects.Note], None] = lambda note: None
        self.network = network.Network(self)
        self.gangs = gangs.Gangs(self)
        self.starts = 0
        self.room_refusals = 0
        self.fail_on: set[str] = set()
        self.unreachable_read_at = 0.0
        self.store_up = True
        self.inventory_up = True
        self.list_lag_s = 0.0
        self.worker_history = worker_list.WorkerHistory()
        self.cuts: list[tuple[str, frozenset[int] | None]] = []
        self.owners: list[owners.Owner] = []
        self.elections = elections.Elections(self)
        self.store = virtual_store.Store(self)
        self.disruptions = disruptions.Disruptions(self)
        self._make_worker = make_worker
        self.completed_at: dict[str, float] = {}
        self._run_s = run_s
        self._fail = fail
        self.submissions: dict[str, work.Submission] = {}
        self.workers = {
            f"w{i}": make_worker(
                self,
                work.WorkerInfo(
                    f"w{i}",
                    f"10.0.0.{i}:80",
                    "pool",
                    f"dc{i % 2}",
                    capacity or resources.Resources(8000, 32000, 0),
                    frozenset({"a", f"r{i % 2}"}),
                    f"r{i % 2}",
                    incarnation_ms=1000 + i,
                ),
            )
            for i in range(workers)
        }
        self.queue = work.Queue("q", "h", "/q/", "pool", 0, 3, 1.5, 250)
        self.configuration = work.Configuration(1, {"q": self.queue})
        self.evacuated: frozenset[str] = frozenset()
        self.notes: collections.Counter = collections.Counter()
        self.checker = judging.ExecutionChecker(self)
        self.invariants = invariants.Judge(self)
        self.calm = calm.Calm(self)
        self.at_work = at_work.Judge(self)
        self.after_tick: Callable[[], None] = lambda: None
        self.after_deferred: Callable[[str], None] = lambda name: None
        self.take_over()

    def add_worker(self, info: work.WorkerInfo) -> None:
        """Lets another worker begin."""
        self.workers[info.name] = self._make_worker(self, info)

    def allow_attempts(self, attempts: int) -> None:
        """Configures after how many failed runs a task has failed."""
        self.queue = dataclasses.replace(self.queue, attempts=attempts)
        self.configuration = work.Configuration(2, {"q": self.queue})
        self._reduce(
            events.Configured(self.now, self.configuration, self.evacuated)
        )

    # What the workers ask.

    def find_step(self, name: work.TaskName) -> work.Step:
        """Returns the step of a task."""
        return self.submissions[name.job].steps[name.step]

    def choose_time(self, name: work.TaskName) -> float:
        """Returns how long a run takes, seconds."""
        if self.find_step(name).until_cancelled:
            return float("inf")
        return self._run_s(self.rng)

    def judge_run(
        self, run: fleet_workers.FakeRun, worker: str
    ) -> work.EndReason:
        """Tells how a run ends that ends by itself."""
        failed = worker in self.fail_on or self._fail(run)
        return work.EndReason.FAILED if failed else work.EndReason.DONE

    def carry_out_order(
        self, worker: fleet_workers.FakeWorker, order: orders.Order
    ) -> orders.Answer:
        """Lets a worker carry an order out."""
        worker.advance()
        if isinstance(order, orders.Start):
            before = self.starts
            answer = worker.start(order)
            if self.starts > before:
                self.checker.record_started(order)
            return answer
        if isinstance(order, orders.Stop):
            return worker.stop(order)
        return worker.pace(order)

    def _draw_fate(self, message: messages.Message) -> messages.Fate:
        worker = self.workers.get(message.worker)
        if worker is None or not worker.up or not worker.reachable:
            return messages.DELIVERED
        return self.late_orders.choose_fate(self.late, self.late_polls, message)

    def note_moment(
        self, kind: messages.MomentKind, worker: str, subject: str
    ) -> None:
        """Tells that something happens."""
        self.on_moment(messages.Moment(kind, worker, subject, self.now))

    # The owners.

    @property
    def owner(self) -> owners.Owner:
        """The newest owner."""
        return self.owners[-1]

    @property
    def fleet(self) -> fleet_state.FleetState:
        """State of the newest owner."""
        return self.owner.fleet

    @property
    def log(self) -> dict[str, records.Record]:
        """Newest record of each key."""
        return self.store.log

    def take_over(self) -> None:
        """Lets another owner begin at once, from the log alone.

        It is behind with no worker: what was held back is lost with the
        owner before it, and its own looks begin anew.
        """
        self.elections.take_over()

    def end_owner(self, owner: owners.Owner) -> None:
        """Ends an owner that saw a later one, or gave the fleet up."""
        owner.stop()
        self.elections.enabled |= owner is self.owner

    def step_down(self, owner: owners.Owner) -> None:
        """Lets an owner that is late give the fleet up, if others may claim."""
        if self.elections.enabled:
            disruptions.hand_over(self, owner)

    def end_torn(self) -> None:
        """Ends an owner of whose append a part was stored."""
        self.append_torn, self.tear_append = True, _store_whole_append
        self.take_over()

    def wall_ms(self) -> int:
        """Returns Unix time in milliseconds."""
        return WALL_MS + int(self.now * 1000)

    def list_workers(self) -> None:
        """Lets the owners read the list."""
        listed = [
            worker.description
            for name, worker in self.workers.items()
            if (worker.up or self.now < worker.listed_until)
            and name not in self.unlisted
        ]
        seen = self.worker_history.record(
            self.now, listed, self.list_lag_s, self.note_moment
        )
        for owner in self.owners:
            owner.read_list(seen, self.store_up)

    def submit(self, job: str, *steps: work.Step, **options) -> None:
        """Hands a job in."""
        submission = work.Submission(
            job,
            self.queue,
            "spec",
            steps,
            accepted_ms=self.wall_ms(),
            **options,
        )
        self.submissions[job] = submission
        self.at_work.note_submitted(submission)
        record = records.encode_submission(submission)
        self.log[record.key] = record
        for owner in self._list_live_owners():
            owner.hand_in(lambda o=owner: self._take_in(o, submission))

    def _take_in(
        self, owner: owners.Owner, submission: work.Submission
    ) -> events.Event:
        job_store.add_job(owner.fleet.job_store, submission)
        return events.JobRead(self.now, submission.job)

    def cancel(self, job: str) -> None:
        """Cancels a job."""
        record = records.encode_cancel(job)
        self.log[record.key] = record
        for owner in self._list_live_owners():
            owner.hand_in(lambda o=owner: self._cancel_at(o, job))

    def _cancel_at(self, owner: owners.Owner, job: str) -> events.Event:
        job_store.cancel_job(owner.fleet.job_store.jobs[job])
        return events.CancelRead(self.now, self.wall_ms(), job)

    def _list_live_owners(self) -> list[owners.Owner]:
        return [owner for owner in self.owners if not owner.is_over()]

    def _reduce(self, event: events.Event) -> None:
        self.owner.reduce(event)

    def mark_reported(
        self, owner: owners.Owner, event: events.Reported
    ) -> None:
        """Notes on a worker's ledger the ends that the owner was told."""
        worker, report = self.workers[event.worker_name], event.report
        numbers = [end.number for end in report.ended]
        is_same_life = worker.incarnation_ms == report.incarnation_ms
        if owner is self.owner and is_same_life and numbers:
            worker.mark_reported(True, max(numbers))

    def delays_answer(self, event: object) -> bool:
        """Tells whether an event waits in an owner as orders do."""
        return bool(self.order_s) and isinstance(event, events.OrderAnswered)

    def read_inventory(self, owner: owners.Owner) -> None:
        """Tells an owner which workers are alive, if that can be read."""
        if self.inventory_up:
            alive = frozenset(n for n, w in self.workers.items() if w.up)
            event = events.InventoryRead(self.now, self.now, alive)
            self.call_later(self.order_s, lambda: owner.post(event))

    def note_completed(self, owner: owners.Owner) -> None:
        """Notes when jobs are first known to be completed."""
        for name, job in owner.fleet.job_store.jobs.items():
            if job.published_state is job_store.State.COMPLETED:
                self.completed_at.setdefault(name, self.now)

    def write(self, found: Iterable[records.Record]) -> None:
        """Stores records."""
        self.store.write(found)

    def hold_back(self, worker: str) -> None:
        """Lets the owner fall behind with all that comes from a worker.

        The worker is looked at as before, and its leases are renewed: that a
        renewal goes out waits in the same queue as reports and answers.
        """
        self.owner.hold_back(worker)

    def catch_up(self, worker: str) -> None:
        """Lets the owner take in what was held back, in its order."""
        self.owner.catch_up(worker)

    # Time.

    @property
    def now(self) -> float:
        """Present time, seconds."""
        return self._time.now

    def run(self, seconds: float) -> None:
        """Lets virtual time pass."""
        until = round(self.now + seconds, virtual_time.DIGITS)
        while self._next_tick_at <= until:
            self._time.run(self._next_tick_at)
            self._next_tick_at = round(
                self._next_tick_at + TICK_S, virtual_time.DIGITS
            )
            self._tick()
        self._time.run(until)

    def _tick(self) -> None:
        for worker in self.workers.values():
            worker.advance()
        self.elections.watch()
        self.list_workers()
        for owner in self.owners:
            owner.tick()
        self.invariants.judge()
        self.at_work.judge()
        self.after_tick()

    def get_state(self, job: str) -> str:
        """Returns a job's state as callers are shown it."""
        return self.fleet.job_store.jobs[job].published_state.value

    # The judgement.

    def list_violations(self) -> list[str]:
        """Lists the promises that the workers' ledgers show as broken.

        The invariants that were broken on the way are listed as well.
        """
        return (
            judging.list_violations(self)
            + self.invariants.list_violations()
            + self.at_work.list_violations()
        )
