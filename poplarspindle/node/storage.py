"""What a node needs of a store, and what the store answers."""

import dataclasses
import typing
from collections.abc import Iterable

from poplarspindle import outcomes
from poplarspindle.fleet import records

ANY_END = -1  # An append that may follow any record.
OTHER_END = "other-end"  # The failure of one that expected another end.


@dataclasses.dataclass(frozen=True, slots=True)
class Page:
    """Records read from an offset on.

    Attributes:
        items: The records, in order.
        next: Offset to read from next.
        end: Offset that the next append will get.
    """

    items: tuple[records.Record, ...]
    next: int
    end: int


@dataclasses.dataclass(frozen=True, slots=True)
class Newest:
    """Newest records of some keys.

    Attributes:
        items: The records.
        more: Whether there are keys behind the last one.
        end: Offset that the next append will get.
    """

    items: tuple[records.Record, ...]
    more: bool
    end: int


@dataclasses.dataclass(frozen=True, slots=True)
class Membership:
    """A member's standing in the nodes' group.

    Attributes:
        generation: Rises with each change of the group.
        chosen: Whether this member is the one that should own the fleet.
    """

    generation: int
    chosen: bool


class Store(typing.Protocol):
    """Calls that a node makes."""

    def move(self, address: str) -> None:
        """Sends all further calls to another address."""

    def append(
        self,
        items: Iterable[records.Record],
        timeout_s: float,
        epoch: int = 0,
        sequence: int = 0,
        topic: str = "",
        partition: int = 0,
        expected_end: int = ANY_END,
    ) -> outcomes.Ok[int] | outcomes.Failed:
        """Appends records, all or none; returns the first one's offset.

        Without a topic the one that all nodes follow is meant. Nothing is
        appended if the partition ends elsewhere than expected.
        """

    def read(
        self, topic: str, offset: int, wait_ms: int, partition: int = 0
    ) -> outcomes.Ok[Page] | outcomes.Failed:
        """Reads records from an offset on."""

    def read_newest(
        self, topic: str, after: str = "", partition: int = 0
    ) -> outcomes.Ok[Newest] | outcomes.Failed:
        """Reads a page of the newest record of each key."""

    def join(
        self, member: str, ttl_ms: int, generation: int
    ) -> outcomes.Ok[Membership] | outcomes.Failed:
        """Joins the nodes' group or stays in it."""

    def leave(self, member: str) -> outcomes.Ok[None] | outcomes.Failed:
        """Leaves the nodes' group."""


def load_newest(
    store: Store, topic: str, partition: int = 0
) -> outcomes.Ok[Newest] | outcomes.Failed:
    """Reads all newest records of a part of a topic.

    Returns:
        The records with the end from BEFORE the first page: pages are no
        snapshot, so whoever reads on from there misses nothing. A failure
        where a page tells of more and names no key behind those known.
    """
    items: list[records.Record] = []
    first_end = None
    after = ""
    while True:
        page = store.read_newest(topic, after, partition)
        if isinstance(page, outcomes.Failed):
            return page
        if first_end is None:
            first_end = page.value.end
        items += page.value.items
        if page.value.more and not page.value.items:
            return outcomes.Failed(
                outcomes.Step.READ, topic, "not-read-to-its-end"
            )
        if not page.value.more:
            return outcomes.Ok(Newest(tuple(items), False, first_end))
        last = next((r.key for r in reversed(page.value.items) if r.key), "")
        if last in (after, ""):
            return outcomes.Failed(
                outcomes.Step.READ, "store", "malformed", "pages do not go on"
            )
        after = last
