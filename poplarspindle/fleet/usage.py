"""Learns how much of their requested processors best-effort runs use.

Load pattern: more best-effort tasks wait than the free processors admit, and
callers request for the worst moment of a task. If requests were added up,
processors would stay idle beside tasks that wait. So a run counts with what it
was measured to use at full speed, and until then with what runs of its image
usually use. Only a worker whose processors cover all requests teaches:
elsewhere a run may use little because others leave it little.
"""

from poplarspindle.fleet import work, worker_selection, worker_state

MEASURE_AFTER_S = 0.8  # Usage is measured over half a second and read later.
FULL_SPEED_PERCENT = 100
LEARNING_RATE = 0.1  # Weight of one measurement in an image's ratio.
MIN_RATIO = 0.5  # A run waiting for input may use all of its request later.


class UsageModel:
    """Ratio of used to requested processors, by image.

    Attributes:
        ratios: Ratios of images that were measured.
    """

    def __init__(self) -> None:
        self.ratios: dict[str, float] = {}


def expect_millicores(model: UsageModel, step: work.Step) -> int:
    """Returns the millicores that a run of a step is expected to use."""
    return int(step.need.millicores * model.ratios.get(step.image, 1.0))


def record_usage(
    model: UsageModel,
    worker: worker_state.WorkerState,
    run: worker_state.Run,
    at: float,
) -> None:
    """Learns from the reported usage of a best-effort run.

    Args:
        model: The model.
        worker: The run's worker.
        run: The run, with its usage as just reported.
        at: Current time, local clock.
    """
    requested_millicores = run.step.need.millicores
    measured = (
        run.step.best_effort
        and run.usage is not None
        and run.percent == FULL_SPEED_PERCENT
        and requested_millicores
        and at - max(run.first_seen_at, worker.paced_at) >= MEASURE_AFTER_S
        and _covers_requests(worker)
    )
    if not measured:
        return
    ratio = min(1.0, max(MIN_RATIO, run.usage / requested_millicores))
    before = model.ratios.get(run.step.image, 1.0)
    model.ratios[run.step.image] = before + LEARNING_RATE * (ratio - before)
    worker_state.set_expected_millicores(
        worker, run, int(ratio * requested_millicores)
    )


def _covers_requests(worker: worker_state.WorkerState) -> bool:
    """Tells whether a worker's processors cover all best-effort requests."""
    left_millicores = (
        worker_selection.compute_free_millicores(worker)
        + worker.best_effort_millicores
    )
    requested_millicores = sum(
        run.step.need.millicores
        for run in worker.runs.values()
        if run.step.best_effort
    )
    return requested_millicores <= left_millicores
