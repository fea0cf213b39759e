"""Which minions are ejected for a while, and how they come back.

Ejected are those that fail again and again, those far slower than the rest,
and those that went silent. A bounded share is ejected at most: past that the
fault is more likely ours or everybody's. After its time an ejected minion
gets one request as a probe, on a new connection.
"""

import dataclasses
import enum
import statistics

PROBE_ANY_S = 5.0
REVIEW_S = 0.1
STALE_S = 1.0


class Phase(enum.Enum):
    """How far a minion is trusted."""

    TRUSTED = "trusted"
    EJECTED = "ejected"
    PROBING = "probing"


TRUSTED = Phase.TRUSTED


@dataclasses.dataclass(frozen=True, slots=True)
class Rules:
    """When minions are ejected.

    Attributes:
        max_failures: Failures in a row.
        slow_factor: Latency against the median of all.
        slow_floor_s: Latency below which none counts as slow.
        min_samples: Answers before latency or errors count.
        max_error_share: Share of error answers, where others have fewer.
        silent_s: Time without any answer, requests outstanding.
        silent_factor: The same, in recent latencies.
        first_ejection_s: Length of the first ejection; doubles each time.
        max_ejection_s: Longest ejection.
        max_ejected_share: Greatest share of minions ejected at once.
        weight: Weight of the newest sample in averages.
    """

    max_failures: int = 3
    slow_factor: float = 4.0
    slow_floor_s: float = 0.02
    min_samples: int = 5
    max_error_share: float = 0.5
    silent_s: float = 1.0
    silent_factor: float = 10.0
    first_ejection_s: float = 1.0
    max_ejection_s: float = 30.0
    max_ejected_share: float = 0.3
    weight: float = 0.1


@dataclasses.dataclass(slots=True)
class Health:
    """What an entry saw of one minion.

    Attributes:
        phase: How far it is trusted.
        until: End of the ejection, monotonic seconds.
        ejections: Ejections in a row.
        latency_s: Recent latency, 0 where unknown.
        errors: Recent share of error answers.
        samples: Answers since it was last trusted.
        failures: Failures in a row.
        last_answer_at: Last answer of any kind.
    """

    phase: Phase = Phase.TRUSTED
    until: float = 0.0
    ejections: int = 0
    latency_s: float = 0.0
    errors: float = 0.0
    samples: int = 0
    failures: int = 0
    last_answer_at: float = 0.0


def record_answer(
    health: Health, rules: Rules, at: float, took_s: float, is_error: bool
) -> bool:
    """Notes a whole answer; returns whether it ended an ejection."""
    health.last_answer_at = at
    health.failures = 0
    health.samples += 1
    health.errors += rules.weight * (is_error - health.errors)
    if not is_error:
        weight = max(rules.weight, 1 / health.samples)
        health.latency_s += weight * (took_s - health.latency_s)
    if health.phase is not Phase.PROBING:
        return False
    health.phase = Phase.TRUSTED
    health.samples = 0
    health.errors = 0.0
    health.latency_s = 0.0 if is_error else took_s
    return True


def predict_latency(health: Health, at: float) -> float:
    """Returns the latency to expect, 0 where unknown.

    It halves with each STALE_S without an answer: a minion that is picked no
    more for one bad sample must be picked again some time.
    """
    return health.latency_s * 0.5 ** ((at - health.last_answer_at) / STALE_S)


def record_refusal(health: Health, at: float) -> None:
    """Notes that a minion answered that it is full: it lives."""
    health.last_answer_at = at
    health.failures = 0
    if health.phase is Phase.PROBING:
        health.phase = Phase.TRUSTED


def record_failure(health: Health, rules: Rules, at: float) -> bool:
    """Notes a failure; returns whether the minion should be ejected."""
    health.failures += 1
    if health.phase is Phase.PROBING:
        eject(health, rules, at)
        return False
    return (
        health.phase is Phase.TRUSTED and health.failures >= rules.max_failures
    )


def record_inconclusive(health: Health, at: float) -> None:
    """Notes a send that says nothing, such as one given up by us."""
    if health.phase is Phase.PROBING:
        health.phase = Phase.EJECTED
        health.until = at


def eject(health: Health, rules: Rules, at: float) -> None:
    """Ejects a minion, longer each time."""
    length_s = min(
        rules.max_ejection_s, rules.first_ejection_s * 2**health.ejections
    )
    health.phase = Phase.EJECTED
    health.until = at + length_s
    health.ejections += 1
    health.failures = 0


def may_eject(all_health: list[Health], rules: Rules) -> bool:
    """Tells whether the share of ejected minions leaves room for one more."""
    out = sum(health.phase is not Phase.TRUSTED for health in all_health)
    max_ejected = max(1, int(rules.max_ejected_share * len(all_health)))
    return len(all_health) > 1 and out + 1 <= max_ejected


def is_due(health: Health, at: float, idempotent: bool) -> bool:
    """Tells whether a request may go to an ejected minion as a probe.

    A request that must not run twice is spared for a while, since a probe
    that fails would leave its caller without an answer.
    """
    patience_s = 0.0 if idempotent else PROBE_ANY_S
    return health.phase is Phase.EJECTED and health.until + patience_s <= at


def find_fault(
    health: Health, rules: Rules, others: list[Health], oldest: float, at: float
) -> str:
    """Returns why a trusted minion should be ejected, or ''.

    Args:
        health: The minion.
        rules: When minions are ejected.
        others: All minions of the same service, itself included.
        oldest: When the oldest outstanding request was sent, or `at`.
        at: Now, monotonic seconds.
    """
    if health.phase is not Phase.TRUSTED:
        return ""
    patience_s = max(rules.silent_s, rules.silent_factor * health.latency_s)
    if at - oldest > patience_s and health.last_answer_at < oldest:
        return "silent"
    if health.samples < rules.min_samples:
        return ""
    known = [o for o in others if o.samples >= rules.min_samples]
    errors = statistics.median(o.errors for o in known)
    if health.errors > rules.max_error_share > 2 * errors:
        return "errors"
    middle_s = statistics.median(o.latency_s for o in known)
    bound_s = max(rules.slow_floor_s, rules.slow_factor * middle_s)
    return "slow" if health.latency_s > bound_s else ""
