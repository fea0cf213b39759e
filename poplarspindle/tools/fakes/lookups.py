"""Seeded walks of what callers are told of their jobs while owners change.

Nodes, followers, appenders and an owner's records are the real ones; each is
stepped by hand. The store fails in each way; workers are left out, so jobs
begin and end by chance.
"""

import dataclasses
import itertools
import random

from poplarspindle import metrics, resources
from poplarspindle.fleet import records, work
from poplarspindle.node import (
    call_handlers,
    caller_calls,
    claims,
    group_commit,
    node,
    settings,
)
from poplarspindle.tools.fakes import flaky_store, stepped_owner

NODES = 3
PARTITIONS = 2
EPOCH_STEP = 16
SHOWN_RANKS = {"queued": 0, "active": 1}
ENDED_RANK = 2
MOST_APPEND_TRIES = 4
STEP = work.Step(1, resources.Resources(1000, 1, 0))


class SteppedWriter:
    """Appends what callers hand in, without threads.

    Args:
        store: The store.
        on_appended: Called with the records of each acknowledged append.
    """

    def __init__(self, store: flaky_store.FlakyStore, on_appended) -> None:
        self._store = store
        self._on_appended = on_appended

    def commit(
        self, record: records.Record, deadline: float
    ) -> group_commit.PendingRecord:
        """Tries some times."""
        entry = group_commit.PendingRecord(record, deadline)
        partition = records.choose_partition(
            record.key.partition("/")[2], PARTITIONS
        )
        writer = group_commit.PartitionWriter(
            self._store, "intake", partition, self._on_appended
        )
        batch = [entry]
        for _ in range(MOST_APPEND_TRIES):
            batch = batch and writer._append(batch)
        return entry


class Walk:
    """Nodes that answer callers, and one owner at a time.

    Args:
        seed: Seed of all chance.
        own_settings: Settings of the nodes.
        platform: Platform whose store is replaced.

    Attributes:
        broken: What callers were told wrongly.
    """

    def __init__(
        self, seed: int, own_settings: settings.Settings, platform
    ) -> None:
        self.broken: list[str] = []
        self._rng = random.Random(seed)
        self._store = flaky_store.FlakyStore(self._rng)
        self._settings = own_settings
        self._platform = dataclasses.replace(
            platform,
            store=self._store,
            fleet_topic="fleet",
            progress_topic="progress",
            intake_topic="intake",
            partitions=PARTITIONS,
        )
        self._now, self._wall_ms = 0.0, 1_700_000_000_000
        self._numbers = itertools.count()
        self._accepted: dict[str, bool] = {}  # And whether it was cancelled.
        self._dropped: set[str] = set()
        self._shown: dict[tuple[int, str], str] = {}
        self._nodes = [self._make_node() for _ in range(NODES)]
        self._owner: stepped_owner.Owner | None = None
        self._epoch = 0
        self._claim()
        self._store.calm = False

    def _make_node(self) -> node.Node:
        found = node.Node(self._settings, self._platform, metrics.Metrics())
        found._shared_state.configuration = work.Configuration(
            1, {"q": work.Queue("q", "h", "/q/", "pool")}
        )
        found._shared._pause_s = lambda: 0.0
        found.call_handlers._intake_writer = SteppedWriter(
            self._store,
            lambda items: found._events.put(node._IntakeAccepted(tuple(items))),
        )
        return found

    def run(self, steps: int) -> None:
        """Does so many steps."""
        for _ in range(steps):
            self._now += 0.03
            self._wall_ms += 30
            action = self._rng.choices(
                (
                    self._step_owner,
                    self._step_follower,
                    self._step_state,
                    self._submit,
                    self._cancel,
                    self._show,
                    self._claim,
                    self._store.land_late,
                    self._store.expire,
                    self._fail_state,
                    self._let_time_pass,
                ),
                (40, 12, 20, 6, 2, 20, 0.6, 1, 0.6, 0.5, 0.2),
            )[0]
            action()

    def _choose_node(self) -> tuple[int, node.Node]:
        number = self._rng.randrange(NODES)
        return number, self._nodes[number]

    def _let_time_pass(self) -> None:
        self._now += 200.0
        self._wall_ms += 200_000

    def _step_owner(self) -> None:
        if self._owner is None:
            self._claim()
            return
        try:
            self._owner.step(self._rng, self._now, self._wall_ms)
        except flaky_store.OwnerDeathError:
            self._owner = None
            return
        self._dropped |= self._owner.dropped
        if self._owner.lost:
            self._owner = None

    def _claim(self) -> None:
        """Lets a node claim the fleet and begin to own it."""
        calm, self._store.calm = self._store.calm, True
        _, claimant = self._choose_node()
        self._epoch += EPOCH_STEP
        claim = records.Owner(self._epoch, "owner", self._wall_ms)
        self._store.append([records.encode_owner(claim)], 1.0, self._epoch)
        while (
            claimant._election.owner is None
            or claimant._election.owner.epoch < self._epoch
            or not claimant._shared_state.loaded
        ):
            stepped_owner.follow(claimant._shared)
            self._drain(claimant)
        prepared = claims.prepare(self._platform, claim, lambda: True)
        if self._rng.random() < 0.5:
            self._store.calm = calm  # Else its first appends are stored.
        self._owner = stepped_owner.Owner(
            self._platform,
            self._settings,
            prepared,
            claimant._shared_state.published_jobs,
            self._now,
            self._wall_ms,
        )
        self._store.calm = calm

    def _drain(self, found: node.Node) -> None:
        while not found._events.empty():
            found._handle_or_reload([found._events.get()])

    def _step_follower(self) -> None:
        stepped_owner.follow(self._choose_node()[1]._shared)

    def _step_state(self) -> None:
        _, found = self._choose_node()
        if not found._events.empty():
            found._handle_or_reload([found._events.get()])

    def _fail_state(self) -> None:
        """Lets a state thread fail and lose the rest of its batch."""
        _, found = self._choose_node()
        batch = [node._SharedLogRead(None, False)]
        while not found._events.empty() and self._rng.random() < 0.7:
            batch.append(found._events.get())
        found._handle_or_reload(batch)

    # Callers.

    def _ask(self, kind, job: str, submission=None) -> tuple[int, object]:
        number, found = self._choose_node()
        queue_asked = work.Queue("q", "h", "/q/", "pool")
        call = caller_calls.Call(kind, queue_asked, job, 3.0, submission)
        handlers = found.call_handlers
        answer = call_handlers._ANSWERS[kind](handlers, call, float("inf"))
        return number, answer

    def _submit(self) -> None:
        again = self._accepted and self._rng.random() < 0.2
        job = (
            self._rng.choice(list(self._accepted))
            if again
            else f"{next(self._numbers):016x}"
        )
        submission = work.Submission(
            job, work.Queue("q", "h", "/q/", "pool"), "", (STEP,)
        )
        _, answer = self._ask(caller_calls.Kind.SUBMIT, job, submission)
        if answer.status == 200:
            self._accepted.setdefault(job, False)
            if not self._is_stored(job):
                self.broken.append(f"accepted and not stored: {job}")

    def _is_stored(self, job: str) -> bool:
        key = f"{records.SUBMITTED}/{job}"
        return any(
            record.key == key
            for partition in range(PARTITIONS)
            for record in self._store.rows["intake", partition]
        )

    def _choose_job(self) -> str | None:
        jobs = [job for job in self._accepted if job not in self._dropped]
        return self._rng.choice(jobs) if jobs else None

    def _cancel(self) -> None:
        job = self._choose_job()
        if job is None:
            return
        _, answer = self._ask(caller_calls.Kind.CANCEL, job)
        if answer.status == 410:
            self.broken.append(f"no such job to cancel: {job}")
        self._accepted[job] = True

    def _show(self) -> None:
        job = self._choose_job()
        if job is None:
            return
        number, answer = self._ask(caller_calls.Kind.SHOW, job)
        if answer.status == 410:
            self.broken.append(f"no such job: {job}")
        elif answer.status == 200:
            before = self._shown.get((number, job), "queued")
            if not _may_follow(before, answer.state):
                self.broken.append(
                    f"shown as {answer.state} after {before}: {job}"
                )
            if answer.state == "cancelled" and not self._accepted[job]:
                self.broken.append(f"cancelled by nobody: {job}")
            self._shown[number, job] = answer.state


def _may_follow(before: str, after: str) -> bool:
    """Tells whether a node may show one state of a job after another.

    A cancel that comes after the job's end changes nothing, which the node
    that took it in learns from the owner only.
    """
    if before == "cancelled":
        return after in ("cancelled", "completed")
    ranks = [SHOWN_RANKS.get(state, ENDED_RANK) for state in (before, after)]
    return before == after or ranks[0] < ranks[1]
