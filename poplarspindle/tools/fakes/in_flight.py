"""Messages that owners sent and workers of the virtual fleet may carry out.

Nobody can tell a message that is lost from one that is late. So what a worker
has not carried out counts as in flight for as long as messages are late at
most, and what it asks for may count from its arrival at any time until then.
"""

import collections
import dataclasses
from collections.abc import Iterable

from poplarspindle.fleet import orders, worker_state
from poplarspindle.tools.fakes import fleet_workers

MAX_DELAY_S = 12.0  # Orders that are carried out late are so at most.


@dataclasses.dataclass(frozen=True, slots=True, eq=False)
class Entry:
    """A message that its worker has not carried out.

    Attributes:
        worker: Name of the worker.
        order: The order or the poll.
        sent_at: When it was sent, seconds of virtual time.
        lease_ms: How long the leases last that it asks for, on the worker's
            clock, counted from its arrival; 0 if it asks for none.
        incarnation_ms: The worker's life when it was sent.
        next_lives: Whether a later life of the worker carries it out too.
    """

    worker: str
    order: orders.Order | orders.Poll
    sent_at: float
    lease_ms: int
    incarnation_ms: int
    next_lives: bool

    @property
    def latest_at(self) -> float:
        """When it is carried out at the latest."""
        return self.sent_at + MAX_DELAY_S


class Register:
    """Keeps the messages in flight to each worker."""

    def __init__(self) -> None:
        self._entries: dict[str, list[Entry]] = collections.defaultdict(list)

    def add(self, entry: Entry) -> None:
        """Keeps a message that is sent now."""
        self._entries[entry.worker].append(entry)

    def remove(self, entry: Entry) -> None:
        """Drops a message that was carried out, or never will be."""
        entries = self._entries[entry.worker]
        if entry in entries:
            entries.remove(entry)

    def list_to(self, worker: str, now: float) -> list[Entry]:
        """Lists the messages in flight to a worker, in the order of sending."""
        entries = self._entries[worker]
        while entries and entries[0].latest_at < now:
            entries.pop(0)
        return entries


# What messages may still do.


def find_rate(worker: fleet_workers.FakeWorker) -> float:
    """Returns milliseconds of a worker's clock in a second, at the least.

    Clocks are 2 % slow at most; fake ones a little more, by rounding.
    """
    return max(worker.clock_rate, 1000 / worker_state.MAX_CLOCK_DRIFT)


def find_lease_end(worker: fleet_workers.FakeWorker, now: float) -> float:
    """Returns when a worker's leases end by themselves; past if they did."""
    left_ms = worker.until_ms - worker.clock_ms()
    return now + left_ms / find_rate(worker)


def may_carry_out(worker: fleet_workers.FakeWorker, entry: Entry) -> bool:
    """Tells whether a worker would carry a message out.

    A life that no owner spoke to can refuse none; the virtual fleet lets none
    of the life before come to it.
    """
    if entry.order.epoch < worker.fencing_epoch:
        return False
    if entry.incarnation_ms == worker.incarnation_ms:
        return True
    return entry.next_lives and worker.fencing_epoch > 0


def may_begin_run(worker: fleet_workers.FakeWorker, entry: Entry) -> bool:
    """Tells whether a worker would begin a run by a message."""
    order = entry.order
    return (
        isinstance(order, orders.Start)
        and order.attempt > worker.highest.get(order.task, 0)
        and may_carry_out(worker, entry)
    )


def find_latest_end(
    lease_end: float,
    found: Iterable[Entry],
    worker: fleet_workers.FakeWorker,
    most_ms: int,
) -> float:
    """Returns when leases end at the latest that messages may still renew.

    Each renews once, at the latest just before the leases end. After one with
    a higher token no other is carried out.

    Args:
        lease_end: When the leases end by themselves.
        found: Messages that the worker would carry out.
        worker: The worker.
        most_ms: Longest lease that a worker grants.
    """
    for entry in sorted(found, key=lambda one: (one.order.epoch, one.sent_at)):
        renewed_at = min(lease_end, entry.latest_at)
        lease_s = _find_lease_ms(entry, worker, most_ms) / find_rate(worker)
        lease_end = max(lease_end, renewed_at + lease_s)
    return lease_end


def _find_lease_ms(
    entry: Entry, worker: fleet_workers.FakeWorker, most_ms: int
) -> int:
    """Returns the lease that a message asks for when it comes.

    On the clock of a later life, which began anew, its deadline is far ahead.
    It is shifted by as much as the message is late.
    """
    if entry.incarnation_ms == worker.incarnation_ms or not entry.lease_ms:
        return entry.lease_ms
    since_ms = (worker.born_at - entry.sent_at) * worker.clock_rate
    return min(most_ms, int(entry.order.until_ms + since_ms))


def describe(entry: Entry) -> str:
    """Describes a message in flight."""
    order = entry.order
    kind = type(order).__name__.lower()
    subject = "" if kind == "poll" else f" {order.task}#{order.attempt}"
    return (
        f"{kind}{subject} of token {order.epoch} sent at {entry.sent_at:.2f}"
        f" for {entry.lease_ms} ms"
    )
