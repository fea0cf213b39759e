"""What workers report and answer, taken in by the owner."""

import dataclasses

from poplarspindle import resources
from poplarspindle.fleet import (
    book,
    effects,
    events,
    fleet,
    orders,
    pacing,
    pressure,
    views,
    work,
)

AT_WORK_PERCENT = 100
FULL_S = 0.3  # Room that others take is seen with the next report.
BUSY_S = 1.0
SILENCES_MOST = 3
BAD_JOBS_MOST = 2
CLOSED_FIRST_S = 3.0
CLOSED_MOST_S = 24.0


def take_report(own: fleet.Fleet, event: events.Reported) -> list:
    """Reduces a worker's report."""
    hand = own.hands.get(event.worker)
    if hand is None:
        return []
    report = event.report
    found = []
    views.note_clock(hand, report.clock_ms, event.at)
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
        found.append(fleet.note("workers", "heard-again", worker=event.worker))
    if event.until_ms:
        views.note_grant(hand, event.until_ms)
    found += _take_ends(own, hand, report)
    found += _take_running(own, hand, event, first)
    return found + pacing.review(own, hand)


def _begin_life(
    own: fleet.Fleet, hand: views.Hand, report: work.Report
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
            fleet.touch_task(own, run.name)
        elif run.asked and (run.silences or run.answered_at == float("inf")):
            # What the earlier life answered refuses nothing in this one.
            run.answered_at = float("inf")
            found += fleet.stop_run(own, hand, run)
        else:
            found += fleet.drop_run(own, hand, run, "worker-born-again")
    for name, attempt in fleet.list_ghosts(own, hand.worker.name):
        order = orders.Stop(name, attempt, own.epoch)
        found.append(effects.Order(hand.worker.name, order))
    hand.born_ms = born_ms
    hand.noted = hand.recorded = 0
    hand.until_ms = 0
    hand.lapse_at = float("-inf")
    return found


def _take_ends(own: fleet.Fleet, hand: views.Hand, report: work.Report) -> list:
    found = []
    news = [end for end in report.ended if end.number > hand.noted]
    for end in sorted(news, key=lambda end: end.number):
        hand.noted = end.number
        run = hand.runs.get((end.task, end.attempt))
        if run is not None:
            found += end_run(own, hand, run, end.how, end.saved)
        else:
            found.append(_note_stale_end(own, hand, end))
            found += _take_late_end(own, hand, end)
    if hand.noted > hand.recorded:
        hand.recorded = hand.noted
        own.waiting.append(
            effects.Acknowledge(hand.worker.name, hand.born_ms, hand.noted)
        )
    return found


def _note_stale_end(
    own: fleet.Fleet, hand: views.Hand, end: work.Ended
) -> effects.Note:
    """Notes the end of a run that is not placed on this worker any more."""
    task = book.find_task(own.book, end.task)
    job = own.book.jobs.get(end.task.job)
    return fleet.note(
        "runs",
        "stale-end",
        end.task.job,
        task=fleet.format_task(end.task),
        attempt=end.attempt,
        worker=hand.worker.name,
        how=end.how.value,
        number=end.number,
        job_state=job.state.value if job else "unknown",
        phase=task.phase.name.lower() if task else "unknown",
        last_attempt=task.attempt if task else 0,
        placed_on=task.worker if task else "",
    )


def _take_late_end(own: fleet.Fleet, hand: views.Hand, end) -> list:
    """Takes in how a run ended which was given up, or even replaced.

    The worker forgets an end that is acknowledged: the task would run again,
    or once too often.
    """
    task = book.find_task(own.book, end.task)
    job = own.book.jobs.get(end.task.job)
    if (
        task is None
        or task.phase is book.Phase.DONE
        or job.state in book.ENDED
        or job.submission.steps[end.task.step].lasting
    ):
        return []
    run = views.Run(end.task, job, task, own.at, True)
    if end.how is work.How.DONE:
        own.stirred = True
        fleet.touch_run(own, run)
        found = _judge_worker(own, hand, run, end.how) + _take_back(own, run)
        return found + _finish_task(own, run)
    if end.attempt not in task.open_attempts:
        return []  # It was counted, if it failed; maybe by an earlier owner.
    left = tuple(a for a in task.open_attempts if a != end.attempt)
    task.open_attempts = left
    fleet.touch_task(own, end.task)
    if end.how is not work.How.FAILED:
        return []
    return _judge_worker(own, hand, run, end.how) + _count_failure(own, run)


def _count_failure(own: fleet.Fleet, run: views.Run) -> list:
    """Counts a failed run; the job fails with the last one allowed."""
    run.task.failures += 1
    if _count_failures(run) < fleet.find_queue(own, run.job).attempts:
        return []
    return fleet.end_job(own, run.job, book.State.FAILED)


def _take_back(own: fleet.Fleet, done: views.Run) -> list:
    """Takes later attempts of a task back, with a gang those of all members.

    What was sent is stopped; what was not just ends.
    """
    found = []
    name = done.name
    tasks = done.job.runs[name.time][name.step]
    members = range(len(tasks)) if done.step.gang else [name.index]
    for index in members:
        member = dataclasses.replace(name, index=index)
        holder = own.hands.get(tasks[index].worker)
        later = holder and holder.runs.get((member, tasks[index].attempt))
        if later is not None:
            found += fleet.stop_run(own, holder, later)
    return found


def end_run(
    own: fleet.Fleet,
    hand: views.Hand,
    run: views.Run,
    how: work.How,
    saved: str,
) -> list:
    """Takes the end of a run in."""
    views.remove_run(hand, run)
    fleet.note_late_start(own, hand, run)
    own.stirred = True
    pressure.note_end(hand, run, own.at)
    found = [
        fleet.note(
            "runs",
            "ended",
            run.name.job,
            task=fleet.format_task(run.name),
            attempt=run.attempt,
            worker=hand.worker.name,
            how=how.value,
            took_ms=int((own.at - run.placed_at) * 1000),
        )
    ]
    found += _judge_worker(own, hand, run, how)
    task = run.task
    if task.attempt != run.attempt or run.job.state in book.ENDED:
        return found
    if task.phase is book.Phase.DONE:
        return found
    fleet.touch_run(own, run)
    if saved:
        _save(run, saved)
    if how is work.How.DONE and not run.step.lasting:
        return found + _finish_task(own, run)
    if how is work.How.FAILED and not run.step.lasting:
        found += _count_failure(own, run)
    fleet.requeue(own, run)
    return found


def _judge_worker(own, hand, run, how) -> list:
    """Closes a worker for a while that fails the work of several jobs.

    Load pattern: a worker that fails all it starts is soon empty, and so
    draws all that comes. One job's failures are held against the job.
    """
    if how is work.How.DONE:
        hand.bad_jobs.clear()
        hand.closed_s = 0.0
        return []
    if how is not work.How.FAILED:
        return []
    own.failed_on.setdefault(run.name, set()).add(hand.worker.name)
    hand.bad_jobs.add(run.name.job)
    if len(hand.bad_jobs) < BAD_JOBS_MOST:
        return []
    hand.closed_s = min(CLOSED_MOST_S, max(CLOSED_FIRST_S, 2 * hand.closed_s))
    hand.full_until = max(hand.full_until, own.at + hand.closed_s)
    return [
        fleet.note(
            "workers",
            "closed",
            worker=hand.worker.name,
            jobs=len(hand.bad_jobs),
            for_s=hand.closed_s,
        )
    ]


def _save(run: views.Run, saved: str) -> None:
    """Keeps a checkpoint; any member's is valid for its whole gang."""
    members = [run.task]
    if run.step.gang:
        members = run.job.runs[run.name.time][run.name.step]
    for task in members:
        task.saved = saved


def _count_failures(run: views.Run) -> int:
    if not run.step.gang:
        return run.task.failures
    members = run.job.runs[run.name.time][run.name.step]
    return sum(task.failures for task in members)


def _finish_task(own: fleet.Fleet, run: views.Run) -> list:
    job, number, step = run.job, run.name.time, run.name.step
    own.efforts.pop((run.name.job, number), None)
    tasks = job.runs[number][step]
    # Members of a gang that were lost just before its end wait again.
    members = range(len(tasks)) if run.step.gang else [run.name.index]
    for index in members:
        tasks[index].phase = book.Phase.DONE
    fleet.unqueue(own, run, members)
    if not book.is_step_done(tasks):
        return []
    if all(map(book.is_step_done, job.runs[number])):
        del job.runs[number]
        own.dirty[run.name.job] = None
    else:
        for later, spec in enumerate(job.submission.steps):
            if step in spec.after:
                fleet.queue_step(own, job, number, later)
    if not job.runs and job.opened >= max(1, job.submission.times):
        return fleet.end_job(own, job, book.State.COMPLETED)
    return []


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
            found += fleet.send_start(own, hand, run)
        elif event.sent_at > run.answered_at and event.report.whole:
            found += fleet.drop_run(own, hand, run, "not-listed", True)
    return found


def _is_unsent(run: views.Run) -> bool:
    """Tells whether a start went without an answer and is to be repeated.

    It was not repeated while the worker did not answer looks.
    """
    unanswered = run.silences > 0 and run.answered_at == float("inf")
    return unanswered and not run.sending and not run.stopping


def _stop_stranger(own: fleet.Fleet, hand: views.Hand, row) -> list:
    """Has a run stopped that nobody wants any more."""
    job = own.book.jobs.get(row.task.job)
    if job is not None and row.task.step < len(job.submission.steps):
        step = job.submission.steps[row.task.step]
        hand.strangers = hand.strangers + views.get_reserved(step)
    order = orders.Stop(row.task, row.attempt, own.epoch)
    return [
        effects.Order(hand.worker.name, order),
        fleet.note(
            "runs",
            "stop-stranger",
            row.task.job,
            task=fleet.format_task(row.task),
            attempt=row.attempt,
            worker=hand.worker.name,
        ),
    ]


def take_answer(own: fleet.Fleet, event: events.Ordered) -> list:
    """Reduces a worker's answer to an order."""
    hand = own.hands.get(event.worker)
    if hand is None:
        return []
    if event.answer.clock_ms:
        views.note_clock(hand, event.answer.clock_ms, event.at)
    run = hand.runs.get((event.order.task, event.order.attempt))
    if run is None:
        return _repeat_stop(own, hand, event)
    if isinstance(event.order, orders.Pace):
        if event.answer.refusal is not None:
            run.percent = views.PACE_UNKNOWN
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
    ghosts = fleet.list_ghosts(own, hand.worker.name)
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
        fleet.note(
            "runs",
            "start-refused",
            run.name.job,
            task=fleet.format_task(run.name),
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
        return found + fleet.stop_run(own, hand, run)
    surely_absent = run.silences == 0 and not run.confirmed
    again = refusal in (orders.Refusal.LATE, orders.Refusal.SILENT)
    if again and run.silences < SILENCES_MOST:
        return found + fleet.send_start(own, hand, run)
    if surely_absent and not again:
        found += _give_back(own, hand, run, refusal)
        return found
    return found + fleet.stop_run(own, hand, run)


def _give_back(own, hand, run, refusal) -> list:
    """Queues a task again whose start was surely not carried out."""
    found = fleet.drop_run(own, hand, run, refusal.value)
    if not run.step.gang:
        return found
    members = run.job.runs.get(run.name.time, [])
    if not members:
        return found
    for task in members[run.name.step]:
        other = own.hands.get(task.worker)
        if other is None or task.phase is not book.Phase.PLACED:
            continue
        for held in list(other.runs.values()):
            if held.task is task:
                found += fleet.stop_run(own, other, held)
    return found
