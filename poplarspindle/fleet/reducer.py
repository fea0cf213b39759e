"""Reducer of the fleet's owner: turns events into effects.

One thread owns the state and changes it in place. The reducer is
deterministic: the same events in the same order give the same effects.
"""

import sys

from poplarspindle.fleet import (
    absence,
    away_tasks,
    consolidation,
    crash_history,
    crashes,
    effects,
    ends,
    events,
    fleet_state,
    grants,
    job_store,
    lasting_turns,
    orders,
    placement_rounds,
    ranking,
    ready_steps,
    recording,
    reports,
    retention,
    run_checks,
    takeover,
    waiting,
    withdrawals,
    work,
    worker_failures,
    worker_selection,
    worker_state,
)

LOAD_SUMMARY_INTERVAL_S = 1.0
POLL_FAILED_EXCLUSION_S = 1.0
EXCLUSION_END_WINDOW_S = 0.5  # Longer than a tick, so no end is missed.


def reduce(
    fleet: fleet_state.FleetState, event: events.Event
) -> list[effects.Effect]:
    """Applies one event to the state and returns the effects.

    Call `settle` after the last event of a batch.
    """
    fleet.now = event.at
    if hasattr(event, "wall_ms"):
        fleet.wall_ms = event.wall_ms
    return _HANDLERS[type(event)](fleet, event)


def settle(fleet: fleet_state.FleetState) -> list[effects.Effect]:
    """Places ready tasks and records changed state."""
    return placement_rounds.place_ready(fleet) + recording.flush(fleet)


def _handle_claimed(
    fleet: fleet_state.FleetState, event: events.Claimed
) -> list:
    effect_list = takeover.take_over(fleet, event)
    for job in list(fleet.unknown_ends.by_job):
        if job in fleet.job_store.jobs:
            effect_list += ends.apply_unknown_ends(fleet, job)
    return effect_list


def _handle_job_read(
    fleet: fleet_state.FleetState, event: events.JobRead
) -> list:
    job = fleet.job_store.jobs.get(event.job)
    if (
        job is None
        or job.state in job_store.ENDED
        or event.job in fleet.open_jobs
    ):
        return []
    fleet.unpublished[event.job] = None
    if job.cancelled:
        return fleet_state.end_job(fleet, job, job_store.State.CANCELLED)
    fleet.open_jobs[event.job] = None
    ranking.learn_size(fleet.mean_sizes_core_s, job.submission)
    fleet_state.open_due_occurrences(fleet, job)
    return ends.apply_unknown_ends(fleet, event.job)


def _handle_intake_read(
    fleet: fleet_state.FleetState, event: events.IntakeRead
) -> list:
    fleet.intake_offsets[event.partition] = event.next_offset
    return []


def _handle_cancel_read(
    fleet: fleet_state.FleetState, event: events.CancelRead
) -> list:
    job = fleet.job_store.jobs.get(event.job)
    if job is None or job.state in job_store.ENDED:
        return []
    fleet.unpublished[event.job] = None
    return fleet_state.end_job(fleet, job, job_store.State.CANCELLED)


def _handle_workers_listed(
    fleet: fleet_state.FleetState, event: events.WorkersListed
) -> list:
    effect_list = []
    fleet.listed_at = event.at
    listed_workers = {info.name: info for info in event.workers}
    for name, info in listed_workers.items():
        worker = fleet.workers.get(name)
        if worker is None:
            worker = fleet.workers[name] = worker_state.WorkerState(info)
            worker.logged_unreachable = name in fleet.logged_unreachable_workers
            effect_list.append(_make_worker_note("listed", info))
            effect_list += crashes.handle_listed(fleet, info)
        elif not worker.listed:
            effect_list.append(_make_worker_note("listed-again", info))
        elif worker.info.presence is not info.presence:
            effect_list.append(_make_worker_note("presence", info))
        if worker.info is not info or not worker.listed:
            worker_state.forget_computed(worker)
            worker.may_accept_more = fleet.placement_needed = True
        worker.listed = True
        worker.info, info_before = info, worker.info
        if worker.runs and info is not info_before:
            effect_list += withdrawals.withdraw_unanswered_starts(fleet, worker)
        if info.presence is work.Presence.LEAVING:
            leaves_at = event.at + info.leaves_ms / 1000
            worker.leaves_at = min(worker.leaves_at, leaves_at)
        else:
            worker.leaves_at = float("inf")
    for name, worker in list(fleet.workers.items()):
        if name in listed_workers:
            continue
        if worker.listed:
            worker.listed = False
            effect_list.append(_make_worker_note("unlisted", worker.info))
        if not worker.runs:
            del fleet.workers[name]
    return effect_list


def _make_worker_note(event: str, info: work.WorkerInfo) -> effects.Note:
    return fleet_state.make_log_note(
        "workers",
        event,
        worker=info.name,
        presence=info.presence.value,
        leaves_ms=info.leaves_ms,
        born_ms=info.incarnation_ms,
    )


def _handle_configured(
    fleet: fleet_state.FleetState, event: events.Configured
) -> list:
    fleet.configuration = event.configuration
    fleet.excluded_data_centres = event.excluded_data_centres
    fleet.unplaceable_needs.clear()
    fleet.placement_needed = True
    effect_list = [
        fleet_state.make_log_note(
            "configuration",
            "in-force",
            version=event.configuration.version,
            out=sorted(event.excluded_data_centres),
        )
    ]
    for worker in fleet.workers.values():
        effect_list += withdrawals.withdraw_unanswered_starts(fleet, worker)
    return effect_list


def _handle_lease_granted(
    fleet: fleet_state.FleetState, event: events.LeaseGranted
) -> list:
    worker = fleet.workers.get(event.worker_name)
    if worker is not None and worker.clock_ms:
        worker_state.record_lease(worker, event.until_ms)
        grants.record_sent(
            worker, event.at, event.token, event.at, event.until_ms
        )
    return []


def _handle_poll_failed(
    fleet: fleet_state.FleetState, event: events.PollFailed
) -> list:
    """Excludes a worker from placement after a poll without an answer."""
    worker = fleet.workers.get(event.worker_name)
    if worker is None:
        return []
    if event.void_sent_at is not None:
        grants.record_answered(worker, event.void_sent_at)
    if not worker.poll_failed:
        crash_history.record_silence(
            fleet.crash_history, event.worker_name, event.at
        )
    worker.no_placement_until = max(
        worker.no_placement_until, event.at + POLL_FAILED_EXCLUSION_S
    )
    effect_list = []
    if event.why == orders.Refusal.OTHER_INCARNATION:
        # Another incarnation answers at this address: this one has ended, and
        # the new one refuses orders still in flight to it.
        effect_list += crashes.handle_incarnation(
            fleet, worker, crashes.UNKNOWN_INCARNATION
        )
        for run in list(worker.runs.values()):
            effect_list += fleet_state.requeue_lost_run(
                fleet, worker, run, event.why
            )
    if worker.poll_failed:
        return effect_list
    worker.poll_failed = True
    leases_end_at = grants.find_leases_end(worker)
    fleet.unreachable_changed = fleet.unreachable_changed or bool(worker.runs)
    return [
        *effect_list,
        fleet_state.make_log_note(
            "workers",
            "unheard",
            worker=event.worker_name,
            why=event.why,
            runs=len(worker.runs),
            lapses_in_ms=int((leases_end_at - fleet.now) * 1000)
            if leases_end_at > float("-inf")
            else 0,
            late_grants=len(worker.unanswered_grants),
        ),
    ]


def _handle_appended(
    fleet: fleet_state.FleetState, event: events.Appended
) -> list:
    return recording.handle_appended(fleet, event.number)


def _handle_ticked(fleet: fleet_state.FleetState, event: events.Ticked) -> list:
    effect_list = []
    fleet.placement_needed = True
    for name in list(fleet.open_jobs):
        job = fleet.job_store.jobs[name]
        if job.submission.occurrence_count:
            fleet_state.open_due_occurrences(fleet, job)
    now = fleet.now
    for worker in list(fleet.workers.values()):
        until = max(worker.no_placement_until, worker.excluded_until)
        if until <= now < until + EXCLUSION_END_WINDOW_S:
            worker.may_accept_more = True
        if worker.runs and not run_checks.is_settled(worker, now):
            effect_list += run_checks.check_runs(fleet, worker)
    if fleet.now - fleet.load_logged_at >= LOAD_SUMMARY_INTERVAL_S:
        fleet.load_logged_at = fleet.now
        effect_list.append(_make_load_note(fleet))
        effect_list += waiting.make_notes(fleet)
    effect_list += away_tasks.review(fleet)
    lasting_turns.review(fleet)
    effect_list += crashes.forget_gone(fleet)
    effect_list += consolidation.review_consolidation(fleet)
    return effect_list + retention.drop_expired_jobs(fleet)


def _make_load_note(fleet: fleet_state.FleetState) -> effects.Note:
    """Summarises the fleet's load for the log, in millicores."""
    workers = [
        worker for worker in fleet.workers.values() if worker.has_reported
    ]
    without_critical = [
        worker for worker in workers if not worker.latency_critical_millicores
    ]
    with_critical = [
        worker for worker in workers if worker.latency_critical_millicores
    ]
    excluded = worker_failures.measure_excluded(workers, fleet.now)
    fleet.failing.excluded_millicores = excluded.millicores
    return fleet_state.make_log_note(
        "fleet",
        "load",
        workers=len(workers),
        without_serving=len(without_critical),
        capacity=sum(state.info.capacity.millicores for state in workers),
        held=sum(state.reserved.millicores for state in workers),
        confirmed=sum(
            worker_state.get_reserved(run.step).millicores
            for worker in workers
            for run in worker.runs.values()
            if run.confirmed
        ),
        serving=sum(state.latency_critical_millicores for state in workers),
        filling=sum(state.best_effort_millicores for state in workers),
        left_quiet=int(
            sum(map(worker_selection.compute_free_millicores, without_critical))
        ),
        left_beside=int(
            sum(map(worker_selection.compute_free_millicores, with_critical))
        ),
        fills_used=int(
            sum(
                run.usage or 0
                for worker in workers
                for run in worker.runs.values()
                if run.step.best_effort
            )
        ),
        ready=sum(map(len, fleet.ready.values())),
        order_room=int(min(fleet.order_room, sys.maxsize)),
        starts_per_s=round(fleet.start_statistics.starts_per_s, 1),
        ready_fills=ready_steps.count_best_effort_tasks(fleet),
        open_jobs=len(fleet.open_jobs),
        failing_workers=excluded.workers,
        failing_room=excluded.millicores,
        hot=sum(state.target_missed_since < float("inf") for state in workers),
    )


_HANDLERS = {
    events.Claimed: _handle_claimed,
    events.JobRead: _handle_job_read,
    events.CancelRead: _handle_cancel_read,
    events.IntakeRead: _handle_intake_read,
    events.WorkersListed: _handle_workers_listed,
    events.ListRead: absence.handle_list_read,
    events.InventoryRead: absence.handle_inventory_read,
    events.Configured: _handle_configured,
    events.Reported: reports.handle_report,
    events.LeaseGranted: _handle_lease_granted,
    events.PollFailed: _handle_poll_failed,
    events.OrderAnswered: reports.handle_answer,
    events.Appended: _handle_appended,
    events.Published: lambda fleet, _: recording.handle_published(fleet),
    events.Ticked: _handle_ticked,
}
