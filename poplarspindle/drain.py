"""How a data centre is emptied after operators took it out."""

import itertools

from poplarspindle import cells, records, state

MOVES_PER_TICK = 50


def empty_cell(own: state.State, cell: cells.Cell) -> list:
    """Evicts what runs and moves what is queued out of a data centre."""
    found = []
    for task in itertools.islice(
        (
            task
            for name in cell.table.held
            for task in cells.list_held(cell, name)
            if task.phase in (cells.Phase.PLACED, cells.Phase.RUNNING)
            and cell.view.stops_sent.get(task.task) != -task.attempt - 1
        ),
        MOVES_PER_TICK,
    ):
        cell.view.stops_sent[task.task] = -task.attempt - 1
        record = records.TaskEvicted(
            task.task, task.attempt, cell.table.term, "drain"
        )
        found.append(cells.append_record(cell, record))
    target = _choose_target(own, cell)
    if target is None:
        return found
    for name in itertools.islice(cell.table.queue, MOVES_PER_TICK):
        task = cell.table.tasks[name]
        found.append(
            cells.append_record(
                cell,
                records.TaskMoved(name, task.attempt, cell.table.term, target),
            )
        )
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
