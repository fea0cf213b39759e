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
    lane = make_lane()
    for index in range(count):
        assert (
            lane.add(make_job(index, size), 0.0)
            is append_buffer.AddOutcome.QUEUED
        )
    assert read_payload(lane.take(0.0)[0]) == expected
    assert len(lane) == count


def test_due_after_delay_or_when_full():
    lane = make_lane()
    assert lane.find_due() is None
    lane.add(make_job(0), 5.0)
    assert lane.find_due() == pytest.approx(5.02)
    for index in (1, 2):
        lane.add(make_job(index), 5.01)
    assert lane.find_due() == 5.0


def test_failed_batch_is_sent_again_before_newer_records():
    lane = make_lane()
    lane.add(make_job(0), 0.0)
    payload, _ = lane.take(0.0)
    lane.fail("timeout", 0.0)
    lane.add(make_job(1), 0.0)
    assert 0.0 < lane.find_due() <= append_buffer.BACKOFF_FIRST_S
    assert lane.take(0.1)[0] == payload
    lane.confirm()
    assert read_payload(lane.take(0.1)[0]) == ["job-1"]


def test_backoff_grows_to_its_bound_and_is_seeded():
    def list_waits():
        lane = make_lane()
        lane.add(make_job(0), 0.0)
        lane.take(0.0)
        waits = []
        for _ in range(12):
            lane.fail("timeout", 0.0)
            waits.append(lane.find_due())
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
    lane = make_lane()
    for index in range(3):
        lane.add(make_job(index), 0.0)
    landed, dropped = [], 0
    while len(lane):
        names = read_payload(lane.take(0.0)[0])
        if "job-1" in names:
            dropped += lane.fail(reason, 0.0)
        else:
            landed += names
            lane.confirm()
    assert (landed, dropped) == (["job-0", "job-2"], 1)


def test_equal_record_is_taken_once_while_it_waits():
    lane = make_lane()
    lane.add(make_job(0), 0.0)
    assert lane.add(make_job(0), 1.0) is append_buffer.AddOutcome.COALESCED
    lane.take(1.0)
    assert lane.add(make_job(0), 1.0) is append_buffer.AddOutcome.COALESCED
    lane.confirm()
    assert lane.add(make_job(0), 2.0) is append_buffer.AddOutcome.QUEUED


def test_buffer_is_bounded():
    lane = make_lane()
    added = [lane.add(make_job(i, 180), 0.0) for i in range(12)]
    assert added.count(append_buffer.AddOutcome.QUEUED) == 9
    assert added[-1] is append_buffer.AddOutcome.FULL


@pytest.mark.parametrize("sent_before", [False, True])
def test_wish_past_its_lifetime_is_dropped_and_fact_is_kept(sent_before):
    lane = make_lane(TaskPlaced=6.0)
    lane.add(records.TaskPlaced("a/0", 0, "w", 1), 0.0)
    lane.add(records.TaskRunning("a/0", 0, 1), 0.0)
    if sent_before:
        lane.take(0.0)
        lane.fail("timeout", 0.0)
    payload, expired = lane.take(6.1)
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
