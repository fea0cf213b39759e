"""Judges the inequalities that keep work from running twice, at every step.

The outcome, two runs in the workers' ledgers, takes several coincidences. The
inequalities are broken by one of them: a virtual world knows all that its
messages in flight may still do.

1. Leases: what a worker has at work ends, with all that messages in flight may
   add to its leases, before its task may be placed elsewhere.
2. Starts: so does the run that a start in flight may still begin.
3. Ends: an end whose acknowledgement was given is in the log.
4. Numbers: what a message in flight names can be taken for nothing else.

The fifth, that work does not wait in calm, is judged by `at_work`.

All are judged by what the present owner knows, and by what one would read that
claims the fleet now.
"""

import collections
import dataclasses
import enum
import typing
from collections.abc import Collection, Iterable

from poplarspindle.fleet import (
    job_store,
    orders,
    records,
    unreachable,
    work,
)
from poplarspindle.tools.fakes import (
    fleet_workers,
    in_flight,
    next_owner,
    virtual_store,
)

if typing.TYPE_CHECKING:
    from poplarspindle.tools.fakes import fleets

# Clocks are read in milliseconds.
TOLERANCE_S = 0.01
LINE = "invariant "  # Lines of violations begin so.
Key = tuple[work.TaskName, int]


class Invariant(enum.StrEnum):
    """What is judged."""

    LEASES = "leases"
    STARTS = "starts"
    ENDS = "ends"
    NUMBERS = "numbers"
    AT_WORK = "at work"


@dataclasses.dataclass(frozen=True, slots=True)
class Violation:
    """An invariant that was found broken.

    Attributes:
        invariant: Which one.
        at: When, seconds of virtual time.
        text: Worker, task, owner and order.
    """

    invariant: Invariant
    at: float
    text: str

    def __str__(self) -> str:
        """Returns a line for a list of violations."""
        return f"{LINE}{self.invariant} at {self.at:.2f} s: {self.text}"


def is_line(violation: str) -> bool:
    """Tells whether a line of a list of violations is of an invariant."""
    return violation.startswith(LINE)


class Judge:
    """Judges the invariants of a virtual fleet, and keeps what is broken.

    Args:
        world: The virtual fleet.

    Attributes:
        violations: What was found; of each invariant, worker, task and owner
            the first one.
    """

    def __init__(self, world: "fleets.World") -> None:
        self.violations: list[Violation] = []
        self._world = world
        self._known: set[tuple] = set()
        self._changed_workers: dict[str, None] = {}
        self._changed_jobs: dict[str, None] = {}
        self._noted: dict[str, list[tuple[str, fleet_workers.FakeRun]]] = (
            collections.defaultdict(list)
        )

    def list_violations(self) -> list[str]:
        """Lists what was found, in the order of time."""
        return list(map(str, self.violations))

    # What changes what is judged; nothing else does.

    def note_changed(self, worker: str) -> None:
        """Notes a message to a worker, or an event that came from it."""
        self._changed_workers[worker] = None

    def note_owner(self) -> None:
        """Notes that another owner began."""
        self._changed_workers.update(dict.fromkeys(self._world.workers))

    def note_written(self, found: Iterable[records.Record]) -> None:
        """Notes records that were stored."""
        for record in found:
            kind, _, rest = record.key.partition("/")
            if kind in (records.PROGRESS, records.TASKS):
                self._changed_jobs[rest.partition("/")[0]] = None
            elif kind == unreachable.UNREACHABLE_KEY:
                self.note_owner()

    def note_sent(self, entry: in_flight.Entry) -> None:
        """Judges a worker when a message that grants leases is sent to it."""
        worker = self._world.workers.get(entry.worker)
        if worker is None:
            return
        self.note_changed(entry.worker)
        if entry.lease_ms:
            self.judge_worker(worker)

    def note_poll(
        self, worker: fleet_workers.FakeWorker, poll: orders.Poll
    ) -> None:
        """Notes ends that a worker takes to be recorded by a poll."""
        if poll.epoch < worker.fencing_epoch:
            return
        for number, run in worker.ends:
            if number <= poll.acknowledged_end:
                job, name = run.name.job, worker.description.name
                self._noted[job].append((name, run))
                self._changed_jobs[job] = None

    # The judgement.

    def judge(self) -> None:
        """Judges the workers and ends that what has changed may concern."""
        world = self._world
        jobs, self._changed_jobs = self._changed_jobs, {}
        names, self._changed_workers = self._changed_workers, {}
        for name, worker in world.workers.items():
            if name not in names and not self._concerns(worker, jobs):
                continue
            self.judge_worker(worker)
            if world.owner.is_behind(name):
                self.note_changed(name)
        for job in jobs:
            for name, run in self._noted.get(job, ()):
                self._judge_end(name, run)

    def _concerns(
        self, worker: fleet_workers.FakeWorker, jobs: Collection[str]
    ) -> bool:
        """Tells whether a worker runs tasks of some jobs, or may."""
        if not jobs:
            return False
        entries = self._world.network.in_flight.list_to(
            worker.description.name, self._world.now
        )
        return any(name.job in jobs for name, _ in worker.runs) or any(
            isinstance(entry.order, orders.Start)
            and entry.order.task.job in jobs
            for entry in entries
        )

    def judge_worker(self, worker: fleet_workers.FakeWorker) -> None:
        """Judges what a worker has at work, or may begin."""
        world = self._world
        name, now = worker.description.name, world.now
        found = world.network.in_flight.list_to(name, now)
        if not worker.up or not (found or worker.runs or worker.ends):
            return
        entries = [
            entry for entry in found if in_flight.may_carry_out(worker, entry)
        ]
        self._judge_at_work(worker, entries)
        self._judge_starts(worker, entries)
        self._judge_acknowledgements(worker, entries)

    def _judge_at_work(self, worker, entries: list[in_flight.Entry]) -> None:
        """Judges the leases of runs at work, and of ends that may count."""
        world = self._world
        if worker.clock_ms() > worker.until_ms:
            return
        keys = list(worker.runs)
        keys += [
            run.key
            for _, run in worker.ends
            if run.how is work.EndReason.DONE and not run.lapsed
        ]
        if not keys:
            return
        lease_end = in_flight.find_lease_end(worker, world.now)
        latest_end = in_flight.find_latest_end(
            lease_end, entries, worker, world.lease_most_ms
        )
        for key in keys:
            self._judge_hold(Invariant.LEASES, worker, key, latest_end, entries)

    def _judge_starts(self, worker, entries: list[in_flight.Entry]) -> None:
        """Judges the runs that starts in flight may still begin.

        Where the platform's inventory can't be read, the list of workers
        decides alone that one is gone, and its late starts aren't waited for.
        """
        world = self._world
        if not world.inventory_up:
            return
        for entry in entries:
            if not in_flight.may_begin_run(worker, entry):
                continue
            order = entry.order
            later = [one for one in entries if one.order.epoch >= order.epoch]
            latest_end = in_flight.find_latest_end(
                entry.latest_at, later, worker, world.lease_most_ms
            )
            key = order.task, order.attempt
            self._judge_hold(Invariant.STARTS, worker, key, latest_end, later)
            self._judge_attempt(worker.description.name, entry)
            self._judge_done(worker.description.name, entry)

    def _judge_done(self, worker: str, entry: in_flight.Entry) -> None:
        """Judges whether a start in flight may begin a task that is done.

        By the pages, an end whose worker's leases lapsed before it was taken
        note of does not count: its task may have been started again by then.
        """
        order = entry.order
        ends = [
            run
            for _, run in self._noted.get(order.task.job, ())
            if run.name == order.task and not run.lapsed
        ]
        if not any(run.how is work.EndReason.DONE for run in ends):
            return
        text = (
            f"{in_flight.describe(entry)} to {worker} may begin what is done,"
            f" by owner {self._world.owner.epoch}"
        )
        violation = Violation(Invariant.STARTS, self._world.now, text)
        self._keep(violation, worker, order.task, order.attempt)

    def _judge_attempt(self, worker: str, entry: in_flight.Entry) -> None:
        """Judges whether a start in flight passes for that of another run."""
        world, order = self._world, entry.order
        task = next_owner.read_task(world, order.task)
        if (
            task is None
            or task.phase in (job_store.Phase.QUEUED, job_store.Phase.DONE)
            or task.attempt != order.attempt
            or task.worker_name == worker
        ):
            return
        text = (
            f"{in_flight.describe(entry)} to {worker} has the attempt of the"
            f" run on {task.worker_name} in the log of owner"
            f" {world.owner.epoch}"
        )
        violation = Violation(Invariant.NUMBERS, world.now, text)
        self._keep(violation, worker, order.task, order.attempt)

    def _judge_hold(
        self,
        invariant: Invariant,
        worker: fleet_workers.FakeWorker,
        key: Key,
        latest_end: float,
        entries: list[in_flight.Entry],
    ) -> None:
        """Judges how long owners hold back for a run that may be at work."""
        world, name = self._world, worker.description.name
        owner = world.owner
        may_decide = (
            not owner.is_over()
            and owner.epoch >= world.store.epochs[virtual_store.PROGRESS]
            and not owner.is_behind(name)
        )
        if may_decide:
            hold = next_owner.find_present_hold(owner.fleet, name, key)
            if hold and latest_end > hold.ends_at + TOLERANCE_S:
                who = f"owner {owner.epoch}"
                self._report(
                    invariant, worker, key, who, latest_end, hold, entries
                )
        task = next_owner.read_task(world, key[0])
        if task is None or task.phase is job_store.Phase.DONE:
            return
        hold = next_owner.find_hold(world, name, key, task)
        if latest_end > hold.ends_at + TOLERANCE_S:
            who = f"one that claims after {owner.epoch}"
            self._report(invariant, worker, key, who, latest_end, hold, entries)

    def _report(
        self, invariant, worker, key, who, latest_end, hold, entries
    ) -> None:
        name, now = worker.description.name, self._world.now
        text = (
            f"{key[0]}#{key[1]} may be at work on {name} until"
            f" {latest_end:.2f}, {who} holds back for its leases until"
            f" {hold.leases_end_at:.2f}, for late starts until"
            f" {hold.late_run_end_at:.2f}; in flight:"
            f" {', '.join(map(in_flight.describe, entries)) or 'nothing'}"
        )
        self._keep(Violation(invariant, now, text), name, key, who)

    def _keep(self, violation: Violation, *about) -> None:
        row = violation.invariant, *about
        if row not in self._known:
            self._known.add(row)
            self.violations.append(violation)

    # Ends and numbers.

    def _judge_acknowledgements(
        self, worker, entries: list[in_flight.Entry]
    ) -> None:
        """Judges the ends that polls in flight may acknowledge."""
        numbers = [getattr(e.order, "acknowledged_end", 0) for e in entries]
        newest = max(numbers, default=0)
        if not newest or not worker.ends:
            return
        for number, run in worker.ends:
            if number <= newest:
                entry = next(
                    entry
                    for entry, last in zip(entries, numbers, strict=True)
                    if last >= number
                )
                self._judge_end(
                    worker.description.name, run, entry, worker.incarnation_ms
                )

    def _judge_end(
        self,
        worker: str,
        run: fleet_workers.FakeRun,
        entry: in_flight.Entry | None = None,
        incarnation_ms: int = 0,
    ) -> None:
        """Judges whether the log tells of an end.

        Args:
            worker: The worker.
            run: The run that ended.
            entry: The poll in flight that names the end; None once the worker
                has carried one out.
            incarnation_ms: The life of the worker that lists the end.
        """
        world = self._world
        if run.lapsed or next_owner.has_end(world, run):
            return
        how = (
            f"named by {in_flight.describe(entry)}" if entry else "acknowledged"
        )
        text = (
            f"end {run.how} of {run.name}#{run.attempt} on {worker}, {how}, is"
            f" not in the log of owner {world.owner.epoch}"
        )
        is_of_life = not entry or entry.incarnation_ms == incarnation_ms
        violation = Violation(
            Invariant.ENDS if is_of_life else Invariant.NUMBERS,
            world.now,
            text,
        )
        self._keep(violation, worker, run.key)
