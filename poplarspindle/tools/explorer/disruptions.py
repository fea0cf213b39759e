"""Table of disruptions: what each does, and the moments it can be put at."""

import dataclasses
import itertools
from collections.abc import Callable

from poplarspindle.tools.explorer import course, moments
from poplarspindle.tools.fakes import messages, owners, virtual_store

LATE_S = (0.5, 3.0, 7.0, 12.0)
CUT_S = (2.0, 5.0, 12.0)
FROZEN_S = (2.0, 7.0, 15.0)
OWNER_CUT_S = (2.0, 5.0, 12.0)
BEHIND_S = (0.5, 2.0, 7.0, 15.0)
NEXT_OWNERS = 30  # More than a course has.
NEXT_OWNER_AFTER_S = 2.0  # Of silence of an owner; then all is calm again.
RESIGNED_AFTER_S = 1.0
ENTRY_EXPIRES_S = 3.3  # After its last heartbeat an entry is dropped.
CUT_SOME_S = (5.0, 16.0)
STORE_DOWN_S = (2.0, 7.0)
PAUSED_S = (2.0, 7.0)
STALE_S, STALE_FOR_S = 3.0, 6.0
LAPSED_S = 2.0
NODES_RESTART_AFTER_S = (0.1, 1.0, 6.0)
OTHER_ADDRESS = "10.9.0.1:80"
APPEND_FATES = tuple(
    virtual_store.AppendFate(outcome, late_s)
    for outcome, late_s in (
        (virtual_store.AppendOutcome.UNANSWERED, 0.0),
        (virtual_store.AppendOutcome.LATE, 1.0),
        (virtual_store.AppendOutcome.LATE, 6.0),
        (virtual_store.AppendOutcome.LOST, 0.0),
        (virtual_store.AppendOutcome.BUSY, 0.0),
    )
)
# Moments of workers are disrupted at their worker, all others at this one.
FIRST_WORKER = "w0"
FROM_ARRIVAL = "-from-arrival"
LOOKS_DONE = (
    f"{messages.Kind.LOOK.value}-carried-out",
    f"{messages.Kind.LOOK.value}-answered",
)
UNDISRUPTED = (course.NOTE, moments.DISRUPTED)


@dataclasses.dataclass(frozen=True, slots=True)
class Disruption:
    """One disruption.

    Attributes:
        message: Kind of the messages that it befalls, empty for none.
        fate: What becomes of such a message.
        apply: Lets it begin; takes the course and a worker's name.
        lasts_s: When it is over, seconds after it began.
        is_immediate: Whether it begins within the moment, not just after it.
        needs_worker: Whether it befalls the worker of the moment.
        at_looks: Whether it is put where a poll that asks for nothing is
            carried out or answered, too.
    """

    message: str = ""
    fate: messages.Fate = messages.DELIVERED
    apply: Callable[[course.Course, str], None] = lambda world, name: None
    lasts_s: float = 0.0
    is_immediate: bool = True
    needs_worker: bool = True
    at_looks: bool = False

    def may_be_put_at(self, kind: str, worker: str) -> bool:
        """Returns whether it can be put at a moment."""
        if self.message:
            return kind == f"{self.message}-sent"
        if kind.startswith(UNDISRUPTED):
            return False
        if kind in LOOKS_DONE and not self.at_looks:
            return False
        return bool(worker) or not self.needs_worker


def _list_fates(message: str) -> dict[str, messages.Fate]:
    """Returns the fates of one kind of message by name."""
    found = {"lost": messages.Fate(None, answered=False)}
    if message == messages.Kind.LOOK:
        return found  # A late one does nothing.
    found["unanswered"] = messages.Fate(answered=False)
    grants = message in (messages.Kind.START, messages.Kind.RENEWAL)
    for late_s, from_arrival in itertools.product(LATE_S, (False, True)):
        if from_arrival and not grants:
            continue
        name = f"late-{late_s:g}{FROM_ARRIVAL * from_arrival}"
        found[name] = messages.Fate(
            late_s, answered=False, from_arrival=from_arrival, next_lives=True
        )
    return found


MESSAGE_KINDS = (
    messages.Kind.START,
    messages.Kind.RENEWAL,
    messages.Kind.ACKNOWLEDGEMENT,
    messages.Kind.STOP,
    messages.Kind.LOOK,
)
MESSAGES = {
    f"{kind.value}-{name}": Disruption(
        kind.value, fate, lasts_s=fate.carried_out_after_s or 0.0
    )
    for kind in MESSAGE_KINDS
    for name, fate in _list_fates(kind).items()
}


def _cut(for_s: float, from_store: bool) -> Disruption:
    return Disruption(
        apply=lambda world, name: world.disruptions.cut_worker(
            name, for_s, from_store=from_store
        ),
        lasts_s=for_s,
    )


def _list_nodes(world: course.Course, nexts: bool) -> range:
    """Lists the node of the present owner, or those of the next ones."""
    present = world.owner.node
    first = present + 1 if nexts else present
    return range(first, first + NEXT_OWNERS if nexts else first + 1)


def _cut_from(for_s: float, nexts: bool) -> Disruption:
    return Disruption(
        apply=lambda world, name: world.disruptions.cut_worker(
            name, for_s, nodes=_list_nodes(world, nexts)
        ),
        lasts_s=for_s,
    )


def _restart(same_id: bool) -> Disruption:
    return Disruption(
        apply=lambda world, name: world.disruptions.restart_worker(
            name, same_id
        ),
        is_immediate=False,
        at_looks=True,
    )


def _unlist(for_s: float) -> Disruption:
    return Disruption(
        apply=lambda world, name: world.disruptions.unlist_worker(name, for_s),
        lasts_s=for_s,
    )


def _change_owner(
    apply: Callable[[course.Course], None], lasts_s: float = 0.0
) -> Disruption:
    return Disruption(
        apply=lambda world, name: apply(world),
        lasts_s=lasts_s,
        is_immediate=False,
        needs_worker=False,
    )


def _pause(for_s: float) -> Disruption:
    return Disruption(
        apply=lambda world, name: world.disruptions.pause_worker(name, for_s),
        lasts_s=for_s,
    )


def _restart_nodes(after_s: float) -> Disruption:
    return _change_owner(
        lambda world: world.call_later(
            after_s, world.disruptions.restart_all_nodes
        ),
        after_s + NEXT_OWNER_AFTER_S,
    )


def _change_append(topic: str, fate: virtual_store.AppendFate) -> Disruption:
    """Returns what befalls the next append to a topic."""

    def apply(world: course.Course) -> None:
        choose = world.store.choose_append_fate

        def choose_once(
            found: virtual_store.AppendTry,
        ) -> virtual_store.AppendFate:
            if found.topic != topic:
                return choose(found)
            world.store.choose_append_fate = choose
            return fate

        world.store.choose_append_fate = choose_once

    return _change_owner(apply, fate.late_s)


def _name_append(topic: str, fate: virtual_store.AppendFate) -> str:
    late = f"-{fate.late_s:g}" if fate.late_s else ""
    return f"append-{topic}-{fate.outcome.value}{late}"


WORKERS = (
    {f"cut-{for_s:g}": _cut(for_s, False) for for_s in CUT_S}
    | {
        f"cut-{for_s:g}-unlisted": _cut(for_s, True)
        for for_s in CUT_S
        if for_s > ENTRY_EXPIRES_S
    }
    | {
        f"cut-from-{who}-{for_s:g}": _cut_from(for_s, who == "nexts")
        for who in ("nexts", "present")
        for for_s in CUT_SOME_S
    }
    | {
        "reborn": _restart(True),
        "reborn-renamed": _restart(False),
        "unlisted-1": _unlist(1.0),
        "unlisted-8": _unlist(8.0),
        "relisted": Disruption(
            apply=lambda world, name: world.disruptions.relist_worker(
                name, OTHER_ADDRESS
            )
        ),
        "clock-slow": Disruption(
            apply=lambda world, name: world.disruptions.slow_clock(name)
        ),
    }
    | {f"paused-{for_s:g}": _pause(for_s) for for_s in PAUSED_S}
)
OWNER = (
    {"owner-replaced": _change_owner(lambda world: world.take_over())}
    | {
        f"owner-frozen-{for_s:g}": _change_owner(
            lambda world, for_s=for_s: world.disruptions.freeze_owner(for_s),
            for_s,
        )
        for for_s in FROZEN_S
    }
    | {
        f"owner-cut-{for_s:g}": _change_owner(
            lambda world, for_s=for_s: world.disruptions.cut_owner_from_store(
                for_s
            ),
            for_s,
        )
        for for_s in OWNER_CUT_S
    }
    | {
        "owner-killed": _change_owner(
            lambda world: world.disruptions.kill_owner(), NEXT_OWNER_AFTER_S
        ),
        "owner-terminated": _change_owner(
            lambda world: world.disruptions.terminate_owner(), RESIGNED_AFTER_S
        ),
    }
    | {
        f"{thread}-behind-{for_s:g}": _change_owner(
            lambda world, thread=thread, for_s=for_s: (
                world.disruptions.delay_thread(thread, for_s)
            ),
            for_s,
        )
        for thread in (owners.DECISIONS, owners.CALLS)
        for for_s in BEHIND_S
    }
)
STORE = (
    {
        f"store-down-{for_s:g}": _change_owner(
            lambda world, for_s=for_s: world.disruptions.stop_store(for_s),
            for_s,
        )
        for for_s in STORE_DOWN_S
    }
    | {
        _name_append(topic, fate): _change_append(topic, fate)
        for topic in (virtual_store.PROGRESS, virtual_store.SHARED)
        for fate in APPEND_FATES
    }
    | {
        "reads-stale-3": _change_owner(
            lambda world: world.disruptions.stale_reads(STALE_S, STALE_FOR_S),
            STALE_FOR_S,
        ),
        "entries-lapse-2": _change_owner(
            lambda world: world.disruptions.lapse_entries(LAPSED_S), LAPSED_S
        ),
    }
)
NODES = {
    f"nodes-restarted-{after_s:g}": _restart_nodes(after_s)
    for after_s in NODES_RESTART_AFTER_S
}
# In the order in which they are explored.
DISRUPTIONS = MESSAGES | WORKERS | OWNER | STORE | NODES


def split_name(name: str) -> tuple[str, float, str]:
    """Splits a name at its seconds, 0 for none."""
    words = name.split("-")
    for index, word in enumerate(words):
        if word.replace(".", "").isdigit():
            before, after = words[:index], words[index + 1 :]
            return "-".join(before), float(word), "-".join(after)
    return name, 0.0, ""


def find_kind(name: str) -> str:
    """Returns a name without its seconds."""
    before, _, after = split_name(name)
    return f"{before} {after}"
