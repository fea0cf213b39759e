"""The explorer: enumeration, folding, shrinking, and that it can fail."""

import concurrent.futures
import dataclasses
import itertools
import types

import pytest

from poplarspindle.fleet import fencing, grants, lease_bounds
from poplarspindle.tools.explorer import (
    branching,
    cases,
    disruptions,
    exploring,
    fixed,
    moments,
    playing,
    report,
    shrinking,
)
from poplarspindle.tools.fakes import owners

CASE = cases.Case("task", 2)


def make_moments(*names, disruptions_before=0):
    """Makes moments of w0 one second apart, as a recorder does."""
    recorder = moments.Recorder()
    recorder.disruptions = disruptions_before
    for at, (kind, subject) in enumerate(names):
        recorder.record(kind, "w0", subject, float(at))
    return tuple(recorder.moments)


COURSE = make_moments(
    ("start-sent", "a#1"),
    ("start-answered", "a#1"),
    ("renewal-sent", ""),
    ("end-listed", "a#1"),
)


def list_placements(course, *names):
    table = {name: disruptions.DISRUPTIONS[name] for name in names}
    return [
        case.placements[-1] for case in cases.list_next(CASE, course, table)
    ]


# Enumeration.


@pytest.mark.parametrize(
    ("name", "kinds"),
    [
        ("start-lost", ["start-sent"]),
        ("renewal-late-7", ["renewal-sent"]),
        ("stop-lost", []),
        (
            "cut-5",
            ["start-sent", "start-answered", "renewal-sent", "end-listed"],
        ),
    ],
)
def test_disruption_is_put_only_at_moments_that_the_course_reaches(name, kinds):
    placements = list_placements(COURSE, name)
    assert [one.kind for one in placements] == kinds


def test_disruption_is_put_only_at_moments_after_the_one_before():
    before = make_moments(("start-sent", "a#1"))
    after = make_moments(("stop-sent", "a#1"), disruptions_before=1)
    case = dataclasses.replace(
        CASE, placements=(cases.Placement("cut-5", "start-sent", "w0"),)
    )
    found = cases.list_next(
        case, before + after, {"cut-2": disruptions.DISRUPTIONS["cut-2"]}
    )
    assert [one.placements[-1].kind for one in found] == ["stop-sent"]


def test_moments_at_one_time_are_one_place_for_a_cut():
    course = tuple(dataclasses.replace(one, at=0.0) for one in COURSE)
    assert len(list_placements(course, "cut-5")) == 1
    assert len(list_placements(course, "start-lost")) == 1


def test_every_ordered_pair_is_listed():
    names = ["start-lost", "cut-5", "renewal-lost"]
    first = cases.list_next(
        CASE, COURSE, {name: disruptions.DISRUPTIONS[name] for name in names}
    )
    after = make_moments(
        ("start-sent", "a#2"), ("renewal-sent", ""), disruptions_before=1
    )
    pairs = {
        tuple(one.disruption for one in longer.placements)
        for case in first
        for longer in cases.list_next(
            case,
            COURSE + after,
            {name: disruptions.DISRUPTIONS[name] for name in names},
        )
    }
    assert pairs == set(itertools.product(names, names))


# Folding.


def test_looks_that_repeat_count_once_until_something_happens():
    course = make_moments(
        ("start-sent", "a#1"),
        ("look-sent", ""),
        ("look-answered", ""),
        ("look-sent", ""),
        ("look-answered", ""),
        ("end-listed", "a#1"),
        ("look-sent", ""),
    )
    assert [one.kind for one in course] == [
        "start-sent",
        "look-sent",
        "look-answered",
        "end-listed",
        "look-sent",
    ]
    assert course[-1].number == 1


def test_worker_without_an_order_has_no_moments():
    assert make_moments(("look-sent", ""), ("renewal-sent", "")) == ()


def test_sequences_that_differ_in_time_only_have_one_fingerprint():
    later = tuple(dataclasses.replace(one, at=one.at + 0.5) for one in COURSE)
    assert moments.hash_names(later) == moments.hash_names(COURSE)
    assert moments.hash_names(COURSE[:-1]) != moments.hash_names(COURSE)


class FakePlays:
    """Plays of a world in which a lost start and then a cut break a promise.

    Attributes:
        played: The names of the disruptions of each case that was played.
    """

    def __init__(self):
        self.played = []

    def play(self, case, is_last=False):
        """Plays a case."""
        names = [one.disruption for one in case.placements]
        self.played.append(tuple(names))
        course = COURSE + make_moments(
            ("start-sent", "a#2"),
            (
                "renewal-sent",
                "".join(names) if "unlisted-1" not in names else "",
            ),
            disruptions_before=len(names),
        )
        is_broken = "start-lost" in names and "cut-5" in names[-1:]
        violations = ("two runs at once: a",) if is_broken else ()
        return playing.Outcome(
            violations, course, moments.hash_names(course), len(names)
        )


def explore_fake(names, depth):
    plays = FakePlays()
    tally = exploring.explore(
        [CASE], [names] * depth, exploring.run_here, play=plays.play
    )
    return plays, tally


def test_course_with_a_known_sequence_is_not_extended():
    plays, tally = explore_fake(("unlisted-1",), 2)
    assert tally.folded[("unlisted-1",)] == tally.played[("unlisted-1",)] - 1
    pairs = [names for names in plays.played if len(names) == 2]
    assert len(pairs) == 2


def test_failure_is_reported_once_for_each_sequence():
    _, tally = explore_fake(("start-lost", "cut-5"), 2)
    assert tally.failed[("start-lost", "cut-5")] > 0
    assert tally.failed.total() == tally.failed[("start-lost", "cut-5")]
    assert len(tally.failures) == 1
    lines = list(report.format_tally(tally))
    assert any("start x cut" in line for line in lines)


def test_exploration_is_the_same_each_time():
    results = [explore_fake(("start-lost", "cut-5"), 2) for _ in range(2)]
    assert results[0][0].played == results[1][0].played
    assert results[0][1].failures == results[1][1].failures


# Branching.

NAMES = ("renewal-lost", "cut-2", "owner-replaced", "nodes-restarted-0.1")


@pytest.mark.parametrize("shared_s", [0.0, branching.MIN_SHARED_S])
@pytest.mark.parametrize("placements", [(), ("cut-2",)])
def test_cases_that_part_from_a_course_are_played_as_from_the_beginning(
    placements, shared_s, monkeypatch
):
    monkeypatch.setattr(branching, "MIN_SHARED_S", shared_s)
    case = cases.Case(
        "task",
        2,
        tuple(cases.Placement(one, "start-sent", "w0") for one in placements),
    )
    played = exploring.play_next(case, NAMES, True)
    branched = exploring.play_next(
        case, NAMES, True, play_branches=branching.play_branches
    )
    assert branched == played
    assert len(played) > len(NAMES)


def test_child_that_fails_is_reported(monkeypatch):
    monkeypatch.setattr(branching, "MIN_SHARED_S", 0.0)
    broken = disruptions.Disruption(apply=lambda world, name: 1 / 0)
    table = {"cut-2": broken}
    course = playing.play(CASE).moments
    longer = cases.list_next(CASE, course, table)
    with pytest.raises(RuntimeError, match="ZeroDivisionError"):
        branching.play_branches(CASE, longer, True, table)


# Time.


class OneAtATimePool:
    """Takes the place of a pool of one process, which began the first call."""

    def __init__(self, processes, initializer):
        self.begun = 0

    def __enter__(self):
        return self

    def __exit__(self, *_):
        """Does nothing."""

    def submit(self, extend, case):
        """Returns a future that can be cancelled unless it is the first."""
        future = concurrent.futures.Future()
        if not self.begun:
            future.set_running_or_notify_cancel()
            future.set_result(extend(case))
        self.begun += 1
        return future


def test_what_has_not_begun_in_time_is_left(monkeypatch):
    """Each process had up to seven courses to go after the end of the time."""
    monkeypatch.setattr(
        concurrent.futures, "ProcessPoolExecutor", OneAtATimePool
    )
    looks = itertools.count()
    clock = types.SimpleNamespace(monotonic=lambda: next(looks))
    monkeypatch.setattr(exploring, "time", clock)
    run_all = exploring.run_in_processes(1, exploring.WAITING)
    found = list(run_all(lambda case: [case], [CASE] * 20))
    assert found == [[CASE]]


# Shrinking.


def place(*names):
    return tuple(cases.Placement(name, "start-sent", "w0", 1) for name in names)


def test_failure_is_shrunk_to_what_it_needs():
    case = cases.Case(
        "two-jobs", 3, place("store-down-2", "start-late-12", "cut-12")
    )

    def fails(found):
        names = [one.disruption for one in found.placements]
        return (
            found.workers >= 2
            and "start-late-7"
            in names + ["start-late-7"] * ("start-late-12" in names)
            and ("cut-5" in names or "cut-12" in names)
        )

    small = shrinking.shrink(case, fails)
    assert small.work == "task"
    assert small.workers == 2
    assert [one.disruption for one in small.placements] == [
        "start-late-7",
        "cut-5",
    ]
    assert all(one.number == 0 for one in small.placements)


def test_row_names_the_case():
    case = cases.Case("gang", 2, place("cut-5"))
    (row,) = eval(f"[{report.format_row(case)}]")
    assert report.parse_row(*row) == case


# It can fail.


def ignore(*args, **kwargs):
    """Takes the place of a guard."""


def remove_account(monkeypatch):
    for account in (grants, lease_bounds):
        monkeypatch.setattr(account, "record_sent", ignore)


def remove_raised_tokens(monkeypatch):
    monkeypatch.setattr(fencing, "_raise_token", ignore)


def let_owners_act_after_a_pause(monkeypatch):
    """Lets owners that the store does not hear take themselves for owners."""
    monkeypatch.setattr(
        owners.Owner, "store_confirmed_at", lambda owner: owner.now()
    )


GUARDS = {
    "account": remove_account,
    "raised-tokens": remove_raised_tokens,
    "pauses": let_owners_act_after_a_pause,
}


@pytest.mark.parametrize(
    ("guard", "part"),
    [
        ("account", "late-grants"),
        ("raised-tokens", "forgotten-ends"),
        ("pauses", "owners-at-once"),
    ],
)
def test_fixed_part_reports_two_runs_without_a_guard(guard, part, monkeypatch):
    GUARDS[guard](monkeypatch)
    assert any(
        violation.startswith(("two runs at once", "started after done"))
        for _, violations in fixed.explore_part(part).failures
        for violation in violations
    )


@pytest.mark.parametrize("part", fixed.PARTS)
def test_fixed_part_breaks_no_promise(part):
    tally = fixed.explore_part(part)
    assert [
        (report.format_row(case), violations)
        for case, violations in tally.failures
    ] == []
    assert tally.unplaced == []
