"""Seeded traces: the two deployments and the target size, in scenarios.

Virtual time is compressed: a day's changes happen within minutes.
"""

import dataclasses
import itertools
import random
from collections.abc import Callable, Iterator

from poplarspindle.tools import traces

SEPARATOR = "/"
WAVE_PERIOD_S = 60.0
WAVE_LENGTH_S = 25.0
LOAD_STEP_S = 10.0


@dataclasses.dataclass(frozen=True)
class Family:
    """A batch family: declared sizes, real ones, and how often it comes.

    Attributes:
        use: Range of the share of the declared size that is really used.
        rate: Tasks a second.
    """

    name: str
    team: str
    priority: int
    processors: float
    memory_gb: float
    run_s: float
    rate: float
    use: tuple[float, float] = (0.8, 1.0)
    accelerators: int = 0
    urgent: bool = False
    exclusive: bool = False


@dataclasses.dataclass(frozen=True)
class Service:
    """A latency-critical service."""

    name: str
    replicas: int
    processors: float
    memory_gb: float
    target_ms: float
    exclusive: bool = False


@dataclasses.dataclass(frozen=True)
class Deployment:
    """Where work runs and what usually runs there.

    Attributes:
        data_centres: Data centre names.
        workers: Number of workers.
        millicores: Of one worker.
        memory_mb: Of one worker.
        per_rack: Workers to a rack.
        accelerators: Over all workers.
    """

    data_centres: tuple[str, ...]
    workers: int
    millicores: int
    memory_mb: int
    per_rack: int
    services: tuple[Service, ...]
    families: tuple[Family, ...]
    accelerators: int = 0


LASTBOEK = Deployment(
    ("ourthe", "semois", "lesse"),
    30,
    16_000,
    60_000,
    10,
    (
        Service("quotes", 9, 2.0, 4.0, 120.0),
        Service("bookings", 6, 1.0, 2.0, 200.0, exclusive=True),
        Service("crews", 6, 1.0, 2.0, 250.0),
        Service("dispatch", 3, 1.0, 2.0, 150.0, exclusive=True),
    ),
    (
        Family("rosters", "treks", 10, 2.0, 4.0, 30.0, 1.4),
        Family("pressing_logs", "press", 10, 1.0, 2.0, 25.0, 1.6),
        Family("routes", "treks", 20, 4.0, 8.0, 30.0, 0.5),
        Family("recall", "crews", 50, 2.0, 4.0, 5.0, 0.05, urgent=True),
    ),
)
ERNTEDESK = Deployment(
    ("ostland-see", "ostland-donau", "ostland-huegel"),
    25,
    32_000,
    125_000,
    8,
    (
        Service("calls", 12, 2.0, 4.0, 150.0, exclusive=True),
        Service("rosters", 6, 2.0, 4.0, 200.0),
        Service("dispatch", 6, 2.0, 4.0, 120.0, exclusive=True),
    ),
    (
        Family("wake_lists", "desk", 20, 4.0, 12.0, 30.0, 1.3),
        Family("pressing", "press", 10, 2.0, 6.0, 40.0, 2.0),
        Family("routes", "routes", 10, 4.0, 16.0, 25.0, 1.0),
        Family(
            "callback",
            "desk",
            50,
            2.0,
            4.0,
            5.0,
            0.05,
            urgent=True,
            exclusive=True,
        ),
    ),
)


def _make_target() -> Deployment:
    """Makes the size to design for."""
    families = tuple(
        Family(
            f"family{i:02}",
            f"team{i:02}",
            10 + 10 * (i % 3),
            1.0,
            2.0,
            70.0,
            139.0 / 45,
            accelerators=int(i % 15 == 0),
        )
        for i in range(45)
    )
    return Deployment(
        tuple(f"centre{i:02}" for i in range(11)),
        480,
        32_000,
        125_000,
        12,
        tuple(
            Service(f"service{i:02}", 100, 1.0, 2.0, 150.0) for i in range(19)
        ),
        (
            *families,
            Family("urgent", "team00", 50, 2.0, 4.0, 5.0, 1.0, urgent=True),
        ),
        accelerators=730,
    )


DEPLOYMENTS = {
    "lastboek": LASTBOEK,
    "erntedesk": ERNTEDESK,
    "target": _make_target(),
}
NOISY = (
    Family("noisy_scan", "waves", 10, 3.0, 4.0, 30.0, 2.5),
    Family("noisy_index", "waves", 10, 2.0, 3.0, 25.0, 2.5),
)


def _list_workers(deployment: Deployment) -> Iterator[traces.Worker]:
    counts = itertools.cycle(deployment.data_centres)
    placed = list(itertools.islice(counts, deployment.workers))
    left = deployment.accelerators
    for index, centre in enumerate(sorted(placed)):
        share = -(-left // (deployment.workers - index))
        left -= share
        yield traces.Worker(
            f"w{index:03}",
            centre,
            f"rack{index // deployment.per_rack}",
            deployment.millicores,
            deployment.memory_mb,
            share,
        )


def _write_sections(
    deployment: Deployment, families: tuple[Family, ...]
) -> Iterator[traces.Section]:
    centres = "".join(f"[data_centres.{n}]\n" for n in deployment.data_centres)
    yield traces.Section("platform", "operations", centres)
    services = "".join(
        f"[services.{s.name}]\nreplicas = {s.replicas}\n"
        f"processors = {s.processors}\nmemory_gb = {s.memory_gb}\n"
        f"target_ms = {s.target_ms}\nexclusive = {str(s.exclusive).lower()}\n"
        for s in deployment.services
    )
    yield traces.Section("services", "services", services, 0.5)
    by_team = sorted(families, key=lambda family: family.team)
    for team, owned in itertools.groupby(by_team, lambda f: f.team):
        text = "".join(
            f"[families.{f.name}]\npriority = {f.priority}\n"
            f"processors = {f.processors}\nmemory_gb = {f.memory_gb}\n"
            f"accelerators = {f.accelerators}\nrun_s = {f.run_s}\n"
            f"urgent = {str(f.urgent).lower()}\n"
            f"exclusive = {str(f.exclusive).lower()}\n"
            for f in owned
        )
        yield traces.Section(f"batch-{team}", team, text, 0.5)


def _submit_family(
    family: Family,
    rng: random.Random,
    start_s: float,
    end_s: float,
) -> Iterator[traces.Job]:
    """Submits jobs of a family at random times over a span."""
    at = start_s
    for number in itertools.count():
        at += rng.expovariate(family.rate)
        if at >= end_s:
            return
        yield traces.Job(
            round(at, 2),
            f"{family.name}-{start_s:g}-{number}",
            family.name,
            1,
            int(family.run_s * 1000 * rng.uniform(0.5, 1.5)),
            round(rng.uniform(*family.use), 2),
        )


def _shift_loads(
    deployment: Deployment, rng: random.Random, duration_s: float, swing: float
) -> Iterator[traces.Load]:
    """Moves each service's load about by a bounded random walk."""
    for service in deployment.services:
        load = 0.6
        for step in range(int(duration_s / LOAD_STEP_S)):
            load = min(1.1, max(0.2, load + rng.uniform(-swing, swing)))
            yield traces.Load(step * LOAD_STEP_S, service.name, round(load, 2))


def _make_basis(
    deployment: Deployment,
    rng: random.Random,
    duration_s: float,
    swing: float = 0.05,
    extra: tuple[Family, ...] = (),
    scale: float = 1.0,
) -> list[traces.Line]:
    families = (*deployment.families, *extra)
    scaled = (
        dataclasses.replace(f, rate=f.rate * scale) for f in deployment.families
    )
    return [
        *_list_workers(deployment),
        *_write_sections(deployment, families),
        *_shift_loads(deployment, rng, duration_s, swing),
        *(
            job
            for family in scaled
            for job in _submit_family(family, rng, 2.0, duration_s)
        ),
    ]


def make_quiet(deployment, rng, duration_s):
    """A quiet day."""
    return _make_basis(deployment, rng, duration_s)


def make_shift(deployment, rng, duration_s):
    """Load shifts without warning."""
    return _make_basis(deployment, rng, duration_s, swing=0.35)


def make_noisy(deployment, rng, duration_s):
    """Noisy families come in waves."""
    lines = _make_basis(deployment, rng, duration_s, extra=NOISY)
    size = deployment.workers * deployment.millicores / 480_000
    for wave in itertools.count():
        start = 20.0 + wave * WAVE_PERIOD_S
        if start >= duration_s:
            return lines
        end = min(start + WAVE_LENGTH_S, duration_s)
        lines += [
            job
            for family in NOISY
            for job in _submit_family(
                dataclasses.replace(family, rate=family.rate * size),
                rng,
                start,
                end,
            )
        ]


def make_freeze(deployment, rng, duration_s):
    """A freeze night: a data centre goes out and comes back under load."""
    lines = _make_basis(deployment, rng, duration_s, swing=0.15, scale=1.2)
    centre = deployment.data_centres[1]
    return [
        *lines,
        traces.DataCentre(round(duration_s * 0.3, 1), centre, False),
        traces.DataCentre(round(duration_s * 0.7, 1), centre, True),
    ]


def make_cancellations(deployment, rng, duration_s):
    """A wave of 5,000 cancellations, all within a second."""
    lines = _make_basis(deployment, rng, duration_s)
    family = deployment.families[0].name
    half = duration_s / 2
    for number in range(5000):
        job = f"wave-{number}"
        lines.append(traces.Job(round(half - 10, 2), job, family, 1, 60_000))
        lines.append(traces.Cancel(round(half + rng.random(), 2), job))
    return lines


def make_declarations(deployment, rng, duration_s):
    """Declared sizes and run times far off, and jobs that can never run."""
    off = tuple(
        dataclasses.replace(
            family,
            processors=min(family.processors * factor, 12.0),
            rate=family.rate,
            use=use,
        )
        for family, factor, use in zip(
            deployment.families,
            itertools.cycle((3.0, 0.5)),
            itertools.cycle(((0.25, 0.35), (1.6, 2.0))),
        )
    )
    giant = Family("giant", "press", 40, 500.0, 4.0, 10.0, 0.2)
    changed = dataclasses.replace(deployment, families=(*off, giant))
    return _make_basis(changed, rng, duration_s)


def make_failing(deployment, rng, duration_s):
    """Workers that fail all they start, a dead one, a bad family."""
    bad = Family("always_fails", "press", 10, 1.0, 1.0, 5.0, 0.5)
    lines = _make_basis(deployment, rng, duration_s, extra=(bad,))
    lines += [
        dataclasses.replace(job, fails=True)
        for job in _submit_family(bad, rng, 2.0, duration_s)
    ]
    names = [line.name for line in lines if isinstance(line, traces.Worker)]
    failing, dead = rng.sample(names, 2)
    return [
        *lines,
        traces.WorkerFault(round(duration_s * 0.2, 1), failing, "failing"),
        traces.WorkerFault(round(duration_s * 0.8, 1), failing, "ok"),
        traces.WorkerFault(round(duration_s * 0.4, 1), dead, "dead"),
    ]


SCENARIOS: dict[str, Callable] = {
    "quiet": make_quiet,
    "shift": make_shift,
    "noisy": make_noisy,
    "freeze": make_freeze,
    "cancellations": make_cancellations,
    "declarations": make_declarations,
    "failing": make_failing,
}


def list_names() -> list[str]:
    """Returns all `deployment/scenario` names."""
    return [
        SEPARATOR.join(pair)
        for pair in itertools.product(DEPLOYMENTS, SCENARIOS)
    ]


def make_trace(name: str, seed: int, duration_s: float) -> traces.Trace:
    """Makes a trace.

    Args:
        name: One of `list_names`.
        seed: Seed of arrivals, loads and sizes.
        duration_s: Virtual time, seconds.

    Returns:
        The trace.
    """
    deployment, scenario = name.split(SEPARATOR)
    rng = random.Random(f"{name}/{seed}")
    lines = SCENARIOS[scenario](DEPLOYMENTS[deployment], rng, duration_s)
    return traces.make_trace([traces.Head(name, duration_s), *lines])
