"""A virtual fleet under one load, with its callers and its judgement."""

import collections
import math
import random
import statistics

from poplarspindle.fleet import admission, job_store, mechanisms, work
from poplarspindle.node import admission_ledger
from poplarspindle.tools import loads
from poplarspindle.tools.fakes import fleets, load_workers

LATE_SHARE = 0.15  # Of a job's worth, when it ends late but not too late.
MAX_LATENESS = 3.0  # In objectives.
HARM_PENALTY = 4.0  # For tasks over their target because of others.
WINDOW_S = 2.0
ATTEMPTS = 5  # Submissions of a job that is refused.
OBJECTIVE_SLACK = 1.5  # Factor on the run time of a job's longest chain.
OBJECTIVE_S = 0.5  # Constant part of a job's objective.
FIXED_WORTH = 1.0
WORTH_PER_CORE_S = 0.02
UNDISTURBED_TAIL_MS = 25.0  # At the mean load.
MEAN_LOAD = 0.48  # Share of its processors that a long-running task uses.
RUN_TIME_SPREAD = 0.15  # Of the logarithm of a run time around its estimate.
NODES = 5


class LoadWorld(fleets.World):
    """A fleet under one load, with its callers.

    Args:
        load: The load.
        seed: Seed of run times and of who is hit by faults.
        used: Mechanisms by which the owner decides.
    """

    def __init__(
        self, load: loads.Load, seed: int, used: mechanisms.Mechanisms
    ) -> None:
        self._load = load
        self._work_s: dict[work.TaskName, float] = {}
        self._kinds: dict[str, str] = {}
        self._submitted_at: dict[str, float] = {}
        self._windows: list[float] = []
        self._draw = random.Random(f"run times {seed}")
        self._ledgers = [
            admission_ledger.AdmissionLedger() for _ in range(NODES)
        ]
        self._loads_read = 0
        super().__init__(
            seed,
            load.workers,
            load.capacity,
            run_s=lambda rng: float("inf"),
            make_worker=load_workers.LoadWorker,
            used_mechanisms=used,
        )
        for index, arrival in enumerate(load.arrivals):
            self._submit_later(f"job{index}", arrival, arrival.at, ATTEMPTS)
        for fault in load.faults:
            self._schedule_fault(fault)
        self.call_later(WINDOW_S, self._judge_window)

    # What the workers ask.

    def get_work_s(self, name: work.TaskName) -> float:
        """Returns the work of a task, seconds at full speed."""
        step = self.find_step(name)
        if step.until_cancelled:
            return float("inf")
        if name not in self._work_s:
            spread = self._draw.lognormvariate(0, RUN_TIME_SPREAD)
            self._work_s[name] = spread * step.estimate_ms / 1000
        return self._work_s[name]

    def get_load(self, name: work.TaskName) -> float:
        """Returns the share of its processors that a task uses now."""
        return MEAN_LOAD * math.exp(self._swing(name.job))

    def get_tail_ms(
        self, name: work.TaskName, shares: dict[str, float]
    ) -> float:
        """Returns a task's tail latency beside best-effort runs."""
        image = self.find_step(name).image
        weights = {
            fill: self._load.weights[image, fill] for fill in shares if fill
        }
        undisturbed_ms = UNDISTURBED_TAIL_MS * math.exp(self._swing(name.job))
        return load_workers.compute_tail_ms(undisturbed_ms, weights, shares)

    def _swing(self, job: str) -> float:
        phase = int(job[3:]) % 5 / 20
        return self._load.swing * load_workers.get_swing(
            self.now, self._load.period_s, phase
        )

    # Callers and faults.

    def _submit_later(
        self, job: str, arrival: loads.Arrival, at: float, attempts: int
    ) -> None:
        def submit() -> None:
            self._submitted_at.setdefault(job, self.now)
            self._kinds[job] = arrival.kind
            submission = work.Submission(
                job, self.queue, "", arrival.steps, accepted_ms=self.wall_ms()
            )
            retry_s = self._draw.choice(self._ledgers).decide(
                self._read_load(),
                self._loads_read,
                submission,
                self.wall_ms(),
            )
            if retry_s and attempts > 1:
                self._submit_later(
                    job, arrival, self.now + retry_s, attempts - 1
                )
            elif not retry_s:
                self.submit(job, *arrival.steps)
                if arrival.leaves_s < math.inf:
                    self.call_later(arrival.leaves_s, lambda: self._leave(job))

        self.call_later(at - self.now, submit)

    def write(self, found) -> None:
        """Stores records; counts how often the load was told."""
        super().write(found)
        self._loads_read += sum(
            record.key == admission.LOAD_KEY for record in found
        )

    def _read_load(self) -> admission.Load | None:
        record = self.log.get(admission.LOAD_KEY)
        return admission.decode_load(record.value) if record else None

    def _leave(self, job: str) -> None:
        del self._submitted_at[job]  # Nothing is owed to its caller.
        if self.fleet.job_store.jobs[job].state not in job_store.ENDED:
            self.cancel(job)

    def _schedule_fault(self, fault: loads.Fault) -> None:
        names = self._draw.sample(
            sorted(self.workers), round(fault.share * len(self.workers))
        )
        begin, end = {
            "slow": (
                lambda: self._set_speed(names, 1 / fault.factor),
                lambda: self._set_speed(names, 1.0),
            ),
            "fail": (
                lambda: self.fail_on.update(names),
                lambda: self.fail_on.difference_update(names),
            ),
            "lose": (
                self._lose_data_centre,
                self._restore_data_centre,
            ),
            "store": (
                lambda: self._set_append_s(fault.factor * fleets.APPEND_S),
                lambda: self._set_append_s(fleets.APPEND_S),
            ),
        }.get(fault.kind, (None, None))
        if begin:
            self.call_later(fault.at, begin)
            self.call_later(fault.at + fault.for_s, end)

    def _set_speed(self, names: list[str], speed: float) -> None:
        for name in names:
            self.workers[name].speed = speed

    def _set_append_s(self, append_s: float) -> None:
        self.append_s = append_s

    def _lose_data_centre(self) -> None:
        for worker in self.workers.values():
            if worker.description.data_centre == "dc0":
                worker.crash()
                worker.up = False

    def _restore_data_centre(self) -> None:
        for worker in self.workers.values():
            worker.up = True

    # The judgement.

    def _judge_window(self) -> None:
        """Records which share of the long-running tasks is in service."""
        ratios = [
            ratio
            for worker in self.workers.values()
            for key, ratio in worker.tail_ratio.items()
            if key in worker.runs and worker.up
        ]
        owed = sum(
            submission.steps[0].tasks
            for submission in self.submissions.values()
            if submission.steps[0].until_cancelled
        )
        if owed:
            over = sum(ratio > 1 for ratio in ratios)
            served = len(ratios) - HARM_PENALTY * over
            self._windows.append(max(0.0, served) / owed)
        self.call_later(WINDOW_S, self._judge_window)

    def judge(self) -> dict[str, float]:
        """Returns the share of the worth owed that was earned, by kind."""
        earned: collections.Counter = collections.Counter()
        owed: collections.Counter = collections.Counter()
        for job, at in self._submitted_at.items():
            kind = self._kinds[job]
            if kind == loads.LASTING:
                continue
            worth, objective_s = self._value(job)
            owed[kind] += worth
            took_s = self.completed_at.get(job, math.inf) - at
            if took_s <= objective_s:
                earned[kind] += worth
            elif took_s <= MAX_LATENESS * objective_s:
                earned[kind] += LATE_SHARE * worth
        shares = {
            kind: earned[kind] / owed[kind] if owed[kind] else 1.0
            for kind in (loads.SHORT, loads.BATCH)
        }
        shares[loads.LASTING] = statistics.fmean(self._windows or [0.0])
        return shares

    def _value(self, job: str) -> tuple[float, float]:
        """Returns a job's worth and its objective, seconds."""
        index = int(job[3:])
        steps = self._load.arrivals[index].steps
        core_s = sum(
            step.tasks * step.estimate_ms * step.need.millicores / 1e6
            for step in steps
        )
        chain_s = sum(step.estimate_ms / 1000 for step in steps)
        return (
            FIXED_WORTH + WORTH_PER_CORE_S * core_s,
            OBJECTIVE_SLACK * chain_s + OBJECTIVE_S,
        )
