"""Tests of resources."""

import pytest

from poplarspindle import resources


@pytest.mark.parametrize(
    ("need", "room", "fits"),
    [
        ((1, 1, 0), (1, 1, 0), True),
        ((2, 1, 0), (1, 1, 0), False),
        ((1, 2, 0), (1, 1, 0), False),
        ((1, 1, 1), (1, 1, 0), False),
    ],
)
def test_fits_in(need, room, fits):
    amount = resources.Resources(*need)
    assert amount.fits_in(resources.Resources(*room)) is fits


def test_share_is_dominant():
    total = resources.Resources(10, 100, 0)
    assert resources.Resources(5, 10, 3).share_of(total) == 0.5
