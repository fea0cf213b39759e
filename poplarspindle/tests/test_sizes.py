"""Tests of task sizes corrected from measured use."""

import pytest

from poplarspindle import records, reports, resources, sizes

DECLARED = resources.Resources(2000, 4000, 1)
JOB = records.JobSubmitted("j", "t", "f", 1, 1, 2000, 4000, 1)


def make_sample(index, millicores, memory_mb, progress=1000):
    return reports.UsageSample(
        f"task{index % 4}",
        0,
        0,
        millicores,
        memory_mb,
        progress_per_mille=progress,
    )


@pytest.mark.parametrize(
    ("sample_count", "used", "progress", "expected"),
    [
        (5, (500, 1000), 1000, (2000, 4000)),
        (40, (500, 1000), 1000, (575, 1150)),
        (40, (1900, 3900), 1000, (2000, 4000)),
        (40, (2000, 6000), 1000, (2000, 6000)),
        (40, (2000, 4000), 400, (2600, 4000)),
        (40, (9000, 4000), 1000, (4000, 4000)),
        (40, (1, 1), 1000, (50, 64)),
    ],
)
def test_reservation_follows_measured_use(
    sample_count, used, progress, expected
):
    usage = {}
    for index in range(sample_count):
        sizes.apply_sample(
            usage, "f", make_sample(index, *used, progress), DECLARED
        )
    need = sizes.correct_need(usage, JOB, DECLARED)
    assert need == resources.Resources(*expected, 1)


def test_reservation_of_family_that_uses_all_is_bounded():
    usage = {}
    need = DECLARED
    for index in range(400):
        full_use = make_sample(index, need.millicores, need.memory_mb)
        sizes.apply_sample(usage, "f", full_use, need)
        need = sizes.correct_need(usage, JOB, DECLARED)
    assert need == DECLARED


@pytest.mark.parametrize(
    ("used", "expected"),
    [
        ((1000, 2000), None),
        ((2050, 4000), None),
        ((3000, 4000), (3000, 4000)),
        ((1000, 5000), (2000, 5000)),
    ],
)
def test_growth_of_running_task(used, expected):
    grown = sizes.find_growth(DECLARED, *used)
    assert grown == (expected and resources.Resources(*expected, 1))
