"""Costs that workers keep choose what a scan that keeps nothing chooses."""

import dataclasses
import random

import pytest

from poplarspindle import resources
from poplarspindle.fleet import (
    mechanisms,
    work,
    worker_chooser,
    worker_selection,
    worker_state,
)
from poplarspindle.tests import test_placement_rounds
from poplarspindle.tools import loads
from poplarspindle.tools.benches import deciding
from poplarspindle.tools.fakes import load_world

KEY = ("j", 0, 0)
ZONES = frozenset({"dc1"})


def predict_headroom_use(worker):
    """Rules out some workers, and raises the cost of others."""
    return worker.latency_critical_millicores / 6000


def change_worker(rng, worker):
    """Changes a worker in one of the ways in which the owner does."""
    change = rng.randrange(5)
    if change == 0 and worker.runs:
        worker_state.remove_run(worker, rng.choice([*worker.runs.values()]))
    elif change == 1 and worker.runs:
        worker_state.set_expected_millicores(
            worker, rng.choice([*worker.runs.values()]), rng.randrange(4000)
        )
    elif change == 2:
        worker.info = dataclasses.replace(
            worker.info, labels=frozenset({rng.choice("ab")})
        )
        worker_state.forget_computed(worker)
    elif change == 3:
        worker.unknown_run_resources = resources.Resources(rng.randrange(9000))
        worker_state.forget_computed(worker)
    else:
        test_placement_rounds.add_runs(rng, worker)


@pytest.mark.parametrize("seed", range(20))
def test_kept_costs_choose_the_same_workers_as_a_full_scan(seed):
    """Steps of a few kinds follow on each other while some workers change."""
    rng = random.Random(seed)
    workers = test_placement_rounds.make_workers(rng, 40)
    steps = [test_placement_rounds.make_step(rng) for _ in range(8)]
    cost_kinds = worker_chooser.CostKinds()
    for _ in range(60):
        step = rng.choice(steps)
        accepting = rng.sample(workers, rng.randrange(20, 41))
        accepting.sort(key=lambda worker: worker.info.name)
        chooser = worker_chooser.WorkerChooser(
            accepting,
            step,
            KEY,
            predict_headroom_use,
            mechanisms.ALL,
            cost_kinds,
        )

        def choose(chosen, chooser=chooser, accepting=accepting, step=step):
            if chosen:
                chooser.update_rank(chosen[-1])
            rack = chosen[0].info.rack if chosen and step.one_rack else ""
            expected = worker_selection.choose_worker(
                accepting, step, KEY, rack, predict_headroom_use
            )
            assert chooser.choose() is expected
            return expected if len(chosen) < 5 else None

        test_placement_rounds.place_tasks(workers, step, choose)
        for worker in rng.sample(workers, 5):
            change_worker(rng, worker)


@pytest.mark.parametrize("kind", ["burst", "failing-workers"])
def test_owner_chooses_the_same_workers_as_a_full_scan(monkeypatch, kind):
    """A play of a load: no change of a worker leaves an old cost behind."""
    checked = []
    choose = worker_chooser.WorkerChooser.choose

    def choose_checked(self, failed_on=None, is_suspect=False, may_share=True):
        chosen = choose(self, failed_on, is_suspect, may_share)
        if not failed_on and not is_suspect:
            expected = worker_selection.choose_worker(
                self._workers,
                self._step,
                self._key,
                self._rack,
                self._predict_headroom_use,
                self._used,
            )
            assert chosen is expected
            checked.append(chosen)
        return chosen

    monkeypatch.setattr(worker_chooser.WorkerChooser, "choose", choose_checked)
    world = load_world.LoadWorld(loads.draw_load(kind, 3), 3, mechanisms.ALL)
    world.run(16)
    assert len([worker for worker in checked if worker]) > 200
    assert None in checked


def test_steps_of_one_kind_rank_few_workers_again(monkeypatch):
    """Load: one step after the other, and few workers change in between."""
    rng = random.Random(1)
    workers = test_placement_rounds.make_workers(rng, 400)
    ranked = []
    rank_worker = worker_selection.rank_worker
    monkeypatch.setattr(
        worker_selection,
        "rank_worker",
        lambda worker, *rest: ranked.append(1) or rank_worker(worker, *rest),
    )
    step = work.Step(9, resources.Resources(1000, 1000, 0), best_effort=True)
    cost_kinds = worker_chooser.CostKinds()

    def place():
        chooser = worker_chooser.WorkerChooser(
            workers, step, KEY, lambda _: 0.0, mechanisms.ALL, cost_kinds
        )

        def choose(chosen):
            if chosen:
                chooser.update_rank(chosen[-1])
            return chooser.choose()

        assert len(test_placement_rounds.place_tasks(workers, step, choose)) > 5

    place()
    ranked.clear()
    for _ in range(20):
        place()
    # Two for each task: one without the harm, and one with it.
    assert len(ranked) <= 20 * (2 * 9 + 9)


def test_headroom_is_taken_when_a_worker_is_first_ranked():
    """It is kept until the worker changes, so what it says depends on when."""
    workers = test_placement_rounds.make_workers(random.Random(1), 50)
    step = work.Step(9, resources.Resources(100), best_effort=True)
    predicted = []
    chooser = worker_chooser.WorkerChooser(
        workers,
        step,
        KEY,
        lambda worker: predicted.append(worker.info.name) or 0.0,
        mechanisms.ALL,
        worker_chooser.CostKinds(),
    )
    assert chooser.choose()
    assert set(predicted) == {worker.info.name for worker in workers}


def test_numbers_of_kinds_are_not_used_again():
    kinds = worker_chooser.CostKinds()
    steps = [
        work.Step(1, resources.Resources(number))
        for number in range(2 * worker_chooser.MAX_COST_KINDS)
    ]
    numbers = [kinds.find(step, "") for step in steps]
    assert len(set(numbers)) == len(steps)
    assert kinds.find(steps[-1], "") == numbers[-1]
    assert kinds.find(steps[-1], "r1") not in numbers
    assert kinds.find(steps[0], "") not in numbers


@pytest.mark.parametrize("seed", range(10))
def test_accepting_workers_are_those_that_accept_tasks(seed):
    rng = random.Random(seed)
    workers = test_placement_rounds.make_workers(rng, 60)
    for worker in workers:
        worker.info = dataclasses.replace(
            worker.info,
            service=rng.choice(("pool", "pool", "other")),
            data_centre=rng.choice(("dc0", "dc1")),
            presence=rng.choice((*work.Presence, work.Presence.READY)),
        )
        worker.listed = rng.random() < 0.8
        worker.last_report_at = rng.choice((float("-inf"), 1.0, 1.0))
        worker.logged_unreachable = rng.random() < 0.2
        worker.no_placement_until = rng.choice((float("-inf"), 5.0, 6.0))
    listed = worker_selection.list_accepting(workers, "pool", ZONES, 5.0)
    assert listed == [
        worker
        for worker in workers
        if worker_selection.accepts_tasks(worker, "pool", ZONES, 5.0)
    ]


def test_bench_of_decisions_is_reproducible():
    sites = [deciding.Site(30) for _ in range(2)]
    for site in sites:
        site.run(3.0)
    assert sites[0].starts > 50
    assert sites[0].read_decisions() == sites[1].read_decisions()


@pytest.mark.parametrize(
    ("change", "kept"),
    [
        pytest.param(
            lambda worker, run: worker_state.set_unknown_run_resources(
                worker, resources.Resources()
            ),
            True,
            id="no unknown run, as before",
        ),
        pytest.param(
            lambda worker, run: worker_state.set_unknown_run_resources(
                worker, resources.Resources(100)
            ),
            False,
            id="unknown run",
        ),
        pytest.param(
            lambda worker, run: worker_state.set_expected_millicores(
                worker, run, run.expected_millicores
            ),
            True,
            id="use as expected",
        ),
        pytest.param(
            lambda worker, run: worker_state.set_expected_millicores(
                worker, run, run.expected_millicores - 1
            ),
            False,
            id="less use",
        ),
        pytest.param(
            lambda worker, run: worker_state.clear_suspect(worker, run.key),
            False,
            id="suspect cleared",
        ),
        pytest.param(worker_state.remove_run, False, id="run ended"),
    ],
)
def test_costs_are_kept_until_a_change(change, kept):
    rng = random.Random(2)
    worker = next(
        worker
        for worker in test_placement_rounds.make_workers(rng, 9)
        if worker.runs
    )
    room = worker_state.get_available(worker)
    worker.costs[0] = None
    change(worker, next(iter(worker.runs.values())))
    assert (0 in worker.costs) is kept
    assert (worker_state.get_available(worker) is room) is kept
