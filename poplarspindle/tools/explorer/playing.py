"""Plays one case, and judges it from the workers' ledgers."""

import dataclasses
from collections.abc import Callable, Mapping

from poplarspindle.fleet import job_store, work
from poplarspindle.tools.explorer import (
    cases,
    course,
    disruptions,
    moments,
    works,
)
from poplarspindle.tools.fakes import fleets, judging, messages

LISTED_S = 0.5  # All workers are known before work is handed in.
QUIET_S = 0.5  # After the work has ended and all is calm.
# In calm: the longest leases, a start that may be late, and a round.
SETTLED_S = 3.0
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


class Player:
    """Puts the disruptions of a case at their moments.

    Args:
        case: The case.
        is_last: Whether the course may end before the work does, once it is
            sure to end: no disruption will be put at what follows.
        table: The disruptions by name.

    Attributes:
        case: The case.
        is_last: Whether the course may end early.
        choose_case: Called at each moment after the disruptions of the case;
            may set a case with one disruption more, put at this moment.
    """

    def __init__(
        self,
        case: cases.Case,
        is_last: bool,
        table: Mapping[str, disruptions.Disruption],
    ) -> None:
        self.case = case
        self.is_last = is_last
        self.choose_case: Callable[[moments.Moment], None] = lambda moment: None
        self._table = table
        self._fate = messages.DELIVERED
        self.calm_at = 0.0
        self.is_recording = False
        self.recorder = moments.Recorder()
        work = works.WORKS[case.work]
        self.world = course.Course(
            case.workers,
            work.run_s,
            lambda run: work.fails_first and run.attempt == 1,
            self._handle_moment,
            self._take_fate,
        )

    @property
    def placed(self) -> int:
        """How many disruptions found their moment."""
        return self.recorder.disruptions

    @property
    def is_done(self) -> bool:
        """Whether all disruptions found their moment."""
        return self.placed == len(self.case.placements)

    def _handle_moment(self, kind: str, worker: str, subject: str) -> None:
        if not self.is_recording:
            return
        at = self.world.now
        moment = self.recorder.record(kind, worker, subject, at)
        if moment is None:
            return
        if self.is_done:
            self.choose_case(moment)
        if self.is_done:
            return
        placement = self.case.placements[self.placed]
        if (placement.kind, placement.worker, placement.number) != (
            moment.kind,
            moment.worker,
            moment.number,
        ):
            return
        disruption = self._table[placement.disruption]
        self.recorder.record_disruption(placement.disruption, worker, at)
        self.calm_at = max(self.calm_at, at + disruption.lasts_s)
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

    def _take_fate(self) -> messages.Fate:
        fate, self._fate = self._fate, messages.DELIVERED
        return fate


def play(
    case: cases.Case,
    is_last: bool = False,
    table: Mapping[str, disruptions.Disruption] = disruptions.DISRUPTIONS,
) -> Outcome:
    """Plays a case.

    Args:
        case: The case.
        is_last: Whether the course may end before the work does, once it is
            sure to end: no disruption will be put at what follows.
        table: The disruptions by name.
    """
    return play_to_the_end(Player(case, is_last, table))


def play_to_the_end(player: Player) -> Outcome:
    """Plays the case of a player."""
    world, kind = player.world, works.WORKS[player.case.work]
    begun_at = world.now + LISTED_S
    lost: list[str] = []
    if kind.second_at_s < float("inf"):
        # The second job has to be where the first one is.
        others = set(world.workers) - {disruptions.FIRST_WORKER}
        world.unlisted |= others
    _run_until(world, begun_at)
    player.is_recording = True
    world.submit(works.FIRST_JOB, *kind.steps)
    if kind.second_at_s < float("inf"):
        _run_until(world, begun_at + kind.second_at_s)
        world.submit(works.SECOND_JOB, *kind.steps)
        world.run(0.1)
        world.unlisted -= others
    if kind.cancelled_at_s < float("inf"):
        _run_until(world, begun_at + kind.cancelled_at_s)
        _run_until_at_work(player, lost)
        world.cancel(works.FIRST_JOB)
    _run_to_the_end(player, lost)
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


def _run_until_at_work(player: Player, lost: list[str]) -> None:
    """Lets a lasting job run; in calm it is at work after a while."""
    world = player.world
    while _list_idle_jobs(world):
        world.run(fleets.TICK_S)
        if world.now > player.calm_at + AT_WORK_AFTER_S:
            lost += [f"not at work: {name}" for name in _list_idle_jobs(world)]
            return


def _list_running_jobs(world: course.Course) -> list[str]:
    return [
        name.job for worker in world.workers.values() for name, _ in worker.runs
    ]


def _is_sure_to_end(player: Player) -> bool:
    """Tells whether all is calm and all that is open runs as its owner knows.

    The leases were renewed by then, and nothing is late.
    """
    world = player.world
    if world.now < player.calm_at + SETTLED_S or not player.is_done:
        return False
    runs = {
        key: name
        for name, worker in world.workers.items()
        for key in worker.runs
    }
    tasks = [
        (work.TaskName(job, occurrence, step, index), task)
        for job in _list_open_jobs(world)
        for occurrence, steps in world.fleet.job_store.jobs[
            job
        ].occurrences.items()
        for step, tasks in enumerate(steps)
        for index, task in enumerate(tasks)
    ]
    return len(runs) == len(tasks) and all(
        task.phase is job_store.Phase.PLACED
        and runs.get((name, task.attempt)) == task.worker_name
        for name, task in tasks
    )


def _run_to_the_end(player: Player, lost: list[str]) -> None:
    world = player.world
    idle_since = float("inf")
    while (
        _list_open_jobs(world)
        or _list_running_jobs(world)
        or world.now < player.calm_at + QUIET_S
    ):
        world.run(fleets.TICK_S)
        if player.is_last and _is_sure_to_end(player):
            return
        if world.now > player.calm_at + AT_WORK_AFTER_S:
            idle = _list_idle_jobs(world)
            idle_since = min(idle_since, world.now) if idle else float("inf")
            if world.now > idle_since + IDLE_S:
                lost += [f"nothing runs: {name}" for name in idle]
                return
        if world.now > player.calm_at + END_AFTER_S:
            open_jobs = _list_open_jobs(world) + _list_running_jobs(world)
            lost += [f"does not end: {name}" for name in open_jobs]
            return
    world.run(QUIET_S)
