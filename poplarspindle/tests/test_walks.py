"""Random walks of the fleet's owner, each with faults of its own kind."""

import pytest

from poplarspindle.tools.fakes import walks

SEEDS = range(20)
LATE_S = (0.3, 6.0)  # Shorter and longer than the leases of late starts.
PLANS = {
    "behind-briefly": walks.Plan(behind_s=2.0),
    "behind": walks.Plan(behind_s=9.0, sure=False),
    "late": walks.Plan(late=0.1, late_s=LATE_S),
    "late-lives": walks.Plan(late=0.1, late_s=LATE_S, late_incarnations=True),
    "cuts": walks.Plan(
        strikes=(
            walks.disconnect_two,
            walks.crash_while_disconnected,
            walks.unlist,
        )
    ),
    "unlisted": walks.Plan(
        strikes=(walks.unlist_while_disconnected, walks.drain)
    ),
    "slow-orders": walks.Plan(
        sure=False, strikes=(walks.delay_orders, walks.disconnect_two)
    ),
    "serving": walks.Plan(
        strikes=(walks.drain, walks.disconnect_two),
        serving=0.5,
        best_effort=0.5,
    ),
    "dies-in-append": walks.Plan(strikes=(walks.crash_in_append,), widest=24),
    "all": walks.Plan(
        behind_s=9.0,
        sure=False,
        late=0.05,
        late_s=LATE_S,
        late_incarnations=True,
        strikes=(
            walks.disconnect_two,
            walks.crash_while_disconnected,
            walks.unlist,
            walks.crash_in_append,
        ),
        widest=24,
    ),
}


@pytest.mark.parametrize("seed", SEEDS)
@pytest.mark.parametrize("plan", PLANS.values(), ids=PLANS.keys())
def test_walk_keeps_the_promises(plan, seed):
    assert walks.list_faults(seed, plan) == []
