"""What the owner knows of workers and runs besides the log."""

import collections

from poplarspindle import resources
from poplarspindle.fleet import job_store, work

CLOCK_DRIFT = 1.02  # Workers' clocks may be 2 % slow.
LAPSE_SLACK_S = 0.25
PACE_UNKNOWN = 101  # Taken for full speed, but told again.


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
        asked: Whether it was ever ordered to start.
        sending: Whether an order to start it is on its way.
        answered_at: When the worker last answered a start, own clock.
        confirmed: Whether the worker is known to have it.
        silences: Starts of it that got no answer.
        stopping: Whether it is to end.
        stop_asked: Whether an order to stop it is on its way.
        stop_after: Earliest time for the next order to stop it.
        percent: Share of its speed last asked for, PACE_UNKNOWN if the
            worker may not have been told.
        at_work: Whether a lasting task was listed as at work.
        usage: Tail in milliseconds or processors in use; None if unknown.
        first_seen_at: When it was first listed as running.
    """

    __slots__ = (
        "answered_at",
        "asked",
        "at_work",
        "attempt",
        "confirmed",
        "first_seen_at",
        "job",
        "name",
        "percent",
        "placed_at",
        "recorded",
        "sending",
        "silences",
        "step",
        "stop_after",
        "stop_asked",
        "stopping",
        "task",
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
        self.asked = False
        self.answered_at = float("inf")
        self.confirmed = False
        self.silences = 0
        self.stopping = False
        self.stop_asked = False
        self.stop_after = float("-inf")
        self.sending = False
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
        born_ms: Life that last reported, 0 for none.
        heard_at: When it last reported under this epoch, own clock.
        clock_ms: Its clock at `clock_at`.
        clock_at: Own clock when `clock_ms` was read, at the latest.
        until_ms: Latest end of leases given to it, on its clock.
        lapse_at: When all leases given to it are over, own clock.
        noted: Number of the last end that was taken in.
        recorded: Number of the last end that the log has.
        runs: Runs placed on it.
        strangers: Room that runs take which are to be stopped.
        by_step: Runs by job, time and step.
        held: Room that its runs reserve, processors of fills left out.
        room: Room left, None where it has to be worked out.
        filling: Processors that its fills ask for, in thousandths.
        serving: Processors that tasks with a target reserve, in thousandths.
        full_until: Time before which nothing is placed on it.
        changed: Whether it may take more than at the last round of placing.
        bad_jobs: Jobs of which a run failed on it since one was done.
        closed_s: How long it was last closed for failing, seconds.
        images: Processors of tasks with a target by image.
        ended_fills: Fills that ended lately: when, image, processors used.
        learned_at: When its tails were last learned from.
        budgets: How far new fills may press on what serves, by image; None
            where it has to be worked out.
        missed: Whether the last look at it got no answer.
        dark: Whether the log may say that it is dark.
        paced_at: When that last changed.
        over_since: Since when a target is missed, infinity if none is.
        leaves_at: When it leaves at the earliest, infinity if it stays.
    """

    def __init__(self, info: work.WorkerInfo) -> None:
        self.info = info
        self.listed = True
        self.born_ms = 0
        self.heard_at = float("-inf")
        self.clock_ms = 0
        self.clock_at = float("-inf")
        self.until_ms = 0
        self.lapse_at = float("-inf")
        self.noted = 0
        self.recorded = 0
        self.runs: dict[tuple[work.TaskName, int], Run] = {}
        self.strangers = resources.NOTHING
        self.by_step: collections.Counter = collections.Counter()
        self.held = resources.NOTHING
        self.room: resources.Resources | None = None
        self.filling = 0
        self.serving = 0
        self.images: collections.Counter = collections.Counter()
        self.full_until = float("-inf")
        self.changed = True
        self.bad_jobs: set[str] = set()
        self.closed_s = 0.0
        self.ended_fills: list[tuple[float, str, float]] = []
        self.learned_at = float("-inf")
        self.budgets: dict[str, float] | None = None
        self.missed = False
        self.dark = False
        self.paced_at = float("-inf")
        self.over_since = float("inf")
        self.leaves_at = float("inf")

    @property
    def heard(self) -> bool:
        """Tells whether it reported under this epoch and did not go dark."""
        return self.heard_at > float("-inf")


def get_reserved(step: work.Step) -> resources.Resources:
    """Returns what a run takes of a worker's room."""
    if not step.fills:
        return step.need
    return resources.Resources(0, step.need.memory_mb, step.need.accelerators)


def add_run(worker: WorkerState, run: Run) -> None:
    """Adds a run to a worker and reserves its room."""
    worker.runs[run.key] = run
    worker.room = worker.budgets = None
    worker.held = worker.held + get_reserved(run.step)
    worker.by_step[_step_key(run)] += 1
    if run.step.fills:
        worker.filling += run.step.need.millicores
    if run.step.target_ms:
        worker.serving += run.step.need.millicores
        worker.images[run.step.image] += run.step.need.millicores


def remove_run(worker: WorkerState, run: Run) -> None:
    """Removes a run from a worker and frees its room."""
    if worker.runs.pop(run.key, None) is None:
        return
    worker.changed = True
    worker.room = worker.budgets = None
    worker.held = worker.held - get_reserved(run.step)
    key = _step_key(run)
    worker.by_step[key] -= 1
    if not worker.by_step[key]:
        del worker.by_step[key]
    if run.step.fills:
        worker.filling -= run.step.need.millicores
    if run.step.target_ms:
        worker.serving -= run.step.need.millicores
        worker.images[run.step.image] -= run.step.need.millicores


def _step_key(run: Run) -> tuple[str, int, int]:
    return run.name.job, run.name.time, run.name.step


def get_room(worker: WorkerState) -> resources.Resources:
    """Returns the room left on a worker."""
    if worker.room is None:
        worker.room = worker.info.capacity - worker.held - worker.strangers
    return worker.room


def note_clock(worker: WorkerState, clock_ms: int, at: float) -> None:
    """Notes a worker's clock, read at `at` at the latest."""
    if clock_ms > 0:
        worker.clock_ms, worker.clock_at = clock_ms, at


def tell_clock(worker: WorkerState, at: float) -> int:
    """Returns a worker's clock as it is at least, 0 if never read."""
    if worker.clock_at == float("-inf"):
        return 0
    return worker.clock_ms + int((at - worker.clock_at) * 1000 / CLOCK_DRIFT)


def note_grant(worker: WorkerState, until_ms: int) -> None:
    """Notes that leases may last until a time on the worker's clock."""
    worker.until_ms = max(worker.until_ms, until_ms)
    left_s = (worker.until_ms - worker.clock_ms) / 1000
    over_at = worker.clock_at + left_s * CLOCK_DRIFT + LAPSE_SLACK_S
    worker.lapse_at = max(worker.lapse_at, over_at)
