"""How fast filling work may go beside tasks that serve.

Load pattern: a fill disturbs the serving tasks of its worker by an amount
that nobody declares, that differs by image and that shows only in their
tails, half a second late. What is learned of each pair decides which fills
may start beside which serving tasks, and which one gives way first. Each
measurement moves the pace by one step at most.
"""

import math

from poplarspindle import interference
from poplarspindle.fleet import effects, fleet, orders, views, work

HOT_SHARE = 0.85
COOL_SHARE = 0.6
OVER_SHARE = 1.0
PAUSE_AFTER_SHARE = 0.4  # Of the time for which a target may be missed.
STEP_S = 0.55  # A tail is measured over the last half second.
STEADY_S = 0.5
DOWN_FACTOR = 0.5
UP_STEP = 20
SLOWEST = 10
LOAD = 0.5  # Workers do not tell the load of what serves.
MOVE_PACE = 25
MOVE_AFTER_S = 1.0
MOVES_MOST = 3
COOLING_S = 1.2
DOUBT = 0.7  # Standard deviations; a pair never seen is not taken for light.
UNSEEN_S = 0.8  # A tail is measured over half a second and read later.


def list_serving(hand: views.Hand) -> list[views.Run]:
    """Lists the runs of a worker whose tails are measured."""
    return [
        run
        for run in hand.runs.values()
        if run.step.target_ms and run.usage is not None
    ]


def list_fills(hand: views.Hand) -> list[views.Run]:
    """Lists the fills that a worker surely holds."""
    return [
        run
        for run in hand.runs.values()
        if run.step.fills and run.confirmed and not run.stopping
    ]


def find_shares(hand: views.Hand, fills: list[views.Run]) -> dict[str, float]:
    """Returns the part of a worker's processors that fills use, by image."""
    capacity = max(1, hand.worker.capacity.millicores)
    shares: dict[str, float] = {}
    for run in fills:
        used = run.usage
        if used is None:
            used = run.step.need.millicores * run.percent / 100
        image = run.step.image
        shares[image] = shares.get(image, 0.0) + used / capacity
    return shares


def learn(own: fleet.Fleet, hand: views.Hand) -> None:
    """Learns from a worker's report how much fills disturb what serves."""
    fills = list_fills(hand)
    steady = own.at - STEADY_S
    if hand.changed_at > steady:
        return
    shares = find_shares(hand, fills)
    for run in list_serving(hand):
        if run.first_seen_at < steady:
            interference.learn(
                own.slowdown, run.step.image, shares, LOAD, run.usage, own.at
            )


def find_weight(own: fleet.Fleet, image: str, fill: str) -> float:
    """Returns how strongly a fill may disturb an image, doubt included."""
    term = own.slowdown.find_weight(image, fill)
    return term.mean + DOUBT * math.sqrt(term.variance)


def predict_ratio(own: fleet.Fleet, hand: views.Hand, step: work.Step) -> float:
    """Predicts the worst tail over its target if a fill came to a worker.

    The load of what serves swings and is not told, so the prediction starts
    from the present tail; fills that came lately are not in it yet.
    """
    serving = list_serving(hand)
    if not serving:
        return 0.0
    if own.at < hand.hot_until:
        return math.inf
    capacity = max(1, hand.worker.capacity.millicores)
    unseen = {step.image: step.need.millicores / capacity}
    for run in hand.runs.values():
        if run.step.fills and own.at - run.first_seen_at < UNSEEN_S:
            share = run.step.need.millicores / capacity
            unseen[run.step.image] = unseen.get(run.step.image, 0.0) + share
    tails: dict[str, float] = {}
    for run in serving:
        tail = run.usage / run.step.target_ms
        tails[run.step.image] = max(tails.get(run.step.image, 0.0), tail)
    worst = 0.0
    for image, tail in tails.items():
        pushed = interference.weigh_load(LOAD) * sum(
            find_weight(own, image, fill) * share
            for fill, share in unseen.items()
        )
        worst = max(worst, tail * math.exp(min(pushed, 20.0)))
    return worst


def weigh_harm(
    own: fleet.Fleet, serving: list[views.Run], fill: views.Run
) -> float:
    """Returns how strongly a fill is thought to disturb what serves."""
    weights = (
        own.slowdown.find_weight(run.step.image, fill.step.image).mean
        for run in serving
    )
    return max(weights, default=0.0) * fill.step.need.millicores


def review(own: fleet.Fleet, hand: views.Hand) -> list:
    """Reviews the pace of a worker's fills after a report."""
    serving = list_serving(hand)
    fills = list_fills(hand)
    ratio = max((r.usage / r.step.target_ms for r in serving), default=0.0)
    if ratio < OVER_SHARE:
        hand.over_since = float("inf")
    else:
        hand.over_since = min(hand.over_since, own.at)
    if ratio >= HOT_SHARE:
        hand.hot_until = own.at + COOLING_S
    if not fills:
        return []
    learn(own, hand)
    if own.at - hand.paced_at < STEP_S:
        return []
    over_s = own.at - hand.over_since
    pause = over_s >= PAUSE_AFTER_SHARE * own.harm_ms / 1000
    chosen = choose_paces(own, serving, fills, ratio, pause)
    if not chosen:
        return []
    hand.paced_at = own.at
    found: list = []
    for run in fills:
        if run.key in chosen:
            run.percent = chosen[run.key]
            found.append(order_pace(own, hand, run))
    found += move_slowed(own, hand, fills)
    found.append(
        fleet.note(
            "pacing",
            "paced",
            worker=hand.worker.name,
            ratio=round(ratio, 2),
            over_s=round(max(0.0, over_s), 1),
            paces=[(r.step.image, r.percent) for r in fills if r.key in chosen],
            fills=len(fills),
        )
    )
    return found


def move_slowed(
    own: fleet.Fleet, hand: views.Hand, fills: list[views.Run]
) -> list:
    """Stops fills that a worker has to slow down for good.

    One that saves its progress goes on elsewhere and makes room for work
    that disturbs less; it is moved a few times at most.
    """
    found: list = []
    for run in fills:
        if (
            run.percent <= MOVE_PACE
            and run.step.saves
            and run.attempt <= MOVES_MOST
            and own.at - run.first_seen_at >= MOVE_AFTER_S
        ):
            found += fleet.stop_run(own, hand, run)
    return found


def choose_paces(
    own: fleet.Fleet,
    serving: list[views.Run],
    fills: list[views.Run],
    ratio: float,
    pause: bool,
) -> dict[tuple, int]:
    """Chooses new paces for a worker's fills.

    Args:
        own: What was learned.
        serving: Runs whose tails are measured.
        fills: The fills.
        ratio: Worst tail over its target.
        pause: Whether a target was missed for too long.

    Returns:
        New pace by run, of those that change.
    """
    if pause:
        return {run.key: 0 for run in fills if run.percent > 0}
    if ratio >= HOT_SHARE:
        working = [run for run in fills if run.percent > 0]
        harms = {run.key: weigh_harm(own, serving, run) for run in working}
        worst = max(harms.values(), default=0.0)
        # The worst ones give way; above the target all that matter do.
        least = worst if ratio < OVER_SHARE else worst / 4
        return {
            run.key: _lower(run.percent)
            for run in working
            if harms[run.key] >= least
        }
    if ratio < COOL_SHARE:
        return {
            run.key: min(100, run.percent + UP_STEP)
            for run in fills
            if run.percent < 100
        }
    return {}


def _lower(percent: int) -> int:
    lower = int(percent * DOWN_FACTOR)
    return lower if lower >= SLOWEST else 0


def order_pace(
    own: fleet.Fleet, hand: views.Hand, run: views.Run
) -> effects.Order:
    """Orders a worker to let a fill go at its pace."""
    order = orders.Pace(run.name, run.attempt, own.epoch, run.percent)
    return effects.Order(hand.worker.name, order)
