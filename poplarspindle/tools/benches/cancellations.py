"""Time to reduce one cancellation in waves of several lengths."""

import time

from poplarspindle import cells, events, records, reducer, scheduler_state

WAVES = (500, 5_000)
CENTRE = "ourthe"


def measure() -> dict:
    """Cancels waves of queued jobs, one record each.

    Returns:
        Microseconds for one cancellation, by length of the wave.
    """
    return {f"wave_{size}_us": _time_wave(size) for size in WAVES}


def _time_wave(size: int) -> float:
    state = scheduler_state.SchedulerState("bench", scheduler_state.Limits())
    state.cells[CENTRE] = cells.Cell(CENTRE)
    stream = cells.name_stream(CENTRE)
    jobs = (
        records.JobSubmitted(f"j{i}", "team", "family", 1, 1, 1000, 1000)
        for i in range(size)
    )
    for offset, job in enumerate(jobs):
        reducer.reduce(state, events.RecordRead(0.0, stream, offset, job))
    began = time.perf_counter()
    for index in range(size):
        record = records.JobCancelled(f"j{index}")
        event = events.RecordRead(0.0, stream, size + index, record)
        reducer.reduce(state, event)
    return round((time.perf_counter() - began) / size * 1e6, 1)
