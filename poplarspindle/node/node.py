"""The node: one thread owns its state, threads around it do input, output."""

import dataclasses
import queue
import time
import uuid
from collections.abc import Callable

import structlog

from poplarspindle import metrics, outcomes, serving
from poplarspindle.fleet import (
    admission,
    book,
    dark,
    effects,
    events,
    fitness,
    fleet,
    memory,
    owner,
    records,
    takeover,
)
from poplarspindle.node import (
    clocks,
    commits,
    desk,
    followers,
    known,
    owning,
    ports,
    settings,
    standing,
    storage,
    threads,
)

CALLER_THREADS = 24
TICK_S = 0.05
BATCH_EVENTS = 200
FOLLOW_PAUSE_S = 0.15  # Each read is priced; states may be shown as late.
LEAVE_ROTATION_S = 2.5
STORE_AWAY_S = 0.8  # Joins and appends confirm the store more often.
HAND_OVER_POLL_S = 0.05
HAND_OVER_S = 0.3  # Time for the state thread to give ownership up.
PREPARE_S = 1.2  # An append to a slow store takes hundreds of milliseconds.
PREPARE_PAUSE_S = 0.1
PLACE_SHARE = 3  # For each second of placing, so many for what comes in.
SETTLE_EVERY_S = 0.004  # Under load, decisions are made for many events.

OWNERS_KEYS = frozenset({records.OWNER_KEY, admission.LOAD_KEY})

_log = structlog.get_logger(part="node")


@dataclasses.dataclass(frozen=True, slots=True)
class _Reset:
    found: tuple[records.Record, ...]
    next: int


@dataclasses.dataclass(frozen=True, slots=True)
class _Read:
    """Records of a page, up to an offset; own ones have no offset."""

    found: tuple[records.Record, ...]
    next: int = -1
    at_tail: bool = False


@dataclasses.dataclass(frozen=True, slots=True)
class _Prepared:
    """What a claim needs before it is an ownership.

    Attributes:
        epoch: Epoch of the claim.
        progress: Newest records of the progress log, which takes appends of
            this epoch only.
        end: End of the shared log after that: the last owner read no more.
    """

    epoch: int
    progress: tuple[records.Record, ...]
    end: int


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
        self._fleet: fleet.Fleet | None = None
        self._owning: owning.Owning | None = None
        self._prepared: _Prepared | None = None
        self._preparing = 0
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
        self._commits = commits.Commits(platform.store, self._take_committed)
        self._jobs = followers.Follower(
            platform.store,
            platform.fleet_topic,
            lambda found, end: self._events.put(_Reset(found, end)),
            lambda found, end, tail: self._events.put(_Read(found, end, tail)),
            lambda: (
                0.0
                if self._standing.owning or self._preparing
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
            platform, counters, self._known, self._commits, self._jobs
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
        self._commits.start()
        self._jobs.start()
        self._operators.start()
        self._standing.start()
        for server in self._servers:
            server.start()
        _log.info("started", incarnation=self.incarnation)

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

    def _hand_over(self, until: float) -> None:
        """Gives ownership up; while the store is away nobody could take it.

        Args:
            until: When to give it up at the latest, monotonic seconds.
        """
        held = self._owning
        owned = held.epoch if held is not None else 0
        while held is not None and not held.over.is_set():
            away_s = time.monotonic() - held.store_ok_at()
            if away_s < STORE_AWAY_S or time.monotonic() >= until:
                held.extend_leases()
                break
            held.over.wait(HAND_OVER_POLL_S)
        self._events.put(owning.Lost(0, "leaving"))
        if held is not None:
            held.over.wait(HAND_OVER_S)
            self._standing.resign(owned)
        self._standing.leave()

    # State thread.

    def _run(self) -> None:
        while True:
            batch = self._next_events()
            try:
                self._take_batch(batch)
            except Exception:
                # Part of the batch is lost: the book is read anew.
                _log.exception("state-failed", events=len(batch))
                self._give_up_ownership("state-failed")
                self._known.loaded = self._standing.able = False
                self._jobs.reload()

    def _next_events(self) -> list:
        found = []
        if self._fleet is not None:
            pause_s = self._settled_at + SETTLE_EVERY_S - time.monotonic()
            if pause_s > 0:
                time.sleep(pause_s)
        try:
            timeout = TICK_S if self._fleet else None
            found.append(self._events.get(timeout=timeout))
            while len(found) < BATCH_EVENTS:
                found.append(self._events.get_nowait())
        except queue.Empty:
            pass
        return found

    def _take_batch(self, batch: list) -> None:
        for event in batch:
            self._take(event)
        if self._fleet is None:
            return
        now, wall_ms = time.monotonic(), clocks.tell_wall_ms()
        if len(batch) >= BATCH_EVENTS:
            # More is waiting, renewals of leases among it: as far as this
            # node can tell, no more time has passed than up to here.
            now = min(now, getattr(batch[-1], "at", now))
        self._check_lateness(getattr(batch[0], "at", now) if batch else now)
        if now - self._ticked_at >= TICK_S:
            self._ticked_at = now
            self._reduce(events.Ticked(now, wall_ms))
            self._owning.keep_watches(self._fleet.hands)
        self._fleet.at, self._fleet.wall_ms = now, wall_ms
        if now >= self._place_after:
            began = time.monotonic()
            self._carry_out(owner.settle(self._fleet))
            took_s = time.monotonic() - began
            self._place_after = now + PLACE_SHARE * took_s
        else:
            self._carry_out(fleet.flush(self._fleet))
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
        _log.info("steps-down", about="ownership", why=why, epoch=held.epoch)

        def hand_over() -> None:
            try:
                self._standing.withdraw()
                held.extend_leases()
                self._events.put(owning.Lost(held.epoch, why))
                held.over.wait(HAND_OVER_S)
                self._standing.resign(held.epoch)
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
            self._reset_book(event)
        elif isinstance(event, _Read):
            self._read_records(event)
        elif isinstance(event, _Prepared):
            self._prepared = event
            self._become_owner()
        elif isinstance(event, owning.Lost):
            if self._fleet and event.epoch in (0, self._fleet.epoch):
                self._give_up_ownership(event.why)
        elif self._fleet is not None:
            self._reduce(event)
            if isinstance(event, events.WorkersListed):
                self._owning.keep_watches(self._fleet.hands)

    def _reduce(self, event: events.Event) -> None:
        self._carry_out(owner.reduce(self._fleet, event))

    def _carry_out(self, found: list) -> None:
        for effect in found:
            if isinstance(effect, effects.Note):
                self._counters.add(
                    "poplarspindle_fleet_total", f"{effect.part}-{effect.event}"
                )
                fields = dict(effect.fields)
                if effect.event == "placed" and "first_ms" in fields:
                    self._counters.observe(
                        "poplarspindle_first_start_seconds",
                        fields["queue"],
                        fields["first_ms"] / 1000,
                    )
                if effect.job:
                    fields["job"] = effect.job
                _log.info(effect.event, about=effect.part, **fields)
            else:
                self._owning.carry_out(effect)

    def _reset_book(self, event: _Reset) -> None:
        if self._fleet is not None:
            self._give_up_ownership("log-expired")
        self._known.loaded = False
        self._standing.able = False
        self._known.book = book.Book()
        # A job's other records need the job: it comes first.
        for kind in (records.SUBMITTED, records.CANCELLED, records.STATE):
            for record in event.found:
                if record.key.startswith(f"{kind}/"):
                    self._apply(record)
        for record in event.found:
            if "/" not in record.key:
                self._apply(record)
        self._known.applied = event.next
        self._standing.heard_at = self._find_heard_at()
        _log.info(
            "loaded",
            records=len(event.found),
            jobs=len(self._known.book.jobs),
            next=event.next,
        )

    def _find_heard_at(self) -> float:
        """Returns when the owner was last heard of, by its newest load.

        Clocks of nodes differ: one that is ahead claims sooner, one that is
        behind waits as if the owner had just been heard.
        """
        if self._known.load is None:
            return float("-inf")
        age_ms = clocks.tell_wall_ms() - self._known.load.at_ms
        return time.monotonic() - max(0, age_ms) / 1000

    def _read_records(self, event: _Read) -> None:
        mine = event.next < 0
        for record in event.found:
            self._apply(record)
            if record.key in OWNERS_KEYS and not mine:
                self._standing.heard_at = time.monotonic()
        if mine:
            return
        self._known.applied = event.next
        if event.at_tail:
            self._known.loaded = True
            self._standing.able = self._known.configuration is not None
        self._become_owner()

    def _apply(self, record: records.Record) -> None:
        kind, _, job = record.key.partition("/")
        try:
            if kind == records.SUBMITTED:
                self._apply_submission(job, record.value)
            elif kind == records.OWNER_KEY:
                self._read_owner(record)
            elif kind == records.RESIGNED_KEY:
                epoch = records.decode_resignation(record.value)
                self._standing.note_resigned(epoch)
            elif kind == admission.LOAD_KEY:
                self._known.load = admission.decode_load(record.value)
            elif kind == dark.DARK_KEY:
                self._known.silent = dark.decode_dark(
                    record.value, time.monotonic()
                )
            elif kind == fitness.MARK_KEY:
                self._standing.best = fitness.decode_mark(record.value)
            elif kind == fitness.CANDIDATE_KEY:
                self._weigh_candidate(fitness.decode_candidate(record.value))
            elif kind == records.CANCELLED and record.value:
                self._apply_cancel(job)
            elif kind == records.STATE and self._fleet is None:
                known = self._known.book.jobs.get(job)
                if known is not None and record.value:
                    records.apply_state(known, record.value)
        except (ValueError, TypeError, KeyError, IndexError) as error:
            self._counters.add("poplarspindle_records_total", "malformed")
            _log.warning("malformed", key=record.key, why=repr(error))

    def _apply_submission(self, job: str, value: bytes) -> None:
        if not value:
            if self._fleet is None:
                self._known.book.jobs.pop(job, None)
            return
        if job in self._known.book.jobs:
            return
        submission = records.decode_submission(job, value)
        book.add_job(self._known.book, submission)
        if self._fleet is not None:
            self._reduce(events.JobRead(time.monotonic(), job))

    def _apply_cancel(self, job: str) -> None:
        known = self._known.book.jobs.get(job)
        if known is None:
            self._known.book.early_cancels.add(job)
            return
        if known.cancelled:
            return
        book.cancel_job(known)
        if self._fleet is not None:
            now = time.monotonic()
            self._reduce(events.CancelRead(now, clocks.tell_wall_ms(), job))

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
            if (
                self._fleet is None
                and self._preparing < found.epoch
                and not self._known.leaving
            ):
                self._preparing = found.epoch
                threads.start(lambda: self._prepare(found))
        elif self._fleet is not None:
            self._give_up_ownership("other-owner")

    def _prepare(self, claim: records.Owner) -> None:
        """Reads what a claim needs; raises _Prepared unless it is lost.

        The progress log first refuses all others, so what is read from it is
        all that the last owner could append; and what that one knew of jobs
        stands before the end that the shared log has then.
        """
        store, topics = self._platform.store, self._platform
        began = time.monotonic()
        fence = records.encode_owner(claim)
        while self._standing.owner is claim and not self._known.leaving:
            answer = store.append(
                [fence], PREPARE_S, claim.epoch, 0, topics.progress_topic
            )
            if isinstance(answer, outcomes.Ok):
                answer = storage.load_newest(store, topics.progress_topic)
                progress = answer
            if isinstance(answer, outcomes.Ok):
                answer = store.read(
                    topics.fleet_topic, max(0, self._known.applied), 0
                )
            if isinstance(answer, outcomes.Ok):
                _log.info(
                    "prepared",
                    about="ownership",
                    epoch=claim.epoch,
                    records=len(progress.value.found),
                    took_ms=int((time.monotonic() - began) * 1000),
                )
                self._events.put(
                    _Prepared(
                        claim.epoch, progress.value.found, answer.value.end
                    )
                )
                return
            _log.warning(
                "not-prepared",
                about="ownership",
                epoch=claim.epoch,
                why=answer.reason,
            )
            if answer.reason in ("fenced", "seq"):
                break
            time.sleep(PREPARE_PAUSE_S)
        self._preparing = 0

    def _become_owner(self) -> None:
        """Begins to own the fleet once all that is needed was read."""
        found, claim = self._prepared, self._standing.owner
        if found is None or self._known.applied < found.end:
            return
        self._prepared, self._preparing = None, 0
        if (
            self._fleet is not None
            or self._known.leaving
            or claim is None
            or claim.instance != self.incarnation
            or claim.epoch != found.epoch
        ):
            return
        drops, malformed = takeover.load_progress(
            self._known.book, found.progress
        )
        for key in malformed:
            self._counters.add("poplarspindle_records_total", "malformed")
            _log.warning("malformed", key=key, why="progress")
        now = time.monotonic()
        self._fleet = fleet.Fleet(
            self._known.book,
            self._settings.lease_most_ms,
            self._settings.early_ms,
            self._settings.keep_ended_s,
            self._settings.harm_ms,
        )
        self._ticked_at = self._settled_at = self._place_after = now
        self._lateness = fitness.Lateness(now)
        for record in found.progress:
            if record.key == memory.MEMORY_KEY and record.value:
                pairs = memory.decode_memory(record.value, now)
                self._fleet.tails.pairs = pairs
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
                now, clocks.tell_wall_ms(), found.epoch, self._known.silent
            )
        )
        if self._known.configuration is not None:
            self._reduce(
                events.Configured(
                    now, self._known.configuration, self._known.out
                )
            )

    def _give_up_ownership(self, why: str) -> None:
        if self._fleet is None:
            return
        _log.info(
            "gave-up", about="ownership", why=why, epoch=self._fleet.epoch
        )
        self._fleet = None
        self._owning.stop()
        self._owning = None
        self._standing.owning = False
        self._standing.able = False
        self._known.loaded = False
        self._jobs.reload()

    # What operators write.

    def _reset_wishes(self, found: tuple[records.Record, ...]) -> None:
        self._known.out = frozenset()
        self._take_wishes(found)

    def _take_wishes(self, found: tuple[records.Record, ...]) -> None:
        for record in found:
            try:
                wish = self._platform.read_wish(record)
            except ValueError as error:
                _log.warning("malformed", key=record.key, why=str(error))
                continue
            known.apply_wish(self._known, wish)
        if found and self._known.configuration is not None:
            self._standing.able = self._known.loaded
            self._events.put(
                events.Configured(
                    time.monotonic(), self._known.configuration, self._known.out
                )
            )

    def _take_committed(self, found: list[records.Record]) -> None:
        self._events.put(_Read(tuple(found)))
