"""Tests of settings: flag before environment before default, and faults."""

import pytest

from poplarspindle import outcomes, settings


@pytest.mark.parametrize(
    ("flags", "environment", "value"),
    [
        ({}, {}, 1.0),
        ({}, {"POPLARSPINDLE_SYNC_S": "2"}, 2.0),
        ({"sync_s": "3"}, {"POPLARSPINDLE_SYNC_S": "2"}, 3.0),
    ],
)
def test_flag_goes_before_environment(flags, environment, value):
    found = settings.check_values(settings.SCHEDULER, flags, environment)
    assert found.value.sync_s == value


@pytest.mark.parametrize(
    ("name", "text"),
    [
        ("sync_s", "soon"),
        ("sync_s", "-1"),
        ("sync_s", "nan"),
        ("commit_records", "1.5"),
        ("log_format", "xml"),
        ("policy", ""),
    ],
)
def test_bad_value_names_setting_value_and_what_is_allowed(name, text):
    setting = settings.BY_NAME[name]
    found = settings.check_values(
        settings.SCHEDULER, {}, {setting.variable: text}
    )
    assert isinstance(found, outcomes.Failed)
    assert name in found.detail
    assert repr(text) in found.detail
    assert setting.allowed in found.detail


def test_each_start_has_a_name_of_its_own():
    values = settings.make_values(settings.ENTRY, incarnation="ardennes")
    names = {
        settings.name_incarnation(values, "entry").incarnation for _ in range(9)
    }
    assert len(names) == 9
    assert all(name.startswith("ardennes-") for name in names)
