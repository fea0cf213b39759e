"""Workers that don't answer: how long their leases last, for the next owner.

An owner that begins can't know which leases were given to a worker that it
does not reach, and waits for the longest. Owners that follow each other
quickly would wait anew each time. So an owner records how much longer each
silent worker's leases last; whoever reads that counts from its own reading,
which comes later, so no clocks are compared. While a worker is recorded as
dark it is given no lease: when it answers, it is first taken off the record.
"""

import dataclasses
from collections.abc import Mapping

import msgpack

from poplarspindle.fleet import records, worker_state

DARK_KEY = "dark"


@dataclasses.dataclass(frozen=True, slots=True)
class Dark:
    """What the log says of a silent worker.

    Attributes:
        born_ms: The life that is meant.
        over_at: When all its leases are over, own clock of the reader.
    """

    born_ms: int
    over_at: float


def list_dark(
    hands: Mapping[str, worker_state.Hand],
) -> list[worker_state.Hand]:
    """Returns the silent workers that may hold runs."""
    return [hand for hand in hands.values() if hand.missed and hand.runs]


def encode_dark(hands: list[worker_state.Hand], at: float) -> records.Record:
    """Encodes how much longer leases last, from `at` on, own clock."""
    rows = {
        hand.worker.name: [
            hand.born_ms,
            int(max(0.0, hand.lapse_at - at) * 1000) + 1,
        ]
        for hand in hands
    }
    return records.Record(DARK_KEY, msgpack.packb([records.FORM, rows]))


def decode_dark(value: bytes, at: float) -> dict[str, Dark]:
    """Decodes a record read at `at`, own clock; raises ValueError."""
    _, rows = records.unpack(value)
    return {
        name: Dark(born_ms, at + left_ms / 1000)
        for name, (born_ms, left_ms) in rows.items()
    }
