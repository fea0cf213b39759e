"""Frees a worker of what serves, for fills that press on all of it.

Load pattern: workers were lost and came back, or tasks that last came and
went, and what serves is spread thinly over all workers. Fills of an image
that presses on most serving images then find no worker, though processors
are free everywhere. One worker at a time is freed: its serving tasks are
stopped one by one and go on beside others of their kind, each only while all
other tasks of its step are at work.
"""

import collections

from poplarspindle import resources
from poplarspindle.fleet import (
    effects,
    fleet_state,
    job_store,
    work,
    worker_selection,
    worker_state,
)

STUCK_S = 2.0  # Room where a fill disturbs nobody comes sooner by itself.
STUCK_SHARE = 0.5  # Of the worker's processors that has to be waited for.
TASKS_MOST = 8
FREEING_S = 12.0
STOP_EVERY_S = 0.5
CHOOSE_S = 0.5  # All workers are compared with all others.
TRIED_MOST = 32  # Of those with the fewest tasks; one is enough.
REST_S = 2.0  # After a worker was freed, before the next one.
SETTLED_S = 5.0  # A task counts as away for some time after it came back.


def review(own: fleet_state.Fleet) -> list[effects.Effect]:
    """Frees a worker, or goes on with the one that is being freed."""
    hand = own.hands.get(own.freeing)
    if hand is None:
        own.freeing = ""
        return _choose(own)
    if own.at >= own.freeing_until or not hand.serving:
        own.freeing = ""
        hand.changed = True
        own.freed_at = own.at
        return [
            fleet_state.note(
                "placing",
                "freed",
                worker=hand.worker.name,
                serving=hand.serving,
            )
        ]
    if own.at - own.freed_at < STOP_EVERY_S:
        return []
    return _stop_one(own, hand)


def _choose(own: fleet_state.Fleet) -> list[effects.Effect]:
    if own.at - own.freed_at < REST_S or own.at - own.chosen_at < CHOOSE_S:
        return []
    own.chosen_at = own.at
    waiting = count_stuck(own)
    for service, millicores in waiting.items():
        hands = [
            hand
            for hand in own.hands.values()
            if worker_selection.is_open(hand, service, own.out, own.at)
        ]
        if any(is_quiet(hand) for hand in hands):
            continue
        hand = choose_worker(hands, millicores)
        if hand is None:
            continue
        own.freeing = hand.worker.name
        own.freeing_until = own.at + FREEING_S
        return [
            fleet_state.note(
                "placing",
                "freeing",
                worker=hand.worker.name,
                serving=hand.serving,
                waiting=millicores,
            )
        ]
    return []


def count_stuck(own: fleet_state.Fleet) -> dict[str, int]:
    """Returns the processors that fills wait for too long, by service."""
    waiting: collections.Counter = collections.Counter()
    for key, since in list(own.stuck.items()):
        if key not in own.ready:
            del own.stuck[key]
            continue
        job = own.book.jobs[key[0]]
        step = job.submission.steps[key[2]]
        if step.fills and own.at - since >= STUCK_S:
            service = fleet_state.find_queue(own, job).service
            waiting[service] += len(own.ready[key]) * step.need.millicores
    return dict(waiting)


def is_quiet(hand: worker_state.Hand) -> bool:
    """Tells whether a worker that serves nothing has room for fills."""
    capacity = hand.worker.capacity.millicores
    return not hand.serving and worker_selection.count_left(hand) > capacity / 4


def choose_worker(
    hands: list[worker_state.Hand], waiting: int
) -> worker_state.Hand | None:
    """Chooses the worker that is freed by moving the fewest tasks.

    Args:
        hands: Workers that take work.
        waiting: Processors that fills wait for, in thousandths.

    Returns:
        A worker whose serving tasks all have room beside others that serve,
        None if there is none.
    """
    found = []
    for hand in hands:
        serving = [run for run in hand.runs.values() if run.step.target_ms]
        wanted = STUCK_SHARE * hand.worker.capacity.millicores
        if 0 < len(serving) <= TASKS_MOST and waiting >= wanted:
            found.append((len(serving), hand.worker.name, hand, serving))
    found.sort(key=lambda row: row[:2])
    for _, _, hand, serving in found[:TRIED_MOST]:
        others = [o for o in hands if o is not hand and o.serving]
        if has_room(others, [(run.step, _step_key(run)) for run in serving]):
            return hand
    return None


def has_room(
    hands: list[worker_state.Hand], tasks: list[tuple[work.Step, tuple]]
) -> bool:
    """Tells whether tasks have room on workers, the largest first."""
    room: dict[str, resources.Resources] = {}
    count: collections.Counter = collections.Counter()
    for step, key in sorted(tasks, key=lambda row: -row[0].need.millicores):
        for hand in hands:
            name = hand.worker.name
            left = room.get(name, worker_state.get_room(hand))
            held = hand.by_step[key] + count[name, key]
            if (
                not (step.label and step.label not in hand.worker.labels)
                and not (step.most_per_worker and held >= step.most_per_worker)
                and step.need.fits_in(left)
            ):
                room[name] = left - step.need
                count[name, key] += 1
                break
        else:
            return False
    return True


def _step_key(run: worker_state.Run) -> tuple[str, int, int]:
    return run.name.job, run.name.time, run.name.step


def _stop_one(
    own: fleet_state.Fleet, hand: worker_state.Hand
) -> list[effects.Effect]:
    """Stops one serving task all others of whose step are at work.

    Room may have gone since the worker was chosen: a task without room
    beside others that serve would only come back.
    """
    others = [
        other
        for other in own.hands.values()
        if other is not hand
        and other.serving
        and worker_selection.is_open(
            other, hand.worker.service, own.out, own.at
        )
    ]
    for run in list(hand.runs.values()):
        if (
            run.step.target_ms
            and not run.stopping
            and has_room(others, [(run.step, _step_key(run))])
            and is_spared(own, run)
        ):
            own.freed_at = own.at
            found: list[effects.Effect] = [
                fleet_state.note(
                    "placing",
                    "moved",
                    run.name.job,
                    task=fleet_state.format_task(run.name),
                    worker=hand.worker.name,
                )
            ]
            return found + fleet_state.stop_run(own, hand, run)
    return []


def is_spared(own: fleet_state.Fleet, run: worker_state.Run) -> bool:
    """Tells whether a task may be away: all others of its step are not."""
    members = run.job.runs[run.name.time][run.name.step]
    at_work = {
        other.name.index
        for hand in own.hands.values()
        if not hand.missed
        for other in hand.runs.values()
        if _step_key(other) == _step_key(run)
        and other.at_work
        and not other.stopping
        and own.at - other.first_seen_at >= SETTLED_S
    }
    return all(
        index in at_work
        for index, task in enumerate(members)
        if task.phase is not job_store.Phase.DONE
    )
