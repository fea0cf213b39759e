"""The owner's in-memory state of workers and runs; not stored in the log."""

import collections
import dataclasses
from collections.abc import Hashable

from poplarspindle import resources
from poplarspindle.fleet import job_store, work

MAX_CLOCK_DRIFT = 1.02  # Workers' clocks may be 2 % slow.
LEASE_END_SLACK_S = 0.25
UNKNOWN_PERCENT = 101  # Counts as full speed; the next pace is sent anyway.

GrantKey = float | tuple[work.TaskName, int] | tuple[work.TaskName, int, float]


@dataclasses.dataclass(frozen=True, slots=True)
class UnansweredGrant:
    """An order that grants leases and has no answer; see `grants`.

    Times are on the owner's monotonic clock.

    Attributes:
        key: What tells it from others to the worker: for a poll when it was
            sent, for a start in flight its task and attempt, for one without an
            answer when it was sent as well.
        token: Fencing token of the order.
        latest_at: When it may be carried out at the latest.
        lease_s: For how long it asked, at most.
    """

    key: GrantKey
    token: int
    latest_at: float
    lease_s: float


class Run:
    """One run of a task, from its placement to its end.

    All times are on the owner's monotonic clock.

    Attributes:
        name: The task's name.
        job: The task's job.
        task: The task's state in the job store.
        step: The task's step.
        attempt: Attempt number of the run.
        placed_at: When it was placed.
        recorded: Whether the log has acknowledged the placement.
        start_sent: Whether a start order was ever sent.
        start_sent_at: When a start order was last sent, minus infinity if it
            was not.
        start_in_flight: Whether a start order is in flight.
        answered_at: When the worker last answered a start order, infinity if
            it did not.
        confirmed: Whether the worker has reported the run or accepted its
            start.
        unanswered_starts: Number of start orders that got no answer.
        may_run_late_until: Until when one of these may still be carried out, or
            keep the run at work; minus infinity if there is none.
        held_back: Whether its task waits although the worker's leases ended.
        stopping: Whether the run is to be stopped.
        stop_in_flight: Whether a stop order is in flight.
        stop_after: Earliest time of the next stop order.
        percent: Pace last ordered, as a percentage of full speed;
            UNKNOWN_PERCENT if the worker may not have received the order.
        at_full_speed: Whether the last report listed the run at full speed.
        usage: Tail latency in milliseconds for a latency-critical task, else
            millicores in use; None if unknown.
        first_seen_at: When a report first listed the run.
        expected_millicores: Processors that a best-effort run is expected to
            use at full speed, in thousandths.
    """

    __slots__ = (
        "answered_at",
        "at_full_speed",
        "attempt",
        "confirmed",
        "expected_millicores",
        "first_seen_at",
        "held_back",
        "job",
        "may_run_late_until",
        "name",
        "percent",
        "placed_at",
        "recorded",
        "start_in_flight",
        "start_sent",
        "start_sent_at",
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
        self.start_sent_at = float("-inf")
        self.answered_at = float("inf")
        self.confirmed = False
        self.unanswered_starts = 0
        self.may_run_late_until = float("-inf")
        self.held_back = False
        self.stopping = False
        self.stop_in_flight = False
        self.stop_after = float("-inf")
        self.start_in_flight = False
        self.percent = 100
        self.at_full_speed = False
        self.usage: float | None = None
        self.first_seen_at = float("inf")
        self.expected_millicores = self.step.need.millicores

    @property
    def key(self) -> tuple[work.TaskName, int]:
        """The task's name and the attempt number, which identify the run."""
        return self.name, self.attempt


class WorkerState:
    """State of one worker, as the fleet's owner sees it.

    Times that end in `_at`, `_until` or `_since` are on the owner's monotonic
    clock.

    Attributes:
        info: Its entry in the list of workers; the last one if the worker is
            no longer listed.
        listed: Whether the list of workers contains it now.
        incarnation_ms: Incarnation that last reported, 0 for none.
        last_report_at: When it last reported under this epoch, minus infinity
            if it has not, or if its leases have expired since.
        clock_ms: Time on the worker's clock at `clock_at`.
        clock_at: Latest time at which `clock_ms` was read.
        leases_until_ms: Latest end of its leases, on the worker's clock.
        leases_end_at: When all its leases have expired, unless an order
            without an answer renews them late.
        answered_until_ms: Latest end of its leases that it has confirmed, on
            its clock.
        unanswered_grants: Orders that may still renew its leases.
        last_end_handled: Number of the last run end that was handled.
        last_end_recorded: Number of the last run end whose acknowledgement
            follows the next append.
        runs: Runs placed on it.
        unknown_run_resources: Resources of runs that it reports but that are
            not placed on it; they are being stopped.
        runs_settled: Whether no run was found to be stopping, or started
            without a record of the answer, since one was last added; see
            `run_checks`.
        runs_by_step: Number of runs by job, occurrence and step.
        runs_by_job: Number of runs by job.
        suspects: Keys of its runs that may have crashed another worker.
        reserved: Resources that its runs reserve, without the processors of
            best-effort runs.
        available: Free resources, None if they have to be computed again.
        costs: Its costs for tasks as `worker_chooser` keeps them, by kind of
            task; emptied at each change.
        best_effort_millicores: Millicores that its best-effort runs are
            expected to use at full speed.
        latency_critical_millicores: Millicores that its latency-critical runs
            reserve.
        no_placement_until: Time before which nothing is placed on it.
        may_accept_more: Whether it may accept more than in the last placement
            round.
        failing_jobs: Jobs that had a run fail on it since it last completed a
            run.
        exclusion_s: How long it was last excluded from placement because runs
            failed on it.
        latency_critical_by_image: Millicores of latency-critical runs, by
            image.
        ended_best_effort: Best-effort runs that ended recently: when, image,
            millicores used.
        learned_at: When its tail latencies last updated the tail model.
        headroom_by_image: Interference that new best-effort runs may add, by
            image of the latency-critical runs; None if it has to be computed
            again.
        poll_failed: Whether it did not answer the last poll.
        logged_unreachable: Whether the log may list it as unreachable.
        paced_at: When the pace of its best-effort runs last changed.
        tails_need_watch: Whether its tail latencies are near their targets, or
            best-effort runs are slowed down for their sake.
        target_missed_since: Since when a tail latency exceeds its target,
            infinity if none does.
        leaves_at: Earliest time at which it shuts down, infinity if it stays.
        missing_since: Since when its entry is missing from the list and it has
            not reported, infinity if the list has it; see `absence`.
        gone: Whether it may be gone by that.
    """

    def __init__(self, info: work.WorkerInfo) -> None:
        self.info = info
        self.listed = True
        self.incarnation_ms = 0
        self.last_report_at = float("-inf")
        self.clock_ms = 0
        self.clock_at = float("-inf")
        self.leases_until_ms = 0
        self.leases_end_at = float("-inf")
        self.answered_until_ms = 0
        self.unanswered_grants: list[UnansweredGrant] = []
        self.last_end_handled = 0
        self.last_end_recorded = 0
        self.runs: dict[tuple[work.TaskName, int], Run] = {}
        self.unknown_run_resources = resources.ZERO
        self.runs_settled = False
        self.runs_by_step: collections.Counter = collections.Counter()
        self.runs_by_job: collections.Counter = collections.Counter()
        self.suspects: set[tuple[work.TaskName, int]] = set()
        self.reserved = resources.ZERO
        self.available: resources.Resources | None = None
        self.costs: dict[int, tuple | None] = {}
        self.best_effort_millicores = 0
        self.latency_critical_millicores = 0
        self.latency_critical_by_image: collections.Counter = (
            collections.Counter()
        )
        self.no_placement_until = float("-inf")
        self.may_accept_more = True
        self.failing_jobs: set[str] = set()
        self.exclusion_s = 0.0
        self.ended_best_effort: list[tuple[float, str, float]] = []
        self.learned_at = float("-inf")
        self.headroom_by_image: dict[str, float] | None = None
        self.poll_failed = False
        self.logged_unreachable = False
        self.paced_at = float("-inf")
        self.tails_need_watch = True
        self.target_missed_since = float("inf")
        self.leaves_at = float("inf")
        self.missing_since = float("inf")
        self.gone = False

    @property
    def has_reported(self) -> bool:
        """Whether it reported under this epoch and its leases did not lapse."""
        return self.last_report_at > float("-inf")


def get_reserved(step: work.Step) -> resources.Resources:
    """Returns the resources that a run of a step reserves on its worker."""
    if not step.best_effort:
        return step.need
    return resources.Resources(0, step.need.memory_mb, step.need.accelerators)


def forget_computed(worker: WorkerState) -> None:
    """Drops what was computed from a worker's entry and runs, but headroom.

    To be called whenever these or its suspects have changed.
    """
    worker.available = None
    worker.costs.clear()


def add_run(worker: WorkerState, run: Run) -> None:
    """Adds a run to a worker and reserves its resources."""
    worker.runs[run.key] = run
    worker.runs_settled = False
    forget_computed(worker)
    worker.headroom_by_image = None
    worker.reserved = worker.reserved + get_reserved(run.step)
    worker.runs_by_step[_get_step_key(run)] += 1
    worker.runs_by_job[run.name.job] += 1
    if run.task.is_suspect:
        worker.suspects.add(run.key)
    if run.step.best_effort:
        worker.best_effort_millicores += run.expected_millicores
    if run.step.target_ms:
        worker.latency_critical_millicores += run.step.need.millicores
        worker.latency_critical_by_image[run.step.image] += (
            run.step.need.millicores
        )


def remove_run(worker: WorkerState, run: Run) -> None:
    """Removes a run from a worker, if it is there, and frees its resources."""
    if worker.runs.pop(run.key, None) is None:
        return
    worker.may_accept_more = True
    worker.suspects.discard(run.key)
    forget_computed(worker)
    worker.headroom_by_image = None
    worker.reserved = worker.reserved - get_reserved(run.step)
    _count_down(worker.runs_by_step, _get_step_key(run))
    _count_down(worker.runs_by_job, run.name.job)
    if run.step.best_effort:
        worker.best_effort_millicores -= run.expected_millicores
    if run.step.target_ms:
        worker.latency_critical_millicores -= run.step.need.millicores
        worker.latency_critical_by_image[run.step.image] -= (
            run.step.need.millicores
        )


def _count_down(counter: collections.Counter, key: Hashable) -> None:
    counter[key] -= 1
    if not counter[key]:
        del counter[key]


def set_expected_millicores(
    worker: WorkerState, run: Run, millicores: int
) -> None:
    """Changes what a best-effort run on a worker is expected to use."""
    forget_computed(worker)
    worker.best_effort_millicores += millicores - run.expected_millicores
    run.expected_millicores = millicores


def _get_step_key(run: Run) -> tuple[str, int, int]:
    return run.name.job, run.name.occurrence, run.name.step


def get_available(worker: WorkerState) -> resources.Resources:
    """Returns a worker's free resources."""
    if worker.available is None:
        worker.available = (
            worker.info.capacity
            - worker.reserved
            - worker.unknown_run_resources
        )
    return worker.available


def record_clock(worker: WorkerState, clock_ms: int, read_at: float) -> None:
    """Records a reading of a worker's clock.

    Args:
        worker: The worker.
        clock_ms: Time on its clock, 0 if it sent none.
        read_at: Latest time of the reading, on the owner's clock.
    """
    if clock_ms > 0:
        worker.clock_ms, worker.clock_at = clock_ms, read_at


def estimate_clock_ms(worker: WorkerState, now: float) -> int:
    """Returns a lower bound of a worker's clock.

    Args:
        worker: The worker.
        now: Present time, on the owner's clock.

    Returns:
        Milliseconds on the worker's clock, 0 if it was never read.
    """
    if worker.clock_at == float("-inf"):
        return 0
    return worker.clock_ms + int(
        (now - worker.clock_at) * 1000 / MAX_CLOCK_DRIFT
    )


def record_lease(worker: WorkerState, until_ms: int) -> None:
    """Records that leases may last until `until_ms` on the worker's clock."""
    worker.leases_until_ms = max(worker.leases_until_ms, until_ms)
    remaining_s = (worker.leases_until_ms - worker.clock_ms) / 1000
    ends_at = (
        worker.clock_at + remaining_s * MAX_CLOCK_DRIFT + LEASE_END_SLACK_S
    )
    worker.leases_end_at = max(worker.leases_end_at, ends_at)


def find_longest_lease_end(granted_at: float, lease_most_ms: int) -> float:
    """Returns when the longest lease that a worker grants is over.

    Args:
        granted_at: When it was granted at the latest, on the owner's clock.
        lease_most_ms: How long it lasts at most, on the worker's clock.
    """
    lease_s = lease_most_ms / 1000 * MAX_CLOCK_DRIFT
    return granted_at + lease_s + LEASE_END_SLACK_S
