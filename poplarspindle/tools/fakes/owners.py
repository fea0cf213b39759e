"""An owner of the virtual fleet: the real reducer and the real pollers.

Its two threads are two queues in virtual time: the one that decides handles
events, the one that carries calls sends, reads answers and runs timers. Each
may stand still while the other one goes on.
"""

import collections
import threading
import typing
from collections.abc import Callable, Iterable

from poplarspindle.fleet import (
    effects,
    events,
    fitness,
    fleet_state,
    lease_bounds,
    reducer,
    work,
)
from poplarspindle.node import node, order_window, pollers
from poplarspindle.tools.fakes import (
    messages,
    network,
    virtual_store,
    virtual_time,
    worker_list,
)

if typing.TYPE_CHECKING:
    from poplarspindle.tools.fakes import fleets

DECISIONS, CALLS = "decisions", "calls"


class Owner:
    """One owner; implements `worker_ports.Ownership` in virtual time.

    Args:
        world: The virtual fleet.
        epoch: Its epoch.
        fleet: The state that it begins with.
        confirmed_at: When the claim was sent that the store took.

    Attributes:
        fleet: Its state.
        order_window: How many orders it has in flight.
        pollers: Its pollers.
        node: Number of its node; each owner is on another one.
        confirmed_at: When the store last confirmed its ownership.
        heard_at: When it last read an answer of the store.
        hears_store: Whether the store is in its reach.
        worker_list: What it has read of the list.
    """

    def __init__(
        self,
        world: "fleets.World",
        epoch: int,
        fleet: fleet_state.FleetState,
        confirmed_at: float,
    ) -> None:
        self._world = world
        self.epoch = epoch
        self.fleet = fleet
        self.lease_most_ms = world.lease_most_ms
        self.earlier_leases_end_at = float("-inf")
        if world.owners:
            self.earlier_leases_end_at = (
                world.now + lease_bounds.find_next_wait_s(world.lease_most_ms)
            )
        self.stop_event = threading.Event()
        self.order_window = order_window.OrderWindow(self.now)
        self.pollers = pollers.Pollers(self, self.run_soon)
        self.node = len(world.owners)
        self.confirmed_at = confirmed_at
        self.heard_at = world.now
        self.hears_store = True
        self.worker_list = worker_list.WorkerList()
        self._last_append_s = 0.0
        self._frozen_until = world.now
        self._lateness = fitness.Lateness(world.now)
        self._progress, self._shared = (
            virtual_store.Appender(world, self, topic)
            for topic in (virtual_store.PROGRESS, virtual_store.SHARED)
        )
        self._stalled_until = {DECISIONS: world.now, CALLS: world.now}
        self._events: collections.deque = collections.deque()
        self._is_due = False
        # What waits for the calls' thread: answers that arrived, and the rest.
        self._answers: collections.deque = collections.deque()
        self._jobs: collections.deque = collections.deque()
        self._held_back: dict[str, list] = {}

    # Its threads.

    def is_over(self) -> bool:
        """Tells whether it owns the fleet no more."""
        return self.stop_event.is_set()

    def is_stalled(self, thread: str) -> bool:
        """Tells whether one of its threads stands still."""
        return self._world.now < self._stalled_until[thread]

    def stall(self, thread: str, seconds: float) -> None:
        """Lets one of its threads stand still."""
        until = virtual_time.add(self.now(), seconds)
        until = max(self._stalled_until[thread], until)
        self._stalled_until[thread] = until
        wake = self._handle_events if thread == DECISIONS else self._run_calls
        self._world.call_later(until - self._world.now, wake)

    def is_frozen(self) -> bool:
        """Tells whether its process stands still."""
        return self._world.now < self._frozen_until

    def freeze(self, seconds: float) -> None:
        """Lets its process stand still."""
        until = max(self._frozen_until, virtual_time.add(self.now(), seconds))
        self._frozen_until = until
        self.stall(DECISIONS, seconds)
        self.stall(CALLS, seconds)

    def is_disturbed(self) -> bool:
        """Tells whether it stands still, is behind, or has lost the store."""
        return (
            not self.hears_store
            or bool(self._held_back)
            or any(map(self.is_stalled, self._stalled_until))
        )

    def when_awake(self, job: Callable[[], None]) -> None:
        """Runs a function now, or when its process goes on."""
        if self.is_frozen():
            self._world.call_later(
                self._frozen_until - self._world.now,
                lambda: self.when_awake(job),
            )
        else:
            job()

    def run_soon(self, job: Callable[[], None]) -> None:
        """Runs a function on the thread that carries the calls."""
        self._jobs.append(job)
        self._world.call_later(0.0, self._run_calls)

    def run_later(
        self, delay_s: float, job: Callable[[], None]
    ) -> virtual_time.Timer:
        """Runs a function later on the thread that carries the calls."""
        timer = virtual_time.Timer(job)

        def run() -> None:
            if timer.call is not None:
                timer.call()

        def queue() -> None:
            if timer.call is not None:
                self._jobs.append(run)
                self._run_calls()

        self._world.call_later(delay_s, queue)
        return timer

    def read_answer(self, read: Callable[[], None]) -> None:
        """Reads an answer that arrived, on the thread that carries the calls.

        Answers that arrived while it stood still come before timers.
        """
        self._answers.append(read)
        self._run_calls()

    def _run_calls(self) -> None:
        while not self.is_stalled(CALLS) and not self.is_over():
            if self._answers:
                self._answers.popleft()()
            elif self._jobs:
                self._jobs.popleft()()
            else:
                return

    def post(self, event: object) -> None:
        """Hands an event to the thread that decides."""
        if self.is_over():
            return
        if isinstance(event, events.Reported):
            self._world.mark_reported(self, event)
        if self._world.delays_answer(event):
            self._world.call_later(
                self._world.order_s, lambda: self._queue_event(event)
            )
        else:
            self._queue_event(event)

    def _queue_event(self, event: object) -> None:
        name = getattr(event, "worker_name", None)
        if name in self._held_back:
            self._held_back[name].append(event)
            return
        self._events.append(event)
        if not self._is_due:
            self._is_due = True
            self._world.call_later(0.0, self._handle_events)

    def hold_back(self, worker: str) -> None:
        """Keeps all events that come from a worker."""
        self._held_back.setdefault(worker, [])

    def catch_up(self, worker: str) -> None:
        """Hands over what was kept, in its order."""
        self._events.extend(self._held_back.pop(worker, ()))
        self._handle_events()

    def is_behind(self, worker: str) -> bool:
        """Tells whether events that come from a worker wait to be handled."""
        return worker in self._held_back or any(
            getattr(event, "worker_name", None) == worker
            for event in self._events
        )

    def _handle_events(self) -> None:
        self._is_due = False
        if self.is_stalled(DECISIONS):
            return
        if self._events:
            self._check_lateness(self._events[0])
        while self._events and not self.is_over():
            for _ in range(min(node.BATCH_EVENTS, len(self._events))):
                self._handle_event(self._events.popleft())
            self.settle()

    def _check_lateness(self, event: object) -> None:
        """Resigns where events were handled too late for a while."""
        at = getattr(event, "at", self.now())
        if self._lateness.record(self.now() - at, self.now()):
            self._world.step_down(self)

    def _handle_event(self, event: object) -> None:
        if self.is_over():
            return
        if callable(event):
            event()
            return
        self.reduce(event)
        if isinstance(event, events.WorkersListed):
            self.pollers.update(self.fleet.workers)

    # Decisions.

    def tick(self) -> None:
        """Lets decisions that depend on the time be made."""
        if self.is_over() or self.is_stalled(DECISIONS):
            return
        self._handle_events()
        if self.is_over():
            return
        self.reduce(events.Ticked(self.now(), self.wall_ms()))
        self.pollers.update(self.fleet.workers)
        self.settle()

    def reduce(self, event: events.Event) -> None:
        """Handles one event."""
        effect_list = reducer.reduce(self.fleet, event)
        if isinstance(event, events.Reported):
            self._world.checker.record_report(self.fleet, event)
        worker = getattr(event, "worker_name", None)
        if worker is not None:
            self._world.invariants.note_changed(worker)
        self._execute(effect_list)

    def settle(self) -> None:
        """Makes the decisions that several events call for."""
        if self.is_over():
            return
        fleet = self.fleet
        fleet.now, fleet.wall_ms = self.now(), self.wall_ms()
        fleet.order_room = order_window.compute_room(
            self.order_window.limit,
            self.order_window.waiting + self.pollers.count_unsent(),
            self._last_append_s,
        )
        self._execute(reducer.settle(fleet))
        if self.pollers.count_unsent():
            self._world.call_later(self._world.order_s, self.pollers.flush)

    def _execute(self, effect_list: list[effects.Effect]) -> None:
        world = self._world
        for effect in effect_list:
            if isinstance(effect, effects.Note):
                world.notes[effect.event] += 1
                world.on_note(effect)
            elif isinstance(effect, effects.Append):
                self._append(effect)
            elif isinstance(effect, effects.Publish):
                published = self._report_published
                self._shared.put(
                    effect.records,
                    published if effect.has_unreachable else None,
                )
            elif isinstance(effect, effects.ReadInventory):
                world.read_inventory(self)
            elif isinstance(effect, effects.Order):
                self.pollers.execute(world.checker.judge(self.epoch, effect))
            elif isinstance(effect, effects.AllowLeases | effects.Acknowledge):
                self._note_recorded(effect)
                self.pollers.execute(effect)

    def _append(self, effect: effects.Append) -> None:
        def report() -> None:
            self.post(events.Appended(self.now(), effect.number))
            self.post(lambda: self._world.note_completed(self))

        self._progress.put(effect.records, report)

    def _report_published(self) -> None:
        self.post(events.Published(self.now()))

    def record_append(self, began: float) -> None:
        """Notes that the store took an append that was sent at a time."""
        self.confirmed_at = max(self.confirmed_at, began)
        self.heard_at = self.now()
        self._last_append_s = self.now() - began

    def hand_in(self, take_in: Callable[[], events.Event]) -> None:
        """Takes in what callers handed in, at once if it can."""

        def handle() -> None:
            self.reduce(take_in())

        if self.is_stalled(DECISIONS):
            self._queue_event(handle)
        else:
            handle()
            self.settle()

    def read_list(
        self, listed: Iterable[work.WorkerInfo], store_up: bool
    ) -> None:
        """Reads the list of workers, unless its process stands still."""
        if self.is_over() or self.is_frozen():
            return
        for event in self.worker_list.read(
            self.now(), listed, store_up and self.hears_store
        ):
            self.post(event)

    def _note_recorded(
        self, effect: effects.AllowLeases | effects.Acknowledge
    ) -> None:
        if isinstance(effect, effects.Acknowledge):
            self._world.note_moment(
                messages.MomentKind.END_RECORDED,
                effect.worker_name,
                str(effect.number),
            )

    # What its pollers ask.

    def connect(self, info: work.WorkerInfo) -> network.Client:
        """Makes a client of a worker."""
        return network.Client(self._world.network, self, info)

    def now(self) -> float:
        """Returns the present time, seconds."""
        return self._world.now

    def wall_ms(self) -> int:
        """Returns Unix time in milliseconds."""
        return self._world.wall_ms()

    def store_confirmed_at(self) -> float:
        """Returns when the store last confirmed the ownership."""
        return self.confirmed_at

    def report_lost(self, why: str) -> None:
        """Ends the ownership, as another owner was seen."""
        self.post(lambda: self._world.end_owner(self))

    def stop(self) -> None:
        """Ends both threads; what is under way to workers goes on."""
        self.stop_event.set()
