"""What workers report and answer, taken in by the owner."""

from poplarspindle import resources
from poplarspindle.fleet import (
    effects,
    ends,
    events,
    fleet_state,
    job_store,
    orders,
    pacing,
    work,
    worker_state,
)

AT_WORK_PERCENT = 100
FULL_S = 0.3  # Room that others take is seen with the next report.
BUSY_S = 1.0
SILENCES_MOST = 3


def take_report(own: fleet_state.Fleet, event: events.Reported) -> list:
    """Reduces a worker's report."""
    hand = own.hands.get(event.worker)
    if hand is None:
        return []
    report = event.report
    found = []
    worker_state.note_clock(hand, report.clock_ms, event.at)
    allow = effects.Allow(event.worker, event.look)
    if hand.dark:
        # The log has to forget that it is dark before it gets a lease.
        own.dark_changed = own.dark_changed or hand.missed
        hand.missed = False
        return []
    if not event.until_ms:
        found.append(allow)
    first = not hand.heard
    if report.born_ms != hand.born_ms:
        found += _begin_life(own, hand, report)
    hand.heard_at = event.at
    hand.changed = True
    if hand.missed:
        hand.missed = False
        hand.full_until = event.at
        found.append(
            fleet_state.note("workers", "heard-again", worker=event.worker)
        )
    if event.until_ms:
        worker_state.note_grant(hand, event.until_ms)
    found += ends.take_ends(own, hand, report)
    found += _take_running(own, hand, event, first)
    return found + pacing.review(own, hand)


def _begin_life(
    own: fleet_state.Fleet, hand: worker_state.Hand, report: work.Report
) -> list:
    """Forgets a worker's earlier life.

    A start on its way may still arrive in the new life: what is listed there
    is taken over, and what may come is refused beforehand by a stop.
    """
    found = []
    born_ms = report.born_ms
    listed = {(row.task, row.attempt) for row in report.running}
    for run in list(hand.runs.values()):
        if run.task.born_ms == born_ms:
            continue
        if run.key in listed:
            run.task.born_ms = born_ms
            fleet_state.touch_task(own, run.name)
        elif run.asked and (run.silences or run.answered_at == float("inf")):
            # What the earlier life answered refuses nothing in this one.
            run.answered_at = float("inf")
            found += fleet_state.stop_run(own, hand, run)
        else:
            found += fleet_state.drop_run(own, hand, run, "worker-born-again")
    for name, attempt in fleet_state.list_ghosts(own, hand.worker.name):
        order = orders.Stop(name, attempt, own.epoch)
        found.append(effects.Order(hand.worker.name, order))
    hand.born_ms = born_ms
    hand.noted = hand.recorded = 0
    hand.until_ms = 0
    hand.lapse_at = float("-inf")
    return found


def _take_running(own, hand, event, first: bool) -> list:
    """Compares what a worker lists with what was placed on it."""
    found = []
    listed = {(row.task, row.attempt): row for row in event.report.running}
    hand.strangers = resources.NOTHING
    hand.room = None
    for key, row in listed.items():
        run = hand.runs.get(key)
        if run is None:
            found += _stop_stranger(own, hand, row)
            continue
        run.confirmed = True
        run.usage = row.usage
        run.at_work = row.percent >= AT_WORK_PERCENT
        if run.first_seen_at > event.at:
            run.first_seen_at = event.at
        if row.saved and row.saved != run.task.saved and not run.step.gang:
            run.task.saved = row.saved
    for run in [r for key, r in hand.runs.items() if key not in listed]:
        if (first and run.recorded and not run.stopping) or _is_unsent(run):
            found += fleet_state.send_start(own, hand, run)
        elif event.sent_at > run.answered_at and event.report.whole:
            found += fleet_state.drop_run(own, hand, run, "not-listed", True)
    return found


def _is_unsent(run: worker_state.Run) -> bool:
    """Tells whether a start went without an answer and is to be repeated.

    It was not repeated while the worker did not answer looks.
    """
    unanswered = run.silences > 0 and run.answered_at == float("inf")
    return unanswered and not run.sending and not run.stopping


def _stop_stranger(
    own: fleet_state.Fleet, hand: worker_state.Hand, row
) -> list:
    """Has a run stopped that nobody wants any more."""
    job = own.book.jobs.get(row.task.job)
    if job is not None and row.task.step < len(job.submission.steps):
        step = job.submission.steps[row.task.step]
        hand.strangers = hand.strangers + worker_state.get_reserved(step)
    order = orders.Stop(row.task, row.attempt, own.epoch)
    return [
        effects.Order(hand.worker.name, order),
        fleet_state.note(
            "runs",
            "stop-stranger",
            row.task.job,
            task=fleet_state.format_task(row.task),
            attempt=row.attempt,
            worker=hand.worker.name,
        ),
    ]


def take_answer(own: fleet_state.Fleet, event: events.Ordered) -> list:
    """Reduces a worker's answer to an order."""
    hand = own.hands.get(event.worker)
    if hand is None:
        return []
    if event.answer.clock_ms:
        worker_state.note_clock(hand, event.answer.clock_ms, event.at)
    run = hand.runs.get((event.order.task, event.order.attempt))
    if run is None:
        return _repeat_stop(own, hand, event)
    if isinstance(event.order, orders.Pace):
        if event.answer.refusal is not None:
            run.percent = worker_state.PACE_UNKNOWN
        return []
    if isinstance(event.order, orders.Stop):
        return _take_stop(own, hand, run, event)
    return _take_start(own, hand, run, event)


def _repeat_stop(own, hand, event) -> list:
    """Repeats the stop of a run that is over, as a start may still arrive."""
    order = event.order
    silent = event.answer.refusal is orders.Refusal.SILENT
    if not isinstance(order, orders.Stop) or not silent or hand.missed:
        return []
    ghosts = fleet_state.list_ghosts(own, hand.worker.name)
    if (order.task, order.attempt) not in ghosts:
        return []
    return [effects.Order(hand.worker.name, order)]


def _take_stop(own, hand, run, event) -> list:
    run.stop_asked = False
    if event.answer.refusal is None:
        run.answered_at = min(run.answered_at, event.at)
        run.stop_after = own.at + 1.0
    return []


def _take_start(own, hand, run, event) -> list:
    refusal = event.answer.refusal
    run.sending = False
    found = []
    if refusal is None:
        run.confirmed = True
        run.answered_at = event.at
    elif refusal is orders.Refusal.ENDED:
        run.answered_at = event.at
    else:
        found += _refuse_start(own, hand, run, refusal)
    return found


def _refuse_start(own, hand, run, refusal) -> list:
    """Tries a start again, here or elsewhere, as far as that is safe."""
    found = [
        fleet_state.note(
            "runs",
            "start-refused",
            run.name.job,
            task=fleet_state.format_task(run.name),
            attempt=run.attempt,
            worker=hand.worker.name,
            why=refusal.value,
            silences=run.silences,
        )
    ]
    if refusal is orders.Refusal.FENCED:
        return found
    if refusal is orders.Refusal.SILENT:
        run.silences += 1
    if refusal is orders.Refusal.ROOM:
        hand.full_until = own.at + FULL_S
    elif refusal not in (orders.Refusal.LATE, orders.Refusal.SILENT):
        hand.full_until = own.at + BUSY_S
    if run.stopping:
        return found + fleet_state.stop_run(own, hand, run)
    surely_absent = run.silences == 0 and not run.confirmed
    again = refusal in (orders.Refusal.LATE, orders.Refusal.SILENT)
    if again and run.silences < SILENCES_MOST:
        return found + fleet_state.send_start(own, hand, run)
    if surely_absent and not again:
        found += _give_back(own, hand, run, refusal)
        return found
    return found + fleet_state.stop_run(own, hand, run)


def _give_back(own, hand, run, refusal) -> list:
    """Queues a task again whose start was surely not carried out."""
    found = fleet_state.drop_run(own, hand, run, refusal.value)
    if not run.step.gang:
        return found
    members = run.job.runs.get(run.name.time, [])
    if not members:
        return found
    for task in members[run.name.step]:
        other = own.hands.get(task.worker)
        if other is None or task.phase is not job_store.Phase.PLACED:
            continue
        for held in list(other.runs.values()):
            if held.task is task:
                found += fleet_state.stop_run(own, other, held)
    return found
