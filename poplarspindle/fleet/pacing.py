"""Sets the pace of best-effort runs beside latency-critical runs.

A run's pace is the percentage of full speed at which its worker runs it. Load
pattern: a best-effort run slows down the latency-critical runs of its worker by
an amount that no caller declares, that differs by image and that shows only in
their tail latency, half a second late. What the tail model learned of each pair
of images decides which best-effort tasks may start beside which
latency-critical tasks, and at which pace. While a pair is not trusted yet, each
measurement changes the pace by one step.
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

# Tail latency as a share of its target: runs are slowed down from the high
# share on and sped up below the low one.
HIGH_TAIL_SHARE = 0.85
LOW_TAIL_SHARE = 0.6
OVER_TARGET_SHARE = 1.0
PLACEMENT_TAIL_SHARE = 0.8  # Limit when a new best-effort run is placed.
PACING_TAIL_SHARE = 0.9  # Limit when paces are planned.
PAUSE_AFTER_SHARE = 0.4  # Of the time that a target may be missed.
PACE_INTERVAL_S = 0.55  # A tail is measured over the last half second.
SLOW_DOWN_FACTOR = 0.5
SPEED_UP_STEP_PERCENT = 20
MIN_PACE_PERCENT = 10
MIN_PACE_CHANGE_PERCENT = 8  # Smaller changes aren't worth an order.
NEGLIGIBLE_SLOWDOWN = 0.03  # Not measurable in a tail latency.
MOVE_PACE_PERCENT = 25
MIN_RUN_BEFORE_MOVE_S = 1.0
MAX_MOVES = 3


def list_best_effort(
    worker: worker_state.WorkerState,
) -> list[worker_state.Run]:
    """Lists the best-effort runs that a worker has confirmed."""
    return [
        run
        for run in worker.runs.values()
        if run.step.best_effort and run.confirmed and not run.stopping
    ]


def get_headroom(
    fleet: fleet_state.FleetState, worker: worker_state.WorkerState
) -> dict[str, float]:
    """Returns the headroom left for new best-effort runs, by image.

    Caches it in `worker.headroom_by_image`. The headroom is the logarithm
    of the factor by which the tail latency of an image's runs may still rise.
    """
    if worker.headroom_by_image is None:
        headroom = tail_model.compute_headroom(
            fleet.tail_model,
            worker,
            fleet.now,
            PLACEMENT_TAIL_SHARE,
            fleet.mechanisms,
        )
        best_effort_runs = [
            run for run in worker.runs.values() if run.step.best_effort
        ]
        worker.headroom_by_image = {
            image: image_headroom
            - sum(
                tail_model.estimate_slowdown(
                    fleet.tail_model, worker, image, run
                )
                * max(run.percent, MIN_PACE_PERCENT)
                / 100
                for run in best_effort_runs
            )
            for image, image_headroom in headroom.items()
        }
    return worker.headroom_by_image


def make_predictor(
    fleet: fleet_state.FleetState, step: work.Step, weights: dict[str, float]
) -> Callable[[worker_state.WorkerState], float]:
    """Makes a function that predicts a task's headroom use on a worker.

    Args:
        fleet: State with the tail model.
        step: The best-effort step.
        weights: Cache of the weight of the step's image, by latency-critical
            image. Steps of one image may share it until the model changes.

    Returns:
        A function that returns 0 if the task slows down no latency-critical
        run noticeably, and more than 1 if a tail latency would come too near
        its target.
    """

    def predict(worker: worker_state.WorkerState) -> float:
        headroom = worker.headroom_by_image
        if headroom is None:
            headroom = get_headroom(fleet, worker)
        if not headroom:
            return 0.0
        share = tail_model.get_requested_share(worker, step)
        max_use = 0.0
        for image, image_headroom in headroom.items():
            weight = weights.get(image)
            if weight is None:
                weight = tail_model.estimate_weight(
                    fleet.tail_model, image, step.image
                )
                weights[image] = weight
            slowdown = weight * share
            if slowdown > NEGLIGIBLE_SLOWDOWN:
                use = slowdown / max(image_headroom, NEGLIGIBLE_SLOWDOWN / 100)
                if use > max_use:
                    max_use = use
        return max_use

    return predict


def predict_headroom_use(
    fleet: fleet_state.FleetState,
    worker: worker_state.WorkerState,
    step: work.Step,
) -> float:
    """Predicts the share of a worker's headroom that a task would use."""
    return make_predictor(fleet, step, {})(worker)


def estimate_impact(
    fleet: fleet_state.FleetState,
    latency_critical: list[worker_state.Run],
    best_effort_run: worker_state.Run,
) -> float:
    """Estimates how strongly a best-effort run slows down critical runs.

    Returns:
        Largest weight on one of them, times the processors it asks for.
    """
    weights = (
        fleet.interference_weights.find_weight(
            run.step.image, best_effort_run.step.image
        ).mean
        for run in latency_critical
    )
    return max(weights, default=0.0) * best_effort_run.step.need.millicores


def review_paces(
    fleet: fleet_state.FleetState, worker: worker_state.WorkerState
) -> list:
    """Reviews the paces of a worker's best-effort runs after its report.

    Returns:
        Orders to change paces or stop runs, and a log note.
    """
    worker.headroom_by_image = None
    latency_critical = tail_model.list_measured_runs(worker)
    best_effort_runs = list_best_effort(worker)
    tail_ratio = max(
        (
            critical_run.usage / critical_run.step.target_ms
            for critical_run in latency_critical
        ),
        default=0.0,
    )
    if tail_ratio < OVER_TARGET_SHARE:
        worker.target_missed_since = float("inf")
    else:
        worker.target_missed_since = min(worker.target_missed_since, fleet.now)
    tail_model.learn(fleet.tail_model, worker, fleet.now)
    worker.tails_need_watch = tail_ratio >= HIGH_TAIL_SHARE or any(
        run.percent != 100 for run in best_effort_runs
    )
    if not best_effort_runs or fleet.now - worker.paced_at < PACE_INTERVAL_S:
        return []
    over_s = fleet.now - worker.target_missed_since
    pause = over_s >= PAUSE_AFTER_SHARE * fleet.harm_ms / 1000
    if (
        pause
        or not fleet.mechanisms.plan_paces
        or not are_pairs_trusted(fleet, latency_critical, best_effort_runs)
    ):
        new_paces = choose_paces(
            fleet, latency_critical, best_effort_runs, tail_ratio, pause
        )
    else:
        new_paces = plan_paces(fleet, worker, best_effort_runs)
    if not new_paces:
        return []
    worker.tails_need_watch = True
    worker.paced_at = fleet.now
    effect_list: list = []
    for run in best_effort_runs:
        if run.key in new_paces:
            run.percent = new_paces[run.key]
            effect_list.append(make_pace_order(fleet, worker, run))
    if fleet.mechanisms.move_slowed:
        effect_list += stop_slowed_runs(fleet, worker, best_effort_runs)
    effect_list.append(
        fleet_state.make_log_note(
            "pacing",
            "paced",
            worker=worker.info.name,
            ratio=round(tail_ratio, 2),
            over_s=round(max(0.0, over_s), 1),
            paces=[
                (paced_run.step.image, paced_run.percent)
                for paced_run in best_effort_runs
                if paced_run.key in new_paces
            ],
            fills=len(best_effort_runs),
        )
    )
    return effect_list


def are_pairs_trusted(
    fleet: fleet_state.FleetState,
    latency_critical: list[worker_state.Run],
    best_effort_runs: list[worker_state.Run],
) -> bool:
    """Returns whether the weights of all pairs of images are trusted."""
    images = {run.step.image for run in latency_critical}
    return all(
        interference.is_trusted(
            fleet.interference_weights, image, best_effort_image
        )
        for best_effort_image in {run.step.image for run in best_effort_runs}
        for image in images
    )


def plan_paces(
    fleet: fleet_state.FleetState,
    worker: worker_state.WorkerState,
    best_effort_runs: list[worker_state.Run],
) -> dict[tuple, int]:
    """Plans the paces at which all tail latencies stay below their targets.

    The image that exceeds its headroom most is handled first: the run that
    slows it down most is slowed by as much as needed, or paused.

    Returns:
        New pace in percent by run, for runs whose pace changes.
    """
    headroom = tail_model.compute_headroom(
        fleet.tail_model,
        worker,
        fleet.now,
        PACING_TAIL_SHARE,
        fleet.mechanisms,
    )
    paces = {run.key: 1.0 for run in best_effort_runs}
    slowdowns = {
        image: {
            run.key: tail_model.estimate_slowdown(
                fleet.tail_model, worker, image, run
            )
            for run in best_effort_runs
        }
        for image in headroom
    }
    for _ in range(len(best_effort_runs) * max(1, len(headroom))):
        excess = {
            image: sum(
                paces[key] * slowdown for key, slowdown in run_slowdowns.items()
            )
            - headroom[image]
            for image, run_slowdowns in slowdowns.items()
        }
        image = max(excess, key=excess.get, default=None)
        if image is None or excess[image] <= 0:
            break
        run_slowdowns = slowdowns[image]
        reducible = [
            key
            for key in run_slowdowns
            if paces[key] and run_slowdowns[key] > NEGLIGIBLE_SLOWDOWN
        ]
        if not reducible:
            break
        strongest = max(
            reducible, key=lambda key: (run_slowdowns[key], repr(key))
        )
        pace = paces[strongest] - excess[image] / run_slowdowns[strongest]
        paces[strongest] = pace if pace * 100 >= MIN_PACE_PERCENT else 0.0
    planned = {run.key: int(100 * paces[run.key]) for run in best_effort_runs}
    return {
        run.key: planned[run.key]
        for run in best_effort_runs
        if abs(planned[run.key] - run.percent) >= MIN_PACE_CHANGE_PERCENT
        or (planned[run.key] != run.percent and planned[run.key] in (0, 100))
    }


def stop_slowed_runs(
    fleet: fleet_state.FleetState,
    worker: worker_state.WorkerState,
    best_effort_runs: list[worker_state.Run],
) -> list:
    """Stops best-effort runs that the worker has to run slowly.

    A task that checkpoints resumes on another worker and makes room for tasks
    that interfere less. It is moved at most MAX_MOVES times.
    """
    effect_list: list = []
    for run in best_effort_runs:
        if (
            run.percent <= MOVE_PACE_PERCENT
            and run.step.checkpoints
            and run.attempt <= MAX_MOVES
            and fleet.now - run.first_seen_at >= MIN_RUN_BEFORE_MOVE_S
        ):
            effect_list += fleet_state.stop_run(fleet, worker, run)
    return effect_list


def choose_paces(
    fleet: fleet_state.FleetState,
    latency_critical: list[worker_state.Run],
    best_effort_runs: list[worker_state.Run],
    tail_ratio: float,
    pause: bool,
) -> dict[tuple, int]:
    """Changes paces by one step, or pauses all runs.

    Needs no trusted weights; `plan_paces` does.

    Args:
        fleet: State with the tail model.
        latency_critical: Runs whose tail latency is measured.
        best_effort_runs: The worker's best-effort runs.
        tail_ratio: Highest ratio of a tail latency to its target.
        pause: Whether a target was missed for too long.

    Returns:
        New pace in percent by run, for runs whose pace changes.
    """
    if pause:
        return {run.key: 0 for run in best_effort_runs if run.percent > 0}
    if tail_ratio >= HIGH_TAIL_SHARE:
        running = [run for run in best_effort_runs if run.percent > 0]
        impacts = {
            run.key: estimate_impact(fleet, latency_critical, run)
            for run in running
        }
        max_impact = max(impacts.values(), default=0.0)
        # Below the target only the run with the most impact is slowed down;
        # above it all runs with at least a quarter of that impact.
        min_impact = (
            max_impact if tail_ratio < OVER_TARGET_SHARE else max_impact / 4
        )
        return {
            run.key: _lower_pace(run.percent)
            for run in running
            if impacts[run.key] >= min_impact
        }
    if tail_ratio < LOW_TAIL_SHARE:
        return {
            run.key: min(100, run.percent + SPEED_UP_STEP_PERCENT)
            for run in best_effort_runs
            if run.percent < 100
        }
    return {}


def _lower_pace(percent: int) -> int:
    """Returns the next lower pace, 0 if that is below the minimum."""
    lower = int(percent * SLOW_DOWN_FACTOR)
    return lower if lower >= MIN_PACE_PERCENT else 0


def make_pace_order(
    fleet: fleet_state.FleetState,
    worker: worker_state.WorkerState,
    run: worker_state.Run,
) -> effects.Order:
    """Makes the order that sets a best-effort run's pace on its worker."""
    order = orders.Pace(run.name, run.attempt, fleet.epoch, run.percent)
    return effects.Order(worker.info.name, order)
