"""Replays a recorded trace through the real reducer, policy by policy."""

import dataclasses
import json
import pathlib
import sys

import defopt

import poplarspindle
from poplarspindle import outcomes, placement_policy, settings
from poplarspindle.tools import charts, measures, scenarios, traces, virtual

EXIT_VIOLATION = 1
DURATION_S = 240.0


def run_policy(trace: traces.Trace, policy: str, seed: int) -> measures.Summary:
    """Replays a trace under one policy.

    Args:
        trace: The trace.
        policy: A key of placement.POLICIES.
        seed: Seed of the hidden slowdown, the noise and the decisions.

    Returns:
        The figures.
    """
    loop = virtual.Loop(trace, policy, seed)
    watch = measures.Watch(trace)
    loop.run(watch)
    return measures.summarize(policy, loop, watch)


def load_trace(
    name: str, seed: int, duration_s: float
) -> outcomes.Ok[traces.Trace] | outcomes.Failed:
    """Makes a trace by its scenario's name, or reads it from a file."""
    if name in scenarios.list_names():
        return outcomes.Ok(scenarios.make_trace(name, seed, duration_s))
    try:
        text = pathlib.Path(name).read_text(encoding="utf-8")
    except (OSError, UnicodeDecodeError) as error:
        return outcomes.Failed(
            outcomes.Step.READ,
            name,
            "no-trace",
            f"{error}; give a file or one of: "
            + " ".join(scenarios.list_names()),
        )
    return traces.read_trace(text.splitlines())


def replay(
    trace: str,
    *,
    policy: list[str] | None = None,
    seed: int = 1,
    duration: float = DURATION_S,
    as_json: bool = False,
    report: str | None = None,
    write: str | None = None,
) -> int:
    """Replays a trace under several policies and prints what it measures.

    Args:
        trace: File of JSON lines, or a scenario such as lastboek/noisy.
        policy: Policy to replay; may be given often. All by default.
        seed: Seed of the scenario, the hidden slowdown and the noise.
        duration: Virtual time of a scenario, seconds.
        as_json: Print one JSON object per policy.
        report: Write a chart to this .png or .html file.
        write: Write the trace to this file, and replay nothing.
    """
    policies = policy or list(placement_policy.POLICIES)
    unknown = sorted(set(policies) - set(placement_policy.POLICIES))
    if unknown:
        allowed = ", ".join(placement_policy.POLICIES)
        print(f"no policy {unknown[0]}: give {allowed}", file=sys.stderr)
        return settings.EXIT_USAGE
    if report and pathlib.Path(report).suffix not in charts.SUFFIXES:
        print("--report takes a .png or .html file", file=sys.stderr)
        return settings.EXIT_USAGE
    match load_trace(trace, seed, duration):
        case outcomes.Failed() as failed:
            print(failed.detail, file=sys.stderr)
            return settings.EXIT_USAGE
        case outcomes.Ok(found):
            pass
    if write:
        traces.write_trace(found, pathlib.Path(write))
        return 0
    summaries = []
    for name in policies:
        summaries.append(run_policy(found, name, seed))
        print(_format_summary(summaries[-1], as_json), flush=True)
    if report:
        charts.draw_report(found.head.name, summaries, pathlib.Path(report))
    broken = any(any(s.violations.values()) for s in summaries)
    return EXIT_VIOLATION if broken else 0


def _format_summary(summary: measures.Summary, as_json: bool) -> str:
    if as_json:
        return json.dumps(dataclasses.asdict(summary))
    lines = [
        f"{name:>22}  {value}"
        for name, value in dataclasses.asdict(summary).items()
        if name not in ("policy", "latencies_ms")
    ]
    table = [
        f"{name:>22}  p50 {p50:8.1f}  p99 {p99:8.1f}  p99.9 {p999:8.1f} ms"
        for name, (p50, p99, p999) in summary.latencies_ms.items()
    ]
    return "\n".join([f"policy {summary.policy}", *lines, *table])


def _join_policies(argv: list[str]) -> list[str]:
    """Gathers repeated `--policy NAME` into the one list defopt reads."""
    argv = ["--as-json" if word == "--json" else word for word in argv]
    places = [i for i, word in enumerate(argv) if word == "--policy"]
    names = [argv[i + 1] for i in places if i + 1 < len(argv)]
    taken = {place for i in places for place in (i, i + 1)}
    rest = [word for i, word in enumerate(argv) if i not in taken]
    return [*rest, "--policy", *names] if names else rest


def main() -> None:
    """Runs `poplarspindle-replay`."""
    argv = _join_policies(sys.argv[1:])
    code = defopt.run(
        replay,
        argv=argv,
        cli_options="has_default",
        short={},
        version=f"poplarspindle-replay {poplarspindle.__version__}",
        show_defaults=False,
    )
    sys.exit(code)


if __name__ == "__main__":
    main()
