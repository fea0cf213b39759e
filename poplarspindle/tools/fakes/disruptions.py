"""What befalls the virtual fleet; each heals by itself where it lasts."""

import dataclasses
import typing
from collections.abc import Callable, Collection

from poplarspindle.node import handover
from poplarspindle.node import node as real_node
from poplarspindle.node import ownership as node_ownership
from poplarspindle.tools.fakes import owners, virtual_time

if typing.TYPE_CHECKING:
    from poplarspindle.tools.fakes import fleets

HEARTBEATS_S = 3.0  # After its last heartbeat an entry is dropped.
HEARTBEAT_S = 0.5  # An entry is back that soon.


class Disruptions:
    """Disrupts workers, owners and the store.

    Args:
        world: The virtual fleet.
    """

    def __init__(self, world: "fleets.World") -> None:
        self._world = world

    # Workers.

    def cut_worker(
        self,
        name: str,
        for_s: float,
        from_owner: bool = True,
        from_store: bool = False,
        nodes: Collection[int] | None = None,
    ) -> None:
        """Cuts a worker off.

        Args:
            name: The worker.
            for_s: For how long.
            from_owner: Whether owners do not reach it.
            from_store: Whether the store does not: its entry lapses.
            nodes: Numbers of the nodes that do not reach it, None for all.
        """
        world = self._world
        cut = (name, None if nodes is None else frozenset(nodes))
        if from_owner:
            world.cuts.append(cut)
            world.call_later(for_s, lambda: world.cuts.remove(cut))
        if from_store and for_s > HEARTBEATS_S:
            unlisted_s = for_s - HEARTBEATS_S + HEARTBEAT_S
            world.call_later(
                HEARTBEATS_S, lambda: self.unlist_worker(name, unlisted_s)
            )

    def restart_worker(self, name: str, same_id: bool) -> None:
        """Ends a worker's life; another one begins at its address."""
        world, worker = self._world, self._world.workers[name]
        worker.crash()
        if same_id:
            return
        worker.up, worker.replaced = False, True
        worker.listed_until = world.now + HEARTBEATS_S
        world.add_worker(
            dataclasses.replace(worker.description, name=f"{name}+")
        )

    def unlist_worker(self, name: str, for_s: float) -> None:
        """Lets a worker be missing from the list."""
        unlisted = self._world.unlisted
        unlisted.add(name)
        self._world.call_later(for_s, lambda: unlisted.discard(name))

    def relist_worker(self, name: str, address: str) -> None:
        """Lists a worker at another address; the old one is silent."""
        worker = self._world.workers[name]
        worker.description = dataclasses.replace(
            worker.description, address=address
        )

    def pause_worker(self, name: str, for_s: float) -> None:
        """Lets a worker take in nothing for a while, and all of it then."""
        worker = self._world.workers[name]
        worker.paused_until = virtual_time.add(self._world.now, for_s)

    def slow_clock(self, name: str, factor: float = 1.02) -> None:
        """Lets a worker's clock be slow by a factor from now on."""
        worker = self._world.workers[name]
        passed_ms = worker.clock_ms() - 1
        worker.clock_rate = 1000 / factor
        worker.born_at = self._world.now - passed_ms / worker.clock_rate

    # The owner.

    def freeze_owner(self, for_s: float) -> None:
        """Lets the owner's process stand still; its clock goes on."""
        self._world.elections.enabled = True
        self._world.owner.freeze(for_s)

    def delay_thread(self, which: str, for_s: float) -> None:
        """Lets one of the owner's threads stand still.

        Args:
            which: "decisions" or "calls".
            for_s: For how long.
        """
        self._world.elections.enabled = True
        self._world.owner.stall(which, for_s)

    def cut_owner_from_store(self, for_s: float) -> None:
        """Cuts the owner off from the store; workers reach it."""
        owner = self._world.owner
        self._world.elections.enabled = True
        owner.hears_store = False

        def mend() -> None:
            owner.hears_store = True

        self._world.call_later(for_s, mend)

    def kill_owner(self) -> None:
        """Ends the owner; what it has sent is under way."""
        self._world.elections.enabled = True
        self._world.owner.stop()

    def restart_all_nodes(self) -> None:
        """Ends all owners; one of the new nodes claims the fleet."""
        self._world.elections.enabled = True
        for owner in self._world.owners:
            owner.stop()

    def terminate_owner(self) -> None:
        """Stops the owner as SIGTERM does: `handover.resign_and_leave`."""
        world, owner = self._world, self._world.owner
        world.elections.enabled = True
        until = world.now + real_node.LEAVE_ROTATION_S

        def wait() -> None:
            if owner.is_over():
                return
            unheard_s = world.now - owner.heard_at
            is_heard = unheard_s < handover.STORE_UNREACHABLE_S
            if is_heard or world.now >= until:
                hand_over(world, owner)
            else:
                world.call_later(
                    handover.POLL_S, lambda: owner.when_awake(wait)
                )

        owner.when_awake(wait)

    # The store.

    def stop_store(self, for_s: float) -> None:
        """Lets the store answer nobody."""
        world = self._world
        world.elections.enabled = True
        world.store_up = False

        def mend() -> None:
            world.store_up = True

        world.call_later(for_s, mend)

    def stale_reads(self, by_s: float, for_s: float) -> None:
        """Lets nodes read the list, and of claims, some time later."""
        world = self._world
        hear_s = world.elections.hear_s
        world.list_lag_s = world.elections.hear_s = by_s

        def mend() -> None:
            world.list_lag_s, world.elections.hear_s = 0.0, hear_s

        world.call_later(for_s, mend)

    def lapse_entries(self, for_s: float) -> None:
        """Lets the entries of all workers be gone for a while."""
        for name in self._world.workers:
            self.unlist_worker(name, for_s)


def hand_over(world: "fleets.World", owner: owners.Owner) -> None:
    """Extends leases, gives the fleet up and resigns, as `handover` does."""
    pollers = owner.pollers.list_all()
    left = len(pollers)
    is_over = False

    def finish() -> None:
        nonlocal is_over
        if is_over:
            return
        is_over = True
        owner.report_lost("leaving")
        _wait(world, owner, handover.RESIGN_WAIT_S, resign)

    def resign() -> None:
        world.call_later(
            world.append_s, lambda: world.elections.record_resignation(owner)
        )

    def count_done() -> None:
        nonlocal left
        left -= 1
        if not left:
            finish()

    owner.run_soon(
        lambda: [poller.extend_leases(count_done) for poller in pollers]
    )
    world.call_later(
        node_ownership.EXTEND_TIMEOUT_S, lambda: owner.when_awake(finish)
    )


def _wait(
    world: "fleets.World",
    owner: owners.Owner,
    seconds: float,
    done: Callable[[], None],
) -> None:
    """Waits until an owner is over, for some time at most."""
    until = virtual_time.add(world.now, seconds)

    def look() -> None:
        if owner.is_over() or world.now >= until:
            done()
        else:
            world.call_later(0.01, look)

    look()
