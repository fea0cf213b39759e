"""Which queued tasks are placed at a tick, and in which order."""

import random

from poplarspindle import cells, events, placement, records, state

PLACEMENTS_PER_TICK = 50


def place_queued(
    own: state.State, cell: cells.Cell, event: events.Ticked
) -> list:
    """Places queued tasks on workers with room, in order."""
    rng = random.Random(event.seed)
    pick = placement.POLICIES[own.limits.policy]
    found = []
    for task in _order_queue(cell, event.at)[:PLACEMENTS_PER_TICK]:
        sent = cell.view.pending.get(task.task)
        if sent is not None and (
            cell.view.tail_at - sent.sent_at < cells.RESEND_S
        ):
            continue
        if sent is not None:
            worker_name = sent.worker
        else:
            fitting = placement.list_fitting(cell, task)
            worker = pick(cell, task, fitting, rng)
            if worker is None:
                continue
            worker_name = worker.member.name
        cell.view.pending[task.task] = cells.Placement(
            task.attempt, worker_name, task.need, event.at
        )
        record = records.TaskPlaced(
            task.task, task.attempt, worker_name, cell.table.term
        )
        found.append(cells.append_record(cell, record))
    return found


def _order_queue(cell: cells.Cell, at: float) -> list[cells.Task]:
    """Returns the tasks to place, higher priority first, then by arrival."""
    queued = [
        task
        for name in cell.table.queue
        if cells.is_ready(cell, task := cell.table.tasks[name], at)
    ]
    return sorted(queued, key=lambda task: -task.job.priority)
