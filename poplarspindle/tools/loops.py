"""One owner, its log and its workers in memory, for measuring.

The reducer and the workers' logic are the real ones; appends are read back
at once and syncs are answered at once, at a time that the caller moves.
"""

import dataclasses

from poplarspindle import (
    cells,
    document,
    effects,
    events,
    records,
    reducer,
    reports,
    resources,
    scheduler_state,
)
from poplarspindle.clients import workers as clients
from poplarspindle.tools.fakes import workers

SECRET = "loop"
INSTANCE = "loop-owner"
CAPACITY = resources.Resources(64000, 256000, 4)
STEP_S = 0.1
STEPS_MOST = 2000


class Loop:
    """One instance that owns data centres of one size.

    Args:
        data_centres: Number of data centres.
        worker_count: Workers in each.
    """

    def __init__(self, data_centres: int, worker_count: int) -> None:
        self.now = 100.0
        self.names = [f"dc{i}" for i in range(data_centres)]
        self.state = scheduler_state.SchedulerState(
            INSTANCE, scheduler_state.Limits(), SECRET
        )
        self.fakes = workers.FakeWorkers()
        self.offsets: dict[str, int] = {}
        self.appended: list[effects.Append] = []
        self._outbox: dict[tuple[str, str], list] = {}
        lines = [f"[data_centres.{name}]" for name in self.names]
        self.publish("platform", 0, "\n".join(lines))
        self._list_members(worker_count)
        self.run_until(self._is_ready)

    def publish(self, section: str, base: int, text: str) -> None:
        """Publishes a section and reads it back."""
        change = records.SectionPublished(
            f"{section}-{base}", section, base, "operations", "loop", text
        )
        key = document.derive_key(SECRET, "operations")
        self.read(records.DOCUMENT_STREAM, document.sign_change(change, key))

    def read(self, stream: str, record: records.Record) -> None:
        """Reads a record at the stream's next offset."""
        offset = self.offsets.get(stream, 0)
        self.offsets[stream] = offset + 1
        self._reduce(events.RecordRead(self.now, stream, offset, record))

    def submit(self, name: str, job: str, tasks: int, run_ms: int) -> None:
        """Submits a batch job of small tasks to a data centre."""
        record = records.JobSubmitted(
            job, "team", "family", 10, tasks, 500, 1000, run_ms=run_ms
        )
        self.read(cells.name_stream(name), record)

    def step(self) -> None:
        """Moves the time on by one tick; syncs each worker with commands."""
        self.now += STEP_S
        for stream in self.list_streams():
            offset = self.offsets.get(stream, 0) - 1
            self._reduce(events.TailReached(self.now, stream, offset))
        self._reduce(events.Ticked(self.now, int(self.now * 10)))
        self.sync_workers()

    def sync_workers(self) -> None:
        """Syncs all workers."""
        for name in self.names:
            cell = self.state.cells[name]
            for worker in list(cell.view.workers):
                self._sync(cell, worker)

    def run_until(self, condition) -> None:
        """Steps until a condition holds.

        Raises:
            RuntimeError: It does not hold after STEPS_MOST steps.
        """
        for _ in range(STEPS_MOST):
            if condition():
                return
            self.step()
        raise RuntimeError("the loop does not settle")

    def list_streams(self) -> list[str]:
        """Returns all streams that the instance follows."""
        names = [cells.name_stream(name) for name in self.names]
        return [records.DOCUMENT_STREAM, *names]

    def count_running(self) -> int:
        """Returns how many tasks run."""
        return sum(
            task.phase is cells.Phase.RUNNING
            for name in self.names
            for task in self.state.cells[name].table.tasks.values()
        )

    def _list_members(self, worker_count: int) -> None:
        members = [
            reports.Member(
                f"{name}-w{i}",
                reports.Role.WORKER,
                name,
                f"{name}-r{i // 10}",
                capacity=CAPACITY,
            )
            for name in self.names
            for i in range(worker_count)
        ]
        for member in members:
            self.fakes.add(member)
        self_member = reports.Member(INSTANCE, reports.Role.SCHEDULER, "dc0")
        listed = events.InstancesListed(self.now, (*members, self_member))
        self._reduce(listed)

    def _is_ready(self) -> bool:
        return all(
            worker.fenced_term == self.state.cells[name].table.term > 0
            for name in self.names
            for worker in self.state.cells[name].view.workers.values()
        )

    def _reduce(self, event: events.Event) -> None:
        for effect in reducer.reduce(self.state, event):
            if isinstance(effect, effects.Append):
                self.appended.append(effect)
                self.read(effect.stream, effect.record)
            elif hasattr(effect, "worker"):
                key = (effect.data_centre, effect.worker)
                self._outbox.setdefault(key, []).append(effect)

    def _sync(self, cell: cells.Cell, worker: str) -> None:
        name = cell.table.data_centre
        commands = self._outbox.pop((name, worker), [])
        sync = clients.make_sync(commands, cell.table.term)
        report = self.fakes.workers[worker].sync(sync, self.now)
        event = events.WorkerSynced(
            self.now, name, worker, self.now, dataclasses.replace(report)
        )
        self._reduce(event)
