"""An owner whose books, followers and appenders are stepped by hand."""

import collections
import contextlib
import queue
import random

from poplarspindle import metrics
from poplarspindle.fleet import (
    effects,
    events,
    fleet_state,
    job_store,
    reducer,
)
from poplarspindle.node import (
    appending,
    claims,
    followers,
    intake,
    ownership,
    ports,
    settings,
)


class _IdleError(Exception):
    """Nothing waits."""


class _Queue(queue.SimpleQueue):
    def get(self, *args, **options):
        """Returns what waits next; raises `_IdleError` where nothing does."""
        if self.empty():
            raise _IdleError
        return super().get(*args, **options)


class _Never:
    """A stop event that is not set, and does not wait."""

    def is_set(self) -> bool:
        return False

    def wait(self, seconds: float) -> bool:
        return False


class Owner:
    """An owner's books and appenders, without workers.

    Args:
        platform: What it runs on.
        own_settings: Its settings.
        prepared: What was read for its claim.
        published: Jobs that the claiming node knew as published.
        now: Own clock.
        wall_ms: Unix time in milliseconds.
    """

    def __init__(
        self,
        platform: ports.Platform,
        own_settings: settings.Settings,
        prepared: claims.PreparedClaim,
        published: dict[str, job_store.PublishedJob],
        now: float,
        wall_ms: int,
    ) -> None:
        self.lost = False
        self.dropped: set[str] = set()
        self._inbox: collections.deque = collections.deque()
        self.fleet, drops, _ = claims.make_fleet(prepared, own_settings, now)
        self._progress, self._shared, self._intake = (
            self._make_appender(append)
            for append in (
                ownership._append_fenced(
                    platform, platform.progress_topic, prepared.epoch
                ),
                ownership._append_fenced(
                    platform, platform.fleet_topic, prepared.epoch
                ),
                ownership._append_by_partition(platform),
            )
        )
        if drops:
            self._execute([effects.Append(0, tuple(drops))])
        self._reduce(
            events.Claimed(
                now,
                wall_ms,
                prepared.epoch,
                {},
                published,
                prepared.end_offsets,
            )
        )
        self._followers = []
        for partition, end in enumerate(prepared.end_offsets):

            def put(rows, offset, *_, partition=partition) -> None:
                self._inbox.append(
                    intake.IntakeBatch(
                        prepared.epoch, partition, tuple(rows), offset
                    )
                )

            self._followers.append(
                followers.Follower(
                    platform.store,
                    platform.intake_topic,
                    put,
                    put,
                    lambda: 0.0,
                    partition,
                    end,
                )
            )

    def _make_appender(self, append) -> appending.Appender:
        appender = appending.Appender(
            "t", append, 300, _Never(), self._lose, metrics.Metrics()
        )
        appender._waiting = _Queue()
        return appender

    def _lose(self, why: str) -> None:
        self.lost = True

    def _reduce(self, event: events.Event) -> None:
        self._execute(reducer.reduce(self.fleet, event))

    def _execute(self, effect_list: list) -> None:
        for effect in effect_list:
            if isinstance(effect, effects.Append):
                self._progress.put(
                    effect.records,
                    lambda at, number=effect.number: self._inbox.append(
                        events.Appended(self.fleet.now, number)
                    ),
                )
            elif isinstance(effect, effects.Publish):
                self._shared.put(effect.records)
            elif isinstance(effect, effects.Drop):
                self.dropped.update(effect.jobs)
                ownership.Ownership._drop(self, effect.jobs)

    def step(self, rng: random.Random, now: float, wall_ms: int) -> None:
        """Does one of an owner's duties."""
        duty = rng.randrange(5)
        if duty == 0:
            follow(rng.choice(self._followers))
        elif duty == 1:
            self._take_in(now, wall_ms)
        elif duty == 2:
            self._change_a_job(rng)
        elif duty == 3:
            self._reduce(events.Ticked(now, wall_ms))
            self._execute(reducer.settle(self.fleet))
        else:
            appenders = (self._progress, self._shared, self._intake)
            with contextlib.suppress(_IdleError):
                rng.choice(appenders)._run()

    def _take_in(self, now: float, wall_ms: int) -> None:
        if not self._inbox:
            return
        event = self._inbox.popleft()
        if not isinstance(event, intake.IntakeBatch):
            self._reduce(event)
            return
        for found in intake.apply_batch(
            self.fleet.job_store, event, now, wall_ms
        ):
            self._reduce(found)

    def _change_a_job(self, rng: random.Random) -> None:
        """Begins or ends a job, as runs on workers would."""
        if not self.fleet.open_jobs:
            return
        job = self.fleet.job_store.jobs[rng.choice(list(self.fleet.open_jobs))]
        if job.state is job_store.State.QUEUED:
            job.state = job_store.State.ACTIVE
            self.fleet.changed_jobs[job.submission.job] = None
        else:
            self._execute(
                fleet_state.end_job(self.fleet, job, job_store.State.COMPLETED)
            )


def follow(follower: followers.Follower) -> None:
    """Lets a follower read once."""
    if follower.next < 0 or follower._reload.is_set():
        follower._reload.clear()
        failure = follower._load()
    else:
        failure = follower._read()
    if failure is not None and failure.reason == "expired":
        follower.reload()
