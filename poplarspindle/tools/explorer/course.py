"""A virtual fleet that tells of its moments and lets messages be lost.

A thin layer over `fleets.World`: what a message's fate is, and what happens at
a moment, is decided by whoever plays the course.
"""

import dataclasses
from collections.abc import Callable

from poplarspindle.fleet import effects, events, leases, orders, work
from poplarspindle.tools.fakes import fleet_workers, fleets

ENTRY_EXPIRES_S = 3.3  # After its last heartbeat an entry is dropped.
LEASE_ENDS_SOON_MS = 100
STATISTICS = ("load",)  # Lines of the owner's log that tell of no decision.
MESSAGE_KINDS = {
    orders.Start: "START",
    orders.Stop: "STOP",
    orders.Pace: "PACE",
}


@dataclasses.dataclass(frozen=True, slots=True)
class Message:
    """An order or a poll that is about to be sent.

    Attributes:
        kind: START, RENEWAL (a poll that asks for leases), ACKNOWLEDGEMENT (a
            poll that names ends and asks for none), LOOK, STOP or PACE.
        worker: The worker that it is sent to.
        order: The order or poll.
    """

    kind: str
    worker: str
    order: orders.Order | orders.Poll


@dataclasses.dataclass(frozen=True, slots=True)
class Fate:
    """What becomes of a message.

    Attributes:
        carried_out_after_s: How late it is carried out, None for never.
        answered: Whether its answer arrives.
        from_arrival: Whether the leases that it grants count from its arrival.
    """

    carried_out_after_s: float | None = 0.0
    answered: bool = True
    from_arrival: bool = False


ANSWERED = Fate()


def name_task(name: work.TaskName) -> str:
    """Returns a short name of a task: job, step and index."""
    return f"{name.job[0]}.{name.step}.{name.index}"


def name_run(order) -> str:
    """Returns a short name of the run that an order or an end names."""
    return f"{name_task(order.task)} {order.attempt}"


class CourseWorker(fleet_workers.FakeWorker):
    """A worker that tells what happens on it."""

    def __init__(self, world, description) -> None:
        super().__init__(world, description)
        self._ends_soon = False
        self._listed_ends: set[int] = set()
        self._named_end = 0

    def _tell(self, kind: str, subject: str = "") -> None:
        self.world.tell(kind, self.description.name, subject)

    def advance(self) -> None:
        """Tells that the leases of runs are about to end, or have ended."""
        left_ms = self.until_ms - self.clock_ms()
        soon = bool(self.runs) and left_ms <= LEASE_ENDS_SOON_MS
        if soon and not self._ends_soon:
            self._tell("LEASE_ENDS_SOON")
        self._ends_soon = soon
        super().advance()

    def start(self, order: orders.Start) -> orders.Answer:
        """Tells that a run begins."""
        begun = len(self.ledger)
        answer = super().start(order)
        if len(self.ledger) > begun:
            self._tell("RUN_BEGINS", name_run(order))
        return answer

    def end(self, run, how) -> None:
        """Tells that a run ends."""
        super().end(run, how)
        run_name = f"{name_task(run.name)} {run.attempt}"
        self._tell("RUN_ENDS", f"{run_name} {how.value}")

    def crash(self) -> None:
        """Forgets what was told of the life before."""
        super().crash()
        self._listed_ends.clear()
        self._named_end = 0

    def poll(self, order: orders.Poll):
        """Tells of ends that are listed or acknowledged for the first time."""
        report = super().poll(order)
        if report is None:
            return None
        if order.acknowledged_end > self._named_end:
            self._named_end = order.acknowledged_end
            self._tell("END_ACKNOWLEDGED", str(order.acknowledged_end))
        for end in report.ended:
            if end.number not in self._listed_ends:
                self._listed_ends.add(end.number)
                self._tell("END_LISTED", name_run(end))
        return report


class Course(fleets.World):
    """A virtual fleet that tells of its moments.

    Args:
        workers: Number of workers.
        run_s: How long a task takes, seconds.
        fail: Tells whether a run fails by itself.

    Attributes:
        on_moment: Takes the kind, worker and subject of each moment.
        choose_fate: Returns the fate of a message.
        calm_at: When the last disruption is over and nothing is late.
    """

    def __init__(
        self,
        workers: int,
        run_s: float,
        fail: Callable[[fleet_workers.FakeRun], bool],
    ) -> None:
        self.on_moment: Callable[[str, str, str], None] = lambda *moment: None
        self.choose_fate: Callable[[Message], Fate] = lambda message: ANSWERED
        self.calm_at = 0.0
        self._cuts: dict[str, int] = {}
        self._missing: dict[str, int] = {}
        super().__init__(
            1,
            workers,
            run_s=lambda rng: run_s,
            fail=fail,
            make_worker=CourseWorker,
        )

    def tell(self, kind: str, worker: str = "", subject: str = "") -> None:
        """Tells of a moment."""
        self.on_moment(kind, worker, subject)

    # Messages.

    def _deliver_order(self, fleet, effect: effects.Order) -> None:
        fence = self._fences[effect.worker_name]
        order = dataclasses.replace(effect.order, epoch=fence.token)
        if isinstance(order, orders.Start):
            clock = self._polls.get(effect.worker_name, {}).get("clock")
            until_ms = leases.extend_start_lease(
                clock or leases.Clock(), self.now, order.until_ms
            )
            order = dataclasses.replace(order, until_ms=until_ms)
        self.checker.record_stamped(effect.order, order)
        effect = dataclasses.replace(effect, order=order)
        name = effect.worker_name
        kind = MESSAGE_KINDS[type(order)]
        subject = name_run(order)
        self.tell(f"{kind}_SENT", name, subject)
        fate = self.choose_fate(Message(kind, name, order))
        worker = self.workers[name]
        no_answer = orders.Answer(orders.Refusal.NO_ANSWER)
        if fate.carried_out_after_s:
            self._carry_out_late(worker, order, fate)
        if (
            not worker.up
            or not worker.reachable
            or fate.carried_out_after_s != 0.0
        ):
            self._answer(fleet, effect, no_answer)
            return
        answer = self._execute_order(worker, order)
        said = answer.refusal.value if answer.refusal else "ok"
        self.tell(f"{kind}_CARRIED_OUT", name, f"{subject} {said}")
        is_heard = fate.answered and worker.reachable
        self._answer(fleet, effect, answer if is_heard else no_answer)

    def _carry_out_late(self, worker, order, fate: Fate) -> None:
        delay_s = fate.carried_out_after_s
        if fate.from_arrival:
            until_ms = order.until_ms + int(delay_s * 1000)
            order = dataclasses.replace(order, until_ms=until_ms)
        self.calm_at = max(self.calm_at, self.now + delay_s)
        born_ms = worker.incarnation_ms

        def carry_out() -> None:
            # What comes before any owner spoke to a life none can refuse.
            same_life = worker.incarnation_ms == born_ms
            if not worker.up or not (same_life or worker.fencing_epoch):
                return
            worker.advance()
            if isinstance(order, orders.Poll):
                said = worker.poll(order) is not None
                self.tell("LATE_POLL", worker.description.name, str(said))
                return
            answer = self._execute_order(worker, order)
            said = answer.refusal.value if answer.refusal else "ok"
            kind = MESSAGE_KINDS[type(order)]
            self.tell(f"LATE_{kind}", worker.description.name, said)

        self.call_later(delay_s, carry_out)

    def _is_answered(self, worker, poll: orders.Poll) -> bool:
        name, kind = worker.description.name, _name_poll(poll)
        self.tell(f"{kind}_SENT", name)
        fate = self.choose_fate(Message(kind, name, poll))
        if fate.carried_out_after_s:
            self._carry_out_late(worker, poll, fate)
        reached = worker.up and worker.reachable
        if reached and fate.carried_out_after_s == 0.0:
            if fate.answered:
                return True
            worker.advance()
            worker.poll(poll)
        self.tell(f"{kind}_UNANSWERED", name)
        return False

    def _reduce(self, event: events.Event) -> None:
        if isinstance(event, events.OrderAnswered):
            kind = MESSAGE_KINDS[type(event.order)]
            refusal = event.answer.refusal
            said = refusal.value if refusal else "ok"
            self.tell(f"{kind}_ANSWERED", event.worker_name, said)
        super()._reduce(event)

    def _execute_effect(self, effect: effects.Effect) -> None:
        if isinstance(effect, effects.Note):
            if effect.event not in STATISTICS:
                self.tell("NOTE", "", f"{effect.event} {effect.job}")
        if isinstance(effect, effects.Acknowledge):
            self.tell("END_RECORDED", effect.worker_name, str(effect.number))
        super()._execute_effect(effect)

    def take_over(self) -> None:
        """Lets another owner begin from the log alone."""
        self.tell("CLAIMED")
        super().take_over()
        self.tell("TAKEN_OVER")

    # Disruptions.

    def _heal_later(self, for_s: float, heal: Callable[[], None]) -> None:
        self.calm_at = max(self.calm_at, self.now + for_s)
        self.call_later(for_s, heal)

    def cut_worker(self, name: str, for_s: float, from_store: bool) -> None:
        """Cuts a worker off from the owner, and from the store if told so."""
        self._cuts[name] = self._cuts.get(name, 0) + 1
        self.workers[name].reachable = False

        def mend() -> None:
            self._cuts[name] -= 1
            self.workers[name].reachable = not self._cuts[name]
            self.tell("MENDED", name)

        self._heal_later(for_s, mend)
        if from_store:
            self.silence_worker(name, for_s)

    def silence_worker(self, name: str, for_s: float) -> None:
        """Cuts a worker off from the store; its entry expires meanwhile."""
        if for_s > ENTRY_EXPIRES_S:
            self.call_later(
                ENTRY_EXPIRES_S,
                lambda: self.unlist_worker(name, for_s - ENTRY_EXPIRES_S),
            )

    def unlist_worker(self, name: str, for_s: float) -> None:
        """Drops a worker's entry for a while."""
        self._missing[name] = self._missing.get(name, 0) + 1
        self.unlisted.add(name)
        self.tell("WORKER_UNLISTED", name)

        def relist() -> None:
            self._missing[name] -= 1
            if not self._missing[name]:
                self.unlisted.discard(name)
                self.tell("WORKER_LISTED", name)

        self._heal_later(for_s, relist)

    def restart_worker(self, name: str, same_id: bool) -> None:
        """Begins a new life, under the same id or, elsewhere, a new one."""
        worker = self.workers[name]
        if worker.replaced:
            return
        worker.crash()
        self.calm_at = max(self.calm_at, self.now)
        if same_id:
            return
        worker.up, worker.replaced = False, True
        worker.listed_until = self.now + ENTRY_EXPIRES_S
        new_name = f"{name}+"
        self.workers[new_name] = CourseWorker(
            self, dataclasses.replace(worker.description, name=new_name)
        )

    def replace_owner(self) -> None:
        """Lets another owner begin."""
        self.calm_at = max(self.calm_at, self.now)
        self.take_over()

    def stop_store(self, for_s: float) -> None:
        """Lets the store answer nothing for a while."""
        self.store_up = False

        def mend() -> None:
            self.store_up = True

        self._heal_later(for_s, mend)


def _name_poll(poll: orders.Poll) -> str:
    if poll.until_ms:
        return "RENEWAL"
    return "ACKNOWLEDGEMENT" if poll.acknowledged_end else "LOOK"
