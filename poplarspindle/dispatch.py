"""Sends a request to one minion after another while that is allowed.

The decisions are plain functions of other modules; Dispatcher holds the lock
and does the sending for the threads of an entry.
"""

import dataclasses
import random
import threading
import time
from collections.abc import Callable

from poplarspindle import (
    admission,
    health,
    hedges,
    metrics,
    outcomes,
    pool,
    reports,
    requests,
    retries,
    settings,
)
from poplarspindle.clients import minions

PRIORITY = 100
LEAST_S = 0.0005

TraceStep = Callable[[outcomes.Step, str, str], None]


@dataclasses.dataclass(frozen=True, slots=True)
class Rules:
    """What operators set of the dispatch.

    Attributes:
        threads: Threads that serve callers.
        retry_share: Further sends earned by one request.
        hedge_factor: Lateness at which a second send is made, in recent
            latencies; 0 for never.
        min_hedge_delay_s: Lateness below which none is made.
        batch_below: Services of a lower priority are batch.
        ejection: When minions are ejected.
    """

    threads: int = 32
    retry_share: float = 0.1
    hedge_factor: float = 3.0
    min_hedge_delay_s: float = 0.02
    batch_below: int = 50
    ejection: health.Rules = dataclasses.field(default_factory=health.Rules)


def read_rules(values: settings.Values) -> Rules:
    """Returns the rules that the settings give."""
    return Rules(
        threads=values.threads,
        retry_share=values.retry_share,
        hedge_factor=values.hedge_factor,
        batch_below=values.batch_below,
        ejection=health.Rules(
            max_ejected_share=values.eject_share,
            silent_s=values.silent_s,
            slow_factor=values.slow_factor,
        ),
    )


@dataclasses.dataclass(frozen=True, slots=True)
class PendingRequest:
    """One request on its way.

    Attributes:
        deadline: End of the caller's patience, monotonic seconds.
        trace_step: Told of each step with peer and reason, for the trace.
    """

    service: str
    name: str
    body: bytes
    idempotent: bool
    deadline: float
    trace_step: TraceStep


def describe_failure(
    failed: outcomes.Failed, acted_before: bool
) -> requests.Verdict:
    """Returns what the caller is told after the last failure."""
    acted = failed.may_have_acted or acted_before
    outcome = requests.Outcome.UNKNOWN if acted else requests.Outcome.NOT_RUN
    return requests.Verdict(outcome, failed.reason, failed.step, failed.peer)


def skip_trace(step: outcomes.Step, peer: str, reason: str) -> None:
    """Keeps no trace."""


class Dispatcher:
    """Sends requests to minions for the threads of one entry.

    Args:
        entries: Number of entries that share the minions.
        policy: Name of the routing policy.
        client: Connections to the minions.
        counters: Where sends, retries and refusals are counted.
        seed: Seed of the routing's random choices.
        rules: What operators set.
        find_priority: Returns a service's priority in the document.
    """

    def __init__(
        self,
        entries: int,
        policy: str,
        client: minions.Minions,
        counters: metrics.Metrics,
        seed: int,
        rules: Rules | None = None,
        find_priority: Callable[[str], int] = lambda service: PRIORITY,
    ) -> None:
        self.rules = rules or Rules()
        self.state = pool.State(entries, policy, self.rules.ejection)
        self.admission = admission.State(
            admission.compute_limit(self.rules.threads), self.rules.batch_below
        )
        self._budget = retries.Budget(self.rules.retry_share)
        self._client = client
        self._counters = counters
        self._rng = random.Random(seed)
        self._find_priority = find_priority
        self._timer = hedges.Timer()
        self._lock = threading.Lock()

    def apply_members(self, members: tuple[reports.Member, ...]) -> None:
        """Takes the platform's list over."""
        with self._lock:
            pool.apply_members(self.state, members)

    def dispatch(
        self,
        service: str,
        name: str,
        body: bytes,
        idempotent: bool,
        deadline: float,
        trace_step: TraceStep = skip_trace,
    ) -> minions.Answer | requests.Verdict:
        """Sends a request until it is answered or must not be sent again.

        Args:
            service: Service asked for.
            name: Request id.
            body: The request's body.
            idempotent: Whether it may run more than once.
            deadline: End of the caller's patience, monotonic seconds.
            trace_step: Told of each step with peer and reason, for the trace.

        Returns:
            The whole answer, or what the caller is told instead.
        """
        task = PendingRequest(
            service, name, body, idempotent, deadline, trace_step
        )
        priority = self._find_priority(service)
        began = time.monotonic()
        with self._lock:
            refused = admission.admit(
                self.admission, began, service, deadline - began, priority
            )
            if not refused:
                retries.earn(self._budget)
        if refused:
            trace_step(outcomes.Step.ADMIT, "", refused)
            return requests.Verdict(
                requests.Outcome.NOT_RUN, refused, outcomes.Step.ADMIT
            )
        result = None
        try:
            result = self._send_allowed(task)
        finally:
            self._leave(task, began, result, priority)
        return result

    def _leave(
        self, task: PendingRequest, began: float, result, priority: int
    ) -> None:
        """Notes the end of a request that was let in."""
        now = time.monotonic()
        with self._lock:
            admission.record_end(
                self.admission,
                now,
                task.service,
                now - began,
                is_latency_sample(result),
            )
            if is_out_of_capacity(result):
                admission.record_overload(self.admission, priority)

    def _send_allowed(
        self, task: PendingRequest
    ) -> minions.Answer | requests.Verdict:
        """Sends to one minion after another."""
        tried: frozenset[str] = frozenset()
        acted = False
        failed: outcomes.Failed | None = None
        while True:
            sent = self._begin(task, tried)
            if isinstance(sent, str):
                last = failed or outcomes.Failed(outcomes.Step.ROUTE, "", sent)
                return describe_failure(last, acted)
            tried |= {sent.minion.member.name}
            answer, tried, late_acted = self._race(task, sent, tried)
            if isinstance(answer, outcomes.Ok):
                return answer.value
            failed = answer
            acted |= failed.may_have_acted or late_acted
            left_s = task.deadline - time.monotonic() - LEAST_S
            if not retries.may_retry(
                failed, task.idempotent, len(tried), left_s
            ):
                return describe_failure(failed, acted)
            if not self._spend():
                self._counters.add(
                    "poplarspindle_retries_total", "budget-spent"
                )
                return describe_failure(failed, acted)
            self._counters.add("poplarspindle_retries_total", failed.reason)

    def _spend(self) -> bool:
        with self._lock:
            return retries.spend(self._budget)

    def _begin(
        self, task: PendingRequest, tried: frozenset[str]
    ) -> pool.OutstandingSend | str:
        """Picks a minion and counts a send to it, or says why there's none."""
        now = time.monotonic()
        with self._lock:
            ejected = pool.review(self.state, now)
            send = pool.choose_minion(
                self.state,
                task.service,
                tried,
                task.idempotent,
                now,
                self._rng,
            )
            if not isinstance(send, str):
                if send.health_state.phase is health.Phase.EJECTED:
                    self._counters.add("poplarspindle_ejections_total", "probe")
                send = pool.begin_send(self.state, send, now)
        self._close_ejected(ejected)
        return send

    def _race(
        self,
        task: PendingRequest,
        sent: pool.OutstandingSend,
        tried: frozenset[str],
    ):
        """Sends, and sends again elsewhere when the first is late.

        Returns:
            The result, the minions tried, and whether the second send may
            have acted where neither was answered.
        """
        delay_s = self._find_delay(task)
        if delay_s is None:
            return self._send(task, sent, minions.Call()), tried, False
        race = hedges.Race()
        others = [tried]

        def hedge() -> None:
            others[0] = self._hedge(task, race, tried)

        self._timer.schedule(time.monotonic() + delay_s, race, hedge)
        first = self._send(task, sent, race.first)
        result = race.end_first(first, task.deadline)
        return result, others[0], race.acted

    def _find_delay(self, task: PendingRequest) -> float | None:
        """Returns when a second send would be worth it, None for never."""
        estimate = self.admission.estimates.get(task.service)
        if not task.idempotent or not self.rules.hedge_factor or not estimate:
            return None
        delay_s = max(
            self.rules.min_hedge_delay_s,
            self.rules.hedge_factor * estimate.latency_s,
        )
        left_s = task.deadline - time.monotonic()
        return delay_s if delay_s < left_s else None

    def _hedge(
        self, task: PendingRequest, race: hedges.Race, tried: frozenset[str]
    ) -> frozenset[str]:
        """Makes the second send of a race; returns the minions tried."""
        if not race.start_second():
            return tried
        failed = outcomes.Failed(outcomes.Step.ROUTE, "", "budget-spent")
        sent = self._begin(task, tried) if self._spend() else "budget-spent"
        if isinstance(sent, str):
            self._counters.add("poplarspindle_hedges_total", sent)
            race.end_second(failed)
            return tried
        self._counters.add("poplarspindle_hedges_total", "sent")
        result = self._send(task, sent, race.second)
        if race.end_second(result):
            self._counters.add("poplarspindle_hedges_total", "won")
        return tried | {sent.minion.member.name}

    def _send(
        self,
        task: PendingRequest,
        sent: pool.OutstandingSend,
        call: minions.Call,
    ) -> outcomes.Ok[minions.Answer] | outcomes.Failed:
        """Sends once and notes what it says of the minion."""
        member = sent.minion.member
        task.trace_step(outcomes.Step.SEND, member.name, "sent")
        self._counters.add("poplarspindle_sends_total", "sent")
        result: outcomes.Ok | outcomes.Failed = outcomes.Failed(
            outcomes.Step.SEND, member.address, "aborted", "", True
        )
        try:
            result = self._client.send(
                member.address,
                task.service,
                task.name,
                task.body,
                task.deadline - time.monotonic(),
                call,
            )
        finally:
            self._end(sent, result, call.fresh)
        if isinstance(result, outcomes.Ok):
            task.trace_step(outcomes.Step.RECEIVE, member.name, "answered")
        else:
            task.trace_step(result.step, member.name, result.reason)
        return result

    def _end(self, sent: pool.OutstandingSend, result, fresh: bool) -> None:
        failed = result if isinstance(result, outcomes.Failed) else None
        status = 0 if failed else result.value.status
        now = time.monotonic()
        with self._lock:
            ejected = pool.end_send(
                self.state, sent, failed, status, fresh, now
            )
        if failed:
            self._counters.add("poplarspindle_connections_total", failed.reason)
            slow = now - sent.at >= self.rules.ejection.silent_s
            if failed.reason == "timeout" and not fresh and slow:
                self._client.forget(sent.minion.member.address)
        elif result.value.extra:
            self._counters.add("poplarspindle_connections_total", "extra-bytes")
        self._close_ejected(ejected)

    def _close_ejected(self, ejected: tuple[pool.Ejection, ...]) -> None:
        for ejection in ejected:
            self._counters.add("poplarspindle_ejections_total", ejection.reason)
            self._client.forget(ejection.address)


def is_latency_sample(result: minions.Answer | requests.Verdict | None) -> bool:
    """Tells whether a result shows how long the service takes."""
    timed_out = (
        isinstance(result, requests.Verdict) and result.reason == "timeout"
    )
    return isinstance(result, minions.Answer) or timed_out


def is_out_of_capacity(
    result: minions.Answer | requests.Verdict | None,
) -> bool:
    """Tells whether a request ended for want of room at the minions."""
    return isinstance(result, requests.Verdict) and result.reason in (
        "no-room",
        "minion-refused",
    )
