"""Seeded loads under which the fleet's decisions are compared.

Each load draws its deployment, its jobs and its faults from one seed. Amounts
are ranges, so that two seeds of one kind differ.
"""

import dataclasses
import random

from poplarspindle import resources
from poplarspindle.fleet import work

TRAFFIC_S = 40.0
SETTLE_S = 12.0  # After the traffic, for jobs to end.
SHORT, BATCH, LASTING = "short", "batch", "lasting"


@dataclasses.dataclass(frozen=True)
class Fault:
    """A disruption.

    Attributes:
        kind: "burst" or "leave" of callers, "slow" or "fail" of workers,
            "store", or "lose" of a data centre.
        at: Start, seconds from the start of the traffic.
        for_s: Duration.
        share: Share of the workers, or of the callers, that it affects.
        factor: How strong it is.
    """

    kind: str
    at: float
    for_s: float
    share: float = 0.0
    factor: float = 1.0


@dataclasses.dataclass(frozen=True)
class Arrival:
    """A job and when its caller submits it.

    Attributes:
        at: Seconds from the start of the traffic.
        kind: SHORT, BATCH or LASTING.
        steps: The job's steps.
        leaves_s: When its caller cancels it, seconds after submission.
    """

    at: float
    kind: str
    steps: tuple[work.Step, ...]
    leaves_s: float = float("inf")


@dataclasses.dataclass(frozen=True)
class Load:
    """One load.

    Attributes:
        workers: Number of workers.
        capacity: Resources of each worker.
        arrivals: Jobs in the order of their submission.
        faults: Disruptions.
        weights: How strongly a best-effort image presses on a latency-critical
            one, by both images.
        swing: Amplitude of the swing of tail latencies, as a logarithm.
        period_s: Period of that swing.
    """

    workers: int
    capacity: resources.Resources
    arrivals: tuple[Arrival, ...]
    faults: tuple[Fault, ...]
    weights: dict[tuple[str, str], float]
    swing: float
    period_s: float


def _draw_faults(kind: str, rng: random.Random) -> tuple[Fault, ...]:
    at, for_s = rng.uniform(6, 14), rng.uniform(5, 9)
    share = rng.uniform(0.1, 0.25)
    faults = {
        "steady": (),
        "burst": (Fault("burst", at, for_s, 1.0, rng.uniform(1.6, 2.6)),),
        "slow-workers": (Fault("slow", at, for_s, share, rng.uniform(4, 8)),),
        "hanging-workers": (Fault("slow", at, for_s, share, float("inf")),),
        "failing-workers": (Fault("fail", at, for_s, share),),
        "slow-store": (Fault("store", at, for_s, 1.0, rng.uniform(20, 50)),),
        "lost-data-centre": (Fault("lose", at, for_s, 0.5),),
        "impatient-callers": (
            Fault("burst", at, for_s, 1.0, rng.uniform(1.4, 2.0)),
            Fault("leave", at, for_s, rng.uniform(0.2, 0.4)),
        ),
    }
    return faults[kind]


KINDS = (
    "steady",
    "burst",
    "slow-workers",
    "hanging-workers",
    "failing-workers",
    "slow-store",
    "lost-data-centre",
    "impatient-callers",
)


def draw_load(kind: str, seed: int) -> Load:
    """Draws a load of a kind.

    Args:
        kind: One of KINDS.
        seed: Seed of everything that is drawn.
    """
    rng = random.Random(f"{kind}/{seed}")
    workers, cores = rng.randint(10, 16), rng.choice((16, 32))
    capacity = resources.Resources(1000 * cores, 4000 * cores, 0)
    faults = _draw_faults(kind, rng)
    images = [f"serve{i}" for i in range(4)]
    fills = [f"batch{i}" for i in range(6)]
    heavy = rng.uniform(0.3, 0.6)
    weights = {
        (image, fill): rng.uniform(2.0, 5.0)
        if rng.random() < heavy
        else rng.uniform(0.0, 0.3)
        for image in images
        for fill in fills
    }
    total = workers * cores
    arrivals = []
    lasting_left = rng.uniform(0.8, 1.0) * total
    while lasting_left > 0:
        step = _draw_lasting(rng, images, cores)
        lasting_left -= step.tasks * step.need.millicores / 1000
        arrivals.append(Arrival(0.0, LASTING, (step,)))
    rate = rng.uniform(0.85, 1.0) * total * 0.35
    for kind_name, share, mean_core_s in ((SHORT, 0.1, 14), (BATCH, 0.9, 80)):
        at = 2.0
        while at < TRAFFIC_S:
            factor = max(
                (
                    fault.factor
                    for fault in faults
                    if fault.kind == "burst"
                    and fault.at <= at < fault.at + fault.for_s
                ),
                default=1.0,
            )
            at += rng.expovariate(share * rate * factor / mean_core_s)
            leaves_s = rng.uniform(0.5, 3.0)
            leaves = any(
                fault.kind == "leave"
                and fault.at <= at < fault.at + fault.for_s
                and rng.random() < fault.share
                for fault in faults
            )
            arrivals.append(
                Arrival(
                    at,
                    kind_name,
                    _draw_steps(rng, kind_name, fills),
                    leaves_s if leaves else float("inf"),
                )
            )
    arrivals.sort(key=lambda arrival: arrival.at)
    return Load(
        workers,
        capacity,
        tuple(arrivals),
        faults,
        weights,
        rng.uniform(0.3, 0.6),
        rng.uniform(15, 25),
    )


def _draw_lasting(
    rng: random.Random, images: list[str], cores: int
) -> work.Step:
    millicores = int(1000 * rng.uniform(0.12, 0.28) * cores)
    return work.Step(
        rng.randint(3, 7),
        resources.Resources(millicores, 1000, 0),
        until_cancelled=True,
        image=rng.choice(images),
        target_ms=150,
        max_unavailable=1,
    )


def _draw_steps(
    rng: random.Random, kind: str, fills: list[str]
) -> tuple[work.Step, ...]:
    """Draws one or two dependent steps of a short or a batch job."""
    batch = kind == BATCH
    need = resources.Resources(
        int(rng.uniform(2200, 4800) if batch else rng.uniform(1000, 3600)),
        1000,
        0,
    )
    run_ms = rng.lognormvariate(0, 0.5) * (2400 if batch else 700)
    image = rng.choice(fills) if batch else "short"
    count = rng.choice((1, 2))
    return tuple(
        work.Step(
            max(1, int(rng.lognormvariate(0, 0.7) * 5)),
            need,
            estimate_ms=int(run_ms),
            prerequisites=(index - 1,) if index else (),
            checkpoints=batch,
            image=image,
            best_effort=batch,
        )
        for index in range(count)
    )
