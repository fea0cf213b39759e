"""Pytest plugin: passes over the tests that KNOWN-RED.txt lists.

A listed test stays in the suite and runs when its id is given on the command
line. The file is printed at the end of each run.
"""

import pathlib

KNOWN_RED = pathlib.Path(__file__).parents[2] / "KNOWN-RED.txt"
TEST_ID_PREFIX = "poplarspindle/tests/"


def list_test_ids(text: str) -> list[str]:
    """Returns the test ids in the text of KNOWN-RED.txt.

    Args:
        text: Content of the file; a line that begins with a test's id lists
            that test, all other lines are notes.
    """
    return [
        line.split()[0]
        for line in text.splitlines()
        if line.startswith(TEST_ID_PREFIX)
    ]


def _read() -> str:
    return KNOWN_RED.read_text() if KNOWN_RED.exists() else ""


def pytest_terminal_summary(terminalreporter) -> None:
    """Prints the file before the summary line, also with -q."""
    text = _read()
    if text.strip():
        terminalreporter.section("Known failures (KNOWN-RED.txt)")
        terminalreporter.write_line(text.rstrip())


def pytest_collection_modifyitems(config, items: list) -> None:
    """Deselects the listed tests unless the command line names them."""
    named = set(config.args)
    known = set(list_test_ids(_read())) - named
    passed_over = [item for item in items if item.nodeid in known]
    if passed_over:
        config.hook.pytest_deselected(items=passed_over)
        items[:] = [item for item in items if item.nodeid not in known]
