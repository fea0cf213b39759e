"""Processor time of the owner's decisions under the load of a large site.

Plays a seeded load against the reducer alone, in virtual time, without a
network: wide best-effort steps, narrow urgent ones and serving tasks. More is
submitted than can be started, so that work waits. What is timed is only the
reducer; its decisions are summed up, so that two versions can be compared.
"""

import collections
import dataclasses
import hashlib
import heapq
import itertools
import random
import time
from collections.abc import Callable

from poplarspindle import resources
from poplarspindle.fleet import (
    effects,
    events,
    fleet_state,
    job_store,
    orders,
    reducer,
    work,
)

SIZES = (445, 1000)  # Workers.
STARTS_A_WORKER = 2.0  # Tasks submitted a second.
FILL_SHARE = 0.85  # Of them.
FILL_TASKS, FILL_MILLICORES, FILL_MS = 39, 1800, 2000
URGENT_TASKS, URGENT_MILLICORES, URGENT_MS = 9, 5000, 800
SERVING_A_WORKER = 1.5
SERVING_TASKS, SERVING_MILLICORES = 6, 5000
CORES = 32
IMAGES = 4  # Of serving tasks, and as many of fills.
ORDERS_IN_FLIGHT_A_WORKER = 0.13
ORDER_S = 0.08  # Until a start is answered.
APPEND_S = 0.015
BATCH_S = 0.005
TICK_S = 0.05
LIST_S = 0.2
POLL_S = 0.55
WALL_MS = 1_700_000_000_000
WARM_UP_S = 4.0
TIMED_S = 2.0
SEED = 1


@dataclasses.dataclass(frozen=True, slots=True)
class Play:
    """What a play showed.

    Attributes:
        busy_s: Processor seconds for each second of the play, by kind of event;
            "settle" for placing and recording.
        starts_per_s: Starts sent in each second of the play.
        ready: Mean number of tasks that were ready and waited.
        decisions: Digest of all orders, records and log lines.
    """

    busy_s: dict[str, float]
    starts_per_s: float
    ready: float
    decisions: str


class _Worker:
    """A worker that starts and ends what it is told to."""

    def __init__(self, info: work.WorkerInfo) -> None:
        self.info = info
        self.running: dict[tuple, work.Running] = {}
        self.ended: list[work.Ended] = []
        self.last_end = 0
        self.polls = 0
        self.asked_at = 0.0


class Site:
    """A fleet's owner and its workers, in virtual time.

    Args:
        workers: Number of workers.
        seed: Seed of all chance.
    """

    def __init__(self, workers: int, seed: int = SEED) -> None:
        self.now = 0.0
        self.rng = random.Random(seed)
        self.busy_s: collections.Counter = collections.Counter()
        self.starts = self.rounds = self.ready_tasks = self._in_flight = 0
        self._orders_in_flight = int(ORDERS_IN_FLIGHT_A_WORKER * workers)
        self._digest = hashlib.sha256()
        self._timers: list = []
        self._numbers = itertools.count()
        self._batch: list[events.Event] = []
        self.fleet = fleet_state.FleetState(job_store.JobStore())
        self.fleet.epoch = 1
        self._queues = {
            name: work.Queue(name, "h", f"/{name}/", "pool", priority, 3)
            for name, priority in (("serving", 0), ("urgent", 0), ("fills", 2))
        }
        self.workers = {
            f"w{number}": _Worker(
                work.WorkerInfo(
                    f"w{number}",
                    f"10.0.0.1:{number}",
                    "pool",
                    f"dc{number % 3}",
                    resources.Resources(CORES * 1000, 256_000, 0),
                    rack=f"r{number // 8}",
                    incarnation_ms=1,
                )
            )
            for number in range(workers)
        }
        listed = tuple(worker.info for worker in self.workers.values())
        self._reduce(
            events.Configured(
                0.0, work.Configuration(1, self._queues), frozenset()
            )
        )
        self._reduce(events.WorkersListed(0.0, listed))
        for worker in self.workers.values():
            self._call_later(
                self.rng.uniform(0, POLL_S), lambda w=worker: self._poll(w, 0)
            )
        self._every(TICK_S, lambda: events.Ticked(self.now, self._wall_ms()))
        entries = frozenset(self.workers)
        self._every(
            LIST_S,
            lambda: events.ListRead(self.now, self.now, 0.0, entries),
        )
        self._submit_all(workers)

    # The load.

    def _submit_all(self, workers: int) -> None:
        """Submits serving jobs at once, and the others as time passes."""
        serving = int(SERVING_A_WORKER * workers / SERVING_TASKS)
        for number in range(serving):
            self._call_later(
                1.0 + number / serving, lambda n=number: self._serve(n)
            )
        tasks_a_second = STARTS_A_WORKER * workers
        for submit, share, tasks in (
            (self._fill, FILL_SHARE, FILL_TASKS),
            (self._ask_urgently, 1 - FILL_SHARE, URGENT_TASKS),
        ):
            at = 2.0
            while at < WARM_UP_S + TIMED_S:
                at += self.rng.expovariate(share * tasks_a_second / tasks)
                self._call_later(at, submit)

    def _serve(self, number: int) -> None:
        need = resources.Resources(SERVING_MILLICORES, 1000, 0)
        image = f"serve{number % IMAGES}"
        self._submit(
            "serving",
            work.Step(
                SERVING_TASKS,
                need,
                until_cancelled=True,
                image=image,
                target_ms=150,
            ),
        )

    def _fill(self) -> None:
        need = resources.Resources(FILL_MILLICORES, 1000, 0)
        image = f"fill{self.rng.randrange(IMAGES)}"
        self._submit(
            "fills",
            work.Step(FILL_TASKS, need, FILL_MS, image=image, best_effort=True),
        )

    def _ask_urgently(self) -> None:
        need = resources.Resources(URGENT_MILLICORES, 1000, 0)
        self._submit(
            "urgent", work.Step(URGENT_TASKS, need, URGENT_MS, image="urgent")
        )

    def _submit(self, queue: str, step: work.Step) -> None:
        name = f"{next(self._numbers):016x}"
        job_store.add_job(
            self.fleet.job_store,
            work.Submission(
                name,
                self._queues[queue],
                "spec",
                (step,),
                accepted_ms=self._wall_ms(),
            ),
        )
        self._batch.append(events.JobRead(self.now, name))

    # Workers.

    def _poll(self, worker: _Worker, number: int) -> None:
        """Lets a worker report, unless it was asked anew meanwhile."""
        if number != worker.polls:
            return
        worker.polls += 1
        report = work.Report(
            self._clock_ms(),
            worker.info.incarnation_ms,
            tuple(self._measure(run) for run in worker.running.values()),
            tuple(worker.ended),
        )
        self._batch.append(
            events.Reported(
                self.now,
                self._wall_ms(),
                worker.info.name,
                worker.asked_at,
                self._clock_ms() + 3000,
                report,
                token=1,
            )
        )
        worker.asked_at = self.now
        number = worker.polls
        self._call_later(POLL_S, lambda: self._poll(worker, number))

    def _measure(self, run: work.Running) -> work.Running:
        step = self.fleet.job_store.jobs[run.task.job].submission.steps[0]
        usage = (
            self.rng.uniform(40, 120)
            if step.target_ms
            else 0.7 * step.need.millicores
        )
        return dataclasses.replace(run, usage=usage)

    def _carry_out(self, worker: _Worker, order: orders.Order) -> None:
        """Carries out an order and answers it."""
        key = (order.task, order.attempt)
        if isinstance(order, orders.Start):
            self._in_flight -= 1
            worker.running[key] = work.Running(order.task, order.attempt)
            step = self.fleet.job_store.jobs[order.task.job].submission.steps[0]
            if not step.until_cancelled:
                self._call_later(
                    step.estimate_ms / 1000 * self.rng.uniform(0.8, 1.2),
                    lambda: self._end(worker, key, work.EndReason.DONE),
                )
        elif isinstance(order, orders.Stop):
            self._end(worker, key, work.EndReason.STOPPED)
        elif key in worker.running:
            worker.running[key] = dataclasses.replace(
                worker.running[key], percent=order.percent
            )
        self._batch.append(
            events.OrderAnswered(
                self.now,
                worker.info.name,
                self.now - ORDER_S,
                order,
                orders.Answer(None, self._clock_ms()),
            )
        )

    def _end(
        self, worker: _Worker, key: tuple, end_reason: work.EndReason
    ) -> None:
        if worker.running.pop(key, None) is None:
            return
        worker.last_end += 1
        worker.ended.append(work.Ended(worker.last_end, *key, end_reason))
        self._poll(worker, worker.polls)

    # Time.

    def _wall_ms(self) -> int:
        return WALL_MS + int(self.now * 1000)

    def _clock_ms(self) -> int:
        return 1_000_000 + int(self.now * 1000)

    def _call_later(self, delay_s: float, call: Callable[[], None]) -> None:
        heapq.heappush(
            self._timers, (self.now + delay_s, next(self._numbers), call)
        )

    def _every(self, interval_s: float, make: Callable) -> None:
        def run() -> None:
            self._batch.append(make())
            self._call_later(interval_s, run)

        self._call_later(interval_s, run)

    def run(self, seconds: float) -> None:
        """Lets virtual time pass, decisions made for a batch at a time."""
        until = self.now + seconds
        while self.now < until:
            due = self.now + BATCH_S
            while self._timers and self._timers[0][0] <= due:
                self.now, _, call = heapq.heappop(self._timers)
                call()
            self.now = due
            batch, self._batch = self._batch, []
            for event in batch:
                self._reduce(event)
            self._settle()

    # The owner.

    def _reduce(self, event: events.Event) -> None:
        began = time.process_time()
        effect_list = reducer.reduce(self.fleet, event)
        self.busy_s[type(event).__name__] += time.process_time() - began
        self._execute(effect_list)

    def _settle(self) -> None:
        fleet = self.fleet
        fleet.now, fleet.wall_ms = self.now, self._wall_ms()
        fleet.order_room = self._orders_in_flight - self._in_flight
        began = time.process_time()
        effect_list = reducer.settle(fleet)
        self.busy_s["settle"] += time.process_time() - began
        self.rounds += 1
        self.ready_tasks += sum(map(len, fleet.ready.values()))
        self._execute(effect_list)

    def _execute(self, effect_list: list[effects.Effect]) -> None:
        for effect in effect_list:
            self._digest.update(repr(effect).encode())
            if isinstance(effect, effects.Append):
                self._call_later(
                    APPEND_S,
                    lambda e=effect: self._batch.append(
                        events.Appended(self.now, e.number)
                    ),
                )
            elif isinstance(effect, effects.Publish) and effect.has_unreachable:
                self._batch.append(events.Published(self.now))
            elif isinstance(effect, effects.Acknowledge):
                worker = self.workers[effect.worker_name]
                worker.ended = [
                    end for end in worker.ended if end.number > effect.number
                ]
            elif isinstance(effect, effects.Order):
                is_start = isinstance(effect.order, orders.Start)
                self._in_flight += is_start
                self.starts += is_start
                self._call_later(
                    ORDER_S,
                    lambda e=effect: self._carry_out(
                        self.workers[e.worker_name], e.order
                    ),
                )

    def read_decisions(self) -> str:
        """Returns a digest of all decisions so far."""
        return self._digest.hexdigest()[:12]


def play(workers: int) -> Play:
    """Plays the load on a number of workers."""
    site = Site(workers)
    site.run(WARM_UP_S)
    site.busy_s.clear()
    site.starts = site.rounds = site.ready_tasks = 0
    site.run(TIMED_S)
    return Play(
        {
            kind: round(busy_s / TIMED_S, 3)
            for kind, busy_s in site.busy_s.most_common()
        },
        site.starts / TIMED_S,
        site.ready_tasks / max(1, site.rounds),
        site.read_decisions(),
    )


def measure() -> dict:
    """Plays the load at each size.

    Returns:
        For each number of workers the processor seconds that decisions take in
        a second, in all and by kind of event, starts a second, ready tasks and
        the digest of all decisions.
    """
    figures: dict = {}
    for workers in SIZES:
        played = play(workers)
        figures |= {
            f"busy_{workers}": round(sum(played.busy_s.values()), 3),
            f"busy_{workers}_by": played.busy_s,
            f"starts_{workers}": round(played.starts_per_s),
            f"ready_{workers}": round(played.ready),
            f"decisions_{workers}": played.decisions,
        }
    return figures
