"""Says for each lasting task that does not run what holds it.

Load pattern: workers die, owners change and orders get no answer, all within
seconds. A task that lasts then waits for one thing after another: for leases
that may still hold, a start in doubt, an end, room. Each wait has a latest end
and a proof that ends it sooner; both are logged with the task.
"""

import collections
import dataclasses
import math
import typing
from collections.abc import Iterator

from poplarspindle.fleet import (
    absence,
    crashes,
    effects,
    fleet_state,
    grants,
    job_store,
    late_starts,
    room_margin,
    waiting,
    work,
    worker_state,
)

REVIEW_INTERVAL_S = 0.5
LOG_INTERVAL_S = 1.0
LOGGED_AFTER_S = 3.0
MAX_LINES = 8  # A second.
MAX_PLACES = 10  # Counted on one worker.
NEVER = float("inf")


@dataclasses.dataclass(frozen=True, slots=True)
class Obstacle:
    """What holds a task that does not run.

    Attributes:
        cause: What it waits for.
        worker: Name of the worker that this is about, empty for none.
        until: When that ends by itself at the latest, on the owner's monotonic
            clock; infinity if it does not.
        proof: What ends it sooner.
        fields: Further fields of the log line.
    """

    cause: str
    worker: str
    until: float
    proof: str
    fields: tuple[tuple[str, typing.Any], ...] = ()


def review(fleet: fleet_state.FleetState) -> list[effects.Effect]:
    """Notes which lasting tasks do not run, and logs those away for long."""
    notes = _review_away(fleet)
    if room_margin.is_due(fleet):
        worst = room_margin.look(fleet, _list_still_away(fleet))
        if worst is not None:
            notes.append(_make_margin_note(fleet, worst))
    return notes


def _review_away(fleet: fleet_state.FleetState) -> list[effects.Effect]:
    history = fleet.away
    if fleet.now - history.reviewed_at < REVIEW_INTERVAL_S:
        return []
    is_first_review = history.reviewed_at == float("-inf")
    history.reviewed_at = fleet.now
    away = dict(_list_away(fleet, is_first_review))
    for name in history.since.keys() - away.keys():
        del history.since[name]
        history.logged_at.pop(name, None)
    for name, since in away.items():
        history.since.setdefault(name, since)
    if fleet.now - history.lines_at < LOG_INTERVAL_S:
        return []
    history.lines_at = fleet.now
    return _make_notes(fleet)


def _list_away(
    fleet: fleet_state.FleetState, is_first_review: bool
) -> Iterator[tuple[work.TaskName, float]]:
    """Yields lasting tasks that are not known to run, and since when."""
    for name, job, task in _list_lasting(fleet):
        worker, run = _find_run(fleet, name, task)
        if run is None:
            yield name, _estimate_queued_at(fleet, name, job, is_first_review)
        elif worker.poll_failed:
            yield name, max(worker.last_report_at, run.placed_at)
        elif not is_at_work(worker, run):
            yield name, fleet.now


def _list_still_away(
    fleet: fleet_state.FleetState,
) -> Iterator[tuple[work.TaskName, float]]:
    """Yields tasks away that have not come to work since the last review."""
    ready, jobs = fleet.ready, fleet.job_store.jobs
    for name, since in fleet.away.since.items():
        if fleet.now - since < room_margin.BOUND_S:
            continue
        key = name.job, name.occurrence, name.step
        if name.index not in ready.get(key, ()):
            job = jobs.get(name.job)
            steps = job.occurrences.get(name.occurrence) if job else None
            if steps is None:  # The job has ended.
                continue
            task = steps[name.step][name.index]
            worker, run = _find_run(fleet, name, task)
            if run is not None and is_at_work(worker, run):
                continue
        yield name, since


def _list_lasting(
    fleet: fleet_state.FleetState,
) -> Iterator[tuple[work.TaskName, job_store.Job, job_store.Task]]:
    """Yields the tasks that last and whose prerequisites are done."""
    for job_name in fleet.open_jobs:
        job = fleet.job_store.jobs[job_name]
        steps = job.submission.steps
        lasting = [n for n, step in enumerate(steps) if step.until_cancelled]
        for occurrence, step_tasks in (
            job.occurrences.items() if lasting else ()
        ):
            for step in lasting:
                if not job_store.is_ready(job, step_tasks, step):
                    continue
                for index, task in enumerate(step_tasks[step]):
                    name = work.TaskName(job_name, occurrence, step, index)
                    yield name, job, task


def _estimate_queued_at(
    fleet: fleet_state.FleetState,
    name: work.TaskName,
    job: job_store.Job,
    is_first_review: bool,
) -> float:
    """Returns since when a task is queued that was not away before.

    A new owner does not know that; it counts from the acceptance of the job,
    for a step that waited for no other.
    """
    if not is_first_review or job.submission.steps[name.step].prerequisites:
        return fleet.now
    age_ms = fleet.wall_ms - job.submission.accepted_ms
    return fleet.now - max(0, age_ms) / 1000


def _find_run(
    fleet: fleet_state.FleetState, name: work.TaskName, task: job_store.Task
) -> tuple[worker_state.WorkerState | None, worker_state.Run | None]:
    """Returns the worker and the run of a placed task, None for neither."""
    if task.phase is not job_store.Phase.PLACED:
        return None, None
    worker = fleet.workers.get(task.worker_name)
    if worker is None:
        return None, None
    return worker, worker.runs.get((name, task.attempt))


def is_at_work(worker: worker_state.WorkerState, run: worker_state.Run) -> bool:
    """Returns whether a run is known to be at work."""
    return run.confirmed and not run.stopping and not worker.poll_failed


def _make_notes(fleet: fleet_state.FleetState) -> list[effects.Effect]:
    """Makes lines for tasks that wait beside room, then for the others.

    Of each kind with room the one that has waited for longest, longest first;
    of the others those that were logged longest ago.
    """
    logged_at = fleet.away.logged_at
    beside_room = {
        margin.name: None
        for margin in room_margin.list_margins(fleet)
        if margin.room_ms
    }
    overdue = [
        (logged_at.get(name, float("-inf")), since, name)
        for name, since in fleet.away.since.items()
        if fleet.now - since >= LOGGED_AFTER_S
    ]
    overdue.sort(key=lambda row: row[:2])
    since_by_name = {name: since for _, since, name in overdue}
    first = [name for name in beside_room if name in since_by_name]
    others = [name for name in since_by_name if name not in beside_room]
    notes: list[effects.Effect] = []
    for name in (first + others)[:MAX_LINES]:
        logged_at[name] = fleet.now
        notes.append(_make_note(fleet, name, since_by_name[name], len(overdue)))
    return notes


def _make_note(
    fleet: fleet_state.FleetState,
    name: work.TaskName,
    since: float,
    away: int,
) -> effects.Note:
    obstacle = find_obstacle(fleet, name)
    return fleet_state.make_log_note(
        "lasting",
        "away",
        name.job,
        task=fleet_state.format_task(name),
        cause=obstacle.cause,
        worker=obstacle.worker,
        away_ms=int((fleet.now - since) * 1000),
        for_ms=int((obstacle.until - fleet.now) * 1000)
        if math.isfinite(obstacle.until)
        else None,
        ended_by=obstacle.proof,
        tasks_away=away,
        **_describe_room(fleet, name),
        **dict(obstacle.fields),
    )


def _make_margin_note(
    fleet: fleet_state.FleetState, margin: room_margin.Margin
) -> effects.Note:
    """Makes the line of the task that waits beside room for longest yet."""
    name = margin.name
    obstacle = find_obstacle(fleet, name)
    return fleet_state.make_log_note(
        "lasting",
        "beside-room",
        name.job,
        task=fleet_state.format_task(name),
        cause=obstacle.cause,
        worker=obstacle.worker,
        away_ms=int((fleet.now - fleet.away.since[name]) * 1000),
        **_describe_room(fleet, name),
        **dict(obstacle.fields),
    )


def _describe_room(
    fleet: fleet_state.FleetState, name: work.TaskName
) -> dict[str, typing.Any]:
    """Returns the fields that tell how long there has been room, and why."""
    room_ms = room_margin.find_task_room_ms(fleet, name)
    if not room_ms:
        return {"room_ms": 0}
    key = name.job, name.occurrence, name.step
    return {
        "room_ms": room_ms,
        "room_held_by": room_margin.describe_difference(fleet, key),
    }


def find_obstacle(
    fleet: fleet_state.FleetState, name: work.TaskName
) -> Obstacle:
    """Finds what holds a lasting task that does not run."""
    job = fleet.job_store.jobs[name.job]
    task = job.occurrences[name.occurrence][name.step][name.index]
    worker, run = _find_run(fleet, name, task)
    if run is None:
        return _find_queue_obstacle(fleet, job, name, task)
    return _find_run_obstacle(fleet, worker, run)


def _find_queue_obstacle(
    fleet: fleet_state.FleetState,
    job: job_store.Job,
    name: work.TaskName,
    task: job_store.Task,
) -> Obstacle:
    """Finds what holds a task that is not placed."""
    step = job.submission.steps[name.step]
    if job_store.awaits_verdict(task, step):
        return _find_verdict_obstacle(fleet, task)
    key = (name.job, name.occurrence, name.step)
    service = fleet_state.find_queue(fleet, job).service
    refusals: collections.Counter = collections.Counter(
        waiting.find_refusal(fleet, worker, step, key) or "nothing"
        for worker in fleet.workers.values()
        if worker.info.service == service
    )
    fields = (
        ("refused_by", dict(sorted(refusals.items()))),
        ("room_by_reports", count_reported_room(fleet, step, key)),
        ("suspect", task.is_suspect),
    )
    cause = "order" if refusals["nothing"] else "room"
    return Obstacle(cause, "", NEVER, "room on a worker", fields)


def _find_verdict_obstacle(
    fleet: fleet_state.FleetState, task: job_store.Task
) -> Obstacle:
    """Finds what holds a task that may have crashed its workers."""
    names = [lost.worker_name for lost in task.lost_runs]
    times = [
        max(lost_at.values())
        for name in names
        if (lost_at := fleet.crash_history.lost_at.get(name))
    ]
    return Obstacle(
        "verdict",
        names[-1] if names else "",
        max(times, default=NEVER) + crashes.GONE_AFTER_S,
        "report of the worker or of one in its place",
    )


def count_reported_room(
    fleet: fleet_state.FleetState,
    step: work.Step,
    key: tuple[str, int, int],
) -> int:
    """Counts the tasks of a step that fit beside what workers say they run.

    Runs that are placed and were not confirmed do not count as held, so this
    exceeds the room by which tasks are placed.
    """
    job = fleet.job_store.jobs[key[0]]
    service = fleet_state.find_queue(fleet, job).service
    need = worker_state.get_reserved(step)
    places = 0
    for worker in fleet.workers.values():
        if waiting.find_refusal(fleet, worker, step, key) not in ("", "room"):
            continue
        if worker.info.service != service:
            continue
        room = room_margin.find_reported_room(worker)
        places += room_margin.count_places(room, need, MAX_PLACES)
    return places


def _find_run_obstacle(
    fleet: fleet_state.FleetState,
    worker: worker_state.WorkerState,
    run: worker_state.Run,
) -> Obstacle:
    """Finds what holds a task whose run is placed and not known to work."""
    leases_end_at = grants.find_leases_end(worker)
    end_at = max(leases_end_at, late_starts.find_late_run_end(run))
    fields = (
        ("leases_ms", _convert_to_ms(leases_end_at - fleet.now)),
        ("late_grants", len(worker.unanswered_grants)),
        ("silences", run.unanswered_starts),
        ("gone", worker.gone),
        ("dead", absence.is_dead(fleet, worker)),
    )
    cause, until, proof = _describe_run_obstacle(
        worker, run, end_at, leases_end_at
    )
    return Obstacle(cause, worker.info.name, until, proof, fields)


def _describe_run_obstacle(
    worker: worker_state.WorkerState,
    run: worker_state.Run,
    end_at: float,
    leases_end_at: float,
) -> tuple[str, float, str]:
    """Returns cause, latest end and what ends it sooner."""
    answer = "answer of the worker, or its death by list and inventory"
    if not run.recorded:
        return "append", NEVER, "acknowledgement of the store"
    if worker.logged_unreachable:
        return "recorded-unreachable", end_at, answer
    if run.stopping:
        return "stop", end_at, "end of the run in a report"
    if not worker.has_reported:
        return "no-report", end_at, answer
    if not run.start_sent:
        return "start-not-sent", NEVER, "report of the worker"
    if run.unanswered_starts or run.start_in_flight:
        return "start-in-doubt", end_at, answer
    return "leases", leases_end_at, answer


def _convert_to_ms(seconds: float) -> int | None:
    return int(seconds * 1000) if math.isfinite(seconds) else None
