"""What a node needs of the platform that it runs on, as plain functions."""

import dataclasses
from collections.abc import Callable

from poplarspindle import serving
from poplarspindle.fleet import records, work
from poplarspindle.node import calls, storage, wishes


@dataclasses.dataclass(frozen=True)
class Platform:
    """What a node needs of the platform that it runs on.

    Attributes:
        store: The store.
        fleet_topic: Topic that all nodes follow.
        progress_topic: Topic of the owner's own records.
        hand_ins_topic: Topic of what callers hand in, by the job's part.
        parts: Parts of that topic.
        operators_topic: Topic that operators write.
        workers_topic: Topic of the workers' entries.
        read_wish: Reads what operators write.
        read_worker: Reads a worker's entry.
        connect: Makes a client of a worker, given what carries its calls.
        read_call: Reads a caller's request.
        refuse_call: Returns the status of a request that is malformed.
        write_answer: Writes an answer to a caller.
        readiness_path: Path at which readiness is asked.
    """

    store: storage.Store
    fleet_topic: str
    progress_topic: str
    hand_ins_topic: str
    parts: int
    operators_topic: str
    workers_topic: str
    read_wish: Callable[[records.Record], wishes.Wish | None]
    read_worker: Callable[[records.Record], work.WorkerInfo | None]
    connect: Callable
    read_call: Callable
    refuse_call: Callable[[str], int]
    write_answer: Callable[[calls.Answer], serving.Response]
    readiness_path: str
