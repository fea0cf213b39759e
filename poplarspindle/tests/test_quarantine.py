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
def test_failures_close_worker_or_family(
    failures, closed_workers, closed_families
):
    failure_records = quarantine.FailureRecords()
    for at, (worker, family) in enumerate(failures):
        quarantine.record_failure(failure_records, worker, family, float(at))
    closed = [
        {name for name, history in histories.items() if history.is_closed}
        for histories in (failure_records.workers, failure_records.families)
    ]
    assert closed == [closed_workers, closed_families]


def close_worker(at=0.0):
    failure_records = quarantine.FailureRecords()
    for family in "abc":
        quarantine.record_failure(failure_records, "w1", family, at)
    return failure_records


@pytest.mark.parametrize(
    ("at", "expected"),
    [
        (0.0, False),
        (quarantine.FIRST_WAIT_S - 0.1, False),
        (quarantine.FIRST_WAIT_S, True),
    ],
)
def test_probe_is_allowed_after_wait(at, expected):
    failure_records = close_worker()
    assert quarantine.is_allowed(failure_records.workers, "w1", at) is expected


def test_one_probe_at_a_time_and_wait_doubles():
    failure_records = close_worker()
    waits = []
    at = 0.0
    for probe in range(4):
        history = failure_records.workers["w1"]
        waits.append(history.closed_until - at)
        at = history.closed_until
        quarantine.record_placed(
            failure_records, "w1", "d", f"probe{probe}", at
        )
        assert not quarantine.is_allowed(failure_records.workers, "w1", at + 1)
        quarantine.record_failure(failure_records, "w1", "d", at)
    first_wait_s = quarantine.FIRST_WAIT_S
    assert waits == [
        first_wait_s,
        2 * first_wait_s,
        4 * first_wait_s,
        8 * first_wait_s,
    ]


def test_successful_probe_opens_worker():
    failure_records = close_worker()
    quarantine.record_success(failure_records, "w1", "a")
    assert quarantine.is_allowed(failure_records.workers, "w1", 0.0)


def test_old_failures_do_not_count():
    failure_records = quarantine.FailureRecords()
    for index, family in enumerate("abc"):
        at = index * quarantine.WINDOW_S
        quarantine.record_failure(failure_records, "w1", family, at)
    assert not failure_records.workers["w1"].is_closed
