"""What a node needs of the platform that it runs on, as plain functions."""

import dataclasses
from collections.abc import Callable

from poplarspindle import http_server, outcomes
from poplarspindle.fleet import records, work
from poplarspindle.node import (
    caller_calls,
    inventory,
    operator_commands,
    storage,
)


@dataclasses.dataclass(frozen=True)
class Platform:
    """What a node needs of the platform that it runs on.

    Attributes:
        store: The store.
        fleet_topic: Topic that all nodes follow.
        progress_topic: Topic of the owner's own records.
        intake_topic: Topic of what callers hand in, by the job's part.
        partitions: Parts of that topic.
        operators_topic: Topic that operators write.
        workers_topic: Topic of the workers' entries.
        read_operator_command: Reads what operators write.
        read_worker: Reads a worker's entry; a failure where it names none.
        connect: Makes a client of a worker, given what carries its calls.
        read_call: Reads a caller's request.
        refuse_call: Returns the status of a request that is malformed.
        write_answer: Writes an answer to a caller.
        readiness_path: Path at which readiness is asked.
        worker_inventory: Tells which workers are alive; None for none.
    """

    store: storage.Store
    fleet_topic: str
    progress_topic: str
    intake_topic: str
    partitions: int
    operators_topic: str
    workers_topic: str
    read_operator_command: Callable[
        [records.Record], operator_commands.OperatorCommand | None
    ]
    read_worker: Callable[[records.Record], work.WorkerInfo | outcomes.Failed]
    connect: Callable
    read_call: Callable
    refuse_call: Callable[[str], int]
    write_answer: Callable[[caller_calls.Answer], http_server.Response]
    readiness_path: str
    worker_inventory: inventory.Inventory | None = None
