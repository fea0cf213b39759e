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


def sum_load(fleet: fleet_state.FleetState) -> admission.Load:
    """Sums up the load that admission goes by."""
    capacity: dict[str, int] = {}
    lasting: dict[str, int] = {}
    for worker in fleet.workers.values():
        service = worker.info.service
        if worker.listed and worker.info.data_centre not in fleet.out:
            room = worker.info.capacity.millicores
            capacity[service] = capacity.get(service, 0) + room
    for name in fleet.open_jobs:
        job = fleet.job_store.jobs[name]
        wanted = admission.count_lasting(job.submission)
        if wanted:
            service = fleet_state.find_queue(fleet, job).service
            lasting[service] = lasting.get(service, 0) + wanted
    return admission.Load(fleet.wall_ms, capacity, lasting)


def mark_dark(fleet: fleet_state.FleetState) -> None:
    """Marks the workers that the log may call dark: they get no lease."""
    for name, worker in fleet.workers.items():
        worker.dark = name in fleet.silent


def flush(fleet: fleet_state.FleetState) -> list:
    """Records all that changed, unless an append is in flight."""
    found = _tell_load(fleet) + _tell_silent(fleet) + _tell_read(fleet)
    if fleet.sent or not (fleet.dirty or fleet.touched or fleet.waiting):
        return found
    changed = _list_groups(fleet)
    shown = [
        job
        for name in fleet.dirty
        if (job := fleet.job_store.jobs.get(name)) is not None
    ]
    # Not all may go into one call, and an owner may die between two: a job's
    # end comes after its tasks, and before what would be missed without it.
    changed += [records.encode_progress(job) for job in shown]
    changed += _list_drops(shown)
    if fleet.remember_due and fleet.slowdown.weights:
        changed.append(model_persistence.encode_memory(fleet.slowdown))
        fleet.remember_due = False
    states = [(job, job.state) for job in shown]
    fleet.dirty.clear()
    fleet.touched.clear()
    follow, fleet.waiting = fleet.waiting, []
    runs, fleet.fresh_runs = fleet.fresh_runs, []
    if not changed:
        return found + follow
    fleet.number += 1
    fleet.sent[fleet.number] = (states, runs, follow)
    return [*found, effects.Append(fleet.number, tuple(changed))]


def _list_groups(fleet: fleet_state.FleetState) -> list[records.Record]:
    """Lists the records of changed groups."""
    found = []
    for name, group in fleet.touched:
        job = fleet.job_store.jobs.get(name)
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


def _tell_load(fleet: fleet_state.FleetState) -> list:
    # A fleet whose workers were not listed yet would look full.
    due = fleet.at - fleet.told_at >= LOAD_S and fleet.listed_at > float("-inf")
    if not due or fleet.configuration is None:
        return []
    fleet.told_at = fleet.at
    if fleet.at - fleet.remembered_at >= model_persistence.SAVE_S:
        fleet.remembered_at = fleet.at
        fleet.remember_due = True
    return [effects.Publish((admission.encode_load(sum_load(fleet)),))]


def _tell_read(fleet: fleet_state.FleetState) -> list:
    """Tells of new jobs, and up to where all hand-ins are told of."""
    if fleet.at - fleet.read_told_at < READ_S:
        return []
    if not fleet.untold and fleet.read == fleet.read_told:
        return []
    fleet.read_told_at = fleet.at
    fleet.read_told = list(fleet.read)
    jobs = [
        fleet.job_store.jobs[n]
        for n in fleet.untold
        if n in fleet.job_store.jobs
    ]
    fleet.untold.clear()
    told = [records.encode_state(job) for job in jobs]
    return [effects.Publish((*told, records.encode_read(fleet.read)))]


def _tell_silent(fleet: fleet_state.FleetState) -> list:
    if not fleet.dark_changed or fleet.told_dark is not None:
        return []
    fleet.dark_changed = False
    silent = unreachable.list_dark(fleet.workers)
    fleet.told_dark = {worker.info.name for worker in silent}
    fleet.silent |= fleet.told_dark
    mark_dark(fleet)
    return [effects.Publish((unreachable.encode_dark(silent, fleet.at),), True)]


def take_published(fleet: fleet_state.FleetState) -> list:
    """Lets workers have leases that the log calls silent no more."""
    if fleet.told_dark is not None:
        fleet.silent, fleet.told_dark = fleet.told_dark, None
        mark_dark(fleet)
    return []


def take_appended(fleet: fleet_state.FleetState, number: int) -> list:
    """Does what waited for an append: starts, acknowledgements."""
    if number not in fleet.sent:
        return []
    states, runs, follow = fleet.sent.pop(number)
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
        worker = fleet.workers.get(run.task.worker)
        if worker is None or run.key not in worker.runs:
            continue
        run.recorded = True
        # A worker that went silent meanwhile gets no order.
        closed = worker.missed or worker.dark
        if run.job.state in job_store.ENDED or run.stopping or closed:
            found += fleet_state.stop_run(fleet, worker, run)
        else:
            found += fleet_state.send_start(fleet, worker, run)
    return found
