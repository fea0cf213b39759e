"""What the owner's reducer wants done, as data."""

import dataclasses

from poplarspindle.fleet import orders, records


@dataclasses.dataclass(frozen=True, slots=True)
class Append:
    """Append to the progress log; then raise Appended with the number."""

    number: int
    records: tuple[records.Record, ...]


@dataclasses.dataclass(frozen=True, slots=True)
class Publish:
    """Append to the shared log; then raise Published.

    Attributes:
        records: The records; later ones of the same key replace earlier ones.
        has_unreachable: Whether they tell of silent workers.
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
    """Ends of a worker up to a number are recorded."""

    worker_name: str
    incarnation_ms: int
    number: int


@dataclasses.dataclass(frozen=True, slots=True)
class AllowLeases:
    """A worker may be asked for leases again.

    Attributes:
        failed_polls: The look whose answer allows it; later misses forbid it.
    """

    worker_name: str
    failed_polls: int


@dataclasses.dataclass(frozen=True, slots=True)
class Note:
    """One line for the log, and a counter.

    Attributes:
        part: Which part decided.
        event: What was decided.
        job: The job it touches, empty for none.
        fields: What decided it.
    """

    part: str
    event: str
    job: str = ""
    fields: tuple[tuple[str, object], ...] = ()


@dataclasses.dataclass(frozen=True, slots=True)
class Drop:
    """Drop all records of jobs that ended long ago."""

    jobs: tuple[str, ...]


Effect = Append | Publish | Drop | Order | Acknowledge | AllowLeases | Note
