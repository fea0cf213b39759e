"""What workers report and answer, taken in by the owner."""

from poplarspindle import resources
from poplarspindle.fleet import (
    effects,
    ends,
    events,
    fleet_state,
    job_store,
    orders,
    pacing,
    work,
    worker_state,
)

AT_WORK_PERCENT = 100
FULL_S = 0.3  # Room that others take is seen with the next report.
BUSY_S = 1.0
MAX_UNANSWERED_STARTS = 3


def handle_report(
    fleet: fleet_state.FleetState, event: events.Reported
) -> list:
    """Reduces a worker's report."""
    worker = fleet.workers.get(event.worker_name)
    if worker is None:
        return []
    report = event.report
    effect_list = []
    worker_state.record_clock(worker, report.clock_ms, event.at)
    allow = effects.AllowLeases(event.worker_name, event.failed_polls)
    if worker.logged_unreachable:
        # The log has to forget that it is dark before it gets a lease.
        fleet.unreachable_changed = (
            fleet.unreachable_changed or worker.poll_failed
        )
        worker.poll_failed = False
        return []
    if not event.until_ms:
        effect_list.append(allow)
    first = not worker.has_reported
    if report.incarnation_ms != worker.incarnation_ms:
        effect_list += _begin_incarnation(fleet, worker, report)
    worker.last_report_at = event.at
    worker.changed = True
    if worker.poll_failed:
        worker.poll_failed = False
        worker.no_placement_until = event.at
        effect_list.append(
            fleet_state.make_note(
                "workers", "heard-again", worker=event.worker_name
            )
        )
    if event.until_ms:
        worker_state.record_lease(worker, event.until_ms)
    effect_list += ends.handle_ends(fleet, worker, report)
    effect_list += _compare_running(fleet, worker, event, first)
    return effect_list + pacing.review(fleet, worker)


def _begin_incarnation(
    fleet: fleet_state.FleetState,
    worker: worker_state.WorkerState,
    report: work.Report,
) -> list:
    """Forgets a worker's earlier life.

    A start on its way may still arrive in the new life: what is listed there
    is taken over, and what may come is refused beforehand by a stop.
    """
    effect_list = []
    incarnation_ms = report.incarnation_ms
    listed = {(row.task, row.attempt) for row in report.running}
    for run in list(worker.runs.values()):
        if run.task.incarnation_ms == incarnation_ms:
            continue
        if run.key in listed:
            run.task.incarnation_ms = incarnation_ms
            fleet_state.mark_task_changed(fleet, run.name)
        elif run.start_sent and (
            run.unanswered_starts or run.answered_at == float("inf")
        ):
            # What the earlier life answered refuses nothing in this one.
            run.answered_at = float("inf")
            effect_list += fleet_state.stop_run(fleet, worker, run)
        else:
            effect_list += fleet_state.requeue_lost_run(
                fleet, worker, run, "worker-born-again"
            )
    for name, attempt in fleet_state.list_possible_late_starts(
        fleet, worker.info.name
    ):
        order = orders.Stop(name, attempt, fleet.epoch)
        effect_list.append(effects.Order(worker.info.name, order))
    worker.incarnation_ms = incarnation_ms
    worker.last_end_handled = worker.recorded = 0
    worker.until_ms = 0
    worker.leases_end_at = float("-inf")
    return effect_list


def _compare_running(fleet, worker, event, first: bool) -> list:
    """Compares what a worker lists with what was placed on it."""
    effect_list = []
    listed = {
        (listed_run.task, listed_run.attempt): listed_run
        for listed_run in event.report.running
    }
    worker.unknown_run_resources = resources.ZERO
    worker.available = None
    for key, listed_run in listed.items():
        run = worker.runs.get(key)
        if run is None:
            effect_list += _stop_unknown_run(fleet, worker, listed_run)
            continue
        run.confirmed = True
        run.usage = listed_run.usage
        run.at_work = listed_run.percent >= AT_WORK_PERCENT
        if run.first_seen_at > event.at:
            run.first_seen_at = event.at
        if (
            listed_run.checkpoint
            and listed_run.checkpoint != run.task.checkpoint
            and not run.step.gang
        ):
            run.task.checkpoint = listed_run.checkpoint
    for run in [r for key, r in worker.runs.items() if key not in listed]:
        if (first and run.recorded and not run.stopping) or _is_unsent(run):
            effect_list += fleet_state.send_start(fleet, worker, run)
        elif event.sent_at > run.answered_at and event.report.whole:
            effect_list += fleet_state.requeue_lost_run(
                fleet, worker, run, "not-listed", True
            )
    return effect_list


def _is_unsent(run: worker_state.Run) -> bool:
    """Tells whether a start went without an answer and is to be repeated.

    It was not repeated while the worker did not answer looks.
    """
    unanswered = run.unanswered_starts > 0 and run.answered_at == float("inf")
    return unanswered and not run.start_in_flight and not run.stopping


def _stop_unknown_run(
    fleet: fleet_state.FleetState, worker: worker_state.WorkerState, listed_run
) -> list:
    """Has a run stopped that nobody wants any more."""
    job = fleet.job_store.jobs.get(listed_run.task.job)
    if job is not None and listed_run.task.step < len(job.submission.steps):
        step = job.submission.steps[listed_run.task.step]
        worker.unknown_run_resources = (
            worker.unknown_run_resources + worker_state.get_reserved(step)
        )
    order = orders.Stop(listed_run.task, listed_run.attempt, fleet.epoch)
    return [
        effects.Order(worker.info.name, order),
        fleet_state.make_note(
            "runs",
            "stop-stranger",
            listed_run.task.job,
            task=fleet_state.format_task(listed_run.task),
            attempt=listed_run.attempt,
            worker=worker.info.name,
        ),
    ]


def handle_answer(fleet: fleet_state.FleetState, event: events.Ordered) -> list:
    """Reduces a worker's answer to an order."""
    worker = fleet.workers.get(event.worker_name)
    if worker is None:
        return []
    if event.answer.clock_ms:
        worker_state.record_clock(worker, event.answer.clock_ms, event.at)
    run = worker.runs.get((event.order.task, event.order.attempt))
    if run is None:
        return _repeat_stop(fleet, worker, event)
    if isinstance(event.order, orders.Pace):
        if event.answer.refusal is not None:
            run.percent = worker_state.UNKNOWN_PERCENT
        return []
    if isinstance(event.order, orders.Stop):
        return _handle_stop_answer(fleet, worker, run, event)
    return _handle_start_answer(fleet, worker, run, event)


def _repeat_stop(fleet, worker, event) -> list:
    """Repeats the stop of a run that is over, as a start may still arrive."""
    order = event.order
    unanswered = event.answer.refusal is orders.Refusal.SILENT
    if (
        not isinstance(order, orders.Stop)
        or not unanswered
        or worker.poll_failed
    ):
        return []
    late_starts = fleet_state.list_possible_late_starts(fleet, worker.info.name)
    if (order.task, order.attempt) not in late_starts:
        return []
    return [effects.Order(worker.info.name, order)]


def _handle_stop_answer(fleet, worker, run, event) -> list:
    run.stop_in_flight = False
    if event.answer.refusal is None:
        run.answered_at = min(run.answered_at, event.at)
        run.stop_after = fleet.at + 1.0
    return []


def _handle_start_answer(fleet, worker, run, event) -> list:
    refusal = event.answer.refusal
    run.start_in_flight = False
    effect_list = []
    if refusal is None:
        run.confirmed = True
        run.answered_at = event.at
    elif refusal is orders.Refusal.ENDED:
        run.answered_at = event.at
    else:
        effect_list += _refuse_start(fleet, worker, run, refusal)
    return effect_list


def _refuse_start(fleet, worker, run, refusal) -> list:
    """Tries a start again, here or elsewhere, as far as that is safe."""
    effect_list = [
        fleet_state.make_note(
            "runs",
            "start-refused",
            run.name.job,
            task=fleet_state.format_task(run.name),
            attempt=run.attempt,
            worker=worker.info.name,
            why=refusal.value,
            silences=run.unanswered_starts,
        )
    ]
    if refusal is orders.Refusal.FENCED:
        return effect_list
    if refusal is orders.Refusal.SILENT:
        run.unanswered_starts += 1
    if refusal is orders.Refusal.ROOM:
        worker.no_placement_until = fleet.at + FULL_S
    elif refusal not in (orders.Refusal.LATE, orders.Refusal.SILENT):
        worker.no_placement_until = fleet.at + BUSY_S
    if run.stopping:
        return effect_list + fleet_state.stop_run(fleet, worker, run)
    surely_absent = run.unanswered_starts == 0 and not run.confirmed
    again = refusal in (orders.Refusal.LATE, orders.Refusal.SILENT)
    if again and run.unanswered_starts < MAX_UNANSWERED_STARTS:
        return effect_list + fleet_state.send_start(fleet, worker, run)
    if surely_absent and not again:
        effect_list += _give_back(fleet, worker, run, refusal)
        return effect_list
    return effect_list + fleet_state.stop_run(fleet, worker, run)


def _give_back(fleet, worker, run, refusal) -> list:
    """Queues a task again whose start was surely not carried out."""
    effect_list = fleet_state.requeue_lost_run(
        fleet, worker, run, refusal.value
    )
    if not run.step.gang:
        return effect_list
    members = run.job.occurrences.get(run.name.occurrence, [])
    if not members:
        return effect_list
    for task in members[run.name.step]:
        other = fleet.workers.get(task.worker_name)
        if other is None or task.phase is not job_store.Phase.PLACED:
            continue
        for held in list(other.occurrences.values()):
            if held.task is task:
                effect_list += fleet_state.stop_run(fleet, other, held)
    return effect_list
