"""What the workers' ledgers and the owner's orders show as broken."""

import collections
import dataclasses
import itertools
import typing

from poplarspindle.fleet import (
    effects,
    events,
    fleet_state,
    job_store,
    orders,
    work,
)

if typing.TYPE_CHECKING:
    from poplarspindle.tools.fakes import fleets

MIN_CRASHES_TO_FAIL = 2
# What starts, fails and is done as one: a task, or a gang with index -1.
Unit = work.TaskName


def list_violations(world: "fleets.World") -> list[str]:
    """Lists the promises that the workers' ledgers show as broken."""
    by_task = _sort_ledgers(world)
    found = []
    for name, runs in by_task.items():
        for first, second in itertools.combinations(runs, 2):
            if second.began < first.ended:
                found.append(f"two runs at once: {name}")
            if (
                first.how is work.EndReason.DONE
                and first.noted < float("inf")
                and not first.lapsed
                and second.began > first.ended
            ):
                found.append(f"started after done: {name}")
    return found + list_out_of_order(world) + _list_over_budget(world)


def list_out_of_order(world: "fleets.World") -> list[str]:
    """Lists tasks that started before the steps that they wait for."""
    by_task = _sort_ledgers(world)
    return [
        f"started too early: {name}"
        for name, runs in by_task.items()
        if not _is_in_order(world, name, runs[0].began, by_task)
    ]


def list_wrong_states(world: "fleets.World") -> list[str]:
    """Lists jobs shown as ended that their runs do not show as such.

    A task under which two workers crashed may be given up.
    """
    done, failed = collections.defaultdict(set), collections.defaultdict(set)
    crashed = collections.defaultdict(set)
    for name, runs in _sort_ledgers(world).items():
        unit = find_unit(world, name)
        for run in runs:
            if run.how is work.EndReason.DONE:
                done[name.job].add(unit)
            if run.how is work.EndReason.FAILED:
                failed[unit].add(run.attempt)
            crashed[unit] |= {run.attempt} if run.crashed else set()
    found = []
    for name, job in world.fleet.job_store.jobs.items():
        most = max(
            (
                len(attempts)
                for unit, attempts in failed.items()
                if unit.job == name
            ),
            default=0,
        )
        if (
            job.published_state is job_store.State.FAILED
            and most < world.queue.attempts
            and not any(
                len(attempts) >= MIN_CRASHES_TO_FAIL and unit.job == name
                for unit, attempts in crashed.items()
            )
        ):
            found.append(f"shown as failed after {most} failed runs: {name}")
        units = _count_units(job.submission)
        if (
            job.published_state is job_store.State.COMPLETED
            and len(done[name]) < units
        ):
            found.append(f"shown as completed before it was done: {name}")
    return found


def find_unit(world: "fleets.World", name: work.TaskName) -> Unit:
    """Returns what a task counts as a part of."""
    if not world.find_step(name).gang:
        return name
    return work.TaskName(name.job, name.occurrence, name.step, -1)


def _count_units(submission: work.Submission) -> int:
    once = sum(1 if step.gang else step.tasks for step in submission.steps)
    return once * max(1, submission.occurrence_count)


def _sort_ledgers(world: "fleets.World") -> dict:
    by_task = collections.defaultdict(list)
    for worker in world.workers.values():
        for run in worker.ledger:
            by_task[run.name].append(run)
    for runs in by_task.values():
        runs.sort(key=lambda run: run.began)
    return by_task


def _is_in_order(world, name, began: float, by_task) -> bool:
    submission = world.submissions[name.job]
    for before in submission.steps[name.step].prerequisites:
        for index in range(submission.steps[before].tasks):
            earlier = work.TaskName(name.job, name.occurrence, before, index)
            done = [
                run.ended
                for run in by_task.get(earlier, ())
                if run.how is work.EndReason.DONE
            ]
            if not done or min(done) > began:
                return False
    return True


def _list_over_budget(world: "fleets.World") -> list[str]:
    """Lists starts after as many failed runs as a unit may have.

    A run of a gang has failed once its first member has.
    """
    by_unit = collections.defaultdict(list)
    for name, runs in _sort_ledgers(world).items():
        if not world.find_step(name).until_cancelled:
            by_unit[find_unit(world, name)] += runs
    found = []
    for unit, runs in by_unit.items():
        failed_at: dict[int, float] = {}
        for run in runs:
            if (
                run.how is work.EndReason.FAILED
                and run.noted < float("inf")
                and not run.lapsed
            ):
                ended = failed_at.get(run.attempt, float("inf"))
                failed_at[run.attempt] = min(ended, run.ended)
        ends = sorted(failed_at.values())
        last = max(run.began for run in runs)
        most = world.queue.attempts
        if len(ends) >= most and last > ends[most - 1]:
            found.append(f"started after its last attempt failed: {unit}")
    return found


class ExecutionChecker:
    """Judges starts by the ends that an owner had taken in before.

    This holds even for an owner that is wrongly sure that a lease is over. It
    may start a task whose end it has not seen, but none whose end it knows,
    or had acknowledged by the worker.

    Attributes:
        broken: What was found.
    """

    def __init__(self, world: "fleets.World") -> None:
        self.violations: list[str] = []
        self._world = world
        self._ends: dict[int, dict[Unit, list]] = {}

    def begin(self, epoch: int) -> None:
        """Lets a new owner know what was acknowledged."""
        ends = self._ends[epoch] = collections.defaultdict(list)
        for worker in self._world.workers.values():
            for run in worker.ledger:
                if run.noted < float("inf"):
                    ends[find_unit(self._world, run.name)].append(run)

    def record_report(
        self, fleet: fleet_state.FleetState, event: events.Reported
    ) -> None:
        """Notes the ends that an owner has taken in from a report."""
        worker = fleet.workers.get(event.worker_name)
        if (
            worker is None
            or worker.incarnation_ms != event.report.incarnation_ms
        ):
            return
        ledger = self._world.workers[event.worker_name].ledger
        runs = {(run.name, run.attempt): run for run in ledger}
        for end in event.report.ended:
            if end.number <= worker.last_end_handled:
                unit = find_unit(self._world, end.task)
                self._ends[fleet.epoch][unit].append(
                    runs[end.task, end.attempt]
                )

    def judge(self, epoch: int, effect: effects.Order) -> effects.Order:
        """Judges a start when an owner decides to send it."""
        order = effect.order
        if not isinstance(order, orders.Start):
            return effect
        fault = self._find_fault(self._ends[epoch], order)
        if not fault:
            return effect
        order = dataclasses.replace(order, spec=_FaultySpec(order.spec, fault))
        return dataclasses.replace(effect, order=order)

    def _find_fault(
        self, ends_by_unit: dict[Unit, list], order: orders.Start
    ) -> str:
        if self._world.find_step(order.task).until_cancelled:
            return ""
        ends = ends_by_unit[find_unit(self._world, order.task)]
        failed = {
            run.attempt
            for run in ends
            if run.how is work.EndReason.FAILED and not run.lapsed
        }
        if any(run.how is work.EndReason.DONE for run in ends):
            return f"started though known to be done: {order.task}"
        if len(failed) >= self._world.queue.attempts:
            return f"started though known to have failed: {order.task}"
        return ""

    def record_started(self, order: orders.Start) -> None:
        """Counts a start against its owner once a run has begun by it."""
        if isinstance(order.spec, _FaultySpec):
            self.violations.append(order.spec.fault)


class _FaultySpec(str):
    """Text of a job in a start that its owner should not have sent.

    Pollers copy orders before they send them; the text stays the same.

    Attributes:
        fault: What is wrong with the start.
    """

    fault: str

    def __new__(cls, text: str, fault: str) -> "_FaultySpec":
        made = super().__new__(cls, text)
        made.fault = fault
        return made
