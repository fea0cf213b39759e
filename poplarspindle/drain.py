"""How a data centre is emptied after operators took it out."""

import itertools

from poplarspindle import cells, records, state

MOVES_PER_TICK = 50


def empty_cell(own: state.State, cell: cells.Cell, at: float) -> list:
    """Evicts what runs and moves what is queued out of a data centre."""
    leaving = (
        task
        for name in cell.table.held
        for task in cells.list_held(cell, name)
        if task.phase in (cells.Phase.PLACED, cells.Phase.RUNNING)
    )
    found = [
        effect
        for task in itertools.islice(leaving, MOVES_PER_TICK)
        for effect in cells.propose(
            cell,
            records.TaskEvicted(
                task.task, task.attempt, cell.table.term, "drain"
            ),
            at,
        )
    ]
    target = _choose_target(own, cell)
    if target is None:
        return found
    queued = (
        task
        for name in cell.table.queue
        if not (task := cell.table.tasks[name]).job.is_service
    )
    for task in itertools.islice(queued, MOVES_PER_TICK):
        record = records.TaskMoved(
            task.task, task.attempt, cell.table.term, target
        )
        found += cells.propose(cell, record, at)
    return found


def _choose_target(own: state.State, cell: cells.Cell) -> str | None:
    """Returns the data centre in service with the shortest queue."""
    others = (
        other
        for name, other in sorted(own.cells.items())
        if name != cell.table.data_centre and own.document.is_in_service(name)
    )
    best = min(others, key=lambda c: len(c.table.queue), default=None)
    return best.table.data_centre if best else None
