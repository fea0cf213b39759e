"""The pollers of an ownership: which exist, with which fencing tokens."""

import collections
from collections.abc import Callable

from poplarspindle.fleet import effects, events, fencing, worker_state
from poplarspindle.node import poll_waits, polling, worker_ports

MAX_KEPT_FENCES = 4096  # Far more workers than are ever unlisted and back.


class Pollers:
    """Keeps a poller for each worker, and hands orders to them.

    Used on the thread that decides; what is sent, and what pollers are told,
    runs on the thread that carries the calls.

    Args:
        ownership: The ownership that they belong to.
        run_soon: Runs a function on the thread that carries the calls.
    """

    def __init__(
        self,
        ownership: worker_ports.Ownership,
        run_soon: Callable[[Callable[[], None]], None],
    ) -> None:
        self._ownership = ownership
        self._run_soon = run_soon
        self._pollers: dict[str, polling.WorkerPoller] = {}
        # Of workers that are no longer listed; they may come back.
        self._fences: dict[str, fencing.Fence] = {}
        self._orders: collections.deque[effects.Order] = collections.deque()

    def get(self, name: str) -> polling.WorkerPoller | None:
        """Returns a worker's poller, None for none."""
        return self._pollers.get(name)

    def list_all(self) -> list[polling.WorkerPoller]:
        """Returns all pollers."""
        return list(self._pollers.values())

    def count_unsent(self) -> int:
        """Returns how many orders were not handed to their pollers yet."""
        return len(self._orders)

    def execute(
        self, effect: effects.Order | effects.AllowLeases | effects.Acknowledge
    ) -> None:
        """Tells a worker's poller; orders wait for `flush`."""
        if isinstance(effect, effects.Order):
            self._orders.append(effect)
            return
        poller = self._pollers.get(effect.worker_name)
        if poller is not None:
            self._run_soon(lambda: _update_poller(poller, effect))

    def flush(self) -> None:
        """Sends the orders of a batch."""
        if self._orders:
            self._run_soon(self._send)

    def _send(self) -> None:
        """Gives the orders made so far to their pollers."""
        for _ in range(len(self._orders)):
            effect = self._orders.popleft()
            poller = self._pollers.get(effect.worker_name)
            if poller is not None:
                poller.send_order(effect.order)
                continue
            now = self._ownership.now()
            answer = polling.UNREACHABLE
            self._ownership.post(
                events.OrderAnswered(
                    now, effect.worker_name, now, effect.order, answer
                )
            )

    def update(self, workers: dict[str, worker_state.WorkerState]) -> None:
        """Watches every worker that is listed or still holds runs."""
        fresh = []
        for name, worker in workers.items():
            poller = self._pollers.get(name)
            address = worker.info.address
            if address and (poller is None or poller.worker.address != address):
                if poller is not None:
                    poller.stopped = True
                fence = self._fences.pop(name, None)
                if poller is not None:
                    fence = poller.fence
                poller = polling.WorkerPoller(
                    self._ownership, worker.info, fence
                )
                self._pollers[name] = poller
                fresh.append(poller)
            if poller is not None:
                poller.wait_ms = poll_waits.choose_wait(worker)
        for name in self._pollers.keys() - workers.keys():
            poller = self._pollers.pop(name)
            poller.stopped = True
            self._keep_fence(name, poller.fence)
        if fresh:
            self._run_soon(lambda: [poller.poll() for poller in fresh])

    def _keep_fence(self, name: str, fence: fencing.Fence) -> None:
        """Keeps the token of a worker that may be listed again."""
        self._fences[name] = fence
        while len(self._fences) > MAX_KEPT_FENCES:
            self._fences.pop(next(iter(self._fences)))


def _update_poller(
    poller: polling.WorkerPoller,
    effect: effects.AllowLeases | effects.Acknowledge,
) -> None:
    if isinstance(effect, effects.AllowLeases):
        poller.allow_leases(effect.failed_polls)
    else:
        poller.acknowledge(effect.incarnation_ms, effect.number)
