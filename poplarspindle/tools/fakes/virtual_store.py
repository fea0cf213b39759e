"""The store of the virtual fleet: one log, and the owners' appends to it."""

import dataclasses
import enum
import typing
from collections.abc import Callable

from poplarspindle.fleet import admission, records, unreachable
from poplarspindle.node import appending
from poplarspindle.node import ownership as node_ownership

if typing.TYPE_CHECKING:
    from poplarspindle.tools.fakes import fleets, owners

PROGRESS, SHARED = "progress", "shared"
DOWN_RETRY_S = 0.2


class AppendOutcome(enum.StrEnum):
    """What becomes of one try of an append.

    UNANSWERED: stored, without an answer. LATE: stored late, without an
    answer. LOST: not stored, without an answer. BUSY: refused.
    """

    ANSWERED = "answered"
    UNANSWERED = "unanswered"
    LATE = "late"
    LOST = "lost"
    BUSY = "busy"


@dataclasses.dataclass(frozen=True, slots=True)
class AppendFate:
    """What becomes of one try, and how late it is stored."""

    outcome: AppendOutcome = AppendOutcome.ANSWERED
    late_s: float = 0.0


@dataclasses.dataclass(frozen=True, slots=True)
class AppendTry:
    """One try of an append.

    Attributes:
        owner: Epoch of the owner.
        topic: Topic that it is for.
        number: Number of the append to this topic; its repeats have the same.
    """

    owner: int
    topic: str
    number: int


STORED = AppendFate()


class Store:
    """The log, and which owner may append to it.

    Args:
        world: The virtual fleet.

    Attributes:
        log: Newest record of each key.
        epochs: Lowest epoch that each topic takes appends of.
        answers_repeats: Whether the repeat of an append that is stored gets
            its first answer also after a later owner's claim; the pages allow
            both.
        choose_append_fate: Chooses what becomes of a try.
    """

    def __init__(self, world: "fleets.World") -> None:
        self._world = world
        self.log: dict[str, records.Record] = {}
        self.epochs = {PROGRESS: 0, SHARED: 0}
        self.answers_repeats = False
        self.choose_append_fate: Callable[[AppendTry], AppendFate] = (
            lambda found: STORED
        )

    def is_heard(self, owner: "owners.Owner") -> bool:
        """Tells whether an owner and the store reach each other."""
        return self._world.store_up and owner.hears_store

    def write(self, found: typing.Iterable[records.Record]) -> None:
        """Stores records; those without a value are deletions."""
        world, found = self._world, tuple(found)
        world.invariants.note_written(found)
        for record in found:
            if record.value:
                self.log[record.key] = record
            else:
                self.log.pop(record.key, None)
            if record.key == unreachable.UNREACHABLE_KEY:
                world.unreachable_read_at = world.now
            if record.key == admission.LOAD_KEY:
                world.elections.record_load()


class _Batch:
    """Records of one append, and whether they are stored."""

    def __init__(self, items: list, number: int) -> None:
        self.items = items
        self.number = number
        self.is_stored = False


class Appender:
    """Appends of one owner to one topic, as `appending.Appender` makes them.

    Args:
        world: The virtual fleet.
        owner: The owner.
        topic: The topic.
    """

    def __init__(
        self, world: "fleets.World", owner: "owners.Owner", topic: str
    ) -> None:
        self._world = world
        self._owner = owner
        self._topic = topic
        self._waiting: list = []
        self._in_flight = False
        self._number = 0

    def put(
        self,
        found: tuple[records.Record, ...],
        done: Callable[[], None] | None,
    ) -> None:
        """Appends records once those before are; `done` follows."""
        self._waiting.append((found, done))
        self._begin()

    def _begin(self) -> None:
        if self._in_flight or not self._waiting:
            return
        self._in_flight = True
        self._number += 1
        batch = _Batch(self._waiting, self._number)
        self._waiting = []
        self._try(batch)

    def _try(self, batch: _Batch) -> None:
        """Makes one try; another one follows until the outcome is known."""
        owner, world = self._owner, self._world
        if owner.is_over():
            return
        if owner.is_frozen():
            owner.when_awake(lambda: self._try(batch))
            return
        began = world.now
        fate = world.store.choose_append_fate(
            AppendTry(owner.epoch, self._topic, batch.number)
        )
        outcome = fate.outcome
        if outcome is not AppendOutcome.ANSWERED:
            world.calm.note_disturbed(fate.late_s)
        if outcome is AppendOutcome.BUSY:
            world.call_later(appending.RETRY_S, lambda: self._try(batch))
        elif outcome is AppendOutcome.ANSWERED:
            world.call_later(world.append_s, lambda: self._answer(batch, began))
        else:
            if outcome is not AppendOutcome.LOST:
                stored_s = world.append_s + fate.late_s
                world.call_later(stored_s, lambda: self._store(batch))
            world.call_later(
                node_ownership.APPEND_TIMEOUT_S + appending.RETRY_S,
                lambda: self._try(batch),
            )

    def _store(self, batch: _Batch) -> bool:
        """Stores a batch once; returns whether the store takes it."""
        world = self._world
        if batch.is_stored and world.store.answers_repeats:
            return True
        if self._owner.epoch < world.store.epochs[self._topic]:
            return False
        if batch.is_stored:
            return True
        batch.is_stored = True
        for found, _ in batch.items:
            stored = None
            if self._topic == PROGRESS:
                stored = world.tear_append(found)
            if stored is not None:
                world.write(found[:stored])
                world.end_torn()
                return False
            world.write(found)
        return True

    def _answer(self, batch: _Batch, began: float) -> None:
        owner, world = self._owner, self._world
        if owner.is_over():
            return
        if not world.store.is_heard(owner):
            world.call_later(DOWN_RETRY_S, lambda: self._try(batch))
            return
        is_taken = self._store(batch)
        owner.when_awake(lambda: self._read_answer(batch, began, is_taken))

    def _read_answer(self, batch: _Batch, began: float, is_taken: bool) -> None:
        owner = self._owner
        if owner.is_over():
            return
        if not is_taken:
            owner.report_lost("fenced")
            return
        owner.record_append(began)
        self._in_flight = False
        for _, done in batch.items:
            if done is not None:
                done()
        self._begin()
