"""How fast filling work may go beside tasks that serve.

Load pattern: a fill disturbs the serving tasks of its worker by an amount
that nobody declares, that differs by image and that shows only in their
tails, half a second late. What is learned of each pair decides which fills
may start beside which serving tasks and how fast they may go there. Pairs
not known yet are felt out: each measurement moves the pace by one step.
"""

from collections.abc import Callable

from poplarspindle import interference
from poplarspindle.fleet import (
    effects,
    fleet_state,
    orders,
    tail_model,
    work,
    worker_state,
)

HOT_SHARE = 0.85
COOL_SHARE = 0.6
OVER_SHARE = 1.0
PLACE_SHARE = 0.8  # Of the target, up to which a new fill may raise a tail.
PACE_SHARE = 0.9
PAUSE_AFTER_SHARE = 0.4  # Of the time for which a target may be missed.
STEP_S = 0.55  # A tail is measured over the last half second.
DOWN_FACTOR = 0.5
UP_STEP = 20
SLOWEST = 10
CHANGE_LEAST = 8  # Smaller changes of pace are not worth an order.
LIGHT = 0.03  # Pressure that does not show in a tail.
MOVE_PACE = 25
MOVE_AFTER_S = 1.0
MOVES_MOST = 3


def list_best_effort(
    worker: worker_state.WorkerState,
) -> list[worker_state.Run]:
    """Lists the fills that a worker surely holds."""
    return [
        run
        for run in worker.runs.values()
        if run.step.best_effort and run.confirmed and not run.stopping
    ]


def find_budgets(
    fleet: fleet_state.FleetState, worker: worker_state.WorkerState
) -> dict[str, float]:
    """Returns how far new fills may press on a worker, by image."""
    if worker.budgets is None:
        room = tail_model.find_room(
            fleet.tail_model, worker, fleet.at, PLACE_SHARE
        )
        fills = [run for run in worker.runs.values() if run.step.best_effort]
        worker.budgets = {
            image: left
            - sum(
                tail_model.find_pressure(fleet.tail_model, worker, image, run)
                * max(run.percent, SLOWEST)
                / 100
                for run in fills
            )
            for image, left in room.items()
        }
    return worker.budgets


def make_predictor(
    fleet: fleet_state.FleetState, step: work.Step, weights: dict[str, float]
) -> Callable[[worker_state.WorkerState], float]:
    """Makes the function that predicts a fill's harm on a worker.

    Args:
        fleet: What was learned.
        step: The fill's step.
        weights: Filled with how strongly its image presses, by image; may be
            shared by steps of one image as long as nothing is learned.

    Returns:
        A function that returns 0 where the fill disturbs nobody, and more
        than 1 where a tail would come too near its target.
    """

    def predict(worker: worker_state.WorkerState) -> float:
        share = tail_model.find_share(worker, step)
        worst = 0.0
        for image, budget in find_budgets(fleet, worker).items():
            weight = weights.get(image)
            if weight is None:
                weight = tail_model.find_weight(
                    fleet.tail_model, image, step.image
                )
                weights[image] = weight
            pressed = weight * share
            if pressed > LIGHT:
                worst = max(worst, pressed / max(budget, LIGHT / 100))
        return worst

    return predict


def predict_harm(
    fleet: fleet_state.FleetState,
    worker: worker_state.WorkerState,
    step: work.Step,
) -> float:
    """Predicts how much of what may be pressed a fill would take up."""
    return make_predictor(fleet, step, {})(worker)


def weigh_harm(
    fleet: fleet_state.FleetState,
    latency_critical: list[worker_state.Run],
    fill: worker_state.Run,
) -> float:
    """Returns how strongly a fill is thought to disturb what serves."""
    weights = (
        fleet.slowdown.find_weight(run.step.image, fill.step.image).mean
        for run in latency_critical
    )
    return max(weights, default=0.0) * fill.step.need.millicores


def review(
    fleet: fleet_state.FleetState, worker: worker_state.WorkerState
) -> list:
    """Reviews the pace of a worker's fills after a report."""
    worker.budgets = None
    latency_critical = tail_model.list_serving(worker)
    fills = list_best_effort(worker)
    ratio = max(
        (r.usage / r.step.target_ms for r in latency_critical), default=0.0
    )
    if ratio < OVER_SHARE:
        worker.over_since = float("inf")
    else:
        worker.over_since = min(worker.over_since, fleet.at)
    tail_model.learn(fleet.tail_model, worker, fleet.at)
    if not fills or fleet.at - worker.paced_at < STEP_S:
        return []
    over_s = fleet.at - worker.over_since
    pause = over_s >= PAUSE_AFTER_SHARE * fleet.harm_ms / 1000
    if pause or not knows_pairs(fleet, latency_critical, fills):
        chosen = choose_paces(fleet, latency_critical, fills, ratio, pause)
    else:
        chosen = plan_paces(fleet, worker, fills)
    if not chosen:
        return []
    worker.paced_at = fleet.at
    effect_list: list = []
    for run in fills:
        if run.key in chosen:
            run.percent = chosen[run.key]
            effect_list.append(order_pace(fleet, worker, run))
    effect_list += move_slowed(fleet, worker, fills)
    effect_list.append(
        fleet_state.make_note(
            "pacing",
            "paced",
            worker=worker.info.name,
            ratio=round(ratio, 2),
            over_s=round(max(0.0, over_s), 1),
            paces=[(r.step.image, r.percent) for r in fills if r.key in chosen],
            fills=len(fills),
        )
    )
    return effect_list


def knows_pairs(
    fleet: fleet_state.FleetState,
    latency_critical: list[worker_state.Run],
    fills: list[worker_state.Run],
) -> bool:
    """Tells whether all pairs on a worker were measured well enough."""
    images = {run.step.image for run in latency_critical}
    return all(
        interference.is_trusted(fleet.slowdown, image, fill)
        for fill in {run.step.image for run in fills}
        for image in images
    )


def plan_paces(
    fleet: fleet_state.FleetState,
    worker: worker_state.WorkerState,
    fills: list[worker_state.Run],
) -> dict[tuple, int]:
    """Plans the paces at which all tails stay below their targets.

    The fill that presses most on the tail that is highest gives way first,
    by as much as is needed.

    Returns:
        New pace by run, of those that change.
    """
    room = tail_model.find_room(fleet.tail_model, worker, fleet.at, PACE_SHARE)
    paces = {run.key: 1.0 for run in fills}
    pressed = {
        image: {
            run.key: tail_model.find_pressure(
                fleet.tail_model, worker, image, run
            )
            for run in fills
        }
        for image in room
    }
    for _ in range(len(fills) * max(1, len(room))):
        excess = {
            image: sum(paces[key] * part for key, part in parts.items())
            - room[image]
            for image, parts in pressed.items()
        }
        image = max(excess, key=excess.get, default=None)
        if image is None or excess[image] <= 0:
            break
        parts = pressed[image]
        working = [key for key in parts if paces[key] and parts[key] > LIGHT]
        if not working:
            break
        worst = max(working, key=lambda key: (parts[key], repr(key)))
        pace = paces[worst] - excess[image] / parts[worst]
        paces[worst] = pace if pace * 100 >= SLOWEST else 0.0
    planned = {run.key: int(100 * paces[run.key]) for run in fills}
    return {
        run.key: planned[run.key]
        for run in fills
        if abs(planned[run.key] - run.percent) >= CHANGE_LEAST
        or (planned[run.key] != run.percent and planned[run.key] in (0, 100))
    }


def move_slowed(
    fleet: fleet_state.FleetState,
    worker: worker_state.WorkerState,
    fills: list[worker_state.Run],
) -> list:
    """Stops fills that a worker has to slow down for good.

    One that saves its progress goes on elsewhere and makes room for work
    that disturbs less; it is moved a few times at most.
    """
    effect_list: list = []
    for run in fills:
        if (
            run.percent <= MOVE_PACE
            and run.step.checkpoints
            and run.attempt <= MOVES_MOST
            and fleet.at - run.first_seen_at >= MOVE_AFTER_S
        ):
            effect_list += fleet_state.stop_run(fleet, worker, run)
    return effect_list


def choose_paces(
    fleet: fleet_state.FleetState,
    latency_critical: list[worker_state.Run],
    fills: list[worker_state.Run],
    ratio: float,
    pause: bool,
) -> dict[tuple, int]:
    """Chooses new paces for a worker's fills.

    Args:
        fleet: What was learned.
        latency_critical: Runs whose tails are measured.
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
        harms = {
            run.key: weigh_harm(fleet, latency_critical, run) for run in working
        }
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
    fleet: fleet_state.FleetState,
    worker: worker_state.WorkerState,
    run: worker_state.Run,
) -> effects.Order:
    """Orders a worker to let a fill go at its pace."""
    order = orders.Pace(run.name, run.attempt, fleet.epoch, run.percent)
    return effects.Order(worker.info.name, order)
