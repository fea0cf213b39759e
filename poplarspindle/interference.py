"""Slowdown between services and batch families, learned from late samples.

The logarithm of a service's tail latency on a worker is taken as a sum:

    own + growth * load^2 + (BASE + load) * sum over families of
    weight[service, family] * share

where `share` is the family's part of the worker's processors, limits by
throttling included. Every term is a mean with a variance. A sample moves
the terms in proportion to their variance and their part in it, so several
families on one worker share the blame by how unsure each is, and a term
that was measured often moves little. Variances grow with time: what was
learned is slowly forgotten.
"""

import dataclasses
import math
from collections.abc import Iterable, Mapping

BASE = 0.3
MAX_LOAD = 2.5
NOISE_VARIANCE = 0.03
BASELINE_VARIANCE = 1.0
GROWTH_VARIANCE = 0.3
WEIGHT_VARIANCE = 6.0
WEIGHT_PRIOR = 1.0
MAX_WEIGHT = 30.0
FORGET_PER_S = 0.002
MAX_VARIANCE = 6.0
MAX_SURPRISE = 1.5
TRUSTED_VARIANCE = 1.5
PEAK_DECAY_PER_SAMPLE = 0.998
MAX_PAIRS = 20_000


@dataclasses.dataclass(slots=True)
class GaussianEstimate:
    """One learned number.

    Attributes:
        mean: Best estimate.
        variance: How unsure it is.
        at: When it was last changed, own clock.
        count: Samples that moved it.
    """

    mean: float
    variance: float
    at: float = 0.0
    count: int = 0


@dataclasses.dataclass(slots=True)
class Service:
    """What is learned of a service by itself.

    Attributes:
        baseline: Logarithm of its tail latency, milliseconds, when idle.
        growth: How that grows with the square of the load.
        load: Last load seen.
        peak: Highest load seen lately.
    """

    baseline: GaussianEstimate
    growth: GaussianEstimate
    load: float = 0.5
    peak: float = 0.5


class Model:
    """All that is learned of slowdown; one instance's, never in the log.

    Attributes:
        services: By service name.
        weights: By service and family.
    """

    def __init__(self) -> None:
        self.services: dict[str, Service] = {}
        self.weights: dict[tuple[str, str], GaussianEstimate] = {}
        self._families: dict[str, set[str]] = {}

    def find_weight(self, service: str, family: str) -> GaussianEstimate:
        """Returns a pair's term; one never seen takes its kin's mean."""
        known = self.weights.get((service, family))
        return known or GaussianEstimate(
            self._find_prior(family), WEIGHT_VARIANCE
        )

    def _find_prior(self, family: str) -> float:
        """Returns the mean of a family's weights with other services.

        The general prior counts as one of them, so one odd pairing does not
        decide about the next.
        """
        kin = [
            (1 / max(term.variance, 0.1), term.mean)
            for service in self._families.get(family, ())
            if (term := self.weights[service, family]).count
        ]
        total = sum(trust for trust, _ in kin) + 1 / WEIGHT_VARIANCE
        weighed = sum(trust * mean for trust, mean in kin)
        return (weighed + WEIGHT_PRIOR / WEIGHT_VARIANCE) / total

    def touch_weight(
        self, service: str, family: str, at: float
    ) -> GaussianEstimate:
        """Returns a pair's term for learning, kept from now on."""
        key = (service, family)
        if key not in self.weights:
            if len(self.weights) >= MAX_PAIRS:
                self._forget_pair(next(iter(self.weights)))
            prior = self._find_prior(family)
            self.weights[key] = GaussianEstimate(prior, WEIGHT_VARIANCE, at)
            self._families.setdefault(family, set()).add(service)
        return self.weights[key]

    def _forget_pair(self, key: tuple[str, str]) -> None:
        service, family = key
        del self.weights[key]
        self._families[family].discard(service)


def weigh_load(load: float) -> float:
    """Returns how strongly co-runners bear on a service at a load."""
    return BASE + min(load, MAX_LOAD)


def predict(
    model: Model, service: str, shares: Mapping[str, float], load: float
) -> float | None:
    """Predicts a service's tail latency on a worker.

    Args:
        model: What was learned.
        service: Name of the service.
        shares: Part of the worker's processors by batch family.
        load: The service's load, as a share of nominal.

    Returns:
        Milliseconds, or None for a service never measured.
    """
    known = model.services.get(service)
    if known is None:
        return None
    pushed = sum(
        model.find_weight(service, family).mean * share
        for family, share in shares.items()
    )
    alone = known.baseline.mean + known.growth.mean * load * load
    return math.exp(min(alone + weigh_load(load) * pushed, 20.0))


def learn(
    model: Model,
    service: str,
    shares: Mapping[str, float],
    load: float,
    latency_ms: float,
    at: float,
) -> None:
    """Takes in one late sample.

    Args:
        model: What was learned so far; changed in place.
        service: Name of the service.
        shares: Part of the worker's processors by batch family, as it was
            when the sample was taken.
        load: The service's load then.
        latency_ms: Its tail latency then.
        at: When the sample was taken, own clock.
    """
    if latency_ms <= 0:
        return
    seen = math.log(latency_ms)
    known = model.services.setdefault(
        service,
        Service(
            GaussianEstimate(seen, BASELINE_VARIANCE, at),
            GaussianEstimate(0.3, GROWTH_VARIANCE, at),
        ),
    )
    known.load = load
    known.peak = max(load, known.peak * PEAK_DECAY_PER_SAMPLE)
    factor = weigh_load(load)
    parts = [(known.baseline, 1.0), (known.growth, load * load)]
    parts += [
        (model.touch_weight(service, family, at), share * factor)
        for family, share in shares.items()
        if share > 0
    ]
    update_estimates(parts, seen, at)
    for family in shares:
        term = model.weights.get((service, family))
        if term is not None:
            term.mean = min(max(term.mean, 0.0), MAX_WEIGHT)


def update_estimates(
    parts: Iterable[tuple[GaussianEstimate, float]],
    seen: float,
    at: float,
    noise: float = NOISE_VARIANCE,
    max_surprise: float = MAX_SURPRISE,
) -> None:
    """Moves each term by its share of the surprise.

    Args:
        parts: The terms and how much each counts in what was seen.
        seen: What was seen: the sum of all parts, and noise.
        at: When it was seen, own clock.
        noise: Variance of the noise.
        max_surprise: Greatest difference that is taken for true.
    """
    for term, _ in parts:
        passed = max(0.0, at - term.at)
        term.at = max(term.at, at)
        grown = term.variance + FORGET_PER_S * passed
        term.variance = min(grown, MAX_VARIANCE)
    spread = sum(p * p * term.variance for term, p in parts) + noise
    missed = seen - sum(p * term.mean for term, p in parts)
    surprise = max(-max_surprise, min(max_surprise, missed))
    for term, part in parts:
        gain = part * term.variance / spread
        term.mean += gain * surprise
        term.variance *= 1 - gain * part
        term.count += 1


def is_trusted(model: Model, service: str, family: str) -> bool:
    """Tells whether a pair was measured well enough to act on."""
    term = model.weights.get((service, family))
    return term is not None and term.variance <= TRUSTED_VARIANCE
