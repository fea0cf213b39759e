"""Runs the quickstart's shell lines as they stand, on free ports."""

import os
import pathlib
import re
import shutil
import subprocess
import sys

import pytest

from poplarspindle.tools.fakes import minions

ROOT = pathlib.Path(__file__).parents[2]
RUN_S = 60


def read_script() -> str:
    """Returns all shell blocks of the quickstart, on free ports."""
    text = (ROOT / "docs" / "quickstart.md").read_text(encoding="utf-8")
    script = "\n".join(re.findall(r"```sh\n(.*?)```", text, re.DOTALL))
    for address in sorted(set(re.findall(r"127\.0\.0\.1:\d+", script))):
        script = script.replace(address, minions.find_free_address())
    return re.sub(
        r"poplarspindle-(entry|scheduler|ctl)\b",
        rf"{sys.executable} -m poplarspindle.\1",
        script,
    ).replace(
        "poplarspindle-standin",
        f"{sys.executable} -m poplarspindle.tools.standin",
    )


@pytest.mark.skipif(not shutil.which("curl"), reason="the page uses curl")
def test_quickstart(tmp_path):
    ended = subprocess.run(
        ["bash", "-euo", "pipefail", "-c", read_script()],
        cwd=tmp_path,
        env={**os.environ, "PYTHONPATH": str(ROOT)},
        capture_output=True,
        text=True,
        timeout=RUN_S,
        check=False,
    )
    assert ended.returncode == 0, ended.stderr
    assert ended.stdout.count("accepted: in force") == 4
    assert "Outcome: answered" in ended.stdout
    assert '"job": "rosters-1"' in ended.stdout
    assert ended.stderr.count("Stopped.") == 2
