"""Plain answers: why a task, job, worker or data centre is as it is."""

import collections
import dataclasses
from collections.abc import Iterator

from poplarspindle import (
    backlog,
    cells,
    colocation,
    drain,
    interference,
    ownership,
    quarantine,
    resources,
    scheduler_state,
)

TASKS_SHOWN = 20
LEFT_SHOWN = 10


@dataclasses.dataclass(frozen=True, slots=True)
class Answer:
    """What is known of a subject.

    Attributes:
        found: Whether this instance knows the subject.
        sentences: The answer, one sentence each.
    """

    found: bool
    sentences: tuple[str, ...]


def explain(
    state: scheduler_state.SchedulerState, subject: str, at: float
) -> Answer:
    """Explains a task, a job, a worker or a data centre.

    Args:
        state: The instance's state.
        subject: Its id or name.
        at: Own clock.

    Returns:
        The answer; of what only the owner of a data centre learns, as far
        as this instance owns it.
    """
    if subject in state.cells:
        return Answer(True, tuple(_explain_cell(state, subject, at)))
    for cell in state.cells.values():
        if subject in cell.view.workers:
            found = _explain_worker(state, cell, subject, at)
            return Answer(True, tuple(found))
    sentences = [
        sentence
        for cell in state.cells.values()
        for sentence in _explain_work(state, cell, subject, at)
    ]
    if sentences:
        return Answer(True, tuple(sentences))
    text = f"No task, job, worker or data centre {subject} is known here."
    return Answer(False, (text,))


def _explain_work(state, cell, subject: str, at: float) -> Iterator[str]:
    table = cell.table
    if subject in table.tasks:
        yield from _explain_task(state, cell, table.tasks[subject], at)
    elif subject in table.tombstones:
        yield f"{subject} ended in {table.data_centre} some time ago."
    elif subject in table.jobs:
        count = table.jobs[subject]
        yield f"Job {subject} has {count} tasks in {table.data_centre}."
        names = [f"{subject}/{i}" for i in range(min(count, TASKS_SHOWN))]
        for name in names:
            if name in table.tasks:
                yield from _explain_task(state, cell, table.tasks[name], at)


def _explain_task(state, cell, task: cells.Task, at: float) -> Iterator[str]:
    where = cell.table.data_centre
    match task.phase:
        case cells.Phase.QUEUED:
            yield f"{task.task} is queued in {where}: " + _explain_wait(
                state, cell, task, at
            )
        case cells.Phase.MOVED:
            yield f"{task.task} was moved from {where} to {task.target}."
        case phase if phase in cells.ENDED:
            reason = f": {task.reason}" if task.reason else ""
            yield f"{task.task} is {phase} in {where}{reason}."
        case _:
            yield from _explain_held(state, cell, task)


def _explain_held(state, cell, task: cells.Task) -> Iterator[str]:
    yield (
        f"{task.task} is {task.phase} on {task.worker} in"
        f" {cell.table.data_centre}, attempt {task.attempt}, with"
        f" {_describe_need(task.need)}."
    )
    declared = resources.Resources(
        task.job.millicores, task.job.memory_mb, task.job.accelerators
    )
    if task.need != declared:
        yield (
            f"Its family declares {_describe_need(declared)};"
            " the rest follows what its tasks really use."
        )
    if task.phase is cells.Phase.STOPPING:
        yield f"It is being stopped: {task.reason}."
    throttle = cell.view.throttles.get(task.task)
    limited = throttle is not None and throttle.per_mille < 1000
    if limited and throttle.attempt == task.attempt:
        yield (
            f"It is limited to {throttle.per_mille / 10:g} % of its"
            " processors, because a service beside it was too slow."
        )


def _describe_need(need: resources.Resources) -> str:
    text = f"{need.millicores / 1000:g} processors, {need.memory_mb} MB"
    if need.accelerators:
        text += f", {need.accelerators} accelerators"
    return text


_WAITS = {
    "no-room": "no worker here has room for it now",
    "quota": "its team's part of the quota here is used up",
    "family-backs-off": "its family failed on several workers lately",
    "disturbs-services": (
        "on every worker with room it would push a service over its target;"
        " it waits for a quieter one, for a bounded time"
    ),
}


def _explain_wait(state, cell, task: cells.Task, at: float) -> str:
    view = cell.view
    if not ownership.is_owner(state, cell):
        owner = cell.table.owner or "nobody"
        return f"{owner} owns this data centre and decides."
    if not state.document.is_in_service(cell.table.data_centre):
        return "the data centre is out of service."
    if not ownership.may_act(state, cell, at):
        return "the log was not read to its end lately, so nothing starts."
    if task.task in view.pending:
        return f"it is about to be placed on {view.pending[task.task].worker}."
    if not cells.is_ready(cell, task, at):
        wait = view.retry_at[task.task] - at
        return f"it failed, and is tried again in {wait:.1f} s."
    lane = backlog.find_lane(task)
    reason = view.blocked.get(lane, "")
    if reason:
        return _WAITS.get(reason, reason) + "."
    ahead = sum(
        len(names)
        for other, names in cells.get_backlog(cell.table).lanes.items()
        if other.priority > lane.priority
    )
    return f"its turn has not come; {ahead} tasks of higher priority wait."


def _explain_worker(state, cell, name: str, at: float) -> Iterator[str]:
    worker = cell.view.workers[name]
    reserved = cell.table.reserved.get(name, resources.ZERO)
    held = cells.list_worker_tasks(cell, name)
    yield (
        f"{name} in {cell.table.data_centre}, rack"
        f" {worker.member.rack or 'unknown'}, holds {len(held)} tasks and"
        f" reserves {_describe_need(reserved)} of"
        f" {_describe_need(worker.member.capacity)}."
    )
    if not worker.reached:
        yield "It does not answer."
    if worker.has_unknown_runs:
        yield "It runs attempts that the log does not place there."
    if name in cell.view.kept:
        lane = cell.view.kept[name]
        yield f"Its room is kept for {lane.family}, which waited too long."
    history = state.failures.workers.get(name)
    if history is not None and history.is_closed:
        left = max(0.0, history.closed_until - at)
        probing = quarantine.is_allowed(state.failures.workers, name, at)
        yield (
            "It is in quarantine: tasks of several families failed there. "
            + (
                "One task may probe it now."
                if probing
                else f"It is probed again in {left:.0f} s or after its probe."
            )
        )
    yield from _explain_mix(state, cell, worker, held)


def _explain_mix(state, cell, worker, held) -> Iterator[str]:
    """Tells how the services on a worker fare, and who is judged guilty."""
    mix = colocation.describe_worker(state, cell, worker, held)
    for name, beside in sorted(mix.services.items()):
        guilty = sorted(
            mix.shares,
            key=lambda f: (
                -mix.shares[f] * state.slowdown.find_weight(name, f).mean
            ),
        )
        latency = interference.predict(
            state.slowdown, name, mix.shares, state.slowdown.services[name].load
        )
        target = colocation.find_target_ms(state, name)
        text = f"Service {name}: tail {latency:.0f} ms predicted, target"
        text += f" {target:g} ms"
        if guilty:
            text += f"; most of the slowdown is put down to {guilty[0]}"
        yield f"{text}, {beside.replicas} replicas."


def _explain_cell(state, name: str, at: float) -> Iterator[str]:
    cell = state.cells[name]
    serving = state.document.is_in_service(name)
    known = state.document.data_centres.get(name)
    author = f", set by {known.author}" if known else ""
    owner = cell.table.owner or "nobody"
    yield (
        f"{name} is {'in' if serving else 'out of'} service{author}, owned by"
        f" {owner} in term {cell.table.term}: {len(cell.table.queue)} queued,"
        f" {sum(map(len, cell.table.held.values()))} held."
    )
    for lane, reason in sorted(
        cell.view.blocked.items(), key=lambda item: item[0].family
    ):
        count = len(cells.get_backlog(cell.table).lanes.get(lane, ()))
        text = _WAITS.get(reason, reason)
        yield f"{count} queued tasks of {lane.family} wait: {text}."
    yield from _explain_plan(state, name, serving)


def _explain_plan(state, name: str, serving: bool) -> Iterator[str]:
    """Tells what goes where if it is taken out, or while it is emptied."""
    leaving = drain.plan(state, name)
    when = "Taken out now" if serving else "While it is emptied"
    counts = collections.Counter(item.target for item in leaving)
    stays = counts.pop("", 0)
    goes = ", ".join(f"{n} to {t}" for t, n in sorted(counts.items()))
    yield (
        f"{when}, of {len(leaving)} batch tasks {goes or 'none'} would move"
        f" at once and {stays} would be left behind for now."
    )
    left = [item for item in leaving if item.reason]
    for item in left[:LEFT_SHOWN]:
        yield f"{item.task} is left behind: {item.reason}."
    if len(left) > LEFT_SHOWN:
        yield f"{len(left) - LEFT_SHOWN} more are left behind."
