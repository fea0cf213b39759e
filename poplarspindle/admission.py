"""Whether a request is let in, decided before anything is sent for it.

A request that can't end in time is refused at once: that costs its caller
little, and leaves the minions to requests that can.
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
    """How long requests of one service take now.

    Attributes:
        latency_s: Recent latency, waits included.
        at: When the last one ended.
    """

    latency_s: float = 0.0
    at: float = 0.0


@dataclasses.dataclass(slots=True)
class State:
    """What one entry admits by.

    Attributes:
        limit: Greatest number of requests sent for at once.
        batch_below: Services of a lower priority are batch.
        in_flight: Requests sent for now.
        batch_share: Share of the limit that batch may use.
        shared_at: When the share was last worked out.
        estimates: Estimate by service.
    """

    limit: int
    batch_below: int
    in_flight: int = 0
    batch_share: float = 1.0
    shared_at: float = 0.0
    estimates: dict[str, Estimate] = dataclasses.field(default_factory=dict)


def compute_limit(threads: int) -> int:
    """Returns how many of an entry's threads may wait for minions.

    The rest read, refuse and answer, so that a refusal never waits behind
    requests that do.
    """
    return max(1, threads - max(MIN_SPARE_THREADS, threads // SPARE_SHARE))


def admit(
    state: State, at: float, service: str, left_s: float, priority: int
) -> str:
    """Decides on one request; counts it as inside where it is let in.

    Args:
        state: The entry's state.
        at: Now, monotonic seconds.
        service: Service asked for.
        left_s: Time left until the caller's deadline.
        priority: The service's priority in the document.

    Returns:
        Why it is refused, or ''.
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
    """Notes the end of a request that was let in.

    Args:
        state: The entry's state.
        at: Now, monotonic seconds.
        service: Service asked for.
        took_s: Time since it was let in.
        counts: Whether a minion answered it, or its deadline passed there.
    """
    state.in_flight -= 1
    if not counts:
        return
    estimate = state.estimates.setdefault(service, Estimate(took_s, at))
    estimate.latency_s += WEIGHT * (took_s - estimate.latency_s)
    estimate.at = at


def record_overload(state: State, priority: int) -> None:
    """Notes that latency-critical work found no room: batch gives way."""
    if priority >= state.batch_below:
        state.batch_share = max(MIN_BATCH_SHARE, state.batch_share / 2)


def predict_wait(state: State, at: float, service: str) -> float:
    """Returns how long a request would take, seconds.

    The estimate halves with each HALF_LIFE_S that nothing ended, so that
    refusing on its account can't go on for ever.
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
