"""Rounds of placing: ready tasks onto workers, the most urgent step first.

Load pattern: hundreds of workers, hundreds of starts a second, and at the
worst moment more ready steps than room. All workers are ranked once a step,
not once a task, since placing a task changes the rank of its worker alone. A
kind of step that found no worker is tried again only on workers that changed
since, and once a round, so that steps that wait cost little, however many.
"""

import heapq
from collections.abc import Callable

from poplarspindle import resources
from poplarspindle.fleet import (
    effects,
    fleet_state,
    job_store,
    pacing,
    ranking,
    work,
    worker_selection,
    worker_state,
)

# What a step is worth moves with time; sorting anew each round is too dear.
RANK_S = 0.25
# What is learned elsewhere may open a worker on which nothing changed.
REFUSED_S = 0.5
Key = tuple[str, int, int]
Shape = tuple[str, bool, str, str]


def place_ready(own: fleet_state.Fleet) -> list[effects.Effect]:
    """Places ready tasks, the most urgent step first."""
    if own.configuration is None or not own.ready or not own.stirred:
        return []
    own.stirred = False
    if own.at - own.refused_at >= REFUSED_S:
        own.refused_at = own.at
        own.refused.clear()
    current = Round(own)
    found: list[effects.Effect] = []
    for key in sort_ready(own):
        found += current.place(key)
    current.close()
    return found


def sort_ready(own: fleet_state.Fleet) -> list[Key]:
    """Sorts the ready steps by their rank, as of lately."""
    ranks = own.ranks
    for key in ranks.keys() - own.ready.keys():
        del ranks[key]
    for key in own.ready:
        known = ranks.get(key)
        if known is None or own.at - known[1] >= RANK_S:
            ranks[key] = (*rank_key(own, key), key), own.at
    return sorted(own.ready, key=lambda key: ranks[key][0])


def rank_key(own: fleet_state.Fleet, key: Key) -> tuple:
    """Ranks a ready step."""
    job = own.book.jobs[key[0]]
    step = job.submission.steps[key[2]]

    def find() -> ranking.Effort:
        known = own.efforts.get(key[:2])
        if known is None:
            known = own.efforts[key[:2]] = ranking.find_effort(job, key[1])
        return known

    return ranking.rank_step(job, key[1], step, find, own.queues, own.wall_ms)


class Round:
    """One round.

    Args:
        own: State of the owner.
    """

    def __init__(self, own: fleet_state.Fleet) -> None:
        self._own = own
        self._changed = [h for h in own.hands.values() if h.changed]
        self._open: dict[tuple[str, bool], list[worker_state.Hand]] = {}
        self._tried: set[Shape] = set()
        self._full: dict[Shape, resources.Resources] = {}
        self._weights: dict[str, dict[str, float]] = {}

    def close(self) -> None:
        """Ends the round; kinds of steps that none is of are forgotten."""
        for hand in self._changed:
            hand.changed = False
        for shape in self._own.refused.keys() - self._tried:
            del self._own.refused[shape]

    def place(self, key: Key) -> list[effects.Effect]:
        """Places as many tasks of one step as find a worker."""
        own = self._own
        job = own.book.jobs[key[0]]
        step = job.submission.steps[key[2]]
        service = fleet_state.find_queue(own, job).service
        plain = not step.most_per_worker and not step.gang
        shape = (service, step.fills, step.label, step.image)
        refused = own.refused.get(shape)
        known = plain and refused is not None and refused.fits_in(step.need)
        if plain:
            self._tried.add(shape)
            full = self._full.get(shape)
            if full is not None and full.fits_in(step.need):
                own.stuck.setdefault(key, own.at)
                return []
        hands = self._list_open(service, known)
        if step.target_ms and own.freeing:
            hands = [h for h in hands if h.worker.name != own.freeing]
        if not hands:
            found: list[effects.Effect] = []
            own.stuck.setdefault(key, own.at)
        else:
            weights = self._weights.setdefault(step.image, {})
            choice = Choice(
                hands, step, key, pacing.make_predictor(own, step, weights)
            )
            found = place_step(own, choice, job, step, key)
        if key in own.ready and plain:
            self._full[shape] = step.need
            if not known:
                own.refused[shape] = step.need
        return found

    def _list_open(
        self, service: str, changed: bool
    ) -> list[worker_state.Hand]:
        """Lists workers that take tasks of a service."""
        own = self._own
        found = self._open.get((service, changed))
        if found is None:
            hands = self._changed if changed else own.hands.values()
            found = self._open[service, changed] = [
                hand
                for hand in hands
                if worker_selection.is_open(hand, service, own.out, own.at)
            ]
        return found


def place_step(
    own: fleet_state.Fleet,
    choice: "Choice",
    job: job_store.Job,
    step: work.Step,
    key: Key,
) -> list[effects.Effect]:
    """Places tasks of one step on workers, a gang whole or not at all."""
    tasks = job.runs[key[1]][key[2]]
    indexes = sorted(own.ready[key])
    if step.gang and len(indexes) < len(tasks):
        return []
    attempt = max(task.attempt for task in tasks) + 1 if step.gang else 0
    placed: list[tuple[worker_state.Hand, worker_state.Run]] = []
    for index in indexes:
        task = tasks[index]
        name = work.TaskName(key[0], key[1], key[2], index)
        hand = choice.choose(own.failed_on.get(name))
        if hand is None:
            own.stuck.setdefault(key, own.at)
            break
        task.phase = job_store.Phase.PLACED
        task.attempt = attempt or task.attempt + 1
        task.worker = hand.worker.name
        task.born_ms = hand.born_ms
        run = worker_state.Run(name, job, task, own.at, False)
        worker_state.add_run(hand, run)
        choice.note_placed(hand)
        placed.append((hand, run))
    if step.gang and len(placed) < len(tasks):
        for hand, run in placed:
            worker_state.remove_run(hand, run)
            run.task.phase = job_store.Phase.QUEUED
            run.task.worker = ""
        return []
    return _record_placed(own, job, step, key, placed) if placed else []


def _record_placed(own, job, step, key, placed) -> list[effects.Effect]:
    own.ready[key] -= {run.name.index for _, run in placed}
    if not own.ready[key]:
        del own.ready[key]
        own.stuck.pop(key, None)
    extra = {}
    if job.state is job_store.State.QUEUED:
        job.state = job_store.State.ACTIVE
        own.dirty[key[0]] = None
        if not job.submission.times:
            extra["first_ms"] = own.wall_ms - job.submission.accepted_ms
            extra["queue"] = job.submission.queue.name
    for _, run in placed:
        fleet_state.touch_task(own, run.name)
    own.fresh_runs += [run for _, run in placed]
    return [
        fleet_state.note(
            "placing",
            "placed",
            key[0],
            time=key[1],
            step=key[2],
            tasks=[
                (run.name.index, run.attempt, hand.worker.name)
                for hand, run in placed
            ],
            left=len(own.ready.get(key, ())),
            **extra,
        )
    ]


class Choice:
    """Chooses workers for the tasks of one step, one after the other.

    The choices are those of `placing.choose_worker` for each task.

    Args:
        hands: Workers that are open.
        step: The step.
        key: Its job, time and number.
        find_harm: Predicts how much of what a worker's serving tasks may be
            pressed a fill would take up, more than 1 for too much.
    """

    def __init__(
        self,
        hands: list[worker_state.Hand],
        step: work.Step,
        key: Key,
        find_harm: Callable[[worker_state.Hand], float],
    ) -> None:
        self._hands = hands
        self._step = step
        self._key = key
        self._find_harm = find_harm
        self._reserved = worker_state.get_reserved(step)
        self._least = worker_selection.FILL_SHARE_LEAST * step.need.millicores
        self._rack = ""
        self._heap: list[tuple[float, str, worker_state.Hand]] | None = None

    def choose(
        self, failed_on: set[str] | None = None
    ) -> worker_state.Hand | None:
        """Chooses the worker for the next task, None where none has room.

        Args:
            failed_on: Workers on which the task failed before.
        """
        if failed_on:
            hand = worker_selection.choose_worker(
                worker_selection.prefer_sound(self._hands, failed_on),
                self._step,
                self._key,
                self._rack,
                self._find_harm,
            )
            if hand is not None:
                return hand
        if self._heap is None:
            ranked = (self._rank(hand) for hand in self._hands)
            self._heap = [row for row in ranked if row is not None]
            heapq.heapify(self._heap)
        return self._heap[0][2] if self._heap else None

    def note_placed(self, hand: worker_state.Hand) -> None:
        """Ranks a worker anew that has got a task."""
        if self._step.one_rack and not self._rack:
            self._rack = hand.worker.rack
            self._heap = None
        if self._heap is None:
            return
        ranked = self._rank(hand)
        if self._heap and self._heap[0][2] is hand:
            if ranked is None:
                heapq.heappop(self._heap)
            else:
                heapq.heapreplace(self._heap, ranked)
            return
        self._heap = [row for row in self._heap if row[2] is not hand]
        if ranked is not None:
            self._heap.append(ranked)
        heapq.heapify(self._heap)

    def _rank(
        self, hand: worker_state.Hand
    ) -> tuple[float, str, worker_state.Hand] | None:
        step = self._step
        if step.fills and worker_selection.count_left(hand) < self._least:
            return None
        if not self._reserved.fits_in(worker_state.get_room(hand)):
            return None
        if not worker_selection.suits(hand, step, self._key):
            return None
        harm = self._find_harm(hand) if step.fills else 0.0
        if harm > worker_selection.HARM_MOST:
            return None
        rank = worker_selection.rank_worker(hand, step, self._rack, harm)
        return rank, hand.worker.name, hand


def count_ready_fills(own: fleet_state.Fleet) -> int:
    """Counts the ready tasks that use only what others leave."""
    return sum(
        len(indexes)
        for key, indexes in own.ready.items()
        if own.book.jobs[key[0]].submission.steps[key[2]].fills
    )
