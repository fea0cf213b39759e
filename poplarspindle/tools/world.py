"""Several scheduler states over one in-memory log, in virtual time.

The decisions are the product's own reducer and the workers the stand-in's.
Only what lies between is imitated here: an append, a read or a sync takes
its time, fails, lands late or lands twice, as a seeded generator says.
"""

import collections
import dataclasses
import heapq
import itertools
import random
from collections.abc import Callable

from poplarspindle import (
    cells,
    document,
    effects,
    events,
    records,
    reducer,
    reports,
    resources,
    scheduler_state,
)
from poplarspindle.clients import workers as worker_client
from poplarspindle.tools.fakes import workers

STEP_S = 0.25
CALL_TIMEOUT_S = 1.0
SYNC_S = 0.75
USUAL_DELAY_S = 0.2
LATE_DELAY_S = 8.0
LATE_ON_CRASH = 0.7
LEAST_RATE = 0.995
MOST_RATE = 1.005
LIMITS = scheduler_state.Limits(
    lease_s=2.0, task_lease_s=3.0, hold_s=6.0, fresh_s=1.0, policy="random"
)
DATA_CENTRES = ("lesse", "ourthe")
WORKERS_PER_CENTRE = 3
CAPACITY = resources.Resources(4000, 8000, 1)
CENTRES_TEXT = "".join(f"[data_centres.{name}]\n" for name in DATA_CENTRES)
SERVICES_TEXT = """
[services.quotes]
replicas = 2
processors = 0.5
[services.bookings]
replicas = 2
exclusive = true
processors = 0.5
"""


@dataclasses.dataclass
class Chances:
    """Chances of the faults of one call, all zero while none are wanted.

    Attributes:
        lost_ack: An append lands, and its answer is lost.
        late: A call times out and lands long after.
        twice: An append is stored twice.
        lost: A call never lands.
        dropped: A record is refused by a full append buffer.
    """

    lost_ack: float = 0.0
    late: float = 0.0
    twice: float = 0.0
    lost: float = 0.0
    dropped: float = 0.0


class Instance:
    """One scheduler: its state and all that a process would keep.

    Attributes:
        state: State that the reducer changes.
        rate: Seconds of its clock in one second.
        paused_until: When it goes on, true time.
        cut_log: Whether no call to the log gets through.
        cut_workers: Workers that it can't reach.
        crashed: Whether it is gone for good.
    """

    def __init__(
        self, name: str, rate: float, limits: scheduler_state.Limits
    ) -> None:
        self.name = name
        self.state = scheduler_state.SchedulerState(name, limits)
        self.rate = rate
        self.paused_until = 0.0
        self.cut_log = False
        self.cut_workers: set[str] = set()
        self.crashed = False
        self.inbox: collections.deque = collections.deque()
        self.arrived: collections.deque = collections.deque()
        self.positions: dict[str, int] = {}
        self.reading: set[str] = set()
        self.appends: dict[str, collections.deque] = {}
        self.appending: set[str] = set()
        self.outbox: dict[tuple[str, str], list] = {}
        self.syncing: dict[tuple[str, str], int] = {}
        self.synced_at: dict[tuple[str, str], float] = {}

    def read_clock(self, now: float) -> float:
        """Returns its own clock at a true time."""
        return 1000.0 + now * self.rate


class World:
    """Instances, log, workers and the messages between them.

    Args:
        seed: Seed of all chances.
        instances: Number of schedulers.
        limits: Bounds that they keep.
    """

    def __init__(
        self,
        seed: int,
        instances: int = 3,
        limits: scheduler_state.Limits = LIMITS,
        text: str = CENTRES_TEXT + SERVICES_TEXT,
    ) -> None:
        self.rng = random.Random(seed)
        self.limits = limits
        self.now = 0.0
        self.chances = Chances()
        self.log: dict[str, list[tuple]] = {}
        self.log_down = False
        self.fakes = workers.FakeWorkers()
        self.members: list[reports.Member] = []
        self.outs: dict[str, list[list[float]]] = {}
        self.refusals: collections.Counter = collections.Counter()
        self.starters: dict[tuple[str, int], set[str]] = {}
        self.counts: collections.Counter = collections.Counter()
        self.instances: list[Instance] = []
        self._messages: list = []
        self._numbers = itertools.count()
        self._versions: collections.Counter = collections.Counter()
        for centre in DATA_CENTRES:
            for index in range(WORKERS_PER_CENTRE):
                self._add_worker(centre, index)
        for _ in range(instances):
            self.add_instance()
        self.publish(text)

    def _add_worker(self, centre: str, index: int) -> None:
        member = reports.Member(
            f"{centre}-{index}",
            reports.Role.WORKER,
            centre,
            capacity=CAPACITY,
        )
        self.members.append(member)
        self.fakes.add(member)

    def add_instance(self) -> Instance:
        """Adds a scheduler under a new incarnation."""
        name = f"s{next(self._numbers)}"
        rate = self.rng.uniform(LEAST_RATE, MOST_RATE)
        instance = Instance(name, rate, self.limits)
        self.instances.append(instance)
        return instance

    def crash(self, instance: Instance) -> None:
        """Ends an instance; what it sent may still land, some of it late."""
        instance.crashed = True
        self.instances.remove(instance)
        for stream, queue in instance.appends.items():
            if queue and self.rng.random() < LATE_ON_CRASH:
                self._land_late(stream, tuple(queue))

    def _land_late(self, stream: str, batch: tuple) -> None:
        delay = self.rng.uniform(1.0, LATE_DELAY_S)
        self._send(delay, lambda: self.store(stream, batch))

    def replace_later(self, instance: Instance, delay_s: float) -> None:
        """Ends a leaving instance after a time; another takes its place."""

        def replace() -> None:
            if not instance.crashed:
                self.crash(instance)
                self.add_instance()

        self._send(delay_s, replace)

    def publish(self, text: str) -> None:
        """Publishes the only section."""
        change = records.SectionPublished(
            f"section-{next(self._numbers)}",
            "all",
            self._versions["section"],
            "operations",
            "walk",
            text,
        )
        self._versions["section"] += 1
        self._publish(change)

    def set_centre(self, centre: str, in_service: bool) -> None:
        """Takes a data centre out of service or back in."""
        outs = self.outs.setdefault(centre, [])
        is_out = bool(outs) and outs[-1][1] == float("inf")
        if is_out != in_service:
            return
        change = records.DataCentreSet(
            f"centre-{next(self._numbers)}",
            centre,
            in_service,
            self._versions[centre],
            "operations",
            "walk",
        )
        self._versions[centre] += 1
        self._publish(change)
        if in_service:
            outs[-1][1] = self.now
        else:
            outs.append([self.now, float("inf")])

    def _publish(self, change) -> None:
        key = document.derive_key("", change.team)
        self.store(
            records.DOCUMENT_STREAM, (document.sign_change(change, key),)
        )

    def store(self, stream: str, batch: tuple) -> None:
        """Stores a batch in the log."""
        self.log.setdefault(stream, []).append(batch)

    def submit(self, centre: str, job: records.JobSubmitted) -> None:
        """Stores a job, as an entry would."""
        self.store(records.CELL_STREAM_PREFIX + centre, (job,))

    def step(self) -> None:
        """Lets one step of time pass."""
        self.now += STEP_S
        while self._messages and self._messages[0][0] <= self.now:
            _, _, deliver = heapq.heappop(self._messages)
            deliver()
        for worker in self.fakes.workers.values():
            worker.advance(self.now)
        for instance in list(self.instances):
            if instance.paused_until <= self.now:
                self._run_instance(instance)

    def _run_instance(self, instance: Instance) -> None:
        at = instance.read_clock(self.now)
        while instance.arrived:
            instance.arrived.popleft()()
        instance.inbox.append(events.InstancesListed(at, self._list_members()))
        instance.inbox.append(events.Ticked(at, self.rng.getrandbits(32)))
        if self.rng.random() < 0.9:
            while instance.inbox:
                self._reduce(instance, instance.inbox.popleft())
        for stream in list(instance.appends):
            self._append_next(instance, stream)
        self._read_streams(instance)

    def _list_members(self) -> tuple[reports.Member, ...]:
        schedulers = [
            reports.Member(i.name, reports.Role.SCHEDULER, "")
            for i in self.instances
        ]
        return (*self.members, *schedulers)

    def _reduce(self, instance: Instance, event: events.Event) -> None:
        for effect in reducer.reduce(instance.state, event):
            self._carry_out(instance, effect)
        if isinstance(event, events.Ticked):
            self._sync_due(instance, event.at)

    def _carry_out(self, instance: Instance, effect) -> None:
        match effect:
            case effects.Append(record=records.SnapshotChunk()):
                # Draws nothing, so that the walks stay as they are whenever
                # snapshots are written at other times.
                self.store(effect.stream, (effect.record,))
            case effects.Append():
                queue = instance.appends.setdefault(
                    effect.stream, collections.deque()
                )
                if self.rng.random() >= self.chances.dropped:
                    queue.append(effect.record)
            case effects.Count():
                self.counts[(effect.name, effect.reason)] += effect.amount
            case effects.LogLine():
                pass
            case _:
                key = (effect.data_centre, effect.worker)
                instance.outbox.setdefault(key, []).append(effect)

    def _send(self, delay_s: float, deliver: Callable[[], None]) -> None:
        number = next(self._numbers)
        heapq.heappush(self._messages, (self.now + delay_s, number, deliver))

    def _pick_delay(self) -> float:
        return self.rng.uniform(0.0, USUAL_DELAY_S)

    def _answer(
        self, instance: Instance, delay_s: float, take: Callable[[], None]
    ) -> None:
        """Hands an answer to an instance's threads, which may be paused."""
        self._send(delay_s, lambda: instance.arrived.append(take))

    def _append_next(self, instance: Instance, stream: str) -> None:
        queue = instance.appends[stream]
        if stream in instance.appending or not queue:
            return
        batch = tuple(queue)
        instance.appending.add(stream)
        delay = self._pick_delay()
        fate = self.rng.random()
        chances = self.chances
        lost = instance.cut_log or self.log_down
        if lost or fate < chances.lost:
            self._answer(
                instance,
                CALL_TIMEOUT_S,
                lambda: instance.appending.discard(stream),
            )
            return

        def confirm() -> None:
            instance.appending.discard(stream)
            for _ in batch:
                queue.popleft()

        def land() -> None:
            self.store(stream, batch)
            if self.rng.random() < chances.twice:
                self.store(stream, batch)

        if fate < chances.lost + chances.late:
            self._send(self.rng.uniform(1.0, LATE_DELAY_S), land)
        else:
            self._send(delay, land)
        if fate < chances.lost + chances.late + chances.lost_ack:
            self._answer(
                instance,
                CALL_TIMEOUT_S,
                lambda: instance.appending.discard(stream),
            )
        else:
            self._answer(instance, delay + self._pick_delay(), confirm)

    def _read_streams(self, instance: Instance) -> None:
        names = [cells.name_stream(name) for name in instance.state.cells]
        for stream in (records.DOCUMENT_STREAM, *names):
            if stream in instance.reading or instance.cut_log or self.log_down:
                continue
            instance.reading.add(stream)
            sent_at = instance.read_clock(self.now)
            self._send(
                self._pick_delay(), self._make_read(instance, stream, sent_at)
            )

    def _make_read(
        self, instance: Instance, stream: str, sent_at: float
    ) -> Callable[[], None]:
        def read() -> None:
            position = instance.positions.get(stream, 0)
            page = self.log.get(stream, [])[position:]
            self._answer(
                instance,
                self._pick_delay(),
                lambda: self._take_page(instance, stream, sent_at, page),
            )

        return read

    def _take_page(self, instance, stream, sent_at, page) -> None:
        instance.reading.discard(stream)
        at = instance.read_clock(self.now)
        position = instance.positions.get(stream, 0)
        for batch in page:
            for record in batch:
                instance.inbox.append(
                    events.RecordRead(at, stream, position, record)
                )
            position += 1
        instance.positions[stream] = position
        instance.inbox.append(events.TailReached(sent_at, stream, position - 1))

    def _sync_due(self, instance: Instance, now: float) -> None:
        for centre, cell in instance.state.cells.items():
            if cell.table.owner != instance.name:
                continue
            for name in cell.view.workers:
                key = (centre, name)
                due = now - instance.synced_at.get(key, 0.0) >= SYNC_S
                if key not in instance.syncing and (
                    due or key in instance.outbox
                ):
                    instance.synced_at[key] = now
                    sync = worker_client.make_sync(
                        instance.outbox.pop(key, []), cell.table.term
                    )
                    self._sync(instance, key, sync)

    def _sync(self, instance: Instance, key, sync) -> None:
        number = next(self._numbers)
        instance.syncing[key] = number
        sent_at = instance.read_clock(self.now)
        late = self.rng.random() < self.chances.late
        lost = self.rng.random() < self.chances.lost
        delay = (
            self.rng.uniform(1.0, LATE_DELAY_S) if late else self._pick_delay()
        )

        def land() -> None:
            worker = self.fakes.workers[key[1]]
            if worker.dead or worker.cut or key[1] in instance.cut_workers:
                return
            began = len(self.fakes.ledger)
            report = worker.sync(sync, self.now)
            if len(self.fakes.ledger) > began:
                self.starters.setdefault((key[0], sync.term), set()).add(
                    instance.name
                )
            self.refusals.update(report.refusals)
            if self.rng.random() >= self.chances.lost_ack:
                self._answer(
                    instance, self._pick_delay(), lambda: answer(report)
                )

        def answer(report) -> None:
            if instance.syncing.get(key) != number:
                return
            del instance.syncing[key]
            at = instance.read_clock(self.now)
            instance.inbox.append(
                events.WorkerSynced(at, *key, sent_at, report)
            )

        def expire() -> None:
            if instance.syncing.get(key) != number:
                return
            del instance.syncing[key]
            at = instance.read_clock(self.now)
            instance.inbox.append(events.WorkerUnreachable(at, *key, "timeout"))

        if not lost:
            self._send(delay, land)
        self._answer(instance, CALL_TIMEOUT_S, expire)
