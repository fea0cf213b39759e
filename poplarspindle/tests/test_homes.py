"""Tests of the homes of exclusive replicas: one move per generation."""

import pytest

from poplarspindle import homes, records

REPLICA = "service/bookings/0"


@pytest.mark.parametrize(
    ("source", "generation", "accepted"),
    [("ourthe", 1, True), ("lesse", 1, False), ("ourthe", 2, False)],
)
def test_move_must_name_present_home_and_generation(
    source, generation, accepted
):
    home_by_replica = {REPLICA: homes.Home("ourthe")}
    move = records.HomeMoved(REPLICA, source, "semois", generation)
    assert homes.move_home(home_by_replica, move) is accepted
    assert homes.move_home(home_by_replica, move) is False
    moved = homes.Home("semois", 2)
    assert home_by_replica[REPLICA] == (
        moved if accepted else homes.Home("ourthe")
    )


def test_home_is_kept_when_replica_is_wanted_again():
    home_by_replica = {}
    homes.assign_homes(home_by_replica, {REPLICA: "ourthe"})
    homes.assign_homes(home_by_replica, {})
    homes.assign_homes(home_by_replica, {REPLICA: "lesse"})
    assert home_by_replica == {REPLICA: homes.Home("ourthe")}
