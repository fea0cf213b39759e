"""Gangs on fake workers: members work, end and break together."""

import typing

from poplarspindle.fleet import work

if typing.TYPE_CHECKING:
    from poplarspindle.tools.fakes import fleet_workers

MEMBER_WAIT_S = 1.5

Key = tuple[str, int, int, int]  # Job, time, step, attempt.


class Gangs:
    """Which members of each gang are present, on all workers.

    Args:
        world: What the workers ask of their world.
    """

    def __init__(self, world: "fleet_workers.World") -> None:
        self._world = world
        self._present: dict[Key, dict[int, tuple]] = {}

    def join(
        self, worker: "fleet_workers.FakeWorker", run: "fleet_workers.FakeRun"
    ) -> None:
        """Lets a member wait for the others; the last one lets all work."""
        present = self._present.setdefault(_name_gang(run), {})
        present[run.name.index] = worker, run
        worker.end_later(run, MEMBER_WAIT_S)
        run.planned = work.EndReason.ALONE
        if len(present) == self._world.find_step(run.name).tasks:
            self._begin([present[index] for index in sorted(present)])

    def _begin(self, members: list[tuple]) -> None:
        runs = [run for _, run in members]
        work_s = self._world.choose_time(runs[0].name)
        failing = next(
            (
                run
                for worker, run in members
                if self._world.judge_run(run, worker.description.name)
                is work.EndReason.FAILED
            ),
            None,
        )
        others = work.EndReason.BROKEN if failing else work.EndReason.DONE
        for worker, run in members:
            fails_all = worker.description.name in self._world.fail_on
            worker.end_later(run, work_s)
            run.planned = others
            if run is failing or fails_all:
                run.planned = work.EndReason.FAILED

    def leave(self, run: "fleet_workers.FakeRun") -> None:
        """Breaks a gang at work if a member ended before its time."""
        present = self._present[_name_gang(run)]
        del present[run.name.index]
        at_work = run.planned is not work.EndReason.ALONE
        if at_work and run.how not in (run.planned, work.EndReason.BROKEN):
            for worker, other in list(present.values()):
                worker.end(other, work.EndReason.BROKEN)


def _name_gang(run: "fleet_workers.FakeRun") -> Key:
    name = run.name
    return name.job, name.occurrence, name.step, run.attempt
