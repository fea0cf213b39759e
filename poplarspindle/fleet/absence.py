"""Decides that a worker is gone, by the list of workers and the inventory.

A worker writes its entry at each heartbeat, and the store drops the entry of
one that is silent. It may drop others in an outage; those that are alive are
back soon after it. So a worker may be gone once its entry is missing from a
list that was read without interruption for longer than that, unless it reports.

A worker that reaches neither the store nor its owner is missing as well, and
alive: it may carry out a start late. The platform's inventory tells it from a
dead one. Where that could not be read since the worker went missing, the list
decides alone. A worker that the last reading named counts as alive.

A worker is dead if it is gone by the list and a reading of the inventory since
then does not name it. What it had at work has ended with it, so its leases are
not waited for. The list alone does not prove that: while the worker lives, an
owner that the store does not hear may renew its leases.

A next owner without a record of a worker knows of no lease that was granted. It
reads the inventory at once: one that is not named is granted none from then on,
so the longest lease after that reading bounds those that it had.
"""

from poplarspindle.fleet import (
    effects,
    events,
    fleet_state,
    grants,
    late_starts,
    worker_state,
)

GONE_AFTER_S = 2.5  # Entries dropped in an outage are back by then.
CHECK_INTERVAL_S = 1.0  # Each reading is priced.


def handle_list_read(
    fleet: fleet_state.FleetState, event: events.ListRead
) -> list[effects.Effect]:
    """Notes since when entries are missing, and which workers are gone."""
    effect_list: list[effects.Effect] = []
    needs_check = False
    for name, worker in fleet.workers.items():
        needs_check = needs_check or _needs_bound(fleet, worker, event.at)
        if name in event.entries:
            worker.missing_since = float("inf")
            worker.gone = False
            continue
        if worker.missing_since == float("inf"):
            worker.missing_since = event.at
        worker.missing_since = max(worker.missing_since, event.unbroken_since)
        was_gone = worker.gone
        worker.gone = event.asked_at - worker.missing_since >= GONE_AFTER_S
        if worker.gone and worker.runs and not was_gone:
            effect_list.append(_make_note(worker, event))
        if worker.gone and _was_never_heard(worker):
            # An owner after this one goes on with what this one waits for.
            worker.poll_failed = fleet.unreachable_changed = True
        needs_check = needs_check or _needs_check(fleet, worker, event.at)
    if needs_check and event.at - fleet.inventory_asked_at >= CHECK_INTERVAL_S:
        fleet.inventory_asked_at = event.at
        effect_list.append(effects.ReadInventory())
    return effect_list


def handle_inventory_read(
    fleet: fleet_state.FleetState, event: events.InventoryRead
) -> list[effects.Effect]:
    """Takes a reading of the inventory, if it knows the workers at all.

    It has to name a listed worker, or any one while all are missing.
    """
    listed = [name for name, worker in fleet.workers.items() if worker.listed]
    if not any(name in event.alive for name in listed or fleet.workers):
        return [fleet_state.make_log_note("workers", "inventory-unknown")]
    fleet.inventory = event
    fleet.inventory_covers_all = _covers_all_services(fleet, event)
    for name, worker in fleet.workers.items():
        if name in event.alive:
            worker.granted_end_at = float("inf")
        elif fleet.inventory_covers_all:
            worker.granted_end_at = min(
                worker.granted_end_at,
                worker_state.find_longest_lease_end(
                    event.at, fleet.lease_most_ms
                ),
            )
    return [
        fleet_state.make_log_note(
            "workers",
            "missing-alive",
            worker=name,
            runs=len(worker.runs),
            missing_ms=int((event.at - worker.missing_since) * 1000),
        )
        for name, worker in fleet.workers.items()
        if name in event.alive and _needs_check(fleet, worker, event.at)
    ]


def is_gone(
    fleet: fleet_state.FleetState, worker: worker_state.WorkerState
) -> bool:
    """Returns whether a worker is gone, so that nothing can start there."""
    return worker.gone and not _find_if_alive(fleet, worker)


def is_dead(
    fleet: fleet_state.FleetState, worker: worker_state.WorkerState
) -> bool:
    """Returns whether a worker has ended, so that nothing is at work there."""
    return (
        worker.gone
        and fleet.inventory_covers_all
        and _find_if_alive(fleet, worker) is False
    )


def record_report(worker: worker_state.WorkerState, at: float) -> None:
    """Notes that a worker reported, so it is not gone."""
    worker.gone = False
    if worker.missing_since < float("inf"):
        worker.missing_since = max(worker.missing_since, at)


def _find_if_alive(
    fleet: fleet_state.FleetState, worker: worker_state.WorkerState
) -> bool | None:
    """Returns what the inventory tells of a missing worker, None if nothing."""
    reading = fleet.inventory
    if reading is None or reading.asked_at < worker.missing_since:
        return None
    return worker.info.name in reading.alive


def _was_never_heard(worker: worker_state.WorkerState) -> bool:
    """Returns whether an owner has runs of a worker that it knows by name only.

    It can't poll a worker whose entry it has not read.
    """
    return (
        bool(worker.runs) and not worker.poll_failed and not worker.info.address
    )


def _needs_check(
    fleet: fleet_state.FleetState,
    worker: worker_state.WorkerState,
    now: float,
) -> bool:
    """Tells whether tasks wait for a missing worker that may be dead.

    Leases that are over before it counts as gone are waited for in any case.
    """
    if worker.missing_since == float("inf") or not worker.runs:
        return False
    if _find_if_alive(fleet, worker) is False:
        return False
    gone_at = max(now, worker.missing_since + GONE_AFTER_S)
    return grants.find_leases_end(worker) > gone_at or any(
        late_starts.may_run_late(run, now) for run in worker.runs.values()
    )


def _needs_bound(
    fleet: fleet_state.FleetState,
    worker: worker_state.WorkerState,
    now: float,
) -> bool:
    """Tells whether a reading would bound the leases of a silent worker.

    That matters to a start that may be late; other runs end with their worker.
    """
    if worker.has_reported or not worker.runs:
        return False
    bound = worker_state.find_longest_lease_end(now, fleet.lease_most_ms)
    return grants.find_granted_end(worker) > bound and any(
        late_starts.may_run_late(run, now) for run in worker.runs.values()
    )


def _covers_all_services(
    fleet: fleet_state.FleetState, reading: events.InventoryRead
) -> bool:
    """Returns whether the inventory knows workers of each listed service.

    Workers of a service that it does not know say nothing by being missing.
    While none is listed, that can't be told.
    """
    listed = [worker for worker in fleet.workers.values() if worker.listed]
    services = {worker.info.service for worker in listed}
    return bool(services) and services == {
        worker.info.service
        for worker in listed
        if worker.info.name in reading.alive
    }


def _make_note(
    worker: worker_state.WorkerState, event: events.ListRead
) -> effects.Note:
    return fleet_state.make_log_note(
        "workers",
        "missing",
        worker=worker.info.name,
        runs=len(worker.runs),
        missing_ms=int((event.at - worker.missing_since) * 1000),
        unbroken_ms=int((event.at - event.unbroken_since) * 1000),
    )
