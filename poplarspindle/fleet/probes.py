"""Tries work on workers that are excluded because runs failed there.

Load pattern: jobs that can never be done have sound workers excluded, or sick
workers are sound again, and work that finds no room elsewhere waits beside
theirs.

One task at a time is tried on such a worker, or a gang, and others once it
stays at work. Unless the worker fails what runs well elsewhere, each job has
such a try of its own, as those that failed may be the ones at fault. Tries take
turns among steps, of which only some are looked at in a round.
"""

import dataclasses
import heapq
import itertools
from collections.abc import Iterator

from poplarspindle import resources
from poplarspindle.fleet import (
    exclusions,
    fleet_state,
    job_failures,
    job_store,
    work,
    worker_failures,
    worker_selection,
    worker_state,
)

MAX_STEPS = 32  # Looked at in a round.


@dataclasses.dataclass(slots=True)
class _Candidate:
    """An excluded worker and what may be tried there now.

    Attributes:
        worker: The worker.
        takes_all: Whether a try has stayed at work, so that others may follow.
        trying: Jobs that have a run there that was placed after the last
            failure.
        may_try: Whether the last try or failure was long enough ago.
        may_repeat: Whether jobs that failed there may be tried again.
    """

    worker: worker_state.WorkerState
    takes_all: bool
    trying: set[str]
    may_try: bool
    may_repeat: bool


@dataclasses.dataclass(frozen=True, slots=True)
class _Need:
    """A ready step whose tasks find no room elsewhere.

    Attributes:
        key: Job id, occurrence and step number.
        step: The step.
        service: Its service.
        is_at_fault: Whether its job fails wherever it runs.
        is_last_attempt: Whether a try that failed would end the job.
    """

    key: exclusions.StepKey
    step: work.Step
    service: str
    is_at_fault: bool
    is_last_attempt: bool


def list_probes(
    fleet: fleet_state.FleetState,
) -> Iterator[tuple[exclusions.StepKey, list[worker_state.WorkerState], int]]:
    """Yields ready steps, workers to try them on, and how many tasks.

    A step that is still ready found no room elsewhere. A job that failed on a
    worker may be at fault itself, so it comes last there, as does a task that
    would lose its last attempt. A gang is tried whole, on several workers at
    once.
    """
    now = fleet.now
    workers = [
        worker
        for worker in fleet.workers.values()
        if now < worker.excluded_until and now >= worker.no_placement_until
    ]
    if not workers:
        return
    needs = _list_needs(fleet)
    if not needs:
        return
    least = resources.Resources(
        min(worker_state.get_reserved(need.step).millicores for need in needs),
        min(need.step.need.memory_mb for need in needs),
        min(need.step.need.accelerators for need in needs),
    )
    candidates = [
        _describe(worker, now)
        for worker in sorted(workers, key=_rank)
        if least.fits_in(worker_state.get_available(worker))
    ]
    for comes_last, need in itertools.product((False, True), needs):
        ready = fleet.ready.get(need.key)
        if not ready or (need.is_at_fault and not comes_last):
            continue
        found = (
            candidate
            for candidate in candidates
            if _count_allowed(candidate, need, comes_last, len(ready))
            and _may_take(fleet, candidate.worker, need)
        )
        if need.step.gang:
            tried = list(found)
            if tried:
                members = [candidate.worker for candidate in tried]
                yield need.key, members, len(ready)
        else:
            tried = list(itertools.islice(found, len(ready)))
            for candidate in tried:
                if need.key in fleet.ready:
                    tasks = _count_allowed(
                        candidate, need, comes_last, len(fleet.ready[need.key])
                    )
                    yield need.key, [candidate.worker], tasks
        for candidate in tried:
            _update(candidate, now)


def _list_needs(fleet: fleet_state.FleetState) -> list[_Need]:
    """Lists the steps whose turn it is, those of jobs at fault last."""
    looked_at = fleet.failing.looked_at = {
        key: at
        for key, at in fleet.failing.looked_at.items()
        if key in fleet.ready
    }
    keys = heapq.nsmallest(
        MAX_STEPS,
        (key for key in fleet.ready if job_failures.is_due(fleet, key)),
        key=lambda key: (
            job_failures.is_at_fault(fleet, key[0]),
            looked_at.get(key, float("-inf")),
        ),
    )
    for key in keys:
        looked_at[key] = fleet.now
    return [
        _Need(
            key,
            exclusions.find_step(fleet, key),
            exclusions.find_service(fleet, key),
            job_failures.is_at_fault(fleet, key[0]),
            _is_last_attempt(fleet, key),
        )
        for key in keys
    ]


def _rank(worker: worker_state.WorkerState) -> tuple[int, int, float]:
    """Ranks workers, those first that are most likely to be sound."""
    return len(worker.proven_jobs), len(worker.failing_jobs), worker.failed_at


def _describe(worker: worker_state.WorkerState, now: float) -> _Candidate:
    candidate = _Candidate(worker, False, set(), False, False)
    _update(candidate, now)
    return candidate


def _update(candidate: _Candidate, now: float) -> None:
    """Finds out anew what may be tried on a worker."""
    worker = candidate.worker
    tries = [
        run for run in worker.runs.values() if run.placed_at >= worker.failed_at
    ]
    proof_s = max(exclusions.PROBE_INTERVAL_S, 2 * worker.failed_after_s)
    last_at = max([worker.failed_at, *(run.placed_at for run in tries)])
    candidate.takes_all = any(
        now - run.first_seen_at >= proof_s for run in tries
    )
    candidate.trying = {run.name.job for run in tries}
    candidate.may_try = now - last_at >= exclusions.PROBE_INTERVAL_S
    candidate.may_repeat = candidate.may_try and (
        now - worker.probe_failed_at >= exclusions.PROBE_INTERVAL_S
    )


def _may_take(
    fleet: fleet_state.FleetState,
    worker: worker_state.WorkerState,
    need: _Need,
) -> bool:
    """Returns whether a task of a step would fit on a worker."""
    return worker_selection.fits(
        worker, need.step, need.key
    ) and worker_selection.may_be_given_work(
        worker, need.service, fleet.excluded_data_centres
    )


def _count_allowed(
    candidate: _Candidate, need: _Need, comes_last: bool, ready: int
) -> int:
    """Counts the tasks of a step that an excluded worker may get now.

    Args:
        candidate: The worker.
        need: The step.
        comes_last: Whether those are tried that come last there.
        ready: How many of its tasks are ready.
    """
    if candidate.takes_all:
        return ready
    worker, job = candidate.worker, need.key[0]
    has_failed = need.is_at_fault or job in worker.failing_jobs
    if not has_failed and not worker_failures.is_proven(worker):
        # Its turn doesn't depend on other jobs, which may be at fault.
        return int(job not in candidate.trying)
    if need.is_at_fault and need.step.until_cancelled:
        return int(
            candidate.may_try
        )  # Its tries have an interval of their own.
    if has_failed or need.is_last_attempt:
        return int(comes_last and candidate.may_repeat)
    return int(candidate.may_try)


def _is_last_attempt(
    fleet: fleet_state.FleetState, key: exclusions.StepKey
) -> bool:
    """Returns whether a try that failed would end the job."""
    job, step = fleet.job_store.jobs[key[0]], exclusions.find_step(fleet, key)
    if step.until_cancelled:
        return False
    tasks = job.occurrences[key[1]][key[2]]
    if step.gang:
        failed = set().union(*(task.failed_attempts for task in tasks))
    else:
        first = job_store.list_least_tried(tasks, fleet.ready[key], 1)
        failed = tasks[first[0]].failed_attempts
    return len(failed) + 1 >= fleet_state.find_queue(fleet, job).attempts
