"""How many orders an owner has in flight to all workers at once.

Load pattern: the owner's machine carries out fewer calls than its fleet asks
for. With all of them in flight at once each takes longer than its timeout;
they are sent again, over new connections, and less and less is carried out.
With few in flight each is answered in time and the others wait their turn.

Among the orders that wait, the most urgent have their turn first: while the
owner is late, hundreds of starts of work that can wait are in line, and a start
that is urgent would wait behind all of them, at each step of its job. Where
urgent orders are made faster than they are carried out, the others would wait
for ever. So a few places go to the order that has waited longest.

The limit follows how long answers take: it shrinks while half of them come
late, so a few slow workers do not shrink it, and grows while it is used up.
"""

import collections
import dataclasses
import heapq
import itertools
import statistics
from collections.abc import Callable

import structlog

from poplarspindle.node import clocks

INITIAL_LIMIT = 128
MIN_LIMIT = 16
MAX_LIMIT = 256
GROWTH = 16
SHRINK_FACTOR = 0.7
LATE_ANSWER_S = 0.1  # Workers answer in milliseconds; orders time out later.
SAMPLE_ANSWERS = 32
INITIAL_ORDERS_PER_S = INITIAL_LIMIT / LATE_ANSWER_S
RATE_PERIOD_S = 0.25  # A late owner reads many answers at once.
MAX_WAIT_S = 0.5
# No order ages for longer, also where the store takes seconds to record
# placements and their starts come all at once; leases last 4 s.
MAX_WAIT_AFTER_APPEND_S = 2.0
# Starts are not sent once they are late, see `late_starts`.
AGED_AFTER_S = 1.0
PLACES_PER_AGED = 8  # One of so many goes to an order that has aged.
MAX_SENT_SHARE = 2  # Entries kept by urgency for each order that waits.

_log = structlog.get_logger(part="exchange")


@dataclasses.dataclass(slots=True)
class Limit:
    """The adaptive limit of orders in flight.

    Attributes:
        orders: Orders that may be in flight at once.
        answer_times_s: How long the last answers took.
        orders_per_s: Orders carried out a second while others waited.
        backlog_at: When it was last told, or orders began to wait; infinite
            while none waits.
        backlog_answers: Answers since then.
        was_reached: Whether an order had to wait since the last change.
        shrunk_at: When it last shrank; orders sent before then say nothing
            about the new limit.
    """

    orders: int = INITIAL_LIMIT
    answer_times_s: list[float] = dataclasses.field(default_factory=list)
    orders_per_s: float = INITIAL_ORDERS_PER_S
    backlog_at: float = float("inf")
    backlog_answers: int = 0
    was_reached: bool = False
    shrunk_at: float = float("-inf")


def record_answer(limit: Limit, took_s: float, now: float) -> int:
    """Records an answer, or its absence; changes the limit after some.

    Args:
        limit: The limit.
        took_s: How long the order was in flight, seconds.
        now: Present time on the clock of `shrunk_at`.

    Returns:
        By how much the limit changed.
    """
    if now - took_s < limit.shrunk_at:
        return 0
    limit.answer_times_s.append(took_s)
    if len(limit.answer_times_s) < SAMPLE_ANSWERS:
        return 0
    before = limit.orders
    answer_s = statistics.median(limit.answer_times_s)
    if answer_s >= LATE_ANSWER_S:
        limit.orders = max(MIN_LIMIT, int(limit.orders * SHRINK_FACTOR))
        limit.shrunk_at = now
    elif limit.was_reached:
        limit.orders = min(MAX_LIMIT, limit.orders + GROWTH)
    limit.answer_times_s.clear()
    limit.was_reached = False
    return limit.orders - before


def record_rate(limit: Limit, others_wait: bool, now: float) -> None:
    """Counts an answer; learns the rate of orders while others wait.

    Few orders a second are carried out where few are made, so a time without
    any that wait tells nothing.

    Args:
        limit: The limit.
        others_wait: Whether orders wait for a place.
        now: Present time on the clock of `backlog_at`.
    """
    if not others_wait:
        limit.backlog_at = float("inf")
        return
    if limit.backlog_at > now:
        limit.backlog_at, limit.backlog_answers = now, 0
        return
    limit.backlog_answers += 1
    lasted_s = now - limit.backlog_at
    if lasted_s < RATE_PERIOD_S:
        return
    limit.orders_per_s = limit.backlog_answers / lasted_s
    limit.backlog_at, limit.backlog_answers = now, 0


def compute_room(limit: Limit, waiting: int, append_s: float = 0.0) -> int:
    """Returns how many more orders may be made, so that none waits for long.

    Load pattern: the store is slow, and no order is sent until a placement is
    recorded. What could be sent meanwhile is placed for the next append.

    Args:
        limit: The limit of orders in flight.
        waiting: Orders that wait already.
        append_s: How long the store takes to record placements, seconds.
    """
    wait_s = min(MAX_WAIT_AFTER_APPEND_S, MAX_WAIT_S + append_s)
    room = max(limit.orders, int(wait_s * limit.orders_per_s))
    return max(0, room - waiting)


@dataclasses.dataclass(frozen=True, slots=True)
class _Sender:
    """What sends an order that waits for its turn.

    Attributes:
        urgency: Urgency of the order.
        arrived_at: Since when it waits, on the clock of the window.
        send: Called at its turn.
    """

    urgency: int
    arrived_at: float
    send: Callable[[], None]


class OrderWindow:
    """Gives senders their turns while too many orders are in flight.

    Used on the thread that carries the calls only; `waiting` and `limit` are
    read by others.

    Args:
        read_clock: Returns the present time, steady seconds; by default
            that of the machine.

    Attributes:
        limit: The limit of orders in flight.
        in_flight: Orders in flight.
        waiting: Orders that wait for their turn or for their worker.
        calls: Calls to workers by kind, since this was last cleared.
    """

    def __init__(self, read_clock: Callable[[], float] | None = None) -> None:
        self._read_clock = read_clock or clocks.get_steady_s
        self.limit = Limit()
        self.in_flight = 0
        self.waiting = 0
        self.calls: collections.Counter[str] = collections.Counter()
        # Orders that wait by number, in the order of their arrival.
        self._waiting_senders: dict[int, _Sender] = {}
        self._by_urgency: list[tuple[int, int]] = []  # Urgency and number.
        self._numbers = itertools.count()
        self._places_since_aged = 0

    def try_begin(self, send: Callable[[], None], urgency: int = 0) -> bool:
        """Takes a place for one order.

        Args:
            send: Called at the sender's turn where there is no place now; it
                tries again then.
            urgency: Urgency of the order; the lowest has its turn first.

        Returns:
            Whether there is a place.
        """
        if self.in_flight >= self.limit.orders:
            self.limit.was_reached = True
            number = next(self._numbers)
            self._waiting_senders[number] = _Sender(
                urgency, self._read_clock(), send
            )
            heapq.heappush(self._by_urgency, (urgency, number))
            return False
        self.in_flight += 1
        return True

    def count_waiting(self) -> dict[int, int]:
        """Counts the orders that wait for their turn, by urgency."""
        return dict(
            collections.Counter(
                sender.urgency for sender in self._waiting_senders.values()
            )
        )

    def end(self, took_s: float) -> None:
        """Gives a place back and lets the senders whose turn it is send.

        Args:
            took_s: How long the order was in flight, seconds.
        """
        self.in_flight -= 1
        now = self._read_clock()
        record_rate(self.limit, bool(self._waiting_senders), now)
        if record_answer(self.limit, took_s, now) < 0:
            _log.warning(
                "orders-late",
                limit=self.limit.orders,
                waiting=self.waiting,
                last_took_ms=int(took_s * 1000),
            )
        for _ in range(len(self._waiting_senders)):
            if self.in_flight >= self.limit.orders:
                return
            self._give_turn(now)

    def _give_turn(self, now: float) -> None:
        """Lets the sender whose turn it is send; it waits no more.

        One that has nothing to send, as its start is too old by then, takes no
        place, so the next one that has aged has its turn at once.
        """
        taken_before = self.in_flight
        oldest = next(iter(self._waiting_senders))
        arrived_at = self._waiting_senders[oldest].arrived_at
        is_turn_of_aged = (
            self._places_since_aged + 1 >= PLACES_PER_AGED
            and now - arrived_at >= AGED_AFTER_S
        )
        number = oldest if is_turn_of_aged else self._pop_most_urgent()
        sender = self._waiting_senders.pop(number)
        self._forget_sent()
        sender.send()
        if self.in_flight > taken_before:
            self._places_since_aged += 1
            if is_turn_of_aged:
                self._places_since_aged = 0

    def _forget_sent(self) -> None:
        """Forgets those by urgency that aged and were sent, from time to time.

        They stay behind more urgent ones, in a line that never empties for
        good.
        """
        most = MAX_SENT_SHARE * len(self._waiting_senders) + MAX_LIMIT
        if len(self._by_urgency) <= most:
            return
        self._by_urgency = [
            (sender.urgency, number)
            for number, sender in self._waiting_senders.items()
        ]
        heapq.heapify(self._by_urgency)

    def _pop_most_urgent(self) -> int:
        while True:
            _, number = heapq.heappop(self._by_urgency)
            if number in self._waiting_senders:
                return number
