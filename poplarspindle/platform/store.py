"""Client of the platform's store: keyed topics and groups."""

import base64
import struct
import urllib.parse
from collections.abc import Iterable

from poplarspindle import outcomes
from poplarspindle.fleet import records
from poplarspindle.node import storage
from poplarspindle.platform import decoding, transport

FLEET_TOPIC = "keyed.poplarspindle"
PROGRESS_TOPIC = "keyed.poplarspindle-progress"
INTAKE_TOPIC = "keyed.poplarspindle-jobs"
OPERATORS_TOPIC = "keyed.op"
WORKERS_TOPIC = "keyed.servers"
GROUP = "poplarspindle-owner"
PRODUCER = "owner"
OWNED_PARTITION = 0
MAX_ITEMS = 100_000
RAW_HEADERS = {"Content-Type": "application/octet-stream"}
# An owner waits at each part of the hand-ins; appends and reads come on top.
CONNECTIONS = 64
READ_TIMEOUT_S = 2.0  # A slow store takes hundreds of milliseconds.
_OFFSETS = struct.Struct(">QQ")
_LENGTH = struct.Struct(">I")


def encode_records(items: Iterable[records.Record]) -> bytes:
    """Encodes keyed records as the store takes them."""
    chunks = []
    for record in items:
        key = record.key.encode()
        content = bytes([len(key)]) + key + record.value
        chunks += [_LENGTH.pack(len(content)), content]
    return b"".join(chunks)


def decode_records(data: bytes) -> list[records.Record]:
    """Decodes keyed records; one that is malformed has an empty key.

    A last record that is cut off is left out, to be read again.
    """
    items = []
    at = 0
    while at + _LENGTH.size <= len(data):
        (length,) = _LENGTH.unpack_from(data, at)
        at += _LENGTH.size
        if at + length > len(data):
            break
        items.append(_decode_record(data[at : at + length]))
        at += length
    return items


def _decode_record(content: bytes) -> records.Record:
    size = content[0] if content else 0
    key = content[1 : 1 + size]
    try:
        return records.Record(key.decode(), content[1 + size :])
    except UnicodeDecodeError:
        return records.Record("", b"")


class Store:
    """Calls of the store.

    Parts beyond those of a topic are parts of further topics of its name.

    Args:
        address: `host:port` of the store.
        parts: Partitions of a topic.
    """

    def __init__(self, address: str, partitions: int = 1) -> None:
        self._calls = transport.Transport(address, CONNECTIONS)
        self._partitions = partitions

    def move(self, address: str) -> None:
        """Sends all further calls to another address."""
        before = self._calls
        self._calls = transport.Transport(address, CONNECTIONS)
        before.close()

    def append(
        self,
        items: Iterable[records.Record],
        timeout_s: float,
        epoch: int = 0,
        sequence: int = 0,
        topic: str = "",
        partition: int = 0,
        expected_end: int = storage.ANY_END,
    ) -> outcomes.Ok[int] | outcomes.Failed:
        """Appends records, all or none.

        Args:
            items: The records.
            timeout_s: Time for the answer.
            epoch: Epoch of the owner that appends, 0 for anybody.
            sequence: Number of this append in the epoch.
            topic: Topic to append to, the one that all nodes follow if empty.
            partition: Partition of it.
            expected_end: Offset at which the partition has to end when the
                records are appended, ANY_END for any.

        Returns:
            Offset of the first record, or the failure. Its reason is
            `fenced` where a higher epoch was seen.
        """
        query = self._place(topic or FLEET_TOPIC, partition)
        if epoch:
            query |= {"producer": PRODUCER, "epoch": epoch, "seq": sequence}
        if expected_end != storage.ANY_END:
            query["at"] = expected_end
        answer = self._calls.call(
            outcomes.Step.APPEND,
            "POST",
            f"/api/log-append?{urllib.parse.urlencode(query)}",
            encode_records(items),
            timeout_s,
            RAW_HEADERS,
        )
        if isinstance(answer, outcomes.Failed):
            return answer
        fields = answer.value.read_fields()
        if answer.value.status == 200 and isinstance(fields.get("offset"), int):
            return outcomes.Ok(fields["offset"])
        return self._refuse(outcomes.Step.APPEND, answer.value, fields)

    def _place(self, topic: str, partition: int) -> dict[str, object]:
        """Returns the query for a part, in the topic that has it."""
        number, partition = divmod(partition, self._partitions)
        return {
            "topic": f"{topic}-{number}" if number else topic,
            "part": partition,
        }

    def _fail_malformed(self, step, error) -> outcomes.Failed:
        """Returns the failure for an answer that can't be used."""
        return outcomes.Failed(
            step, self._calls.address, "malformed", str(error)
        )

    def _refuse(self, step, answer, fields) -> outcomes.Failed:
        """Returns the failure for an answer that is no success."""
        reason = fields.get("reason")
        if answer.status == 409 and reason in ("fenced", "seq"):
            return outcomes.Failed(step, self._calls.address, reason)
        if answer.status == 412:
            return outcomes.Failed(step, self._calls.address, storage.OTHER_END)
        reason = f"status-{answer.status}"
        acted = answer.status not in (400, 410, 412, 429, 503, 507)
        return outcomes.Failed(step, self._calls.address, reason, "", acted)

    def read(
        self, topic: str, offset: int, wait_ms: int, partition: int = 0
    ) -> outcomes.Ok[storage.Page] | outcomes.Failed:
        """Reads records from an offset on, waiting where there are none.

        Returns:
            The records; or the failure, with reason `expired` where they
            are gone.
        """
        query = urllib.parse.urlencode(
            {
                **self._place(topic, partition),
                "from": offset,
                "wait_ms": wait_ms,
            }
        )
        answer = self._calls.call(
            outcomes.Step.READ,
            "GET",
            f"/api/log-read?{query}",
            None,
            READ_TIMEOUT_S + wait_ms / 1000,
        )
        if isinstance(answer, outcomes.Failed):
            return answer
        if answer.value.status == 410:
            return outcomes.Failed(
                outcomes.Step.READ, self._calls.address, "expired"
            )
        body = answer.value.body
        if answer.value.status != 200 or len(body) < _OFFSETS.size:
            return self._refuse(outcomes.Step.READ, answer.value, {})
        end, first = _OFFSETS.unpack_from(body)
        items = tuple(decode_records(body[_OFFSETS.size :]))
        if first > offset or (end > offset and not items) or end < offset:
            # Records in between are gone although the answer is a success.
            return outcomes.Failed(
                outcomes.Step.READ,
                self._calls.address,
                "expired",
                f"asked for {offset}, first {first}, end {end}",
            )
        return outcomes.Ok(storage.Page(items, offset + len(items), end))

    def read_newest(
        self, topic: str, after: str = "", partition: int = 0
    ) -> outcomes.Ok[storage.Newest] | outcomes.Failed:
        """Reads a page of the newest record of each key.

        Args:
            topic: The topic.
            after: Last key of the page before, empty for the first page.
            partition: Partition of the topic.
        """
        # The wire names the key to continue behind `depends_on`.
        query = self._place(topic, partition)
        query |= {"depends_on": after} if after else {}
        answer = self._calls.call(
            outcomes.Step.READ,
            "GET",
            f"/api/log-newest?{urllib.parse.urlencode(query)}",
            None,
            READ_TIMEOUT_S,
        )
        if isinstance(answer, outcomes.Failed):
            return answer
        fields = answer.value.read_fields()
        if answer.value.status != 200:
            return self._refuse(outcomes.Step.READ, answer.value, {})
        try:
            return outcomes.Ok(_read_newest(fields))
        except decoding.MalformedError as error:
            return self._fail_malformed(outcomes.Step.READ, error)

    def join(
        self, member: str, ttl_ms: int, generation: int
    ) -> outcomes.Ok[storage.Membership] | outcomes.Failed:
        """Joins the nodes' group or stays in it.

        Returns:
            Whether this member is the one that should own the fleet.
        """
        fields = {
            "group": GROUP,
            "member": member,
            "topics": [FLEET_TOPIC],
            "ttl_ms": ttl_ms,
            "generation": generation,
        }
        answer = self._calls.post(
            outcomes.Step.JOIN, "/api/log-join", fields, READ_TIMEOUT_S
        )
        if isinstance(answer, outcomes.Failed):
            return answer
        assignment = answer.value.read_fields()
        if answer.value.status != 200:
            return self._refuse(outcomes.Step.JOIN, answer.value, assignment)
        try:
            return outcomes.Ok(_read_membership(assignment))
        except decoding.MalformedError as error:
            return self._fail_malformed(outcomes.Step.JOIN, error)

    def leave(self, member: str) -> outcomes.Ok[None] | outcomes.Failed:
        """Leaves the nodes' group."""
        answer = self._calls.post(
            outcomes.Step.JOIN,
            "/api/log-leave",
            {"group": GROUP, "member": member},
            1.0,
        )
        return (
            answer if isinstance(answer, outcomes.Failed) else outcomes.Ok(None)
        )


def _read_newest(fields: dict) -> storage.Newest:
    items = decoding.check_list(fields.get("items"), "items", MAX_ITEMS)
    return storage.Newest(
        tuple(map(_read_item, items)),
        bool(fields.get("has_more")),
        decoding.check_whole(fields.get("end_offset"), "end_offset"),
    )


def _read_item(item: object) -> records.Record:
    """Reads one record; one that is malformed has an empty key."""
    try:
        fields = decoding.check_object(item, "an item")
        key = decoding.check_text(fields.get("key"), "key")
        value = fields.get("value")
        return records.Record(key, base64.b64decode(value, validate=True))
    except (ValueError, TypeError):
        return records.Record("", b"")


def _read_membership(fields: dict) -> storage.Membership:
    rows = decoding.check_list(fields.get("parts", []), "parts", MAX_ITEMS)
    mine = any(
        decoding.check_list(row, "a part", MAX_ITEMS)[:2]
        == [FLEET_TOPIC, OWNED_PARTITION]
        for row in rows
    )
    generation = decoding.check_whole(fields.get("generation"), "generation")
    return storage.Membership(generation, mine)
