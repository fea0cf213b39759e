"""Tests of the homes of exclusive replicas: one move per generation."""

import pytest

from poplarspindle import homes, records

NAME = "service/bookings/0"


@pytest.mark.parametrize(
    ("source", "generation", "accepted"),
    [("ourthe", 1, True), ("lesse", 1, False), ("ourthe", 2, False)],
)
def test_move_names_home_and_generation(source, generation, accepted):
    known = {NAME: homes.Home("ourthe")}
    move = records.HomeMoved(NAME, source, "semois", generation)
    assert homes.move_home(known, move) is accepted
    assert homes.move_home(known, move) is False
    moved = homes.Home("semois", 2)
    assert known[NAME] == (moved if accepted else homes.Home("ourthe"))


def test_home_stays_when_wanted_again():
    known = {}
    homes.assign_homes(known, {NAME: "ourthe"})
    homes.assign_homes(known, {})
    homes.assign_homes(known, {NAME: "lesse"})
    assert known == {NAME: homes.Home("ourthe")}
