"""Starts without an answer, which a worker may carry out late.

A run may begin that way after all leases that its owner knows of, as the lease
of a late start may count from its arrival. So while that is possible, the run
stays placed on its worker, and its task is placed nowhere else. The wait ends
early if the worker lists the end of the run or refuses its start, if another
incarnation of the worker answers, or if the worker is gone. A worker that comes
back after all is ordered to stop such a run before anything else, so that it
refuses the start.

A higher fencing token does not end the wait, neither of the same owner nor of
a later one that the worker answered: it may begin another incarnation, and one
that nobody has spoken to refuses nothing.
"""

import typing

from poplarspindle.fleet import grants, leases, orders, work, worker_state

if typing.TYPE_CHECKING:
    from poplarspindle.fleet import fleet_state

# From a start without an answer to the end of the lease that it may begin.
MAX_LATE_RUN_S = (
    grants.MAX_ORDER_DELAY_S
    + leases.LEASE_MS / 1000 * worker_state.MAX_CLOCK_DRIFT
    + worker_state.LEASE_END_SLACK_S
)
# A start that waited for longer in its owner is not sent; with the delay of an
# order after that it stays within MAX_ORDER_DELAY_S.
MAX_START_AGE_S = 3.0
# Shorter runs are over before a record of their answered starts would matter.
RECORD_ANSWERED_AFTER_S = 0.25


def may_have_started(run: worker_state.Run) -> bool:
    """Returns whether a run's start may have been carried out."""
    return run.start_sent and (
        run.confirmed
        or run.unanswered_starts > 0
        or run.answered_at == float("inf")
    )


def record_unanswered_start(run: worker_state.Run, now: float) -> None:
    """Records that a start of a run got no answer."""
    run.unanswered_starts += 1
    run.may_run_late_until = now + MAX_LATE_RUN_S


def is_too_old(order: orders.Start, now: float) -> bool:
    """Returns whether a start may outlast the wait for its run if sent now."""
    return now - order.decided_at > MAX_START_AGE_S


def waited_too_long(run: worker_state.Run, now: float) -> bool:
    """Returns whether the last start of a run was too old to be sent.

    That says nothing of its worker, which is not to be left without work.
    """
    return now - run.start_sent_at > MAX_START_AGE_S


def rule_out_earlier_owners(
    fleet: "fleet_state.FleetState", worker: worker_state.WorkerState
) -> None:
    """Records that a worker answered under this epoch.

    From then on this incarnation refuses the starts and polls that earlier
    owners sent. Late ones may have been carried out just before that.
    """
    if worker.runs:
        worker.leases_end_at = worker_state.find_longest_lease_end(
            fleet.now, fleet.lease_most_ms
        )


def may_run_late(run: worker_state.Run, now: float) -> bool:
    """Returns whether a start without an answer may have the run at work.

    Leases do not bound that. A start in flight counts as one without an answer.
    """
    return now < find_late_run_end(run)


def find_late_run_end(run: worker_state.Run) -> float:
    """Returns until when a start without an answer may have a run at work."""
    if not run.start_in_flight:
        return run.may_run_late_until
    return max(run.may_run_late_until, run.start_sent_at + MAX_LATE_RUN_S)


def is_answer_to_record(run: worker_state.Run, now: float) -> bool:
    """Returns whether the log should tell that a run's starts were answered.

    A later owner then knows that no start may have the run at work late.
    """
    return (
        not is_recorded_as_answered(run)
        and run.confirmed
        and now - run.placed_at >= RECORD_ANSWERED_AFTER_S
        and run.task.attempt == run.attempt
        and not may_run_late(run, now)
    )


def is_recorded_as_answered(run: worker_state.Run) -> bool:
    """Returns whether the log tells that each start of a run was answered."""
    return run.task.answered_attempt == run.attempt


def was_answered_earlier(run: worker_state.Run) -> bool:
    """Returns whether an earlier owner had the answers to a run's starts."""
    return is_recorded_as_answered(run) and run.answered_at == float("inf")


def needs_repeat(run: worker_state.Run) -> bool:
    """Returns whether a start was sent to no effect and has to be sent again.

    It got no answer or came too late, and was not repeated at once, as starts
    are not sent while the worker fails polls, and one repeat at a time.
    """
    return (
        run.start_sent
        and run.answered_at == float("inf")
        and not run.start_in_flight
        and not run.stopping
    )


def has_repeat_in_flight(worker: worker_state.WorkerState) -> bool:
    """Returns whether a start is repeated that got no answer before.

    Load pattern: a worker dies in a burst of starts, which are repeated until
    the poll has failed. Each may renew the leases late, so that tasks wait for
    longer. One repeat tells as much as all, so the others wait for its answer,
    or for a report.
    """
    return any(
        run.start_in_flight and run.unanswered_starts
        for run in worker.runs.values()
    )


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
        late_starts[run.key] = fleet.now + grants.MAX_ORDER_DELAY_S
