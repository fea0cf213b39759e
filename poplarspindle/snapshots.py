"""A stream's state as snapshot chunks, and chunks back to state.

All fields of the state's dataclass are carried, also those added later; a
field with `kept` set to False in its metadata is left out.
"""

import dataclasses
import functools
import hashlib
import hmac
import itertools
import typing
import zlib
from collections.abc import Callable, Mapping

import cattrs.preconf.msgpack
import msgpack

from poplarspindle import cells, document, outcomes, records

FORMAT = 1
CHUNK_BYTES = 32768
MAX_CHUNKS = 8192
MAX_STATE_BYTES = 256 * 1024 * 1024
MAX_ASSEMBLIES = 8
COMPRESSION_LEVEL = 1
KEY_LABEL = b"\0snapshot"

State = cells.Table | document.State
Opener = Callable[[str, "Snapshot"], outcomes.Ok[State] | outcomes.Failed]

_converter = cattrs.preconf.msgpack.make_converter()


@dataclasses.dataclass(frozen=True, slots=True)
class Snapshot:
    """A snapshot of which all chunks were read.

    Attributes:
        snapshot_id: Its unique id.
        covers: Offset up to which (inclusive) the state was reduced.
        payload: The encoded state.
        signature: HMAC-SHA256 of covers and payload, hex.
    """

    snapshot_id: str
    covers: int
    payload: bytes
    signature: str


@functools.cache
def list_fields(kind: type) -> tuple[tuple[str, object], ...]:
    """Returns name and type of the fields that a snapshot carries."""
    hints = typing.get_type_hints(kind)
    return tuple(
        (field.name, hints[field.name])
        for field in dataclasses.fields(kind)
        if field.metadata.get("kept", True)
    )


def encode_state(state: State) -> bytes:
    """Encodes a stream's state."""
    table = {
        name: _converter.unstructure(getattr(state, name), unstructure_as=kind)
        for name, kind in list_fields(type(state))
    }
    return zlib.compress(msgpack.packb([FORMAT, table]), COMPRESSION_LEVEL)


def decode_state(
    payload: bytes, blank: State
) -> outcomes.Ok[State] | outcomes.Failed:
    """Decodes a stream's state.

    Args:
        payload: What `encode_state` made.
        blank: State with the fields that snapshots leave out; a field that
            the payload lacks keeps its value from here.

    Returns:
        The state, or why the payload is none.
    """
    try:
        table = _unpack_table(payload)
        values = {
            name: _converter.structure(table[name], kind)
            for name, kind in list_fields(type(blank))
            if name in table
        }
    except Exception as error:
        return outcomes.Failed(
            outcomes.Step.READ, "", "snapshot-corrupt", repr(error)
        )
    return outcomes.Ok(dataclasses.replace(blank, **values))


def _unpack_table(payload: bytes) -> dict:
    reader = zlib.decompressobj()
    packed = reader.decompress(payload, MAX_STATE_BYTES)
    if not reader.eof:
        raise ValueError("cut or too large")
    found_format, table = msgpack.unpackb(packed, strict_map_key=False)
    if found_format != FORMAT:
        raise ValueError(f"format {found_format} is not {FORMAT}")
    return table


def _sign(covers: int, payload: bytes, secret: str) -> str:
    key = hmac.new(secret.encode(), KEY_LABEL, hashlib.sha256).digest()
    signed = hmac.new(key, b"%d:" % covers + payload, hashlib.sha256)
    return signed.hexdigest()


def split_state(
    state: State, snapshot_id: str, covers: int, secret: str
) -> tuple[records.SnapshotChunk, ...]:
    """Makes the chunks of a snapshot of a state.

    Args:
        state: The state.
        snapshot_id: Unique id of the snapshot.
        covers: Offset up to which (inclusive) the state was reduced.
        secret: The deployment's secret, to sign with.
    """
    payload = encode_state(state)
    signature = _sign(covers, payload, secret)
    starts = range(0, len(payload), CHUNK_BYTES)
    return tuple(
        records.SnapshotChunk(
            snapshot_id,
            index,
            len(starts),
            covers,
            payload[start : start + CHUNK_BYTES],
            signature,
        )
        for index, start in enumerate(starts)
    )


class Assembly:
    """Puts chunks together; keeps a bounded number of incomplete ones."""

    def __init__(self) -> None:
        self._parts: dict[str, dict[int, records.SnapshotChunk]] = {}

    def add(self, offset: int, chunk: records.SnapshotChunk) -> Snapshot | None:
        """Takes a chunk; returns the snapshot that it completes.

        Args:
            offset: Offset at which the chunk was read.
            chunk: The chunk; one that contradicts itself or the others of
                its snapshot is ignored.
        """
        if not _is_sound(offset, chunk):
            return None
        parts = self._parts.setdefault(chunk.snapshot_id, {})
        first = next(iter(parts.values()), chunk)
        if _identify(first) != _identify(chunk):
            return None
        parts[chunk.index] = chunk
        if len(parts) < chunk.count:
            self._drop_oldest()
            return None
        del self._parts[chunk.snapshot_id]
        payload = b"".join(parts[i].payload for i in range(chunk.count))
        return Snapshot(
            chunk.snapshot_id, chunk.covers, payload, chunk.signature
        )

    def _drop_oldest(self) -> None:
        surplus = len(self._parts) - MAX_ASSEMBLIES
        for name in list(itertools.islice(self._parts, max(0, surplus))):
            del self._parts[name]


def _is_sound(offset: int, chunk: records.SnapshotChunk) -> bool:
    return (
        0 <= chunk.index < chunk.count <= MAX_CHUNKS
        and 0 <= chunk.covers < offset
    )


def _identify(chunk: records.SnapshotChunk) -> tuple[int, int, str]:
    return chunk.count, chunk.covers, chunk.signature


def make_opener(
    secret: str, team_keys: Mapping[str, bytes] | None = None
) -> Opener:
    """Makes a function that opens the snapshots of any stream.

    Args:
        secret: The deployment's secret.
        team_keys: Key by team where the secret is not known; signatures of
            snapshots can't be checked then.
    """

    def open_snapshot(
        stream: str, snapshot: Snapshot
    ) -> outcomes.Ok[State] | outcomes.Failed:
        signature = _sign(snapshot.covers, snapshot.payload, secret)
        if team_keys is None and not hmac.compare_digest(
            signature, snapshot.signature
        ):
            return outcomes.Failed(
                outcomes.Step.READ, stream, "snapshot-unsigned"
            )
        if stream == records.DOCUMENT_STREAM:
            blank = document.State(secret, team_keys)
            return decode_state(snapshot.payload, blank)
        data_centre = stream.removeprefix(records.CELL_STREAM_PREFIX)
        return decode_state(snapshot.payload, cells.Table(data_centre))

    return open_snapshot
