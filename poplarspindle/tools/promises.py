"""Checks the promises against the stand-ins' ledgers.

Each check counts what it looked at and what broke the promise. The ledgers
say what really ran; nothing is asked of the programs under check, except
which version of the document they hold.
"""

import collections
import dataclasses

from poplarspindle.tools.fakes import platform, workers

GRACE_S = 3.0


@dataclasses.dataclass(frozen=True)
class Told:
    """What one caller was told.

    Attributes:
        request: Request id in the answer, empty where none came.
        idempotent: Whether the caller marked the request so.
        outcome: Outcome in the answer; `cut` where the connection broke.
        right: Whether the body was the only right one.
        took_ms: Time from sending to the whole answer.
        entry: Name of the entry asked.
    """

    request: str
    idempotent: bool
    outcome: str
    right: bool
    took_ms: float
    entry: str = ""


@dataclasses.dataclass(frozen=True)
class Change:
    """One accepted change as each instance showed it.

    Attributes:
        section: The section changed.
        version: Version that the change made.
        lags_s: Time until it was in force, by instance.
        final: Version in force at the end, by instance.
    """

    section: str
    version: int
    lags_s: tuple[float, ...]
    final: tuple[int, ...]


@dataclasses.dataclass(frozen=True)
class Outage:
    """A time in which a data centre was out of service."""

    data_centre: str
    began: float
    ended: float


@dataclasses.dataclass(frozen=True)
class Evidence:
    """Everything that the checks look at.

    Attributes:
        fake: The stand-in platform with its ledgers.
        told: What callers were told.
        outages: When data centres were out.
        leaving_since: When each minion began to leave, by name.
        changes: Accepted changes.
        config_bound_s: Time in which a change must be in force.
    """

    fake: platform.Platform
    told: tuple[Told, ...]
    outages: tuple[Outage, ...]
    leaving_since: dict[str, float]
    changes: tuple[Change, ...]
    config_bound_s: float = 3.0


@dataclasses.dataclass(frozen=True)
class Finding:
    """The result of one check.

    Attributes:
        name: Short name, a key of the JSON report.
        promise: The promise, in one sentence.
        checked: How many cases were looked at.
        violations: How many of them broke the promise.
    """

    name: str
    promise: str
    checked: int
    violations: int


def _count_runs(evidence: Evidence) -> collections.Counter:
    return collections.Counter(e.request for e in evidence.fake.executions)


def check_capacity(evidence: Evidence) -> Finding:
    """Counts workers that ever carried more than they offer."""
    fakes = evidence.fake.workers
    return Finding(
        "overcommits",
        "No instance carries more reserved work than it has room for.",
        len(fakes.ledger),
        len(workers.find_overcommits(fakes)),
    )


def check_single_place(evidence: Evidence) -> Finding:
    """Counts tasks that ran in two places at once."""
    ledger = evidence.fake.workers.ledger
    return Finding(
        "tasks_in_two_places",
        "No task runs in two places at once.",
        len({run.task for run in ledger}),
        len(workers.find_overlaps(ledger)),
    )


def check_resumption(evidence: Evidence) -> Finding:
    """Counts attempts that ran twice and work that was lost or redone."""
    ledger = evidence.fake.workers.ledger
    return Finding(
        "repeated_attempts",
        "Evicted work resumes exactly once.",
        sum(run.attempt > 0 for run in ledger),
        len(workers.find_repeats(ledger)),
    )


def check_outages(evidence: Evidence) -> Finding:
    """Counts starts in a data centre that was out."""
    starts = [
        run
        for run in evidence.fake.workers.ledger
        for outage in evidence.outages
        if run.data_centre == outage.data_centre
        and outage.began + GRACE_S < run.began < outage.ended
    ]
    return Finding(
        "starts_while_out",
        "No task starts in a data centre that is out.",
        len(evidence.outages),
        len(starts),
    )


def check_answers(evidence: Evidence) -> Finding:
    """Counts answers that were not whole or not the caller's own."""
    answered = [t for t in evidence.told if t.outcome == "answered"]
    return Finding(
        "wrong_answers",
        "Every caller receives the whole answer to its own request.",
        len(answered),
        sum(not told.right for told in answered),
    )


def check_not_run(evidence: Evidence) -> Finding:
    """Counts requests reported as not run that did run."""
    ran = _count_runs(evidence)
    refused = [t for t in evidence.told if t.outcome == "not-run"]
    return Finding(
        "not_run_but_ran",
        "A request reported as not run did not run.",
        len(refused),
        sum(ran[told.request] > 0 for told in refused),
    )


def check_at_most_once(evidence: Evidence) -> Finding:
    """Counts non-idempotent requests that ran more than once."""
    ran = _count_runs(evidence)
    once = [t for t in evidence.told if not t.idempotent]
    return Finding(
        "executed_twice",
        "A non-idempotent request runs at most once.",
        len(once),
        sum(ran[told.request] > 1 for told in once),
    )


def check_leaving(evidence: Evidence) -> Finding:
    """Counts requests that a leaving minion got after the grace time."""
    late = [
        execution
        for execution in evidence.fake.executions
        if execution.at
        > evidence.leaving_since.get(execution.minion, float("inf")) + GRACE_S
    ]
    return Finding(
        "sent_to_leaving",
        "A leaving endpoint receives no new work after a few seconds.",
        len(evidence.leaving_since),
        len(late),
    )


def check_stops(evidence: Evidence) -> Finding:
    """Counts requests that a planned stop cut off."""
    return Finding(
        "cut_off",
        "A planned stop cuts off no request in flight.",
        len(evidence.told),
        sum(told.outcome == "cut" for told in evidence.told),
    )


def check_changes(evidence: Evidence) -> Finding:
    """Counts accepted changes that came late or were reverted."""
    bad = [
        change
        for change in evidence.changes
        if max(change.lags_s) > evidence.config_bound_s
        or min(change.final) < change.version
    ]
    return Finding(
        "changes_late_or_reverted",
        "An accepted change is in force everywhere and never reverts.",
        len(evidence.changes),
        len(bad),
    )


CHECKS = (
    check_capacity,
    check_single_place,
    check_resumption,
    check_outages,
    check_answers,
    check_not_run,
    check_at_most_once,
    check_leaving,
    check_stops,
    check_changes,
)


def check_all(evidence: Evidence) -> tuple[Finding, ...]:
    """Runs every check."""
    return tuple(check(evidence) for check in CHECKS)
