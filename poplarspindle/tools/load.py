"""Drives entries or minions with a seeded load and reports what came back.

Arrivals are open-loop: they are planned before the run, and a latency counts
from the planned start, so a target that stalls can't hide its stall.
"""

import collections
import dataclasses
import itertools
import json
import random
import sys
import threading
import time
import urllib.parse

import defopt
import hdrh.histogram
import urllib3

import poplarspindle

EXIT_OK = 0
EXIT_BROKEN = 1
EXIT_USAGE = 2
LATENCY_MOST_US = 60_000_000
DIGITS = 3
PROGRESS_S = 1.0
GRACE_S = 5.0
PERCENTILES = (50.0, 90.0, 99.0, 99.9)
KINDS = ("entry", "minion")


@dataclasses.dataclass(frozen=True, slots=True)
class Target:
    """Where requests go.

    Attributes:
        kind: `entry`, or `minion` to call one straight.
        address: `host:port`.
    """

    kind: str
    address: str


@dataclasses.dataclass(frozen=True, slots=True)
class Plan:
    """One run.

    Attributes:
        groups: Targets by name; arrivals are spread over all groups.
        rate: Arrivals a second to each group.
        seconds: Length of the run.
        services: Weight by service.
        idempotent_share: Share of requests marked idempotent, 0..1.
        deadline_ms: Deadline sent along, milliseconds.
        body_bytes: Size of a request's body.
        callers: Greatest number of requests at once.
        seed: Seed of arrivals and mix.
    """

    groups: dict[str, tuple[Target, ...]]
    rate: float
    seconds: float
    services: dict[str, int]
    idempotent_share: float = 0.7
    deadline_ms: int = 2000
    body_bytes: int = 64
    callers: int = 128
    seed: int = 0


@dataclasses.dataclass(frozen=True, slots=True)
class Arrival:
    """One planned request.

    Attributes:
        at: Planned start, seconds from the start of the run.
    """

    at: float
    group: str
    target: Target
    service: str
    idempotent: bool


@dataclasses.dataclass(frozen=True, slots=True)
class Result:
    """What became of one request.

    Attributes:
        outcome: Outcome told, or a short tag of what broke.
        took_s: Time from the planned start to the end of the answer.
    """

    outcome: str
    took_s: float


class Tally:
    """Results of one group of targets.

    Attributes:
        outcomes: Count by outcome.
        answered: Latencies of answered requests, microseconds.
        refused: Latencies of requests told `not-run`, microseconds.
    """

    def __init__(self) -> None:
        self.outcomes: collections.Counter[str] = collections.Counter()
        self.answered = hdrh.histogram.HdrHistogram(1, LATENCY_MOST_US, DIGITS)
        self.refused = hdrh.histogram.HdrHistogram(1, LATENCY_MOST_US, DIGITS)

    def add(self, result: Result) -> None:
        """Adds one result."""
        self.outcomes[result.outcome] += 1
        took_us = min(max(1, int(result.took_s * 1e6)), LATENCY_MOST_US)
        if result.outcome == "answered":
            self.answered.record_value(took_us)
        elif result.outcome == "not-run":
            self.refused.record_value(took_us)


def plan_arrivals(plan: Plan) -> list[Arrival]:
    """Returns all arrivals of a run; the same seed gives the same ones."""
    rng = random.Random(plan.seed)
    services = tuple(plan.services)
    weights = tuple(plan.services.values())
    names = tuple(plan.groups)
    turns = {name: itertools.cycle(plan.groups[name]) for name in names}
    gaps = (rng.expovariate(plan.rate * len(names)) for _ in itertools.count())
    times = itertools.takewhile(
        lambda at: at < plan.seconds, itertools.accumulate(gaps)
    )
    found = []
    for at in times:
        name = rng.choice(names)
        (service,) = rng.choices(services, weights)
        idempotent = rng.random() < plan.idempotent_share
        found.append(Arrival(at, name, next(turns[name]), service, idempotent))
    return found


def judge_answer(kind: str, request: str, answer) -> str:
    """Returns the outcome of an answer.

    Args:
        kind: Kind of the target.
        request: Request id sent, empty where the entry mints one.
        answer: The library's response, read whole.
    """
    echoed = answer.headers.get("Request-Id", "")
    if request and echoed not in ("", request):
        return "crossed"
    if kind == "minion":
        return "answered" if answer.status == 200 else "not-run"
    return answer.headers.get("Outcome") or f"status-{answer.status}"


class Caller:
    """One thread's connections; one to each target.

    Args:
        plan: The run.
    """

    def __init__(self, plan: Plan) -> None:
        self._plan = plan
        self._body = b"x" * plan.body_bytes
        self._open: dict[Target, urllib3.connection.HTTPConnection] = {}

    def call(self, arrival: Arrival, request: str) -> str:
        """Sends one request and returns its outcome."""
        target = arrival.target
        connection = self._open.pop(target, None) or self._connect(target)
        try:
            connection.request(
                "POST",
                make_path(target, arrival.service),
                body=self._body,
                headers=self._make_headers(target, arrival, request),
                preload_content=False,
            )
            answer = connection.getresponse()
            answer.read()
        except (urllib3.exceptions.HTTPError, OSError) as error:
            connection.close()
            return "broken-" + type(error).__name__
        if answer.headers.get("Connection", "").lower() == "close":
            connection.close()
        else:
            self._open[target] = connection
        return judge_answer(target.kind, request, answer)

    def _connect(self, target):
        host, _, port = target.address.rpartition(":")
        timeout_s = self._plan.deadline_ms / 1000 + GRACE_S
        return urllib3.connection.HTTPConnection(
            host, int(port), timeout=timeout_s
        )

    def _make_headers(self, target, arrival, request) -> dict[str, str]:
        headers = {
            "Idempotent": "true" if arrival.idempotent else "false",
            "Deadline-Ms": str(self._plan.deadline_ms),
        }
        if request:
            headers["Request-Id"] = request
        return headers


def make_path(target: Target, service: str) -> str:
    """Returns the path of a request."""
    name = urllib.parse.quote(service, safe="")
    if target.kind == "minion":
        return f"/{name}"
    return f"/v1/services/{name}/requests"


class Run:
    """One run of a plan.

    Args:
        plan: The run.
        say: Called with each line of progress.

    Attributes:
        tallies: Results by group of targets.
        took_s: Time from the start to the last answer, seconds.
    """

    def __init__(self, plan: Plan, say=lambda text: None) -> None:
        self.plan = plan
        self.tallies = {name: Tally() for name in plan.groups}
        self._say = say
        self._arrivals = plan_arrivals(plan)
        self._next = iter(enumerate(self._arrivals))
        self._lock = threading.Lock()
        self._done = 0
        self._began = 0.0
        self.took_s = plan.seconds

    def run(self) -> dict[str, Tally]:
        """Sends all requests and returns the results by group."""
        callers = min(self.plan.callers, max(1, len(self._arrivals)))
        threads = [
            threading.Thread(target=self._send_all, daemon=True)
            for _ in range(callers)
        ]
        self._began = time.monotonic()
        for thread in threads:
            thread.start()
        for thread in threads:
            while thread.is_alive():
                thread.join(PROGRESS_S)
                if thread.is_alive():
                    self._say(f"{self._done}/{len(self._arrivals)} requests")
        self.took_s = max(self.plan.seconds, time.monotonic() - self._began)
        return self.tallies

    def _send_all(self) -> None:
        caller = Caller(self.plan)
        while True:
            with self._lock:
                index, arrival = next(self._next, (0, None))
            if arrival is None:
                return
            planned = self._began + arrival.at
            time.sleep(max(0.0, planned - time.monotonic()))
            straight = arrival.target.kind == "minion"
            request = f"load-{self.plan.seed}-{index}" if straight else ""
            outcome = caller.call(arrival, request)
            result = Result(outcome, time.monotonic() - planned)
            with self._lock:
                self.tallies[arrival.group].add(result)
                self._done += 1


def make_report(took_s: float, tally: Tally) -> dict:
    """Returns one group's figures over a run; latencies in milliseconds."""
    total = sum(tally.outcomes.values())
    figures = {
        "requests": total,
        "outcomes": dict(sorted(tally.outcomes.items())),
        "goodput_per_s": round(tally.outcomes["answered"] / took_s, 1),
    }
    for name in ("answered", "refused"):
        histogram = getattr(tally, name)
        if histogram.get_total_count():
            figures[f"{name}_ms"] = {
                f"p{percentile:g}": histogram.get_value_at_percentile(
                    percentile
                )
                / 1000
                for percentile in PERCENTILES
            }
    return figures


def is_clean(tallies: dict[str, Tally]) -> bool:
    """Tells whether every group answered, and nothing came back broken."""
    told = ("answered", "not-run", "unknown")
    return all(
        tally.outcomes["answered"] and set(tally.outcomes) <= set(told)
        for tally in tallies.values()
    )


def read_target(text: str) -> Target:
    """Reads `host:port`, `entry:host:port` or `minion:host:port`.

    Raises:
        ValueError: The text is none of these.
    """
    kind, _, rest = text.partition(":")
    if kind not in KINDS:
        kind, rest = "entry", text
    host, _, port = rest.rpartition(":")
    if not host or not port.isdigit() or not 0 < int(port) < 65536:
        raise ValueError(
            f"{text!r} is no target; give [entry:|minion:]host:port"
        )
    return Target(kind, f"{host}:{port}")


def read_services(text: str) -> dict[str, int]:
    """Reads `quotes:3,bookings:1`.

    Raises:
        ValueError: A weight is no whole number above 0.
    """
    found = {}
    for part in text.split(","):
        name, _, weight = part.partition(":")
        if not name or not (weight or "1").isdigit() or weight == "0":
            raise ValueError(f"{part!r} is no service; give name:weight")
        found[name] = int(weight or "1")
    return found


def check_numbers(plan: Plan) -> None:
    """Checks the numbers of a plan.

    Raises:
        ValueError: A number is out of its range.
    """
    bounds = {
        "rate": (0.01, 100_000),
        "seconds": (0.01, 86_400),
        "idempotent_share": (0, 1),
        "deadline_ms": (1, 600_000),
        "body_bytes": (0, 8 * 1024 * 1024),
        "callers": (1, 4096),
    }
    for name, (low, high) in bounds.items():
        value = getattr(plan, name)
        if not low <= value <= high:
            raise ValueError(f"{name}: {value} is not from {low} to {high}")


def run_load(
    *,
    target: list[str],
    compare: list[str] = [],  # noqa: B006
    rate: float = 100.0,
    seconds: float = 10.0,
    services: str = "quotes",
    idempotent_share: float = 0.7,
    deadline_ms: int = 2000,
    body_bytes: int = 64,
    callers: int = 128,
    seed: int = 0,
    as_json: bool = False,
    quiet: bool = False,
) -> int:
    """Drives targets with a seeded open-loop load.

    Exit code 0: all requests got a stated outcome and some were answered; 1:
    an answer was broken, crossed or without an outcome; 2: bad arguments.

    Args:
        target: Targets, each host:port, after "entry:" or "minion:".
        compare: Targets measured in the same run, at the same rate.
        rate: Arrivals a second to each group of targets.
        seconds: Length of the run.
        services: Mix of services, as name:weight,name:weight.
        idempotent_share: Share of requests marked idempotent, 0 to 1.
        deadline_ms: Deadline sent along, milliseconds.
        body_bytes: Size of a request's body, bytes.
        callers: Greatest number of requests at once.
        seed: Seed of arrivals and mix.
        as_json: Print the figures as one JSON object.
        quiet: Print no progress.
    """
    groups = {"target": target, "compare": compare}
    try:
        plan = Plan(
            {
                name: tuple(map(read_target, texts))
                for name, texts in groups.items()
                if texts
            },
            rate,
            seconds,
            read_services(services),
            idempotent_share,
            deadline_ms,
            body_bytes,
            callers,
            seed,
        )
        check_numbers(plan)
    except ValueError as error:
        print(error, file=sys.stderr)
        return EXIT_USAGE

    def say(text: str) -> None:
        if not quiet:
            print(text, file=sys.stderr, flush=True)

    run = Run(plan, say)
    tallies = run.run()
    report = {name: make_report(run.took_s, tallies[name]) for name in tallies}
    if as_json:
        print(json.dumps(report))
    else:
        print_report(report)
    return EXIT_OK if is_clean(tallies) else EXIT_BROKEN


def print_report(report: dict) -> None:
    """Prints the figures as text."""
    for group, figures in report.items():
        print(group)
        for name, value in figures.items():
            shown = value
            if isinstance(value, dict):
                shown = "  ".join(f"{k} {v:g}" for k, v in value.items())
            print(f"  {name:>14}  {shown}")


def main() -> None:
    """Runs `poplarspindle-load`."""
    argv = ["--as-json" if a == "--json" else a for a in sys.argv[1:]]
    sys.exit(
        defopt.run(
            run_load,
            argv=argv,
            version=f"poplarspindle-load {poplarspindle.__version__}",
        )
    )


if __name__ == "__main__":
    main()
