"""What an owner learned, kept in the log for the next one.

Pairs of fills and serving tasks take many samples; an owner that begins with
none places heavy fills beside what they disturb until it has seen them all.
"""

import msgpack

from poplarspindle import interference
from poplarspindle.fleet import records

MEMORY_KEY = "slowdown"
SAVE_S = 3.0
COUNT_LEAST = 3
PAIRS_MOST = 2000
# Conditions change between two owners: what was learned is less sure.
VARIANCE_FACTOR = 1.5


def encode_model(model: interference.Model) -> records.Record:
    """Encodes a model; pairs that were hardly seen are left out."""
    services = [
        [name, known.baseline.mean, known.baseline.variance, known.growth.mean]
        for name, known in model.services.items()
    ]
    pairs = [
        [*pair, round(term.mean, 3), round(term.variance, 3), term.count]
        for pair, term in model.weights.items()
        if term.count >= COUNT_LEAST
    ]
    value = [records.FORMAT_VERSION, services, pairs[-PAIRS_MOST:]]
    return records.Record(MEMORY_KEY, msgpack.packb(value))


def decode_model(value: bytes, at: float) -> interference.Model:
    """Decodes a model as known at `at`, own clock.

    Raises:
        ValueError: The value is malformed.
    """
    _, services, pairs = records.unpack(value)
    model = interference.Model()
    for name, mean, variance, growth in services:
        model.services[name] = interference.Service(
            interference.GaussianEstimate(
                mean, variance * VARIANCE_FACTOR, at, 1
            ),
            interference.GaussianEstimate(
                growth, interference.GROWTH_VARIANCE, at, 1
            ),
        )
    for service, family, mean, variance, count in pairs:
        term = model.touch_weight(service, family, at)
        term.mean, term.count = mean, count
        term.variance = min(
            variance * VARIANCE_FACTOR, interference.WEIGHT_VARIANCE
        )
    return model
