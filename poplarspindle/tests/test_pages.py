"""Tests that docs/ says what the code does."""

import pathlib
import re
import subprocess
import sys

import pytest

from poplarspindle import ctl, metrics, settings, stories
from poplarspindle.tools import pages

ROOT = pathlib.Path(__file__).parents[2]
DOCS = sorted(
    str(p.relative_to(ROOT))
    for p in (*ROOT.glob("docs/**/*.md"), ROOT / "README.md")
)


@pytest.mark.parametrize("name", pages.PAGES)
def test_page_is_current(name):
    text = (ROOT / "docs" / name).read_text(encoding="utf-8")
    assert text == pages.PAGES[name](), "run: make pages"


@pytest.mark.parametrize("name", DOCS)
def test_page_names_what_exists(name):
    text = (ROOT / name).read_text(encoding="utf-8")
    commands = set(re.findall(r"poplarspindle-ctl ([a-z]+)", text))
    variables = set(re.findall(r"POPLARSPINDLE_[A-Z][A-Z_]+", text))
    counters = set(re.findall(r"poplarspindle_[a-z_]+_total", text))
    known = {setting.variable for setting in settings.DEFAULT_SETTINGS}
    assert commands <= set(ctl.COMMANDS)
    assert variables <= known
    assert counters <= set(metrics.COUNTERS)
    links = re.findall(r"\]\((?!https?:)([^)#]+)", text)
    assert all((ROOT / name).parent.joinpath(x).exists() for x in links)


def test_operations_page_says_what_each_hold_of_lasting_work_calls_for():
    text = (ROOT / "docs" / "OPERATIONS.md").read_text(encoding="utf-8")
    _, _, rest = text.partition("### 4. It is to last and does not run")
    table, _, lines = rest.partition("\n## Lines worth an alert")
    rows = re.findall(r"^\| (`.*?`) \|", table, re.MULTILINE)
    causes = [cause for row in rows for cause in re.findall(r"`(.+?)`", row)]
    assert sorted(causes) == sorted(stories.OBSTACLES)
    (alert,) = re.findall(r"^\| `away` .*$", lines, re.MULTILINE)
    assert all(f"`{cause}`" in alert for cause in stories.OBSTACLES)


def test_embedding_page_runs():
    text = (ROOT / "docs" / "embedding.md").read_text(encoding="utf-8")
    (program,) = re.findall(r"```python\n(.*?)```", text, re.DOTALL)
    assert len(program.splitlines()) < 40
    ended = subprocess.run(
        [sys.executable, "-c", program],
        cwd=ROOT,
        capture_output=True,
        text=True,
        timeout=30,
        check=True,
    )
    assert ended.stdout.strip() in text
