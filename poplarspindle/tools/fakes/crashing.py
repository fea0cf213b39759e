"""Fake workers that crash under some tasks and come back after a while."""

import collections
import dataclasses
import typing
from collections.abc import Callable

from poplarspindle.fleet import orders, work
from poplarspindle.tools.fakes import fleet_workers

if typing.TYPE_CHECKING:
    from poplarspindle.tools.fakes import fleets

CRASH_DELAY_S = 0.01
# Crashes of workers under a task, and starts of it after them.
MAX_CRASHES = 3
MAX_RESTARTS = 2
LISTED_S = 3.5  # A crashed worker's entry expires.


@dataclasses.dataclass(slots=True)
class Crashes:
    """How workers crash, and the crashes so far.

    Attributes:
        is_deadly: Whether a task crashes the workers that start it.
        down_s: How long a worker is down.
        renamed: Whether it comes back under another name.
        answers: Whether it answers the start that it crashes under.
        delay_s: How long after such a start it crashes.
        times: When workers crashed under each task, in order.
    """

    is_deadly: Callable[[work.TaskName], bool] = lambda name: False
    down_s: float = 3.0
    renamed: bool = True
    answers: bool = True
    delay_s: float = CRASH_DELAY_S
    times: dict[work.TaskName, list[float]] = dataclasses.field(
        default_factory=lambda: collections.defaultdict(list)
    )


class CrashingWorker(fleet_workers.FakeWorker):
    """A fake worker that deadly tasks crash.

    Args:
        world: The world; has the workers by name.
        description: The worker's entry in the list.
        crashes: How it crashes.
    """

    def __init__(self, world, description: work.WorkerInfo, crashes: Crashes):
        super().__init__(world, description)
        self.crashes = crashes

    def start(self, order: orders.Start) -> orders.Answer:
        """Carries out a start; a deadly task crashes the worker after it."""
        begun = len(self.ledger)
        answer = super().start(order)
        if len(self.ledger) == begun or not self.crashes.is_deadly(order.task):
            return answer
        run = self.ledger[-1]
        if not self.crashes.answers:
            self.go_down()
            return orders.Answer(orders.Refusal.NO_ANSWER)

        def crash() -> None:
            if run.key in self.runs:
                self.go_down()

        self.world.call_later(self.crashes.delay_s, crash)
        return answer

    def go_down(self) -> None:
        """Crashes, and comes back later."""
        for run in self.runs.values():
            self.crashes.times[run.name].append(self.world.now)
        self.crash()
        self.up, self.refuses = False, True
        self.listed_until = self.world.now + LISTED_S
        self.world.call_later(self.crashes.down_s, self._come_back)

    def _come_back(self) -> None:
        if not self.crashes.renamed:
            self.up = True
            self.born_at = self.world.now
            return
        self.replaced = True
        name = f"{self.description.name}+"
        self.world.workers[name] = CrashingWorker(
            self.world,
            dataclasses.replace(self.description, name=name),
            self.crashes,
        )


def count_restarts(world: "fleets.World", name: work.TaskName) -> int:
    """Counts the starts of a task after workers crashed under it thrice.

    By the ledgers of the workers; any crash under a run of it counts.
    """
    runs = [
        run
        for worker in world.workers.values()
        for run in worker.ledger
        if run.name == name
    ]
    crashed_at = sorted(
        run.ended for run in runs if run.crashed and run.how is None
    )
    if len(crashed_at) < MAX_CRASHES:
        return 0
    return sum(run.began > crashed_at[MAX_CRASHES - 1] for run in runs)


def list_started_too_often(world: "fleets.World") -> list[str]:
    """Lists tasks that crash their workers and are started without end."""
    names = {
        run.name
        for worker in world.workers.values()
        if isinstance(worker, CrashingWorker)
        for run in worker.ledger
        if worker.crashes.is_deadly(run.name)
    }
    return [
        f"started {restarts} times after {MAX_CRASHES} workers crashed: {name}"
        for name in sorted(names, key=str)
        if (restarts := count_restarts(world, name)) > MAX_RESTARTS
    ]


def make_worker(crashes: Crashes) -> Callable:
    """Returns what makes workers that crash as described."""
    return lambda world, info: CrashingWorker(world, info, crashes)
