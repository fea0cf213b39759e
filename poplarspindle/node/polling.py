"""Looks at workers: renews leases, takes in what runs there and ended."""

import collections
import dataclasses
import functools
import typing
from collections.abc import Callable

from poplarspindle import outcomes
from poplarspindle.fleet import (
    events,
    fencing,
    late_starts,
    orders,
    work,
    worker_state,
)
from poplarspindle.node import (
    lease_keeping,
    poll_waits,
    queued_orders,
    token_log,
    worker_ports,
)

POLL_TIMEOUT_S = 0.15  # Workers answer in milliseconds.
POLL_RETRY_TIMEOUT_S = 0.5  # A worker, or this node, may be slow.
ACKNOWLEDGE_TIMEOUT_S = 0.5
FAILED_POLL_DELAY_S = 0.15
LEASES_NOT_ALLOWED_DELAY_S = 0.03  # An append takes about that long.
MAX_ORDERS_IN_FLIGHT = 8  # At a time to one worker; it takes few connections.
UNREACHABLE = orders.Answer(orders.Refusal.UNREACHABLE)


class WorkerPoller:
    """Looks at one worker for as long as this node owns the fleet.

    All of it runs on the thread that carries the calls; only `wait_ms` is
    set from another one.

    Args:
        ownership: The ownership that it belongs to.
        info: The worker's entry.
        fence: The token for the worker, if orders were sent to it before.
    """

    def __init__(
        self,
        ownership: worker_ports.Ownership,
        info: work.WorkerInfo,
        fence: fencing.Fence | None = None,
    ) -> None:
        self._ownership = ownership
        self.worker = info
        self.fence = fence or fencing.make_fence(
            ownership.epoch, ownership.earlier_leases_end_at
        )
        if fence is not None:
            # What the poller before left in flight may be late.
            fencing.record_replaced(fence)
        self.client = ownership.connect(info)
        self._acknowledged_end = 0
        self._incarnation_ms = 0
        self._leases = lease_keeping.LeaseKeeper(ownership, self.fence)
        self._failed_polls = 0
        self._awaited_end = 0  # Number of the end whose record is waited for.
        self._poll_timer: typing.Any = None
        self._queued_orders: queued_orders.Queue = []
        self._orders_in_flight = 0
        self._awaited_turns = collections.Counter[int]()  # By urgency.
        self._is_silent = False
        self.wait_ms = poll_waits.BUSY_WAIT_MS
        self.stopped = False

    def acknowledge(self, incarnation_ms: int, number: int) -> None:
        """Notes that ends up to a number are recorded."""
        if incarnation_ms != self._incarnation_ms:
            return
        self._acknowledged_end = max(self._acknowledged_end, number)
        if self._awaited_end and self._acknowledged_end >= self._awaited_end:
            self._poll_timer.cancel()
            self._poll_next()

    def allow_leases(self, failed_polls: int) -> None:
        """Lets leases be asked for, unless a look was missed since."""
        if failed_polls == self._failed_polls:
            self._leases.clock.allowed = True

    def extend_leases(self, done: Callable[[], None]) -> None:
        """Asks for the longest leases, for the time until the next owner."""
        now = self._ownership.now()
        until_ms = self._leases.choose_last(now)
        if not until_ms:
            done()
            return
        token = self.fence.token
        self._ownership.post(
            events.LeaseGranted(now, self.worker.name, until_ms, token)
        )
        last_poll = orders.Poll(token, self._acknowledged_end, until_ms, 0)
        self._leases.record_sent(now, last_poll, now)
        self.client.poll(last_poll, POLL_RETRY_TIMEOUT_S, lambda _: done())

    def send_order(self, order: orders.Order) -> None:
        """Sends an order; beyond some at a time they wait for each other.

        A start that still waits is not sent once its run is to stop. A stop
        that still waits is not queued again: each report of a run that is
        placed nowhere asks for one.
        """
        if isinstance(order, orders.Stop):
            if order in self._queued_orders:
                return
            self._drop_starts(order)
        self._count_waiting(1)
        queued_orders.insert(self._queued_orders, order)
        self._send_queued()

    def _drop_starts(self, stop: orders.Stop) -> None:
        """Returns queued starts of a run that is to stop as not delivered."""
        for start in queued_orders.remove_starts(self._queued_orders, stop):
            self._count_waiting(-1)
            self._return_unsent(start)

    def _count_waiting(self, change: int) -> None:
        """Counts orders that wait, unless it is for a silent worker."""
        if not self._is_silent:
            self._ownership.order_window.waiting += change

    def _count_call(self, kind: str) -> None:
        self._ownership.order_window.calls[kind] += 1

    def _set_silent(self, is_silent: bool) -> None:
        """Notes whether the worker answers looks.

        Load pattern: a data centre is out of reach, and stops to its workers
        are repeated. They must not use up the places that all workers share,
        nor pass for an owner that is late. So they take none, and a silent
        worker gets one order at a time.
        """
        if is_silent == self._is_silent:
            return
        queued = len(self._queued_orders)
        self._count_waiting(-queued)
        self._is_silent = is_silent
        self._count_waiting(queued)
        self._send_queued()

    def _take_turn(self, urgency: int) -> None:
        self._awaited_turns[urgency] -= 1
        self._send_queued()

    def _send_queued(self) -> None:
        """Sends queued orders while the worker and the window have places.

        Each order that waits for the window has a turn of its own there, so
        a worker's last order is not sent after later ones to all others.
        """
        window = self._ownership.order_window
        queued_orders.sort(self._queued_orders, self._ownership.now())
        while self._queued_orders and not self.is_stopped():
            if not self._may_send(self._queued_orders[0]):
                self._count_waiting(-1)
                self._return_unsent(self._queued_orders.pop(0))
                continue
            # Orders that grant no leases need none, and come first.
            if not self._has_room(self._queued_orders[0]):
                return
            if self._is_silent:
                if self._orders_in_flight:
                    return
                self._send(self._queued_orders.pop(0), lambda took_s: None)
                continue
            if self._orders_in_flight >= MAX_ORDERS_IN_FLIGHT:
                return
            urgency = queued_orders.find_urgency_without_turn(
                self._queued_orders, self._awaited_turns
            )
            if urgency is None:
                return
            turn = functools.partial(self._take_turn, urgency)
            if not window.try_begin(turn, urgency):
                self._awaited_turns[urgency] += 1
                continue
            self._count_waiting(-1)
            self._send(self._queued_orders.pop(0), window.end)
        while self._queued_orders:
            # The worker has another address now; none of these was sent.
            self._count_waiting(-1)
            self._return_unsent(self._queued_orders.pop(0))

    def _may_send(self, order: orders.Order) -> bool:
        """Returns whether this owner may still send an order.

        The next owner does not know of starts that are sent after the log lists
        their worker as unreachable, and the owner gives up a run whose start
        waits here for too long.
        """
        if not isinstance(order, orders.Start):
            return True
        now = self._ownership.now()
        if self._is_silent or late_starts.is_too_old(order, now):
            return False
        return self._leases.may_start(now)

    def _has_room(self, order: orders.Order) -> bool:
        """Returns whether an order need not wait for answers to others."""
        grants_leases = isinstance(order, orders.Start)
        return not grants_leases or self._leases.has_room(self._ownership.now())

    def _return_unsent(self, order: orders.Order) -> None:
        self._post_answer(order, self._ownership.now(), UNREACHABLE)

    def _send(
        self, order: orders.Order, end_turn: Callable[[float], None]
    ) -> None:
        """Sends an order, with the token of now.

        The lease that a start asks for is not used up by the time that the
        start waited here and in an owner that is behind.

        Args:
            order: The order.
            end_turn: Takes how long it was in flight, seconds.
        """
        self._orders_in_flight += 1
        self._count_call(type(order).__name__.lower())
        sent_at = self._ownership.now()
        order = dataclasses.replace(order, epoch=self.fence.token)
        # A stop of the same run may be sent at the same time.
        key = None
        if isinstance(order, orders.Start):
            key = (order.task, order.attempt, sent_at)
            order = self._leases.extend_start(order, sent_at)
            self._leases.record_sent(key, order, sent_at)

        def handle_answer(answer: orders.Answer) -> None:
            self._orders_in_flight -= 1
            self._record_answer(key, order, answer)
            answer = fencing.read_answer(self.fence, order, answer)
            self._post_answer(order, sent_at, answer)
            end_turn(self._ownership.now() - sent_at)
            self._send_queued()

        self.client.send(order, handle_answer)

    def _record_answer(
        self,
        key: worker_state.GrantKey | None,
        order: orders.Order,
        answer: orders.Answer,
    ) -> None:
        now = self._ownership.now()
        self._leases.record_clock(answer.clock_ms, now)
        if answer.refusal is None:
            self._leases.record_carried_out(key, order.epoch, now)
            fencing.record_answered(self.fence, order.epoch)
            return
        self._leases.record_refused(key, now, answer.refusal)
        if answer.refusal is orders.Refusal.NO_ANSWER:
            token_log.record_unanswered(self.fence, order, self.worker.name)

    def _post_answer(
        self, order: orders.Order, sent_at: float, answer: orders.Answer
    ) -> None:
        now, name = self._ownership.now(), self.worker.name
        self._ownership.post(
            events.OrderAnswered(now, name, sent_at, order, answer)
        )

    def is_stopped(self) -> bool:
        """Tells whether this worker is to be looked at no more."""
        return self.stopped or self._ownership.stop_event.is_set()

    def poll(self, wait_ms: int = 0) -> None:
        """Looks at the worker; the next look follows the answer."""
        if self.is_stopped():
            self._send_queued()
            return
        sent_at = self._ownership.now()
        until_ms, wait_ms = self._leases.choose_poll(
            sent_at, wait_ms, self.wait_ms == poll_waits.IDLE_WAIT_MS
        )
        token = self.fence.token
        if until_ms:
            self._ownership.post(
                events.LeaseGranted(sent_at, self.worker.name, until_ms, token)
            )
        # After a poll without an answer another incarnation may answer, whose
        # ends have the same numbers.
        acknowledged_end = 0 if self._is_silent else self._acknowledged_end
        order = orders.Poll(token, acknowledged_end, until_ms, wait_ms)
        self._leases.record_sent(sent_at, order, sent_at)
        self._count_call("renewing-poll" if until_ms else "waiting-poll")
        handle = functools.partial(self._handle_answer, order, sent_at)
        self.client.poll(order, POLL_TIMEOUT_S, handle)

    def _handle_answer(
        self, order: orders.Poll, sent_at: float, answer
    ) -> None:
        lost = isinstance(answer, outcomes.Failed) and answer.may_have_acted
        if lost:
            token_log.record_unanswered(self.fence, order, self.worker.name)
        if not lost or self.is_stopped():
            self._handle_final_answer(order, sent_at, answer)
            return
        # An answer may be lost: what ended is asked for at once again. Leases
        # are not, so that one order at a time may renew them late.
        sent_at = self._ownership.now()
        order = orders.Poll(self.fence.token, 0, 0, 0)
        self._count_call("repeated-poll")
        handle = functools.partial(self._handle_final_answer, order, sent_at)
        self.client.poll(order, POLL_RETRY_TIMEOUT_S, handle)

    def _handle_final_answer(
        self, order: orders.Poll, sent_at: float, answer
    ) -> None:
        if self.is_stopped():
            self._send_queued()  # Returns them; no other answer may come.
            return
        at = self._ownership.now()
        if isinstance(answer, outcomes.Failed):
            if not answer.may_have_acted:
                self._leases.record_not_delivered(sent_at)
            if answer.reason == "fenced" and fencing.is_overtaken(
                self.fence, order.epoch
            ):
                self.poll()
                return
            if answer.may_have_acted:
                token_log.record_unanswered(self.fence, order, self.worker.name)
            self._failed_polls += 1
            self._set_silent(True)
            self._leases.clock.allowed = False
            if answer.reason == "fenced":
                self._ownership.report_lost("worker-fenced")
            self._ownership.post(
                events.PollFailed(
                    at,
                    self.worker.name,
                    answer.reason,
                    None if answer.may_have_acted else sent_at,
                )
            )
            self._poll_timer = self._ownership.run_later(
                FAILED_POLL_DELAY_S, self.poll
            )
            return
        self._set_silent(False)
        report = answer.value
        if report.incarnation_ms != self._incarnation_ms:
            self._begin_incarnation(report.incarnation_ms, at)
        fencing.record_answered(self.fence, order.epoch)
        clock = self._leases.clock
        clock.ms, clock.at = report.clock_ms, at
        self._leases.record_carried_out(sent_at, order.epoch, at)
        if order.until_ms:
            clock.renewed_at = sent_at
        self._ownership.post(
            events.Reported(
                at,
                self._ownership.wall_ms(),
                self.worker.name,
                sent_at,
                order.until_ms,
                report,
                self._failed_polls,
                order.epoch,
                self._leases.find_end(),
            )
        )
        self._send_queued()
        newest = max((end.number for end in report.ended), default=0)
        if newest > self._acknowledged_end:
            # Ends that are not recorded yet would only be listed again.
            self._awaited_end = newest
            self._poll_timer = self._ownership.run_later(
                ACKNOWLEDGE_TIMEOUT_S, self._poll_next
            )
        else:
            self._poll_next()

    def _begin_incarnation(self, incarnation_ms: int, at: float) -> None:
        """Notes that another incarnation than before answered a poll."""
        if self._incarnation_ms:
            token_log.record_new_incarnation(self.fence, self.worker.name)
        self._leases.record_next_life(at)
        self._incarnation_ms, self._acknowledged_end = incarnation_ms, 0

    def _poll_next(self) -> None:
        self._awaited_end = 0
        if self._leases.clock.allowed:
            self.poll(self.wait_ms)
        else:
            self._poll_timer = self._ownership.run_later(
                LEASES_NOT_ALLOWED_DELAY_S, self.poll
            )
