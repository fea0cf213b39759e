"""Cases that the explorer found; each row is printed by it.

The disruptions of a row begin in their order, each at a moment: its kind, its
worker, and how many of that kind came before it since the disruption before.
"""

import pytest

from poplarspindle.tools.explorer import playing, report

ROWS = {
    # LOST: a task is given up though it ended `done` in a life that its owner
    # had not heard of when it placed it there.
    "ends-in-an-unheard-life": (
        "chain",
        2,
        [
            ("reborn", "start-carried-out", "w0", 0),
            ("reborn", "look-carried-out", "w0", 0),
        ],
    ),
    # TWICE: the start comes late to a worker that is alive and unlisted.
    "late-start-at-an-unlisted-worker": (
        "task",
        2,
        [
            ("start-late-7-from-arrival", "start-sent", "w0", 0),
            ("cut-12-unlisted", "start-sent", "w0", 0),
        ],
    ),
    # TWICE: the owner that the store does not hear renews leases on.
    "owner-that-the-store-does-not-hear": (
        "two-jobs",
        2,
        [
            ("cut-from-nexts-16", "start-sent", "w0", 0),
            ("owner-cut-12", "start-sent", "w0", 0),
        ],
    ),
    # TWICE: a late poll names an end to a life that counts from one again.
    "late-acknowledgement-in-the-next-life": (
        "chain",
        2,
        [
            ("acknowledgement-late-3", "acknowledgement-sent", "w0", 0),
            ("reborn", "start-answered", "w0", 0),
            ("cut-5", "start-carried-out", "w0", 0),
        ],
    ),
}


@pytest.mark.parametrize("row", ROWS.values(), ids=ROWS)
def test_case_that_was_found_breaks_no_promise(row):
    case = report.parse_row(*row)
    outcome = playing.play(case)
    assert outcome.placed == len(case.placements)
    assert outcome.violations == ()
