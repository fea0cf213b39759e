"""State of the fleet's owner, and basic operations on it."""

import math
from collections.abc import Iterable

from poplarspindle import interference, resources
from poplarspindle.fleet import (
    away_history,
    crash_history,
    effects,
    events,
    failing_jobs,
    grants,
    job_store,
    late_starts,
    leases,
    mechanisms,
    orders,
    ranking,
    records,
    retention,
    start_delay,
    tail_model,
    unknown_ends,
    usage,
    work,
    worker_chooser,
    worker_failures,
    worker_state,
)


class FleetState:
    """State on which the owner bases its decisions.

    Times (`_at`, `_until`, `_since`) are the owner's monotonic seconds.

    Attributes:
        epoch: Epoch of the ownership.
        job_store: All jobs.
        configuration: The operators' configuration, None before it is read.
        excluded_data_centres: Data centres that get no new work.
        workers: Workers by name.
        ready: Indexes of tasks that may start, by job, occurrence and step.
        unplaceable_needs: Smallest need that fits no worker, by kind of step.
        unplaceable_reset_at: When all kinds were last tried on all workers.
        ranks: Rank of each ready step, and when it was computed.
        cost_kinds: Numbers the kinds of steps by which workers are ranked.
        unplaceable_since: Since when a ready step fits on no worker.
        starved_tried_at: When a starved step was last tried on all workers.
        vacating_worker: Worker that tasks are moved away from, "" for none.
        vacating_until: Time after which that is abandoned.
        vacate_chosen_at: When a worker to vacate was last searched for.
        vacated_at: When vacating last ended or last stopped a task.
        open_jobs: Ids of jobs that have not ended.
        changed_jobs: Ids of jobs whose progress has to be recorded.
        unpublished: Ids of jobs whose state is not yet in the shared log.
        intake_offsets: Offsets up to which the intake was read, by partition.
        published_intake_offsets: Those published last.
        intake_published_at: When that was.
        changed_groups: Task groups to record, with their job.
        order_room: How many more orders, so starts, can be sent soon.
        start_statistics: How fast the owner starts what could be placed.
        start_delays_published: Whether the log says that work waits for it.
        deferred_effects: Effects that follow the next append.
        runs_to_record: Runs that the next append records.
        last_append_number: Number of the last append.
        appends_in_flight: What follows each append in flight, by its number.
        now: Present time.
        wall_ms: Present time, Unix milliseconds.
        lease_most_ms: Longest lease that a worker grants.
        early_ms: How long before its due time a task may start.
        keep_ended_s: Time for which an ended job's state is kept.
        harm_ms: Time for which a latency-critical task may miss its target.
        tail_model: Learned model of tail latencies and interference.
        usage_model: Learned model of processors used.
        possible_late_starts: Until when the start of a run that is over may
            still reach its worker, by worker.
        unreachable_in_flight: Workers that a record in flight lists, or None.
        logged_unreachable_workers: Those that the log may list so.
        unreachable_changed: Whether a new list of them has to be published.
        failing: Where tasks failed, and jobs whose runs fail.
        model_saved_at: When `model_save_due` was last set.
        model_save_due: Whether the next append records the tail model.
        load_published_at: When the load was last published.
        listed_at: When the list of workers was last read.
        inventory_asked_at: When the inventory was last asked for.
        inventory: Its last reading, None for none.
        inventory_covers_all: Whether it knew workers of each listed service.
        placement_needed: Whether the next placement round may place a task.
        mean_sizes_core_s: Mean work of a job, by queue.
        remaining_work: Estimated work by job and occurrence, if ready.
        load_logged_at: When a summary of the fleet was last logged.
        away: Lasting tasks that do not run; see `away_tasks`.
        kept_room: Room that is kept for these, by worker.
        crash_history: What is remembered of workers that went silent.
        expiring_jobs: Ids of ended jobs in the order in which they ended.
        retention: For how long ended jobs have been kept.
        unknown_ends: Ends of runs whose job is not known.
        mechanisms: Mechanisms by which the owner decides.
    """

    def __init__(
        self,
        recorded_jobs: job_store.JobStore,
        lease_most_ms: int = 6000,
        early_ms: int = 250,
        keep_ended_s: float = 120.0,
        harm_ms: int = 4000,
        used_mechanisms: mechanisms.Mechanisms = mechanisms.ALL,
    ) -> None:
        self.epoch = 0
        self.job_store = recorded_jobs
        self.configuration: work.Configuration | None = None
        self.excluded_data_centres: frozenset[str] = frozenset()
        self.workers: dict[str, worker_state.WorkerState] = {}
        self.ready: dict[tuple[str, int, int], set[int]] = {}
        self.unplaceable_needs: dict[
            tuple[str, bool, str, str], resources.Resources
        ] = {}
        self.unplaceable_reset_at = float("-inf")
        self.ranks: dict[tuple[str, int, int], tuple[tuple, float]] = {}
        self.cost_kinds = worker_chooser.CostKinds()
        self.unplaceable_since: dict[tuple[str, int, int], float] = {}
        self.starved_tried_at: dict[tuple[str, int, int], float] = {}
        self.vacating_worker = ""
        self.vacating_until = float("-inf")
        self.vacated_at = float("-inf")
        self.vacate_chosen_at = float("-inf")
        self.open_jobs: dict[str, None] = {}
        self.changed_jobs: dict[str, None] = {}
        self.unpublished: dict[str, None] = {}
        self.intake_offsets: list[int] = []
        self.published_intake_offsets: list[int] = []
        self.intake_published_at = float("-inf")
        self.changed_groups: dict[tuple[str, job_store.Group], None] = {}
        self.order_room: float = math.inf
        self.start_statistics = start_delay.StartStatistics()
        self.start_delays_published = False
        self.deferred_effects: list[effects.Effect] = []
        self.runs_to_record: list[worker_state.Run] = []
        self.last_append_number = 0
        self.appends_in_flight: dict[int, tuple] = {}
        self.now = 0.0
        self.wall_ms = 0
        self.lease_most_ms = lease_most_ms
        self.early_ms = early_ms
        self.keep_ended_s = keep_ended_s
        self.harm_ms = harm_ms
        self.mechanisms = used_mechanisms
        self.tail_model = tail_model.Model()
        self.usage_model = usage.UsageModel()
        self.expiring_jobs: dict[str, None] = {}
        self.retention = retention.Retention()
        self.unknown_ends = unknown_ends.UnknownEnds()
        self.unreachable_changed = False
        self.logged_unreachable_workers: set[str] = set()
        self.unreachable_in_flight: set[str] | None = None
        self.failing = failing_jobs.FailingJobs()
        self.placement_needed = True
        self.load_published_at = float("-inf")
        self.inventory_asked_at = float("-inf")
        self.inventory: events.InventoryRead | None = None
        self.inventory_covers_all = False
        self.listed_at = float("-inf")
        self.model_saved_at = float("-inf")
        self.model_save_due = False
        self.mean_sizes_core_s: dict[str, float] = {}
        self.remaining_work: dict[tuple[str, int], ranking.RemainingWork] = {}
        self.load_logged_at = float("-inf")
        self.away = away_history.AwayHistory()
        self.kept_room: dict[str, away_history.KeptRoom] = {}
        self.crash_history = crash_history.CrashHistory()
        self.possible_late_starts: dict[
            str, dict[tuple[work.TaskName, int], float]
        ] = {}

    @property
    def interference_weights(self) -> interference.Model:
        """Interference of best-effort runs with latency-critical ones."""
        return self.tail_model.pairs

    @property
    def queues(self) -> dict[str, work.Queue]:
        """Queues of the newest configuration, by name."""
        return self.configuration.queues if self.configuration else {}


def make_log_note(
    area: str, event: str, job: str = "", **fields
) -> effects.Note:
    """Creates a log line with named fields; see `effects.Note`."""
    return effects.Note(area, event, job, tuple(fields.items()))


def format_task(name: work.TaskName) -> str:
    """Formats a task's name without its job id, for the log."""
    return f"{name.occurrence}.{name.step}.{name.index}"


def find_queue(fleet: FleetState, job: job_store.Job) -> work.Queue:
    """Returns a job's queue as configured now, else as it was submitted."""
    submitted_queue = job.submission.queue
    return fleet.queues.get(submitted_queue.name, submitted_queue)


def queue_step(
    fleet: FleetState, job: job_store.Job, occurrence: int, step: int
) -> None:
    """Makes a step's queued tasks ready if all its prerequisites are done."""
    tasks_by_step = job.occurrences[occurrence]
    if not job_store.is_ready(job, tasks_by_step, step):
        return
    queued = job_store.find_startable(
        tasks_by_step[step], job.submission.steps[step]
    )
    if queued:
        fleet.ready[job.submission.job, occurrence, step] = queued
        fleet.placement_needed = True


def queue_occurrence(
    fleet: FleetState, job: job_store.Job, occurrence: int
) -> None:
    """Makes the queued tasks of an occurrence ready where a step may start."""
    for step in range(len(job.submission.steps)):
        queue_step(fleet, job, occurrence, step)


def open_due_occurrences(fleet: FleetState, job: job_store.Job) -> None:
    """Opens occurrences of a job that are due, not too many at a time."""
    submission = job.submission
    while job_store.may_open_occurrence(job):
        due_ms = job.opened_occurrences * submission.every_ms
        due_ms += submission.first_ms
        if submission.occurrence_count and fleet.wall_ms < due_ms:
            return
        occurrence = job_store.open_occurrence(job)
        fleet.changed_jobs[submission.job] = None
        queue_occurrence(fleet, job, occurrence)


def mark_task_changed(fleet: FleetState, name: work.TaskName) -> None:
    """Marks the group of a changed task to be written to the progress log."""
    first_index = name.index - name.index % records.GROUP_TASKS
    fleet.changed_groups[
        name.job, (name.occurrence, name.step, first_index)
    ] = None


def mark_run_changed(fleet: FleetState, run: worker_state.Run) -> None:
    """Marks a run's task as changed; for a gang, all of its members."""
    if not run.step.gang:
        mark_task_changed(fleet, run.name)
        return
    for first_index in range(0, run.step.tasks, records.GROUP_TASKS):
        group = (run.name.occurrence, run.name.step, first_index)
        fleet.changed_groups[run.name.job, group] = None


def requeue(fleet: FleetState, run: worker_state.Run) -> None:
    """Queues a run's task again, unless its job has ended."""
    task = run.task
    if task.attempt != run.attempt or task.phase is job_store.Phase.DONE:
        return
    task.phase = job_store.Phase.QUEUED
    task.worker_name = ""
    if run.job.state in job_store.ENDED:
        return
    mark_task_changed(fleet, run.name)
    if job_store.awaits_verdict(task, run.step):
        return
    key = (run.name.job, run.name.occurrence, run.name.step)
    fleet.ready.setdefault(key, set()).add(run.name.index)
    fleet.placement_needed = True


def unqueue(
    fleet: FleetState, run: worker_state.Run, indexes: Iterable[int]
) -> None:
    """Removes tasks of a run's step, given by index, from the ready ones."""
    key = (run.name.job, run.name.occurrence, run.name.step)
    ready_indexes = fleet.ready.get(key, set())
    ready_indexes.difference_update(indexes)
    if not ready_indexes:
        fleet.ready.pop(key, None)


def requeue_lost_run(
    fleet: FleetState,
    worker: worker_state.WorkerState,
    run: worker_state.Run,
    why: str,
    may_end: bool = False,
) -> list:
    """Requeues the task of a run that surely does not run; returns a note.

    Args:
        fleet: State of the fleet.
        worker: The worker.
        run: The run.
        why: Why it does not run, for the log.
        may_end: Whether the worker may still report how the run ended.
    """
    worker_state.remove_run(worker, run)
    if may_end and run.start_sent and not run.step.until_cancelled:
        run.task.open_attempts += (run.attempt,)
    late_starts.record_possible_late_start(fleet, worker, run)
    requeue(fleet, run)
    return [
        make_log_note(
            "runs",
            "given-up",
            run.name.job,
            task=format_task(run.name),
            attempt=run.attempt,
            worker=worker.info.name,
            why=why,
            asked=run.start_sent,
            placed_ms_ago=_convert_to_ms(fleet.now - run.placed_at),
            heard_ms_ago=_convert_to_ms(fleet.now - worker.last_report_at),
            lapsed_ms_ago=_convert_to_ms(
                fleet.now - grants.find_leases_end(worker)
            ),
        )
    ]


def _convert_to_ms(seconds: float) -> int | None:
    """Converts seconds to whole milliseconds; returns None for infinity."""
    return int(seconds * 1000) if math.isfinite(seconds) else None


def stop_run(
    fleet: FleetState, worker: worker_state.WorkerState, run: worker_state.Run
) -> list:
    """Orders a worker to stop a run.

    A run whose start was never sent is requeued instead. No order is sent
    while one is in flight or before `run.stop_after`.
    """
    if not run.start_sent:
        worker_state.remove_run(worker, run)
        requeue(fleet, run)
        return []
    run.stopping = True
    worker.runs_settled = False
    if run.stop_in_flight or fleet.now < run.stop_after:
        return []
    run.stop_in_flight = True
    order = orders.Stop(run.name, run.attempt, fleet.epoch)
    return [effects.Order(worker.info.name, order)]


def end_job(
    fleet: FleetState, job: job_store.Job, state: job_store.State
) -> list:
    """Sets a job's final state and stops its remaining runs."""
    name = job.submission.job
    job.state = state
    job.ended_ms = fleet.wall_ms
    fleet.changed_jobs[name] = None
    fleet.open_jobs.pop(name, None)
    fleet.expiring_jobs[name] = None
    tail_model.forget_job(fleet.tail_model, name)
    reopened = worker_failures.end_job(
        fleet.failing, fleet.workers, fleet.open_jobs, name
    )
    for key in [key for key in fleet.ready if key[0] == name]:
        del fleet.ready[key]
    for occurrence in job.occurrences:
        fleet.remaining_work.pop((name, occurrence), None)
    effect_list = [make_log_note("jobs", "ended", name, state=state.value)]
    fleet.placement_needed |= bool(reopened)
    effect_list += worker_failures.make_reopened_notes(reopened, name)
    for worker in fleet.workers.values() if job.runs_by_worker else ():
        if worker.info.name in job.runs_by_worker:
            for run in [r for r in worker.runs.values() if r.name.job == name]:
                effect_list += stop_run(fleet, worker, run)
    job.occurrences = {}
    return effect_list


def send_start(
    fleet: FleetState, worker: worker_state.WorkerState, run: worker_state.Run
) -> list:
    """Orders a worker to start a run; an unreachable worker gets no order."""
    if worker.poll_failed or worker.logged_unreachable:
        return []
    run.start_sent = run.start_in_flight = True
    run.start_sent_at = fleet.now
    run.answered_at = float("inf")
    clock_ms = worker_state.estimate_clock_ms(worker, fleet.now)
    until_ms = clock_ms + leases.choose_start_lease(
        worker.answered_until_ms - clock_ms, fleet.lease_most_ms
    )
    worker_state.record_lease(worker, until_ms)
    grants.record_sent(
        worker, run.key, grants.UNKNOWN_TOKEN, fleet.now, until_ms
    )
    order = orders.Start(
        run.name,
        run.attempt,
        fleet.epoch,
        run.job.submission.spec,
        until_ms,
        run.task.checkpoint,
        fleet.now,
        find_queue(fleet, run.job).priority,
    )
    return [effects.Order(worker.info.name, order)]
