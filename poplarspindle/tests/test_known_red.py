"""KNOWN-RED.txt is printed, and only its tests are passed over."""

import pytest

from poplarspindle.tests import known_red

pytest_plugins = ["pytester"]

SUITE = """
def test_sound(): pass
def test_known(): assert False
def test_known_too(): assert False
"""


@pytest.mark.parametrize(
    ("text", "listed"),
    [
        ("", []),
        ("Not a test of this repository.\nfleetbench sweep\n", []),
        (
            "Seen twice.\npoplarspindle/tests/test_a.py::test_b\nWhy.\n",
            ["poplarspindle/tests/test_a.py::test_b"],
        ),
        (
            "poplarspindle/tests/test_a.py::test_b[1] (open)\n"
            "  poplarspindle/tests/test_a.py::test_indented\n",
            ["poplarspindle/tests/test_a.py::test_b[1]"],
        ),
    ],
)
def test_only_lines_that_begin_with_an_id_list_a_test(text, listed):
    assert known_red.list_test_ids(text) == listed


@pytest.mark.parametrize(
    ("named", "failed", "passed_over"),
    [
        ((), 1, 1),
        (("poplarspindle/tests/test_suite.py::test_known",), 1, 0),
    ],
)
def test_listed_tests_are_passed_over_unless_named(
    pytester, monkeypatch, named, failed, passed_over
):
    folder = pytester.mkpydir("poplarspindle") / "tests"
    folder.mkdir()
    (folder / "test_suite.py").write_text(SUITE)
    listed = pytester.path / "KNOWN-RED.txt"
    listed.write_text("poplarspindle/tests/test_suite.py::test_known\nOpen.\n")
    monkeypatch.setattr(known_red, "KNOWN_RED", listed)
    result = pytester.inline_run(*named, plugins=[known_red])
    calls = result.getcalls("pytest_deselected")
    assert sum(len(call.items) for call in calls) == passed_over
    assert result.countoutcomes()[2] == failed


def test_file_is_printed_before_the_summary_line(pytester, monkeypatch):
    pytester.makepyfile(test_suite="def test_sound(): pass")
    listed = pytester.path / "KNOWN-RED.txt"
    listed.write_text("poplarspindle/tests/test_a.py::test_b\nSeed 1.\n")
    monkeypatch.setattr(known_red, "KNOWN_RED", listed)
    result = pytester.runpytest_inprocess("-q", plugins=[known_red])
    result.stdout.fnmatch_lines(["*test_a.py::test_b", "Seed 1.", "1 passed*"])
