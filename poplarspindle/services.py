"""Keeps the document's services running as tasks.

The owner of a data centre compares what the document wants there with what
its stream shows, and submits or cancels one job per replica. The id of such
a job is `service/NAME/INDEX@GENERATION` for an exclusive replica, whose
generation is that of its home, and `service/NAME/INDEX/DATA_CENTRE@GENERATION`
for others, which each stream counts by itself. At most one generation of a
replica lives in a stream; the reducer never takes a lower one again.
"""

import dataclasses
from collections.abc import Iterator

from poplarspindle import (
    cells,
    document,
    effects,
    events,
    homes,
    ownership,
    records,
    scheduler_state,
)

RECONCILE_S = 1.0


@dataclasses.dataclass(frozen=True, slots=True)
class Replica:
    """One replica of a service, as the document wants it.

    Attributes:
        name: Its job's id but for the generation.
        service: Name of the service.
        team: Team that owns the service's section.
        spec: The service's declaration.
        place: Data centre where it is to run now, empty for none.
    """

    name: str
    service: str
    team: str
    spec: document.ServiceSpec
    place: str


def list_replicas(document_state: document.State) -> Iterator[Replica]:
    """Yields all replicas that the document wants, each with its place."""
    everywhere = document_state.list_data_centres()
    for section in document_state.sections.values():
        for service, spec in section.spec.services.items():
            allowed = spec.data_centres or everywhere
            ranked = ownership.rank_candidates(service, allowed)
            for index in range(spec.replicas):
                turn = index % len(ranked) if ranked else 0
                order = (*ranked[turn:], *ranked[:turn])
                place = next(
                    (n for n in order if document_state.is_in_service(n)), ""
                )
                name = f"{records.SERVICE_PREFIX}{service}/{index}"
                if not spec.exclusive:
                    name = f"{name}/{place}"
                yield Replica(name, service, section.team, spec, place)


def assign_homes(document_state: document.State) -> None:
    """Gives new exclusive replicas their first home."""
    wanted = {
        replica.name: replica.place
        for replica in list_replicas(document_state)
        if replica.spec.exclusive and replica.place
    }
    homes.assign_homes(document_state.homes, wanted)


def apply_home(
    document_state: document.State, event: events.RecordRead
) -> list:
    """Reduces a HomeMoved record."""
    accepted = homes.move_home(document_state.homes, event.record)
    verdict = "home-moved" if accepted else "home-stale"
    return [effects.Count("poplarspindle_records_total", verdict)]


def reconcile(
    state: scheduler_state.SchedulerState, cell: cells.Cell, at: float
) -> list:
    """Returns the records that bring a data centre to what is wanted."""
    if at - cell.view.reconciled_at < RECONCILE_S:
        return []
    cell.view.reconciled_at = at
    wanted = _find_wanted(state)
    here = cell.table.data_centre
    effect_list = []
    for replica in wanted.values():
        if replica.spec.exclusive:
            effect_list += _keep_exclusive(state, cell, replica, wanted, at)
        elif replica.place == here:
            effect_list += _keep_shared(state, cell, replica, wanted, at)
    for name in cell.table.replicas:
        replica = wanted.get(name)
        stays = replica is not None and (
            replica.spec.exclusive or replica.place == here
        )
        if not stays and _find_live(cell, name):
            effect_list += _close(cell, name, cell.table.replicas[name], at)
    return effect_list


def _find_wanted(state: scheduler_state.SchedulerState) -> dict[str, Replica]:
    """Returns the replicas by name; worked out once per document record."""
    if state.wanted_offset != state.document.offset:
        state.wanted = {r.name: r for r in list_replicas(state.document)}
        state.wanted_offset = state.document.offset
    return state.wanted


def _keep_shared(state, cell, replica, wanted, at) -> list:
    generation = cell.table.replicas.get(replica.name, 0)
    live = _find_live(cell, replica.name)
    if live is None:
        return _submit(cell, replica, generation + 1, at)
    return _replace(state, cell, replica, live, wanted, at)


def _keep_exclusive(state, cell, replica, wanted, at) -> list:
    """Runs, closes or moves an exclusive replica whose home is here."""
    home = state.document.homes.get(replica.name)
    here = cell.table.data_centre
    if home is None or home.data_centre != here:
        if _find_live(cell, replica.name):
            generation = cell.table.replicas[replica.name]
            return _close(cell, replica.name, generation, at)
        return []
    target = _choose_home(state.document, replica, here)
    live = _find_live(cell, replica.name)
    if live is not None and target == here:
        return _replace(state, cell, replica, live, wanted, at)
    if not target and live is None:
        return []
    closed = cell.table.closed.get(replica.name, 0) >= home.generation
    if target == here and not closed:
        return _submit(cell, replica, home.generation, at)
    if live is not None:
        generation = cell.table.replicas[replica.name]
        return _close(cell, replica.name, generation, at)
    if not closed:
        return _close(cell, replica.name, home.generation, at)
    move = records.HomeMoved(replica.name, here, target, home.generation)
    return cells.send_once(
        cell,
        records.DOCUMENT_STREAM,
        move,
        replica.name,
        state.document_tail_at,
        at,
    )


def _choose_home(
    document_state: document.State, replica: Replica, here: str
) -> str:
    """Returns where an exclusive replica is to be: here where it may be."""
    allowed = replica.spec.data_centres or document_state.list_data_centres()
    if here in allowed and document_state.is_in_service(here):
        return here
    return replica.place


def _find_live(cell: cells.Cell, name: str) -> cells.Task | None:
    """Returns a replica's task unless it has ended."""
    generation = cell.table.replicas.get(name, 0)
    task = cell.table.tasks.get(f"{name}@{generation}/0")
    return None if task is None or task.phase in cells.ENDED else task


def _make_job(replica: Replica, generation: int) -> records.JobSubmitted:
    spec = replica.spec
    return records.JobSubmitted(
        f"{replica.name}@{generation}",
        replica.team,
        replica.service,
        spec.priority,
        1,
        int(spec.processors * 1000),
        int(spec.memory_gb * 1024),
        spec.accelerators,
        0,
        spec.exclusive,
    )


def _submit(
    cell: cells.Cell, replica: Replica, generation: int, at: float
) -> list:
    job = _make_job(replica, generation)
    return cells.propose(cell, job, at, replica.name)


def _close(cell: cells.Cell, name: str, generation: int, at: float) -> list:
    record = records.JobCancelled(f"{name}@{generation}")
    return cells.propose(cell, record, at, name)


def _replace(state, cell, replica, live, wanted, at) -> list:
    """Closes a replica of other sizes, once the others are running."""
    generation = cell.table.replicas[replica.name]
    if live.job == _make_job(replica, generation) or live.cancelled:
        return []
    others = (
        other
        for other in wanted.values()
        if other.service == replica.service and other.name != replica.name
    )
    if live.phase is cells.Phase.RUNNING and not all(
        _is_running(state, other) for other in others
    ):
        return []
    return _close(cell, replica.name, generation, at)


def _is_running(
    state: scheduler_state.SchedulerState, replica: Replica
) -> bool:
    """Tells whether a replica runs, as far as this instance follows it."""
    place = state.cells.get(replica.place)
    if place is not None and place.table.offset < 0:
        return True
    tasks = (_find_live(cell, replica.name) for cell in state.cells.values())
    return any(
        task.phase is cells.Phase.RUNNING and not task.cancelled
        for task in tasks
        if task is not None
    )
