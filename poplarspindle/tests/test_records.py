"""Tests of the record codec."""

import msgpack
import pytest

from poplarspindle import records

PLACED = records.TaskPlaced("job/0", 1, "ourthe-w0", 3)
JOB = records.JobSubmitted("job", "team", "family", 10, 2, 500, 1000)
RECEIVED = records.TaskReceived("job/0", 1, "lesse", 250, JOB)


@pytest.mark.parametrize("record", [PLACED, JOB, RECEIVED])
def test_round_trip(record):
    payload = records.encode_batch((record, PLACED))
    assert records.decode_batch(payload) == ((record, PLACED), 0)


@pytest.mark.parametrize(
    "item",
    [
        7,
        ["TaskPlaced"],
        ["Unheard", ["job/0", 1, "w", 3]],
        ["TaskPlaced", ["job/0", 1, "w"]],
        ["TaskPlaced", ["job/0", "one", "w", 3]],
        ["TaskPlaced", {"task": "job/0"}],
    ],
    ids=str,
)
def test_malformed_record_is_counted_and_passed_over(item):
    good = msgpack.unpackb(records.encode_batch((PLACED,)))[0]
    payload = msgpack.packb([item, good])
    assert records.decode_batch(payload) == ((PLACED,), 1)


@pytest.mark.parametrize("payload", [b"", b"\xc1", b"\x81", b"\x01"])
def test_malformed_batch_is_counted(payload):
    assert records.decode_batch(payload) == ((), 1)


def test_fields_of_a_later_version_are_passed_over():
    ((kind, fields),) = msgpack.unpackb(records.encode_batch((PLACED,)))
    payload = msgpack.packb([[kind, [*fields, 9]]])
    assert records.decode_batch(payload) == ((PLACED,), 0)
