"""The owner's reducer: events in, effects out.

State is owned by one thread and changed in place; the same events in the
same order give the same effects.
"""

from poplarspindle.fleet import (
    consolidation,
    effects,
    events,
    fleet_state,
    job_store,
    orders,
    placement_rounds,
    recording,
    reports,
    takeover,
    work,
    worker_selection,
    worker_state,
)

DRAIN_MARGIN_MS = 900
SUMMARY_S = 1.0
UNHEARD_S = 1.0
OPENED_S = 0.5  # Ticks come more often: none misses that a worker opened.


def reduce(own: fleet_state.Fleet, event: events.Event) -> list[effects.Effect]:
    """Reduces one event; `settle` has to follow the last one of a batch."""
    own.at = event.at
    if hasattr(event, "wall_ms"):
        own.wall_ms = event.wall_ms
    return _HANDLERS[type(event)](own, event)


def settle(own: fleet_state.Fleet) -> list[effects.Effect]:
    """Places what is ready and records what changed."""
    return placement_rounds.place_ready(own) + recording.flush(own)


def _read_job(own: fleet_state.Fleet, event: events.JobRead) -> list:
    job = own.book.jobs.get(event.job)
    if (
        job is None
        or job.state in job_store.ENDED
        or event.job in own.open_jobs
    ):
        return []
    own.untold[event.job] = None
    if job.cancelled:
        return fleet_state.end_job(own, job, job_store.State.CANCELLED)
    own.open_jobs[event.job] = None
    fleet_state.open_due(own, job)
    return []


def _read_hand_ins(own: fleet_state.Fleet, event: events.HandInsRead) -> list:
    own.read[event.part] = event.next
    return []


def _read_cancel(own: fleet_state.Fleet, event: events.CancelRead) -> list:
    job = own.book.jobs.get(event.job)
    if job is None or job.state in job_store.ENDED:
        return []
    own.untold[event.job] = None
    return fleet_state.end_job(own, job, job_store.State.CANCELLED)


def _list_workers(own: fleet_state.Fleet, event: events.WorkersListed) -> list:
    found = []
    own.listed_at = event.at
    listed = {worker.name: worker for worker in event.workers}
    for name, worker in listed.items():
        hand = own.hands.get(name)
        if hand is None:
            hand = own.hands[name] = worker_state.Hand(worker)
            hand.dark = name in own.silent
            found.append(_note_worker("listed", worker))
        elif not hand.listed:
            found.append(_note_worker("listed-again", worker))
        elif hand.worker.presence is not worker.presence:
            found.append(_note_worker("presence", worker))
        if hand.worker is not worker or not hand.listed:
            hand.room = None
            hand.changed = own.stirred = True
        hand.listed = True
        hand.worker = worker
        if worker.presence is work.Presence.LEAVING:
            leaves_at = event.at + worker.leaves_ms / 1000
            hand.leaves_at = min(hand.leaves_at, leaves_at)
        else:
            hand.leaves_at = float("inf")
    for name, hand in list(own.hands.items()):
        if name in listed:
            continue
        if hand.listed:
            hand.listed = False
            found.append(_note_worker("unlisted", hand.worker))
        if not hand.runs:
            del own.hands[name]
    return found


def _note_worker(event: str, worker: work.Worker) -> effects.Note:
    return fleet_state.note(
        "workers",
        event,
        worker=worker.name,
        presence=worker.presence.value,
        leaves_ms=worker.leaves_ms,
        born_ms=worker.born_ms,
    )


def _configure(own: fleet_state.Fleet, event: events.Configured) -> list:
    own.configuration = event.configuration
    own.out = event.out
    own.refused.clear()
    own.stirred = True
    return [
        fleet_state.note(
            "configuration",
            "in-force",
            version=event.configuration.version,
            out=sorted(event.out),
        )
    ]


def _grant(own: fleet_state.Fleet, event: events.Granted) -> list:
    hand = own.hands.get(event.worker)
    if hand is not None and hand.clock_ms:
        worker_state.note_grant(hand, event.until_ms)
    return []


def _miss(own: fleet_state.Fleet, event: events.Unheard) -> list:
    """Keeps work away from a worker that did not answer a look."""
    hand = own.hands.get(event.worker)
    if hand is None:
        return []
    hand.full_until = max(hand.full_until, event.at + UNHEARD_S)
    found = []
    if event.why == orders.Refusal.OTHER_LIFE:
        # Another life answers at its address: this one is over, and orders
        # still on their way to it are refused there.
        for run in list(hand.runs.values()):
            found += fleet_state.drop_run(own, hand, run, event.why)
    if hand.missed:
        return found
    hand.missed = True
    own.dark_changed = own.dark_changed or bool(hand.runs)
    return [
        *found,
        fleet_state.note(
            "workers",
            "unheard",
            worker=event.worker,
            why=event.why,
            runs=len(hand.runs),
            lapses_in_ms=int((hand.lapse_at - own.at) * 1000)
            if hand.lapse_at > float("-inf")
            else 0,
        ),
    ]


def _append(own: fleet_state.Fleet, event: events.Appended) -> list:
    return recording.take_appended(own, event.number)


def _tick(own: fleet_state.Fleet, event: events.Ticked) -> list:
    found = []
    own.stirred = True
    for name in list(own.open_jobs):
        job = own.book.jobs[name]
        if job.submission.times:
            fleet_state.open_due(own, job)
    for hand in list(own.hands.values()):
        if hand.full_until <= own.at < hand.full_until + OPENED_S:
            hand.changed = True
        if hand.runs:
            found += _tick_hand(own, hand)
    if own.at - own.summed_at >= SUMMARY_S:
        own.summed_at = own.at
        found.append(_sum_up(own))
    found += consolidation.review(own)
    return found + _drop_old(own)


def _sum_up(own: fleet_state.Fleet) -> effects.Note:
    """Sums the fleet up for the log, in thousandths of a processor."""
    hands = [hand for hand in own.hands.values() if hand.heard]
    quiet = [hand for hand in hands if not hand.serving]
    loud = [hand for hand in hands if hand.serving]
    return fleet_state.note(
        "fleet",
        "load",
        workers=len(hands),
        without_serving=len(quiet),
        capacity=sum(h.worker.capacity.millicores for h in hands),
        held=sum(h.held.millicores for h in hands),
        serving=sum(h.serving for h in hands),
        filling=sum(h.filling for h in hands),
        left_quiet=int(sum(map(worker_selection.count_left, quiet))),
        left_beside=int(sum(map(worker_selection.count_left, loud))),
        fills_used=int(
            sum(
                run.usage or 0
                for hand in hands
                for run in hand.runs.values()
                if run.step.fills
            )
        ),
        ready=sum(map(len, own.ready.values())),
        ready_fills=placement_rounds.count_ready_fills(own),
        open_jobs=len(own.open_jobs),
        hot=sum(h.over_since < float("inf") for h in hands),
    )


def _tick_hand(own: fleet_state.Fleet, hand: worker_state.Hand) -> list:
    found = []
    if own.at >= hand.lapse_at and own.at - hand.heard_at > 1.0:
        for run in list(hand.runs.values()):
            found += fleet_state.drop_run(own, hand, run, "lease-lapsed", True)
        hand.heard_at = float("-inf")
        return found
    left_ms = (hand.leaves_at - own.at) * 1000
    leaving = left_ms < DRAIN_MARGIN_MS + 900
    for run in list(hand.runs.values()):
        lasting_leaves = run.step.lasting and hand.leaves_at < float("inf")
        unsent = hand.missed and run.recorded and not run.asked
        if run.stopping or leaving or lasting_leaves or unsent:
            found += fleet_state.stop_run(own, hand, run)
    return found


def _drop_old(own: fleet_state.Fleet) -> list:
    """Drops the records of jobs that ended long ago, oldest first."""
    found: list = []
    for name in own.drops:
        job = own.book.jobs.get(name)
        if job is None:
            found.append(name)
            continue
        age_s = (own.wall_ms - job.ended_ms) / 1000
        if age_s < 2 * own.keep_ended_s or name in own.dirty:
            break
        found.append(name)
    for name in found:
        del own.drops[name]
        own.book.jobs.pop(name, None)
    if not found:
        return []
    return [effects.Drop(tuple(found))]


_HANDLERS = {
    events.Claimed: takeover.take_over,
    events.JobRead: _read_job,
    events.CancelRead: _read_cancel,
    events.HandInsRead: _read_hand_ins,
    events.WorkersListed: _list_workers,
    events.Configured: _configure,
    events.Reported: reports.take_report,
    events.Granted: _grant,
    events.Unheard: _miss,
    events.Ordered: reports.take_answer,
    events.Appended: _append,
    events.Published: lambda own, _: recording.take_published(own),
    events.Ticked: _tick,
}
