"""Tests of the records of the store's wire format."""

import pytest

from poplarspindle.fleet import records
from poplarspindle.platform import store


@pytest.mark.parametrize("cut", [1, 3, 6, 7, 9])
def test_record_that_was_cut_off_is_read_again(cut):
    """LOST: a job whose record was cut off counted as read."""
    found = [records.Record("k", b"value"), records.Record("cut", b"val")]
    data = store.encode_records(found)[:-cut]
    assert store.decode_records(data) == found[:1]
