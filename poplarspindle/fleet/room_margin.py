"""Measures how long lasting tasks have waited beside room for them.

Whoever handed in a task that lasts expects it to run as soon as there is room
for it twice over. Here stands for how long, without a break, workers' reports
have shown such room while the task was away and the time that it may be away
for any cause was over. That is counted for each kind of need, so that thousands
of waiting steps cost little and no limit of log lines hides the longest.

Whether anything disturbs the fleet is not looked at: its owner cannot tell. Nor
does it look at what the owner itself keeps off a worker, such as a pause after
failed runs or room that is kept for others: that explains a wait and does not
excuse it. Reports lag, so what changes on a worker shows here later.
"""

import collections
import dataclasses
import itertools
from collections.abc import Iterable, Iterator

from poplarspindle import resources
from poplarspindle.fleet import (
    away_history,
    fleet_state,
    job_store,
    waiting,
    work,
    worker_selection,
    worker_state,
)

LOOK_INTERVAL_S = 0.2
BOUND_S = 6.0  # From the last run; a task may be away for so long.
PLACES = 2  # Room twice over.
MAX_PLACES = 10  # Counted on one worker.
LOG_STEP_MS = 500
StepKey = away_history.StepKey


@dataclasses.dataclass(frozen=True, slots=True)
class Margin:
    """For how long a task has waited beside room.

    Attributes:
        room_ms: That time, milliseconds.
        name: The task of its kind that has been away for longest.
    """

    room_ms: int
    name: work.TaskName


def is_due(fleet: fleet_state.FleetState) -> bool:
    """Returns whether it is time to look again."""
    return fleet.now - fleet.away.room.looked_at >= LOOK_INTERVAL_S


def look(
    fleet: fleet_state.FleetState,
    away: Iterable[tuple[work.TaskName, float]],
) -> Margin | None:
    """Looks for which kinds of need there is room.

    Args:
        fleet: State of the fleet's owner.
        away: Lasting tasks that do not run, with since when.

    Returns:
        The margin if it is the longest yet and due to be logged, else None.
    """
    room = fleet.away.room
    room.looked_at = fleet.now
    room.overdue = _find_overdue(fleet, away)
    version = fleet.configuration.version if fleet.configuration else None
    if version != room.configuration_version:
        # Queues may belong to other services now.
        room.configuration_version = version
        room.kinds = {}
    room.kinds = {
        key: room.kinds.get(key) or _describe_kind(fleet, key)
        for key in room.overdue
    }
    since = room.room_since
    room.room_since = {
        kind: since.get(kind, fleet.now)
        for kind in _list_kinds_with_room(fleet, set(room.kinds.values()))
    }
    margins = list_margins(fleet)
    room.now_ms = margins[0].room_ms if margins else 0
    room.worst_ms = max(room.worst_ms, room.now_ms)
    if room.now_ms < room.logged_ms + LOG_STEP_MS:
        return None
    room.logged_ms = room.now_ms - room.now_ms % LOG_STEP_MS
    return margins[0]


def get_room_ms(fleet: fleet_state.FleetState, key: StepKey) -> int:
    """Returns how long a lasting step's tasks have waited beside room.

    Args:
        fleet: State of the fleet's owner.
        key: Job id, occurrence and step number.

    Returns:
        Milliseconds up to the last look, without a break; 0 where its kind has
        no room, none of its tasks is away, or all came away recently.
    """
    room = fleet.away.room
    row = room.overdue.get(key)
    room_since = room.room_since.get(room.kinds.get(key))
    if row is None or room_since is None:
        return 0
    return _compute_ms(fleet, room_since, row[0])


def find_task_room_ms(
    fleet: fleet_state.FleetState, name: work.TaskName
) -> int:
    """Returns the same for one task that is away."""
    key = _get_key(name)
    room = fleet.away.room
    room_since = room.room_since.get(room.kinds.get(key))
    away_since = fleet.away.since.get(name)
    if room_since is None or away_since is None:
        return 0
    return _compute_ms(fleet, room_since, away_since)


def _compute_ms(
    fleet: fleet_state.FleetState, room_since: float, away_since: float
) -> int:
    since = max(room_since, away_since + BOUND_S)
    return max(0, round(1000 * (fleet.away.room.looked_at - since)))


def list_margins(fleet: fleet_state.FleetState) -> list[Margin]:
    """Lists the longest margin of each kind that has room, longest first."""
    room = fleet.away.room
    oldest: dict[away_history.Kind, tuple[float, work.TaskName]] = {}
    for key, kind in room.kinds.items():
        if kind in room.room_since:
            row = room.overdue[key]
            if kind not in oldest or row[0] < oldest[kind][0]:
                oldest[kind] = row
    margins = [
        Margin(_compute_ms(fleet, room.room_since[kind], since), name)
        for kind, (since, name) in oldest.items()
    ]
    return sorted(margins, key=lambda margin: -margin.room_ms)


def _find_overdue(
    fleet: fleet_state.FleetState,
    away: Iterable[tuple[work.TaskName, float]],
) -> dict[StepKey, tuple[float, work.TaskName]]:
    """Finds of each step the task that has been away for longest.

    Only steps with one that may not be away for any cause any more.
    """
    latest = fleet.now - BOUND_S
    overdue: dict[StepKey, tuple[float, work.TaskName]] = {}
    for name, since in away:
        if since <= latest:
            key = _get_key(name)
            row = overdue.get(key)
            if row is None or since < row[0]:
                overdue[key] = since, name
    return overdue


def _describe_kind(
    fleet: fleet_state.FleetState, key: StepKey
) -> away_history.Kind:
    """Describes what tells steps apart that find other room.

    A gang begins whole, so it needs room for all of its tasks twice over.
    """
    job = fleet.job_store.jobs[key[0]]
    step = job.submission.steps[key[2]]
    return away_history.Kind(
        fleet_state.find_queue(fleet, job).service,
        worker_state.get_reserved(step),
        step.label,
        PLACES * (step.tasks if step.gang else 1),
        step.need.millicores if step.best_effort else 0,
        key if step.max_per_worker else None,
    )


def _list_kinds_with_room(
    fleet: fleet_state.FleetState, kinds: set[away_history.Kind]
) -> Iterator[away_history.Kind]:
    """Yields the kinds for which workers report room twice over."""
    by_service: dict[str, list[away_history.Kind]] = {}
    for kind in kinds:
        by_service.setdefault(kind.service, []).append(kind)
    for service, found in by_service.items():
        workers = _list_roomy_workers(fleet, service, found)
        fitting_by_shape: dict[tuple, Iterator] = {}
        for kind in found:
            shape = kind.need, kind.label
            if shape not in fitting_by_shape:
                fitting_by_shape[shape] = _list_fitting(workers, kind)
            # Each worker is compared once, and only until enough are found.
            fitting_by_shape[shape], fitting = itertools.tee(
                fitting_by_shape[shape]
            )
            if _has_places(fleet, fitting, kind):
                yield kind


def _list_fitting(
    workers: list[tuple[worker_state.WorkerState, resources.Resources]],
    kind: away_history.Kind,
) -> Iterator[tuple[worker_state.WorkerState, resources.Resources]]:
    """Yields the workers whose room does for a task of a kind, with it."""
    for worker, room in workers:
        if kind.need.fits_in(room) and (
            not kind.label or kind.label in worker.info.labels
        ):
            yield worker, room


def _list_roomy_workers(
    fleet: fleet_state.FleetState,
    service: str,
    kinds: list[away_history.Kind],
) -> list[tuple[worker_state.WorkerState, resources.Resources]]:
    """Lists workers with their room where it may do for one of some kinds."""
    least = resources.Resources(
        min(kind.need.millicores for kind in kinds),
        min(kind.need.memory_mb for kind in kinds),
        min(kind.need.accelerators for kind in kinds),
    )
    return [
        (worker, room)
        for worker in fleet.workers.values()
        if may_take(fleet, worker, service)
        and least.fits_in(room := find_reported_room(worker))
    ]


def may_take(
    fleet: fleet_state.FleetState,
    worker: worker_state.WorkerState,
    service: str,
) -> bool:
    """Returns whether a worker is there to take tasks, as far as is known."""
    return not worker.poll_failed and worker_selection.may_be_given_work(
        worker, service, fleet.excluded_data_centres
    )


def _has_places(
    fleet: fleet_state.FleetState,
    workers: Iterable[tuple[worker_state.WorkerState, resources.Resources]],
    kind: away_history.Kind,
) -> bool:
    places = 0
    for worker, room in workers:
        places += _count_on_worker(
            fleet, worker, room, kind, kind.places - places
        )
        if places >= kind.places:
            return True
    return False


def _count_on_worker(
    fleet: fleet_state.FleetState,
    worker: worker_state.WorkerState,
    room: resources.Resources,
    kind: away_history.Kind,
    most: int,
) -> int:
    """Counts how many tasks of a kind fit in a worker's room, up to a number.

    Of a worker that has the kind's label. Runs of the step that the worker has
    not confirmed do not count towards its limit, as they do not count as held.
    """
    if kind.spare_millicores:
        spare = worker_selection.compute_free_millicores(worker)
        least = worker_selection.MIN_BEST_EFFORT_SHARE * kind.spare_millicores
        most = min(most, int(spare // least))
    if kind.limited_step is not None:
        most = min(most, _find_limit_left(fleet, worker, kind.limited_step))
    return count_places(room, kind.need, most)


def _find_limit_left(
    fleet: fleet_state.FleetState,
    worker: worker_state.WorkerState,
    key: StepKey,
) -> int:
    """Returns how many more tasks of a step its limit allows on a worker."""
    step = fleet.job_store.jobs[key[0]].submission.steps[key[2]]
    if not worker.runs_by_step[key]:
        return step.max_per_worker
    confirmed = sum(
        run.confirmed and _get_key(run.name) == key
        for run in worker.runs.values()
    )
    return step.max_per_worker - confirmed


def find_reported_room(
    worker: worker_state.WorkerState,
) -> resources.Resources:
    """Returns a worker's room beside what it says that it runs.

    Tasks that are placed there and not yet begun do not count.
    """
    room = worker_state.get_available(worker)
    for run in worker.runs.values():
        if not run.confirmed:
            room += worker_state.get_reserved(run.step)
    return room


def count_places(
    room: resources.Resources, need: resources.Resources, most: int
) -> int:
    """Counts how often a need fits in some room, up to a number."""
    places = 0
    while places < most and need.fits_in(room):
        room -= need
        places += 1
    return places


def describe_difference(
    fleet: fleet_state.FleetState, key: StepKey
) -> dict[str, int]:
    """Counts what keeps a step off workers that report room for its tasks.

    Returns:
        Numbers of runs by state that workers have not confirmed, on workers
        whose reports show more room than the owner's books; and numbers of
        workers with such room by what else the owner keeps their room for or
        the step off them. `none` counts workers where nothing does.
    """
    job = fleet.job_store.jobs[key[0]]
    step = job.submission.steps[key[2]]
    kind = _describe_kind(fleet, key)
    counts: collections.Counter[str] = collections.Counter()
    for worker in fleet.workers.values():
        if not may_take(fleet, worker, kind.service):
            continue
        if kind.label and kind.label not in worker.info.labels:
            continue
        room = find_reported_room(worker)
        if not _count_on_worker(fleet, worker, room, kind, 1):
            continue
        refusal = waiting.find_refusal(fleet, worker, step, key)
        kept = fleet.kept_room.get(worker.info.name)
        if refusal in ("room", "label-or-limit"):
            counts.update(
                _find_run_state(run)
                for run in worker.runs.values()
                if not run.confirmed
            )
        elif refusal:
            counts[refusal] += 1
        elif kept is not None and kept.key != key:
            counts["kept"] += 1
        else:
            counts["none"] += 1
    return dict(sorted(counts.items()))


def _find_run_state(run: worker_state.Run) -> str:
    """Returns how far a run has come that its worker has not confirmed."""
    if run.stopping:
        has_ended = run.job.state in job_store.ENDED
        return "stopping" if has_ended else "taken-back"
    if run.unanswered_starts or run.held_back:
        return "late"
    if run.start_in_flight:
        return "unanswered"
    if run.start_sent:
        return "answered"
    return "unsent" if run.recorded else "unrecorded"


def _get_key(name: work.TaskName) -> StepKey:
    return name.job, name.occurrence, name.step
