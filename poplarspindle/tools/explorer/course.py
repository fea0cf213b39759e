"""A virtual fleet that tells a player of its messages and moments."""

import collections
import re
from collections.abc import Callable

from poplarspindle.tools.fakes import (
    fleet_workers,
    fleets,
    messages,
)

STATISTICS = ("load",)  # Lines of the owner's log that tell of no decision.
TASK = re.compile(
    r"TaskName\(job='(.)\w*', occurrence=\d+, step=(\d+), index=(\d+)\)(.*)"
)
NOTE = "note"
POLL = "poll"  # Moments of polls are told of by the kind of message.

Tell = Callable[[str, str, str], None]


class _Notes(collections.Counter):
    """Counts the lines of the owners' logs, and tells of them."""

    def __init__(self, tell: Tell) -> None:
        super().__init__()
        self._tell = tell

    def __setitem__(self, event: str, count: int) -> None:
        super().__setitem__(event, count)
        if event not in STATISTICS:
            self._tell(NOTE, "", event)


class Course(fleets.World):
    """A virtual fleet that tells a player of its messages and moments.

    Args:
        workers: Number of workers.
        run_s: How long a task takes, seconds.
        fail: Tells whether a run fails by itself.
        tell: Takes the kind, worker and subject of each moment; a message is
            told of as it is sent.
        choose_fate: Returns the fate of the message that was told of last.
    """

    def __init__(
        self,
        workers: int,
        run_s: float,
        fail: Callable[[fleet_workers.FakeRun], bool],
        tell: Tell,
        choose_fate: Callable[[], messages.Fate],
    ) -> None:
        super().__init__(1, workers, run_s=lambda rng: run_s, fail=fail)
        self.notes = _Notes(tell)

        def handle_moment(moment: messages.Moment) -> None:
            if moment.kind in messages.SENT.values():
                return
            kind, subject = moment.kind.value, _shorten(moment.subject)
            if kind.startswith(POLL):
                kind, subject = subject + kind.removeprefix(POLL), ""
            tell(kind, moment.worker, subject)

        def handle_message(message: messages.Message) -> messages.Fate:
            kind, subject = message.kind.value, _name_subject(message.order)
            tell(f"{kind}-sent", message.worker, subject)
            return choose_fate()

        self.on_moment = handle_moment
        self.choose_fate = handle_message


def _name_subject(order) -> str:
    task = getattr(order, "task", None)
    if task is None:
        return ""
    return _shorten(f"{task}#{order.attempt}")


def _shorten(subject: str) -> str:
    """Returns a subject with a short name of its task."""
    found = TASK.match(subject)
    if found is None:
        return subject
    return "{}.{}.{}{}".format(*found.groups())
