"""Decides by the list of workers that a worker is gone.

A worker writes its entry at each heartbeat, and the store drops the entry of
one that is silent. It may drop others in an outage; those that are alive are
back soon after it. So a worker is gone once its entry is missing from a list
that was read without interruption for longer than that, unless it reports.
"""

from poplarspindle.fleet import effects, events, fleet_state, worker_state

GONE_AFTER_S = 2.5  # Entries dropped in an outage are back by then.


def handle_list_read(
    fleet: fleet_state.FleetState, event: events.ListRead
) -> list[effects.Effect]:
    """Notes since when entries are missing, and which workers are gone."""
    effect_list: list[effects.Effect] = []
    for name, worker in fleet.workers.items():
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
    return effect_list


def record_report(worker: worker_state.WorkerState, at: float) -> None:
    """Notes that a worker reported, so it is not gone."""
    worker.gone = False
    if worker.missing_since < float("inf"):
        worker.missing_since = max(worker.missing_since, at)


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
