"""Tests of the learned slowdown model."""

import math

import pytest

from poplarspindle import interference

BASELINE_MS = 50.0


def learn_samples(model, weights, rounds=60, service="quotes", first_step=0):
    """Learns noiseless samples in which no two families always coincide."""
    for step in range(first_step, first_step + rounds):
        load = 0.4 + 0.2 * (step % 4)
        shares = {
            family: 0.1 * (step * (i + 1) // (i + 2) % 4)
            for i, family in enumerate(weights)
        }
        weighted_share = sum(weights[f] * s for f, s in shares.items())
        factor = interference.compute_load_factor(load)
        latency = BASELINE_MS * math.exp(
            0.2 * load * load + factor * weighted_share
        )
        interference.learn(model, service, shares, load, latency, float(step))


@pytest.mark.parametrize(
    ("weights", "slowing"),
    [
        ({"noisy": 4.0, "mild": 0.1}, "noisy"),
        ({"mild": 0.1, "noisy": 4.0, "other": 0.2}, "noisy"),
        ({"a": 3.0, "b": 0.0, "c": 0.0, "d": 0.0}, "a"),
    ],
)
def test_weight_goes_to_family_that_slows_service(weights, slowing):
    model = interference.Model()
    learn_samples(model, weights)
    learned = {f: model.find_weight("quotes", f).mean for f in weights}
    assert max(learned, key=learned.get) == slowing
    assert all(
        learned[slowing] > 3 * learned[f] for f in learned if f != slowing
    )


@pytest.mark.parametrize("load", [0.4, 0.8, 1.0])
def test_prediction_after_learning(load):
    model = interference.Model()
    learn_samples(model, {"noisy": 4.0, "mild": 0.1})
    shares = {"noisy": 0.2, "mild": 0.2}
    factor = interference.compute_load_factor(load)
    expected = BASELINE_MS * math.exp(0.2 * load * load + factor * (0.8 + 0.02))
    predicted = interference.predict(model, "quotes", shares, load)
    assert predicted == pytest.approx(expected, rel=0.25)


def test_unseen_pair_gets_prior_of_its_family():
    model = interference.Model()
    learn_samples(model, {"noisy": 6.0, "mild": 0.0}, service="quotes")
    noisy = model.find_weight("dispatch", "noisy").mean
    mild = model.find_weight("dispatch", "mild").mean
    assert noisy > interference.WEIGHT_PRIOR > mild
    assert not interference.is_trusted(model, "dispatch", "noisy")
    assert interference.is_trusted(model, "quotes", "noisy")


def test_learned_weight_follows_change():
    model = interference.Model()
    learn_samples(model, {"noisy": 4.0})
    learn_samples(model, {"noisy": 0.3}, rounds=200, first_step=1000)
    assert model.find_weight("quotes", "noisy").mean < 1.0


def test_unmeasured_service_is_not_predicted():
    model = interference.Model()
    assert interference.predict(model, "quotes", {}, 0.5) is None
    interference.learn(model, "quotes", {}, 0.5, 0.0, 1.0)
    assert interference.predict(model, "quotes", {}, 0.5) is None


def test_number_of_pairs_is_bounded(monkeypatch):
    monkeypatch.setattr(interference, "MAX_PAIRS", 10)
    model = interference.Model()
    for index in range(50):
        interference.learn(model, "s", {f"f{index}": 0.1}, 0.5, 60.0, 1.0)
    assert len(model.weights) <= 10
