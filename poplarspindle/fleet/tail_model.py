"""How strongly fills press on what serves beside them, learned from tails.

The tail of a serving task follows the load of its job, which all tasks of the
job share, which swings within seconds and which no worker tells; and the
fills beside it. In logarithms the two add up:

    log tail = level[job, step] + sum over fills of weight[image, fill] * share

where `share` is the part of the worker's processors that the fill used. Tasks
of one job on workers with few fills give its level, so that what the others
show above it is put down to their fills. Most pairs hardly disturb each
other, some do strongly: which ones is worth more than how much exactly.
"""

import dataclasses
import math

from poplarspindle import interference
from poplarspindle.fleet import work, worker_state

INITIAL_LEVEL_VARIANCE = 1.0
KNOWN_LEVEL_VARIANCE = 0.2
LEVEL_VARIANCE_GROWTH_PER_S = (
    0.06  # A load that swings moves a level that fast.
)
NOISE_VARIANCE = 0.02
MAX_SURPRISE = 0.7
TAIL_WINDOW_S = 0.8  # A tail is measured over half a second and read later.
MIN_SAMPLE_INTERVAL_S = 0.2  # Workers renew their figures about that often.
PEAK_DECAY_PER_S = 0.01
MAX_LEVEL_RISE = 0.2  # A level may rise by that while a fill runs.
MIN_LEVEL_AGE_S = (
    10.0  # Loads swing that slowly; a young job's peak is not known.
)
UNMEASURED_TAIL_SHARE = 0.6  # Of the target, for a tail not yet measured.
UNCERTAINTY_DEVIATIONS = (
    0.7  # Standard deviations; a pair never seen is not taken for light.
)


@dataclasses.dataclass(slots=True)
class Level:
    """The tail of one job's serving tasks with no fill beside them.

    Attributes:
        term: Its logarithm, milliseconds.
        high: Highest value lately.
        since: When it was first measured, own clock.
    """

    estimate: interference.GaussianEstimate
    peak: float
    first_measured_at: float


class Model:
    """What was learned of tails.

    Attributes:
        pairs: Weights of fills on what serves, by their images.
        levels: Levels by job and step.
    """

    def __init__(self) -> None:
        self.pairs = interference.Model()
        self.levels: dict[tuple[str, int], Level] = {}


def list_measured_runs(
    worker: worker_state.WorkerState,
) -> list[worker_state.Run]:
    """Lists the runs of a worker whose tails are measured."""
    return [
        run for run in worker.runs.values() if run.step.target_ms and run.usage
    ]


def compute_image_shares(
    worker: worker_state.WorkerState, at: float
) -> dict[str, float]:
    """Returns the part of the processors that fills used, by fill's image.

    Fills that ended within the time that a tail is measured over count in
    part.
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
    """Notes that a fill ended, for tails that are read later."""
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
    """Learns levels and weights from a worker's report."""
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
            contributions, log_tail, at, NOISE_VARIANCE, MAX_SURPRISE
        )
        for weight, _ in contributions[1:]:
            weight.mean = min(max(weight.mean, 0.0), interference.MAX_WEIGHT)
        level.peak = max(level.peak, level.estimate.mean)


def _get_level(
    model: Model, run: worker_state.Run, log_tail: float, at: float
) -> Level:
    """Returns a job's level, as unsure as time has made it."""
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
    """Forgets the levels of a job that ended."""
    for key in [key for key in model.levels if key[0] == job]:
        del model.levels[key]


def estimate_weight(model: Model, image: str, best_effort_image: str) -> float:
    """Returns how strongly a fill may press on an image, doubt included."""
    weight = model.pairs.find_weight(image, best_effort_image)
    return weight.mean + UNCERTAINTY_DEVIATIONS * math.sqrt(weight.variance)


def estimate_undisturbed_tail(
    model: Model, run: worker_state.Run, shares: dict
) -> float:
    """Returns the logarithm of a task's tail if no fill were beside it.

    The greater of what its job's other tasks and its own tail say: a worker
    may be slow for other causes.
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
    """Returns how high a task's undisturbed tail may rise meanwhile."""
    level = model.levels.get((run.name.job, run.name.step))
    if level is None or at - level.first_measured_at < MIN_LEVEL_AGE_S:
        return undisturbed + MAX_LEVEL_RISE
    return min(max(undisturbed, level.peak), undisturbed + MAX_LEVEL_RISE)


def compute_headroom(
    model: Model,
    worker: worker_state.WorkerState,
    at: float,
    max_target_share: float,
) -> dict[str, float]:
    """Returns how far what serves may still be pressed, by image.

    Args:
        model: What was learned.
        worker: The worker.
        at: Present time, own clock.
        max_target_share: Share of its target up to which a tail may rise.

    Returns:
        Logarithm of the factor by which all fills together may raise the
        worst tail of each image; negative where it is too high without.
    """
    shares = compute_image_shares(worker, at)
    headroom: dict[str, float] = {}
    for run in worker.runs.values():
        if not run.step.target_ms:
            continue
        run_headroom = math.log(max_target_share / UNMEASURED_TAIL_SHARE)
        if run.usage:
            undisturbed = estimate_undisturbed_tail(model, run, shares)
            predicted = predict_undisturbed_tail(model, run, undisturbed, at)
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
    """Returns how strongly a fill at full speed presses on an image."""
    return estimate_weight(model, image, run.step.image) * get_requested_share(
        worker, run.step
    )


def get_requested_share(
    worker: worker_state.WorkerState, step: work.Step
) -> float:
    """Returns the part of a worker's processors that a fill asks for."""
    return step.need.millicores / max(1, worker.info.capacity.millicores)
