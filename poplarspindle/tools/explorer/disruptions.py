"""Table of disruptions: what each does, and the moments it can be put at."""

import dataclasses
import itertools
from collections.abc import Callable

from poplarspindle.tools.explorer import course

LATE_S = (0.5, 3.0, 7.0, 12.0)
CUT_S = (2.0, 5.0, 12.0)
STORE_DOWN_S = (2.0, 7.0)
# Moments of workers are disrupted at their worker, all others at the first.
FIRST_WORKER = "w0"
NOT_DISRUPTED = ("NOTE", "DISRUPTED", "LATE_", "MENDED")


@dataclasses.dataclass(frozen=True, slots=True)
class Disruption:
    """One disruption.

    Attributes:
        message: Kind of the messages that it befalls, empty for none.
        fate: What becomes of such a message.
        apply: Lets it begin, at once; takes the course and a worker's name.
        is_immediate: Whether it begins within the moment, not just after it.
        needs_worker: Whether it is put at moments of workers only.
    """

    message: str = ""
    fate: course.Fate = course.ANSWERED
    apply: Callable[[course.Course, str], None] = lambda world, name: None
    is_immediate: bool = True
    needs_worker: bool = True

    def may_be_put_at(self, kind: str, worker: str) -> bool:
        """Returns whether it can be put at a moment."""
        if self.message:
            return kind == f"{self.message}_SENT"
        if kind.startswith(NOT_DISRUPTED):
            return False
        return bool(worker) or not self.needs_worker


def _list_fates(message: str) -> dict[str, course.Fate]:
    """Returns the fates of one kind of message by name."""
    found = {
        "lost": course.Fate(None, False),
        "unanswered": course.Fate(0.0, False),
    }
    for late_s in LATE_S:
        found[f"late-{late_s:g}"] = course.Fate(late_s, False)
        if message in ("START", "RENEWAL"):
            fate = course.Fate(late_s, False, True)
            found[f"late-{late_s:g}-from-arrival"] = fate
    return found


def _list_message_disruptions() -> dict[str, Disruption]:
    return {
        f"{message.lower()}-{name}": Disruption(message, fate)
        for message in ("START", "RENEWAL", "ACKNOWLEDGEMENT", "STOP", "LOOK")
        for name, fate in _list_fates(message).items()
    }


def _cut(for_s: float, from_store: bool) -> Disruption:
    return Disruption(
        apply=lambda world, name: world.cut_worker(name, for_s, from_store)
    )


def _restart(same_id: bool) -> Disruption:
    return Disruption(
        apply=lambda world, name: world.restart_worker(name, same_id),
        is_immediate=False,
    )


def _unlist(for_s: float) -> Disruption:
    return Disruption(
        apply=lambda world, name: world.unlist_worker(name, for_s)
    )


def _stop_store(for_s: float) -> Disruption:
    return Disruption(
        apply=lambda world, name: world.stop_store(for_s), needs_worker=False
    )


WORKERS = {
    f"cut-{for_s:g}{'-unlisted' * from_store}": _cut(for_s, from_store)
    for from_store, for_s in itertools.product((False, True), CUT_S)
    if not from_store or for_s > course.ENTRY_EXPIRES_S
} | {
    "reborn": _restart(True),
    "reborn-renamed": _restart(False),
    "unlisted-1": _unlist(1.0),
    "unlisted-8": _unlist(8.0),
}
OWNER = {
    "owner-replaced": Disruption(
        apply=lambda world, name: world.replace_owner(),
        is_immediate=False,
        needs_worker=False,
    ),
}
STORE = {f"store-down-{s:g}": _stop_store(s) for s in STORE_DOWN_S}
MESSAGES = _list_message_disruptions()
# In the order in which they are explored.
DISRUPTIONS = MESSAGES | WORKERS | OWNER | STORE
