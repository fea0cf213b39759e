"""How an owner begins: from the log alone."""

from poplarspindle import resources
from poplarspindle.fleet import book, events, fleet, leases, views, work


def take_over(own: fleet.Fleet, event: events.Claimed) -> list:
    """Takes the fleet over: what was placed is held, the rest is ready."""
    own.epoch = event.epoch
    own.silent = set(event.silent)
    own.dark_changed = bool(event.silent)
    unsure_at = event.at + leases.TAKEOVER_GRANT_S
    unsure_at += own.lease_most_ms / 1000 * views.CLOCK_DRIFT
    for name, job in own.book.jobs.items():
        if job.state in book.ENDED:
            own.drops[name] = None
            continue
        own.open_jobs[name] = None
        for number in job.runs:
            fleet.queue_run(own, job, number)
        for task_name, task in book.list_placed(job):
            hand = own.hands.setdefault(
                task.worker, views.Hand(_describe_unknown(task.worker))
            )
            hand.listed = False
            hand.born_ms = task.born_ms
            run = views.Run(task_name, job, task, event.at, True)
            run.asked = True
            run.percent = views.PACE_UNKNOWN
            views.add_run(hand, run)
            hand.lapse_at = unsure_at
            known = event.silent.get(task.worker)
            if known is not None:
                hand.dark = hand.missed = True
                if known.born_ms == task.born_ms:
                    hand.lapse_at = min(unsure_at, known.over_at)
    found = [
        fleet.note(
            "ownership",
            "took-over",
            epoch=event.epoch,
            jobs=len(own.book.jobs),
            open_jobs=len(own.open_jobs),
        )
    ]
    for name in list(own.open_jobs):
        job = own.book.jobs[name]
        if job.cancelled:
            found += fleet.end_job(own, job, book.State.CANCELLED)
        else:
            fleet.open_due(own, job)
    return found


def _describe_unknown(name: str) -> work.Worker:
    """Describes a worker that only the log knows of."""
    return work.Worker(name, "", "", "", resources.NOTHING)
