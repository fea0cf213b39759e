"""Measures what control costs against size, one factor at a time."""

import dataclasses
import json
import pathlib
import statistics
import sys
import time
import tracemalloc
from collections.abc import Callable

import defopt

import poplarspindle
from poplarspindle import events, log, metrics, records, reducer, reports
from poplarspindle.clients import logservice, members, transport, workers
from poplarspindle.tools import loops, meters
from poplarspindle.tools.fakes import platform

TICKS = 30
CALLS = 100
OUT = pathlib.Path("out")


@dataclasses.dataclass(frozen=True)
class Slope:
    """One measurement against one factor.

    Attributes:
        name: Short name.
        factor: What is varied.
        unit: Unit of the result.
        points: Sizes measured.
        measure: Returns the result at one size.
    """

    name: str
    factor: str
    unit: str
    points: tuple[int, ...]
    measure: Callable[[int], float]


@dataclasses.dataclass(frozen=True)
class Line:
    """A fitted line.

    Attributes:
        name: Name of the slope.
        factor: What was varied.
        unit: Unit of the result.
        points: `(size, result)` pairs.
        base: Result at size 0.
        slope: Rise per unit of the factor.
        residual: Greatest distance from the line, as a share of the greatest
            result.
    """

    name: str
    factor: str
    unit: str
    points: tuple[tuple[int, float], ...]
    base: float
    slope: float
    residual: float


def _time_cpu_us(run: Callable[[], object], times: int) -> float:
    """Returns the processor time of one call in this thread, microseconds."""
    began = time.thread_time()
    for _ in range(times):
        run()
    return (time.thread_time() - began) / times * 1e6


def _make_busy(worker_count: int, tasks: int) -> loops.Loop:
    loop = loops.Loop(1, worker_count)
    loop.submit("dc0", "job", tasks, run_ms=10**9)
    loop.run_until(lambda: loop.count_running() == tasks)
    return loop


def _time_tick(loop: loops.Loop) -> float:
    loop.step()
    event = events.Ticked(loop.now, 1)
    return _time_cpu_us(lambda: reducer.reduce(loop.state, event), TICKS)


def measure_tick_by_tasks(tasks: int) -> float:
    """Processor time of one tick with 44 workers and so many tasks."""
    return _time_tick(_make_busy(44, tasks))


def measure_tick_by_workers(count: int) -> float:
    """Processor time of one tick with so many workers and 400 tasks."""
    return _time_tick(_make_busy(count, 400))


def measure_report_by_tasks(tasks: int) -> float:
    """Processor time to reduce the report of a worker with so many tasks."""
    loop = _make_busy(1, tasks)
    report = next(iter(loop.fakes.workers.values())).sync(
        workers.Sync(loop.state.cells["dc0"].table.term), loop.now
    )
    event = events.WorkerSynced(loop.now, "dc0", "dc0-w0", loop.now, report)
    return _time_cpu_us(lambda: reducer.reduce(loop.state, event), TICKS)


def measure_memory_by_tasks(tasks: int) -> float:
    """Memory of a data centre's state with so many queued tasks, bytes."""
    loop = loops.Loop(1, 1)
    batch = records.encode_batch(
        tuple(
            records.JobSubmitted(f"job-{i}", "team", "f", 1, 10, 10**9, 1)
            for i in range(tasks // 10)
        )
    )
    tracemalloc.start()
    for record in records.decode_batch(batch)[0]:
        loop.read("cell/dc0", record)
    size, _ = tracemalloc.get_traced_memory()
    tracemalloc.stop()
    return float(size)


def measure_life_by_starts(starts: int) -> float:
    """Bytes appended for so many whole task lives."""
    loop = loops.Loop(1, 8)
    loop.appended.clear()
    loop.submit("dc0", "job", starts, run_ms=50)
    loop.run_until(
        lambda: (
            not loop.state.cells["dc0"].table.queue
            and not loop.state.cells["dc0"].table.held
        )
    )
    lives = tuple(
        effect.record
        for effect in loop.appended
        if isinstance(
            effect.record,
            records.TaskPlaced | records.TaskRunning | records.TaskEnded,
        )
    )
    return float(len(records.encode_batch(lives)))


def measure_change_by_sections(sections: int) -> float:
    """Processor time to reduce one change among so many sections."""
    loop = loops.Loop(1, 1)
    text = "[services.s{}]\nreplicas = 3\nprocessors = 2\n"
    for index in range(sections):
        loop.publish(f"section-{index}", 0, text.format(index))
    began = time.thread_time()
    for base in range(1, 21):
        loop.publish("section-0", base, text.format(0))
    return (time.thread_time() - began) / 20 * 1e6


def _meter(run: Callable[[str], None], prepare=None) -> float:
    """Returns the bytes of a client's calls to a stand-in platform."""
    fake = platform.Platform(platform.Plan(workers=1, minions=0, list_lag_s=0))
    url = fake.start()
    if prepare:
        prepare(fake)
    meter = meters.Meter(url.removeprefix("http://"))
    run(meter.address)
    meter.close()
    fake.stop()
    return float(meter.count)


def measure_sync_bytes_by_tasks(tasks: int) -> float:
    """Bytes of one sync with a worker that runs so many tasks."""
    loop = _make_busy(1, max(1, tasks))
    worker = next(iter(loop.fakes.workers.values()))
    for run in loop.fakes.ledger:
        run.until = float("inf")
    term = loop.state.cells["dc0"].table.term

    def run(address: str) -> None:
        client = workers.Client(transport.Transport(5.0))
        for _ in range(CALLS):
            client.sync(address, "dc0-w0", workers.Sync(term))

    def prepare(fake: platform.Platform) -> None:
        fake.workers.workers["dc0-w0"] = worker

    return _meter(run, prepare) / CALLS


def measure_idle_read_by_streams(streams: int) -> float:
    """Bytes of one read of so many streams that brings nothing."""
    names = [f"cell/centre-{i}" for i in range(streams)]

    def run(address: str) -> None:
        service = logservice.LogService(
            f"http://{address}", transport.Transport(5.0)
        )
        for _ in range(CALLS):
            service.read(dict.fromkeys(names, 0), 100, 0)

    return _meter(run) / CALLS


def _meter_list(count: int, reads: int) -> float:
    """Returns the bytes of so many reads of a list of so many members."""

    def prepare(fake: platform.Platform) -> None:
        fake.members.put(
            *(
                reports.Member(
                    f"centre-w{i}", reports.Role.WORKER, "centre", "rack-1"
                )
                for i in range(count)
            )
        )

    def run(address: str) -> None:
        client = members.InstanceList(
            f"http://{address}", transport.Transport(5.0)
        )
        for _ in range(reads):
            client.fetch()

    return _meter(run, prepare)


def measure_list_by_members(count: int) -> float:
    """Bytes of one read of a list of so many members after a change."""
    return _meter_list(count, 1)


def measure_idle_list_by_members(count: int) -> float:
    """Bytes of one read of a list of so many members without a change."""
    return (_meter_list(count, 1 + CALLS) - _meter_list(count, 1)) / CALLS


def measure_count_by_adds(adds: int) -> float:
    """Processor time of so many additions to a counter."""
    counters = metrics.Metrics()
    return _time_cpu_us(
        lambda: [
            counters.add("poplarspindle_tasks_total", "placed")
            for _ in range(adds)
        ],
        3,
    )


SLOPES = (
    Slope(
        "tick",
        "tasks in a data centre",
        "us CPU a tick",
        (200, 400, 800, 1600),
        measure_tick_by_tasks,
    ),
    Slope(
        "tick",
        "workers in a data centre",
        "us CPU a tick",
        (11, 22, 44, 88),
        measure_tick_by_workers,
    ),
    Slope(
        "report",
        "tasks at a worker",
        "us CPU a report",
        (5, 10, 20, 40),
        measure_report_by_tasks,
    ),
    Slope(
        "memory",
        "tasks",
        "bytes",
        (1000, 2000, 5000, 10000),
        measure_memory_by_tasks,
    ),
    Slope(
        "task lives",
        "starts",
        "bytes appended",
        (50, 100, 200, 400),
        measure_life_by_starts,
    ),
    Slope(
        "change",
        "sections",
        "us CPU a change",
        (10, 50, 100, 200),
        measure_change_by_sections,
    ),
    Slope(
        "sync",
        "tasks at a worker",
        "bytes a sync",
        (1, 10, 20, 40),
        measure_sync_bytes_by_tasks,
    ),
    Slope(
        "idle read",
        "streams",
        "bytes a read",
        (1, 4, 8, 12),
        measure_idle_read_by_streams,
    ),
    Slope(
        "list",
        "members",
        "bytes a read after a change",
        (60, 120, 240, 480),
        measure_list_by_members,
    ),
    Slope(
        "idle list",
        "members",
        "bytes a read",
        (60, 120, 240, 480),
        measure_idle_list_by_members,
    ),
    Slope(
        "counter",
        "additions",
        "us CPU",
        (100, 200, 400, 800),
        measure_count_by_adds,
    ),
)


def fit_line(slope: Slope) -> Line:
    """Measures all points of a slope and fits a line."""
    results = [slope.measure(size) for size in slope.points]
    fitted = statistics.linear_regression(slope.points, results)
    misses = [
        abs(y - fitted.intercept - fitted.slope * x)
        for x, y in zip(slope.points, results, strict=True)
    ]
    return Line(
        slope.name,
        slope.factor,
        slope.unit,
        tuple(zip(slope.points, results, strict=True)),
        fitted.intercept,
        fitted.slope,
        max(misses) / max(results),
    )


def write_table(lines: list[Line]) -> str:
    """Returns the lines as a table."""
    rows = [
        "| what | factor | unit | points | at 0 | slope | residual |",
        "|---|---|---|---|---|---|---|",
    ]
    for line in lines:
        points = ", ".join(f"{x}: {y:.0f}" for x, y in line.points)
        rows.append(
            f"| {line.name} | {line.factor} | {line.unit} | {points} |"
            f" {line.base:.1f} | {line.slope:.3f} | {line.residual:.0%} |"
        )
    return "\n".join(rows)


def draw_plot(lines: list[Line], path: pathlib.Path) -> None:
    """Draws all lines; needs the extra `report`."""
    import matplotlib

    matplotlib.use("Agg")
    from matplotlib import pyplot

    columns = 3
    count = -(-len(lines) // columns)
    figure, grid = pyplot.subplots(count, columns, figsize=(12, 3 * count))
    for axes, line in zip(grid.flat, lines, strict=False):
        sizes, results = zip(*line.points, strict=True)
        axes.plot(sizes, results, "o")
        axes.plot(sizes, [line.base + line.slope * x for x in sizes])
        axes.set_title(f"{line.name}, {line.unit}", fontsize=9)
        axes.set_xlabel(line.factor, fontsize=8)
    figure.tight_layout()
    figure.savefig(path)


def run_slopes(*, as_json: bool = False, plot: bool = True) -> int:
    """Measures all slopes; writes out/slopes.md and out/slopes.png.

    Args:
        as_json: Print JSON instead of the table.
        plot: Draw the plot.
    """
    log.set_up("text", "error")
    lines = []
    for slope in SLOPES:
        print(f"{slope.name} by {slope.factor}", file=sys.stderr, flush=True)
        lines.append(fit_line(slope))
    OUT.mkdir(exist_ok=True)
    (OUT / "slopes.md").write_text(write_table(lines) + "\n")
    if plot:
        draw_plot(lines, OUT / "slopes.png")
    if as_json:
        print(json.dumps([dataclasses.asdict(line) for line in lines]))
    else:
        print(write_table(lines))
    return 0


def main() -> None:
    """Runs the program."""
    argv = ["--as-json" if a == "--json" else a for a in sys.argv[1:]]
    sys.exit(
        defopt.run(run_slopes, argv=argv, version=poplarspindle.__version__)
    )


if __name__ == "__main__":
    main()
