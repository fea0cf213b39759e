"""Cost of placing 1,000 tasks by the number of workers, in one run."""

import time

from poplarspindle import resources
from poplarspindle.fleet import (
    fleet_state,
    job_store,
    placement_rounds,
    work,
    worker_state,
)

SIZES = (24, 246, 445, 890)
TASKS = 40  # A step of usual width.
STEPS = 25
WORKERS_A_RACK = 8
REPEATS = 3


def make_fleet(workers: int) -> fleet_state.FleetState:
    """Makes an owner of idle workers, with steps of 1,000 tasks ready."""
    fleet = fleet_state.FleetState(job_store.JobStore())
    queue = work.Queue("q", "h", "/q/", "pool")
    fleet.configuration = work.Configuration(1, {"q": queue})
    for number in range(workers):
        info = work.WorkerInfo(
            f"w{number}",
            f"10.0.0.1:{number}",
            "pool",
            "dc",
            resources.Resources(64_000, 256_000, 0),
            rack=f"r{number // WORKERS_A_RACK}",
        )
        worker = fleet.workers[info.name] = worker_state.WorkerState(info)
        worker.last_report_at = 0.0
    step = work.Step(TASKS, resources.Resources(1000, 1000, 0), 1000)
    for number in range(STEPS):
        name = f"{number:016x}"
        job = job_store.add_job(
            fleet.job_store, work.Submission(name, queue, "", (step,))
        )
        fleet.open_jobs[name] = None
        fleet_state.open_due_occurrences(fleet, job)
    return fleet


def time_placing(workers: int) -> float:
    """Returns processor seconds for 1,000 placements."""
    best = float("inf")
    for _ in range(REPEATS):
        fleet = make_fleet(workers)
        began = time.process_time()
        placement_rounds.place_ready(fleet)
        best = min(best, time.process_time() - began)
        assert len(fleet.runs_to_record) == TASKS * STEPS
    return best


def measure() -> dict:
    """Times placements at each size.

    Returns:
        Processor milliseconds for 1,000 placements by the number of workers,
        and the ratio of the largest size to the one before it.
    """
    taken = {size: time_placing(size) for size in SIZES}
    return {
        **{f"ms_at_{size}": round(s * 1000, 1) for size, s in taken.items()},
        "ratio_890_to_445": round(taken[890] / taken[445], 2),
    }
