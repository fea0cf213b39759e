"""Cost of the reducer for owners of data centres."""

import time

from poplarspindle import (
    cells,
    document,
    events,
    records,
    reducer,
    reports,
    resources,
    scheduler_state,
)
from poplarspindle.tools import world

CENTRES = 11
WORKERS = 480
TASKS = 12_000
WORKERS_OF_ONE = 44
TASKS_OF_ONE = 1_100
STARTS_PER_S = 13
RECORDS_PER_START = 3
TICKS_PER_S = 10
SECONDS = 10
CAPACITY = resources.Resources(64_000, 256_000, 8)
NAME = "bench"
TAKEOVERS = 20
SETTLE_STEPS = 100
TAKEOVER_STEPS = 400


class Bench:
    """One owner of some data centres, full of running tasks.

    Args:
        centres: Number of data centres, all owned.
        workers: Number of workers, spread over the data centres.
        tasks: Number of tasks, spread over the workers.
    """

    def __init__(self, centres: int, workers: int, tasks: int) -> None:
        self.state = scheduler_state.SchedulerState(
            NAME, scheduler_state.Limits()
        )
        self.names = [f"dc{index}" for index in range(centres)]
        self.members = [
            reports.Member(
                f"w{index}",
                reports.Role.WORKER,
                self.names[index % centres],
                capacity=CAPACITY,
            )
            for index in range(workers)
        ]
        self.running: dict[str, list] = {m.name: [] for m in self.members}
        self.offsets = dict.fromkeys((*self.names, "document"), 0)
        self.now = 1.0
        self.events = 0
        self._open()
        for index in range(tasks):
            self._run_task(index, self.members[index % workers])

    def _open(self) -> None:
        text = "".join(f"[data_centres.{name}]\n" for name in self.names)
        change = records.SectionPublished("c", "all", 0, "ops", "me", text)
        key = document.derive_key("", "ops")
        signed = document.sign_change(change, key)
        self.take(events.RecordRead(self.now, "document", 0, signed))
        self.take(events.InstancesListed(self.now, tuple(self.members)))
        self.read_tails()
        self.take(events.Ticked(self.now, 1))
        for name in self.names:
            self.read(name, records.OwnershipClaimed(NAME, 1, -1, 1))

    def _run_task(self, index: int, member: reports.Member) -> None:
        centre = member.data_centre
        job = records.JobSubmitted(f"j{index}", "t", "f", 1, 1, 1000, 1000)
        self.read(centre, job)
        task = f"j{index}/0"
        self.read(centre, records.TaskPlaced(task, 0, member.name, 1))
        self.read(centre, records.TaskRunning(task, 0, 1))
        self.running[member.name].append(
            reports.RunningTask(task, 0, 1, 500, "f")
        )

    def take(self, event: events.Event) -> list:
        """Reduces one event."""
        self.events += 1
        return reducer.reduce(self.state, event)

    def read(self, centre: str, record: records.Record) -> None:
        """Reduces one record of a data centre's stream."""
        offset = self.offsets[centre]
        self.offsets[centre] = offset + 1
        stream = cells.name_stream(centre)
        self.take(events.RecordRead(self.now, stream, offset, record))

    def read_tails(self) -> None:
        """Tells that all streams were read to their tails."""
        streams = (cells.name_stream(name) for name in self.names)
        for stream in ("document", *streams):
            self.take(events.TailReached(self.now, stream, 0))

    def sync(self, member: reports.Member) -> None:
        """Reduces one worker's report."""
        report = reports.WorkerReport(
            int(self.now * 1000), 1, tuple(self.running[member.name])
        )
        self.take(
            events.WorkerSynced(
                self.now, member.data_centre, member.name, self.now, report
            )
        )

    def renew(self) -> None:
        """Reduces one renewal per data centre, as accepted."""
        for name in self.names:
            view = self.state.cells[name].view
            for sequence in list(view.sent):
                renewal = records.OwnershipRenewed(NAME, 1, sequence)
                self.read(name, renewal)

    def run_second(self, starts: int) -> None:
        """Lets one second pass with its ticks, syncs and records."""
        for _ in range(TICKS_PER_S):
            self.now += 1 / TICKS_PER_S
            self.read_tails()
            self.take(events.Ticked(self.now, 7))
            self.renew()
        for member in self.members:
            self.sync(member)
        for index in range(starts * RECORDS_PER_START):
            centre = self.names[index % len(self.names)]
            record = records.TaskRunning(f"j{index}/0", 0, 1)
            self.read(centre, record)


def _measure_second(bench: Bench, starts: int) -> tuple[float, float]:
    """Returns processor seconds per second, and events per second of them."""
    bench.run_second(starts)
    before = bench.events
    began = time.process_time()
    for _ in range(SECONDS):
        bench.run_second(starts)
    took = time.process_time() - began
    return took / SECONDS, (bench.events - before) / took


def _measure_takeover() -> float:
    """Returns the seconds it takes to reduce a takeover of one data centre."""
    bench = Bench(1, WORKERS_OF_ONE, TASKS_OF_ONE)
    began = time.perf_counter()
    for member in bench.members:
        bench.sync(member)
    bench.now += 1 / TICKS_PER_S
    bench.take(events.Ticked(bench.now, 7))
    return time.perf_counter() - began


def _measure_silence() -> list[float]:
    """Returns how long data centres went without an owner after a crash.

    Virtual seconds at the default limits, from the crash to the first tick
    at which the next owner has raised its term at every worker.
    """
    found = []
    for seed in range(TAKEOVERS):
        scene = world.World(seed, limits=scheduler_state.Limits())
        for _ in range(SETTLE_STEPS):
            scene.step()
        cell = scene.instances[0].state.cells[world.DATA_CENTRES[0]]
        owner = cell.table.owner
        scene.crash(next(i for i in scene.instances if i.name == owner))
        began = scene.now
        term = cell.table.term
        for _ in range(TAKEOVER_STEPS):
            if _is_taken_over(scene, term):
                break
            scene.step()
        found.append(scene.now - began)
    return sorted(found)


def _is_taken_over(scene: world.World, term: int) -> bool:
    seen = (
        (instance, instance.state.cells[world.DATA_CENTRES[0]])
        for instance in scene.instances
    )
    return any(
        cell.table.owner == instance.name
        and cell.table.term > term
        and all(
            worker.fenced_term == cell.table.term
            for worker in cell.view.workers.values()
        )
        for instance, cell in seen
    )


def measure() -> dict[str, float]:
    """Measures the reducer at the size to design for.

    Returns:
        Events a second with all data centres owned by one instance, the
        processor share of an owner of all and of one, virtual seconds
        without an owner after a crash, and the time to reduce a takeover.
    """
    whole_share, whole_rate = _measure_second(
        Bench(CENTRES, WORKERS, TASKS), STARTS_PER_S * CENTRES
    )
    one_share, one_rate = _measure_second(
        Bench(1, WORKERS_OF_ONE, TASKS_OF_ONE), STARTS_PER_S
    )
    silence = _measure_silence()
    return {
        "reducer_events_per_s_480_workers_12000_tasks": round(whole_rate),
        "owner_of_all_share_of_core_percent": round(whole_share * 100, 2),
        "reducer_events_per_s_44_workers_1100_tasks": round(one_rate),
        "owner_of_one_share_of_core_percent": round(one_share * 100, 2),
        "takeover_silence_median_s": silence[len(silence) // 2],
        "takeover_silence_most_s": silence[-1],
        "takeover_reduce_ms": round(_measure_takeover() * 1000, 2),
    }
