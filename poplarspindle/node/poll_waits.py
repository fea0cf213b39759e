"""How long polls of workers wait for an end, milliseconds."""

from poplarspindle.fleet import worker_state

BUSY_WAIT_MS = 1000
IDLE_WAIT_MS = 2000
SHARED_WAIT_MS = 550  # Tails are measured over half a second.


def choose_wait(worker: worker_state.WorkerState) -> int:
    """Returns how long a look at a worker waits for an end.

    Load pattern: serving and best-effort tasks share hundreds of workers. Looks
    at tails that are far below their targets, beside runs at full speed, change
    nothing, and take the time that starts need.
    """
    is_shared = (
        worker.latency_critical_millicores and worker.best_effort_millicores
    )
    if is_shared and worker.tails_need_watch:
        return SHARED_WAIT_MS
    return BUSY_WAIT_MS if worker.runs else IDLE_WAIT_MS
