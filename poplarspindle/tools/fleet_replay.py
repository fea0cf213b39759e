"""Plays loads against the fleet's decisions and compares sets of mechanisms.

The owner's reducer runs in virtual time against fake workers. What it can't
show: processor time of the decisions, the network, several nodes at once.
"""

import concurrent.futures
import dataclasses
import json
import math
import pathlib
import statistics
import sys

import defopt

import poplarspindle
from poplarspindle import settings
from poplarspindle.fleet import mechanisms
from poplarspindle.tools import charts, loads
from poplarspindle.tools.fakes import load_world

CONFIDENCE_SIGMAS = 1.96
ALL_ON = ""  # Name of the set with no mechanism switched off.
LIST_FLAGS = ("--load", "--off")


@dataclasses.dataclass(frozen=True, slots=True)
class Outcome:
    """What one play earned, as shares of the worth that was owed.

    Attributes:
        short: By short jobs.
        batch: By batch jobs.
        lasting: By long-running jobs.
        violations: Broken promises that the workers' ledgers show.
    """

    short: float
    batch: float
    lasting: float
    violations: int

    @property
    def mean(self) -> float:
        """Mean of the three shares."""
        return statistics.fmean((self.short, self.batch, self.lasting))


@dataclasses.dataclass(frozen=True, slots=True)
class Comparison:
    """A load with one mechanism switched off, over all seeds.

    Attributes:
        load: Kind of load.
        off: Name of the mechanism, ALL_ON for none.
        short: Mean share earned by short jobs.
        batch: Mean share earned by batch jobs.
        lasting: Mean share earned by long-running jobs.
        mean: Mean of the three.
        worth: What the mechanism adds to that mean.
        margin: Half width of the 95 % interval of `worth`.
        violations: Broken promises.
    """

    load: str
    off: str
    short: float
    batch: float
    lasting: float
    mean: float
    worth: float
    margin: float
    violations: int


def play(kind: str, seed: int, off: str) -> Outcome:
    """Plays one load.

    Args:
        kind: One of `loads.KINDS`.
        seed: Seed of the load.
        off: Name of the mechanism that is switched off, ALL_ON for none.
    """
    used = mechanisms.ALL
    if off:
        used = dataclasses.replace(used, **{off: False})
    world = load_world.LoadWorld(loads.draw_load(kind, seed), seed, used)
    world.run(loads.TRAFFIC_S + loads.SETTLE_S)
    shares = world.judge()
    return Outcome(
        shares[loads.SHORT],
        shares[loads.BATCH],
        shares[loads.LASTING],
        len(world.list_violations()),
    )


def compare(values: list[float], others: list[float]) -> tuple[float, float]:
    """Returns the mean difference of paired values and its 95 % margin."""
    differences = [a - b for a, b in zip(values, others, strict=True)]
    if len(differences) < 2:
        return differences[0], math.inf
    margin = CONFIDENCE_SIGMAS * statistics.stdev(differences)
    return statistics.fmean(differences), margin / math.sqrt(len(differences))


def replay(
    *,
    load: list[str] | None = None,
    off: list[str] | None = None,
    seeds: int = 20,
    jobs: int = 3,
    as_json: bool = False,
    report: str | None = None,
) -> int:
    """Plays loads with all mechanisms and with one switched off at a time.

    Args:
        load: Kind of load; may be given often. All by default.
        off: Mechanism to switch off; may be given often. All by default.
        seeds: Number of seeds of each load.
        jobs: Number of processes.
        as_json: Print one JSON object per load and mechanism.
        report: Write a chart of what mechanisms add to this .png or .html file.
    """
    kinds = load or list(loads.KINDS)
    names = [field.name for field in dataclasses.fields(mechanisms.Mechanisms)]
    switched = off or names
    unknown = [kind for kind in kinds if kind not in loads.KINDS]
    unknown += [name for name in switched if name not in names]
    if unknown:
        allowed = ", ".join((*loads.KINDS, *names))
        print(f"no {unknown[0]}: give one of {allowed}", file=sys.stderr)
        return settings.EXIT_USAGE
    if report and pathlib.Path(report).suffix not in charts.SUFFIXES:
        print("--report takes a .png or .html file", file=sys.stderr)
        return settings.EXIT_USAGE
    comparisons = []
    with concurrent.futures.ProcessPoolExecutor(jobs) as pool:
        for kind in kinds:
            for comparison in _compare_mechanisms(pool, kind, switched, seeds):
                comparisons.append(comparison)
                print(_format(comparison, as_json), flush=True)
    if report:
        charts.draw_comparisons(comparisons, pathlib.Path(report))
    return 1 if any(row.violations for row in comparisons) else 0


def _compare_mechanisms(
    pool: concurrent.futures.Executor,
    kind: str,
    switched: list[str],
    seeds: int,
) -> list[Comparison]:
    """Plays one load with all mechanisms and without each of `switched`."""
    plays = {
        off: [pool.submit(play, kind, seed, off) for seed in range(seeds)]
        for off in (ALL_ON, *switched)
    }
    outcomes = {
        off: [future.result() for future in futures]
        for off, futures in plays.items()
    }
    return [
        _summarize(kind, off, played, outcomes[ALL_ON])
        for off, played in outcomes.items()
    ]


def _summarize(
    kind: str, off: str, played: list[Outcome], reference: list[Outcome]
) -> Comparison:
    worth, margin = compare(
        [outcome.mean for outcome in reference],
        [outcome.mean for outcome in played],
    )
    return Comparison(
        kind,
        off,
        statistics.fmean(outcome.short for outcome in played),
        statistics.fmean(outcome.batch for outcome in played),
        statistics.fmean(outcome.lasting for outcome in played),
        statistics.fmean(outcome.mean for outcome in played),
        worth,
        margin,
        sum(outcome.violations for outcome in played),
    )


def _format(row: Comparison, as_json: bool) -> str:
    if as_json:
        return json.dumps(dataclasses.asdict(row))
    return (
        f"{row.load:>18} off {row.off or '-':<18}"
        f" short {row.short:.3f} batch {row.batch:.3f}"
        f" lasting {row.lasting:.3f} mean {row.mean:.3f}"
        f" worth {row.worth:+.3f} +- {row.margin:.3f}"
        f" violations {row.violations}"
    )


def _join_lists(argv: list[str]) -> list[str]:
    """Gathers repeated list flags into the lists that defopt reads."""
    argv = ["--as-json" if word == "--json" else word for word in argv]
    rest: list[str] = []
    lists: dict[str, list[str]] = {flag: [] for flag in LIST_FLAGS}
    words = iter(argv)
    for word in words:
        if word in lists:
            lists[word].append(next(words, ""))
        else:
            rest.append(word)
    for flag, values in lists.items():
        rest += [flag, *values] if values else []
    return rest


def main() -> None:
    """Runs `poplarspindle-fleet-replay`."""
    code = defopt.run(
        replay,
        argv=_join_lists(sys.argv[1:]),
        cli_options="has_default",
        short={},
        version=f"poplarspindle-fleet-replay {poplarspindle.__version__}",
        show_defaults=False,
    )
    sys.exit(code)


if __name__ == "__main__":
    main()
