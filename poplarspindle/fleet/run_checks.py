"""Checks the runs of workers at each tick.

Load pattern: thousands of runs, and nothing to do for nearly all of them from
one tick to the next. A worker is passed over while its runs are settled.
"""

from poplarspindle.fleet import (
    absence,
    crashes,
    effects,
    fleet_state,
    grants,
    late_starts,
    worker_state,
)

DRAIN_MARGIN_MS = 900
HEARD_S = 1.0  # Leases that end sooner after a report are looked at later.


def is_settled(worker: worker_state.WorkerState, now: float) -> bool:
    """Returns whether nothing is to be done for a worker's runs.

    Its runs are settled until one is added or told to stop.
    """
    return (
        worker.runs_settled
        and not worker.poll_failed
        and worker.leaves_at == float("inf")
        and _was_heard(worker, now)
    )


def _was_heard(worker: worker_state.WorkerState, now: float) -> bool:
    return now - worker.last_report_at <= HEARD_S


def check_runs(
    fleet: fleet_state.FleetState, worker: worker_state.WorkerState
) -> list[effects.Effect]:
    """Requeues a worker's runs after its leases, or stops those due to end.

    Its leases include what an order without an answer may add to them. A run
    that a late start may begin waits beyond them, unless the worker is gone.
    Runs whose starts were answered do not wait for leases of a dead worker. On
    a worker that leaves, runs that last until cancelled stop at once, others
    shortly before it leaves. A run whose start was not sent is stopped if the
    worker fails polls.
    """
    now = fleet.now
    if not _was_heard(worker, now) and now >= grants.find_leases_end(worker):
        return _requeue_runs(fleet, worker)
    effect_list: list[effects.Effect] = []
    if absence.is_dead(fleet, worker):
        effect_list += _requeue_dead_runs(fleet, worker)
    leaves = worker.leaves_at < float("inf")
    leaves_soon = (worker.leaves_at - now) * 1000 < DRAIN_MARGIN_MS + 900
    poll_failed = worker.poll_failed
    settled = True
    for run in list(worker.runs.values()):
        if not late_starts.is_recorded_as_answered(run):
            if late_starts.is_answer_to_record(run, now):
                run.task.answered_attempt = run.attempt
                fleet_state.mark_task_changed(fleet, run.name)
            else:
                settled = False
        if (
            run.stopping
            or leaves_soon
            or (leaves and run.step.until_cancelled)
            or (poll_failed and run.recorded and not run.start_sent)
        ):
            settled = False
            effect_list += fleet_state.stop_run(fleet, worker, run)
    worker.runs_settled = settled
    return effect_list


def _requeue_runs(
    fleet: fleet_state.FleetState, worker: worker_state.WorkerState
) -> list[effects.Effect]:
    """Requeues the runs of a worker whose leases are over."""
    effect_list: list[effects.Effect] = []
    for run in list(worker.runs.values()):
        may_run_late = late_starts.may_run_late(run, fleet.now)
        if may_run_late and not absence.is_gone(fleet, worker):
            effect_list += _hold_back(fleet, worker, run)
            continue
        crashes.remember_lost_run(fleet, worker, run)
        why = "worker-gone" if may_run_late else "lease-lapsed"
        effect_list += fleet_state.requeue_lost_run(
            fleet, worker, run, why, True
        )
    worker.last_report_at = float("-inf")
    return effect_list


def _requeue_dead_runs(
    fleet: fleet_state.FleetState, worker: worker_state.WorkerState
) -> list[effects.Effect]:
    """Requeues the runs that have ended with their worker.

    Load pattern: a zone loses power while the store loses answers, and the next
    owner has no record of it. A start that may be late is left to the leases,
    as the worker's next life may carry it out. Orders without an answer renew
    none of them, as nothing is left to hold them.
    """
    effect_list: list[effects.Effect] = []
    are_leases_over = fleet.now >= grants.find_granted_end(worker)
    for run in list(worker.runs.values()):
        if are_leases_over or not late_starts.may_run_late(run, fleet.now):
            crashes.remember_lost_run(fleet, worker, run)
            effect_list += fleet_state.requeue_lost_run(
                fleet, worker, run, "worker-dead", True
            )
    return effect_list


def _hold_back(
    fleet: fleet_state.FleetState,
    worker: worker_state.WorkerState,
    run: worker_state.Run,
) -> list[effects.Effect]:
    """Notes once that a run's task waits although the leases ended."""
    if run.held_back:
        return []
    run.held_back = True
    until = late_starts.find_late_run_end(run)
    return [
        fleet_state.make_log_note(
            "runs",
            "held-back",
            run.name.job,
            task=fleet_state.format_task(run.name),
            attempt=run.attempt,
            worker=worker.info.name,
            silences=run.unanswered_starts,
            in_flight=run.start_in_flight,
            for_ms=int((until - fleet.now) * 1000),
        )
    ]
