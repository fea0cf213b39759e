"""Fake workers of the virtual fleet; their ledgers are what is judged."""

import dataclasses
import itertools
import typing
from collections.abc import Callable

from poplarspindle import resources
from poplarspindle.fleet import orders, work, worker_state
from poplarspindle.tools.fakes import gangs, messages, virtual_time

STOP_DURATION_S = 0.3
ENDS_SOON_MS = 100
CLOCK_RATE = 980  # Clocks are 2 % slow.
MAX_REPORTED_ENDS = 500  # Listed at a time.


class World(typing.Protocol):
    """What a fake worker asks of its world."""

    now: float
    lease_most_ms: int
    starts: int
    room_refusals: int
    fail_on: set[str]
    gangs: gangs.Gangs

    def call_later(self, delay_s: float, call: Callable[[], None]) -> None:
        """Calls a function later in virtual time."""

    def note_moment(
        self, kind: messages.MomentKind, worker: str, subject: str
    ) -> None:
        """Tells that something happens."""

    def find_step(self, name: work.TaskName) -> work.Step:
        """Returns the step of a task."""

    def choose_time(self, name: work.TaskName) -> float:
        """Returns how long a run takes, seconds."""

    def judge_run(self, run: "FakeRun", worker: str) -> work.EndReason:
        """Tells how a run ends that ends by itself."""


@dataclasses.dataclass(slots=True)
class FakeRun:
    """One run on a fake worker, as its ledger keeps it.

    Attributes:
        reported: Whether the present owner was told its end.
        crashed: Whether its worker's life ended before that.
    """

    name: work.TaskName
    attempt: int
    began: float
    ends: float
    ended: float = float("inf")
    how: work.EndReason | None = None
    noted: float = float("inf")
    lapsed: bool = False
    planned: work.EndReason | None = None
    crashed: bool = False
    reported: bool = False

    @property
    def key(self) -> tuple[work.TaskName, int]:
        """The task's name and the attempt number."""
        return self.name, self.attempt


class FakeWorker:
    """A worker that keeps leases, fences and a ledger.

    Attributes:
        description: Its entry in the list.
        ledger: All runs that ever began.
        up: Whether it is alive.
        reachable: Whether the owner reaches it.
        replaced: Whether another life answers at its address.
        listed_until: How long it stays listed while it is down.
        refuses: Whether its machine refuses calls while it is down.
        paused_until: When it takes in what comes while it is stopped.
        clock_rate: Milliseconds of its clock in a second.
        waiting_polls: What answers the polls that wait for an end, by number;
            given True where the connection breaks.
    """

    def __init__(self, world: World, description: work.WorkerInfo) -> None:
        self.world = world
        self.description = description
        self.ledger: list[FakeRun] = []
        self.up = True
        self.reachable = True
        self.replaced = False
        self.listed_until = float("-inf")
        self.refuses = False
        self.paused_until = float("-inf")
        self.clock_rate = CLOCK_RATE
        self.waiting_polls: dict[int, Callable[..., None]] = {}
        self._noted_lease: tuple | None = None
        self._poll_numbers = itertools.count()
        self.incarnation_ms = description.incarnation_ms
        self.fencing_epoch = 0
        self.until_ms = 0
        self.runs: dict[tuple, FakeRun] = {}
        self.ends: list[tuple[int, FakeRun]] = []
        self.numbers = itertools.count(1)
        self.highest: dict[work.TaskName, int] = {}
        self.born_at = world.now

    def clock_ms(self) -> int:
        """Returns the worker's own clock."""
        return 1 + int((self.world.now - self.born_at) * self.clock_rate)

    def number_poll(self) -> int:
        """Returns a number for a poll that waits."""
        return next(self._poll_numbers)

    def _answer_polls(self, is_broken: bool = False) -> None:
        """Answers the polls that wait, once what happens now is done."""
        for answer in list(self.waiting_polls.values()):
            self.world.call_later(0.0, lambda a=answer: a(is_broken))

    def advance(self) -> None:
        """Ends what is done and, when the lease is over, everything."""
        if not self.up:
            return
        now = self.world.now
        for run in list(self.runs.values()):
            if run.ends <= now and run.how is None:
                self.end(run, run.planned or self._judge(run))
        if self.runs:
            self._note_lease()
        if self.clock_ms() > self.until_ms:
            # An end counts as noted only if the lease held until then.
            for _, run in self.ends:
                run.lapsed = True
        if self.runs and self.clock_ms() > self.until_ms:
            for run in list(self.runs.values()):
                if run.how is None:
                    self.end(run, work.EndReason.LAPSED)

    def _note_lease(self) -> None:
        """Tells that the leases are about to lapse, or did."""
        left_ms = self.until_ms - self.clock_ms()
        kinds = messages.MomentKind
        kind = kinds.LEASE_ENDS_SOON if left_ms >= 0 else kinds.LEASE_LAPSED
        key = kind, self.until_ms
        if left_ms <= ENDS_SOON_MS and key != self._noted_lease:
            self._noted_lease = key
            self._note(kind, str(self.until_ms))

    def _note(self, kind: messages.MomentKind, subject: str) -> None:
        self.world.note_moment(kind, self.description.name, subject)

    def end_later(self, run: FakeRun, seconds: float) -> None:
        """Lets a run end by itself in a while, infinite for never."""
        run.ends = round(self.world.now + seconds, virtual_time.DIGITS)
        if seconds < float("inf"):
            self.world.call_later(seconds, self.advance)

    def _judge(self, run: FakeRun) -> work.EndReason:
        return self.world.judge_run(run, self.description.name)

    def end(self, run: FakeRun, how: work.EndReason) -> None:
        """Ends a run, with a gang at work those of its other members."""
        run.how, run.ended = how, self.world.now
        self._note(messages.MomentKind.RUN_ENDS, f"{run.name}#{run.attempt}")
        del self.runs[run.name, run.attempt]
        self.ends.append((next(self.numbers), run))
        self._answer_polls()
        if self.world.find_step(run.name).gang:
            self.world.gangs.leave(run)

    def crash(self) -> None:
        """Ends this life; the next one knows nothing of it."""
        for run in list(self.runs.values()):
            if run.how is not None:
                continue
            run.ended, run.crashed = self.world.now, True
            if self.world.find_step(run.name).gang:
                self.world.gangs.leave(run)
        for _, run in self.ends:
            # No owner can tell this from a run that was at work.
            run.crashed = run.crashed or not run.reported
        for answer in list(self.waiting_polls.values()):
            answer(is_broken=True)
        self.runs.clear()
        self.ends.clear()
        self.highest.clear()
        self.fencing_epoch = self.until_ms = 0
        self.numbers = itertools.count(1)
        self.incarnation_ms += 1000
        self.born_at = self.world.now
        self.description = dataclasses.replace(
            self.description, incarnation_ms=self.incarnation_ms
        )

    def _grant(self, until_ms: int) -> None:
        most = self.clock_ms() + self.world.lease_most_ms
        self.until_ms = max(self.until_ms, min(until_ms, most))

    def _check_fencing_epoch(self, epoch: int) -> bool:
        if epoch < self.fencing_epoch:
            return False
        self.fencing_epoch = epoch
        return True

    def start(self, order: orders.Start) -> orders.Answer:
        """Carries out a start."""
        if not self._check_fencing_epoch(order.epoch):
            return orders.Answer(orders.Refusal.FENCED, self.clock_ms())
        if order.until_ms <= self.clock_ms():
            return orders.Answer(orders.Refusal.LATE, self.clock_ms())
        self._grant(order.until_ms)
        if (order.task, order.attempt) in self.runs:
            return orders.Answer(None, self.clock_ms())
        if order.attempt <= self.highest.get(order.task, 0):
            return orders.Answer(orders.Refusal.ENDED, self.clock_ms())
        step = self.world.find_step(order.task)
        taken = resources.ZERO
        for run in self.runs.values():
            taken += worker_state.get_reserved(self.world.find_step(run.name))
        room = self.description.capacity - taken
        if not worker_state.get_reserved(step).fits_in(room):
            self.world.room_refusals += 1
            return orders.Answer(orders.Refusal.NO_CAPACITY, self.clock_ms())
        now = self.world.now
        run = FakeRun(order.task, order.attempt, now, float("inf"))
        self.runs[order.task, order.attempt] = run
        self.highest[order.task] = order.attempt
        self.ledger.append(run)
        self.world.starts += 1
        self._note(messages.MomentKind.RUN_BEGINS, f"{run.name}#{run.attempt}")
        if step.gang:
            self.world.gangs.join(self, run)
        else:
            self.end_later(run, self.world.choose_time(order.task))
        return orders.Answer(None, self.clock_ms())

    def stop(self, order: orders.Stop) -> orders.Answer:
        """Carries out a stop; a run not there yet never starts."""
        if not self._check_fencing_epoch(order.epoch):
            return orders.Answer(orders.Refusal.FENCED, self.clock_ms())
        before = self.highest.get(order.task, 0)
        self.highest[order.task] = max(before, order.attempt)
        run = self.runs.get((order.task, order.attempt))
        if run is not None:
            self.world.call_later(STOP_DURATION_S, lambda: self._stop(run))
        return orders.Answer(None, self.clock_ms())

    def _stop(self, run: FakeRun) -> None:
        if self.runs.get((run.name, run.attempt)) is run:
            self.end(run, work.EndReason.STOPPED)

    def pace(self, order: orders.Pace) -> orders.Answer:
        """Accepts a change of pace; runs here work at one speed."""
        return orders.Answer(None, self.clock_ms())

    def mark_reported(
        self, reported: bool, last_end: int | None = None
    ) -> None:
        """Notes whether the owner has the ends up to a number, None for all."""
        for number, run in self.ends:
            if last_end is None or number <= last_end:
                run.reported = reported

    def poll(self, order: orders.Poll) -> work.Report | None:
        """Carries out a hold."""
        if not self._check_fencing_epoch(order.epoch):
            return None
        if order.until_ms:
            self._grant(order.until_ms)
        for number, run in self.ends:
            if number <= order.acknowledged_end:
                run.noted = min(run.noted, self.world.now)
                self._note(
                    messages.MomentKind.END_ACKNOWLEDGED,
                    f"{run.name}#{run.attempt}",
                )
        self.ends = [
            row for row in self.ends if row[0] > order.acknowledged_end
        ]
        return self.report()

    def report(self) -> work.Report:
        """Returns what runs and what ended."""
        return work.Report(
            self.clock_ms(),
            self.incarnation_ms,
            tuple(work.Running(r.name, r.attempt) for r in self.runs.values()),
            tuple(
                work.Ended(number, run.name, run.attempt, run.how, "")
                for number, run in self.ends[:MAX_REPORTED_ENDS]
            ),
            len(self.ends) < MAX_REPORTED_ENDS,
        )
