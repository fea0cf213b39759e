"""Finds out that workers crashed, and counts it for the tasks aboard.

Evidence of a crash is that another incarnation of a worker answers, or another
worker at its address, while runs that may have started there had no end. A run
may be given up before that, as its leases have expired; it is remembered, also
in the log, until it is known what became of its worker. If the same incarnation
reports again, it did not crash. A worker that announced its shutdown does not
count, nor does a start that was surely not carried out.
"""

import collections
import dataclasses
from collections.abc import Collection, Iterable

from poplarspindle.fleet import (
    blame,
    crash_history,
    effects,
    fleet_state,
    job_store,
    late_starts,
    work,
    worker_state,
)

# An unlisted worker that nobody replaced by then is not waited for.
GONE_AFTER_S = 10.0
SOON_AFTER_START_S = 1.0  # A task's own crash comes when it starts.
# Of one task.
MAX_LOST_RUNS = blame.MAX_CRASHES + blame.MAX_UNDECIDED_STARTS
UNKNOWN_INCARNATION = -1


@dataclasses.dataclass(frozen=True, slots=True)
class _Suspect:
    """A run that a worker may have had when it crashed."""

    name: work.TaskName
    attempt: int
    certain: bool
    was_at_work: bool
    placed_at: float = float("inf")
    first_seen_at: float = float("inf")


def handle_incarnation(
    fleet: fleet_state.FleetState,
    worker: worker_state.WorkerState,
    incarnation_ms: int,
    listed_runs: Collection[crash_history.RunKey] = (),
) -> list[effects.Effect]:
    """Counts a crash if a worker's runs belong to an earlier incarnation.

    Has to be called before these runs are removed.

    Args:
        fleet: State of the fleet.
        worker: The worker.
        incarnation_ms: Incarnation that answered; UNKNOWN_INCARNATION if it is
            only known to be another one.
        listed_runs: Keys of the runs that this incarnation has or had.
    """
    suspects = []
    if not _is_leaving(worker):
        suspects = [
            _Suspect(
                run.name,
                run.attempt,
                _came_soon_after_start(fleet, worker, run),
                run.confirmed,
                run.placed_at,
                run.first_seen_at,
            )
            for run in worker.runs.values()
            if run.task.incarnation_ms != incarnation_ms
            and run.key not in listed_runs
            and late_starts.may_have_started(run)
        ]
    return _judge_lost_runs(fleet, worker.info.name, incarnation_ms, suspects)


def handle_listed(
    fleet: fleet_state.FleetState, info: work.WorkerInfo
) -> list[effects.Effect]:
    """Counts a crash if a new worker has the address of one with lost runs."""
    effect_list: list[effects.Effect] = []
    for name, lost_at in list(fleet.crash_history.lost_at.items()):
        if name == info.name:
            continue
        addresses = {
            lost.address
            for key in lost_at
            if (lost := _find_lost_run(fleet, key)) is not None
        }
        if info.address in addresses:
            effect_list += _judge_lost_runs(fleet, name, UNKNOWN_INCARNATION)
    return effect_list


def forget_gone(fleet: fleet_state.FleetState) -> list[effects.Effect]:
    """Forgets runs lost with workers that are unlisted and nobody replaced.

    They may have crashed for good or only be cut off, so it counts for no
    task; a task that waited to know may start again.
    """
    effect_list: list[effects.Effect] = []
    for name, lost_at in list(fleet.crash_history.lost_at.items()):
        worker = fleet.workers.get(name)
        if worker is not None and worker.listed:
            continue
        if fleet.now - max(lost_at.values()) < GONE_AFTER_S:
            continue
        lost = _take_lost_runs(fleet, name, UNKNOWN_INCARNATION)
        _queue_again(fleet, lost_at)
        effect_list.append(
            fleet_state.make_log_note(
                "workers", "gone", worker=name, runs=len(lost)
            )
        )
    return effect_list


def remember_lost_run(
    fleet: fleet_state.FleetState,
    worker: worker_state.WorkerState,
    run: worker_state.Run,
) -> None:
    """Remembers a run whose leases expired before its worker reported."""
    if not late_starts.may_have_started(run) or _is_leaving(worker):
        return
    if run.attempt == run.task.crash_record.last_attempt:
        return  # Counted for another member of its gang.
    lost = job_store.LostRun(
        run.attempt,
        worker.info.name,
        run.task.incarnation_ms,
        worker.info.address,
        _came_soon_after_start(fleet, worker, run),
    )
    run.task.lost_runs = (*run.task.lost_runs, lost)[-MAX_LOST_RUNS:]
    fleet_state.mark_task_changed(fleet, run.name)
    lost_at = fleet.crash_history.lost_at.setdefault(worker.info.name, {})
    lost_at[run.key] = fleet.now


def restore_lost_runs(
    fleet: fleet_state.FleetState, job: job_store.Job
) -> None:
    """Remembers the lost runs that the log holds of a job."""
    for number, steps in job.occurrences.items():
        for step, tasks in enumerate(steps):
            for index, task in enumerate(tasks):
                name = work.TaskName(job.submission.job, number, step, index)
                for lost in task.lost_runs:
                    fleet.crash_history.lost_at.setdefault(
                        lost.worker_name, {}
                    )[name, lost.attempt] = fleet.now


def _came_soon_after_start(
    fleet: fleet_state.FleetState,
    worker: worker_state.WorkerState,
    run: worker_state.Run,
) -> bool:
    """Returns whether a worker went silent just after it started a run."""
    silent_at = _find_silence(fleet, worker.info.name)
    return run.confirmed and silent_at - run.placed_at <= SOON_AFTER_START_S


def _is_leaving(worker: worker_state.WorkerState) -> bool:
    return (
        worker.info.presence is work.Presence.LEAVING
        or worker.leaves_at < float("inf")
    )


def _find_lost_run(
    fleet: fleet_state.FleetState, key: crash_history.RunKey
) -> job_store.LostRun | None:
    task = job_store.find_task(fleet.job_store, key[0])
    if task is None:
        return None
    return next(
        (lost for lost in task.lost_runs if lost.attempt == key[1]), None
    )


def _take_lost_runs(
    fleet: fleet_state.FleetState, worker_name: str, incarnation_ms: int
) -> list[_Suspect]:
    """Forgets the lost runs of a worker, of which an incarnation answered.

    Returns:
        Those that belong to another incarnation.
    """
    suspects = []
    for key in fleet.crash_history.lost_at.pop(worker_name, ()):
        lost = _find_lost_run(fleet, key)
        task = job_store.find_task(fleet.job_store, key[0])
        if task is None or lost is None:
            continue
        task.lost_runs = tuple(
            other for other in task.lost_runs if other is not lost
        )
        fleet_state.mark_task_changed(fleet, key[0])
        if lost.incarnation_ms != incarnation_ms:
            suspects.append(_Suspect(*key, lost.certain, lost.certain))
    return suspects


def _judge_lost_runs(
    fleet: fleet_state.FleetState,
    worker_name: str,
    incarnation_ms: int,
    suspects: Iterable[_Suspect] = (),
) -> list[effects.Effect]:
    """Counts a crash for the lost runs of a worker, and for others aboard.

    Tasks that waited for it are ready again once it is counted, unless they
    still may have crashed too many workers.
    """
    keys = list(fleet.crash_history.lost_at.get(worker_name, ()))
    lost = _take_lost_runs(fleet, worker_name, incarnation_ms)
    effect_list = _count_crash(fleet, worker_name, [*lost, *suspects])
    _queue_again(fleet, keys)
    return effect_list


def _queue_again(
    fleet: fleet_state.FleetState, keys: Iterable[crash_history.RunKey]
) -> None:
    """Makes tasks ready that waited for news of their workers."""
    for name, _ in keys:
        task = job_store.find_task(fleet.job_store, name)
        if task is None:
            continue
        job = fleet.job_store.jobs[name.job]
        if (
            task.phase is job_store.Phase.QUEUED
            and job.state not in job_store.ENDED
            and not job_store.awaits_verdict(task, _find_step(fleet, name))
        ):
            fleet_state.queue_step(fleet, job, name.occurrence, name.step)


def _count_crash(
    fleet: fleet_state.FleetState,
    worker_name: str,
    suspects: Iterable[_Suspect],
) -> list[effects.Effect]:
    """Counts a crash for the tasks to blame; fails jobs of those given up."""
    by_unit: dict[work.TaskName, list[_Suspect]] = collections.defaultdict(list)
    for suspect in suspects:
        if _is_open(fleet, suspect):
            by_unit[_find_unit(fleet, suspect.name)].append(suspect)
    if not by_unit:
        return []
    history = fleet.crash_history
    silent_at = _find_silence(fleet, worker_name)
    together = crash_history.count_silent_together(
        history, worker_name, silent_at
    )
    units = list(by_unit.values())
    verdicts = blame.judge(
        [_describe(fleet, unit, silent_at) for unit in units], together
    )
    effect_list: list[effects.Effect] = [
        fleet_state.make_log_note(
            "workers",
            "crashed",
            worker=worker_name,
            aboard=len(units),
            counted=sum(verdict.counted for verdict in verdicts),
            silent_together=together,
            silent_ms_ago=int((fleet.now - silent_at) * 1000),
        )
    ]
    for unit, verdict in zip(units, verdicts, strict=True):
        if verdict.counted:
            _count_for_unit(fleet, unit)
        effect_list.append(
            _make_note(fleet, unit[0], worker_name, len(units), verdict)
        )
    for unit, verdict in zip(units, verdicts, strict=True):
        job = fleet.job_store.jobs[unit[0].name.job]
        if verdict.given_up and job.state not in job_store.ENDED:
            effect_list += fleet_state.end_job(
                fleet, job, job_store.State.FAILED
            )
    return effect_list


def _find_silence(fleet: fleet_state.FleetState, worker_name: str) -> float:
    """Returns when a worker went silent: now, if it has answered since."""
    worker = fleet.workers.get(worker_name)
    heard_at = worker.last_report_at if worker else float("-inf")
    return crash_history.settle_silence(
        fleet.crash_history, worker_name, heard_at, fleet.now
    )


def _is_open(fleet: fleet_state.FleetState, suspect: _Suspect) -> bool:
    """Returns whether a crash may still count for the task of a run.

    A crash of several members of a gang counts once for each attempt.
    """
    job = fleet.job_store.jobs.get(suspect.name.job)
    task = job_store.find_task(fleet.job_store, suspect.name)
    return (
        job is not None
        and task is not None
        and job.state not in job_store.ENDED
        and task.phase is not job_store.Phase.DONE
        and job_store.may_still_count(
            task, suspect.attempt, _find_step(fleet, suspect.name)
        )
    )


def _find_unit(
    fleet: fleet_state.FleetState, name: work.TaskName
) -> work.TaskName:
    """Returns what a task counts as part of: its gang, else itself."""
    is_gang = _find_step(fleet, name).gang
    return dataclasses.replace(name, index=-1) if is_gang else name


def _find_step(fleet: fleet_state.FleetState, name: work.TaskName) -> work.Step:
    return fleet.job_store.jobs[name.job].submission.steps[name.step]


def _describe(
    fleet: fleet_state.FleetState, unit: list[_Suspect], silent_at: float
) -> blame.Aboard:
    name = unit[0].name
    task = job_store.find_task(fleet.job_store, name)
    return blame.Aboard(
        task.crash_record.crashes,
        task.crash_record.certain_crashes,
        any(suspect.certain for suspect in unit),
        _find_step(fleet, name).until_cancelled,
        min(suspect.placed_at for suspect in unit),
        min(suspect.first_seen_at for suspect in unit),
        silent_at,
        any(suspect.was_at_work for suspect in unit),
    )


def _count_for_unit(
    fleet: fleet_state.FleetState, unit: list[_Suspect]
) -> None:
    name = unit[0].name
    job = fleet.job_store.jobs[name.job]
    tasks = job.occurrences[name.occurrence][name.step]
    record = tasks[name.index].crash_record
    attempts = {suspect.attempt for suspect in unit}
    record = job_store.CrashRecord(
        record.crashes + 1,
        record.certain_crashes + any(suspect.certain for suspect in unit),
        max(record.last_attempt, *attempts),
    )
    is_gang = job.submission.steps[name.step].gang
    for index in range(len(tasks)) if is_gang else [name.index]:
        tasks[index].crash_record = record
        tasks[index].lost_runs = tuple(
            lost
            for lost in tasks[index].lost_runs
            if lost.attempt not in attempts
        )
        fleet_state.mark_task_changed(
            fleet, dataclasses.replace(name, index=index)
        )


def _make_note(
    fleet: fleet_state.FleetState,
    suspect: _Suspect,
    worker_name: str,
    aboard: int,
    verdict: blame.Verdict,
) -> effects.Note:
    task = job_store.find_task(fleet.job_store, suspect.name)
    if verdict.given_up:
        event = "task-given-up"
    else:
        event = "suspected" if verdict.counted else "crashed-beside"
    return fleet_state.make_log_note(
        "crashes",
        event,
        suspect.name.job,
        task=fleet_state.format_task(suspect.name),
        attempt=suspect.attempt,
        worker=worker_name,
        soon_after_start=suspect.certain,
        crashes=task.crash_record.crashes,
        aboard=aboard,
    )
