"""What owners of the virtual fleet hold back for: present and next one.

The next one claims now and reads the log as `takeover` does, but only what is
asked for: records are decoded once for each of their values.
"""

import dataclasses
import functools
import typing

from poplarspindle.fleet import (
    fleet_state,
    grants,
    job_store,
    late_starts,
    lease_bounds,
    leases,
    records,
    unreachable,
    work,
)
from poplarspindle.tools.fakes import fleet_workers

if typing.TYPE_CHECKING:
    from poplarspindle.tools.fakes import fleets

COUNTED = frozenset({work.EndReason.DONE, work.EndReason.FAILED})
DONE = job_store.Task(job_store.Phase.DONE)
CACHED_VALUES = 4096
NEVER = float("-inf")


@dataclasses.dataclass(frozen=True, slots=True)
class Hold:
    """How long an owner holds back for a run.

    Attributes:
        leases_end_at: When it takes the leases of the run's worker to be over.
        late_run_end_at: Until when it counts on it that a start may have the
            run at work late.
    """

    leases_end_at: float
    late_run_end_at: float

    @property
    def ends_at(self) -> float:
        """When it may place the run's task elsewhere."""
        return max(self.leases_end_at, self.late_run_end_at)


PLACED_NOWHERE = Hold(NEVER, NEVER)


def read_task(
    world: "fleets.World", name: work.TaskName
) -> job_store.Task | None:
    """Returns a task as the log holds it; None if it is to run no more.

    A task whose job or occurrence is over is to run no more, nor is one whose
    job was cancelled.
    """
    log = world.log
    if f"{records.CANCELLED}/{name.job}" in log:
        return None
    if f"{records.SUBMITTED}/{name.job}" not in log:
        return None
    progress = log.get(f"{records.PROGRESS}/{name.job}")
    if progress is None:
        return job_store.Task()
    state, opened, occurrences = _decode_progress(progress.value)
    if state in job_store.ENDED:
        return None
    if name.occurrence not in occurrences:
        return None if name.occurrence < opened else job_store.Task()
    step = world.find_step(name)
    if step.gang and any(
        _read_member(log, name, index).phase is job_store.Phase.DONE
        for index in range(step.tasks)
    ):
        return DONE
    return _read_member(log, name, name.index)


def has_end(world: "fleets.World", run: fleet_workers.FakeRun) -> bool:
    """Tells whether the log tells of an end `done` or `failed`.

    Of others, and of tasks that last until cancelled, it need not tell. A run
    of a gang has failed once its first member has.
    """
    step = world.find_step(run.name)
    if run.how not in COUNTED or step.until_cancelled:
        return True
    task = read_task(world, run.name)
    if task is None or task.phase is job_store.Phase.DONE:
        return True
    if run.how is work.EndReason.DONE:
        return False
    indexes = range(step.tasks) if step.gang else [run.name.index]
    return any(
        run.attempt in _read_member(world.log, run.name, index).failed_attempts
        for index in indexes
    )


def _read_member(
    log: dict[str, records.Record], name: work.TaskName, index: int
) -> job_store.Task:
    place = index % records.GROUP_TASKS
    group = name.occurrence, name.step, index - place
    record = log.get(records.make_group_key(name.job, group))
    if record is None:
        return job_store.Task()
    tasks = _decode_group(record.value)
    return tasks[place] if place < len(tasks) else job_store.Task()


@functools.lru_cache(CACHED_VALUES)
def _decode_progress(
    value: bytes,
) -> tuple[job_store.State, int, frozenset[int]]:
    _, state, _, opened, occurrences = records.unpack(value)
    return job_store.State(state), opened, frozenset(occurrences)


@functools.lru_cache(CACHED_VALUES)
def _decode_group(value: bytes) -> tuple[job_store.Task, ...]:
    _, encoded_tasks = records.unpack(value)
    return tuple(map(records.decode_task, encoded_tasks))


def find_hold(
    world: "fleets.World",
    worker: str,
    key: tuple[work.TaskName, int],
    task: job_store.Task,
) -> Hold:
    """Returns how long an owner that claims now holds back for a run.

    Its claim may be stored right after the store last confirmed the present
    owner; that is what the present one has to count on.

    Args:
        world: The virtual fleet.
        worker: The worker that may have the run at work.
        key: Task and attempt of the run.
        task: The task as the log holds it.
    """
    if (
        task.phase is job_store.Phase.QUEUED
        or task.worker_name != worker
        or task.attempt != key[1]
    ):
        return PLACED_NOWHERE
    claimed_at = world.owner.confirmed_at
    leases_end_at = claimed_at + lease_bounds.find_next_wait_s(
        world.lease_most_ms
    )
    late_run_end_at = (
        claimed_at + leases.TAKEOVER_GRANT_S + late_starts.MAX_LATE_RUN_S
    )
    if task.answered_attempt == task.attempt:
        late_run_end_at = NEVER
    entry = read_unreachable(world).get(worker)
    if entry is None or entry.incarnation_ms != task.incarnation_ms:
        return Hold(leases_end_at, late_run_end_at)
    if entry.late_runs is not None:
        late_run_end_at = min(late_run_end_at, entry.late_runs.get(key, NEVER))
    return Hold(entry.leases_end_at, late_run_end_at)


def read_unreachable(
    world: "fleets.World",
) -> dict[str, unreachable.UnreachableWorker]:
    """Returns the unreachable workers by the log, as read when it came."""
    record = world.log.get(unreachable.UNREACHABLE_KEY)
    if record is None:
        return {}
    return _decode_unreachable(record.value, world.unreachable_read_at)


@functools.lru_cache(CACHED_VALUES)
def _decode_unreachable(
    value: bytes, read_at: float
) -> dict[str, unreachable.UnreachableWorker]:
    return unreachable.decode_unreachable(value, read_at)


def find_present_hold(
    fleet: fleet_state.FleetState, worker: str, key: tuple[work.TaskName, int]
) -> Hold | None:
    """Returns how long the present owner holds back for a run on a worker.

    Returns:
        None if the run's task is to run no more.
    """
    state = fleet.workers.get(worker)
    run = state.runs.get(key) if state else None
    if run is not None:
        return Hold(
            grants.find_leases_end(state), late_starts.find_late_run_end(run)
        )
    name = key[0]
    job = fleet.job_store.jobs.get(name.job)
    if job is None or job.cancelled or job.state in job_store.ENDED:
        return None
    steps = job.occurrences.get(name.occurrence)
    if steps is None:
        return None
    task = steps[name.step][name.index]
    if task.phase is job_store.Phase.DONE:
        return None
    return PLACED_NOWHERE
