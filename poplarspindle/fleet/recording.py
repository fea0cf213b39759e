"""Appends the owner's changes to the logs and handles their acknowledgement.

A start is sent, and an end acknowledged to its worker, only after the progress
log holds it. A job's state is published to all nodes only after that.
"""

from poplarspindle.fleet import (
    admission,
    effects,
    fleet_state,
    job_store,
    model_persistence,
    ready_steps,
    records,
    start_delay,
    unreachable,
    withdrawals,
)

LOAD_PUBLISH_INTERVAL_S = 0.5
INTAKE_PUBLISH_INTERVAL_S = 0.1  # Until then, nodes read the intake itself.


def sum_load(fleet: fleet_state.FleetState) -> admission.Load:
    """Sums up the load by service, for admission control."""
    capacity: dict[str, int] = {}
    until_cancelled: dict[str, int] = {}
    for worker in fleet.workers.values():
        service = worker.info.service
        if (
            worker.listed
            and worker.info.data_centre not in fleet.excluded_data_centres
        ):
            worker_millicores = worker.info.capacity.millicores
            capacity[service] = capacity.get(service, 0) + worker_millicores
    for name in fleet.open_jobs:
        job = fleet.job_store.jobs[name]
        job_millicores = admission.count_until_cancelled_millicores(
            job.submission
        )
        if job_millicores:
            service = fleet_state.find_queue(fleet, job).service
            until_cancelled[service] = (
                until_cancelled.get(service, 0) + job_millicores
            )
    return admission.Load(fleet.wall_ms, capacity, until_cancelled)


def mark_unreachable(fleet: fleet_state.FleetState) -> None:
    """Marks workers that the log may list as unreachable: they get no lease."""
    for name, worker in fleet.workers.items():
        worker.logged_unreachable = name in fleet.logged_unreachable_workers


def flush(fleet: fleet_state.FleetState) -> list:
    """Publishes what is due and appends all changes to the progress log.

    Only one append is in flight at a time; later changes wait for the next.
    """
    effect_list = (
        _publish_load(fleet)
        + _publish_unreachable(fleet)
        + _publish_intake_offsets(fleet)
    )
    if fleet.appends_in_flight or not (
        fleet.changed_jobs
        or fleet.changed_groups
        or fleet.deferred_effects
        or fleet.unknown_ends.to_record
    ):
        return effect_list
    changed_records = _encode_changed_groups(fleet)
    changed_jobs = [
        job
        for name in fleet.changed_jobs
        if (job := fleet.job_store.jobs.get(name)) is not None
    ]
    # An append may take several calls, and an owner may die between two. So a
    # job's end follows its tasks and precedes the tombstones of its groups.
    changed_records += [records.encode_progress(job) for job in changed_jobs]
    changed_records += _make_tombstones(changed_jobs)
    changed_records += fleet.unknown_ends.to_record
    fleet.unknown_ends.to_record = []
    if fleet.model_save_due and fleet.interference_weights.weights:
        changed_records.append(
            model_persistence.encode_model(fleet.interference_weights)
        )
        fleet.model_save_due = False
    job_states = [(job, job.state) for job in changed_jobs]
    fleet.changed_jobs.clear()
    fleet.changed_groups.clear()
    deferred, fleet.deferred_effects = fleet.deferred_effects, []
    runs, fleet.runs_to_record = fleet.runs_to_record, []
    if not changed_records:
        return effect_list + deferred
    fleet.last_append_number += 1
    fleet.appends_in_flight[fleet.last_append_number] = (
        job_states,
        runs,
        deferred,
    )
    return [
        *effect_list,
        effects.Append(fleet.last_append_number, tuple(changed_records)),
    ]


def _encode_changed_groups(
    fleet: fleet_state.FleetState,
) -> list[records.Record]:
    """Encodes the changed groups of tasks."""
    group_records = []
    for name, group in fleet.changed_groups:
        job = fleet.job_store.jobs.get(name)
        if job is not None and group[0] in job.occurrences:
            job.recorded_groups.add(group)
            group_records.append(records.encode_group(job, group))
    return group_records


def _make_tombstones(jobs: list[job_store.Job]) -> list[records.Record]:
    """Returns tombstones for the groups of occurrences that have ended."""
    tombstones = []
    for job in jobs:
        ended_groups = [
            group
            for group in job.recorded_groups
            if group[0] not in job.occurrences
        ]
        job.recorded_groups.difference_update(ended_groups)
        tombstones += [
            records.Record(
                records.make_group_key(job.submission.job, group), b""
            )
            for group in ended_groups
        ]
    return tombstones


def _publish_load(fleet: fleet_state.FleetState) -> list:
    # Before the first list of workers, the fleet would look full.
    due = (
        fleet.now - fleet.load_published_at >= LOAD_PUBLISH_INTERVAL_S
        and fleet.listed_at > float("-inf")
    )
    if not due or fleet.configuration is None:
        return []
    fleet.load_published_at = fleet.now
    if fleet.now - fleet.model_saved_at >= model_persistence.SAVE_INTERVAL_S:
        fleet.model_saved_at = fleet.now
        fleet.model_save_due = True
    load = effects.Publish((admission.encode_load(sum_load(fleet)),))
    return [load, *_publish_start_delays(fleet)]


def _publish_start_delays(fleet: fleet_state.FleetState) -> list:
    """Publishes how long work waits for the owner, while it does."""
    start_delay.end_period(
        fleet.start_statistics, fleet.now, bool(fleet.appends_in_flight)
    )
    delays_s = start_delay.estimate_delays(
        fleet.start_statistics,
        ready_steps.list_ready_counts(fleet),
        ready_steps.list_later_counts(fleet),
    )
    was_published = fleet.start_delays_published
    fleet.start_delays_published = bool(delays_s)
    if not delays_s and not was_published:
        return []
    effect_list = [effects.Publish((start_delay.encode_delays(delays_s),))]
    if bool(delays_s) != was_published:
        effect_list.append(
            fleet_state.make_log_note(
                "fleet",
                "starts-delayed" if delays_s else "starts-in-time",
                delays_s=delays_s,
                starts_per_s=round(fleet.start_statistics.starts_per_s, 1),
            )
        )
    return effect_list


def _publish_intake_offsets(fleet: fleet_state.FleetState) -> list:
    """Publishes new jobs' states and the intake offsets that they cover."""
    if fleet.now - fleet.intake_published_at < INTAKE_PUBLISH_INTERVAL_S:
        return []
    if (
        not fleet.unpublished
        and fleet.intake_offsets == fleet.published_intake_offsets
    ):
        return []
    fleet.intake_published_at = fleet.now
    fleet.published_intake_offsets = list(fleet.intake_offsets)
    jobs = [
        fleet.job_store.jobs[name]
        for name in fleet.unpublished
        if name in fleet.job_store.jobs
    ]
    fleet.unpublished.clear()
    published = [records.encode_state(job) for job in jobs]
    return [
        effects.Publish(
            (*published, records.encode_intake_offsets(fleet.intake_offsets))
        )
    ]


def _publish_unreachable(fleet: fleet_state.FleetState) -> list:
    if not fleet.unreachable_changed or fleet.unreachable_in_flight is not None:
        return []
    fleet.unreachable_changed = False
    unreachable_workers = unreachable.list_unreachable(fleet.workers)
    fleet.unreachable_in_flight = {
        worker.info.name for worker in unreachable_workers
    }
    fleet.logged_unreachable_workers |= fleet.unreachable_in_flight
    mark_unreachable(fleet)
    return [
        effects.Publish(
            (unreachable.encode_unreachable(unreachable_workers, fleet.now),),
            True,
        )
    ]


def handle_published(fleet: fleet_state.FleetState) -> list:
    """Allows leases for workers that the log no longer lists as unreachable."""
    if fleet.unreachable_in_flight is not None:
        fleet.logged_unreachable_workers, fleet.unreachable_in_flight = (
            fleet.unreachable_in_flight,
            None,
        )
        mark_unreachable(fleet)
    return []


def handle_appended(fleet: fleet_state.FleetState, number: int) -> list:
    """Releases the starts and other effects that waited for an append.

    Args:
        fleet: State of the fleet.
        number: Number of the append that the log acknowledged.
    """
    if number not in fleet.appends_in_flight:
        return []
    fleet.start_statistics.appends += 1
    job_states, runs, deferred = fleet.appends_in_flight.pop(number)
    effect_list = list(deferred)
    published = []
    for job, state in job_states:
        if state is job_store.State.ACTIVE and not job.begun:
            continue
        if job.published_state is not state and (
            state in job_store.ENDED or not job.cancelled
        ):
            job.published_state = state
            published.append(records.encode_state(job))
    if published:
        effect_list.append(effects.Publish(tuple(published)))
    for run in runs:
        worker = fleet.workers.get(run.task.worker_name)
        if worker is None or run.key not in worker.runs:
            continue
        run.recorded = True
        # A worker that became unreachable meanwhile gets no start.
        is_unreachable = worker.poll_failed or worker.logged_unreachable
        if run.job.state in job_store.ENDED or run.stopping or is_unreachable:
            effect_list += fleet_state.stop_run(fleet, worker, run)
        else:
            fleet.start_statistics.starts += 1
            effect_list += withdrawals.send_start(fleet, worker, run)
    return effect_list
