"""A store in memory whose calls fail by chance."""

import collections
import random

from poplarspindle import outcomes
from poplarspindle.node import storage


class OwnerDeathError(Exception):
    """The owner's process ended in the middle of a call."""


class FlakyStore:
    """Keyed topics in memory; calls fail by chance.

    Attributes:
        rng: Source of all chance.
        calm: Whether no call fails.
        rows: All records, by topic and part.
    """

    def __init__(self, rng: random.Random) -> None:
        self.rng = rng
        self.calm = True
        self.rows: dict = collections.defaultdict(list)
        self._first: collections.Counter = collections.Counter()
        self._epochs: collections.Counter = collections.Counter()
        self._stored: dict[tuple, int] = {}
        self._late: list[tuple] = []

    def append(
        self, items, timeout_s, epoch=0, sequence=0, topic="fleet", partition=0
    ):
        """Appends; may fail, or act without an answer, now or later."""
        call = (topic or "fleet", partition, tuple(items), epoch, sequence)
        chance = 1.0 if self.calm else self.rng.random()
        if chance < 0.04 and epoch:
            if self.rng.random() < 0.5:
                self._carry_out(call)
            raise OwnerDeathError
        if chance < 0.1:
            return outcomes.Failed(outcomes.Step.APPEND, "s", "status-503")
        if chance < 0.3:
            if chance < 0.2:
                self._carry_out(call)
            else:
                self._late.append(call)
            return outcomes.Failed(
                outcomes.Step.APPEND, "s", "timeout", "", True
            )
        return self._carry_out(call)

    def _carry_out(self, call: tuple):
        topic, partition, items, epoch, sequence = call
        place = topic, partition
        if epoch:
            if epoch < self._epochs[place]:
                return outcomes.Failed(outcomes.Step.APPEND, "s", "fenced")
            self._epochs[place] = epoch
            key = (*place, epoch, sequence)
            if key in self._stored:
                return outcomes.Ok(self._stored[key])
            self._stored[key] = len(self.rows[place])
        self.rows[place] += items
        return outcomes.Ok(len(self.rows[place]) - len(items))

    def land_late(self) -> None:
        """Carries out what was left without an answer, in any order."""
        self.rng.shuffle(self._late)
        late, self._late = self._late, []
        for call in late:
            self._carry_out(call)

    def expire(self) -> None:
        """Drops the oldest records of one part; newest ones are kept."""
        place = self.rng.choice(sorted(self.rows))
        self._first[place] = self.rng.randint(
            self._first[place], len(self.rows[place])
        )

    def read(self, topic, offset, wait_ms, partition=0):
        """Reads a page of any length."""
        place = topic, partition
        if not self.calm and self.rng.random() < 0.1:
            return outcomes.Failed(outcomes.Step.READ, "s", "timeout")
        if offset < self._first[place]:
            return outcomes.Failed(outcomes.Step.READ, "s", "expired")
        rows = self.rows[place]
        size = len(rows) if self.calm else self.rng.randint(1, 12)
        items = tuple(rows[offset : offset + size])
        return outcomes.Ok(storage.Page(items, offset + len(items), len(rows)))

    def read_newest(self, topic, after="", partition=0):
        """Reads a page of the newest records, in the order of their keys."""
        rows = self.rows[topic, partition]
        newest = {record.key: record for record in rows}
        keys = sorted(
            key
            for key, record in newest.items()
            if record.value and key > after
        )
        size = len(keys) if self.calm else self.rng.randint(1, 12)
        items = tuple(newest[key] for key in keys[:size])
        return outcomes.Ok(storage.Newest(items, size < len(keys), len(rows)))
