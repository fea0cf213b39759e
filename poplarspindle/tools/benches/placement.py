"""Time of one placement at the target size, in steady state."""

import time

from poplarspindle import queue_placement
from poplarspindle.tools import measures, scenarios, virtual

TRACE = "target/quiet"
SEED = 1
DURATION_S = 60.0
WARM_UP_S = 40.0
TARGET_P99_MS = 5.0


def measure() -> dict:
    """Replays the target size and times each call that places tasks.

    Returns:
        Milliseconds for one placement, its call's time shared among the
        placements of the call: `p50_ms`, `p99_ms`, how many there were, how
        many tasks were held at the end, and whether the target was met.
    """
    trace = scenarios.make_trace(TRACE, SEED, DURATION_S)
    loop = virtual.Loop(trace, "chosen", SEED)
    taken_s: list[float] = []
    place = queue_placement.place_queued

    def place_timed(state, cell, event):
        before = len(cell.view.pending)
        began = time.perf_counter()
        found = place(state, cell, event)
        took_s = time.perf_counter() - began
        count = len(cell.view.pending) - before
        if count > 0 and event.at >= WARM_UP_S:
            taken_s.extend([took_s / count] * count)
        return found

    queue_placement.place_queued = place_timed
    try:
        loop.run(lambda present: None)
    finally:
        queue_placement.place_queued = place
    p99_ms = measures.find_percentile(taken_s, 99) * 1000
    held = sum(
        len(names)
        for cell in loop.state.cells.values()
        for names in cell.table.held.values()
    )
    return {
        "p50_ms": round(measures.find_percentile(taken_s, 50) * 1000, 2),
        "p99_ms": round(p99_ms, 2),
        "placements": len(taken_s),
        "held": held,
        "met": p99_ms < TARGET_P99_MS,
    }
