"""Placement rounds of an owner that can send no more starts."""

from poplarspindle.fleet import placement_rounds, ready_steps, start_delay
from poplarspindle.tests import test_overrun


def test_owner_that_can_start_nothing_ranks_no_steps(monkeypatch):
    """Load: thousands of steps are ready, and starts wait to be sent.

    Ranking all of them in each round takes the processor that the calls lack.
    """
    fleet, worker = test_overrun.make_waiting_fleet(jobs=20, tasks=4)
    sorted_rounds = []
    sort = ready_steps.sort

    def count(fleet):
        sorted_rounds.append(fleet.now)
        return sort(fleet)

    monkeypatch.setattr(ready_steps, "sort", count)
    fleet.order_room = 0
    for _ in range(10):
        fleet.now += 0.1
        assert placement_rounds.place_ready(fleet) == []
    statistics = fleet.start_statistics
    assert (statistics.rounds, statistics.cut_rounds) == (10, 10)
    assert sorted_rounds == []
    fleet.order_room = 1000
    placement_rounds.place_ready(fleet)
    assert len(worker.runs) == 80
    assert statistics == start_delay.StartStatistics(rounds=11, cut_rounds=10)
