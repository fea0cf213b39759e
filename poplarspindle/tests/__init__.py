"""Tests of poplarspindle."""
