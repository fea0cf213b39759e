"""One scheduler over fake workers in virtual time.

The real reducer decides; an in-memory log with a read delay and fake workers
answer it. One short loop, no threads: same trace and seed, same outcome.
"""

import collections
import random
import time

from poplarspindle import (
    cells,
    document,
    effects,
    events,
    ownership,
    records,
    reducer,
    reports,
    resources,
    scheduler_state,
)
from poplarspindle.tools import traces
from poplarspindle.tools.fakes import machines

TICK_S = 0.1
READ_DELAY_S = 0.1
SYNC_S = 1.0
LIST_S = 1.0
SETTLE_S = 3.0
SEED_BITS = 32
SECRET = "replay"
INSTANCE = "replay"
AUTHOR = "replay"


class Loop:
    """One replay of one trace under one policy.

    Args:
        trace: The trace.
        policy: Name of the placement policy.
        seed: Seed of the hidden slowdown, the noise and the decisions.
    """

    def __init__(self, trace: traces.Trace, policy: str, seed: int) -> None:
        self.trace = trace
        self.now = 0.0
        self.state = scheduler_state.SchedulerState(
            INSTANCE, scheduler_state.Limits(policy=policy), SECRET
        )
        self.world = machines.World(seed)
        self.rng = random.Random(seed)
        self.machines = {
            w.name: machines.Machine(_make_member(w), self.world)
            for w in trace.workers
        }
        self.members = (
            reports.Member(INSTANCE, reports.Role.SCHEDULER, ""),
            *(m.member for m in self.machines.values()),
        )
        self.counts: collections.Counter = collections.Counter()
        self.evictions: collections.Counter = collections.Counter()
        self.tick_s: list[float] = []
        self.decision_s: list[float] = []
        self.submitted: dict[str, float] = {}
        self._happenings = collections.deque(trace.happenings)
        self._unread: collections.deque = collections.deque()
        self._offsets: dict[str, int] = {}
        self._commands: dict[str, list] = {}
        self._answers: list[events.Event] = []
        self._listed_at = -LIST_S

    def run(self, watch) -> None:
        """Runs the whole trace.

        Args:
            watch: Called with this loop after each tick.
        """
        steps = int(self.trace.head.duration_s / TICK_S)
        for step in range(steps):
            self.now = step * TICK_S
            self._happen()
            self._list()
            self._read_log()
            self._take_answers()
            self._tick()
            self._sync(step)
            watch(self)

    def _happen(self) -> None:
        while self._happenings and self._happenings[0].at_s <= self.now:
            line = self._happenings.popleft()
            _HAPPENINGS[type(line)](self, line)

    def _publish(self, line: traces.Section) -> None:
        current = self.state.document.sections.get(line.name)
        change = records.SectionPublished(
            f"{line.name}@{line.at_s}",
            line.name,
            current.version if current else 0,
            line.team,
            AUTHOR,
            line.text,
        )
        self._append_signed(change)
        spec = document.parse_section(line.text).value
        for name, service in spec.services.items():
            self.world.replicas[name] = service.replicas
            self.world.targets_ms[name] = service.target_ms

    def _append_signed(self, change) -> None:
        key = document.derive_key(SECRET, change.team)
        signed = document.sign_change(change, key)
        self.append(records.DOCUMENT_STREAM, signed)

    def _submit(self, line: traces.Job) -> None:
        found = self.state.document.find_family(line.family)
        section, spec = found
        job = records.JobSubmitted(
            line.job,
            section.team,
            line.family,
            spec.priority,
            line.tasks,
            int(spec.processors * 1000),
            int(spec.memory_gb * 1000),
            spec.accelerators,
            int(spec.run_s * 1000),
            spec.exclusive,
            spec.urgent,
        )
        self.world.truths[line.job] = machines.Truth(
            "",
            line.work_ms,
            line.fails,
            int(job.millicores * line.use),
            int(job.memory_mb * line.use),
        )
        self.submitted[line.job] = self.now
        self.append(cells.name_stream(self._find_home(line.job, spec)), job)

    def _find_home(self, job: str, spec: document.FamilySpec) -> str:
        document_state = self.state.document
        allowed = spec.data_centres or document_state.list_data_centres()
        able = tuple(
            name for name in allowed if document_state.is_in_service(name)
        )
        return ownership.rank_candidates(job, able)[0]

    def _cancel(self, line: traces.Cancel) -> None:
        for name, cell in self.state.cells.items():
            if line.job in cell.table.jobs:
                self.append(
                    cells.name_stream(name), records.JobCancelled(line.job)
                )

    def _shift_load(self, line: traces.Load) -> None:
        self.world.loads[line.service] = line.load

    def _change_worker(self, line: traces.WorkerFault) -> None:
        machine = self.machines[line.worker]
        machine.state = line.state
        if line.state == "dead":
            machine.kill(self.now)

    def _set_data_centre(self, line: traces.DataCentre) -> None:
        known = self.state.document.data_centres.get(
            line.data_centre, document.DataCentreState()
        )
        self._append_signed(
            records.DataCentreSet(
                f"{line.data_centre}@{line.at_s}",
                line.data_centre,
                line.in_service,
                known.version,
                "operations",
                AUTHOR,
            )
        )

    def append(self, stream: str, record: records.Record) -> None:
        """Appends a record; it is read a delay later."""
        self._unread.append((self.now + READ_DELAY_S, stream, record))

    def _list(self) -> None:
        if self.now - self._listed_at >= LIST_S:
            self._listed_at = self.now
            self._reduce(events.InstancesListed(self.now, self.members))

    def _read_log(self) -> None:
        while self._unread and self._unread[0][0] <= self.now:
            _, stream, record = self._unread.popleft()
            offset = self._offsets.get(stream, -1) + 1
            self._offsets[stream] = offset
            self._note_record(record)
            self._reduce(events.RecordRead(self.now, stream, offset, record))
        streams = [cells.name_stream(name) for name in self.state.cells]
        for stream in (records.DOCUMENT_STREAM, *streams):
            offset = self._offsets.get(stream, -1)
            self._reduce(events.TailReached(self.now, stream, offset))

    def _note_record(self, record: records.Record) -> None:
        self.counts[type(record).__name__] += 1
        if isinstance(record, records.TaskEvicted):
            self.evictions[record.reason] += 1

    def _take_answers(self) -> None:
        answers, self._answers = self._answers, []
        for event in answers:
            self._reduce(event)

    def _tick(self) -> None:
        event = events.Ticked(self.now, self.rng.getrandbits(SEED_BITS))
        began = time.perf_counter()
        found = reducer.reduce(self.state, event)
        took = time.perf_counter() - began
        self.tick_s.append(took)
        placed = sum(
            isinstance(effect, effects.Append)
            and isinstance(effect.record, records.TaskPlaced)
            for effect in found
        )
        self.decision_s += [took / max(1, placed)] * placed
        self._carry_out(found)

    def _reduce(self, event: events.Event) -> None:
        self._carry_out(reducer.reduce(self.state, event))

    def _carry_out(self, found: list) -> None:
        for effect in found:
            match effect:
                case effects.Append():
                    self.append(effect.stream, effect.record)
                case effects.Count():
                    self.counts[effect.reason] += effect.amount
                case effects.LogLine():
                    pass
                case _:
                    self._commands.setdefault(effect.worker, []).append(effect)

    def _sync(self, step: int) -> None:
        """Syncs workers that are due or have commands waiting."""
        period = int(SYNC_S / TICK_S)
        for index, (name, machine) in enumerate(self.machines.items()):
            due = (step + index) % period == 0
            if due or name in self._commands:
                self._sync_machine(name, machine)

    def _sync_machine(self, name: str, machine: machines.Machine) -> None:
        commands = self._commands.pop(name, [])
        centre = machine.member.data_centre
        answer_at = self.now + TICK_S
        if machine.state == "dead":
            event = events.WorkerUnreachable(answer_at, centre, name, "down")
        else:
            term = (
                self.state.cells[centre].table.term
                if centre in self.state.cells
                else 0
            )
            report = machine.sync(commands, term, self.now)
            event = events.WorkerSynced(
                answer_at, centre, name, self.now, report
            )
        self._answers.append(event)


_HAPPENINGS = {
    traces.Section: Loop._publish,
    traces.Job: Loop._submit,
    traces.Cancel: Loop._cancel,
    traces.Load: Loop._shift_load,
    traces.WorkerFault: Loop._change_worker,
    traces.DataCentre: Loop._set_data_centre,
}


def _make_member(worker: traces.Worker) -> reports.Member:
    return reports.Member(
        worker.name,
        reports.Role.WORKER,
        worker.data_centre,
        worker.rack,
        capacity=resources.Resources(
            worker.millicores, worker.memory_mb, worker.accelerators
        ),
    )
