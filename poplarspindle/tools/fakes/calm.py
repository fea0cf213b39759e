"""Tells since when nothing has disturbed the virtual fleet.

Disruptions are chosen by tests, walks and the explorer, which change the world
in many ways. So each tick compares the world with that of the tick before;
messages and appends tell of their fates as they are sent.
"""

import typing

from poplarspindle.tools.fakes import messages

if typing.TYPE_CHECKING:
    from poplarspindle.tools.fakes import fleets


class Calm:
    """Keeps when the world was last disturbed.

    A cut, a silent store, an owner that stands still or a worker whose runs all
    fail disturb it for as long as they last, a late message until it is carried
    out; a crash, another life, another owner or a change of the list does once.

    Args:
        world: The virtual fleet.

    Attributes:
        disturbed_at: When the last disturbance ended or will end, seconds of
            virtual time.
    """

    def __init__(self, world: "fleets.World") -> None:
        self._world = world
        self._append_s, self._order_s = world.append_s, world.order_s
        self._seen: tuple = ()
        self._is_lasting = False
        self.disturbed_at = world.now

    def note_disturbed(self, lasts_s: float = 0.0) -> None:
        """Notes a disturbance that begins now."""
        ends_at = self._world.now + lasts_s
        self.disturbed_at = max(self.disturbed_at, ends_at)

    def note_fate(self, fate: messages.Fate) -> None:
        """Notes what becomes of a message that is sent now."""
        if fate.carried_out_after_s is None:
            self.note_disturbed()
        elif fate.carried_out_after_s or not fate.answered:
            self.note_disturbed(fate.carried_out_after_s)

    def look(self) -> float:
        """Looks at the world.

        Returns:
            For how long it has been calm, seconds; 0 at most while it is not.
        """
        if not self._seen:
            self._append_s = self._world.append_s
            self._order_s = self._world.order_s
        seen = self._describe()
        was_disturbed, self._is_lasting = self._is_lasting, self._is_disturbed()
        if seen != self._seen or self._is_lasting or was_disturbed:
            # What lasted at the last tick ended after it.
            self._seen = seen
            self.note_disturbed()
        return self._world.now - self.disturbed_at

    def _describe(self) -> tuple:
        """Returns what changes with disturbances that take no time."""
        world = self._world
        return (
            len(world.owners),
            world.elections.last_epoch,
            world.owner.is_over(),
            world.evacuated,
            frozenset(world.unlisted),
            [
                (
                    worker.up,
                    worker.incarnation_ms,
                    worker.clock_rate,
                    worker.description.address,
                    worker.description.presence,
                )
                for worker in world.workers.values()
            ],
        )

    def _is_disturbed(self) -> bool:
        """Tells whether a disturbance lasts now."""
        world, owner = self._world, self._world.owner
        return (
            not world.store_up
            or owner.is_over()
            or owner.is_disturbed()
            or bool(world.cuts or world.fail_on)
            or bool(world.list_lag_s)
            or world.append_s > self._append_s
            or world.order_s > self._order_s
            or any(
                (worker.up and not worker.reachable)
                or worker.paused_until > world.now
                for worker in world.workers.values()
            )
        )
