"""Runs a node on the users' platform."""

import sys

import structlog

from poplarspindle import metrics, programs
from poplarspindle.node import log_output, node, ports
from poplarspindle.node import settings as node_settings
from poplarspindle.platform import (
    callers,
    machines,
    minions,
    operators,
    settings,
    store,
)

# A slow store takes 2.6 appends a second in a part, callers hand in 20.
INTAKE_TOPICS = 3
RELOAD_S = 1.0  # The file may change without a signal.


def connect(own_settings) -> ports.Platform:
    """Returns the calls of the platform that the settings describe."""
    return ports.Platform(
        store.Store(own_settings.store_address, own_settings.log_parts),
        store.FLEET_TOPIC,
        store.PROGRESS_TOPIC,
        store.INTAKE_TOPIC,
        own_settings.log_parts * INTAKE_TOPICS,
        store.OPERATORS_TOPIC,
        store.WORKERS_TOPIC,
        operators.read_operator_command,
        minions.read_worker,
        minions.Minion,
        callers.read_call,
        lambda reason: callers.FAULT_STATUS.get(reason, 400),
        callers.write_answer,
        "/api/readyz",
        machines.Machines(own_settings.inventory_address),
    )


def read_file() -> node_settings.Settings:
    """Reads the settings file; raises OSError or ValueError."""
    with open(settings.find_path(), encoding="utf-8") as file:
        return settings.read_settings(file.read())


def main() -> int:
    """Runs a node until it is asked to stop; returns the exit code."""
    try:
        own_settings = read_file()
    except (OSError, ValueError) as error:
        print(f"poplarspindle: bad settings: {error}", file=sys.stderr)
        return 2
    writer = log_output.configure_logging(own_settings.node, "")
    structlog.contextvars.bind_contextvars(node=own_settings.node)
    started_node = node.Node(
        own_settings, connect(own_settings), metrics.Metrics()
    )
    code = programs.run_until_stopped(
        started_node.start,
        started_node.stop,
        lambda: started_node.reload(read_file),
        RELOAD_S,
    )
    writer.drain()
    return code


if __name__ == "__main__":
    sys.exit(main())
