"""Judges that in calm what may run is at work beside room, at every step.

The counterpart of `invariants`: those keep work from running twice, this one
keeps a task from waiting for longer than any disturbance explains.

5. At work: a task that lasts runs, once it has been away for `AWAY_S`, nothing
   has disturbed the world for `CALM_S` and workers that may take it have had
   room for it twice over for `ROOM_S`. So does a task of each job,
   `FINISH_S` after the last one was handed in, while under half of the
   capacity is in use.

What runs is what the workers' ledgers say, not what the owner holds.
"""

import dataclasses
import typing
from collections.abc import Iterable, Iterator

from poplarspindle import resources
from poplarspindle.fleet import (
    away_tasks,
    job_store,
    work,
    worker_state,
)
from poplarspindle.tools.fakes import fleet_workers, invariants

if typing.TYPE_CHECKING:
    from poplarspindle.tools.fakes import fleets

AWAY_S = 9.0  # RULES, LOST: three seconds from six after the last run.
CALM_S = 7.0  # The same: these three and the four before.
ROOM_S = 3.0
FINISH_S = 14.0  # After the last job was handed in.
PLACES = 2  # Room twice over.
MOST_USED_SHARE = 0.5  # Beside more, jobs that do not last may wait.
TOLERANCE_S = 1e-6
StepKey = tuple[str, int, int]  # Job id, occurrence and step number.


@dataclasses.dataclass(frozen=True, slots=True)
class _Room:
    """Room of a worker that may take tasks, by what runs on it.

    Attributes:
        info: Its entry.
        free: What is free.
        steps: Step of each of its runs.
    """

    info: work.WorkerInfo
    free: resources.Resources
    steps: tuple[StepKey, ...]


@dataclasses.dataclass(frozen=True, slots=True)
class Margin:
    """How near a task came to breaking the invariant.

    Attributes:
        room_s: For how long, without a break, there was room twice over beside
            it, after `AWAY_S` less `ROOM_S` away and `CALM_S` less `ROOM_S` of
            calm.
        at: Time of the world at the end of that.
        name: The task, None for none.
        obstacle: What held it then.
    """

    room_s: float = 0.0
    at: float = 0.0
    name: work.TaskName | None = None
    obstacle: str = ""

    def __str__(self) -> str:
        """Describes it in one line."""
        if self.name is None:
            return "0 ms"
        return (
            f"{1000 * self.room_s:.0f} ms at {self.at:.2f} s, {self.name},"
            f" {self.obstacle}"
        )


class Judge:
    """Judges the invariant, and keeps what is broken.

    Args:
        world: The virtual fleet.

    Attributes:
        violations: What was found, each task and each job once.
        worst: The longest margin of a task that lasts.
    """

    def __init__(self, world: "fleets.World") -> None:
        self.violations: list[invariants.Violation] = []
        self.worst = Margin()
        self._world = world
        self._lasting: dict[str, None] = {}
        self._submitted_at = world.now
        self._ran_at: dict[work.TaskName, float] = {}
        self._turn_at: dict[StepKey, float] = {}
        self._room_since: dict[tuple, float] = {}
        self._known: set[tuple] = set()

    def list_violations(self) -> list[str]:
        """Lists what was found, in the order of time."""
        return list(map(str, self.violations))

    def note_submitted(self, submission: work.Submission) -> None:
        """Notes a job that was handed in."""
        self._submitted_at = self._world.now
        if any(step.until_cancelled for step in submission.steps):
            self._lasting[submission.job] = None

    def judge(self) -> None:
        """Judges all tasks that last, and all jobs after the last one."""
        world = self._world
        calm_s = world.calm.look()
        self._note_runs()
        if calm_s < CALM_S - ROOM_S:
            self._room_since.clear()
            return
        waiting = [
            (name, step, away_s)
            for name, step, away_s in self._list_away()
            if away_s >= AWAY_S - ROOM_S
        ]
        is_over = world.now >= self._submitted_at + FINISH_S - ROOM_S
        idle = self._list_idle() if is_over else []
        if not waiting and not idle:
            self._room_since.clear()
            return
        rooms = list_rooms(world)
        beside_room: dict[tuple, float] = {}
        has_room: dict[StepKey, bool] = {}
        for name, step, away_s in waiting:
            key = _get_key(name)
            if key not in has_room:
                has_room[key] = count_places(rooms, step, key, PLACES) >= PLACES
            if has_room[key]:
                since = self._room_since.get(name, world.now)
                beside_room[name] = since
                self._note_margin(name, since)
                if away_s >= AWAY_S - TOLERANCE_S:
                    self._judge_task(name, since, calm_s, away_s)
        if idle and _find_used_share(rooms) < MOST_USED_SHARE:
            for name, step in idle:
                most = PLACES * (step.tasks if step.gang else 1)
                if count_places(rooms, step, _get_key(name), most) < most:
                    continue
                key = (name.job,)
                since = self._room_since.get(key, world.now)
                if key not in beside_room:
                    beside_room[key] = since
                    self._judge_job(name, since, calm_s)
        self._room_since = beside_room

    def _note_runs(self) -> None:
        """Notes which tasks that last run now."""
        if not self._lasting:
            return
        now = self._world.now
        for worker in self._world.workers.values():
            for name, _ in worker.runs:
                if name.job in self._lasting:
                    self._ran_at[name] = now

    def _list_away(
        self,
    ) -> Iterator[tuple[work.TaskName, work.Step, float]]:
        """Yields tasks that last and do not run, and for how long."""
        world = self._world
        for name, step, job in self._list_ready(self._lasting):
            if step.until_cancelled:
                due_ms = find_due_ms(job.submission, name.occurrence)
                due_at = world.now - (world.wall_ms() - due_ms) / 1000
                if step.prerequisites:
                    # Its turn came when the steps before it were done.
                    due_at = self._turn_at.setdefault(_get_key(name), world.now)
                away_s = world.now - max(due_at, self._ran_at.get(name, due_at))
                if away_s > 0:
                    yield name, step, away_s

    def _list_idle(self) -> list[tuple[work.TaskName, work.Step]]:
        """Lists a waiting task of each step of jobs of which nothing runs."""
        world = self._world
        running = {
            name.job
            for worker in world.workers.values()
            for name, _ in worker.runs
        }
        jobs = [name for name in world.fleet.open_jobs if name not in running]
        found: dict[StepKey, tuple[work.TaskName, work.Step]] = {}
        for name, step, _ in self._list_ready(jobs):
            found.setdefault(_get_key(name), (name, step))
        return list(found.values())

    def _list_ready(
        self, jobs: Iterable[str]
    ) -> Iterator[tuple[work.TaskName, work.Step, job_store.Job]]:
        """Yields tasks that are not done and whose prerequisites are.

        By what the present owner has read; jobs that it does not know are left
        out.
        """
        fleet = self._world.fleet
        for name in jobs:
            job = fleet.job_store.jobs.get(name)
            if job is None or name not in fleet.open_jobs or job.cancelled:
                continue
            steps = job.submission.steps
            for occurrence, tasks_by_step in job.occurrences.items():
                for number, tasks in enumerate(tasks_by_step):
                    if not job_store.is_ready(job, tasks_by_step, number):
                        continue
                    for index, task in enumerate(tasks):
                        if task.phase is not job_store.Phase.DONE:
                            yield (
                                work.TaskName(name, occurrence, number, index),
                                steps[number],
                                job,
                            )

    # What is kept.

    def _judge_task(
        self,
        name: work.TaskName,
        room_since: float,
        calm_s: float,
        away_s: float,
    ) -> None:
        what = f"{name} lasts and has not run for {away_s:.2f} s"
        self._keep(name, what, name, room_since, calm_s)

    def _note_margin(self, name: work.TaskName, room_since: float) -> None:
        """Keeps how long there has been room beside a task, if longest yet."""
        world = self._world
        room_s = world.now - room_since
        if room_s > self.worst.room_s + TOLERANCE_S:
            obstacle = self._describe_obstacle(name)
            self.worst = Margin(room_s, world.now, name, obstacle)

    def _describe_obstacle(self, name: work.TaskName) -> str:
        world = self._world
        obstacle = away_tasks.find_obstacle(world.fleet, name)
        about = f" on {obstacle.worker}" if obstacle.worker else ""
        until = (
            f" until {obstacle.until:.2f} at most"
            if obstacle.until < float("inf")
            else ""
        )
        fields = "".join(f", {key} {value}" for key, value in obstacle.fields)
        return (
            f"owner {world.owner.epoch}: {obstacle.cause}{about}{until}{fields}"
        )

    def _judge_job(
        self, name: work.TaskName, room_since: float, calm_s: float
    ) -> None:
        what = f"nothing of job {name.job} runs, as of {name}"
        self._keep((name.job,), what, name, room_since, calm_s)

    def _keep(
        self,
        key: tuple,
        what: str,
        name: work.TaskName,
        room_since: float,
        calm_s: float,
    ) -> None:
        """Keeps what is broken, if there was calm and room for long enough."""
        world = self._world
        room_s = world.now - room_since
        is_due = min(calm_s - CALM_S, room_s - ROOM_S) >= -TOLERANCE_S
        if not is_due or key in self._known:
            return
        self._known.add(key)
        text = (
            f"{what}, beside room twice over for {room_s:.2f} s, in calm for"
            f" {calm_s:.2f} s; {self._describe_obstacle(name)}"
        )
        self.violations.append(
            invariants.Violation(invariants.Invariant.AT_WORK, world.now, text)
        )


def find_due_ms(submission: work.Submission, occurrence: int) -> int:
    """Returns when an occurrence of a job may begin, Unix milliseconds."""
    due_ms = submission.first_ms + occurrence * submission.every_ms
    return max(submission.accepted_ms, due_ms)


def list_rooms(world: "fleets.World") -> list[_Room]:
    """Lists the room of workers that may take tasks, by what runs on them."""
    return [
        _make_room(world, worker)
        for name, worker in world.workers.items()
        if worker.up
        and worker.reachable
        and worker.description.service == world.queue.service
        and name not in world.unlisted
        and name not in world.fail_on
        and worker.description.presence is work.Presence.READY
        and worker.description.data_centre not in world.evacuated
    ]


def _make_room(
    world: "fleets.World", worker: fleet_workers.FakeWorker
) -> _Room:
    free = worker.description.capacity
    for name, _ in worker.runs:
        free -= worker_state.get_reserved(world.find_step(name))
    steps = tuple(_get_key(name) for name, _ in worker.runs)
    return _Room(worker.description, free, steps)


def _get_key(name: work.TaskName) -> StepKey:
    return name.job, name.occurrence, name.step


def count_places(
    rooms: Iterable[_Room], step: work.Step, key: StepKey, most: int
) -> int:
    """Counts how many more tasks of a step workers have room for.

    Args:
        rooms: The workers.
        step: The step.
        key: Its job, occurrence and number.
        most: Where to stop counting.
    """
    need = worker_state.get_reserved(step)
    places = 0
    for room in rooms:
        if step.label and step.label not in room.info.labels:
            continue
        free, left = room.free, most - places
        if step.max_per_worker:
            left = min(left, step.max_per_worker - room.steps.count(key))
        while left > 0 and need.fits_in(free):
            free -= need
            left -= 1
            places += 1
    return places


def _find_used_share(rooms: Iterable[_Room]) -> float:
    """Returns the largest share of a resource that is in use."""
    capacity = used = resources.ZERO
    for room in rooms:
        capacity += room.info.capacity
        used += room.info.capacity - room.free
    return used.share_of(capacity)
