"""Says why work waits although workers have room. For the log only."""

import collections

from poplarspindle.fleet import (
    effects,
    fleet_state,
    pacing,
    work,
    worker_failures,
    worker_selection,
    worker_state,
)

WAIT_LOGGED_S = 3.0  # Longer than placing takes with room.
StepKey = tuple[str, int, int]  # Job id, occurrence and step number.


def make_notes(fleet: fleet_state.FleetState) -> list[effects.Note]:
    """Makes a line for each of two ready steps and for one run, at most.

    The steps are the best-effort and the other one that have waited longest
    beside room; the run is the one that was placed longest ago of those whose
    worker has not confirmed it.
    """
    return [*_make_step_notes(fleet), *_make_run_note(fleet)]


def _make_step_notes(fleet: fleet_state.FleetState) -> list[effects.Note]:
    waiting = sorted(
        (since, key)
        for key, since in fleet.unplaceable_since.items()
        if key in fleet.ready and fleet.now - since >= WAIT_LOGGED_S
    )
    longest: dict[bool, tuple[float, StepKey]] = {}
    for since, key in waiting:
        step = fleet.job_store.jobs[key[0]].submission.steps[key[2]]
        longest.setdefault(step.best_effort, (since, key))
    return [
        note
        for since, key in longest.values()
        for note in _make_step_note(fleet, since, key)
    ]


def _make_step_note(
    fleet: fleet_state.FleetState, since: float, key: StepKey
) -> list[effects.Note]:
    job = fleet.job_store.jobs[key[0]]
    step = job.submission.steps[key[2]]
    service = fleet_state.find_queue(fleet, job).service
    predict = pacing.make_predictor(fleet, step, {})
    refusals: collections.Counter = collections.Counter()
    with_room = 0
    workers = [
        worker
        for worker in fleet.workers.values()
        if worker.info.service == service
    ]
    for worker in workers:
        refusal = find_refusal(fleet, worker, step, key)
        if not refusal and step.best_effort:
            headroom_use = predict(worker)
            if headroom_use > worker_selection.MAX_HEADROOM_USE:
                refusal = "headroom"
        refusals[refusal or "nothing"] += 1
        with_room += _has_room(worker, step)
    if not with_room:
        return []
    excluded = worker_failures.measure_excluded(workers, fleet.now)
    return [
        fleet_state.make_log_note(
            "placing",
            "waits",
            key[0],
            time=key[1],
            step=key[2],
            tasks=len(fleet.ready[key]),
            of=step.tasks,
            gang=step.gang,
            lasts=step.until_cancelled,
            fills=step.best_effort,
            waits_ms=int((fleet.now - since) * 1000),
            with_room=with_room,
            refused_by=dict(sorted(refusals.items())),
            failing_workers=excluded.workers,
            failing_room=excluded.millicores,
        )
    ]


def find_refusal(
    fleet: fleet_state.FleetState,
    worker: worker_state.WorkerState,
    step: work.Step,
    key: StepKey,
) -> str:
    """Returns the first check that keeps a step off a worker, empty for none.

    The predicted use of headroom, which costs more, is not looked at.
    """
    checks = (
        ("unlisted", not worker.listed),
        ("recorded-unreachable", worker.logged_unreachable),
        ("not-reported", not worker.has_reported),
        ("presence", worker.info.presence is not work.Presence.READY),
        (
            "evacuated",
            worker.info.data_centre in fleet.excluded_data_centres,
        ),
        (
            "excluded",
            fleet.now < max(worker.no_placement_until, worker.excluded_until),
        ),
        (
            "vacated",
            bool(step.target_ms) and worker.info.name == fleet.vacating_worker,
        ),
        (
            "label-or-limit",
            not worker_selection.meets_constraints(worker, step, key),
        ),
        ("room", not _has_room(worker, step)),
        (
            "processors",
            not worker_selection.has_free_processors(worker, step),
        ),
    )
    return next((name for name, refuses in checks if refuses), "")


def _has_room(worker: worker_state.WorkerState, step: work.Step) -> bool:
    return worker_state.get_reserved(step).fits_in(
        worker_state.get_available(worker)
    )


def _make_run_note(fleet: fleet_state.FleetState) -> list[effects.Note]:
    unstarted = [
        (run.placed_at, worker.info.name, run)
        for worker in fleet.workers.values()
        for run in worker.runs.values()
        if not run.confirmed and fleet.now - run.placed_at >= WAIT_LOGGED_S
    ]
    if not unstarted:
        return []
    placed_at, name, run = min(unstarted, key=lambda row: row[:2])
    worker = fleet.workers[name]
    return [
        fleet_state.make_log_note(
            "runs",
            "unconfirmed",
            run.name.job,
            task=fleet_state.format_task(run.name),
            attempt=run.attempt,
            worker=name,
            others=len(unstarted) - 1,
            placed_ms_ago=int((fleet.now - placed_at) * 1000),
            recorded=run.recorded,
            sent=run.start_sent,
            in_flight=run.start_in_flight,
            silences=run.unanswered_starts,
            answered=run.answered_at < float("inf"),
            stopping=run.stopping,
            poll_failed=worker.poll_failed,
            recorded_unreachable=worker.logged_unreachable,
            appends_in_flight=len(fleet.appends_in_flight),
        )
    ]
