"""What the owner records and tells, and what follows once the logs have it.

A start goes out, and an end is acknowledged to its worker, only after the
progress log holds it; all nodes hear of a job's state only after that.
"""

from poplarspindle.fleet import (
    admission,
    effects,
    fleet_state,
    job_store,
    model_persistence,
    records,
    unreachable,
)

LOAD_S = 0.5
READ_S = 0.1  # Until then other nodes read the hand-ins themselves.


def sum_load(own: fleet_state.Fleet) -> admission.Load:
    """Sums up the load that admission goes by."""
    capacity: dict[str, int] = {}
    lasting: dict[str, int] = {}
    for hand in own.hands.values():
        service = hand.worker.service
        if hand.listed and hand.worker.data_centre not in own.out:
            room = hand.worker.capacity.millicores
            capacity[service] = capacity.get(service, 0) + room
    for name in own.open_jobs:
        job = own.book.jobs[name]
        wanted = admission.count_lasting(job.submission)
        if wanted:
            service = fleet_state.find_queue(own, job).service
            lasting[service] = lasting.get(service, 0) + wanted
    return admission.Load(own.wall_ms, capacity, lasting)


def mark_dark(own: fleet_state.Fleet) -> None:
    """Marks the workers that the log may call dark: they get no lease."""
    for name, hand in own.hands.items():
        hand.dark = name in own.silent


def flush(own: fleet_state.Fleet) -> list:
    """Records all that changed, unless an append is in flight."""
    found = _tell_load(own) + _tell_silent(own) + _tell_read(own)
    if own.sent or not (own.dirty or own.touched or own.waiting):
        return found
    changed = _list_groups(own)
    shown = [
        job
        for name in own.dirty
        if (job := own.book.jobs.get(name)) is not None
    ]
    # Not all may go into one call, and an owner may die between two: a job's
    # end comes after its tasks, and before what would be missed without it.
    changed += [records.encode_progress(job) for job in shown]
    changed += _list_drops(shown)
    if own.remember_due and own.slowdown.weights:
        changed.append(model_persistence.encode_memory(own.slowdown))
        own.remember_due = False
    states = [(job, job.state) for job in shown]
    own.dirty.clear()
    own.touched.clear()
    follow, own.waiting = own.waiting, []
    runs, own.fresh_runs = own.fresh_runs, []
    if not changed:
        return found + follow
    own.number += 1
    own.sent[own.number] = (states, runs, follow)
    return [*found, effects.Append(own.number, tuple(changed))]


def _list_groups(own: fleet_state.Fleet) -> list[records.Record]:
    """Lists the records of changed groups."""
    found = []
    for name, group in own.touched:
        job = own.book.jobs.get(name)
        if job is not None and group[0] in job.runs:
            job.written.add(group)
            found.append(records.encode_group(job, group))
    return found


def _list_drops(jobs: list[job_store.Job]) -> list[records.Record]:
    """Lists records that drop the groups of times that are over."""
    found = []
    for job in jobs:
        over = [group for group in job.written if group[0] not in job.runs]
        job.written.difference_update(over)
        found += [
            records.Record(records.name_group(job.submission.job, group), b"")
            for group in over
        ]
    return found


def _tell_load(own: fleet_state.Fleet) -> list:
    # A fleet whose workers were not listed yet would look full.
    due = own.at - own.told_at >= LOAD_S and own.listed_at > float("-inf")
    if not due or own.configuration is None:
        return []
    own.told_at = own.at
    if own.at - own.remembered_at >= model_persistence.SAVE_S:
        own.remembered_at = own.at
        own.remember_due = True
    return [effects.Publish((admission.encode_load(sum_load(own)),))]


def _tell_read(own: fleet_state.Fleet) -> list:
    """Tells of new jobs, and up to where all hand-ins are told of."""
    if own.at - own.read_told_at < READ_S:
        return []
    if not own.untold and own.read == own.read_told:
        return []
    own.read_told_at = own.at
    own.read_told = list(own.read)
    jobs = [own.book.jobs[n] for n in own.untold if n in own.book.jobs]
    own.untold.clear()
    told = [records.encode_state(job) for job in jobs]
    return [effects.Publish((*told, records.encode_read(own.read)))]


def _tell_silent(own: fleet_state.Fleet) -> list:
    if not own.dark_changed or own.told_dark is not None:
        return []
    own.dark_changed = False
    silent = unreachable.list_dark(own.hands)
    own.told_dark = {hand.worker.name for hand in silent}
    own.silent |= own.told_dark
    mark_dark(own)
    return [effects.Publish((unreachable.encode_dark(silent, own.at),), True)]


def take_published(own: fleet_state.Fleet) -> list:
    """Lets workers have leases that the log calls silent no more."""
    if own.told_dark is not None:
        own.silent, own.told_dark = own.told_dark, None
        mark_dark(own)
    return []


def take_appended(own: fleet_state.Fleet, number: int) -> list:
    """Does what waited for an append: starts, acknowledgements."""
    if number not in own.sent:
        return []
    states, runs, follow = own.sent.pop(number)
    found = list(follow)
    told = []
    for job, state in states:
        if job.shown is not state and (
            state in job_store.ENDED or not job.cancelled
        ):
            job.shown = state
            told.append(records.encode_state(job))
    if told:
        found.append(effects.Publish(tuple(told)))
    for run in runs:
        hand = own.hands.get(run.task.worker)
        if hand is None or run.key not in hand.runs:
            continue
        run.recorded = True
        # A worker that went silent meanwhile gets no order.
        closed = hand.missed or hand.dark
        if run.job.state in job_store.ENDED or run.stopping or closed:
            found += fleet_state.stop_run(own, hand, run)
        else:
            found += fleet_state.send_start(own, hand, run)
    return found
