"""Tests of lanes: batches, retries and expiry, on a clock of their own."""

import pytest

from poplarspindle import append_buffer, records

BOUNDS = append_buffer.CommitBounds(
    delay_s=0.02, records=3, bytes=200, rate=30, buffer_bytes=2000
)


def make_lane(**lifetimes):
    by_kind = {getattr(records, k): v for k, v in lifetimes.items()}
    return append_buffer.AppendBuffer(BOUNDS, by_kind, seed=1)


def make_job(index, size=0):
    return records.JobCancelled(f"job-{index}" + "x" * size)


def read_payload(payload):
    found, malformed = records.decode_batch(payload)
    assert malformed == 0
    return [record.job for record in found]


@pytest.mark.parametrize(
    ("count", "size", "expected"),
    [
        (2, 0, ["job-0", "job-1"]),
        (5, 0, ["job-0", "job-1", "job-2"]),
        (2, 150, ["job-0" + "x" * 150]),
        (1, 900, ["job-0" + "x" * 900]),
    ],
)
def test_batch_is_bounded(count, size, expected):
    buffer = make_lane()
    for index in range(count):
        assert (
            buffer.add(make_job(index, size), 0.0)
            is append_buffer.AddOutcome.QUEUED
        )
    assert read_payload(buffer.take(0.0)[0]) == expected
    assert len(buffer) == count


def test_due_after_delay_or_when_full():
    buffer = make_lane()
    assert buffer.find_due() is None
    buffer.add(make_job(0), 5.0)
    assert buffer.find_due() == pytest.approx(5.02)
    for index in (1, 2):
        buffer.add(make_job(index), 5.01)
    assert buffer.find_due() == 5.0


def test_failed_batch_is_sent_again_before_newer_records():
    buffer = make_lane()
    buffer.add(make_job(0), 0.0)
    payload, _ = buffer.take(0.0)
    buffer.fail("timeout", 0.0)
    buffer.add(make_job(1), 0.0)
    assert 0.0 < buffer.find_due() <= append_buffer.BACKOFF_FIRST_S
    assert buffer.take(0.1)[0] == payload
    buffer.confirm()
    assert read_payload(buffer.take(0.1)[0]) == ["job-1"]


def test_backoff_grows_to_its_bound_and_is_seeded():
    def list_waits():
        buffer = make_lane()
        buffer.add(make_job(0), 0.0)
        buffer.take(0.0)
        waits = []
        for _ in range(12):
            buffer.fail("timeout", 0.0)
            waits.append(buffer.find_due())
        return waits

    waits = list_waits()
    assert waits == list_waits()
    assert waits[0] <= append_buffer.BACKOFF_FIRST_S
    assert (
        append_buffer.MAX_BACKOFF_S / 2
        <= waits[-1]
        <= append_buffer.MAX_BACKOFF_S
    )


@pytest.mark.parametrize("reason", ["status-413", "status-400"])
def test_refused_batch_is_halved_down_to_the_record_at_fault(reason):
    buffer = make_lane()
    for index in range(3):
        buffer.add(make_job(index), 0.0)
    landed, dropped = [], 0
    while len(buffer):
        names = read_payload(buffer.take(0.0)[0])
        if "job-1" in names:
            dropped += buffer.fail(reason, 0.0)
        else:
            landed += names
            buffer.confirm()
    assert (landed, dropped) == (["job-0", "job-2"], 1)


def test_equal_record_is_taken_once_while_it_waits():
    buffer = make_lane()
    buffer.add(make_job(0), 0.0)
    assert buffer.add(make_job(0), 1.0) is append_buffer.AddOutcome.COALESCED
    buffer.take(1.0)
    assert buffer.add(make_job(0), 1.0) is append_buffer.AddOutcome.COALESCED
    buffer.confirm()
    assert buffer.add(make_job(0), 2.0) is append_buffer.AddOutcome.QUEUED


def test_buffer_is_bounded():
    buffer = make_lane()
    added = [buffer.add(make_job(i, 180), 0.0) for i in range(12)]
    assert added.count(append_buffer.AddOutcome.QUEUED) == 9
    assert added[-1] is append_buffer.AddOutcome.FULL


@pytest.mark.parametrize("sent_before", [False, True])
def test_wish_past_its_lifetime_is_dropped_and_fact_is_kept(sent_before):
    buffer = make_lane(TaskPlaced=6.0)
    buffer.add(records.TaskPlaced("a/0", 0, "w", 1), 0.0)
    buffer.add(records.TaskRunning("a/0", 0, 1), 0.0)
    if sent_before:
        buffer.take(0.0)
        buffer.fail("timeout", 0.0)
    payload, expired = buffer.take(6.1)
    assert expired == 1
    assert records.decode_batch(payload) == (
        (records.TaskRunning("a/0", 0, 1),),
        0,
    )


def test_every_record_kind_is_a_wish_or_a_fact():
    wishes = set(append_buffer.list_lifetimes(6.0, 2.0))
    facts = {
        records.OwnershipReleased,
        records.JobSubmitted,
        records.JobCancelled,
        records.TaskRunning,
        records.TaskStopped,
        records.TaskEnded,
        records.TaskReceived,
        records.MoveConfirmed,
        records.RequestTraced,
        records.TicketsRetired,
        records.SectionPublished,
        records.DataCentreSet,
        records.HomeMoved,
    }
    named = wishes | facts
    added = set(records.KINDS.values()) - named
    assert not added, "say in lanes.list_lifetimes if a late one does harm"
