"""Each routing policy in a small queueing calculation, all on one seed.

The entries decide with the code that runs in production; only the minions'
slots and queues are calculated. One heap of events, no network.
"""

import collections
import dataclasses
import heapq
import itertools
import random

import hdrh.histogram

from poplarspindle import health, outcomes, pool, reports, retries, routing

ENTRIES = 9
MINIONS = 30
SLOTS = 8
CONNECTIONS = 64
SERVICE_S = 0.02
SPREAD = 0.8
LONG = 60_000
SEED = 1
NO_EJECTION = health.Rules(max_ejected_share=0.0, silent_s=1e9, slow_factor=1e9)
REFUSED = outcomes.Failed(outcomes.Step.SEND, "", "minion-refused")


@dataclasses.dataclass(frozen=True)
class Case:
    """One situation.

    Attributes:
        load: Offered work against all slots.
        slow: Factor on the service time of one minion.
        hard: Whether minions refuse a request that finds no slot.
        skewed: Whether one entry gets half of all requests.
        requests: Number of arrivals.
        rules: When minions are ejected.
    """

    load: float
    slow: float = 1.0
    hard: bool = False
    skewed: bool = False
    requests: int = 15_000
    rules: health.Rules = dataclasses.field(default_factory=health.Rules)


CASES = {
    "60 %": Case(0.6),
    "80 %": Case(0.8),
    "95 %": Case(0.95),
    "80 %, skewed": Case(0.8, skewed=True),
    "80 %, hard slots": Case(0.8, hard=True),
    "95 %, hard slots": Case(0.95, hard=True),
    "80 %, one 10x slow, no ejection": Case(
        0.8, 10.0, requests=LONG, rules=NO_EJECTION
    ),
    "80 %, one 10x slow": Case(0.8, 10.0, requests=LONG),
    "200 %": Case(2.0),
    "200 %, hard slots": Case(2.0, hard=True),
}


@dataclasses.dataclass
class Job:
    """One request on its way."""

    began: float
    entry: int
    sent: pool.OutstandingSend | None = None
    tried: frozenset[str] = frozenset()


class Calculation:
    """One policy in one situation."""

    def __init__(self, policy: str, case: Case) -> None:
        self.case = case
        self.rng = random.Random(SEED)
        self.ends = 0.0
        self.heap: list = []
        self.numbers = itertools.count()
        self.busy: collections.Counter[str] = collections.Counter()
        self.waiting = collections.defaultdict(collections.deque)
        self.latency = hdrh.histogram.HdrHistogram(1, 60_000_000, 3)
        self.counts: collections.Counter[str] = collections.Counter()
        members = tuple(
            reports.Member(
                f"m{i}",
                reports.Role.MINION,
                "ourthe",
                address=f"m{i}",
                services=("quotes",),
                connections=CONNECTIONS,
            )
            for i in range(MINIONS)
        )
        self.entries = [
            pool.State(ENTRIES, policy, case.rules) for _ in range(ENTRIES)
        ]
        self.budgets = [retries.Budget(0.1) for _ in range(ENTRIES)]
        for state in self.entries:
            pool.apply_members(state, members)

    def run(self) -> dict:
        """Returns latencies in milliseconds and shares of all requests."""
        rate = self.case.load * MINIONS * SLOTS / SERVICE_S
        at = 0.0
        for _ in range(self.case.requests):
            at += self.rng.expovariate(rate)
            skewed = self.case.skewed and self.rng.random() < 0.5
            entry = 0 if skewed else self.rng.randrange(ENTRIES)
            self._push(at, self._arrive, Job(at, entry))
        self.ends = at
        while self.heap:
            now, _, handle, job = heapq.heappop(self.heap)
            handle(now, job)
        total = self.case.requests
        possible = at * MINIONS * SLOTS / SERVICE_S
        return {
            "p50": self.latency.get_value_at_percentile(50) / 1000,
            "p99": self.latency.get_value_at_percentile(99) / 1000,
            "answered": round(self.counts["answered"] / total, 4),
            "sends": round(self.counts["sends"] / total, 4),
            "of_capacity": round(self.counts["in_time"] / possible, 4),
        }

    def _push(self, at, handle, job) -> None:
        heapq.heappush(self.heap, (at, next(self.numbers), handle, job))

    def _arrive(self, now: float, job: Job) -> None:
        retries.earn(self.budgets[job.entry])
        self._send(now, job)

    def _send(self, now: float, job: Job) -> None:
        state = self.entries[job.entry]
        pool.review(state, now)
        found = pool.choose_minion(
            state, "quotes", job.tried, True, now, self.rng
        )
        if isinstance(found, str):
            return
        name = found.member.name
        job.sent = pool.begin_send(state, found, now)
        job.tried |= {name}
        self.counts["sends"] += 1
        if self.busy[name] < SLOTS:
            self._start(now, job)
        elif not self.case.hard:
            self.waiting[name].append(job)
        else:
            pool.end_send(state, job.sent, REFUSED, 0, False, now)
            budget = self.budgets[job.entry]
            tries = len(job.tried)
            if retries.may_retry(REFUSED, True, tries, 1.0) and retries.spend(
                budget
            ):
                self._send(now, job)

    def _start(self, now: float, job: Job) -> None:
        name = job.sent.minion.member.name
        self.busy[name] += 1
        mean_shift = SPREAD**2 / 2
        took_s = SERVICE_S * self.rng.lognormvariate(-mean_shift, SPREAD)
        slow = self.case.slow if name == "m0" else 1.0
        self._push(now + took_s * slow, self._finish, job)

    def _finish(self, now: float, job: Job) -> None:
        state = self.entries[job.entry]
        name = job.sent.minion.member.name
        pool.end_send(state, job.sent, None, 200, False, now)
        self.counts["answered"] += 1
        self.counts["in_time"] += now <= self.ends
        self.latency.record_value(max(1, int((now - job.began) * 1e6)))
        self.busy[name] -= 1
        if self.waiting[name]:
            self._start(now, self.waiting[name].popleft())


def measure() -> dict:
    """Measures all policies in all situations.

    Returns:
        Figures by situation and policy.
    """
    return {
        title: {
            policy: Calculation(policy, case).run()
            for policy in routing.POLICIES
        }
        for title, case in CASES.items()
    }
