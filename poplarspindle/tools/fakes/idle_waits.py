"""Measures how long sound jobs wait beside idle room in the virtual fleet."""

import typing

from poplarspindle.fleet import work, worker_state

if typing.TYPE_CHECKING:
    from poplarspindle.tools.fakes import fleets

PLACES = 2  # Room for a task twice over, for a gang for all of them.


class Watch:
    """Watches some jobs at each tick, by the workers' ledgers.

    Args:
        world: The virtual fleet.

    Attributes:
        jobs: Ids of the jobs that are watched.
        longest_s: For how long each had nothing running at most, without a
            break, while a task could start and idle room would have done.
    """

    def __init__(self, world: "fleets.World") -> None:
        self._world = world
        self._seen_at = world.now
        self._waited_s: dict[str, float] = {}
        self.jobs: list[str] = []
        self.longest_s: dict[str, float] = {}
        self._after_tick = world.after_tick
        world.after_tick = self._look

    def _look(self) -> None:
        self._after_tick()
        now = self._world.now
        passed_s, self._seen_at = now - self._seen_at, now
        running = {
            name.job
            for worker in self._world.workers.values()
            for name, _ in worker.runs
        }
        for job in self.jobs:
            if job in running or not self._waits_beside_room(job):
                self._waited_s[job] = 0.0
                continue
            self._waited_s[job] = self._waited_s.get(job, 0.0) + passed_s
            self.longest_s[job] = max(
                self.longest_s.get(job, 0.0), self._waited_s[job]
            )

    def _waits_beside_room(self, job: str) -> bool:
        ready = self._world.fleet.ready
        return any(
            key[0] == job
            and self._has_room(self._world.submissions[job].steps[key[2]])
            for key in ready
        )

    def _has_room(self, step: work.Step) -> bool:
        """Returns whether workers that don't fail their runs have room."""
        world = self._world
        need = worker_state.get_reserved(step)
        wanted = PLACES * (step.tasks if step.gang else 1)
        for name, worker in world.workers.items():
            info = worker.description
            if name in world.fail_on or (
                step.label and step.label not in info.labels
            ):
                continue
            room = info.capacity
            for run, _ in worker.runs:
                room -= worker_state.get_reserved(world.find_step(run))
            while wanted and need.fits_in(room):
                room -= need
                wanted -= 1
        return not wanted


def find_longest_s(watch: Watch) -> float:
    """Returns the longest wait of all jobs that are watched, seconds."""
    return max(watch.longest_s.values(), default=0.0)
