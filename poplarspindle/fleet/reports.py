"""Handles workers' reports and their answers to orders."""

from poplarspindle import resources
from poplarspindle.fleet import (
    absence,
    crashes,
    effects,
    ends,
    events,
    exclusions,
    fleet_state,
    grants,
    job_states,
    late_starts,
    orders,
    pacing,
    usage,
    withdrawals,
    work,
    worker_state,
)

AT_WORK_PERCENT = 100  # Reported share of speed of a run in full service.
FULL_EXCLUSION_S = 0.3  # The next report shows resources that others took up.
BUSY_EXCLUSION_S = 1.0
MAX_UNANSWERED_STARTS = 3
RETRYABLE = frozenset(
    {orders.Refusal.LATE, orders.Refusal.NO_ANSWER, orders.Refusal.OVERTAKEN}
)
SUSPECT_WATCH_S = 5.0  # A suspect at work for so long may have company again.


def handle_report(
    fleet: fleet_state.FleetState, event: events.Reported
) -> list:
    """Applies a worker's report to the state."""
    worker = fleet.workers.get(event.worker_name)
    if worker is None:
        return []
    report = event.report
    effect_list = []
    absence.record_report(worker, event.at)
    worker.granted_end_at = float("inf")
    worker_state.record_clock(worker, report.clock_ms, event.at)
    grants.record_answered(worker, event.sent_at)
    grants.void_overtaken(worker, event.token, event.at)
    allow_leases = effects.AllowLeases(event.worker_name, event.failed_polls)
    if worker.logged_unreachable:
        # No lease until the log no longer lists it as unreachable.
        listed_in = (
            fleet.logged_unreachable_workers
            if fleet.unreachable_in_flight is None
            else fleet.unreachable_in_flight
        )
        if event.worker_name in listed_in:
            fleet.unreachable_changed = True
        worker.poll_failed = False
        return []
    if not event.until_ms:
        effect_list.append(allow_leases)
    is_first_report = not worker.has_reported
    if is_first_report:
        late_starts.rule_out_earlier_owners(fleet, worker)
    is_reborn = report.incarnation_ms != worker.incarnation_ms
    if is_reborn or event.worker_name in fleet.crash_history.lost_at:
        effect_list += crashes.handle_incarnation(
            fleet,
            worker,
            report.incarnation_ms,
            report.list_runs(),
        )
    if is_reborn:
        effect_list += _begin_incarnation(fleet, worker, report)
    elif is_first_report:
        effect_list += _stop_late_starts(fleet, worker)
    if is_first_report or is_reborn:
        # Leases that were granted while it was idle hold for its next run.
        worker.leases_end_at = max(
            worker.leases_end_at,
            event.leases_end_at + worker_state.LEASE_END_SLACK_S,
        )
    worker.last_report_at = event.at
    worker.may_accept_more = True
    if worker.poll_failed:
        worker.poll_failed = False
        worker.no_placement_until = event.at
        worker.excluded_until = min(worker.excluded_until, event.at)
        effect_list.append(
            fleet_state.make_log_note(
                "workers", "heard-again", worker=event.worker_name
            )
        )
    if event.until_ms and is_reborn:
        # The deadline was meant for the earlier incarnation's clock.
        worker.leases_end_at = worker_state.find_longest_lease_end(
            event.at, fleet.lease_most_ms
        )
    elif event.until_ms:
        worker_state.record_lease(worker, event.until_ms)
        worker.answered_until_ms = max(worker.answered_until_ms, event.until_ms)
    effect_list += ends.handle_ends(fleet, worker, report)
    effect_list += _compare_running(fleet, worker, event, is_first_report)
    return effect_list + pacing.review_paces(fleet, worker)


def _begin_incarnation(
    fleet: fleet_state.FleetState,
    worker: worker_state.WorkerState,
    report: work.Report,
) -> list:
    """Replaces the state of a worker's earlier incarnation.

    A start in flight may still arrive at the new incarnation. A run that the
    new one already lists, at work or ended, is adopted; a start that may still
    arrive is made void by a stop sent ahead of it.
    """
    effect_list = []
    incarnation_ms = report.incarnation_ms
    listed_runs = report.list_runs()
    for run in list(worker.runs.values()):
        if run.task.incarnation_ms == incarnation_ms:
            continue
        if run.key in listed_runs:
            run.task.incarnation_ms = incarnation_ms
            fleet_state.mark_task_changed(fleet, run.name)
        elif run.start_sent and (
            run.unanswered_starts or run.answered_at == float("inf")
        ):
            # The earlier incarnation's answer does not stop a late start here.
            run.answered_at = float("inf")
            run.stop_after = fleet.now
            effect_list += fleet_state.stop_run(fleet, worker, run)
        else:
            effect_list += fleet_state.requeue_lost_run(
                fleet, worker, run, "worker-born-again"
            )
    effect_list += _stop_late_starts(fleet, worker)
    grants.record_next_life(worker, fleet.lease_most_ms)
    worker.incarnation_ms = incarnation_ms
    worker.last_end_handled = worker.last_end_recorded = 0
    worker.leases_until_ms = worker.answered_until_ms = 0
    worker.leases_end_at = float("-inf")
    if worker.runs:
        # A start with a deadline of the former, higher clock may have come.
        worker.leases_end_at = worker_state.find_longest_lease_end(
            fleet.now, fleet.lease_most_ms
        )
    return effect_list


def _stop_late_starts(
    fleet: fleet_state.FleetState, worker: worker_state.WorkerState
) -> list:
    """Stops runs that are over and whose start may still reach the worker.

    A worker refuses the start of a run that it was told to stop.
    """
    return [
        effects.Order(worker.info.name, orders.Stop(name, attempt, fleet.epoch))
        for name, attempt in late_starts.list_possible_late_starts(
            fleet, worker.info.name
        )
    ]


def _compare_running(fleet, worker, event, is_first_report: bool) -> list:
    """Compares the runs that a worker lists with those placed on it.

    Args:
        fleet: State of the fleet.
        worker: State of the worker.
        event: The `Reported` event.
        is_first_report: Whether it is the worker's first under this epoch.
    """
    effect_list = []
    listed_runs = {
        (listed_run.task, listed_run.attempt): listed_run
        for listed_run in event.report.running
    }
    failing = fleet.failing
    worker_state.set_unknown_run_resources(worker, resources.ZERO)
    for key, listed_run in listed_runs.items():
        run = worker.runs.get(key)
        if run is None:
            effect_list += _stop_unknown_run(fleet, worker, listed_run)
            continue
        run.confirmed = True
        job_states.record_begun(fleet, run.job)
        run.usage = listed_run.usage
        run.at_full_speed = listed_run.percent >= AT_WORK_PERCENT
        if run.first_seen_at > event.at:
            run.first_seen_at = event.at
        if worker.suspects and event.at - run.first_seen_at >= SUSPECT_WATCH_S:
            worker_state.clear_suspect(worker, key)
        if worker.exclusion_s or failing.by_job or failing.failed_on:
            effect_list += exclusions.record_at_work(fleet, worker, run)
        if fleet.mechanisms.measured_use:
            usage.record_usage(fleet.usage_model, worker, run, event.at)
        if (
            listed_run.checkpoint
            and listed_run.checkpoint != run.task.checkpoint
            and not run.step.gang
        ):
            run.task.checkpoint = listed_run.checkpoint
    for run in [
        placed_run
        for key, placed_run in worker.runs.items()
        if key not in listed_runs
    ]:
        answered_earlier = late_starts.was_answered_earlier(run)
        if not answered_earlier and (
            (is_first_report and run.recorded and not run.stopping)
            or late_starts.needs_repeat(run)
        ):
            effect_list += withdrawals.send_start(fleet, worker, run)
        elif event.report.ends_complete and (
            answered_earlier or event.sent_at > run.answered_at
        ):
            effect_list += fleet_state.requeue_lost_run(
                fleet, worker, run, "not-listed", True
            )
    return effect_list


def _stop_unknown_run(
    fleet: fleet_state.FleetState, worker: worker_state.WorkerState, listed_run
) -> list:
    """Stops a run that a worker lists but that is not placed on it."""
    job = fleet.job_store.jobs.get(listed_run.task.job)
    if job is not None and listed_run.task.step < len(job.submission.steps):
        step = job.submission.steps[listed_run.task.step]
        worker_state.set_unknown_run_resources(
            worker,
            worker.unknown_run_resources + worker_state.get_reserved(step),
        )
    order = orders.Stop(listed_run.task, listed_run.attempt, fleet.epoch)
    return [
        effects.Order(worker.info.name, order),
        fleet_state.make_log_note(
            "runs",
            "stop-stranger",
            listed_run.task.job,
            task=fleet_state.format_task(listed_run.task),
            attempt=listed_run.attempt,
            worker=worker.info.name,
        ),
    ]


def handle_answer(
    fleet: fleet_state.FleetState, event: events.OrderAnswered
) -> list:
    """Applies a worker's answer to an order to the state."""
    worker = fleet.workers.get(event.worker_name)
    if worker is None:
        return []
    if event.answer.clock_ms:
        worker.granted_end_at = float("inf")
        expected_ms = worker_state.estimate_clock_ms(worker, event.at)
        if grants.is_clock_of_next_life(event.answer.clock_ms, expected_ms):
            # Another life answered; only its next report tells which.
            grants.record_next_life(worker, fleet.lease_most_ms)
        worker_state.record_clock(worker, event.answer.clock_ms, event.at)
    if isinstance(event.order, orders.Start):
        _record_start_answer(worker, event)
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


def _record_start_answer(
    worker: worker_state.WorkerState, event: events.OrderAnswered
) -> None:
    """Records what the answer to a start, or none, says of the leases."""
    order, key = event.order, (event.order.task, event.order.attempt)
    grants.record_answered(worker, key)
    if event.answer.refusal is orders.Refusal.UNREACHABLE:
        return
    worker_state.record_lease(worker, order.until_ms)
    if event.answer.refusal is orders.Refusal.NO_ANSWER:
        grants.record_sent(
            worker,
            (*key, event.sent_at),
            order.epoch,
            event.sent_at,
            order.until_ms,
        )
    elif event.answer.refusal is None:
        grants.void_overtaken(worker, order.epoch, event.at)


def _repeat_stop(fleet, worker, event) -> list:
    """Repeats an unanswered stop of an ended run whose start may be late.

    Args:
        fleet: State of the fleet.
        worker: State of the worker.
        event: The `OrderAnswered` event with the stop and its answer.
    """
    order = event.order
    unanswered = event.answer.refusal in (
        orders.Refusal.NO_ANSWER,
        orders.Refusal.OVERTAKEN,
    )
    if (
        not isinstance(order, orders.Stop)
        or not unanswered
        or worker.poll_failed
    ):
        return []
    possible = late_starts.list_possible_late_starts(fleet, worker.info.name)
    if (order.task, order.attempt) not in possible:
        return []
    return [effects.Order(worker.info.name, order)]


def _handle_stop_answer(fleet, worker, run, event) -> list:
    run.stop_in_flight = False
    if event.answer.refusal is None:
        run.answered_at = min(run.answered_at, event.at)
        run.stop_after = fleet.now + 1.0
    return []


def _handle_start_answer(fleet, worker, run, event) -> list:
    refusal = event.answer.refusal
    run.start_in_flight = False
    effect_list = []
    if refusal is None:
        run.confirmed = True
        job_states.record_begun(fleet, run.job)
        run.answered_at = event.at
    elif refusal is orders.Refusal.ENDED:
        run.answered_at = event.at
    else:
        effect_list += _handle_start_refusal(fleet, worker, run, refusal)
    if refusal not in (orders.Refusal.NO_ANSWER, orders.Refusal.UNREACHABLE):
        effect_list += withdrawals.repeat_held_starts(fleet, worker)
    return effect_list


def _handle_start_refusal(fleet, worker, run, refusal) -> list:
    """Handles a refused or unanswered start.

    The start is repeated here if it may still succeed. The task is queued
    again if the run surely did not start; in doubt the run is stopped first.

    Args:
        fleet: State of the fleet.
        worker: State of the worker that was to start the run.
        run: The run.
        refusal: The `orders.Refusal`; NO_ANSWER means no answer.
    """
    effect_list = [
        fleet_state.make_log_note(
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
    if refusal is orders.Refusal.NO_ANSWER:
        late_starts.record_unanswered_start(run, fleet.now)
    if refusal is orders.Refusal.NO_CAPACITY:
        worker.no_placement_until = fleet.now + FULL_EXCLUSION_S
    elif not (
        run.stopping
        or refusal in RETRYABLE
        or late_starts.waited_too_long(run, fleet.now)
    ):
        worker.no_placement_until = fleet.now + BUSY_EXCLUSION_S
    if run.stopping:
        return effect_list + fleet_state.stop_run(fleet, worker, run)
    surely_not_started = run.unanswered_starts == 0 and not run.confirmed
    is_retryable = refusal in RETRYABLE
    if refusal is orders.Refusal.NO_ANSWER and late_starts.has_repeat_in_flight(
        worker
    ):
        return effect_list
    if is_retryable and run.unanswered_starts < MAX_UNANSWERED_STARTS:
        return effect_list + withdrawals.send_start(fleet, worker, run)
    if surely_not_started and not is_retryable:
        effect_list += _requeue_unstarted(fleet, worker, run, refusal)
        return effect_list
    return effect_list + fleet_state.stop_run(fleet, worker, run)


def _requeue_unstarted(fleet, worker, run, refusal) -> list:
    """Queues a task again whose start was surely not carried out.

    The other members of a gang are stopped, as a gang runs only as a whole.
    """
    effect_list = fleet_state.requeue_lost_run(
        fleet, worker, run, refusal.value
    )
    return effect_list + withdrawals.stop_other_members(fleet, run)
