"""Tests of worker quarantine and family backoff."""

import pytest

from poplarspindle import quarantine


@pytest.mark.parametrize(
    ("failures", "closed_workers", "closed_families"),
    [
        ([("w1", "a"), ("w1", "a"), ("w1", "a")], set(), set()),
        ([("w1", "a"), ("w1", "b")], set(), set()),
        ([("w1", "a"), ("w1", "b"), ("w1", "c")], {"w1"}, set()),
        ([("w1", "a"), ("w2", "a"), ("w3", "a")], set(), {"a"}),
        (
            [
                ("w1", "a"),
                ("w2", "a"),
                ("w3", "a"),
                ("w1", "b"),
                ("w1", "c"),
            ],
            set(),
            {"a"},
        ),
        (
            [("w1", f) for f in "abc"] + [("w1", "d"), ("w2", "d")],
            {"w1"},
            set(),
        ),
    ],
)
def test_cause_is_found(failures, closed_workers, closed_families):
    record = quarantine.FailureRecords()
    for at, (worker, family) in enumerate(failures):
        quarantine.record_failure(record, worker, family, float(at))
    closed = [
        {n for n, s in table.items() if s.is_closed}
        for table in (record.workers, record.families)
    ]
    assert closed == [closed_workers, closed_families]


def close_worker(at=0.0):
    record = quarantine.FailureRecords()
    for family in "abc":
        quarantine.record_failure(record, "w1", family, at)
    return record


@pytest.mark.parametrize(
    ("at", "is_open"),
    [
        (0.0, False),
        (quarantine.WAIT_FIRST_S - 0.1, False),
        (quarantine.WAIT_FIRST_S, True),
    ],
)
def test_probe_comes_after_the_wait(at, is_open):
    record = close_worker()
    assert quarantine.is_allowed(record.workers, "w1", at) is is_open


def test_one_probe_at_a_time_and_the_wait_doubles():
    record = close_worker()
    waits = []
    at = 0.0
    for probe in range(4):
        standing = record.workers["w1"]
        waits.append(standing.closed_until - at)
        at = standing.closed_until
        quarantine.record_placed(record, "w1", "d", f"probe{probe}", at)
        assert not quarantine.is_allowed(record.workers, "w1", at + 1)
        quarantine.record_failure(record, "w1", "d", at)
    first = quarantine.WAIT_FIRST_S
    assert waits == [first, 2 * first, 4 * first, 8 * first]


def test_success_of_the_probe_clears():
    record = close_worker()
    quarantine.record_success(record, "w1", "a")
    assert quarantine.is_allowed(record.workers, "w1", 0.0)


def test_old_failures_do_not_count():
    record = quarantine.FailureRecords()
    for index, family in enumerate("abc"):
        at = index * quarantine.WINDOW_S
        quarantine.record_failure(record, "w1", family, at)
    assert not record.workers["w1"].is_closed
