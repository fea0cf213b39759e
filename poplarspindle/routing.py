"""Which minion a request goes to. Policies are plain functions.

Each takes the minions with room, with `sent` (requests of this entry at it)
and `latency_s` (its recent latency, 0 where unknown), and picks one.
"""

import random
import statistics


def pick_random(eligible: list, rng: random.Random):
    """Picks any."""
    return rng.choice(eligible)


def pick_two_choices(eligible: list, rng: random.Random):
    """Picks the one with fewer requests of this entry, out of two."""
    first, second = rng.choice(eligible), rng.choice(eligible)
    return first if first.sent <= second.sent else second


def pick_least_local(eligible: list, rng: random.Random):
    """Picks the one with the fewest requests of this entry."""
    least = min(minion.sent for minion in eligible)
    return rng.choice([m for m in eligible if m.sent == least])


def pick_least_expected(eligible: list, rng: random.Random):
    """Picks the one whose requests of this entry end soonest.

    A request is expected to take the recent latency times the requests in
    front of it; minions within a tenth of the best are drawn from at random,
    so that entries with the same picture don't all pick the same one.
    """
    known = [m.latency_s for m in eligible if m.latency_s > 0]
    middle_s = statistics.median(known) if known else 1.0
    costs = [(m.sent + 1) * (m.latency_s or middle_s) for m in eligible]
    bound = min(costs) * 1.1
    return rng.choice(
        [m for m, cost in zip(eligible, costs, strict=True) if cost <= bound]
    )


POLICIES = {
    "random": pick_random,
    "two_choices": pick_two_choices,
    "least_local": pick_least_local,
    "least_expected": pick_least_expected,
}
