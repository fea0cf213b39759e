"""Callers find each accepted job, whatever befalls owners, nodes and store."""

import pytest
from structlog import testing

from poplarspindle.platform import __main__ as program
from poplarspindle.platform import settings
from poplarspindle.tools.fakes import lookups

SETTINGS = settings.read_settings("""
node_name=n
zone=z
listen_addrs.frontend=127.0.0.1:1
listen_addrs.readiness=127.0.0.1:2
platform.address=127.0.0.1:3
""")
STEPS = 1500


@pytest.mark.parametrize("seed", range(20))
def test_accepted_job_is_never_absent_and_its_state_never_goes_back(seed):
    with testing.capture_logs():
        walk = lookups.Walk(seed, SETTINGS, program.connect(SETTINGS))
        walk.run(STEPS)
    assert walk.broken == []
