"""A virtual fleet: the owner's reducer against fake workers and a fake log.

Time is virtual; all chance comes from one seed. Faults are chosen by the
caller. The ledger of each worker, not the owner's state, is judged.
"""

import collections
import dataclasses
import heapq
import itertools
import random
from collections.abc import Callable

from poplarspindle import resources
from poplarspindle.fleet import (
    effects,
    events,
    fencing,
    fleet_state,
    job_store,
    leases,
    mechanisms,
    orders,
    records,
    reducer,
    takeover,
    unreachable,
    work,
)
from poplarspindle.tools.fakes import (
    fleet_workers,
    gangs,
    judging,
    late_orders,
    worker_list,
)

TICK_S = 0.05
APPEND_S = 0.01
ORDER_S = 0.003
UNREACHABLE_DELAY_S = 0.4
POLL_INTERVAL_S = 0.25
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
        order_s: How long an order, and its answer, are on their way.
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
        self.now = 0.0
        self.lease_most_ms = 6000
        self.late = late
        self.late_polls = late_polls
        self.append_s = APPEND_S
        self.order_s = ORDER_S
        self._used_mechanisms = used_mechanisms
        self.tear_append: Callable[[tuple[records.Record, ...]], int | None] = (
            _store_whole_append
        )
        self.append_torn = False
        self.unlisted: set[str] = set()
        self._late_orders = late_orders.LateOrders(
            late_orders.Lateness(
                late_s, late_incarnations, late_leases, late_grants
            ),
            self.rng,
            self.call_later,
            lambda name: self.after_deferred(name),
        )
        self.gangs = gangs.Gangs(self)
        self.starts = 0
        self.room_refusals = 0
        self.fail_on: set[str] = set()
        self.unreachable_read_at = 0.0
        self.store_up = True
        self.inventory_up = True
        self.store_confirmed_at = 0.0
        self._worker_list = worker_list.WorkerList()
        self.completed_at: dict[str, float] = {}
        self._run_s = run_s
        self._fail = fail
        self._due: list = []
        self._numbers = itertools.count()
        self.log: dict[str, records.Record] = {}
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
        self.fleet: fleet_state.FleetState | None = None
        self._polls: dict[str, dict] = {}
        self._fences: dict[str, fencing.Fence] = {}
        self._held_back: dict[str, list[events.Event]] = {}
        self.notes: collections.Counter = collections.Counter()
        self.checker = judging.ExecutionChecker(self)
        self.after_tick: Callable[[], None] = lambda: None
        self.after_deferred: Callable[[str], None] = lambda name: None
        self.take_over()

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

    # The owner.

    def take_over(self) -> None:
        """Lets another owner begin from the log alone.

        It is behind with no worker: what was held back is lost with the
        owner before it, and its own looks begin anew.
        """
        last_epoch = self.fleet.epoch if self.fleet else 0
        epoch = last_epoch + fencing.TOKENS_PER_EPOCH
        known, malformed = takeover.load_intake(self.log.values())
        assert not malformed
        progress = [
            record
            for key, record in self.log.items()
            if key.partition("/")[0] in (records.PROGRESS, records.TASKS)
        ]
        drops, malformed = takeover.load_progress(known, progress)
        assert not malformed
        assert not drops or self.append_torn
        self._write(drops)
        self.fleet = fleet_state.FleetState(
            known,
            self.lease_most_ms,
            used_mechanisms=self._used_mechanisms,
        )
        self._polls = {}
        self._fences = collections.defaultdict(
            lambda: fencing.make_fence(epoch)
        )
        self._held_back.clear()
        for worker in self.workers.values():
            worker.mark_reported(False)
        self.checker.begin()
        silent = {}
        if unreachable.UNREACHABLE_KEY in self.log:
            # The log is followed, so the record was read when it came.
            silent = unreachable.decode_unreachable(
                self.log[unreachable.UNREACHABLE_KEY].value,
                self.unreachable_read_at,
            )
        shown = {
            key.partition("/")[2]: records.decode_state(record.value)
            for key, record in self.log.items()
            if key.partition("/")[0] == records.STATE
        }
        self._reduce(
            events.Claimed(self.now, self.wall_ms(), epoch, silent, shown)
        )
        self._reduce(
            events.Configured(self.now, self.configuration, self.evacuated)
        )
        self.list_workers()

    def wall_ms(self) -> int:
        """Returns Unix time in milliseconds."""
        return WALL_MS + int(self.now * 1000)

    def list_workers(self) -> None:
        """Lets the owner read the list."""
        listed = [
            worker.description
            for name, worker in self.workers.items()
            if (worker.up or self.now < worker.listed_until)
            and name not in self.unlisted
        ]
        for event in self._worker_list.read(self.now, listed, self.store_up):
            self._reduce(event)

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
        record = records.encode_submission(submission)
        self.log[record.key] = record
        job_store.add_job(self.fleet.job_store, submission)
        self._reduce(events.JobRead(self.now, job))
        self._settle()

    def cancel(self, job: str) -> None:
        """Cancels a job."""
        record = records.encode_cancel(job)
        self.log[record.key] = record
        job_store.cancel_job(self.fleet.job_store.jobs[job])
        self._reduce(events.CancelRead(self.now, self.wall_ms(), job))
        self._settle()

    def _reduce(self, event: events.Event) -> None:
        found = reducer.reduce(self.fleet, event)
        if isinstance(event, events.Reported):
            self.checker.record_report(event)
        for effect in found:
            self._execute_effect(effect)

    def _settle(self) -> None:
        self.fleet.now, self.fleet.wall_ms = self.now, self.wall_ms()
        for effect in reducer.settle(self.fleet):
            self._execute_effect(effect)

    def _execute_effect(self, effect: effects.Effect) -> None:
        fleet = self.fleet
        if isinstance(effect, effects.Note):
            self.notes[effect.event] += 1
        elif isinstance(effect, effects.Append):
            self.call_later(self.append_s, lambda: self._append(fleet, effect))
        elif isinstance(effect, effects.Publish):
            self.call_later(self.append_s, lambda: self._publish(fleet, effect))
        elif isinstance(effect, effects.Order):
            self.checker.record_sent(effect.order)
            self.call_later(
                self.order_s, lambda: self._deliver_order(fleet, effect)
            )
        elif isinstance(effect, effects.ReadInventory):
            self.call_later(self.order_s, self._read_inventory)
        elif isinstance(effect, effects.AllowLeases):
            poll_state = self._polls.setdefault(effect.worker_name, {})
            if poll_state.get("misses", 0) == effect.failed_polls:
                poll_state.setdefault("clock", leases.Clock()).allowed = True
        elif isinstance(effect, effects.Acknowledge):
            poll_state = self._polls.setdefault(effect.worker_name, {})
            if poll_state.get("born") == effect.incarnation_ms:
                poll_state["seen"] = max(
                    poll_state.get("seen", 0), effect.number
                )

    def _read_inventory(self) -> None:
        """Tells the owner which workers are alive, if that can be read."""
        if self.inventory_up:
            alive = frozenset(n for n, w in self.workers.items() if w.up)
            self._reduce(events.InventoryRead(self.now, self.now, alive))

    def _append(
        self, fleet: fleet_state.FleetState, effect: effects.Append
    ) -> None:
        if fleet is not self.fleet:
            return
        if not self.store_up:
            self.call_later(0.2, lambda: self._append(fleet, effect))
            return
        stored = self.tear_append(effect.records)
        if stored is not None:
            self.append_torn, self.tear_append = True, _store_whole_append
            self._write(effect.records[:stored])
            self.take_over()
            return
        self._write(effect.records)
        self._reduce(events.Appended(self.now, effect.number))
        for name, job in fleet.job_store.jobs.items():
            if job.published_state is job_store.State.COMPLETED:
                self.completed_at.setdefault(name, self.now)
        self._settle()

    def _publish(
        self, fleet: fleet_state.FleetState, effect: effects.Publish
    ) -> None:
        if fleet is not self.fleet:
            return
        if not self.store_up:
            self.call_later(0.2, lambda: self._publish(fleet, effect))
            return
        self._write(effect.records)
        if effect.has_unreachable:
            self._reduce(events.Published(self.now))
            self._settle()

    def _write(self, found) -> None:
        for record in found:
            if record.value:
                self.log[record.key] = record
            else:
                self.log.pop(record.key, None)
            if record.key == unreachable.UNREACHABLE_KEY:
                self.unreachable_read_at = self.now

    def _deliver_order(
        self, fleet: fleet_state.FleetState, effect: effects.Order
    ) -> None:
        fence = self._fences[effect.worker_name]
        order = dataclasses.replace(effect.order, epoch=fence.token)
        if isinstance(order, orders.Start):
            clock = self._polls.get(effect.worker_name, {}).get("clock")
            until_ms = leases.extend_start_lease(
                clock or leases.Clock(),
                self.now,
                order.until_ms,
                self.lease_most_ms,
            )
            order = dataclasses.replace(order, until_ms=until_ms)
        self.checker.record_stamped(effect.order, order)
        effect = dataclasses.replace(effect, order=order)
        worker = self.workers.get(effect.worker_name)
        if worker is None or not worker.up or not worker.reachable:
            self._answer(fleet, effect, orders.Answer(orders.Refusal.NO_ANSWER))
            return
        if self._late_orders.defer_order(
            self.late, worker, effect.order, self._execute_order
        ):
            self._answer(fleet, effect, orders.Answer(orders.Refusal.NO_ANSWER))
            return
        answer = self._execute_order(worker, effect.order)
        self._answer(fleet, effect, answer)

    def _execute_order(
        self, worker: fleet_workers.FakeWorker, order
    ) -> orders.Answer:
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

    def _answer(self, fleet, effect, answer: orders.Answer) -> None:
        silent = answer.refusal is orders.Refusal.NO_ANSWER
        sent_at = self.now

        def arrive() -> None:
            if fleet is not self.fleet:
                return
            fence = self._fences[effect.worker_name]
            if silent:
                fencing.record_unanswered(fence, effect.order)
            elif answer.refusal is None:
                fencing.record_answered(fence, effect.order.epoch)
            self._deliver_event(
                effect.worker_name,
                events.OrderAnswered(
                    self.now,
                    effect.worker_name,
                    sent_at,
                    effect.order,
                    fencing.read_answer(fence, effect.order, answer),
                ),
            )
            self._settle()

        self.call_later(UNREACHABLE_DELAY_S if silent else self.order_s, arrive)

    def _poll(self, name: str) -> None:
        """Polls as `polling.WorkerPoller` does; a poll takes no time here.

        What renews leases follows an answered poll at once.
        """
        if self._ask(name, renews=False):
            self._ask(name, renews=True)

    def _ask(self, name: str, renews: bool) -> bool:
        """Sends one poll and its repetition, if any; returns if it is heard."""
        worker = self.workers[name]
        worker.advance()
        poll_state = self._polls.setdefault(name, {})
        clock = poll_state.setdefault("clock", leases.Clock())
        confirmed_at = self.now if self.store_up else self.store_confirmed_at
        self.store_confirmed_at = confirmed_at
        until_ms, wait_ms = leases.choose_poll(
            clock,
            self.now,
            confirmed_at,
            self.lease_most_ms,
            leases.MIN_WAIT_MS,
            is_idle=False,
        )
        if not renews:
            until_ms = 0
        elif not until_ms:
            return False
        fence = self._fences[name]
        if until_ms:
            self._deliver_event(
                name,
                events.LeaseGranted(self.now, name, until_ms, fence.token),
            )
        seen = 0 if poll_state.get("silent") else poll_state.get("seen", 0)
        hold = orders.Poll(fence.token, seen, until_ms, wait_ms)
        answered = self._is_answered(worker, hold)
        if not answered:
            fencing.record_unanswered(fence, hold)
            hold = orders.Poll(fence.token, 0, 0, 0)
            answered = self._is_answered(worker, hold)
        if not answered:
            fencing.record_unanswered(fence, hold)
            clock.allowed = False
            poll_state["silent"] = True
            poll_state["misses"] = poll_state.get("misses", 0) + 1
            refusal = orders.Refusal.OTHER_INCARNATION
            why = refusal.value if worker.replaced else "timeout"
            self._deliver_event(name, events.PollFailed(self.now, name, why))
            return False
        report = worker.poll(hold)
        if report is None:
            return False
        worker.mark_reported(True)
        poll_state["silent"] = False
        fencing.record_answered(fence, hold.epoch)
        if poll_state.get("born") != report.incarnation_ms:
            if "born" in poll_state:
                fencing.record_new_incarnation(fence)
            poll_state |= {"born": report.incarnation_ms, "seen": 0}
        clock.ms, clock.at = report.clock_ms, self.now
        if hold.until_ms:
            clock.renewed_at = self.now
        self._deliver_event(
            name,
            events.Reported(
                self.now,
                self.wall_ms(),
                name,
                self.now,
                hold.until_ms,
                report,
                poll_state.get("misses", 0),
                hold.epoch,
            ),
        )
        self._settle()
        return True

    def _is_answered(
        self, worker: fleet_workers.FakeWorker, poll: orders.Poll
    ) -> bool:
        """Tells if a poll is answered; it may be carried out late instead."""
        return (
            worker.up
            and worker.reachable
            and not self._late_orders.defer_poll(self.late_polls, worker, poll)
        )

    def _deliver_event(self, worker: str, event: events.Event) -> None:
        if worker in self._held_back:
            self._held_back[worker].append(event)
        else:
            self._reduce(event)

    def hold_back(self, worker: str) -> None:
        """Lets the owner fall behind with all that comes from a worker.

        The worker is looked at as before, and its leases are renewed: that a
        renewal goes out waits in the same queue as reports and answers.
        """
        self._held_back.setdefault(worker, [])

    def catch_up(self, worker: str) -> None:
        """Lets the owner take in what was held back, in its order."""
        for event in self._held_back.pop(worker, ()):
            self._reduce(event)
        self._settle()

    # Time.

    def call_later(self, delay_s: float, call: Callable[[], None]) -> None:
        """Calls a function later in virtual time."""
        heapq.heappush(
            self._due, (self.now + delay_s, next(self._numbers), call)
        )

    def run(self, seconds: float) -> None:
        """Lets virtual time pass."""
        until = self.now + seconds
        while self.now < until:
            self.now = round(self.now + TICK_S, 6)
            while self._due and self._due[0][0] <= self.now:
                _, _, call = heapq.heappop(self._due)
                call()
            for worker in self.workers.values():
                worker.advance()
            self.list_workers()
            self._reduce(events.Ticked(self.now, self.wall_ms()))
            self._settle()
            if round(self.now / TICK_S) % round(POLL_INTERVAL_S / TICK_S) == 0:
                for name in list(self.workers):
                    self._poll(name)
            self.after_tick()

    def get_state(self, job: str) -> str:
        """Returns a job's state as callers are shown it."""
        return self.fleet.job_store.jobs[job].published_state.value

    # The judgement.

    def list_violations(self) -> list[str]:
        """Lists the promises that the workers' ledgers show as broken."""
        return judging.list_violations(self)
