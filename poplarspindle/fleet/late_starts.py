"""Starts without an answer, which a worker may carry out late."""

import typing

from poplarspindle.fleet import work, worker_state

if typing.TYPE_CHECKING:
    from poplarspindle.fleet import fleet_state

MAX_START_DELAY_S = 15.0  # An unanswered order may take effect that late.


def list_possible_late_starts(
    fleet: "fleet_state.FleetState", worker_name: str
) -> list[tuple[work.TaskName, int]]:
    """Lists runs that are over and whose start may still reach the worker."""
    late_starts = fleet.possible_late_starts.get(worker_name, {})
    for key in [
        key for key, until in late_starts.items() if until <= fleet.now
    ]:
        del late_starts[key]
    return list(late_starts)


def record_possible_late_start(
    fleet: "fleet_state.FleetState",
    worker: worker_state.WorkerState,
    run: worker_state.Run,
) -> None:
    """Records that a start of a run that is over may still reach its worker."""
    if run.unanswered_starts or run.start_in_flight:
        late_starts = fleet.possible_late_starts.setdefault(
            worker.info.name, {}
        )
        late_starts[run.key] = fleet.now + MAX_START_DELAY_S
