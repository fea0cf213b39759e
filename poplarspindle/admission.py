"""Admission control: accepts or refuses a request before it is sent.

A request that cannot end before its deadline is refused at once. This costs
its caller little and leaves the minions to requests that can.
"""

import dataclasses

SPARE_THREADS_DIVISOR = 8
MIN_SPARE_THREADS = 2
ESTIMATE_HALF_LIFE_S = 1.0
LATENCY_WEIGHT = 0.1
MIN_BATCH_SHARE = 0.05
BATCH_SHARE_RECOVERY_PER_S = 0.2


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
        share_updated_at: When the share was last updated, monotonic seconds.
        estimates: Latency estimate by service.
    """

    limit: int
    batch_below: int
    in_flight: int = 0
    batch_share: float = 1.0
    share_updated_at: float = 0.0
    estimates: dict[str, Estimate] = dataclasses.field(default_factory=dict)


def compute_limit(threads: int) -> int:
    """Returns how many of an entry's threads may wait for minions.

    The other threads read, refuse and answer, so that a refusal never waits
    behind requests that wait for minions.
    """
    return max(
        1, threads - max(MIN_SPARE_THREADS, threads // SPARE_THREADS_DIVISOR)
    )


def admit(
    state: State, at: float, service: str, remaining_s: float, priority: int
) -> str:
    """Decides on one request; counts it as in flight if it is admitted.

    Args:
        state: The entry's admission state.
        at: Now, monotonic seconds.
        service: Requested service.
        remaining_s: Time left until the caller's deadline.
        priority: The service's priority in the document.

    Returns:
        The reason of the refusal, or '' if the request is admitted.
    """
    _recover_share(state, at)
    is_batch = priority < state.batch_below
    if remaining_s <= 0:
        return "late"
    if is_batch and state.in_flight >= state.batch_share * state.limit:
        return "batch-shed"
    if state.in_flight >= state.limit:
        record_overload(state, priority)
        return "overloaded"
    if predict_wait(state, at, service) > remaining_s:
        return "predicted-wait"
    state.in_flight += 1
    return ""


def record_end(
    state: State,
    at: float,
    service: str,
    duration_s: float,
    counts_latency: bool,
) -> None:
    """Records the end of an admitted request.

    Args:
        state: The entry's admission state.
        at: Now, monotonic seconds.
        service: Requested service.
        duration_s: Seconds since the request was admitted.
        counts_latency: Whether the duration updates the estimate: a minion
            answered, or the deadline passed at the minion.
    """
    state.in_flight -= 1
    if not counts_latency:
        return
    estimate = state.estimates.setdefault(service, Estimate(duration_s, at))
    estimate.latency_s += LATENCY_WEIGHT * (duration_s - estimate.latency_s)
    estimate.at = at


def record_overload(state: State, priority: int) -> None:
    """Halves the batch share after a latency-critical request is refused."""
    if priority >= state.batch_below:
        state.batch_share = max(MIN_BATCH_SHARE, state.batch_share / 2)


def predict_wait(state: State, at: float, service: str) -> float:
    """Returns the predicted latency of a request, seconds.

    The estimate halves for each ESTIMATE_HALF_LIFE_S without an ended request.
    Otherwise a high estimate could refuse all requests for ever.
    """
    estimate = state.estimates.get(service)
    if estimate is None:
        return 0.0
    idle_s = max(0.0, at - estimate.at)
    return estimate.latency_s * 0.5 ** (idle_s / ESTIMATE_HALF_LIFE_S)


def _recover_share(state: State, at: float) -> None:
    """Raises the batch share in proportion to the time since the last call."""
    elapsed_s = at - state.share_updated_at
    state.share_updated_at = at
    state.batch_share = min(
        1.0, state.batch_share + BATCH_SHARE_RECOVERY_PER_S * elapsed_s
    )
