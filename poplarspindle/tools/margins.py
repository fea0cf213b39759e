"""Searches walks of the virtual fleet for the longest waits beside room.

A walk's margin is for how long, in calm, a task that lasts was away beside room
for it twice over (`at_work`). The walks with the longest are kept and varied:
a disturbance moved, added, removed or replaced, or another load.
"""

import dataclasses
import json
import logging
import random
import sys

import defopt
import structlog

import poplarspindle
from poplarspindle.tools.fakes import (
    at_work,
    series,
    series_plans,
)

STRIKES = {
    strike.__name__: strike
    for plan in series_plans.PLANS.values()
    for strike in plan.strikes
}
GOAL_S = 1.5  # Half of what breaks the invariant.
MOVE_S = 0.6  # Standard deviation of how far a disturbance is moved.
SHARE_SPREAD = 0.25  # The same of loads, as a share.
SHARES = ("ending_share", "lasting_share")
MOST_LASTING_SHARE = 0.97


@dataclasses.dataclass(frozen=True, slots=True)
class Case:
    """A walk that can be repeated.

    Attributes:
        plan: Name of its plan.
        seed: Seed of its chance.
        script: Its disturbances, None for those of the seed.
        shares: Loads that differ from the plan's, by field.
    """

    plan: str
    seed: int
    script: series.Script | None = None
    shares: tuple[tuple[str, float], ...] = ()


@dataclasses.dataclass(frozen=True, slots=True)
class Outcome:
    """What came of a walk.

    Attributes:
        case: The walk.
        margin: Its longest margin.
        owner_ms: The same by what owners knew, calm or not, milliseconds.
        faults: What it broke.
    """

    case: Case
    margin: at_work.Margin
    owner_ms: int
    faults: tuple[str, ...]


def encode_case(case: Case) -> str:
    """Writes a case as JSON."""
    fields = {"plan": case.plan, "seed": case.seed}
    if case.script is not None:
        fields["script"] = [
            [[round(blow.at_s, 3), blow.strike.__name__] for blow in blows]
            for blows in case.script
        ]
    return json.dumps(fields | dict(case.shares))


def decode_case(text: str) -> Case:
    """Reads a case from JSON.

    Raises:
        ValueError: It is not one.
    """
    try:
        fields = json.loads(text)
        script = fields.get("script")
        if script is not None:
            script = tuple(
                tuple(series.Blow(at_s, STRIKES[name]) for at_s, name in blows)
                for blows in script
            )
        shares = tuple(
            (name, fields[name]) for name in SHARES if name in fields
        )
        series_plans.PLANS[fields["plan"]]
        return Case(fields["plan"], int(fields["seed"]), script, shares)
    except (AttributeError, KeyError, TypeError) as error:
        raise ValueError(f"not a case: {text}") from error


def play(case: Case) -> Outcome:
    """Walks a case."""
    world = series.walk(case.seed, make_plan(case), case.script)
    faults = tuple(series.list_faults_of(world))
    owner_ms = max(owner.fleet.away.room.worst_ms for owner in world.owners)
    return Outcome(case, world.at_work.worst, owner_ms, faults)


def make_plan(case: Case) -> series.Plan:
    """Returns the plan of a case, with its own loads."""
    plan = series_plans.PLANS[case.plan]
    return dataclasses.replace(plan, **dict(case.shares))


def vary(case: Case, rng: random.Random) -> Case:
    """Returns a case that differs in one thing."""
    changes = (_move, _move, _add, _remove, _replace, _change_share, _reseed)
    return rng.choice(changes)(_write_out(case), rng)


def _write_out(case: Case) -> Case:
    """Returns a case with the disturbances that its seed draws."""
    if case.script is not None:
        return case
    script = series.draw_for_seed(case.seed, make_plan(case))
    return dataclasses.replace(case, script=script)


def _change_series(case: Case, rng: random.Random, change) -> Case:
    number = rng.randrange(len(case.script))
    blows = change(list(case.script[number]))
    blows = tuple(sorted(blows, key=lambda blow: blow.at_s))
    script = (*case.script[:number], blows, *case.script[number + 1 :])
    return dataclasses.replace(case, script=script)


def _move(case: Case, rng: random.Random) -> Case:
    def change(blows: list[series.Blow]) -> list[series.Blow]:
        if blows:
            blow = blows.pop(rng.randrange(len(blows)))
            at_s = min(
                max(0.0, blow.at_s + rng.gauss(0, MOVE_S)), series.SERIES_S
            )
            blows.append(series.Blow(at_s, blow.strike))
        return blows

    return _change_series(case, rng, change)


def _add(case: Case, rng: random.Random) -> Case:
    strike = rng.choice(make_plan(case).strikes)
    blow = series.Blow(rng.uniform(0.0, series.SERIES_S), strike)
    return _change_series(case, rng, lambda blows: [*blows, blow])


def _remove(case: Case, rng: random.Random) -> Case:
    def change(blows: list[series.Blow]) -> list[series.Blow]:
        if len(blows) > 1:
            del blows[rng.randrange(len(blows))]
        return blows

    return _change_series(case, rng, change)


def _replace(case: Case, rng: random.Random) -> Case:
    return _add(_remove(case, rng), rng)


def _change_share(case: Case, rng: random.Random) -> Case:
    name = rng.choice(SHARES)
    share = getattr(make_plan(case), name) * rng.gauss(1.0, SHARE_SPREAD)
    most = MOST_LASTING_SHARE if name == "lasting_share" else 2.0
    shares = dict(case.shares) | {name: round(min(max(0.1, share), most), 3)}
    return dataclasses.replace(case, shares=tuple(sorted(shares.items())))


def _reseed(case: Case, rng: random.Random) -> Case:
    """Lets the same befall other workers."""
    return dataclasses.replace(case, seed=rng.randrange(10**6))


def search(
    *,
    plan: str = "",
    first: int = 0,
    seeds: int = 100,
    climbs: int = 0,
    keep: int = 8,
    show: int = 5,
    case: str = "",
) -> int:
    """Prints the walks with the longest margins, and those with faults.

    Args:
        plan: Name of the plan; all of them one after the other if empty.
        first: First seed.
        seeds: How many seeds to walk.
        climbs: How many variations of the worst walks to walk after that.
        keep: How many of the worst are varied.
        show: How many of the worst of each plan to print.
        case: A case to walk instead, as printed.
    """
    _silence_logs()
    if case:
        _print(play(decode_case(case)))
        return 0
    for name in [plan] if plan else series_plans.PLANS:
        rng = random.Random(first)
        worst: list[Outcome] = []
        margins = []
        for number in range(seeds + climbs):
            if number < seeds:
                found = play(Case(name, first + number))
            else:
                found = play(vary(rng.choice(worst[:keep]).case, rng))
            margins.append(found.margin.room_s)
            if found.faults or (worst and _rank(found) > _rank(worst[0])):
                _print(found)
            worst.append(found)
            worst.sort(key=_rank, reverse=True)
            del worst[max(keep, show) :]
        over = sum(room_s > GOAL_S for room_s in margins)
        print(f"{name}: {len(margins)} walks, {over} over {GOAL_S} s, worst:")
        for found in worst[:show]:
            _print(found)
    return 0


def _rank(outcome: Outcome) -> tuple[float, int]:
    """Returns how near a walk came, also where all margins are 0."""
    return outcome.margin.room_s, outcome.owner_ms


def _print(outcome: Outcome) -> None:
    print(
        f"  {outcome.margin}; by owners {outcome.owner_ms} ms:"
        f" {encode_case(outcome.case)}",
        flush=True,
    )
    for fault in outcome.faults:
        print(f"    broken: {fault}", flush=True)


def _silence_logs() -> None:
    """Leaves out what the parts of owners log themselves."""
    structlog.configure(
        wrapper_class=structlog.make_filtering_bound_logger(logging.CRITICAL)
    )


def main() -> None:
    """Runs the program."""
    sys.exit(defopt.run(search, version=poplarspindle.__version__))


if __name__ == "__main__":
    main()
