"""Admission control: accepts or refuses a request before it is sent.

A request that cannot end before its deadline is refused at once. This costs
its caller little and leaves the minions to requests that can.
"""

import dataclasses

SPARE_SHARE = 8
MIN_SPARE_THREADS = 2
HALF_LIFE_S = 1.0
WEIGHT = 0.1
MIN_BATCH_SHARE = 0.05
RECOVERY_PER_S = 0.2


@dataclasses.dataclass(slots=True)
class Estimate:
    """Recent latency of the requests of one service.

    Attributes:
        latency_s: Moving average of the latency, including waits.
        at: When the last request ended, monotonic seconds.
    """

    latency_s: float = 0.0
    at: float = 0.0


@dataclasses.dataclass(slots=True)
class State:
    """Admission state of one entry.

    Attributes:
        limit: Maximum number of requests in flight.
        batch_below: Services with a lower priority are batch.
        in_flight: Number of admitted requests that have not ended.
        batch_share: Share of the limit that batch requests may use.
        shared_at: When the share was last updated, monotonic seconds.
        estimates: Latency estimate by service.
    """

    limit: int
    batch_below: int
    in_flight: int = 0
    batch_share: float = 1.0
    shared_at: float = 0.0
    estimates: dict[str, Estimate] = dataclasses.field(default_factory=dict)


def compute_limit(threads: int) -> int:
    """Returns how many of an entry's threads may wait for minions.

    The other threads read, refuse and answer, so that a refusal never waits
    behind requests that wait for minions.
    """
    return max(1, threads - max(MIN_SPARE_THREADS, threads // SPARE_SHARE))


def admit(
    state: State, at: float, service: str, left_s: float, priority: int
) -> str:
    """Decides on one request; counts it as in flight if it is admitted.

    Args:
        state: The entry's admission state.
        at: Now, monotonic seconds.
        service: Requested service.
        left_s: Time left until the caller's deadline.
        priority: The service's priority in the document.

    Returns:
        The reason of the refusal, or '' if the request is admitted.
    """
    _recover_share(state, at)
    is_batch = priority < state.batch_below
    if left_s <= 0:
        return "late"
    if is_batch and state.in_flight >= state.batch_share * state.limit:
        return "batch-shed"
    if state.in_flight >= state.limit:
        record_overload(state, priority)
        return "overloaded"
    if predict_wait(state, at, service) > left_s:
        return "predicted-wait"
    state.in_flight += 1
    return ""


def record_end(
    state: State, at: float, service: str, took_s: float, counts: bool
) -> None:
    """Records the end of an admitted request.

    Args:
        state: The entry's admission state.
        at: Now, monotonic seconds.
        service: Requested service.
        took_s: Seconds since the request was admitted.
        counts: Whether the latency counts: a minion answered, or the deadline
            passed at the minion.
    """
    state.in_flight -= 1
    if not counts:
        return
    estimate = state.estimates.setdefault(service, Estimate(took_s, at))
    estimate.latency_s += WEIGHT * (took_s - estimate.latency_s)
    estimate.at = at


def record_overload(state: State, priority: int) -> None:
    """Halves the batch share after a latency-critical request is refused."""
    if priority >= state.batch_below:
        state.batch_share = max(MIN_BATCH_SHARE, state.batch_share / 2)


def predict_wait(state: State, at: float, service: str) -> float:
    """Returns the predicted latency of a request, seconds.

    The estimate halves for each HALF_LIFE_S without an ended request.
    Otherwise a high estimate could refuse all requests for ever.
    """
    estimate = state.estimates.get(service)
    if estimate is None:
        return 0.0
    idle_s = max(0.0, at - estimate.at)
    return estimate.latency_s * 0.5 ** (idle_s / HALF_LIFE_S)


def _recover_share(state: State, at: float) -> None:
    passed_s = at - state.shared_at
    state.shared_at = at
    state.batch_share = min(1.0, state.batch_share + RECOVERY_PER_S * passed_s)
