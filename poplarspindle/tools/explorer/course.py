"""A virtual fleet that tells a player of its messages and moments."""

import collections
import dataclasses
import re
from collections.abc import Callable

from poplarspindle.fleet import effects
from poplarspindle.tools.fakes import (
    fleet_workers,
    fleets,
    messages,
    owners,
)

NEXT_OWNER_AFTER_S = 1.3  # Of silence of an owner.
RESIGNED_AFTER_S = 0.4  # From the last renewals to the next owner's claim.
NO_CLOCK_S = float("-inf")
APPEND_RETRY_S = 0.2
ENTRY_EXPIRES_S = 3.3  # After its last heartbeat an entry is dropped.
STATISTICS = ("load",)  # Lines of the owner's log that tell of no decision.
TASK = re.compile(
    r"TaskName\(job='(.)\w*', occurrence=\d+, step=(\d+), index=(\d+)\)(.*)"
)
NOTE = "note"
POLL = "poll"  # Moments of polls are told of by the kind of message.

Tell = Callable[[str, str, str], None]


class _Notes(collections.Counter):
    """Counts the lines of the owners' logs, and tells of them."""

    def __init__(self, tell: Tell) -> None:
        super().__init__()
        self._tell = tell

    def __setitem__(self, event: str, count: int) -> None:
        super().__setitem__(event, count)
        if event not in STATISTICS:
            self._tell(NOTE, "", event)


class Course(fleets.World):
    """A virtual fleet that tells a player of its messages and moments.

    Args:
        workers: Number of workers.
        run_s: How long a task takes, seconds.
        fail: Tells whether a run fails by itself.
        tell: Takes the kind, worker and subject of each moment; a message is
            told of as it is sent.
        choose_fate: Returns the fate of the message that was told of last.
    """

    def __init__(
        self,
        workers: int,
        run_s: float,
        fail: Callable[[fleet_workers.FakeRun], bool],
        tell: Tell,
        choose_fate: Callable[[], messages.Fate],
    ) -> None:
        # Owners that hear nothing of the store, and until when.
        self._cut_owners: dict[int, float] = {}
        self._missing: collections.Counter = collections.Counter()
        super().__init__(1, workers, run_s=lambda rng: run_s, fail=fail)
        self._cuts: collections.Counter = collections.Counter()
        self._owners_before: list[owners.Owner] = []
        self.notes = _Notes(tell)

        def handle_moment(moment: messages.Moment) -> None:
            if moment.kind in messages.SENT.values():
                return
            kind, subject = moment.kind.value, _shorten(moment.subject)
            if kind.startswith(POLL):
                kind, subject = subject + kind.removeprefix(POLL), ""
            tell(kind, moment.worker, subject)

        def handle_message(message: messages.Message) -> messages.Fate:
            kind, subject = message.kind.value, _name_subject(message.order)
            tell(f"{kind}-sent", message.worker, subject)
            return choose_fate()

        self.on_moment = handle_moment
        self.choose_fate = handle_message

    # Owners, of which several may act at once.

    def take_over_beside(self) -> None:
        """Lets another owner begin; the one before acts on."""
        before = self.owner
        stop, before.stop = before.stop, lambda: None
        self.take_over()
        before.stop = stop
        self._owners_before.append(before)

    def _hears_store(self, owner: owners.Owner) -> bool:
        is_cut = self.now < self._cut_owners.get(owner.epoch, NO_CLOCK_S)
        return self.store_up and not is_cut

    def _tick(self) -> None:
        confirmed_at = self.owner.confirmed_at
        if self.owner.is_stalled(owners.DECISIONS) or not self._hears_store(
            self.owner
        ):
            self.owner.confirmed_at = confirmed_at
            store_up, self.store_up = self.store_up, False
            super()._tick()
            self.store_up = store_up
        else:
            super()._tick()
        for owner in self._owners_before:
            owner.tick()

    def list_workers(self) -> None:
        """Lets the newest owner read the list, if it hears the store."""
        if self.now >= self._cut_owners.get(self.owner.epoch, NO_CLOCK_S):
            super().list_workers()

    def _append(self, owner: owners.Owner, effect: effects.Append) -> None:
        if self._may_store(owner, lambda: self._append(owner, effect)):
            super()._append(owner, effect)

    def _publish(self, owner: owners.Owner, effect: effects.Publish) -> None:
        if self._may_store(owner, lambda: self._publish(owner, effect)):
            super()._publish(owner, effect)

    def _may_store(
        self, owner: owners.Owner, repeat: Callable[[], None]
    ) -> bool:
        """Tells whether the store takes an append of an owner now.

        It refuses that of one that another has replaced, which then hears of
        it; what it does not hear is sent again.
        """
        if owner.is_over():
            return False
        if not self._hears_store(owner) or owner.is_stalled(owners.DECISIONS):
            self.call_later(APPEND_RETRY_S, repeat)
            return False
        if owner is not self.owner:
            owner.report_lost("fenced")
            return False
        return True

    def _replace_later(self, owner: owners.Owner, after_s: float) -> None:
        def claim() -> None:
            if owner is self.owner:
                self.take_over_beside()

        self.call_later(after_s, claim)

    def freeze_owner(self, for_s: float) -> None:
        """Stops an owner's threads; another one begins if it is for long.

        Its clock goes on. When it wakes, calls run before decisions.
        """
        owner = self.owner
        owner.stall(owners.CALLS, for_s)
        owner.stall(owners.DECISIONS, for_s)
        if for_s > NEXT_OWNER_AFTER_S:
            self._replace_later(owner, NEXT_OWNER_AFTER_S)

    def delay_thread(self, which: str, for_s: float) -> None:
        """Stops one of an owner's threads; the other one goes on."""
        self.owner.stall(which, for_s)

    def cut_owner_from_store(self, for_s: float) -> None:
        """Lets the store and an owner not hear each other for a while."""
        owner = self.owner
        self._cut_owners[owner.epoch] = self.now + for_s
        if for_s > NEXT_OWNER_AFTER_S:
            self._replace_later(owner, NEXT_OWNER_AFTER_S)

    def kill_owner(self) -> None:
        """Ends an owner; another one begins once it is missed."""
        self.owner.stop()
        self._replace_later(self.owner, NEXT_OWNER_AFTER_S)

    def terminate_owner(self) -> None:
        """Lets an owner renew all leases a last time and give the fleet up."""
        owner = self.owner

        def extend() -> None:
            for poller in owner.pollers.list_all():
                poller.extend_leases(lambda: None)

        def resign() -> None:
            if owner is self.owner:
                self.take_over()

        owner.run_soon(extend)
        self.call_later(RESIGNED_AFTER_S, resign)

    # Disruptions of workers and of the store.

    def cut_worker(self, name: str, for_s: float, from_store: bool) -> None:
        """Cuts a worker off from the owner, and from the store if told so."""
        self._cuts[name] += 1
        self.workers[name].reachable = False

        def mend() -> None:
            self._cuts[name] -= 1
            self.workers[name].reachable = not self._cuts[name]

        self.call_later(for_s, mend)
        if from_store:
            self.silence_worker(name, for_s)

    def cut_worker_from(self, name: str, for_s: float, nexts: bool) -> None:
        """Cuts a worker off from some owners.

        Args:
            name: The worker.
            for_s: For how long, seconds.
            nexts: Whether from all owners after the present one, or from this
                one only.
        """
        epoch, until = self.owner.epoch, self.now + for_s
        reaches = self.reaches

        def reaches_still(client, worker) -> bool:
            is_cut = (
                worker.description.name == name
                and self.now < until
                and (client.owner.epoch > epoch) == nexts
            )
            return not is_cut and reaches(client, worker)

        self.reaches = reaches_still

    def silence_worker(self, name: str, for_s: float) -> None:
        """Cuts a worker off from the store; its entry expires meanwhile."""
        if for_s > ENTRY_EXPIRES_S:
            self.call_later(
                ENTRY_EXPIRES_S,
                lambda: self.unlist_worker(name, for_s - ENTRY_EXPIRES_S),
            )

    def unlist_worker(self, name: str, for_s: float) -> None:
        """Drops a worker's entry for a while."""
        self._missing[name] += 1
        self.unlisted.add(name)

        def relist() -> None:
            self._missing[name] -= 1
            if not self._missing[name]:
                self.unlisted.discard(name)

        self.call_later(for_s, relist)

    def restart_worker(self, name: str, same_id: bool) -> None:
        """Begins a new life, under the same id or, elsewhere, a new one."""
        worker = self.workers[name]
        if worker.replaced:
            return
        worker.crash()
        if same_id:
            return
        worker.up, worker.replaced = False, True
        worker.listed_until = self.now + ENTRY_EXPIRES_S
        new_name = f"{name}+"
        self.workers[new_name] = fleet_workers.FakeWorker(
            self, dataclasses.replace(worker.description, name=new_name)
        )

    def stop_store(self, for_s: float) -> None:
        """Lets the store answer nothing for a while."""
        self.store_up = False

        def mend() -> None:
            self.store_up = True

        self.call_later(for_s, mend)


def _name_subject(order) -> str:
    task = getattr(order, "task", None)
    if task is None:
        return ""
    return _shorten(f"{task}#{order.attempt}")


def _shorten(subject: str) -> str:
    """Returns a subject with a short name of its task."""
    found = TASK.match(subject)
    if found is None:
        return subject
    return "{}.{}.{}{}".format(*found.groups())
