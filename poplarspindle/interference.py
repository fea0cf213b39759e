"""Learns how much batch families slow services, from delayed samples.

The logarithm of a service's tail latency on a worker is modelled as a sum:

    baseline + growth * load^2 + (BASE + load) * sum over families of
    weight[service, family] * share

where `share` is the family's part of the worker's processors after
throttling. Every term is a Gaussian estimate with a mean and a variance. A
sample corrects each term in proportion to its variance and its coefficient:
the least certain of several families on one worker is corrected most, and a
term that was measured often moves little. Variances grow with time, so old
samples slowly lose weight.
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
VARIANCE_GROWTH_PER_S = 0.002
MAX_VARIANCE = 6.0
MAX_PREDICTION_ERROR = 1.5
TRUSTED_VARIANCE = 1.5
PEAK_DECAY_PER_SAMPLE = 0.998
MAX_PAIRS = 20_000


@dataclasses.dataclass(slots=True)
class GaussianEstimate:
    """One learned number with its uncertainty.

    Attributes:
        mean: Best estimate.
        variance: Variance of the estimate.
        at: When it was last updated, local monotonic seconds.
        count: Number of samples that updated it.
    """

    mean: float
    variance: float
    at: float = 0.0
    count: int = 0


@dataclasses.dataclass(slots=True)
class Service:
    """The learned terms of one service, apart from batch families.

    Attributes:
        baseline: Logarithm of its tail latency, milliseconds, when idle.
        growth: Coefficient of the square of the load.
        load: Load in the last sample, as a share of nominal.
        peak: Highest recent load; decays with each sample.
    """

    baseline: GaussianEstimate
    growth: GaussianEstimate
    load: float = 0.5
    peak: float = 0.5


class Model:
    """The slowdown model of one instance; it is never written to the log.

    Attributes:
        services: Learned terms by service name.
        weights: Learned weights by service and family.
    """

    def __init__(self) -> None:
        self.services: dict[str, Service] = {}
        self.weights: dict[tuple[str, str], GaussianEstimate] = {}
        self._families: dict[str, set[str]] = {}

    def find_weight(self, service: str, family: str) -> GaussianEstimate:
        """Returns a pair's weight; the family's prior for an unseen pair."""
        weight = self.weights.get((service, family))
        return weight or GaussianEstimate(
            self._find_prior(family), WEIGHT_VARIANCE
        )

    def _find_prior(self, family: str) -> float:
        """Returns the mean of a family's weights with other services.

        WEIGHT_PRIOR counts as one of them, so one unusual pair does not
        determine the prior of the next.
        """
        known_weights = [
            (1 / max(term.variance, 0.1), term.mean)
            for service in self._families.get(family, ())
            if (term := self.weights[service, family]).count
        ]
        total = (
            sum(precision for precision, _ in known_weights)
            + 1 / WEIGHT_VARIANCE
        )
        weighted_sum = sum(
            precision * mean for precision, mean in known_weights
        )
        return (weighted_sum + WEIGHT_PRIOR / WEIGHT_VARIANCE) / total

    def touch_weight(
        self, service: str, family: str, at: float
    ) -> GaussianEstimate:
        """Returns a pair's weight for learning; creates it if missing.

        At MAX_PAIRS, the oldest pair is removed first.
        """
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


def compute_load_factor(load: float) -> float:
    """Returns how strongly batch work slows a service at a load."""
    return BASE + min(load, MAX_LOAD)


def predict(
    model: Model, service: str, shares: Mapping[str, float], load: float
) -> float | None:
    """Predicts a service's tail latency on a worker.

    Args:
        model: The slowdown model.
        service: Name of the service.
        shares: Share of the worker's processors by batch family.
        load: The service's load, as a share of nominal.

    Returns:
        Milliseconds, or None for a service never measured.
    """
    terms = model.services.get(service)
    if terms is None:
        return None
    weighted_share = sum(
        model.find_weight(service, family).mean * share
        for family, share in shares.items()
    )
    log_ms = terms.baseline.mean + terms.growth.mean * load * load
    return math.exp(
        min(log_ms + compute_load_factor(load) * weighted_share, 20.0)
    )


def learn(
    model: Model,
    service: str,
    shares: Mapping[str, float],
    load: float,
    latency_ms: float,
    at: float,
) -> None:
    """Updates the model with one delayed sample.

    Args:
        model: The slowdown model; changed in place.
        service: Name of the service.
        shares: Share of the worker's processors by batch family, as it was
            when the sample was taken.
        load: The service's load then, as a share of nominal.
        latency_ms: Its tail latency then; 0 or less is ignored.
        at: When the sample was taken, local monotonic seconds.
    """
    if latency_ms <= 0:
        return
    log_ms = math.log(latency_ms)
    terms = model.services.setdefault(
        service,
        Service(
            GaussianEstimate(log_ms, BASELINE_VARIANCE, at),
            GaussianEstimate(0.3, GROWTH_VARIANCE, at),
        ),
    )
    terms.load = load
    terms.peak = max(load, terms.peak * PEAK_DECAY_PER_SAMPLE)
    factor = compute_load_factor(load)
    parts = [(terms.baseline, 1.0), (terms.growth, load * load)]
    parts += [
        (model.touch_weight(service, family, at), share * factor)
        for family, share in shares.items()
        if share > 0
    ]
    update_estimates(parts, log_ms, at)
    for family in shares:
        term = model.weights.get((service, family))
        if term is not None:
            term.mean = min(max(term.mean, 0.0), MAX_WEIGHT)


def update_estimates(
    parts: Iterable[tuple[GaussianEstimate, float]],
    measured: float,
    at: float,
    noise: float = NOISE_VARIANCE,
    max_error: float = MAX_PREDICTION_ERROR,
) -> None:
    """Corrects each term by its part of the prediction error (Kalman gain).

    Args:
        parts: The terms, each with its coefficient in the sum.
        measured: The measured sum of all parts, including noise.
        at: When it was measured, local monotonic seconds.
        noise: Variance of the measurement noise.
        max_error: Limit of the prediction error; outliers are clamped.
    """
    for term, _ in parts:
        elapsed_s = max(0.0, at - term.at)
        term.at = max(term.at, at)
        variance = term.variance + VARIANCE_GROWTH_PER_S * elapsed_s
        term.variance = min(variance, MAX_VARIANCE)
    total_variance = (
        sum(coeff * coeff * term.variance for term, coeff in parts) + noise
    )
    residual = measured - sum(coeff * term.mean for term, coeff in parts)
    error = max(-max_error, min(max_error, residual))
    for term, coefficient in parts:
        gain = coefficient * term.variance / total_variance
        term.mean += gain * error
        term.variance *= 1 - gain * coefficient
        term.count += 1


def is_trusted(model: Model, service: str, family: str) -> bool:
    """Returns whether a pair's weight is certain enough to act on."""
    term = model.weights.get((service, family))
    return term is not None and term.variance <= TRUSTED_VARIANCE
