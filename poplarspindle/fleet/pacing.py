"""How fast filling work may go beside tasks that serve. Pure decisions.

Load pattern: a fill disturbs the serving tasks of its worker by an amount
that nobody declares and that shows only in their tails, half a second late.
So each measurement moves the pace by one step at most: down at once when a
tail nears its target, up slowly when all have room.
"""

from poplarspindle.fleet import effects, fleet, orders, views

HOT_SHARE = 0.85
COOL_SHARE = 0.6
STEP_S = 0.6  # A tail is measured over the last half second.
DOWN_FACTOR = 0.5
UP_STEP = 15
PACE_LEAST = 0
SLOWEST = 10


def choose_pace(pace: int, ratio: float) -> int:
    """Chooses the pace of a worker's fills.

    Args:
        pace: Present share of their speed, 0 to 100.
        ratio: Worst tail over its target.

    Returns:
        The new share.
    """
    if ratio >= HOT_SHARE:
        lower = int(pace * DOWN_FACTOR)
        return lower if lower >= SLOWEST else PACE_LEAST
    if ratio < COOL_SHARE:
        return min(100, pace + UP_STEP)
    return pace


def review(own: fleet.Fleet, hand: views.Hand) -> list:
    """Reviews a worker's pace after a report."""
    if own.at - hand.paced_at < STEP_S:
        return []
    ratios = [
        run.usage / run.step.target_ms
        for run in hand.runs.values()
        if run.step.target_ms and run.usage is not None
    ]
    fills = [r for r in hand.runs.values() if r.step.fills and r.confirmed]
    pace = choose_pace(hand.pace, max(ratios, default=0.0))
    if pace == hand.pace:
        return []
    if not fills and pace < hand.pace:
        return []
    before, hand.pace = hand.pace, pace
    hand.paced_at = own.at
    found = [order_pace(own, hand, run) for run in fills]
    return [
        *found,
        fleet.note(
            "pacing",
            "paced",
            worker=hand.worker.name,
            before=before,
            after=pace,
            ratio=round(max(ratios, default=0.0), 2),
            fills=len(fills),
        ),
    ]


def order_pace(
    own: fleet.Fleet, hand: views.Hand, run: views.Run
) -> effects.Order:
    """Orders a worker to let a fill go at the worker's pace."""
    order = orders.Pace(run.name, run.attempt, own.epoch, hand.pace)
    return effects.Order(hand.worker.name, order)
