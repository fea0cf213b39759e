"""Writes the pages of docs/ that follow from tables in the code."""

import pathlib
import sys

import defopt

import poplarspindle
from poplarspindle import metrics, settings

DOCS = pathlib.Path(__file__).parents[2] / "docs"

SETTINGS_HEAD = """\
# Settings

A value comes from the flag, else from the environment variable, else from
the table. A value that is not allowed ends the program with exit code 2 and
names the setting, the value and what is allowed. `make pages` writes this
page from `poplarspindle/defaults.py`.
"""

HISTOGRAMS_HEAD = "Histograms, with the same label, in seconds:\n"

GAUGES_HEAD = "Gauges, with the same label:\n"

COUNTERS_HEAD = """\
# Counters

Every program serves its counters at `/metrics`. Each has one label,
`reason`. `make pages` writes this page from `poplarspindle/metrics.py`.
"""


def write_settings() -> str:
    """Returns the page of all settings."""
    parts = [SETTINGS_HEAD]
    for setting in settings.DEFAULT_SETTINGS:
        flag = "--" + setting.name.replace("_", "-")
        parts.append(
            f"## {setting.name}\n\n"
            f"{setting.summary}\n\n"
            f"- Flag: `{flag}`\n"
            f"- Variable: `{setting.variable}`\n"
            f"- Default: `{setting.default!r}`\n"
            f"- Allowed: {setting.allowed}\n"
            f"- Read by: {', '.join(setting.programs)}\n"
        )
    return "\n".join(parts)


def write_counters() -> str:
    """Returns the page of all counters."""
    rows = [f"- `{name}`: {text}" for name, text in metrics.COUNTERS.items()]
    rows += ["", HISTOGRAMS_HEAD]
    rows += [f"- `{name}`: {text}" for name, text in metrics.HISTOGRAMS.items()]
    rows += ["", GAUGES_HEAD]
    rows += [f"- `{name}`: {text}" for name, text in metrics.GAUGES.items()]
    return "\n".join([COUNTERS_HEAD, *rows, ""])


PAGES = {"settings.md": write_settings, "counters.md": write_counters}


def write_pages() -> int:
    """Writes all pages."""
    for name, write in PAGES.items():
        (DOCS / name).write_text(write(), encoding="utf-8")
    return 0


def main() -> None:
    """Runs the program."""
    sys.exit(defopt.run(write_pages, version=poplarspindle.__version__))


if __name__ == "__main__":
    main()
