"""Tests of the demonstration: it passes, and finds a planted break."""

import pytest

from poplarspindle.tools import demo


@pytest.mark.parametrize(("planted", "code"), [(False, 0), (True, 1)])
def test_demo(planted, code, capsys):
    assert demo.run_demo(as_json=True, executes_twice=planted) == code
    assert '"answered"' in capsys.readouterr().out
