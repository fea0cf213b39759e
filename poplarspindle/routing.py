"""Which minion a request goes to. Policies are plain functions."""

import random


def pick_random(able: list, rng: random.Random):
    """Picks any."""
    return rng.choice(able)


def pick_two_choices(able: list, rng: random.Random):
    """Picks the one with fewer requests of this entry, out of two."""
    first, second = rng.choice(able), rng.choice(able)
    return first if first.sent <= second.sent else second


def pick_least_local(able: list, rng: random.Random):
    """Picks the one with the fewest requests of this entry."""
    least = min(minion.sent for minion in able)
    return rng.choice([m for m in able if m.sent == least])


POLICIES = {
    "random": pick_random,
    "two_choices": pick_two_choices,
    "least_local": pick_least_local,
}
