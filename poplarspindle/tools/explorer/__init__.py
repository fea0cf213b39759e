"""Plays every ordered pair of disruptions in the virtual fleet."""
