"""Effects that the owner's reducer returns: actions, described as data."""

import dataclasses

from poplarspindle.fleet import orders, records


@dataclasses.dataclass(frozen=True, slots=True)
class Append:
    """Append to the progress log; then post Appended with the same number."""

    number: int
    records: tuple[records.Record, ...]


@dataclasses.dataclass(frozen=True, slots=True)
class Publish:
    """Append to the shared log.

    Attributes:
        records: The records; later ones of the same key replace earlier ones.
        has_unreachable: Whether they list the unreachable workers; Published
            is posted only then.
    """

    records: tuple[records.Record, ...]
    has_unreachable: bool = False


@dataclasses.dataclass(frozen=True, slots=True)
class Order:
    """Send an order to a worker."""

    worker_name: str
    order: orders.Order


@dataclasses.dataclass(frozen=True, slots=True)
class Acknowledge:
    """Acknowledge to a worker that its run ends up to `number` are recorded."""

    worker_name: str
    incarnation_ms: int
    number: int


@dataclasses.dataclass(frozen=True, slots=True)
class AllowLeases:
    """Allow polls to renew a worker's leases again.

    Attributes:
        worker_name: The worker.
        failed_polls: Number of failed polls at the report that allows it; the
            effect is ignored if another poll has failed since.
    """

    worker_name: str
    failed_polls: int


@dataclasses.dataclass(frozen=True, slots=True)
class Note:
    """Write a line to the process's log, and count it.

    Attributes:
        area: Part of the scheduler that decided.
        event: What was decided.
        job: Id of the job concerned, empty for none.
        fields: Names and values that explain the decision.
    """

    area: str
    event: str
    job: str = ""
    fields: tuple[tuple[str, object], ...] = ()


@dataclasses.dataclass(frozen=True, slots=True)
class Drop:
    """Delete all records of these jobs, which ended long ago."""

    jobs: tuple[str, ...]


@dataclasses.dataclass(frozen=True, slots=True)
class ReadInventory:
    """Read which workers are alive; then post InventoryRead, if it is told."""


Effect = (
    Append
    | Publish
    | Drop
    | Order
    | Acknowledge
    | AllowLeases
    | Note
    | ReadInventory
)
