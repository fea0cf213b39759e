"""Stores the learned interference model in the log for the next owner.

Each pair of a best-effort and a latency-critical task takes many samples. An
owner that begins without them places heavy best-effort tasks beside tasks that
they slow down until it has measured every pair.
"""

import msgpack

from poplarspindle import interference
from poplarspindle.fleet import records

MODEL_KEY = "slowdown"
SAVE_INTERVAL_S = 3.0
MIN_SAMPLES = 3
MAX_PAIRS = 2000
# Conditions change between two owners: estimates become less certain.
VARIANCE_FACTOR = 1.5


def encode_model(model: interference.Model) -> records.Record:
    """Encodes a model, without pairs that have few samples."""
    services = [
        [
            name,
            service.baseline.mean,
            service.baseline.variance,
            service.growth.mean,
        ]
        for name, service in model.services.items()
    ]
    pairs = [
        [*pair, round(weight.mean, 3), round(weight.variance, 3), weight.count]
        for pair, weight in model.weights.items()
        if weight.count >= MIN_SAMPLES
    ]
    value = [records.FORMAT_VERSION, services, pairs[-MAX_PAIRS:]]
    return records.Record(MODEL_KEY, msgpack.packb(value))


def decode_model(value: bytes, at: float) -> interference.Model:
    """Decodes a model.

    Args:
        value: Value of the log record.
        at: Time given to the estimates, on this node's clock.

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
        weight = model.touch_weight(service, family, at)
        weight.mean, weight.count = mean, count
        weight.variance = min(
            variance * VARIANCE_FACTOR, interference.WEIGHT_VARIANCE
        )
    return model
