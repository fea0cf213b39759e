"""Plays loads against the fleet's decisions and compares sets of mechanisms.

The owner's reducer runs in virtual time against fake workers. What it can't
show: processor time of the decisions, the network, several nodes at once.
"""

import collections
import concurrent.futures
import dataclasses
import json
import math
import random
import statistics
import sys

import defopt

import poplarspindle
from poplarspindle import settings
from poplarspindle.fleet import admission, job_store, mechanisms, work
from poplarspindle.node import admission_ledger
from poplarspindle.tools import loads
from poplarspindle.tools.fakes import fleets, load_workers

LATE_SHARE = 0.15  # Of a job's worth, when it ends late but not too late.
MAX_LATENESS = 3.0  # In objectives.
HARM_PENALTY = 4.0  # For tasks over their target because of others.
WINDOW_S = 2.0
ATTEMPTS = 5  # Submissions of a job that is refused.
SLACK = 1.5
TARGET_S = 0.5
TAIL_MS = 25.0
MEAN_LOAD = 0.48
NODES = 5
CONFIDENCE_SIGMAS = 1.96


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
            spread = self._draw.lognormvariate(0, 0.15)
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
        undisturbed_ms = TAIL_MS * math.exp(self._swing(name.job))
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

    def _write(self, found) -> None:
        super()._write(found)
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
                lambda: self._lose_data_centre(),
                lambda: self._restore_data_centre(),
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
        return 1 + core_s / 50, SLACK * chain_s + TARGET_S


def play(kind: str, seed: int, off: tuple[str, ...]) -> dict[str, float]:
    """Plays one load and returns the shares earned, by kind of job.

    Args:
        kind: One of `loads.KINDS`.
        seed: Seed of the load.
        off: Names of the mechanisms that are switched off.
    """
    used = dataclasses.replace(mechanisms.ALL, **dict.fromkeys(off, False))
    world = LoadWorld(loads.draw_load(kind, seed), seed, used)
    world.run(loads.TRAFFIC_S + loads.SETTLE_S)
    shares = world.judge()
    shares["mean"] = statistics.fmean(shares.values())
    shares["violations"] = len(world.list_violations())
    return shares


def compare(values: list[float], others: list[float]) -> tuple[float, float]:
    """Returns the mean difference of paired values and its 95 % margin."""
    differences = [a - b for a, b in zip(values, others, strict=True)]
    if len(differences) < 2:
        return differences[0], math.inf
    margin = CONFIDENCE_SIGMAS * statistics.stdev(differences)
    return statistics.fmean(differences), margin / math.sqrt(len(differences))


def replay(
    *,
    load: list[str] | None = None,
    off: list[str] | None = None,
    seeds: int = 20,
    jobs: int = 3,
    as_json: bool = False,
) -> int:
    """Plays loads with all mechanisms and with one switched off at a time.

    Args:
        load: Kind of load; may be given often. All by default.
        off: Mechanism to switch off; may be given often. All by default.
        seeds: Number of seeds of each load.
        jobs: Number of processes.
        as_json: Print one JSON object per load and mechanism.
    """
    kinds = load or list(loads.KINDS)
    names = [field.name for field in dataclasses.fields(mechanisms.Mechanisms)]
    switched = off or names
    unknown = [k for k in kinds if k not in loads.KINDS]
    unknown += [name for name in switched if name not in names]
    if unknown:
        allowed = ", ".join((*loads.KINDS, *names))
        print(f"no {unknown[0]}: give one of {allowed}", file=sys.stderr)
        return settings.EXIT_USAGE
    violations = 0
    with concurrent.futures.ProcessPoolExecutor(jobs) as pool:
        for kind in kinds:
            runs = {
                name: [
                    pool.submit(play, kind, seed, (name,) if name else ())
                    for seed in range(seeds)
                ]
                for name in ("", *switched)
            }
            results = {
                name: [run.result() for run in played]
                for name, played in runs.items()
            }
            for name, played in results.items():
                row = _summarize(kind, name, played, results[""])
                violations += row["violations"]
                print(_format(row, as_json), flush=True)
    return 1 if violations else 0


def _summarize(
    kind: str, name: str, played: list[dict], reference: list[dict]
) -> dict:
    difference, margin = compare(
        [shares["mean"] for shares in reference],
        [shares["mean"] for shares in played],
    )
    return {
        "load": kind,
        "off": name,
        **{
            column: statistics.fmean(shares[column] for shares in played)
            for column in (loads.SHORT, loads.BATCH, loads.LASTING, "mean")
        },
        "worth": difference,
        "margin": margin,
        "violations": sum(shares["violations"] for shares in played),
    }


def _format(row: dict, as_json: bool) -> str:
    if as_json:
        return json.dumps(row)
    return (
        f"{row['load']:>18} off {row['off'] or '-':<18}"
        f" short {row['short']:.3f} batch {row['batch']:.3f}"
        f" lasting {row['lasting']:.3f} mean {row['mean']:.3f}"
        f" worth {row['worth']:+.3f} +- {row['margin']:.3f}"
        f" violations {row['violations']}"
    )


def _join_lists(argv: list[str]) -> list[str]:
    """Gathers repeated `--load` and `--off` into the lists defopt reads."""
    argv = ["--as-json" if word == "--json" else word for word in argv]
    rest, lists = [], {"--load": [], "--off": []}
    words = iter(argv)
    for word in words:
        if word in lists:
            lists[word].append(next(words, ""))
        else:
            rest.append(word)
    for flag, values in lists.items():
        rest += [flag, *values] if values else []
    return rest


def main() -> None:
    """Runs `poplarspindle-fleet-replay`."""
    code = defopt.run(
        replay,
        argv=_join_lists(sys.argv[1:]),
        cli_options="has_default",
        short={},
        version=f"poplarspindle-fleet-replay {poplarspindle.__version__}",
        show_defaults=False,
    )
    sys.exit(code)


if __name__ == "__main__":
    main()
