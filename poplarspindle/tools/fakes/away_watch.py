"""Judges how long lasting tasks of the virtual fleet are away in calm.

A lasting task may be away until the later of 9 s after its last run and 7 s
after the last disturbance. The workers' ledgers tell what is at work. Whether
workers have room is not looked at: its worlds have room for all of it twice
over.
"""

import typing

from poplarspindle.fleet import work

if typing.TYPE_CHECKING:
    from poplarspindle.tools.fakes import fleets

AFTER_RUN_S = 9.0
AFTER_DISTURBANCE_S = 7.0


class Watch:
    """Notes when each lasting task was last at work.

    Args:
        world: The virtual fleet.
        jobs: The jobs that are judged.

    Attributes:
        disturbed_at: When the last disturbance ended; infinite until the
            caller tells.
        found: Tasks that were away for too long, a sentence for each tick.
        back_at: When a task was last away in calm; minus infinity for never.
    """

    def __init__(self, world: "fleets.World", *jobs: str) -> None:
        self._world = world
        self._jobs = jobs
        self._last_at: dict[work.TaskName, float] = {}
        self.disturbed_at = float("inf")
        self.found: list[str] = []
        self.back_at = float("-inf")
        world.after_tick = self.look

    def look(self) -> None:
        """Judges each lasting task that is not at work."""
        world = self._world
        running = {
            name for worker in world.workers.values() for name, _ in worker.runs
        }
        for job, submission in world.submissions.items():
            step = submission.steps[0]
            if job not in self._jobs or not step.until_cancelled:
                continue
            for index in range(step.tasks):
                name = work.TaskName(job, 0, 0, index)
                if name in running:
                    self._last_at[name] = world.now
                else:
                    self._judge(name)

    def _judge(self, name: work.TaskName) -> None:
        now, last_at = self._world.now, self._last_at.get(name, 0.0)
        bound = max(
            last_at + AFTER_RUN_S, self.disturbed_at + AFTER_DISTURBANCE_S
        )
        if now > self.disturbed_at:
            self.back_at = now
        if now > bound:
            self.found.append(
                f"{name} is away at {now:.2f} s, {now - last_at:.2f} s after"
                f" its last run, {now - self.disturbed_at:.2f} s after the last"
                " disturbance"
            )
