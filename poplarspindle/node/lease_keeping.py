"""Leases that a poller asks its worker for, and the account of them."""

import dataclasses

from poplarspindle.fleet import (
    fencing,
    grants,
    lease_bounds,
    leases,
    orders,
    worker_state,
)
from poplarspindle.node import worker_ports


class LeaseKeeper:
    """Chooses the leases of the orders to one worker and accounts for them.

    Used on the thread that carries the calls. Times are on the owner's
    monotonic clock.

    Args:
        ownership: The ownership that the poller belongs to.
        fence: The token for the worker, with the account of its leases.

    Attributes:
        clock: The last reading of the worker's clock.
    """

    def __init__(
        self, ownership: worker_ports.Ownership, fence: fencing.Fence
    ) -> None:
        self._ownership = ownership
        self._fence, self._account = fence, fence.account
        self.clock = leases.Clock()

    def choose_poll(
        self, now: float, wait_ms: int, is_idle: bool
    ) -> tuple[int, int]:
        """Chooses a poll's leases and wait, as `leases.choose_poll` does."""
        return leases.choose_poll(
            self.clock,
            now,
            self._ownership.store_confirmed_at(),
            self._find_longest_ms(now),
            wait_ms,
            is_idle,
            self._account.answered_end_at,
        )

    def choose_last(self, now: float) -> int:
        """Returns the end of the last leases of an owner, 0 for none."""
        return leases.choose_lease(
            self.clock,
            now,
            self._ownership.store_confirmed_at(),
            self._find_longest_ms(now),
            last=True,
        )

    def extend_start(self, order: orders.Start, now: float) -> orders.Start:
        """Returns a start with the lease that it asks for when sent now.

        Where there is room for little, it leaves some to the next starts: a
        start that has to wait for answers has no turn in the window.
        """
        longest_ms = self._find_longest_ms(now)
        if longest_ms < self._ownership.lease_most_ms:
            share_ms = max(leases.START_LEASE_MS, longest_ms // 2)
            longest_ms = min(longest_ms, share_ms)
        until_ms = leases.extend_start_lease(
            self.clock, now, order.until_ms, longest_ms
        )
        return dataclasses.replace(order, until_ms=until_ms)

    def may_start(self, now: float) -> bool:
        """Returns whether a start may still be sent by this owner.

        A start grants leases, as a poll does. An owner that was paused, or that
        the store does not hear, may have been replaced, and the next owner
        counts on it that none are granted by now.
        """
        confirmed_at = self._ownership.store_confirmed_at()
        is_confirmed = now - confirmed_at <= leases.TAKEOVER_GRANT_S
        return is_confirmed and (self.has_room(now) or self.awaits_answers())

    def has_room(self, now: float) -> bool:
        """Returns whether the bound of the leases has room for a start.

        Before the worker's clock was read, a lease can't be shortened.
        """
        least_ms = leases.START_LEASE_MS if self.clock.ms else leases.LEASE_MS
        return self._find_longest_ms(now) >= least_ms

    def awaits_answers(self) -> bool:
        """Returns whether answers to come may make room for a start.

        The first one, to a poll, tells that the worker refuses the orders of
        earlier owners; others tell what this owner's own orders granted.
        """
        return not self.clock.ms or bool(self._account.unanswered_grants)

    def record_sent(
        self,
        key: worker_state.GrantKey,
        order: orders.Start | orders.Poll,
        now: float,
    ) -> None:
        """Records an order that is sent now, if it grants leases."""
        if not order.until_ms:
            return
        lease_ms = leases.measure_lease(
            self.clock, now, order.until_ms, self._ownership.lease_most_ms
        )
        lease_bounds.record_sent(self._account, key, order.epoch, now, lease_ms)

    def record_carried_out(
        self, key: worker_state.GrantKey | None, token: int, at: float
    ) -> None:
        """Records that the worker carried an order out, with its token.

        The key is None for an order that grants no leases.
        """
        if not self._fence.answered:
            self.record_heard(at)
        if key is not None:
            lease_bounds.record_carried_out(self._account, key, at)
        lease_bounds.void_overtaken(self._account, token, at)

    def record_heard(self, at: float) -> None:
        """Records the first answer of an incarnation.

        What it carried out before may have granted it the longest lease, also
        this owner's own poll, which was meant for an earlier one's clock.
        """
        lease_bounds.record_heard(
            self._account,
            at,
            self._ownership.lease_most_ms,
            not self._fence.answered,
        )

    def find_end(self) -> float:
        """Returns when all granted leases end; minus infinity for none."""
        return self._account.leases_end_at

    def record_clock(self, clock_ms: int, at: float) -> None:
        """Notes the clock in an answer to an order, 0 for none.

        One that went back is that of another life, which only the next report
        tells. What that one was granted so far may last the longest.
        """
        expected_ms = leases.estimate_ms(self.clock, at)
        if grants.is_clock_of_next_life(clock_ms, expected_ms):
            self.clock.ms, self.clock.at = clock_ms, at
            self.record_next_life(at)

    def record_next_life(self, at: float) -> None:
        """Records that another life of the worker answered."""
        grants.record_next_life(self._account, self._ownership.lease_most_ms)
        self.record_heard(at)

    def record_refused(
        self,
        key: worker_state.GrantKey | None,
        at: float,
        refusal: orders.Refusal,
    ) -> None:
        """Records that a start was refused; some refusals renew leases."""
        if key is None:
            return
        if refusal in (orders.Refusal.ENDED, orders.Refusal.NO_CAPACITY):
            lease_bounds.record_carried_out(self._account, key, at)
        elif refusal is not orders.Refusal.NO_ANSWER:
            self.record_not_delivered(key)

    def record_not_delivered(self, key: worker_state.GrantKey) -> None:
        """Records that an order was not carried out and will not be."""
        grants.record_answered(self._account, key)

    def _find_longest_ms(self, now: float) -> int:
        return lease_bounds.find_longest_lease_ms(
            self._account,
            now,
            self._ownership.store_confirmed_at(),
            self._ownership.lease_most_ms,
        )
