"""Learns from tail latencies how best-effort runs slow down other runs.

The tail latency of a latency-critical run depends on the load of its job and on
the best-effort runs on its worker. All tasks of the job share its load, which
swings within seconds and isn't reported by workers. In logarithms the two add
up:

    log tail = level[job, step]
        + sum over best-effort images b of weight[image, b] * share[b]

where `share[b]` is the part of the worker's processors that runs of
image b used. Runs of one job on workers with few best-effort runs
determine its level, so that what other runs show above it is attributed to
their best-effort neighbours. Most pairs of images hardly interfere, some do
strongly: telling these apart matters more than exact weights.
"""

import dataclasses
import math

from poplarspindle import interference
from poplarspindle.fleet import mechanisms, work, worker_state

INITIAL_LEVEL_VARIANCE = 1.0
KNOWN_LEVEL_VARIANCE = 0.2  # A level with more is not used.
LEVEL_VARIANCE_GROWTH_PER_S = 0.06  # Loads swing and move levels that fast.
NOISE_VARIANCE = 0.02  # Of the logarithm of a tail latency.
MAX_PREDICTION_ERROR = 0.7  # Larger residuals of a logarithm are clipped.
TAIL_WINDOW_S = 0.8  # Workers measure over half a second; it is read later.
MIN_SAMPLE_INTERVAL_S = 0.2  # Workers renew their usage about that often.
PEAK_DECAY_PER_S = 0.01
MAX_LEVEL_RISE = 0.2  # Rise assumed while a best-effort run lasts.
MIN_LEVEL_AGE_S = 10.0  # Loads swing that slowly; before, the peak is unknown.
UNMEASURED_TAIL_SHARE = 0.6  # Of the target, assumed until measured.
# Standard deviations added to a weight, so that a pair never measured isn't
# treated as harmless.
UNCERTAINTY_DEVIATIONS = 0.7


@dataclasses.dataclass(slots=True)
class Level:
    """Tail latency of one latency-critical step without best-effort runs.

    Attributes:
        estimate: Logarithm of the tail latency in milliseconds.
        peak: Highest recent mean of the estimate, decays with time.
        first_measured_at: When it was first measured, local clock.
    """

    estimate: interference.GaussianEstimate
    peak: float
    first_measured_at: float


class Model:
    """What is learned of tail latencies.

    Attributes:
        pairs: Weights by latency-critical and best-effort image.
        levels: Levels by job id and step number.
    """

    def __init__(self) -> None:
        self.pairs = interference.Model()
        self.levels: dict[tuple[str, int], Level] = {}


def list_measured_runs(
    worker: worker_state.WorkerState,
) -> list[worker_state.Run]:
    """Lists the runs of a worker whose tail latency is measured."""
    return [
        run for run in worker.runs.values() if run.step.target_ms and run.usage
    ]


def compute_image_shares(
    worker: worker_state.WorkerState, at: float
) -> dict[str, float]:
    """Returns the share of processors used by best-effort runs, by image.

    Runs that ended within the measuring window of tail latencies count in part.
    """
    capacity = max(1, worker.info.capacity.millicores)
    shares: dict[str, float] = {}
    for run in worker.runs.values():
        if run.step.best_effort and run.confirmed:
            image = run.step.image
            shares[image] = shares.get(image, 0.0) + (run.usage or 0) / capacity
    for ended_at, image, used_millicores in worker.ended_best_effort:
        window_share = 1 - (at - ended_at) / TAIL_WINDOW_S
        if window_share > 0:
            shares[image] = (
                shares.get(image, 0.0)
                + window_share * used_millicores / capacity
            )
    return shares


def record_end(
    worker: worker_state.WorkerState, run: worker_state.Run, at: float
) -> None:
    """Records that a best-effort run ended.

    Tail latencies read after its end still include its effect.
    """
    if not run.step.best_effort:
        return
    recent = [
        entry
        for entry in worker.ended_best_effort
        if at - entry[0] < TAIL_WINDOW_S
    ]
    used_millicores = run.usage if run.usage is not None else 0
    worker.ended_best_effort = [*recent, (at, run.step.image, used_millicores)]


def learn(model: Model, worker: worker_state.WorkerState, at: float) -> None:
    """Updates levels and weights from a worker's report."""
    if at - worker.learned_at < MIN_SAMPLE_INTERVAL_S:
        return
    worker.learned_at = at
    shares = compute_image_shares(worker, at)
    for run in list_measured_runs(worker):
        log_tail = math.log(run.usage)
        level = _get_level(model, run, log_tail, at)
        contributions = [(level.estimate, 1.0)]
        contributions += [
            (
                model.pairs.touch_weight(run.step.image, best_effort_image, at),
                share,
            )
            for best_effort_image, share in shares.items()
            if share > 0
        ]
        interference.update_estimates(
            contributions, log_tail, at, NOISE_VARIANCE, MAX_PREDICTION_ERROR
        )
        for weight, _ in contributions[1:]:
            weight.mean = min(max(weight.mean, 0.0), interference.MAX_WEIGHT)
        level.peak = max(level.peak, level.estimate.mean)


def _get_level(
    model: Model, run: worker_state.Run, log_tail: float, at: float
) -> Level:
    """Returns the level of a run's step, its variance grown with time.

    Args:
        model: The model.
        run: The run.
        log_tail: Logarithm of its tail latency, the mean of a new level.
        at: Current time, local clock.
    """
    key = (run.name.job, run.name.step)
    level = model.levels.get(key)
    if level is None:
        estimate = interference.GaussianEstimate(
            log_tail, INITIAL_LEVEL_VARIANCE, at
        )
        level = model.levels[key] = Level(estimate, log_tail, at)
    elapsed_s = max(0.0, at - level.estimate.at)
    level.estimate.variance += LEVEL_VARIANCE_GROWTH_PER_S * elapsed_s
    level.peak -= PEAK_DECAY_PER_S * elapsed_s
    return level


def forget_job(model: Model, job: str) -> None:
    """Deletes the levels of a job that ended."""
    for key in [key for key in model.levels if key[0] == job]:
        del model.levels[key]


def estimate_weight(model: Model, image: str, best_effort_image: str) -> float:
    """Returns a pair's weight, raised by a margin for its uncertainty."""
    weight = model.pairs.find_weight(image, best_effort_image)
    return weight.mean + UNCERTAINTY_DEVIATIONS * math.sqrt(weight.variance)


def estimate_undisturbed_tail(
    model: Model, run: worker_state.Run, shares: dict
) -> float:
    """Returns the logarithm of a run's tail latency without best-effort runs.

    Uses the greater of its job's level and its own tail latency less the
    learned slowdown, as a worker may be slow for other reasons.
    """
    slowdown = sum(
        model.pairs.find_weight(run.step.image, best_effort_image).mean * share
        for best_effort_image, share in shares.items()
    )
    undisturbed = math.log(run.usage) - slowdown
    level = model.levels.get((run.name.job, run.name.step))
    if level is None or level.estimate.variance > KNOWN_LEVEL_VARIANCE:
        return undisturbed
    return max(undisturbed, level.estimate.mean)


def predict_undisturbed_tail(
    model: Model, run: worker_state.Run, undisturbed: float, at: float
) -> float:
    """Returns how high a run's undisturbed tail latency may rise.

    Args:
        model: The model.
        run: The run.
        undisturbed: Logarithm of its tail latency without best-effort runs.
        at: Current time, local clock.
    """
    level = model.levels.get((run.name.job, run.name.step))
    if level is None or at - level.first_measured_at < MIN_LEVEL_AGE_S:
        return undisturbed + MAX_LEVEL_RISE
    return min(max(undisturbed, level.peak), undisturbed + MAX_LEVEL_RISE)


def compute_headroom(
    model: Model,
    worker: worker_state.WorkerState,
    at: float,
    max_target_share: float,
    used: mechanisms.Mechanisms = mechanisms.ALL,
) -> dict[str, float]:
    """Returns the tail-latency headroom of a worker, by image.

    Args:
        model: The model.
        worker: The worker.
        at: Current time, local clock.
        max_target_share: Share of its target up to which a tail latency may
            rise.
        used: Mechanisms in use.

    Returns:
        Logarithm of the factor by which all best-effort runs together may raise
        the highest tail latency of each image; negative if it is too high
        without them.
    """
    shares = compute_image_shares(worker, at)
    headroom: dict[str, float] = {}
    for run in worker.runs.values():
        if not run.step.target_ms:
            continue
        run_headroom = math.log(max_target_share / UNMEASURED_TAIL_SHARE)
        if run.usage:
            undisturbed = estimate_undisturbed_tail(model, run, shares)
            predicted = (
                predict_undisturbed_tail(model, run, undisturbed, at)
                if used.level_peaks
                else undisturbed
            )
            run_headroom = (
                math.log(max_target_share * run.step.target_ms) - predicted
            )
        image = run.step.image
        headroom[image] = min(headroom.get(image, run_headroom), run_headroom)
    return headroom


def estimate_slowdown(
    model: Model,
    worker: worker_state.WorkerState,
    image: str,
    run: worker_state.Run,
) -> float:
    """Estimates the slowdown of an image by a best-effort run at full speed.

    Returns:
        Logarithm of the factor by which the tail latency rises.
    """
    return estimate_weight(model, image, run.step.image) * get_requested_share(
        worker, run.step
    )


def get_requested_share(
    worker: worker_state.WorkerState, step: work.Step
) -> float:
    """Returns the share of a worker's processors that a task asks for."""
    return step.need.millicores / max(1, worker.info.capacity.millicores)
