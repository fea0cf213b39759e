"""What operators write: the configuration, data centres taken out, waves."""

import json

from poplarspindle.fleet import records, work
from poplarspindle.node import operator_commands

CONFIGURATION_KEY = "config"
EVACUATION_PREFIX = "evacuate/"


def read_operator_command(
    record: records.Record,
) -> operator_commands.OperatorCommand | None:
    """Reads one key of the operators.

    Returns:
        What they wish, None for a key that is not known.

    Raises:
        ValueError: The value is malformed.
    """
    if record.key.startswith(EVACUATION_PREFIX):
        data_centre = record.key.removeprefix(EVACUATION_PREFIX)
        return operator_commands.DataCentreEvacuation(
            data_centre, bool(record.value)
        )
    if record.key == CONFIGURATION_KEY and record.value:
        return operator_commands.ConfigurationChange(
            read_configuration(record.value)
        )
    return None


def read_configuration(value: bytes) -> work.Configuration:
    """Reads the configuration; raises ValueError where it is malformed."""
    try:
        fields = json.loads(value)
        queues = [_read_queue(route) for route in fields["routes"]]
        guarded = frozenset(
            service["name"]
            for service in fields["services"]
            if service.get("enforce_limits")
        )
        limits = fields.get("limits", {})
        return work.Configuration(
            int(fields["version"]),
            {queue.name: queue for queue in queues},
            guarded,
            int(limits.get("max_body_bytes", 262_144)),
            int(limits.get("max_header_bytes", 16_384)),
        )
    except (KeyError, TypeError, AttributeError) as error:
        raise ValueError(f"malformed configuration: {error!r}") from error


def _read_queue(route: dict) -> work.Queue:
    return work.Queue(
        route["name"],
        route["host"],
        route["path_prefix"],
        route["service"],
        int(route.get("priority", 0)),
        int(route.get("max_attempts", 1)),
        float(route.get("slack_factor", 1.0)),
        int(route.get("target_completion_ms", 1000)),
        int(route.get("timeout_ms", 3000)),
        bool(route.get("recommendation")),
    )
