"""Placement rounds: assign ready tasks to workers, most urgent step first.

Load pattern: hundreds of workers, hundreds of task starts a second, and at
peak more ready steps than capacity. Workers are ranked once per step, not once
per task, because placing a task changes the rank of its own worker only. A kind
of step that found no worker is retried only on workers that changed since, and
at most once per round, so many waiting steps cost little.
"""

from collections.abc import Callable

from poplarspindle import resources
from poplarspindle.fleet import (
    effects,
    exclusions,
    fleet_state,
    job_failures,
    lasting_turns,
    late_turns,
    pacing,
    probes,
    ready_steps,
    start_delay,
    starvation,
    step_placement,
    work,
    worker_chooser,
    worker_selection,
    worker_state,
)

# A worker without a change may accept a step once the tail model has learned
# from other workers.
UNPLACEABLE_RESET_INTERVAL_S = 0.5
MAX_STARVED_TRIES = 4
MAX_WORKERS_LOGGED = 8  # In one line.
MAX_TRIES_BESIDE_ROOM = 32  # Of lasting steps in a round, on all workers.
# Service, whether best-effort, label and image.
StepKind = tuple[str, bool, str, str]


def place_ready(fleet: fleet_state.FleetState) -> list[effects.Effect]:
    """Places ready tasks, the most urgent step first.

    Does nothing unless work or capacity arrived since the last round.
    """
    if (
        fleet.configuration is None
        or not fleet.ready
        or not fleet.placement_needed
    ):
        return []
    if step_placement.count_start_room(fleet) <= 0:
        start_delay.record_round(fleet.start_statistics, True)
        return []
    fleet.placement_needed = False
    all_due = (
        fleet.now - fleet.unplaceable_reset_at >= UNPLACEABLE_RESET_INTERVAL_S
    )
    if all_due:
        fleet.unplaceable_reset_at = fleet.now
        fleet.unplaceable_needs.clear()
    placement_round = PlacementRound(fleet)
    effect_list = placement_round.place_late(all_due)
    for key in ready_steps.sort(fleet):
        if step_placement.count_start_room(fleet) <= 0:
            # The steps that are left have been tried on no worker.
            fleet.placement_needed = True
            start_delay.record_round(fleet.start_statistics, True)
            return effect_list
        effect_list += placement_round.place(key)
    start_delay.record_round(fleet.start_statistics, False)
    if all_due:
        effect_list += placement_round.place_starved()
        effect_list += placement_round.place_probes()
    placement_round.close()
    return effect_list


class PlacementRound:
    """One pass over all ready steps.

    Workers that accept tasks are listed once per round. A step is skipped if
    another step of its kind that needs no more found no worker in this round.

    Args:
        fleet: State of the fleet's owner.
    """

    def __init__(self, fleet: fleet_state.FleetState) -> None:
        self._fleet = fleet
        self._changed_workers = [
            worker
            for worker in fleet.workers.values()
            if worker.may_accept_more
        ]
        self._accepting_workers: dict[
            tuple[str, bool], list[worker_state.WorkerState]
        ] = {}
        self._tried_kinds: set[StepKind] = set()
        self._tries_beside_room_left = MAX_TRIES_BESIDE_ROOM
        self._unplaced_needs: dict[StepKind, resources.Resources] = {}
        self._weights_by_image: dict[str, dict[str, float]] = {}
        self._trials = fleet.failing.trials

    def close(self) -> None:
        """Ends the round; deletes cached needs of kinds without ready steps."""
        for worker in self._changed_workers:
            worker.may_accept_more = False
        for step_kind in (
            self._fleet.unplaceable_needs.keys() - self._tried_kinds
        ):
            del self._fleet.unplaceable_needs[step_kind]

    def place(self, key: worker_chooser.StepKey) -> list[effects.Effect]:
        """Places as many tasks of one step as workers have room for."""
        fleet = self._fleet
        if not job_failures.is_due(fleet, key):
            return []
        job = fleet.job_store.jobs[key[0]]
        step = job.submission.steps[key[2]]
        queue = fleet_state.find_queue(fleet, job)
        service = queue.service
        independent = not (
            step.max_per_worker or step.gang or self._may_try_beside_room(key)
        )
        step_kind = (service, step.best_effort, step.label, step.image)
        unplaceable_need = fleet.unplaceable_needs.get(step_kind)
        known_unplaceable = (
            independent
            and unplaceable_need is not None
            and unplaceable_need.fits_in(step.need)
        )
        if independent:
            self._tried_kinds.add(step_kind)
            unplaced_need = self._unplaced_needs.get(step_kind)
            if (
                unplaced_need is not None
                and unplaced_need.fits_in(step.need)
                and not lasting_turns.is_kept_for(fleet, key)
            ):
                fleet.unplaceable_since.setdefault(key, fleet.now)
                return []
        workers = self._list_accepting_workers(service, known_unplaceable)
        if step.target_ms and fleet.vacating_worker:
            workers = [
                worker
                for worker in workers
                if worker.info.name != fleet.vacating_worker
            ]
        if not workers:
            effect_list: list[effects.Effect] = []
            fleet.unplaceable_since.setdefault(key, fleet.now)
        else:
            chooser = worker_chooser.WorkerChooser(
                workers,
                step,
                key,
                self._make_predictor(step),
                fleet.mechanisms,
                fleet.cost_kinds,
            )
            effect_list = step_placement.place_step(
                fleet, chooser, job, step, key
            )
            if step_placement.count_start_room(fleet) <= 0:
                return effect_list  # Workers may have room for the others.
        if key in fleet.ready and step.target_ms:
            self._abandon_vacating(step, key)
        if key in fleet.ready and independent and not _has_suspects(fleet, key):
            self._unplaced_needs[step_kind] = step.need
            if not known_unplaceable:
                fleet.unplaceable_needs[step_kind] = step.need
        return effect_list

    def _may_try_beside_room(self, key: worker_chooser.StepKey) -> bool:
        """Returns whether a step waits beside room and is tried on its own.

        Steps come in the order of their turns, so the first have waited for
        longest; the others go by what was found for their kind.
        """
        if (
            self._tries_beside_room_left <= 0
            or not lasting_turns.is_beside_room(self._fleet, key)
        ):
            return False
        self._tries_beside_room_left -= 1
        return True

    def place_late(self, on_all: bool) -> list[effects.Effect]:
        """Places a few lasting tasks before more urgent work.

        Args:
            on_all: Whether to try all workers, else those that changed.
        """
        fleet = self._fleet
        effect_list: list[effects.Effect] = []
        for key, tasks in late_turns.list_due(fleet):
            if step_placement.count_start_room(fleet) <= 0:
                break
            service = exclusions.find_service(fleet, key)
            workers = self._list_accepting_workers(service, not on_all)
            ready = len(fleet.ready[key])
            effect_list += self._place_on(workers, key, tasks)
            placed = ready - len(fleet.ready.get(key, ()))
            late_turns.record_placed(fleet, key, placed)
        return effect_list

    def _abandon_vacating(
        self, step: work.Step, key: worker_chooser.StepKey
    ) -> None:
        """Ends vacating if a latency-critical task fits nowhere else."""
        fleet = self._fleet
        worker = fleet.workers.get(fleet.vacating_worker)
        if worker is not None and worker_selection.fits(worker, step, key):
            fleet.vacating_until = fleet.now

    def place_starved(self) -> list[effects.Effect]:
        """Places a task of each job that the predicted harm keeps waiting.

        Each is tried on all workers, so only a few are; those that were tried
        last come last the next time.
        """
        fleet = self._fleet
        effect_list: list[effects.Effect] = []
        starved_keys = starvation.list_starved(fleet)
        for key in starved_keys[:MAX_STARVED_TRIES]:
            fleet.starved_tried_at[key] = fleet.now
            effect_list += self._place_one_anywhere(key)
        return effect_list

    def place_probes(self) -> list[effects.Effect]:
        """Tries waiting tasks on workers that are excluded for failures.

        A gang may have its other members on workers that are not.
        """
        fleet = self._fleet
        effect_list: list[effects.Effect] = []
        for key, workers, tasks in probes.list_probes(fleet):
            if step_placement.count_start_room(fleet) <= 0:
                break
            excluded = [worker.info.name for worker in workers]
            if exclusions.find_step(fleet, key).gang:
                service = exclusions.find_service(fleet, key)
                workers += self._list_accepting_workers(service, False)
            placed = self._place_on(workers, key, tasks)
            if placed:
                effect_list.append(
                    fleet_state.make_log_note(
                        "workers",
                        "tried",
                        key[0],
                        time=key[1],
                        step=key[2],
                        workers=excluded[:MAX_WORKERS_LOGGED],
                        of=len(excluded),
                    )
                )
            effect_list += placed
        return effect_list

    def _place_one_anywhere(
        self, key: worker_chooser.StepKey
    ) -> list[effects.Effect]:
        """Places one task of a best-effort step where it does least harm."""
        fleet = self._fleet
        job = fleet.job_store.jobs[key[0]]
        step = job.submission.steps[key[2]]
        service = exclusions.find_service(fleet, key)
        chooser = starvation.Chooser(
            self._list_accepting_workers(service, False),
            step,
            key,
            self._make_predictor(step),
            fleet.mechanisms,
            fleet.now,
        )
        return step_placement.place_step(fleet, chooser, job, step, key, 1)

    def _place_on(
        self,
        workers: list[worker_state.WorkerState],
        key: worker_chooser.StepKey,
        max_tasks: int,
    ) -> list[effects.Effect]:
        """Places tasks of a step on some workers where they fit."""
        fleet = self._fleet
        job = fleet.job_store.jobs[key[0]]
        step = job.submission.steps[key[2]]
        chooser = worker_chooser.WorkerChooser(
            workers,
            step,
            key,
            self._make_predictor(step),
            fleet.mechanisms,
            fleet.cost_kinds,
        )
        return step_placement.place_step(
            fleet, chooser, job, step, key, max_tasks
        )

    def _make_predictor(
        self, step: work.Step
    ) -> Callable[[worker_state.WorkerState], float]:
        weights = self._weights_by_image.setdefault(step.image, {})
        return pacing.make_predictor(self._fleet, step, weights)

    def _list_accepting_workers(
        self, service: str, changed_only: bool
    ) -> list[worker_state.WorkerState]:
        """Lists the workers that accept tasks of a service.

        Args:
            service: Name of the service.
            changed_only: Whether to list only workers that changed since the
                last round.
        """
        fleet = self._fleet
        if self._trials != fleet.failing.trials:
            # An excluded worker got its trial and takes no other task.
            self._trials = fleet.failing.trials
            self._accepting_workers.clear()
        accepting_workers = self._accepting_workers.get((service, changed_only))
        if accepting_workers is None:
            workers = (
                self._changed_workers
                if changed_only
                else fleet.workers.values()
            )
            accepting_workers = self._accepting_workers[
                service, changed_only
            ] = worker_selection.list_accepting(
                workers, service, fleet.excluded_data_centres, fleet.now
            )
        return accepting_workers


def _has_suspects(
    fleet: fleet_state.FleetState, key: worker_chooser.StepKey
) -> bool:
    tasks = fleet.job_store.jobs[key[0]].occurrences[key[1]][key[2]]
    return any(tasks[index].is_suspect for index in fleet.ready[key])
