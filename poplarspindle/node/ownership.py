"""The owner's side of a node: appends, orders and looks at workers."""

import collections
import dataclasses
import threading
from collections.abc import Callable

import structlog

from poplarspindle import metrics, outcomes
from poplarspindle.fleet import (
    effects,
    events,
    lease_bounds,
    records,
    work,
    worker_state,
)
from poplarspindle.node import (
    appending,
    call_log,
    clocks,
    http_client,
    inventory,
    listing,
    order_window,
    pollers,
    ports,
    settings,
)

APPEND_TIMEOUT_S = (
    1.2  # An append to a slow store takes hundreds of milliseconds.
)
EXTEND_TIMEOUT_S = 0.4  # Workers answer in milliseconds; a stop must go on.

_log = structlog.get_logger(part="owner")


@dataclasses.dataclass(frozen=True, slots=True)
class OwnershipLost:
    """The ownership of an epoch is over."""

    epoch: int
    why: str


class Ownership:
    """Carries the owner's effects out while this node owns the fleet.

    Args:
        platform: What the node runs on.
        own_settings: The node's settings.
        counters: The node's figures.
        epoch: Epoch of the ownership.
        post: Takes events for the node's state.
        election_heard_at: Returns when the store last named this node as the
            one to own the fleet.
        wall_ms: Returns Unix time in milliseconds.
        claimed_at: When the claim that the store took was sent.
        follows_owner: Whether there may have been an owner before.
    """

    def __init__(
        self,
        platform: ports.Platform,
        own_settings: settings.Settings,
        counters: metrics.Metrics,
        epoch: int,
        post: Callable[[object], None],
        election_heard_at: Callable[[], float],
        wall_ms: Callable[[], int],
        claimed_at: float,
        follows_owner: bool = True,
    ) -> None:
        self._connect = platform.connect
        self.epoch = epoch
        self._post = post
        self._election_heard_at = election_heard_at
        self._claimed_at = claimed_at
        self.wall_ms = wall_ms
        self.lease_most_ms = own_settings.lease_most_ms
        # Earlier owners were refused by the store at some time before now.
        self.earlier_leases_end_at = (
            clocks.get_steady_s()
            + lease_bounds.find_next_wait_s(self.lease_most_ms)
            if follows_owner
            else float("-inf")
        )
        self.stop_event = threading.Event()
        self._http_client = http_client.HttpClient()
        self._pollers = pollers.Pollers(self, self._http_client.run_soon)
        self.order_window = order_window.OrderWindow()
        self._progress, self._shared, self._intake = (
            appending.Appender(
                name,
                append,
                own_settings.batch_most_bytes,
                self.stop_event,
                self.report_lost,
                counters,
            )
            for name, append in (
                (
                    "progress",
                    _append_fenced(platform, platform.progress_topic, epoch),
                ),
                (
                    "shared",
                    _append_fenced(platform, platform.fleet_topic, epoch),
                ),
                ("hand-ins", _append_by_partition(platform)),
            )
        )
        self._list = listing.Listing(
            platform.store,
            platform.workers_topic,
            platform.read_worker,
            lambda workers: self.post(
                events.WorkersListed(clocks.get_steady_s(), workers)
            ),
            self.post,
            self.stop_event,
            counters,
        )

        self._inventory = inventory.InventoryReader(
            platform.worker_inventory, self.post, self.stop_event
        )

    def start(self) -> None:
        """Starts all threads."""
        for component in (self._http_client, self._list, *self._appenders()):
            component.start()
        self._http_client.run_soon(
            lambda: call_log.start(
                self._http_client.run_later, self.order_window, self.now
            )
        )

    def _appenders(self) -> tuple[appending.Appender, ...]:
        return self._progress, self._shared, self._intake

    def connect(self, info: work.WorkerInfo):
        """Makes a client of a worker."""
        return self._connect(self._http_client, info)

    def now(self) -> float:
        """Returns the present time on this node's clock, seconds."""
        return clocks.get_steady_s()

    def run_later(self, delay_s: float, job: Callable[[], None]):
        """Runs a function later on the calls' thread."""
        return self._http_client.run_later(delay_s, job)

    def store_confirmed_at(self) -> float:
        """Returns since when another node may have claimed the fleet.

        The store took an append of this epoch that was sent then.
        """
        return max(
            self._claimed_at,
            self._progress.confirmed_at,
            self._shared.confirmed_at,
        )

    def store_heard_at(self) -> float:
        """Returns when the store last answered this owner."""
        return max(
            self._election_heard_at(),
            self._progress.last_append_at,
            self._shared.last_append_at,
        )

    def post(self, event: object) -> None:
        """Hands an event over, unless this ownership is over.

        The same node may own the fleet again: answers to an earlier epoch's
        looks and appends must not be taken for the present one's.
        """
        if not self.stop_event.is_set():
            self._post(event)

    def stop(self) -> None:
        """Ends all threads; orders not yet sent are dropped."""
        self.stop_event.set()
        for appender in self._appenders():
            appender.stop()
        self._http_client.stop()

    def extend_leases(self) -> None:
        """Has all workers keep their runs while ownership changes hands."""
        began = clocks.get_steady_s()
        extended = threading.Semaphore(0)
        told = self._pollers.list_all()

        def extend() -> None:
            for poller in told:
                poller.extend_leases(extended.release)

        self._http_client.run_soon(extend)
        left = len(told)
        while left and extended.acquire(
            timeout=max(0.0, began + EXTEND_TIMEOUT_S - clocks.get_steady_s())
        ):
            left -= 1
        _log.info(
            "leases-extended",
            about="ownership",
            epoch=self.epoch,
            left=left,
            took_ms=int((clocks.get_steady_s() - began) * 1000),
        )

    def report_lost(self, why: str) -> None:
        """Notes that another owner was seen."""
        self.post(OwnershipLost(self.epoch, why))

    def execute(self, effect: effects.Effect) -> None:
        """Carries one effect out, on other threads; orders with `flush`."""
        if isinstance(effect, effects.Append):
            self._progress.put(
                effect.records,
                lambda at: self.post(events.Appended(at, effect.number)),
            )
        elif isinstance(effect, effects.Publish):
            self._shared.put(
                effect.records,
                (lambda at: self.post(events.Published(at)))
                if effect.has_unreachable
                else None,
            )
        elif isinstance(effect, effects.ReadInventory):
            self._inventory.ask()
        elif isinstance(effect, effects.Drop):
            self._drop(effect.jobs)
        elif isinstance(
            effect,
            effects.Order | effects.AllowLeases | effects.Acknowledge,
        ):
            self._pollers.execute(effect)

    def _drop(self, jobs: tuple[str, ...]) -> None:
        """Drops ended jobs: a job without its progress would begin anew."""

        def drop_rest(_: float) -> None:
            self._progress.put(map(records.make_progress_deletion, jobs))
            self._shared.put(map(records.make_state_deletion, jobs))

        self._intake.put(
            [
                record
                for job in jobs
                for record in records.make_intake_deletions(job)
            ],
            drop_rest,
        )

    def compute_order_room(self) -> int:
        """Returns how many more orders this owner can send soon.

        Load pattern: the calls' thread is late. What it has not taken in yet
        waits as well.
        """
        return order_window.compute_room(
            self.order_window.limit,
            self.order_window.waiting + self._pollers.count_unsent(),
            self._progress.last_append_s,
        )

    def flush(self) -> None:
        """Sends the orders of a batch."""
        self._pollers.flush()

    def update_pollers(
        self, workers: dict[str, worker_state.WorkerState]
    ) -> None:
        """Watches every worker that is listed or still holds runs."""
        self._pollers.update(workers)


def _append_fenced(
    platform: ports.Platform, topic: str, epoch: int
) -> appending.Append:
    """Makes appends that the store refuses once there is a later owner."""

    def append(batch, sequence):
        return platform.store.append(
            batch, APPEND_TIMEOUT_S, epoch, sequence, topic
        )

    return append


def _append_by_partition(platform: ports.Platform) -> appending.Append:
    """Makes appends to the hand-ins, each record to its job's part."""

    def append(batch, sequence):
        partitions = collections.defaultdict(list)
        for record in batch:
            job = record.key.partition("/")[2]
            partition = records.choose_partition(job, platform.partitions)
            partitions[partition].append(record)
        answer: outcomes.Ok[int] | outcomes.Failed = outcomes.Ok(0)
        for partition, rows in partitions.items():
            answer = platform.store.append(
                rows,
                APPEND_TIMEOUT_S,
                topic=platform.intake_topic,
                partition=partition,
            )
            if isinstance(answer, outcomes.Failed):
                break
        return answer

    return append
