"""Observations that reach the reducer from the platform."""

import dataclasses
import enum

from poplarspindle import resources


class Role(enum.StrEnum):
    """What an entry of the instance list is."""

    ENTRY = "entry"
    SCHEDULER = "scheduler"
    WORKER = "worker"
    MINION = "minion"


class Presence(enum.StrEnum):
    """State of an instance in the platform's list."""

    LIVE = "live"
    LEAVING = "leaving"


@dataclasses.dataclass(frozen=True, slots=True)
class Member:
    """One entry of the platform's instance list.

    Attributes:
        name: Unique name; for our programs the incarnation id.
        role: What it is.
        data_centre: Where it stands.
        rack: Rack within the data centre.
        address: `host:port` of its HTTP interface.
        peer_address: `host:port` of our own streams, empty for others.
        presence: Live or leaving.
        services: Services a minion answers for.
        slots: Requests a minion runs at once.
        connections: Connections a minion accepts.
        capacity: What a worker offers.
    """

    name: str
    role: Role
    data_centre: str
    rack: str = ""
    address: str = ""
    peer_address: str = ""
    presence: Presence = Presence.LIVE
    services: tuple[str, ...] = ()
    slots: int = 0
    connections: int = 0
    capacity: resources.Resources = resources.ZERO


@dataclasses.dataclass(frozen=True, slots=True)
class RunningTask:
    """One attempt that a worker holds.

    Attributes:
        term: Term under which it was started or last renewed.
        worked_ms: Work done so far, including that of earlier attempts.
        family: Family given at the start.
    """

    task: str
    attempt: int
    term: int
    worked_ms: int
    family: str = ""


@dataclasses.dataclass(frozen=True, slots=True)
class EndedTask:
    """One attempt that ended, repeated until acknowledged.

    Attributes:
        cause: `finished`, `failed`, `stopped` (asked for), `lapsed` (lease
            ran out) or `refused` (never started).
        worked_ms: Work kept as checkpoint.
    """

    task: str
    attempt: int
    cause: str
    worked_ms: int
    detail: str = ""


@dataclasses.dataclass(frozen=True, slots=True)
class UsageSample:
    """A late measurement of one task.

    Attributes:
        age_ms: How long ago it was taken, by the worker's clock.
        millicores: Processor use.
        memory_mb: Memory use.
        latency_ms: Tail (p99) latency for a latency-critical task, 0.0 for
            batch.
        load: Offered load of the task, as a share of its nominal, 0..n.
        progress_per_mille: Speed of a batch task against running alone.
    """

    task: str
    attempt: int
    age_ms: int
    millicores: int
    memory_mb: int
    latency_ms: float = 0.0
    load: float = 0.0
    progress_per_mille: int = 1000


@dataclasses.dataclass(frozen=True, slots=True)
class WorkerReport:
    """A worker's answer to a sync.

    Attributes:
        now_ms: The worker's monotonic clock.
        highest_term: Highest term it has seen.
        running: Attempts it holds now (all of them).
        ended: Attempts that ended and were not acknowledged yet.
        usage: Late samples.
        refusals: One short tag per refused command.
    """

    now_ms: int
    highest_term: int
    running: tuple[RunningTask, ...] = ()
    ended: tuple[EndedTask, ...] = ()
    usage: tuple[UsageSample, ...] = ()
    refusals: tuple[str, ...] = ()
