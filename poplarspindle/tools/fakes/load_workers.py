"""Fake workers whose runs share processors and slow each other down.

Tail latencies follow a hyperbola, unlike the exponential that the owner's tail
model assumes, so a policy can't win by knowing the law.
"""

import collections
import dataclasses
import math

from poplarspindle.fleet import orders, work
from poplarspindle.tools.fakes import fleet_workers

MAX_PRESSURE = 0.97  # The hyperbola ends there.
RESTORE_S = 0.6
CHECKPOINT_S = 2.0
USAGE_WINDOW_S = 0.5


class LoadWorker(fleet_workers.FakeWorker):
    """A worker that works at the speed its load leaves.

    Attributes:
        speed: Share of full speed; 0 if its runs hang.
        done_s: Work done by each run, seconds at full speed.
        tail_ratio: Tail latency per target of each latency-critical run.
    """

    def __init__(self, world, description: work.WorkerInfo) -> None:
        super().__init__(world, description)
        self.speed = 1.0
        self.done_s: dict[tuple, float] = {}
        self.tail_ratio: dict[tuple, float] = {}
        self._paces: dict[tuple, int] = collections.defaultdict(lambda: 100)
        self._usage: dict[tuple, float] = {}
        self._advanced_at = world.now

    def advance(self) -> None:
        """Lets the runs work for the time since the last call."""
        elapsed_s = self.world.now - self._advanced_at
        self._advanced_at = self.world.now
        if self.up and elapsed_s > 0:
            self._work(elapsed_s)
        super().advance()

    def start(self, order: orders.Start) -> orders.Answer:
        """Carries out a start, from its checkpoint if it has one."""
        before = self.world.starts
        answer = super().start(order)
        if self.world.starts > before:
            key = (order.task, order.attempt)
            saved_s = float(order.checkpoint or 0)
            self.done_s[key] = saved_s - (RESTORE_S if saved_s else 0.0)
        return answer

    def pace(self, order: orders.Pace) -> orders.Answer:
        """Carries out a change of pace."""
        self._paces[order.task, order.attempt] = order.percent
        return orders.Answer(None, self.clock_ms())

    def report(self) -> work.Report:
        """Returns what runs and ended, with checkpoints, paces and usage."""
        report = super().report()
        running = tuple(
            dataclasses.replace(
                row,
                checkpoint=self._save((row.task, row.attempt), CHECKPOINT_S),
                percent=self._paces[row.task, row.attempt],
                usage=self._usage.get((row.task, row.attempt)),
            )
            for row in report.running
        )
        ended = tuple(
            dataclasses.replace(
                row, checkpoint=self._save((row.task, row.attempt), 0.01)
            )
            for row in report.ended
        )
        return dataclasses.replace(report, running=running, ended=ended)

    def _save(self, key: tuple, interval_s: float) -> str:
        """Returns the newest checkpoint of a run, taken each interval."""
        if not self.world.find_step(key[0]).checkpoints:
            return ""
        saved_s = self.done_s.get(key, 0.0) // interval_s * interval_s
        return f"{saved_s:.2f}" if saved_s > 0 else ""

    def _work(self, elapsed_s: float) -> None:
        steps = {key: self.world.find_step(key[0]) for key in self.runs}
        capacity = self.description.capacity.millicores
        critical = [key for key, step in steps.items() if step.target_ms]
        best_effort = [key for key, step in steps.items() if step.best_effort]
        other = steps.keys() - set(critical) - set(best_effort)
        used = sum(steps[key].need.millicores for key in other)
        used += sum(
            self.world.get_load(key[0]) * steps[key].need.millicores
            for key in critical
        )
        asked = {
            key: self._paces[key] / 100 * steps[key].need.millicores
            for key in best_effort
        }
        granted = min(1.0, (capacity - used) / max(1.0, sum(asked.values())))
        shares: collections.Counter = collections.Counter()
        smoothing = min(1.0, elapsed_s / USAGE_WINDOW_S)
        for key in best_effort:
            millicores = max(0.0, granted) * asked[key]
            shares[steps[key].image] += millicores / capacity
            self._smooth(key, millicores, smoothing)
        for key in critical:
            tail_ms = self.world.get_tail_ms(key[0], shares) / max(
                0.1, self.speed
            )
            self.tail_ratio[key] = tail_ms / steps[key].target_ms
            self._smooth(key, tail_ms, smoothing)
        for key in steps:
            rate = self.speed
            if key in asked:
                rate *= max(0.0, granted) * self._paces[key] / 100
            self.done_s[key] = self.done_s.get(key, 0.0) + rate * elapsed_s
            if self.done_s[key] >= self.world.get_work_s(key[0]):
                self.runs[key].ends = self.world.now

    def _smooth(self, key: tuple, value: float, smoothing: float) -> None:
        before = self._usage.get(key, value)
        self._usage[key] = before + smoothing * (value - before)


def compute_tail_ms(
    undisturbed_ms: float, weights: dict[str, float], shares: dict[str, float]
) -> float:
    """Returns a tail latency beside best-effort runs.

    Args:
        undisturbed_ms: Tail latency without them.
        weights: How strongly each image presses on this one.
        shares: Share of the worker's processors that each image uses.
    """
    pressure = sum(weights[image] * share for image, share in shares.items())
    return undisturbed_ms / (1 - min(MAX_PRESSURE, pressure))


def get_swing(at: float, period_s: float, phase: float) -> float:
    """Returns where in its swing a load is, from -1 to 1."""
    return math.sin(2 * math.pi * (at / period_s + phase))
