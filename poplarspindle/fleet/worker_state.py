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


@dataclasses.dataclass(slots=True, eq=False, repr=False)
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

    name: work.TaskName
    job: job_store.Job
    task: job_store.Task
    placed_at: float
    recorded: bool
    step: work.Step = dataclasses.field(init=False)
    attempt: int = dataclasses.field(init=False)
    expected_millicores: int = dataclasses.field(init=False)
    start_sent: bool = False
    start_sent_at: float = float("-inf")
    answered_at: float = float("inf")
    confirmed: bool = False
    unanswered_starts: int = 0
    may_run_late_until: float = float("-inf")
    held_back: bool = False
    stopping: bool = False
    stop_in_flight: bool = False
    stop_after: float = float("-inf")
    start_in_flight: bool = False
    percent: int = 100
    at_full_speed: bool = False
    usage: float | None = None
    first_seen_at: float = float("inf")

    def __post_init__(self) -> None:
        self.step = self.job.submission.steps[self.name.step]
        self.attempt = self.task.attempt
        self.expected_millicores = self.step.need.millicores

    @property
    def key(self) -> tuple[work.TaskName, int]:
        """The task's name and the attempt number, which identify the run."""
        return self.name, self.attempt


@dataclasses.dataclass(slots=True, eq=False, repr=False)
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
        granted_end_at: When the leases end that it can have been granted if
            it has died; infinity if only `leases_end_at` tells. Void once it
            shows that it is alive.
        answered_until_ms: Latest end of its leases that it has confirmed, on
            its clock.
        unanswered_grants: Orders that may still renew its leases.
        last_end_handled: Number of the last run end that was handled.
        last_end_recorded: Number of the last run end whose acknowledgement
            follows the next append.
        runs: Runs placed on it.
        unknown_run_resources: Resources of runs that it reports but that are
            not placed on it; they are being stopped.
        runs_settled: Whether ticks need not look at its runs; see `run_checks`.
        runs_by_step: Number of runs by job, occurrence and step.
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
        no_placement_until: Time before which nothing is placed on it, as it
            refused or did not answer.
        excluded_until: The same, as runs failed on it; see `exclusions`.
        excluded_at: When it was last excluded for that.
        failed_at: When a run last failed on it, without tries of jobs that had
            failed there.
        probe_failed_at: The same with these.
        may_accept_more: Whether it may accept more than in the last placement
            round.
        failing_jobs: Jobs that had a run fail on it since it last completed a
            run; see `worker_failures`.
        proven_jobs: Those of them that run well on other workers.
        failed_after_s: The longest that a run lasted that failed since then.
        exclusion_s: For how long it is excluded because of them, 0 if not.
        latency_critical_by_image: Millicores of latency-critical runs, by
            image.
        ended_best_effort: Best-effort runs that ended recently: when, image,
            millicores used.
        learned_at: When its tail latencies last updated the tail model.
        headroom_by_image: Interference that new best-effort runs may add, by
            image of the latency-critical runs; None if it has to be computed
            again.
        poll_failed: Whether it did not answer the last poll, or its entry was
            gone before it could be polled.
        logged_unreachable: Whether the log may list it as unreachable.
        paced_at: When the pace of its best-effort runs last changed.
        tails_need_watch: Whether its tail latencies are near their targets, or
            best-effort runs are slowed down for their sake.
        target_missed_since: Since when a tail latency exceeds its target,
            infinity if none does.
        starved_started_at: When a starved task was last placed on it.
        leaves_at: Earliest time at which it shuts down, infinity if it stays.
        missing_since: Since when its entry is missing from the list and it has
            not reported, infinity if the list has it; see `absence`.
        gone: Whether it may be gone by that.
    """

    info: work.WorkerInfo
    listed: bool = True
    incarnation_ms: int = 0
    last_report_at: float = float("-inf")
    clock_ms: int = 0
    clock_at: float = float("-inf")
    leases_until_ms: int = 0
    leases_end_at: float = float("-inf")
    granted_end_at: float = float("inf")
    answered_until_ms: int = 0
    unanswered_grants: list[UnansweredGrant] = dataclasses.field(
        default_factory=list
    )
    last_end_handled: int = 0
    last_end_recorded: int = 0
    runs: dict[tuple[work.TaskName, int], Run] = dataclasses.field(
        default_factory=dict
    )
    unknown_run_resources: resources.Resources = resources.ZERO
    runs_settled: bool = False
    runs_by_step: collections.Counter = dataclasses.field(
        default_factory=collections.Counter
    )
    suspects: set[tuple[work.TaskName, int]] = dataclasses.field(
        default_factory=set
    )
    reserved: resources.Resources = resources.ZERO
    available: resources.Resources | None = None
    costs: dict[int, tuple | None] = dataclasses.field(default_factory=dict)
    best_effort_millicores: int = 0
    latency_critical_millicores: int = 0
    latency_critical_by_image: collections.Counter = dataclasses.field(
        default_factory=collections.Counter
    )
    no_placement_until: float = float("-inf")
    excluded_until: float = float("-inf")
    excluded_at: float = float("-inf")
    failed_at: float = float("-inf")
    probe_failed_at: float = float("-inf")
    may_accept_more: bool = True
    failing_jobs: set[str] = dataclasses.field(default_factory=set)
    proven_jobs: set[str] = dataclasses.field(default_factory=set)
    failed_after_s: float = 0.0
    exclusion_s: float = 0.0
    ended_best_effort: list[tuple[float, str, float]] = dataclasses.field(
        default_factory=list
    )
    learned_at: float = float("-inf")
    headroom_by_image: dict[str, float] | None = None
    poll_failed: bool = False
    logged_unreachable: bool = False
    paced_at: float = float("-inf")
    tails_need_watch: bool = True
    target_missed_since: float = float("inf")
    starved_started_at: float = float("-inf")
    leaves_at: float = float("inf")
    missing_since: float = float("inf")
    gone: bool = False

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
    run.job.runs_by_worker[worker.info.name] += 1
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
    _count_down(run.job.runs_by_worker, worker.info.name)
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
    if millicores == run.expected_millicores:
        return
    forget_computed(worker)
    worker.best_effort_millicores += millicores - run.expected_millicores
    run.expected_millicores = millicores


def set_unknown_run_resources(
    worker: WorkerState, unknown: resources.Resources
) -> None:
    """Changes what runs hold that a worker has and that are not placed."""
    if unknown != worker.unknown_run_resources:
        worker.unknown_run_resources = unknown
        forget_computed(worker)


def clear_suspect(worker: WorkerState, key: tuple[work.TaskName, int]) -> None:
    """Clears a run of the suspicion that it crashes its worker."""
    worker.suspects.discard(key)
    forget_computed(worker)


def _get_step_key(run: Run) -> tuple[str, int, int]:
    return run.name.job, run.name.occurrence, run.name.step


def get_available(worker: WorkerState) -> resources.Resources:
    """Returns a worker's free resources."""
    if worker.available is None:
        worker.available = worker.info.capacity - worker.reserved
        if worker.unknown_run_resources is not resources.ZERO:
            worker.available -= worker.unknown_run_resources
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
    worker.granted_end_at = float("inf")
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
