"""Size of a data centre's snapshot, and time to recover from it."""

import time

from poplarspindle import cells, events, records, replayer, resources, snapshots
from poplarspindle.clients import logservice

TASKS = 10_000
TASKS_PER_JOB = 10
WORKERS = 48
LATER_APPENDS = 2000
SECRET = "bench"
STREAM = "cell/ourthe"


def make_table() -> cells.Table:
    """Makes a table of a data centre with every tenth task running."""
    table = cells.Table("ourthe", "scheduler-1", 7, 100)
    need = resources.Resources(2000, 4000, 0)
    for index in range(TASKS):
        job = records.JobSubmitted(
            f"job-{index // TASKS_PER_JOB:06x}",
            f"team-{index % 45}",
            f"family-{index % 200}",
            10,
            TASKS_PER_JOB,
            2000,
            4000,
        )
        name = f"{job.job}/{index % TASKS_PER_JOB}"
        cells.add_task(table, cells.Task(name, job, need))
        table.jobs[job.job] = TASKS_PER_JOB
        if index % 10 == 0:
            worker = f"ourthe-w{index // 10 % WORKERS}"
            cells.hold_task(table, table.tasks[name], worker, 7)
    return table


def measure() -> dict:
    """Measures writing a snapshot of 10,000 tasks and recovering from it.

    Returns:
        Times in milliseconds, sizes in bytes.
    """
    table = make_table()
    began = time.perf_counter()
    chunks = snapshots.split_state(table, "bench", LATER_APPENDS, SECRET)
    written_ms = (time.perf_counter() - began) * 1000
    payloads = [records.encode_batch((chunk,)) for chunk in chunks]
    renewal = records.OwnershipRenewed("scheduler-1", 7, 1)
    payloads += [records.encode_batch((renewal,))] * LATER_APPENDS
    first = LATER_APPENDS + 1
    page = logservice.Page(
        STREAM,
        first,
        first + len(payloads),
        tuple(enumerate(payloads, start=first)),
    )
    began = time.perf_counter()
    made = replayer.Replayer(STREAM, snapshots.make_opener(SECRET))
    found = made.take_page(page, 0.0, 0.0) + made.take_page(page, 0.0, 0.0)
    recovered_ms = (time.perf_counter() - began) * 1000
    installed = [e for e in found if isinstance(e, events.SnapshotRead)]
    return {
        "tasks": len(installed[0].state.tasks),
        "records_after": LATER_APPENDS,
        "snapshot_bytes": sum(map(len, payloads[: len(chunks)])),
        "chunks": len(chunks),
        "write_ms": round(written_ms, 1),
        "recover_ms": round(recovered_ms, 1),
        "is_equal": installed[0].state == table,
    }
