"""Runs a node on the users' platform."""

import sys

import structlog

from poplarspindle import metrics, programs
from poplarspindle.node import lines, node
from poplarspindle.platform import callers, minions, operators, settings, store


def connect(own_settings) -> node.Platform:
    """Returns the calls of the platform that the settings describe."""
    return node.Platform(
        store.Store(own_settings.store_address),
        store.FLEET_TOPIC,
        store.OPERATORS_TOPIC,
        store.WORKERS_TOPIC,
        operators.read_wish,
        minions.read_worker,
        minions.Minion,
        callers.read_call,
        lambda reason: callers.FAULT_STATUS.get(reason, 400),
        callers.write_answer,
        "/api/readyz",
    )


def main() -> int:
    """Runs a node until it is asked to stop; returns the exit code."""
    try:
        with open(settings.find_path(), encoding="utf-8") as file:
            own_settings = settings.read_settings(file.read())
    except (OSError, ValueError) as error:
        print(f"poplarspindle: bad settings: {error}", file=sys.stderr)
        return 2
    writer = lines.set_up(own_settings.node, "")
    structlog.contextvars.bind_contextvars(node=own_settings.node)
    found = node.Node(own_settings, connect(own_settings), metrics.Metrics())
    code = programs.run_until_stopped(found.start, found.stop)
    writer.drain()
    return code


if __name__ == "__main__":
    sys.exit(main())
