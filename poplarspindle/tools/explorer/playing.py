"""Plays one case, and judges it from the workers' ledgers."""

import dataclasses

from poplarspindle.fleet import job_store
from poplarspindle.tools.explorer import (
    cases,
    course,
    disruptions,
    moments,
    works,
)
from poplarspindle.tools.fakes import fleets, judging

LISTED_S = 0.5  # All workers are known before work is handed in.
QUIET_S = 0.5  # After the work has ended and all is calm.
# In calm: the longest leases, a start that may be late, and a round.
AT_WORK_AFTER_S = 20.0
IDLE_S = 3.0  # For so long nothing of an open job may run then.
END_AFTER_S = 75.0  # In calm, all runs of all works end by then.


@dataclasses.dataclass(frozen=True, slots=True)
class Outcome:
    """What a case came to.

    Attributes:
        violations: What was broken.
        moments: All moments of the course, in order.
        fingerprint: The same for courses that differ in nothing but time.
        placed: How many disruptions found their moment.
    """

    violations: tuple[str, ...]
    moments: tuple[moments.Moment, ...]
    fingerprint: int
    placed: int


class _Player:
    """Puts the disruptions of a case at their moments."""

    def __init__(self, case: cases.Case, table) -> None:
        self._case = case
        self._table = table
        self._fate: course.Fate | None = None
        self.recorder = moments.Recorder()
        work = works.WORKS[case.work]
        self.world = course.Course(
            case.workers,
            work.run_s,
            lambda run: work.fails_first and run.attempt == 1,
        )
        self.world.on_moment = self._handle_moment
        self.world.choose_fate = self._choose_fate

    @property
    def placed(self) -> int:
        """How many disruptions found their moment."""
        return self.recorder.disruptions

    def _handle_moment(self, kind: str, worker: str, subject: str) -> None:
        at = self.world.now
        moment = self.recorder.record(kind, worker, subject, at)
        if moment is None or self.placed == len(self._case.placements):
            return
        placement = self._case.placements[self.placed]
        if (placement.kind, placement.worker, placement.number) != (
            moment.kind,
            moment.worker,
            moment.number,
        ):
            return
        disruption = self._table[placement.disruption]
        self.recorder.record_disruption(placement.disruption, worker, at)
        self.world.calm_at = max(self.world.calm_at, at)
        if disruption.message:
            self._fate = disruption.fate
            return
        name = worker or disruptions.FIRST_WORKER
        if disruption.is_immediate:
            disruption.apply(self.world, name)
        else:
            self.world.call_later(
                0.0, lambda: disruption.apply(self.world, name)
            )

    def _choose_fate(self, message: course.Message) -> course.Fate:
        fate, self._fate = self._fate, None
        return fate or course.ANSWERED


def play(case: cases.Case, table=disruptions.DISRUPTIONS) -> Outcome:
    """Plays a case.

    Args:
        case: The case.
        table: The disruptions by name.
    """
    player = _Player(case, table)
    world, work = player.world, works.WORKS[case.work]
    begun_at = world.now + LISTED_S
    lost: list[str] = []
    if work.second_at_s < float("inf"):
        # The second job has to be where the first one is.
        others = set(world.workers) - {disruptions.FIRST_WORKER}
        world.unlisted |= others
    _run_until(world, begun_at)
    world.submit(works.FIRST_JOB, *work.steps)
    if work.second_at_s < float("inf"):
        _run_until(world, begun_at + work.second_at_s)
        world.submit(works.SECOND_JOB, *work.steps)
        world.run(0.1)
        world.unlisted -= others
    if work.cancelled_at_s < float("inf"):
        _run_until(world, begun_at + work.cancelled_at_s)
        _run_until_at_work(world, lost)
        world.cancel(works.FIRST_JOB)
    _run_to_the_end(world, lost)
    found = dict.fromkeys(
        world.list_violations()
        + world.checker.violations
        + judging.list_wrong_states(world)
        + lost
    )
    recorder = player.recorder
    return Outcome(
        tuple(found),
        tuple(recorder.moments),
        recorder.make_fingerprint(),
        player.placed,
    )


def _run_until(world: course.Course, until: float) -> None:
    if until > world.now:
        world.run(until - world.now)


def _list_open_jobs(world: course.Course) -> list[str]:
    return [
        name
        for name, job in world.fleet.job_store.jobs.items()
        if job.published_state not in job_store.ENDED
    ]


def _list_idle_jobs(world: course.Course) -> list[str]:
    """Lists open jobs of which nothing runs."""
    running = _list_running_jobs(world)
    return [name for name in _list_open_jobs(world) if name not in running]


def _run_until_at_work(world: course.Course, lost: list[str]) -> None:
    """Lets a lasting job run; in calm it is at work after a while."""
    while _list_idle_jobs(world):
        world.run(fleets.TICK_S)
        if world.now > world.calm_at + AT_WORK_AFTER_S:
            lost += [f"not at work: {name}" for name in _list_idle_jobs(world)]
            return


def _list_running_jobs(world: course.Course) -> list[str]:
    return [
        name.job for worker in world.workers.values() for name, _ in worker.runs
    ]


def _run_to_the_end(world: course.Course, lost: list[str]) -> None:
    idle_since = float("inf")
    while (
        _list_open_jobs(world)
        or _list_running_jobs(world)
        or world.now < world.calm_at + QUIET_S
    ):
        world.run(fleets.TICK_S)
        if world.now > world.calm_at + AT_WORK_AFTER_S:
            idle = _list_idle_jobs(world)
            idle_since = min(idle_since, world.now) if idle else float("inf")
            if world.now > idle_since + IDLE_S:
                lost += [f"nothing runs: {name}" for name in idle]
                return
        if world.now > world.calm_at + END_AFTER_S:
            open_jobs = _list_open_jobs(world) + _list_running_jobs(world)
            lost += [f"does not end: {name}" for name in open_jobs]
            return
    world.run(QUIET_S)
