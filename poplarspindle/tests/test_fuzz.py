"""Random walks: good ones hold, and each planted bug is found."""

import pytest

from poplarspindle import (
    cells,
    effects,
    ownership,
    queue_placement,
    records,
    tasks,
    worker_control,
)
from poplarspindle.tools import fuzz

FIXED_SEEDS = range(1, 101)
BUG_SEEDS = range(1, 61)


@pytest.mark.parametrize("first", FIXED_SEEDS[::20])
def test_walks_hold(first):
    broken = {
        seed: findings
        for seed in range(first, first + 20)
        if (findings := fuzz.walk(seed))
    }
    assert not broken


def _drop_term_check(monkeypatch):
    def find_any_term(cell, record):
        task = cell.table.tasks.get(record.task)
        good = task is not None and record.attempt == task.attempt
        return task if good else None

    monkeypatch.setattr(tasks, "_find_current", find_any_term)
    monkeypatch.setattr(ownership, "_follows", lambda table, claim: True)


def _start_unread(monkeypatch):
    place = queue_placement.place_queued

    def place_and_start(state, cell, event):
        found = place(state, cell, event)
        placed = [
            effect
            for effect in found
            if isinstance(effect, effects.Append)
            and isinstance(effect.record, records.TaskPlaced)
        ]
        for effect in placed:
            task = cell.table.tasks[effect.record.task]
            task.worker = effect.record.worker
            worker = cell.view.workers[task.worker]
            if worker.report:
                found.append(
                    worker_control._make_start(
                        state, cell, worker, task, event.at
                    )
                )
            task.worker = ""
        return found

    monkeypatch.setattr(queue_placement, "place_queued", place_and_start)


def _keep_attempt(monkeypatch):
    def queue_same(cell, task):
        cells.forget_messages(cell, task.task)
        ends = task.cancelled
        phase = cells.Phase.CANCELLED if ends else cells.Phase.QUEUED
        cells.release_task(cell.table, task, phase)
        return []

    monkeypatch.setattr(tasks, "_queue_again", queue_same)


@pytest.mark.parametrize(
    ("plant", "promises"),
    [
        (_drop_term_check, {"two-owners", "two-places", "attempt-twice"}),
        (_start_unread, {"two-places", "attempt-twice"}),
        (_keep_attempt, {"two-places", "attempt-twice"}),
    ],
)
def test_walks_find_planted_bug(monkeypatch, plant, promises):
    plant(monkeypatch)
    assert any(
        finding.promise in promises
        for seed in BUG_SEEDS
        for finding in fuzz.walk(seed)
    )
