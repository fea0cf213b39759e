"""Changes of hands in the virtual fleet: claims, resignations, silence."""

import typing
from collections.abc import Callable

from poplarspindle.fleet import (
    events,
    fencing,
    fleet_state,
    records,
    takeover,
    unreachable,
)
from poplarspindle.node import claims, election
from poplarspindle.tools.fakes import messages, owners, virtual_store

if typing.TYPE_CHECKING:
    from poplarspindle.tools.fakes import fleets

READ_S = 0.02  # A page of the log.
HEAR_S = 0.01  # From a record to those who follow the log.
MEMBER = "next"


class Elections:
    """Lets another node claim the fleet, while owners before may still act.

    Args:
        world: The virtual fleet.

    Attributes:
        enabled: Whether others claim by themselves when the owner is silent.
        last_epoch: Epoch of the newest claim.
        hear_s: How long after its record a claim is heard of.
        choose_claim_fate: Chooses what becomes of a try of a claimant's
            append to a topic.
    """

    def __init__(self, world: "fleets.World") -> None:
        self._world = world
        self.enabled = False
        self.last_epoch = 0
        self.hear_s = HEAR_S
        self.choose_claim_fate: Callable[[str], virtual_store.AppendFate] = (
            lambda topic: virtual_store.STORED
        )
        self._seen_at = world.now
        self._is_active = True
        self._resigned_epoch = 0
        self._is_claiming = False

    def choose_epoch(self) -> int:
        """Returns the epoch of a claim that is made now."""
        self.last_epoch += fencing.TOKENS_PER_EPOCH
        return self.last_epoch

    def record_load(self) -> None:
        """Notes that the owner was heard."""
        self._seen_at, self._is_active = self._world.now, True

    def record_resignation(self, owner: owners.Owner) -> None:
        """Notes that an owner gave the fleet up."""
        world = self._world
        if not world.store_up:
            return
        self._resigned_epoch = max(self._resigned_epoch, owner.epoch)
        world.note_moment(messages.MomentKind.RESIGNED, "", str(owner.epoch))

    def watch(self) -> None:
        """Claims the fleet if its owner is silent or has resigned."""
        world = self._world
        if not self.enabled or self._is_claiming or not world.store_up:
            return
        owner = records.Owner(self.last_epoch, "owner", 0, 1.0)
        if election.is_vacant(
            owner,
            MEMBER,
            self._resigned_epoch,
            self._seen_at,
            world.now,
            self._is_active,
        ):
            self.begin_claim()

    def take_over(self) -> None:
        """Lets another owner begin at once; all others end."""
        world = self._world
        for owner in world.owners:
            owner.stop()
        epoch = self.choose_epoch()
        world.store.epochs = dict.fromkeys(world.store.epochs, epoch)
        self.record_load()
        self._begin_owner(epoch, world.log, world.now)

    def begin_claim(self) -> None:
        """Lets another node claim the fleet now."""
        world = self._world
        self._is_claiming = True
        epoch = self.choose_epoch()
        world.note_moment(messages.MomentKind.CLAIM_SENT, "", str(epoch))
        self._append(
            virtual_store.SHARED, epoch, lambda sent_at: self._take_claim(epoch)
        )

    def _append(
        self, topic: str, epoch: int, done: Callable[[float], None]
    ) -> None:
        """Makes an append of the claimant, which the topic takes from then on.

        A claim counts once it is read in the shared log, answered or not; the
        append that claims the progress log is repeated until it is answered.

        Args:
            topic: Topic of the append.
            epoch: Epoch of the claim.
            done: Takes when the try was sent that counts.
        """
        world, sent_at = self._world, self._world.now
        fate = self.choose_claim_fate(topic)
        outcomes = virtual_store.AppendOutcome
        if fate.outcome is not outcomes.ANSWERED:
            world.calm.note_disturbed(fate.late_s)

        def take() -> None:
            if not world.store_up:
                retry(virtual_store.DOWN_RETRY_S)
                return
            epochs = world.store.epochs
            epochs[topic] = max(epochs[topic], epoch)
            is_read = topic == virtual_store.SHARED
            if fate.outcome is outcomes.ANSWERED or is_read:
                done(sent_at)

        def retry(after_s: float) -> None:
            world.call_later(after_s, lambda: self._append(topic, epoch, done))

        if fate.outcome is outcomes.BUSY:
            retry(claims.RETRY_PAUSE_S)
            return
        if fate.outcome is not outcomes.LOST:
            world.call_later(world.append_s + fate.late_s, take)
            if fate.outcome is outcomes.ANSWERED:
                return
            if topic == virtual_store.SHARED:
                return
        retry(claims.APPEND_TIMEOUT_S + claims.RETRY_PAUSE_S)

    def _take_claim(self, epoch: int) -> None:
        world = self._world
        self._seen_at, self._is_active = world.now, False
        world.note_moment(messages.MomentKind.CLAIMED, "", str(epoch))
        for owner in world.owners:
            self._tell(owner)

        def prepare(sent_at: float) -> None:
            world.call_later(READ_S, lambda: self._read(epoch, sent_at))

        self._append(virtual_store.PROGRESS, epoch, prepare)

    def _tell(self, owner: owners.Owner) -> None:
        """Lets an owner read of a claim as soon as it hears the store."""
        world = self._world

        def tell() -> None:
            if owner.is_over():
                return
            if owner.is_frozen() or not world.store.is_heard(owner):
                world.call_later(HEAR_S, tell)
            else:
                owner.report_lost("other-owner")

        world.call_later(self.hear_s, tell)

    def _read(self, epoch: int, claimed_at: float) -> None:
        world = self._world
        log = dict(world.store.log)
        world.note_moment(messages.MomentKind.TAKEOVER_READ, "", str(epoch))

        def begin() -> None:
            self._is_claiming = False
            if epoch == self.last_epoch:
                self._begin_owner(epoch, log, claimed_at)

        world.call_later(READ_S, begin)

    def _begin_owner(
        self, epoch: int, log: dict[str, records.Record], confirmed_at: float
    ) -> None:
        """Lets the owner of a claim begin.

        Args:
            epoch: Epoch of the claim.
            log: The log as it was read.
            confirmed_at: When the claim was sent.
        """
        world = self._world
        known, malformed = takeover.load_intake(world.log.values())
        assert not malformed
        progress = [
            record
            for key, record in log.items()
            if key.partition("/")[0] in (records.PROGRESS, records.TASKS)
        ]
        drops, malformed = takeover.load_progress(known, progress)
        assert not malformed
        assert not drops or world.append_torn
        world.write(drops)
        fleet = fleet_state.FleetState(
            known,
            world.lease_most_ms,
            used_mechanisms=world.used_mechanisms,
        )
        owner = owners.Owner(world, epoch, fleet, confirmed_at)
        world.owners.append(owner)
        for worker in world.workers.values():
            worker.mark_reported(False)
        world.checker.begin(epoch)
        world.invariants.note_owner()
        silent = {}
        if unreachable.UNREACHABLE_KEY in world.log:
            # The log is followed, so the record was read when it came.
            silent = unreachable.decode_unreachable(
                world.log[unreachable.UNREACHABLE_KEY].value,
                world.unreachable_read_at,
            )
        shown = {
            key.partition("/")[2]: records.decode_state(record.value)
            for key, record in world.log.items()
            if key.partition("/")[0] == records.STATE
        }
        owner.reduce(
            events.Claimed(world.now, world.wall_ms(), epoch, silent, shown)
        )
        owner.reduce(
            events.Configured(world.now, world.configuration, world.evacuated)
        )
        world.note_moment(messages.MomentKind.TAKEN_OVER, "", str(epoch))
        world.list_workers()
