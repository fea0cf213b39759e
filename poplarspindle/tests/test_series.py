"""Walks in which series of disturbances are followed by calm."""

import pytest

from poplarspindle.tools.fakes import series

SEEDS = range(20)
BUSY = {
    "ending_share": 1.4,
    "run_s": (0.1, 0.5),
    "append_s": 0.1,
    "series": 1,
}
PLANS = {
    "workers": series.Plan(series.WORKERS),
    "owners": series.Plan((*series.OWNERS, series.crash, series.cut)),
    "store": series.Plan((*series.STORE, series.crash, series.cut)),
    "late": series.Plan(
        (series.delay_orders, series.crash, series.cut, series.replace_owner)
    ),
    "lost": series.Plan(
        (
            series.lose_messages,
            series.crash_some,
            series.crash_in_cut,
            series.replace_owner,
        )
    ),
    "gone": series.Plan(
        (series.crash_for_good, series.lose_messages, *series.OWNERS), 8
    ),
    "deadly": series.Plan(
        (series.submit_deadly, series.lose_messages, series.replace_owner),
        deadly=True,
    ),
    "fills": series.Plan(series.ALL, best_effort=0.5, ending_share=0.6),
    "failing": series.Plan((series.fail_runs, series.replace_owner)),
    "all": series.Plan(series.ALL),
    "busy": series.Plan(series.ALL, **BUSY),
}


@pytest.mark.parametrize("seed", SEEDS)
@pytest.mark.parametrize("plan", PLANS.values(), ids=PLANS)
def test_what_lasts_is_at_work_after_a_series(plan, seed):
    """LOST: waits that disturbances begin add up, or begin anew."""
    assert series.list_faults(seed, plan) == []
