"""The node: one thread owns its state, threads around it do input, output."""

import contextlib
import dataclasses
import queue
import time
import uuid
from collections.abc import Callable

import structlog

from poplarspindle import metrics, serving
from poplarspindle.fleet import (
    admission,
    effects,
    events,
    fitness,
    fleet_state,
    recording,
    records,
    reducer,
)
from poplarspindle.node import (
    claims,
    clocks,
    commits,
    desk,
    followers,
    handover,
    intake,
    known,
    notes,
    owning,
    ports,
    settings,
    standing,
    threads,
)

CALLER_THREADS = 24
TICK_S = 0.05
BATCH_EVENTS = 200
FOLLOW_PAUSE_S = 0.25  # Each read is priced; states may be shown as late.
LEAVE_ROTATION_S = 2.5
PLACE_SHARE = 3  # For each second of placing, so many for what comes in.
SETTLE_EVERY_S = 0.004  # Under load, decisions are made for many events.

OWNERS_KEYS = frozenset({records.OWNER_KEY, admission.LOAD_KEY})

_log = structlog.get_logger(part="node")


@dataclasses.dataclass(frozen=True, slots=True)
class _Reset:
    """All newest records of the shared log, and where more follows."""

    found: tuple[records.Record, ...]


@dataclasses.dataclass(frozen=True, slots=True)
class _Read:
    """Records of a page of the shared log."""

    found: tuple[records.Record, ...]
    at_tail: bool


@dataclasses.dataclass(frozen=True, slots=True)
class _Taken:
    """Hand-ins of this node's callers that are in the log."""

    found: tuple[records.Record, ...]


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
        self._known = known.Known()
        self._fleet: fleet_state.FleetState | None = None
        self._owning: owning.Owning | None = None
        self._emptied_at = float("-inf")
        self._reset_due = False  # Pages on their way do not make up for it.
        self._stepping_down = False
        self._standing = standing.Standing(
            platform.store,
            self.incarnation,
            max(1000, own_settings.member_ttl_least_ms),
            clocks.tell_wall_ms,
            fitness.rate(
                own_settings.processors,
                own_settings.link_mbps,
                own_settings.memory_mb,
            ),
        )
        self._commits = commits.HandIns(
            platform, lambda found: self._events.put(_Taken(tuple(found)))
        )
        self._shared = followers.Follower(
            platform.store,
            platform.fleet_topic,
            lambda found, _: self._events.put(_Reset(found)),
            lambda found, _, tail: self._events.put(_Read(found, tail)),
            lambda: (
                0.0
                if self._standing.owning or self._standing.preparing
                else FOLLOW_PAUSE_S
            ),
        )
        self._operators = followers.Follower(
            platform.store,
            platform.operators_topic,
            lambda found, _: self._reset_wishes(found),
            lambda found, *_: self._take_wishes(found),
            lambda: 0.0,
        )
        self.desk = desk.Desk(
            platform,
            counters,
            self._known,
            self._commits,
            self._shared,
            lambda: self._standing.heard_at,
            self._tell_epoch,
        )
        self._servers = [
            serving.Server(
                own_settings.callers_address,
                self.desk.handle,
                CALLER_THREADS,
                count=self.desk.count_refused,
            ),
            serving.Server(
                own_settings.readiness_address, self.desk.tell_readiness, 2
            ),
        ]

    def start(self) -> None:
        """Starts all threads and servers."""
        threads.start(self._run)
        self._shared.start()
        self._operators.start()
        self._standing.start()
        for server in self._servers:
            server.start()
        _log.info(
            "started",
            incarnation=self.incarnation,
            parts=self._platform.parts,
        )

    def reload(self, read: Callable[[], settings.Settings]) -> None:
        """Takes changed settings over; bad ones are logged and not taken.

        Args:
            read: Reads the settings; raises OSError or ValueError.
        """
        try:
            found = read()
        except (OSError, ValueError) as error:
            _log.warning("settings-refused", why=str(error))
            return
        before, self._settings = self._settings, found
        if found == before:
            return
        changed = [
            field.name
            for field in dataclasses.fields(found)
            if getattr(found, field.name) != getattr(before, field.name)
        ]
        _log.info("reloaded", changed=changed)
        if found.store_address != before.store_address:
            self._platform.store.move(found.store_address)

    def stop(self) -> None:
        """Leaves rotation, hands ownership over, finishes what is answered."""
        _log.info("stopping", owning=self._standing.owning)
        self._known.leaving = True
        rotated_at = time.monotonic()
        rotated_at += min(LEAVE_ROTATION_S, self._settings.leave_s / 2)
        self._hand_over(rotated_at)
        time.sleep(max(0.0, rotated_at - time.monotonic()))
        for server in self._servers:
            server.stop()
        _log.info("stopped")

    def _tell_epoch(self) -> int:
        claim = self._standing.owner
        return claim.epoch if claim else 0

    def _hand_over(self, until: float) -> None:
        handover.leave(self._owning, self._standing, self._events.put, until)

    # State thread.

    def _run(self) -> None:
        while True:
            self._take_or_reload(self._next_events())

    def _take_or_reload(self, batch: list) -> None:
        try:
            self._take_batch(batch)
        except Exception:
            # Part of the batch is lost: what is known is read anew.
            self._known.loaded = self._standing.able = False
            self._standing.preparing = 0
            self._reset_due = True
            self._shared.reload()
            _log.exception("state-failed", events=len(batch))
            self._give_up_ownership("state-failed")
            self._standing.withdraw()

    def _next_events(self) -> list:
        found = []
        if self._fleet is not None:
            pause_s = self._settled_at + SETTLE_EVERY_S - time.monotonic()
            if pause_s > 0:
                time.sleep(pause_s)
        with contextlib.suppress(queue.Empty):
            timeout = TICK_S if self._fleet else None
            found.append(self._events.get(timeout=timeout))
        while len(found) < BATCH_EVENTS:
            at = time.monotonic()
            try:
                found.append(self._events.get_nowait())
            except queue.Empty:
                self._emptied_at = at
                break
        return found

    def _take_batch(self, batch: list) -> None:
        for event in batch:
            self._take(event)
        if self._fleet is None:
            return
        now, wall_ms = time.monotonic(), clocks.tell_wall_ms()
        times = [event.at for event in batch if hasattr(event, "at")]
        if times or not batch:
            self._check_lateness(times[0] if times else now)
        # Renewals of leases may wait by now: only up to here is all taken in.
        known_at = max([self._emptied_at, *times])
        if known_at - self._ticked_at >= TICK_S:
            self._ticked_at = known_at
            self._reduce(events.Ticked(known_at, wall_ms))
            self._owning.keep_watches(self._fleet.workers)
        self._fleet.at, self._fleet.wall_ms = now, wall_ms
        if now >= self._place_after:
            began = time.monotonic()
            self._carry_out(reducer.settle(self._fleet))
            took_s = time.monotonic() - began
            self._place_after = now + PLACE_SHARE * took_s
        else:
            self._carry_out(recording.flush(self._fleet))
        self._owning.flush()
        self._settled_at = time.monotonic()

    def _check_lateness(self, oldest_at: float) -> None:
        now = time.monotonic()
        if self._lateness.note(now - oldest_at, now):
            self._step_down("overrun")

    def _step_down(self, why: str) -> None:
        """Gives the fleet to another node, on a thread of its own."""
        if self._stepping_down or self._known.leaving:
            return
        self._stepping_down = True
        held = self._owning

        def hand_over() -> None:
            try:
                handover.step_down(held, self._standing, self._events.put, why)
            finally:
                self._stepping_down = False

        threads.start(hand_over, held.over)

    def _take(self, event: object) -> None:
        if isinstance(event, events.Ordered):
            self._counters.observe(
                "poplarspindle_order_seconds",
                type(event.order).__name__.lower(),
                event.at - event.sent_at,
            )
        if isinstance(event, _Reset):
            self._reset_known(event)
        elif isinstance(event, _Read):
            self._read_shared(event)
        elif isinstance(event, _Taken):
            for record in event.found:
                known.note_taken(self._known, record)
        elif isinstance(event, intake.HandIns):
            self._read_hand_ins(event)
        elif isinstance(event, claims.Prepared):
            self._become_owner(event)
        elif isinstance(event, owning.Lost):
            if self._fleet and event.epoch in (0, self._fleet.epoch):
                self._give_up_ownership(event.why)
        elif self._fleet is not None:
            self._reduce(event)
            if isinstance(event, events.WorkersListed):
                self._owning.keep_watches(self._fleet.workers)

    def _reduce(self, event: events.Event) -> None:
        self._carry_out(reducer.reduce(self._fleet, event))

    def _carry_out(self, found: list) -> None:
        for effect in found:
            if isinstance(effect, effects.Note):
                notes.write(self._counters, effect)
            else:
                self._owning.carry_out(effect)

    def _reset_known(self, event: _Reset) -> None:
        self._reset_due = False
        self._known.loaded = False
        self._standing.able = False
        known.forget_dropped(self._known, event.found)
        # Callers' threads look on: no job that the offsets cover may miss.
        for record in sorted(
            event.found,
            key=lambda record: record.key == records.INTAKE_OFFSETS_KEY,
        ):
            self._apply(record)
        self._standing.heard_at, self._standing.at_work = known.find_heard_at(
            self._known,
            self._standing.owner,
            time.monotonic(),
            clocks.tell_wall_ms(),
        )
        _log.info(
            "loaded", records=len(event.found), jobs=len(self._known.shown)
        )

    def _read_shared(self, event: _Read) -> None:
        for record in event.found:
            self._apply(record)
            if record.key in OWNERS_KEYS:
                self._standing.heard_at = time.monotonic()
                self._standing.at_work = record.key == admission.LOAD_KEY
        if event.at_tail and not self._reset_due:
            self._known.loaded = True
            self._standing.able = self._known.configuration is not None

    def _apply(self, record: records.Record) -> None:
        try:
            if record.key == records.OWNER_KEY:
                self._read_owner(record)
            elif record.key == records.RESIGNED_KEY:
                epoch = records.decode_resignation(record.value)
                self._standing.note_resigned(epoch)
            elif record.key == fitness.MARK_KEY:
                self._standing.best = fitness.decode_mark(record.value)
            elif record.key == fitness.CANDIDATE_KEY:
                self._weigh_candidate(fitness.decode_candidate(record.value))
            else:
                known.apply_shared(self._known, record, time.monotonic())
        except (ValueError, TypeError, KeyError, IndexError) as error:
            self._note_malformed(record.key, repr(error))

    def _note_malformed(self, key: str, why: str) -> None:
        self._counters.add("poplarspindle_records_total", "malformed")
        _log.warning("malformed", key=key, why=why)

    def _read_hand_ins(self, event: intake.HandIns) -> None:
        """Takes in what callers handed in at all nodes."""
        fleet = self._fleet
        if fleet is None or event.epoch != fleet.epoch:
            return
        now, wall_ms = time.monotonic(), clocks.tell_wall_ms()
        for found in intake.list_events(fleet.job_store, event, now, wall_ms):
            if isinstance(found, intake.Malformed):
                self._note_malformed(found.key, found.why)
            else:
                self._reduce(found)

    def _weigh_candidate(self, found: fitness.Candidate) -> None:
        if (
            self._fleet is not None
            and found.instance != self.incarnation
            and fitness.is_better(found.fitness, self._standing.fitness)
        ):
            self._step_down("better-candidate")

    def _read_owner(self, record: records.Record) -> None:
        if not record.value:
            return
        found = records.decode_owner(record.value)
        if self._standing.owner and found.epoch < self._standing.owner.epoch:
            return
        self._standing.owner = found
        if found.instance == self.incarnation:
            if self._fleet is None and self._standing.preparing < found.epoch:
                self._standing.preparing = found.epoch
                threads.start(lambda: self._prepare(found))
        elif self._fleet is not None:
            self._give_up_ownership("other-owner")

    def _prepare(self, claim: records.Owner) -> None:
        def is_wanted() -> bool:
            return self._standing.owner is claim and not self._known.leaving

        found = claims.prepare(self._platform, claim, is_wanted)
        if found is not None:
            self._events.put(found)
        elif self._standing.preparing == claim.epoch:
            self._standing.preparing = 0

    def _become_owner(self, found: claims.Prepared) -> None:
        """Begins to own the fleet, unless the claim was lost meanwhile."""
        if self._standing.preparing == found.epoch:
            self._standing.preparing = 0
        claim = self._standing.owner
        if (
            self._fleet is not None
            or self._known.leaving
            or claim is None
            or claim.instance != self.incarnation
            or claim.epoch != found.epoch
        ):
            return
        now = time.monotonic()
        self._fleet, drops, malformed = claims.make_fleet(
            found, self._settings, now
        )
        for key in malformed:
            self._note_malformed(key, "takeover")
        self._ticked_at = self._settled_at = self._place_after = now
        self._lateness = fitness.Lateness(now)
        self._owning = owning.Owning(
            self._platform,
            self._settings,
            self._counters,
            found.epoch,
            self._events.put,
            lambda: self._standing.store_ok_at,
            clocks.tell_wall_ms,
        )
        self._owning.start()
        self._standing.owning = True
        if drops:
            self._owning.carry_out(effects.Append(0, tuple(drops)))
        self._reduce(
            events.Claimed(
                now,
                clocks.tell_wall_ms(),
                found.epoch,
                self._known.silent,
                self._known.shown,
                found.ends,
            )
        )
        if self._known.configuration is not None:
            self._reduce(
                events.Configured(
                    now, self._known.configuration, self._known.out
                )
            )
        intake.follow(
            self._platform, found, self._owning.over, self._events.put
        )

    def _give_up_ownership(self, why: str) -> None:
        if self._fleet is None:
            return
        _log.info(
            "gave-up", about="ownership", why=why, epoch=self._fleet.epoch
        )
        self._fleet = None
        if self._owning is not None:  # None where its making failed.
            self._owning.stop()
        self._owning = None
        self._standing.owning = False

    # What operators write.

    def _reset_wishes(self, found: tuple[records.Record, ...]) -> None:
        self._known.out = frozenset()
        self._take_wishes(found)

    def _take_wishes(self, found: tuple[records.Record, ...]) -> None:
        known.take_wishes(self._known, self._platform.read_wish, found)
        if found and self._known.configuration is not None:
            self._standing.able = self._known.loaded
            self._events.put(
                events.Configured(
                    time.monotonic(), self._known.configuration, self._known.out
                )
            )
