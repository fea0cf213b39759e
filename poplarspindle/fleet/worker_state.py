"""What the owner knows of workers and runs besides the log."""

import collections

from poplarspindle import resources
from poplarspindle.fleet import job_store, work

MAX_CLOCK_DRIFT = 1.02  # Workers' clocks may be 2 % slow.
LEASE_END_SLACK_S = 0.25
UNKNOWN_PERCENT = 101  # Taken for full speed, but told again.


class Run:
    """One run of a task, from its placement to its end.

    Attributes:
        name: The task's name.
        job: Its job.
        task: Its state in the book.
        step: Its step.
        attempt: Number of the run.
        placed_at: When it was placed, own clock.
        recorded: Whether the placement is acknowledged by the log.
        start_sent: Whether it was ever ordered to start.
        start_in_flight: Whether an order to start it is on its way.
        answered_at: When the worker last answered a start, own clock.
        confirmed: Whether the worker is known to have it.
        unanswered_starts: Starts of it that got no answer.
        stopping: Whether it is to end.
        stop_in_flight: Whether an order to stop it is on its way.
        stop_after: Earliest time for the next order to stop it.
        percent: Share of its speed last asked for, UNKNOWN_PERCENT if the
            worker may not have been told.
        at_work: Whether a lasting task was listed as at work.
        usage: Tail in milliseconds or processors in use; None if unknown.
        first_seen_at: When it was first listed as running.
    """

    __slots__ = (
        "answered_at",
        "at_work",
        "attempt",
        "confirmed",
        "first_seen_at",
        "job",
        "name",
        "percent",
        "placed_at",
        "recorded",
        "start_in_flight",
        "start_sent",
        "step",
        "stop_after",
        "stop_in_flight",
        "stopping",
        "task",
        "unanswered_starts",
        "usage",
    )

    def __init__(
        self,
        name: work.TaskName,
        job: job_store.Job,
        task: job_store.Task,
        placed_at: float,
        recorded: bool,
    ) -> None:
        self.name = name
        self.job = job
        self.task = task
        self.step = job.submission.steps[name.step]
        self.attempt = task.attempt
        self.placed_at = placed_at
        self.recorded = recorded
        self.start_sent = False
        self.answered_at = float("inf")
        self.confirmed = False
        self.unanswered_starts = 0
        self.stopping = False
        self.stop_in_flight = False
        self.stop_after = float("-inf")
        self.start_in_flight = False
        self.percent = 100
        self.at_work = False
        self.usage: float | None = None
        self.first_seen_at = float("inf")

    @property
    def key(self) -> tuple[work.TaskName, int]:
        """Identifies the run."""
        return self.name, self.attempt


class WorkerState:
    """One worker, as its owner knows it.

    Attributes:
        info: Its description; the last one where it is listed no more.
        listed: Whether it is listed now.
        incarnation_ms: Life that last reported, 0 for none.
        last_report_at: When it last reported under this epoch, own clock.
        clock_ms: Its clock at `clock_at`.
        clock_at: Own clock when `clock_ms` was read, at the latest.
        until_ms: Latest end of leases given to it, on its clock.
        leases_end_at: When all leases given to it are over, own clock.
        last_end_handled: Number of the last end that was taken in.
        recorded: Number of the last end that the log has.
        runs: Runs placed on it.
        unknown_run_resources: Room that runs take which are to be stopped.
        by_step: Runs by job, time and step.
        reserved: Room that its runs reserve, processors of fills left out.
        available: Room left, None where it has to be worked out.
        best_effort_millicores: Processors that its fills ask for, in
            thousandths.
        latency_critical_millicores: Processors that tasks with a target
            reserve, in thousandths.
        no_placement_until: Time before which nothing is placed on it.
        changed: Whether it may take more than at the last round of placing.
        failing_jobs: Jobs of which a run failed on it since one was done.
        exclusion_s: How long it was last closed for failing, seconds.
        latency_critical_by_image: Processors of tasks with a target by image.
        ended_best_effort: Fills that ended lately: when, image, processors
            used.
        learned_at: When its tails were last learned from.
        budgets: How far new fills may press on what serves, by image; None
            where it has to be worked out.
        poll_failed: Whether the last look at it got no answer.
        logged_unreachable: Whether the log may say that it is dark.
        paced_at: When that last changed.
        over_since: Since when a target is missed, infinity if none is.
        leaves_at: When it leaves at the earliest, infinity if it stays.
    """

    def __init__(self, info: work.WorkerInfo) -> None:
        self.info = info
        self.listed = True
        self.incarnation_ms = 0
        self.last_report_at = float("-inf")
        self.clock_ms = 0
        self.clock_at = float("-inf")
        self.until_ms = 0
        self.leases_end_at = float("-inf")
        self.last_end_handled = 0
        self.recorded = 0
        self.runs: dict[tuple[work.TaskName, int], Run] = {}
        self.unknown_run_resources = resources.ZERO
        self.by_step: collections.Counter = collections.Counter()
        self.reserved = resources.ZERO
        self.available: resources.Resources | None = None
        self.best_effort_millicores = 0
        self.latency_critical_millicores = 0
        self.latency_critical_by_image: collections.Counter = (
            collections.Counter()
        )
        self.no_placement_until = float("-inf")
        self.changed = True
        self.failing_jobs: set[str] = set()
        self.exclusion_s = 0.0
        self.ended_best_effort: list[tuple[float, str, float]] = []
        self.learned_at = float("-inf")
        self.budgets: dict[str, float] | None = None
        self.poll_failed = False
        self.logged_unreachable = False
        self.paced_at = float("-inf")
        self.over_since = float("inf")
        self.leaves_at = float("inf")

    @property
    def has_reported(self) -> bool:
        """Tells whether it reported under this epoch and did not go dark."""
        return self.last_report_at > float("-inf")


def get_reserved(step: work.Step) -> resources.Resources:
    """Returns what a run takes of a worker's room."""
    if not step.best_effort:
        return step.need
    return resources.Resources(0, step.need.memory_mb, step.need.accelerators)


def add_run(worker: WorkerState, run: Run) -> None:
    """Adds a run to a worker and reserves its room."""
    worker.runs[run.key] = run
    worker.available = worker.budgets = None
    worker.reserved = worker.reserved + get_reserved(run.step)
    worker.by_step[_get_step_key(run)] += 1
    if run.step.best_effort:
        worker.best_effort_millicores += run.step.need.millicores
    if run.step.target_ms:
        worker.latency_critical_millicores += run.step.need.millicores
        worker.latency_critical_by_image[run.step.image] += (
            run.step.need.millicores
        )


def remove_run(worker: WorkerState, run: Run) -> None:
    """Removes a run from a worker and frees its room."""
    if worker.runs.pop(run.key, None) is None:
        return
    worker.changed = True
    worker.available = worker.budgets = None
    worker.reserved = worker.reserved - get_reserved(run.step)
    key = _get_step_key(run)
    worker.by_step[key] -= 1
    if not worker.by_step[key]:
        del worker.by_step[key]
    if run.step.best_effort:
        worker.best_effort_millicores -= run.step.need.millicores
    if run.step.target_ms:
        worker.latency_critical_millicores -= run.step.need.millicores
        worker.latency_critical_by_image[run.step.image] -= (
            run.step.need.millicores
        )


def _get_step_key(run: Run) -> tuple[str, int, int]:
    return run.name.job, run.name.occurrence, run.name.step


def get_available(worker: WorkerState) -> resources.Resources:
    """Returns the room left on a worker."""
    if worker.available is None:
        worker.available = (
            worker.info.capacity
            - worker.reserved
            - worker.unknown_run_resources
        )
    return worker.available


def record_clock(worker: WorkerState, clock_ms: int, read_at: float) -> None:
    """Notes a worker's clock, read at `at` at the latest."""
    if clock_ms > 0:
        worker.clock_ms, worker.clock_at = clock_ms, read_at


def estimate_clock_ms(worker: WorkerState, now: float) -> int:
    """Returns a worker's clock as it is at least, 0 if never read."""
    if worker.clock_at == float("-inf"):
        return 0
    return worker.clock_ms + int(
        (now - worker.clock_at) * 1000 / MAX_CLOCK_DRIFT
    )


def record_lease(worker: WorkerState, until_ms: int) -> None:
    """Notes that leases may last until a time on the worker's clock."""
    worker.until_ms = max(worker.until_ms, until_ms)
    remaining_s = (worker.until_ms - worker.clock_ms) / 1000
    ends_at = (
        worker.clock_at + remaining_s * MAX_CLOCK_DRIFT + LEASE_END_SLACK_S
    )
    worker.leases_end_at = max(worker.leases_end_at, ends_at)
