"""Who is blamed for a crash, and who is given up."""

import dataclasses

import pytest

from poplarspindle.fleet import blame

OLD = blame.Aboard(0, 0, False, False, 1.0, 1.5, 100.0, True)
NEW = blame.Aboard(0, 0, True, False, 99.5, float("inf"), 100.0, True)
ONCE = dataclasses.replace(NEW, crashes=1, certain_crashes=1)
TWICE = dataclasses.replace(NEW, crashes=2, certain_crashes=0)
OLD_SUSPECT = dataclasses.replace(OLD, crashes=1, certain_crashes=1)
UNANSWERED = dataclasses.replace(TWICE, certain=False, was_at_work=False)
UNANSWERED_FIRST = dataclasses.replace(UNANSWERED, crashes=0)
UNANSWERED_ONCE = dataclasses.replace(UNANSWERED, crashes=1)
LASTING = dataclasses.replace(ONCE, until_cancelled=True)
OUTLIVED = dataclasses.replace(OLD, until_cancelled=True)

# What was aboard, how many others went silent, who is counted and given up.
CASES = [
    pytest.param([], 0, "", id="nothing aboard"),
    pytest.param([OLD, NEW], 0, "cc", id="first crash"),
    pytest.param([OLD, NEW], 2, "cc", id="first crash, others silent"),
    pytest.param([OLD, OLD], 3, "--", id="first crash of many workers"),
    pytest.param([OLD, NEW], 3, "-c", id="just started, many workers"),
    pytest.param([OLD, ONCE], 0, "-g", id="suspect came last"),
    pytest.param([ONCE], 0, "g", id="suspect alone"),
    pytest.param([ONCE], 1, "c", id="another worker silent"),
    pytest.param([ONCE], 3, "c", id="suspect just started, many silent"),
    pytest.param([OLD_SUSPECT], 3, "-", id="many workers silent"),
    pytest.param([TWICE], 2, "g", id="third crash, others silent"),
    pytest.param([TWICE], 3, "g", id="third time just started, many silent"),
    pytest.param([UNANSWERED], 3, "g", id="third time, start unanswered"),
    pytest.param(
        [dataclasses.replace(OLD_SUSPECT, crashes=2)],
        3,
        "-",
        id="third crash of many workers",
    ),
    pytest.param([UNANSWERED, ONCE], 0, "gc", id="unanswered beside another"),
    pytest.param([UNANSWERED] * 2, 0, "--", id="two starts unanswered"),
    pytest.param([UNANSWERED_ONCE] * 2, 0, "--", id="suspects unanswered"),
    pytest.param([UNANSWERED_FIRST] * 2, 0, "cc", id="first, unanswered"),
    pytest.param([ONCE, ONCE], 0, "cc", id="two suspects"),
    pytest.param([ONCE, NEW], 0, "cc", id="started with the suspect"),
    pytest.param([TWICE, ONCE], 0, "gc", id="two suspects, one worse"),
    pytest.param(
        [dataclasses.replace(ONCE, certain=False)], 0, "c", id="in doubt now"
    ),
    pytest.param(
        [dataclasses.replace(ONCE, certain_crashes=0)],
        0,
        "c",
        id="in doubt before",
    ),
    pytest.param([LASTING], 0, "c", id="lasting, second crash"),
    pytest.param(
        [dataclasses.replace(LASTING, crashes=2)],
        0,
        "g",
        id="lasting, third crash",
    ),
    pytest.param([OUTLIVED], 0, "-", id="lasting, at work for long"),
    pytest.param([OUTLIVED, NEW], 0, "-c", id="beside one at work for long"),
    pytest.param(
        [dataclasses.replace(OUTLIVED, crashes=2)],
        0,
        "-",
        id="lasting, at work for long after two crashes",
    ),
]


@pytest.mark.parametrize(("aboard", "silent_together", "expected"), CASES)
def test_crash_is_counted_for_those_to_blame(aboard, silent_together, expected):
    verdicts = blame.judge(aboard, silent_together)
    shown = [
        "g" if verdict.given_up else "c" if verdict.counted else "-"
        for verdict in verdicts
    ]
    assert "".join(shown) == expected
