"""Dispatches requests to minions, with retries and hedged sends.

The decisions are made by functions of other modules. Dispatcher holds the
lock around their state and sends for the threads of an entry.
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
MIN_ATTEMPT_S = 0.0005

TraceStep = Callable[[outcomes.Step, str, str], None]


@dataclasses.dataclass(frozen=True, slots=True)
class Rules:
    """Operator settings of dispatch.

    Attributes:
        threads: Number of threads that serve callers.
        retry_share: Additional sends that each request adds to the budget.
        hedge_factor: Delay before a second, hedged send, as a multiple of
            the recent latency; 0 disables hedging.
        min_hedge_delay_s: Minimum delay before a hedged send.
        batch_below: Services with a priority below this are batch.
        ejection: Rules for the ejection of minions.
    """

    threads: int = 32
    retry_share: float = 0.1
    hedge_factor: float = 3.0
    min_hedge_delay_s: float = 0.02
    batch_below: int = 50
    ejection: health.Rules = dataclasses.field(default_factory=health.Rules)


def read_rules(values: settings.Values) -> Rules:
    """Returns the rules defined by the settings."""
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
    """A request that is being dispatched.

    Attributes:
        service: Service requested.
        name: Request id.
        body: The request's body.
        idempotent: Whether it may run more than once.
        deadline: The caller's deadline, monotonic seconds.
        trace_step: Called with step, peer and reason of each step.
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
    """Returns the verdict for the caller after the last failure.

    Args:
        failed: The last failure.
        acted_before: Whether an earlier send may have run the request.
    """
    may_have_acted = failed.may_have_acted or acted_before
    outcome = (
        requests.Outcome.UNKNOWN if may_have_acted else requests.Outcome.NOT_RUN
    )
    return requests.Verdict(outcome, failed.reason, failed.step, failed.peer)


def skip_trace(step: outcomes.Step, peer: str, reason: str) -> None:
    """Records no trace; the default for `trace_step`."""


class Dispatcher:
    """Sends requests to minions for the threads of one entry.

    Args:
        entries: Number of entries that share the minions.
        policy: Name of the routing policy.
        client: HTTP client with connections to the minions.
        counters: Metrics that count sends, retries and refusals.
        seed: Seed of the random choices in routing.
        rules: Operator settings, None for the defaults.
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
        """Updates the minions from the platform's list."""
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
        """Sends a request until it is answered or must not be retried.

        Args:
            service: Service requested.
            name: Request id.
            body: The request's body.
            idempotent: Whether it may run more than once.
            deadline: The caller's deadline, monotonic seconds.
            trace_step: Called with step, peer and reason of each step.

        Returns:
            The complete answer, or the verdict for the caller.
        """
        request = PendingRequest(
            service, name, body, idempotent, deadline, trace_step
        )
        priority = self._find_priority(service)
        started_at = time.monotonic()
        with self._lock:
            refusal = admission.admit(
                self.admission,
                started_at,
                service,
                deadline - started_at,
                priority,
            )
            if not refusal:
                retries.earn(self._budget)
        if refusal:
            trace_step(outcomes.Step.ADMIT, "", refusal)
            return requests.Verdict(
                requests.Outcome.NOT_RUN, refusal, outcomes.Step.ADMIT
            )
        result = None
        try:
            result = self._send_admitted(request)
        finally:
            self._record_end(request, started_at, result, priority)
        return result

    def _record_end(
        self, request: PendingRequest, started_at: float, result, priority: int
    ) -> None:
        """Records the end of an admitted request for admission control."""
        now = time.monotonic()
        with self._lock:
            admission.record_end(
                self.admission,
                now,
                request.service,
                now - started_at,
                is_latency_sample(result),
            )
            if is_out_of_capacity(result):
                admission.record_overload(self.admission, priority)

    def _send_admitted(
        self, request: PendingRequest
    ) -> minions.Answer | requests.Verdict:
        """Sends an admitted request to one minion after another."""
        tried: frozenset[str] = frozenset()
        may_have_acted = False
        failure: outcomes.Failed | None = None
        while True:
            sent = self._begin_send(request, tried)
            if isinstance(sent, str):
                last_failure = failure or outcomes.Failed(
                    outcomes.Step.ROUTE, "", sent
                )
                return describe_failure(last_failure, may_have_acted)
            tried |= {sent.minion.member.name}
            answer, tried, late_acted = self._send_hedged(request, sent, tried)
            if isinstance(answer, outcomes.Ok):
                return answer.value
            failure = answer
            may_have_acted |= failure.may_have_acted or late_acted
            remaining_s = request.deadline - time.monotonic() - MIN_ATTEMPT_S
            if not retries.may_retry(
                failure, request.idempotent, len(tried), remaining_s
            ):
                return describe_failure(failure, may_have_acted)
            if not self._spend_retry():
                self._counters.add(
                    "poplarspindle_retries_total", "budget-spent"
                )
                return describe_failure(failure, may_have_acted)
            self._counters.add("poplarspindle_retries_total", failure.reason)

    def _spend_retry(self) -> bool:
        with self._lock:
            return retries.spend(self._budget)

    def _begin_send(
        self, request: PendingRequest, tried: frozenset[str]
    ) -> pool.OutstandingSend | str:
        """Chooses a minion and records a send to it, or returns the reason."""
        now = time.monotonic()
        with self._lock:
            ejected = pool.review(self.state, now)
            send = pool.choose_minion(
                self.state,
                request.service,
                tried,
                request.idempotent,
                now,
                self._rng,
            )
            if not isinstance(send, str):
                if send.health_state.phase is health.Phase.EJECTED:
                    self._counters.add("poplarspindle_ejections_total", "probe")
                send = pool.begin_send(self.state, send, now)
        self._disconnect_ejected(ejected)
        return send

    def _send_hedged(
        self,
        request: PendingRequest,
        sent: pool.OutstandingSend,
        tried: frozenset[str],
    ):
        """Sends a request, and hedges it at another minion if it is late.

        Returns:
            The result, the minions tried and, if neither send was answered,
            whether the second one may have run the request.
        """
        delay_s = self._compute_hedge_delay(request)
        if delay_s is None:
            return self._send_once(request, sent, minions.Call()), tried, False
        race = hedges.Race()
        tried_by_race = [tried]

        def hedge() -> None:
            tried_by_race[0] = self._send_second(request, race, tried)

        self._timer.schedule(time.monotonic() + delay_s, race, hedge)
        first = self._send_once(request, sent, race.first)
        result = race.end_first(first, request.deadline)
        return result, tried_by_race[0], race.acted

    def _compute_hedge_delay(self, request: PendingRequest) -> float | None:
        """Returns the delay before a hedged send, None for no hedging."""
        estimate = self.admission.estimates.get(request.service)
        if (
            not request.idempotent
            or not self.rules.hedge_factor
            or not estimate
        ):
            return None
        delay_s = max(
            self.rules.min_hedge_delay_s,
            self.rules.hedge_factor * estimate.latency_s,
        )
        remaining_s = request.deadline - time.monotonic()
        return delay_s if delay_s < remaining_s else None

    def _send_second(
        self, request: PendingRequest, race: hedges.Race, tried: frozenset[str]
    ) -> frozenset[str]:
        """Makes the hedged send of a race and returns the minions tried."""
        if not race.start_second():
            return tried
        failed = outcomes.Failed(outcomes.Step.ROUTE, "", "budget-spent")
        sent = (
            self._begin_send(request, tried)
            if self._spend_retry()
            else "budget-spent"
        )
        if isinstance(sent, str):
            self._counters.add("poplarspindle_hedges_total", sent)
            race.end_second(failed)
            return tried
        self._counters.add("poplarspindle_hedges_total", "sent")
        result = self._send_once(request, sent, race.second)
        if race.end_second(result):
            self._counters.add("poplarspindle_hedges_total", "won")
        return tried | {sent.minion.member.name}

    def _send_once(
        self,
        request: PendingRequest,
        sent: pool.OutstandingSend,
        call: minions.Call,
    ) -> outcomes.Ok[minions.Answer] | outcomes.Failed:
        """Sends once and records the result for the minion's health."""
        member = sent.minion.member
        request.trace_step(outcomes.Step.SEND, member.name, "sent")
        self._counters.add("poplarspindle_sends_total", "sent")
        result: outcomes.Ok | outcomes.Failed = outcomes.Failed(
            outcomes.Step.SEND, member.address, "aborted", "", True
        )
        try:
            result = self._client.send(
                member.address,
                request.service,
                request.name,
                request.body,
                request.deadline - time.monotonic(),
                call,
            )
        finally:
            self._end_send(sent, result, call.fresh)
        if isinstance(result, outcomes.Ok):
            request.trace_step(outcomes.Step.RECEIVE, member.name, "answered")
        else:
            request.trace_step(result.step, member.name, result.reason)
        return result

    def _end_send(
        self, sent: pool.OutstandingSend, result, fresh_connection: bool
    ) -> None:
        failed = result if isinstance(result, outcomes.Failed) else None
        status = 0 if failed else result.value.status
        now = time.monotonic()
        with self._lock:
            ejected = pool.end_send(
                self.state, sent, failed, status, fresh_connection, now
            )
        if failed:
            self._counters.add("poplarspindle_connections_total", failed.reason)
            is_silent = now - sent.at >= self.rules.ejection.silent_s
            if (
                failed.reason == "timeout"
                and not fresh_connection
                and is_silent
            ):
                self._client.forget(sent.minion.member.address)
        elif result.value.extra:
            self._counters.add("poplarspindle_connections_total", "extra-bytes")
        self._disconnect_ejected(ejected)

    def _disconnect_ejected(self, ejected: tuple[pool.Ejection, ...]) -> None:
        for ejection in ejected:
            self._counters.add("poplarspindle_ejections_total", ejection.reason)
            self._client.forget(ejection.address)


def is_latency_sample(result: minions.Answer | requests.Verdict | None) -> bool:
    """Returns whether a result is a sample of the service's latency."""
    timed_out = (
        isinstance(result, requests.Verdict) and result.reason == "timeout"
    )
    return isinstance(result, minions.Answer) or timed_out


def is_out_of_capacity(
    result: minions.Answer | requests.Verdict | None,
) -> bool:
    """Returns whether a request ended because minions lacked capacity."""
    return isinstance(result, requests.Verdict) and result.reason in (
        "no-room",
        "minion-refused",
    )
