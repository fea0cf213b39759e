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

LEVEL_VARIANCE = 1.0
LEVEL_KNOWN_VARIANCE = 0.2
LEVEL_DRIFT_PER_S = 0.06  # A load that swings moves a level that fast.
NOISE_VARIANCE = 0.02
SURPRISE_MOST = 0.7
LINGER_S = 0.8  # A tail is measured over half a second and read later.
SAMPLE_S = 0.2  # Workers renew their figures about that often.
HIGH_DECAY_PER_S = 0.01
RISE = 0.2  # A level may rise by that while a fill runs.
SEEN_S = 10.0  # Loads swing that slowly; a young job's peak is not known.
UNMEASURED_SHARE = 0.6  # Of the target, for a tail not yet measured.
DOUBT = 0.7  # Standard deviations; a pair never seen is not taken for light.


@dataclasses.dataclass(slots=True)
class Level:
    """The tail of one job's serving tasks with no fill beside them.

    Attributes:
        term: Its logarithm, milliseconds.
        high: Highest value lately.
        since: When it was first measured, own clock.
    """

    term: interference.GaussianEstimate
    high: float
    since: float


class Model:
    """What was learned of tails.

    Attributes:
        pairs: Weights of fills on what serves, by their images.
        levels: Levels by job and step.
    """

    def __init__(self) -> None:
        self.pairs = interference.Model()
        self.levels: dict[tuple[str, int], Level] = {}


def list_serving(worker: worker_state.WorkerState) -> list[worker_state.Run]:
    """Lists the runs of a worker whose tails are measured."""
    return [
        run for run in worker.runs.values() if run.step.target_ms and run.usage
    ]


def find_shares(
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
    for ended_at, image, used in worker.ended_best_effort:
        part = 1 - (at - ended_at) / LINGER_S
        if part > 0:
            shares[image] = shares.get(image, 0.0) + part * used / capacity
    return shares


def record_end(
    worker: worker_state.WorkerState, run: worker_state.Run, at: float
) -> None:
    """Notes that a fill ended, for tails that are read later."""
    if not run.step.best_effort:
        return
    kept = [row for row in worker.ended_best_effort if at - row[0] < LINGER_S]
    used = run.usage if run.usage is not None else 0
    worker.ended_best_effort = [*kept, (at, run.step.image, used)]


def learn(model: Model, worker: worker_state.WorkerState, at: float) -> None:
    """Learns levels and weights from a worker's report."""
    if at - worker.learned_at < SAMPLE_S:
        return
    worker.learned_at = at
    shares = find_shares(worker, at)
    for run in list_serving(worker):
        seen = math.log(run.usage)
        level = _find_level(model, run, seen, at)
        parts = [(level.term, 1.0)]
        parts += [
            (model.pairs.touch_weight(run.step.image, fill, at), share)
            for fill, share in shares.items()
            if share > 0
        ]
        interference.update_estimates(
            parts, seen, at, NOISE_VARIANCE, SURPRISE_MOST
        )
        for term, _ in parts[1:]:
            term.mean = min(max(term.mean, 0.0), interference.MAX_WEIGHT)
        level.high = max(level.high, level.term.mean)


def _find_level(
    model: Model, run: worker_state.Run, seen: float, at: float
) -> Level:
    """Returns a job's level, as unsure as time has made it."""
    key = (run.name.job, run.name.step)
    level = model.levels.get(key)
    if level is None:
        term = interference.GaussianEstimate(seen, LEVEL_VARIANCE, at)
        level = model.levels[key] = Level(term, seen, at)
    passed = max(0.0, at - level.term.at)
    level.term.variance += LEVEL_DRIFT_PER_S * passed
    level.high -= HIGH_DECAY_PER_S * passed
    return level


def forget_job(model: Model, job: str) -> None:
    """Forgets the levels of a job that ended."""
    for key in [key for key in model.levels if key[0] == job]:
        del model.levels[key]


def find_weight(model: Model, image: str, fill: str) -> float:
    """Returns how strongly a fill may press on an image, doubt included."""
    term = model.pairs.find_weight(image, fill)
    return term.mean + DOUBT * math.sqrt(term.variance)


def find_free(model: Model, run: worker_state.Run, shares: dict) -> float:
    """Returns the logarithm of a task's tail if no fill were beside it.

    The greater of what its job's other tasks and its own tail say: a worker
    may be slow for other causes.
    """
    pressed = sum(
        model.pairs.find_weight(run.step.image, fill).mean * share
        for fill, share in shares.items()
    )
    free = math.log(run.usage) - pressed
    level = model.levels.get((run.name.job, run.name.step))
    if level is None or level.term.variance > LEVEL_KNOWN_VARIANCE:
        return free
    return max(free, level.term.mean)


def find_soon(
    model: Model, run: worker_state.Run, free: float, at: float
) -> float:
    """Returns how high a task's undisturbed tail may rise meanwhile."""
    level = model.levels.get((run.name.job, run.name.step))
    if level is None or at - level.since < SEEN_S:
        return free + RISE
    return min(max(free, level.high), free + RISE)


def find_room(
    model: Model, worker: worker_state.WorkerState, at: float, most: float
) -> dict[str, float]:
    """Returns how far what serves may still be pressed, by image.

    Args:
        model: What was learned.
        worker: The worker.
        at: Present time, own clock.
        most: Share of its target up to which a tail may rise.

    Returns:
        Logarithm of the factor by which all fills together may raise the
        worst tail of each image; negative where it is too high without.
    """
    shares = find_shares(worker, at)
    room: dict[str, float] = {}
    for run in worker.runs.values():
        if not run.step.target_ms:
            continue
        left = math.log(most / UNMEASURED_SHARE)
        if run.usage:
            free = find_free(model, run, shares)
            soon = find_soon(model, run, free, at)
            left = math.log(most * run.step.target_ms) - soon
        image = run.step.image
        room[image] = min(room.get(image, left), left)
    return room


def find_pressure(
    model: Model,
    worker: worker_state.WorkerState,
    image: str,
    run: worker_state.Run,
) -> float:
    """Returns how strongly a fill at full speed presses on an image."""
    return find_weight(model, image, run.step.image) * find_share(
        worker, run.step
    )


def find_share(worker: worker_state.WorkerState, step: work.Step) -> float:
    """Returns the part of a worker's processors that a fill asks for."""
    return step.need.millicores / max(1, worker.info.capacity.millicores)
