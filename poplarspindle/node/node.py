"""The node: one thread owns its state, threads around it do input, output."""

import contextlib
import dataclasses
import queue
import time
import uuid
from collections.abc import Callable

import structlog

from poplarspindle import http_server, metrics
from poplarspindle.fleet import (
    admission,
    away_history,
    effects,
    events,
    fitness,
    fleet_state,
    recording,
    records,
    reducer,
)
from poplarspindle.node import (
    call_handlers,
    claims,
    clocks,
    decision_log,
    election,
    followers,
    group_commit,
    handover,
    intake,
    ownership,
    ports,
    settings,
    shared_state,
    storage,
    threads,
)

CALLER_THREADS = 24
TICK_S = 0.05
BATCH_EVENTS = 200
FOLLOW_PAUSE_S = 0.25  # Each read is priced; states may be shown as late.
LEAVE_ROTATION_S = 2.5
PLACE_SHARE = 3  # For each second of placing, so many for what comes in.
SETTLE_INTERVAL_S = 0.004  # Under load, decisions are made for many events.

OWNER_KEYS = frozenset({records.OWNER_KEY, admission.LOAD_KEY})

_log = structlog.get_logger(part="node")


@dataclasses.dataclass(frozen=True, slots=True)
class _SharedLogReloaded:
    """All newest records of the shared log, and where more follows."""

    items: tuple[records.Record, ...]
    end: int = storage.ANY_END


@dataclasses.dataclass(frozen=True, slots=True)
class _SharedLogRead:
    """Records of a page of the shared log, and the offset behind them."""

    items: tuple[records.Record, ...]
    at_tail: bool
    end: int = storage.ANY_END


@dataclasses.dataclass(frozen=True, slots=True)
class _IntakeAccepted:
    """Hand-ins of this node's callers that are in the log."""

    items: tuple[records.Record, ...]


class Node:
    """One node.

    Args:
        own_settings: Its settings.
        platform: What it runs on.
        counters: Its counters.
    """

    def __init__(
        self,
        own_settings: settings.Settings,
        platform: ports.Platform,
        counters: metrics.Metrics,
    ) -> None:
        self._settings = own_settings
        self._platform = platform
        self._counters = counters
        self.incarnation = f"{own_settings.node}-{uuid.uuid4().hex[:8]}"
        self._events: queue.SimpleQueue = queue.SimpleQueue()
        self._shared_state = shared_state.SharedState()
        self._fleet: fleet_state.FleetState | None = None
        self._ownership: ownership.Ownership | None = None
        self._queue_emptied_at = float("-inf")
        self._reset_due = False  # Pages on their way do not make up for it.
        self._stepping_down = False
        self._owned_epoch = 0
        self._election = election.Election(
            platform.store,
            self.incarnation,
            max(1000, own_settings.member_ttl_least_ms),
            clocks.get_wall_ms,
            fitness.rate_machine(
                own_settings.processors,
                own_settings.link_mbps,
                own_settings.memory_mb,
            ),
        )
        self._intake_writer = group_commit.IntakeWriter(
            platform,
            lambda items: self._events.put(_IntakeAccepted(tuple(items))),
        )
        self._shared = followers.Follower(
            platform.store,
            platform.fleet_topic,
            lambda items, end: self._events.put(_SharedLogReloaded(items, end)),
            lambda items, end, tail: self._events.put(
                _SharedLogRead(items, tail, end)
            ),
            lambda: (
                0.0
                if self._election.is_owner or self._election.preparing_epoch
                else FOLLOW_PAUSE_S
            ),
        )
        self._operators = followers.Follower(
            platform.store,
            platform.operators_topic,
            lambda items, _: self._reset_operator_commands(items),
            lambda items, *_: self._apply_operator_commands(items),
            lambda: 0.0,
        )
        self.call_handlers = call_handlers.CallHandlers(
            platform,
            counters,
            self._shared_state,
            self._intake_writer,
            self._shared,
            lambda: self._election.owner_seen_at,
            self._get_epoch,
        )
        self._servers = [
            http_server.Server(
                own_settings.callers_address,
                self.call_handlers.handle,
                CALLER_THREADS,
                count=self.call_handlers.count_refused,
            ),
            http_server.Server(
                own_settings.readiness_address,
                self.call_handlers.handle_readiness,
                2,
            ),
        ]

    def start(self) -> None:
        """Starts all threads and servers."""
        threads.start(self._run)
        self._shared.start()
        self._operators.start()
        self._election.start()
        for server in self._servers:
            server.start()
        _log.info(
            "started",
            incarnation=self.incarnation,
            parts=self._platform.partitions,
        )

    def reload(self, read: Callable[[], settings.Settings]) -> None:
        """Takes changed settings over; bad ones are logged and not taken.

        Args:
            read: Reads the settings; raises OSError or ValueError.
        """
        try:
            changed_settings = read()
        except (OSError, ValueError) as error:
            _log.warning("settings-refused", why=str(error))
            return
        before, self._settings = self._settings, changed_settings
        if changed_settings == before:
            return
        changed = [
            field.name
            for field in dataclasses.fields(changed_settings)
            if getattr(changed_settings, field.name)
            != getattr(before, field.name)
        ]
        _log.info("reloaded", changed=changed)
        if changed_settings.store_address != before.store_address:
            self._platform.store.move(changed_settings.store_address)
        address = changed_settings.inventory_address
        inventory = self._platform.worker_inventory
        if inventory is not None and address != before.inventory_address:
            inventory.move(address)

    def stop(self) -> None:
        """Leaves rotation, hands ownership over, finishes what is answered."""
        _log.info("stopping", owning=self._election.is_owner)
        self._shared_state.leaving = True
        rotated_at = clocks.get_steady_s()
        rotated_at += min(LEAVE_ROTATION_S, self._settings.leave_s / 2)
        self._hand_over(rotated_at)
        time.sleep(max(0.0, rotated_at - clocks.get_steady_s()))
        for server in self._servers:
            server.stop()
        _log.info("stopped")

    def _get_epoch(self) -> int:
        claim = self._election.owner
        return claim.epoch if claim else 0

    def _hand_over(self, until: float) -> None:
        handover.resign_and_leave(
            self._ownership, self._election, self._events.put, until
        )

    # State thread.

    def _run(self) -> None:
        while True:
            self._handle_or_reload(self._next_events())

    def _handle_or_reload(self, batch: list) -> None:
        try:
            self._handle_batch(batch)
        except Exception:
            # Part of the batch is lost: what is known is read anew.
            self._shared_state.loaded = self._election.eligible = False
            self._election.preparing_epoch = 0
            self._reset_due = True
            self._shared.reload()
            _log.exception("state-failed", events=len(batch))
            self._end_ownership("state-failed")
            self._election.withdraw()

    def _next_events(self) -> list:
        batch = []
        if self._fleet is not None:
            pause_s = (
                self._settled_at + SETTLE_INTERVAL_S - clocks.get_steady_s()
            )
            if pause_s > 0:
                time.sleep(pause_s)
        with contextlib.suppress(queue.Empty):
            timeout = TICK_S if self._fleet else None
            batch.append(self._events.get(timeout=timeout))
        while len(batch) < BATCH_EVENTS:
            at = clocks.get_steady_s()
            try:
                batch.append(self._events.get_nowait())
            except queue.Empty:
                self._queue_emptied_at = at
                break
        return batch

    def _handle_batch(self, batch: list) -> None:
        for event in batch:
            self._handle_event(event)
        if self._fleet is None:
            return
        now, wall_ms = clocks.get_steady_s(), clocks.get_wall_ms()
        event_times = [event.at for event in batch if hasattr(event, "at")]
        if event_times or not batch:
            self._check_lateness(event_times[0] if event_times else now)
        # Renewals of leases may wait by now: only up to here is all taken in.
        caught_up_at = max([self._queue_emptied_at, *event_times])
        if caught_up_at - self._ticked_at >= TICK_S:
            self._ticked_at = caught_up_at
            self._reduce(events.Ticked(caught_up_at, wall_ms))
            decision_log.set_gauges(
                self._counters,
                self._fleet.away.room,
                self._fleet.failing.excluded_millicores,
            )
            self._ownership.update_pollers(self._fleet.workers)
        self._fleet.now, self._fleet.wall_ms = now, wall_ms
        self._fleet.order_room = self._ownership.compute_order_room()
        if now >= self._place_after:
            began = clocks.get_steady_s()
            self._execute(reducer.settle(self._fleet))
            took_s = clocks.get_steady_s() - began
            self._place_after = now + PLACE_SHARE * took_s
        else:
            self._execute(recording.flush(self._fleet))
        self._ownership.flush()
        self._settled_at = clocks.get_steady_s()

    def _check_lateness(self, oldest_at: float) -> None:
        now = clocks.get_steady_s()
        if self._lateness.record(now - oldest_at, now):
            self._step_down("overrun")

    def _step_down(self, why: str) -> None:
        """Gives the fleet to another node, on a thread of its own."""
        if self._stepping_down or self._shared_state.leaving:
            return
        self._stepping_down = True
        held_ownership = self._ownership

        def hand_over() -> None:
            try:
                handover.step_down(
                    held_ownership, self._election, self._events.put, why
                )
            finally:
                self._stepping_down = False

        threads.start(hand_over, held_ownership.stop_event)

    def _handle_event(self, event: object) -> None:
        if isinstance(event, events.OrderAnswered):
            self._counters.observe(
                "poplarspindle_order_seconds",
                type(event.order).__name__.lower(),
                event.at - event.sent_at,
            )
        if isinstance(event, _SharedLogReloaded):
            self._reload_shared_state(event)
        elif isinstance(event, _SharedLogRead):
            self._read_shared(event)
        elif isinstance(event, _IntakeAccepted):
            for record in event.items:
                shared_state.record_accepted(self._shared_state, record)
        elif isinstance(event, intake.IntakeBatch):
            self._apply_intake(event)
        elif isinstance(event, claims.PreparedClaim):
            self._become_owner(event)
        elif isinstance(event, ownership.OwnershipLost):
            if self._fleet and event.epoch in (0, self._fleet.epoch):
                self._end_ownership(event.why)
        elif self._fleet is not None:
            self._reduce(event)
            if isinstance(event, events.WorkersListed):
                self._ownership.update_pollers(self._fleet.workers)

    def _reduce(self, event: events.Event) -> None:
        self._execute(reducer.reduce(self._fleet, event))

    def _execute(self, effect_list: list) -> None:
        for effect in effect_list:
            if isinstance(effect, effects.Note):
                decision_log.write(self._counters, effect)
            else:
                self._ownership.execute(effect)

    def _reload_shared_state(self, event: _SharedLogReloaded) -> None:
        self._reset_due = False
        self._shared_state.loaded = False
        self._election.eligible = False
        shared_state.remove_missing_jobs(self._shared_state, event.items)
        # Callers' threads look on: no job that the offsets cover may miss.
        for record in sorted(
            event.items,
            key=lambda record: record.key == records.INTAKE_OFFSETS_KEY,
        ):
            self._apply(record)
        # It may be old; the owner repeats it while work waits.
        self._shared_state.start_delays = None
        self._election.log_end = event.end
        self._election.owner_seen_at, self._election.owner_active = (
            shared_state.find_owner_seen_at(
                self._shared_state,
                self._election.owner,
                clocks.get_steady_s(),
                clocks.get_wall_ms(),
            )
        )
        _log.info(
            "loaded",
            records=len(event.items),
            jobs=len(self._shared_state.published_jobs),
        )

    def _read_shared(self, event: _SharedLogRead) -> None:
        for record in event.items:
            self._apply(record)
            if record.key in OWNER_KEYS:
                self._election.owner_seen_at = clocks.get_steady_s()
                self._election.owner_active = record.key == admission.LOAD_KEY
        self._election.log_end = event.end
        if event.at_tail and not self._reset_due:
            self._shared_state.loaded = True
            self._election.eligible = (
                self._shared_state.configuration is not None
            )

    def _apply(self, record: records.Record) -> None:
        try:
            if record.key == records.OWNER_KEY:
                self._read_owner(record)
            elif record.key == records.RESIGNED_KEY:
                epoch = records.decode_resignation(record.value)
                self._election.record_resignation(epoch)
            elif record.key == fitness.BEST_FITNESS_KEY:
                self._election.best_fitness = fitness.decode_best_fitness(
                    record.value
                )
            elif record.key == fitness.CANDIDATE_KEY:
                self._consider_candidate(fitness.decode_candidate(record.value))
            else:
                shared_state.apply_record(
                    self._shared_state, record, clocks.get_steady_s()
                )
        except records.DECODE_ERRORS as error:
            self._record_malformed(record.key, repr(error))

    def _record_malformed(self, key: str, why: str) -> None:
        self._counters.add("poplarspindle_records_total", "malformed")
        _log.warning("malformed", key=key, why=why)

    def _apply_intake(self, event: intake.IntakeBatch) -> None:
        """Takes in what callers handed in at all nodes."""
        fleet = self._fleet
        if fleet is None or event.epoch != fleet.epoch:
            return
        now, wall_ms = clocks.get_steady_s(), clocks.get_wall_ms()
        for event_or_fault in intake.apply_batch(
            fleet.job_store, event, now, wall_ms
        ):
            if isinstance(event_or_fault, intake.Malformed):
                self._record_malformed(event_or_fault.key, event_or_fault.why)
            else:
                self._reduce(event_or_fault)

    def _consider_candidate(self, candidate: fitness.Candidate) -> None:
        if (
            self._fleet is not None
            and candidate.instance != self.incarnation
            and fitness.is_better(candidate.fitness, self._election.fitness)
        ):
            self._step_down("better-candidate")

    def _read_owner(self, record: records.Record) -> None:
        if not record.value:
            return
        claim = records.decode_owner(record.value)
        if self._election.owner and claim.epoch < self._election.owner.epoch:
            return
        self._election.owner = claim
        if claim.instance == self.incarnation:
            if (
                self._fleet is None
                and self._election.preparing_epoch < claim.epoch
                and self._owned_epoch < claim.epoch
            ):
                self._election.preparing_epoch = claim.epoch
                threads.start(lambda: self._prepare(claim))
        elif self._fleet is not None:
            self._end_ownership("other-owner")

    def _prepare(self, claim: records.Owner) -> None:
        def is_wanted() -> bool:
            return (
                self._election.owner is claim and not self._shared_state.leaving
            )

        prepared = claims.prepare(self._platform, claim, is_wanted)
        if prepared is not None:
            self._events.put(prepared)
        elif self._election.preparing_epoch == claim.epoch:
            self._election.preparing_epoch = 0

    def _become_owner(self, prepared: claims.PreparedClaim) -> None:
        """Begins to own the fleet, unless the claim was lost meanwhile."""
        if self._election.preparing_epoch == prepared.epoch:
            self._election.preparing_epoch = 0
        claim = self._election.owner
        if (
            self._fleet is not None
            or self._shared_state.leaving
            or claim is None
            or claim.instance != self.incarnation
            or claim.epoch != prepared.epoch
        ):
            return
        now = clocks.get_steady_s()
        self._fleet, drops, malformed = claims.make_fleet(
            prepared, self._settings, now
        )
        for key in malformed:
            self._record_malformed(key, "takeover")
        self._ticked_at = self._settled_at = self._place_after = now
        self._lateness = fitness.Lateness(now)
        self._ownership = ownership.Ownership(
            self._platform,
            self._settings,
            self._counters,
            prepared.epoch,
            self._events.put,
            lambda: self._election.store_heard_at,
            clocks.get_wall_ms,
            prepared.confirmed_at,
            self._election.epoch_before_claim > 0,
        )
        self._ownership.start()
        # Numbers of appends begin anew: the store would take another
        # ownership's for repeats of these.
        self._owned_epoch = prepared.epoch
        self._election.is_owner = True
        if drops:
            self._ownership.execute(effects.Append(0, tuple(drops)))
        self._reduce(
            events.Claimed(
                now,
                clocks.get_wall_ms(),
                prepared.epoch,
                self._shared_state.unreachable,
                self._shared_state.published_jobs,
                prepared.end_offsets,
            )
        )
        if self._shared_state.configuration is not None:
            self._reduce(
                events.Configured(
                    now,
                    self._shared_state.configuration,
                    self._shared_state.evacuated,
                )
            )
        intake.start_followers(
            self._platform,
            prepared,
            self._ownership.stop_event,
            self._events.put,
        )

    def _end_ownership(self, why: str) -> None:
        if self._fleet is None:
            return
        _log.info(
            "gave-up", about="ownership", why=why, epoch=self._fleet.epoch
        )
        self._fleet = None
        decision_log.set_gauges(self._counters, away_history.ReportedRoom())
        if self._ownership is not None:  # None where its making failed.
            self._ownership.stop()
        self._ownership = None
        self._election.is_owner = False

    # What operators write.

    def _reset_operator_commands(
        self, items: tuple[records.Record, ...]
    ) -> None:
        self._shared_state.evacuated = frozenset()
        self._apply_operator_commands(items)

    def _apply_operator_commands(
        self, items: tuple[records.Record, ...]
    ) -> None:
        shared_state.apply_operator_commands(
            self._shared_state, self._platform.read_operator_command, items
        )
        if items and self._shared_state.configuration is not None:
            self._election.eligible = self._shared_state.loaded
            self._events.put(
                events.Configured(
                    clocks.get_steady_s(),
                    self._shared_state.configuration,
                    self._shared_state.evacuated,
                )
            )
